//! Engines' orders by control processes that die, freeze and lose the log.

use std::time::Duration;

use cassia_platform::Order;
use cassia_platform::OrderKind;
use cassia_standin::EngineSpec;
use cassia_standin::EngineStandin;
use cassia_standin::Proxy;
use cassia_trials::Caller;
use cassia_trials::Process;
use cassia_trials::TestEnv;
use cassia_trials::eventually;
use rstest::rstest;
use serde_json::Value;

const TERM: &str = "--lease-term-ms=1500";

async fn control(trial: &TestEnv, host: &str) -> anyhow::Result<Process> {
    trial.start_process("cassia-control", host, "dc1", &[TERM]).await
}

async fn engine(trial: &TestEnv, checks_fence: bool) -> anyhow::Result<EngineStandin> {
    let spec = EngineSpec { checks_fence, ..trial.engine_spec("caption") };
    Ok(trial.start_engine("caption-1", spec).await?)
}

/// The fence under which a process holds the orders of the model.
async fn fence(process: &Process) -> Option<u64> {
    let state = Caller::new("").get(process.ops, "/state").await.body;
    let held: &Value = &state["program"]["held"]["caption"];
    held["fence"].as_u64().filter(|_| held["left_ms"].as_u64().unwrap_or(0) > 0)
}

async fn one_holds(processes: &[&Process]) -> bool {
    eventually(|| async {
        let mut holders = 0;
        for process in processes {
            holders += usize::from(fence(process).await.is_some());
        }
        holders == 1
    })
    .await
}

/// Versions and fences only go forward in what took effect at an engine.
fn only_forward(orders: &[Order]) {
    for pair in orders.windows(2) {
        assert!(pair[1].fence >= pair[0].fence, "an old holder's order took effect: {orders:?}");
    }
    let activated: Vec<_> =
        orders.iter().filter(|o| o.kind == OrderKind::Activate).map(|o| o.version).collect();
    assert!(activated.is_sorted(), "{activated:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn when_the_holder_is_killed_another_takes_over() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let engine = engine(&trial, true).await?;
    trial.weights.publish("caption", 2);
    let mut first = control(&trial, "h1").await?;
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    let second = control(&trial, "h2").await?;
    first.kill();
    trial.weights.publish("caption", 3);
    assert!(eventually(|| async { engine.version() == Some(3) }).await);
    assert!(one_holds(&[&second]).await);
    only_forward(&engine.orders());
    Ok(())
}

#[rstest]
#[case::engines_that_check(true)]
#[case::engines_that_ignore_the_number(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_wakes_gives_no_order_over_its_successor(
    #[case] checks_fence: bool,
) -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let engine = engine(&trial, checks_fence).await?;
    trial.weights.publish("caption", 2);
    let first = control(&trial, "h1").await?;
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    let second = control(&trial, "h2").await?;
    let old_fence = fence(&first).await;
    first.freeze();
    trial.weights.publish("caption", 3);
    assert!(eventually(|| async { engine.version() == Some(3) }).await);
    assert!(fence(&second).await > old_fence);
    first.resume();
    trial.weights.publish("caption", 4);
    assert!(eventually(|| async { engine.version() == Some(4) }).await);
    assert!(one_holds(&[&first, &second]).await);
    only_forward(&engine.orders());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_the_lease_on_before_it_lapses() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let _engine = engine(&trial, true).await?;
    trial.weights.publish("caption", 2);
    // A term of ten minutes: were it not let go, nobody would get it here.
    let long = ["--lease-term-ms=600000"];
    let mut first = trial.start_process("cassia-control", "h1", "dc1", &[TERM]).await?;
    assert!(one_holds(&[&first]).await);
    let second = trial.start_process("cassia-control", "h2", "dc1", &long).await?;
    assert!(one_holds(&[&first]).await);
    first.terminate();
    let ended = first.wait(Duration::from_secs(30)).await.expect("an end");
    assert!(ended.success());
    assert!(one_holds(&[&second]).await);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_log_a_holder_lets_go_and_nobody_takes_over() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let engine = engine(&trial, true).await?;
    trial.weights.publish("caption", 2);
    let (first, second) = (control(&trial, "h1").await?, control(&trial, "h2").await?);
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    trial.log.set_down(true);
    let none = || async { fence(&first).await.is_none() && fence(&second).await.is_none() };
    assert!(eventually(none).await);
    let orders = engine.orders().len();
    trial.weights.publish("caption", 3);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(engine.orders().len(), orders, "an order without a lease");
    trial.log.set_down(false);
    assert!(eventually(|| async { engine.version() == Some(3) }).await);
    only_forward(&engine.orders());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_cut_off_from_the_log_alone_is_succeeded() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let engine = engine(&trial, true).await?;
    trial.weights.publish("caption", 2);
    let way = Proxy::start(trial.log.addr()).await?;
    let log = format!("--log={}", way.addr());
    let first = trial.start_process("cassia-control", "h1", "dc1", &[TERM, &log]).await?;
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    let second = control(&trial, "h2").await?;
    way.set_blocked(true);
    trial.weights.publish("caption", 3);
    assert!(eventually(|| async { engine.version() == Some(3) }).await);
    // The order may still be the first one's, within its term; after it only
    // the second one can hold the lease.
    assert!(eventually(|| async { fence(&second).await.is_some() }).await);
    assert!(one_holds(&[&first, &second]).await);
    // What the cut held back of the old holder's arrives late.
    way.set_blocked(false);
    trial.weights.publish("caption", 4);
    assert!(eventually(|| async { engine.version() == Some(4) }).await);
    only_forward(&engine.orders());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_whose_answers_are_lost_are_made_good() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let engine = engine(&trial, true).await?;
    engine.set_faults(cassia_standin::EngineFaults {
        drop_order_responses: true,
        ..Default::default()
    });
    trial.weights.publish("caption", 2);
    let _control = control(&trial, "h1").await?;
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    only_forward(&engine.orders());
    Ok(())
}
