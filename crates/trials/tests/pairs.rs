//! Two failures at once.

use std::time::Duration;

use cassia_platform::OrderKind;
use cassia_route::TargetKind;
use cassia_standin::EngineFaults;
use cassia_standin::EngineStandin;
use cassia_standin::Proxy;
use cassia_standin::ServiceFault;
use cassia_standin::TrainerStandin;
use cassia_trials::Caller;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::eventually;
use cassia_trials::savanna;
use serde_json::json;

const PATIENCE: Duration = Duration::from_secs(40);
const STATUS: &str = "/v1/savanna/pass-status";
const QUOTE: &str = "/v1/savanna/quote";

#[tokio::test(flavor = "multi_thread")]
async fn the_log_is_down_and_a_host_dies() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let _engine = trial.start_engine("suggestion-1", trial.engine_spec("suggestion")).await?;
    let service = trial.start_service("status-1", "pass-status").await?;
    let revision = trial.publish(&savanna(), 0).await?;
    let mut entry = trial.start_entry("h1").await?;
    let other = trial.start_entry("h2").await?;
    let mut rollout = trial.start_rollout("h1").await?;
    let second = trial.start_rollout("h2").await?;
    for process in [&entry, &other, &rollout, &second] {
        trial.wait_until_in_force(process, "savanna", revision).await?;
        trial.wait_for_view(process, 2, 3).await?;
    }
    let gate = Caller::new(SAVANNA_KEY);
    let mut trainer = TrainerStandin::new(
        "savanna",
        "suggestion-trainer",
        SAVANNA_KEY,
        vec![rollout.listen, second.listen],
    )
    .with_prompts(2, 4);
    trainer.step(PATIENCE).await.expect("a lot");
    let ticket = gate.fetch_ticket(entry.listen, STATUS).await;
    trial.log.set_down(true);
    entry.kill();
    rollout.kill();
    // Its tickets end as unknown; new ones, and lots, go on elsewhere.
    let reply = gate.redeem(other.listen, STATUS, &ticket, &json!({"key": "a"})).await;
    assert_eq!(reply.text("ran"), "unknown");
    let ticket = gate.fetch_ticket(other.listen, STATUS).await;
    let reply = gate.redeem(other.listen, STATUS, &ticket, &json!({"key": "b"})).await;
    assert_eq!((reply.status, service.runs("b")), (200, 1), "{reply:?}");
    trainer.step(PATIENCE).await.expect("a lot after it");
    assert!(trainer.sample_counts.values().all(|&times| times == 1));
    // A host that replaces the dead one gets its contracts from its peers.
    entry.restart()?;
    trial.wait_until_in_force(&entry, "savanna", revision).await?;
    trial.wait_until_ready(&entry).await
}

#[tokio::test(flavor = "multi_thread")]
async fn all_hosts_of_a_data_centre_are_replaced_in_an_outage() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let _engine = trial.start_engine("renewals-1", trial.engine_spec("renewals")).await?;
    let revision = trial.publish(&savanna(), 0).await?;
    let far = trial.start_process("cassia-entry", "far", "dc2", &[]).await?;
    let mut here = Vec::new();
    for i in 0..3 {
        here.push(trial.start_entry(&format!("h{i}")).await?);
    }
    for process in &here {
        trial.wait_until_in_force(process, "savanna", revision).await?;
    }
    trial.wait_until_in_force(&far, "savanna", revision).await?;
    trial.log.set_down(true);
    for process in &mut here {
        process.kill();
    }
    let gate = Caller::new(SAVANNA_KEY);
    for process in &mut here {
        process.restart()?;
    }
    for process in &here {
        trial.wait_until_in_force(process, "savanna", revision).await?;
        trial.wait_for_view(process, 1, 3).await?;
        let body = json!({"prompt": "x", "max_tokens": 4});
        let reply = gate.post(process.listen, QUOTE, &[], &body).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_host_and_operators_that_race() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let paused = trial.start_entry("h1").await?;
    let other = trial.start_entry("h2").await?;
    let first = trial.publish(&savanna(), 0).await?;
    for process in [&paused, &other] {
        trial.wait_until_in_force(process, "savanna", first).await?;
    }
    paused.freeze();
    let mut amended = savanna();
    amended.priority = 1;
    let second = trial.publish(&amended, first).await?;
    amended.priority = 2;
    let beaten = trial.publish(&amended, first).await?;
    assert!(beaten > second);
    trial.wait_until_in_force(&other, "savanna", second).await?;
    paused.resume();
    trial.wait_until_in_force(&paused, "savanna", second).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_fails_mid_swap_and_connections_go_silent() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let engine = EngineStandin::start(trial.engine_spec("renewals")).await?;
    let way = Proxy::start(engine.addr()).await?;
    let what = TargetKind::Engine { model: "renewals".into() };
    trial.list_target("renewals-1", way.addr(), what);
    let _steady = trial.start_engine("renewals-2", trial.engine_spec("renewals")).await?;
    let revision = trial.publish(&savanna(), 0).await?;
    let entry = trial.start_entry("h1").await?;
    let term = "--lease-term-ms=1000";
    let _control = trial.start_process("cassia-control", "h1", "dc1", &[term]).await?;
    trial.wait_until_in_force(&entry, "savanna", revision).await?;
    trial.wait_for_view(&entry, 2, 1).await?;
    let gate = Caller::new(SAVANNA_KEY);
    let body = json!({"prompt": "x", "max_tokens": 4});
    for _ in 0..10 {
        assert_eq!(gate.post(entry.listen, QUOTE, &[], &body).await.status, 200);
    }
    engine.set_faults(EngineFaults { activation_fails: true, ..EngineFaults::default() });
    trial.weights.publish("renewals", 2);
    assert!(eventually(|| async { engine.version().is_none() }).await);
    way.stall_connections();
    for _ in 0..10 {
        let reply = gate.post(entry.listen, QUOTE, &[], &body).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    engine.set_faults(EngineFaults::default());
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    let activated = engine.orders().into_iter().filter(|o| o.kind == OrderKind::Activate);
    assert!(activated.map(|o| o.version).all(|version| version == 2));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_hangs_and_its_host_is_asked_to_stop() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let service = trial.start_service("status-1", "pass-status").await?;
    let revision = trial.publish(&savanna(), 0).await?;
    let mut entry = trial.start_entry("h1").await?;
    let other = trial.start_entry("h2").await?;
    for process in [&entry, &other] {
        trial.wait_until_in_force(process, "savanna", revision).await?;
        trial.wait_for_view(process, 1, 1).await?;
    }
    let gate = Caller::new(SAVANNA_KEY);
    let ticket = gate.fetch_ticket(entry.listen, STATUS).await;
    service.set_fault(ServiceFault::Slow(1_500));
    let (caller, shown, listen) = (gate.clone(), ticket.clone(), entry.listen);
    let call =
        tokio::spawn(
            async move { caller.redeem(listen, STATUS, &shown, &json!({"key": "k"})).await },
        );
    tokio::time::sleep(Duration::from_millis(300)).await;
    entry.terminate();
    let reply = call.await?;
    assert_eq!((reply.status, service.runs("k")), (200, 1), "{reply:?}");
    let ended = entry.wait(Duration::from_secs(30)).await.expect("an end");
    assert!(ended.success());
    // Its successor doesn't run it again.
    let reply = gate.redeem(other.listen, STATUS, &ticket, &json!({"key": "k"})).await;
    assert_eq!((reply.text("ran"), service.runs("k")), ("unknown", 1));
    Ok(())
}
