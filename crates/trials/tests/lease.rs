//! Orders to engines from control processes that are killed, frozen or cut off
//! from the log.

use std::time::Duration;

use cassia_clients::Order;
use cassia_clients::OrderKind;
use cassia_standin::EngineSpec;
use cassia_standin::EngineStandin;
use cassia_standin::Proxy;
use cassia_trials::Caller;
use cassia_trials::Process;
use cassia_trials::TestEnv;
use cassia_trials::eventually;
use rstest::rstest;
use serde_json::Value;

const LEASE_TERM: &str = "--lease-term-ms=1500";

async fn control(env: &TestEnv, host: &str) -> anyhow::Result<Process> {
    env.start_process("cassia-control", host, "dc1", &[LEASE_TERM]).await
}

async fn engine(env: &TestEnv, checks_fence: bool) -> anyhow::Result<EngineStandin> {
    let spec = EngineSpec { checks_fence, ..env.engine_spec("caption") };
    Ok(env.start_engine("caption-1", spec).await?)
}

/// Returns the fencing token of the lease that a process holds for the model.
async fn fence(process: &Process) -> Option<u64> {
    let state = Caller::new("").get(process.ops, "/state").await.body;
    let lease: &Value = &state["program"]["held"]["caption"];
    lease["fence"].as_u64().filter(|_| lease["left_ms"].as_u64().unwrap_or(0) > 0)
}

/// Waits until exactly one of the processes holds the lease.
async fn one_holder(processes: &[&Process]) -> bool {
    eventually(|| async {
        let mut holders = 0;
        for process in processes {
            holders += usize::from(fence(process).await.is_some());
        }
        holders == 1
    })
    .await
}

/// Checks that the fencing tokens and the activated versions of the orders that
/// an engine accepted never decrease.
fn assert_monotonic(orders: &[Order]) {
    for pair in orders.windows(2) {
        assert!(
            pair[1].fence >= pair[0].fence,
            "a previous holder's order was accepted: {orders:?}"
        );
    }
    let activated: Vec<_> =
        orders.iter().filter(|o| o.kind == OrderKind::Activate).map(|o| o.version).collect();
    assert!(activated.is_sorted(), "{activated:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn another_process_takes_over_when_the_holder_is_killed() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let engine = engine(&env, true).await?;
    env.weights.publish("caption", 2);
    let mut first = control(&env, "h1").await?;
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    let second = control(&env, "h2").await?;
    first.kill();
    env.weights.publish("caption", 3);
    assert!(eventually(|| async { engine.version() == Some(3) }).await);
    assert!(one_holder(&[&second]).await);
    assert_monotonic(&engine.orders());
    Ok(())
}

#[rstest]
#[case::engine_checks_fence(true)]
#[case::engine_ignores_fence(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_holder_does_not_override_its_successor(
    #[case] checks_fence: bool,
) -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let engine = engine(&env, checks_fence).await?;
    env.weights.publish("caption", 2);
    let first = control(&env, "h1").await?;
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    let second = control(&env, "h2").await?;
    let old_fence = fence(&first).await;
    first.freeze();
    env.weights.publish("caption", 3);
    assert!(eventually(|| async { engine.version() == Some(3) }).await);
    assert!(fence(&second).await > old_fence);
    first.resume();
    env.weights.publish("caption", 4);
    assert!(eventually(|| async { engine.version() == Some(4) }).await);
    assert!(one_holder(&[&first, &second]).await);
    assert_monotonic(&engine.orders());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_releases_the_lease_before_it_expires() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let _engine = engine(&env, true).await?;
    env.weights.publish("caption", 2);
    // Without a release the successor would wait for its own term of ten minutes.
    let long = ["--lease-term-ms=600000"];
    let mut first = env.start_process("cassia-control", "h1", "dc1", &[LEASE_TERM]).await?;
    assert!(one_holder(&[&first]).await);
    let second = env.start_process("cassia-control", "h2", "dc1", &long).await?;
    assert!(one_holder(&[&first]).await);
    first.terminate();
    let status = first.wait(Duration::from_secs(30)).await.expect("the process exits");
    assert!(status.success());
    assert!(one_holder(&[&second]).await);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn in_a_log_outage_the_holder_loses_the_lease_and_nobody_takes_over() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let engine = engine(&env, true).await?;
    env.weights.publish("caption", 2);
    let (first, second) = (control(&env, "h1").await?, control(&env, "h2").await?);
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    env.log.set_down(true);
    let none = || async { fence(&first).await.is_none() && fence(&second).await.is_none() };
    assert!(eventually(none).await);
    let orders = engine.orders().len();
    env.weights.publish("caption", 3);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(engine.orders().len(), orders, "an order without a lease");
    env.log.set_down(false);
    assert!(eventually(|| async { engine.version() == Some(3) }).await);
    assert_monotonic(&engine.orders());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_cut_off_from_the_log_is_replaced() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let engine = engine(&env, true).await?;
    env.weights.publish("caption", 2);
    let proxy = Proxy::start(env.log.addr()).await?;
    let log = format!("--log={}", proxy.addr());
    let first = env.start_process("cassia-control", "h1", "dc1", &[LEASE_TERM, &log]).await?;
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    let second = control(&env, "h2").await?;
    proxy.set_blocked(true);
    env.weights.publish("caption", 3);
    assert!(eventually(|| async { engine.version() == Some(3) }).await);
    // The first process may still have sent this order within its term; after
    // the term only the second can hold the lease.
    assert!(eventually(|| async { fence(&second).await.is_some() }).await);
    assert!(one_holder(&[&first, &second]).await);
    // Requests of the old holder that the proxy held back arrive late.
    proxy.set_blocked(false);
    env.weights.publish("caption", 4);
    assert!(eventually(|| async { engine.version() == Some(4) }).await);
    assert_monotonic(&engine.orders());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_take_effect_when_their_responses_are_lost() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let engine = engine(&env, true).await?;
    engine.set_faults(cassia_standin::EngineFaults {
        drop_order_responses: true,
        ..Default::default()
    });
    env.weights.publish("caption", 2);
    let _control = control(&env, "h1").await?;
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    assert_monotonic(&engine.orders());
    Ok(())
}
