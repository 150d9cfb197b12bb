//! Two simultaneous failures.

use std::time::Duration;

use cassia_clients::OrderKind;
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

const STEP_TIMEOUT: Duration = Duration::from_secs(40);
const STATUS_PATH: &str = "/v1/savanna/pass-status";
const QUOTE_PATH: &str = "/v1/savanna/quote";

#[tokio::test(flavor = "multi_thread")]
async fn log_outage_and_host_crash() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let _engine = env.start_engine("suggestion-1", env.engine_spec("suggestion")).await?;
    let service = env.start_service("status-1", "pass-status").await?;
    let revision = env.publish(&savanna(), 0).await?;
    let mut entry = env.start_entry("h1").await?;
    let other = env.start_entry("h2").await?;
    let mut rollout = env.start_rollout("h1").await?;
    let second = env.start_rollout("h2").await?;
    for process in [&entry, &other, &rollout, &second] {
        env.wait_until_in_force(process, "savanna", revision).await?;
        env.wait_for_view(process, 2, 3).await?;
    }
    let caller = Caller::new(SAVANNA_KEY);
    let mut trainer = TrainerStandin::new(
        "savanna",
        "suggestion-trainer",
        SAVANNA_KEY,
        vec![rollout.listen, second.listen],
    )
    .with_prompts(2, 4);
    trainer.step(STEP_TIMEOUT).await.expect("a lot");
    let ticket = caller.fetch_ticket(entry.listen, STATUS_PATH).await;
    env.log.set_down(true);
    entry.kill();
    rollout.kill();
    // The outcome of calls with its tickets is unknown; the other host issues
    // new tickets and serves lots.
    let response = caller.redeem(other.listen, STATUS_PATH, &ticket, &json!({"key": "a"})).await;
    assert_eq!(response.text("ran"), "unknown");
    let ticket = caller.fetch_ticket(other.listen, STATUS_PATH).await;
    let response = caller.redeem(other.listen, STATUS_PATH, &ticket, &json!({"key": "b"})).await;
    assert_eq!((response.status, service.runs("b")), (200, 1), "{response:?}");
    trainer.step(STEP_TIMEOUT).await.expect("a lot from the other host");
    assert!(trainer.sample_counts.values().all(|&times| times == 1));
    // A replacement for the dead host gets its contracts from its peers.
    entry.restart()?;
    env.wait_until_in_force(&entry, "savanna", revision).await?;
    env.wait_until_ready(&entry).await
}

#[tokio::test(flavor = "multi_thread")]
async fn log_outage_and_replacement_of_all_hosts_of_a_data_centre() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let _engine = env.start_engine("renewals-1", env.engine_spec("renewals")).await?;
    let revision = env.publish(&savanna(), 0).await?;
    let remote = env.start_process("cassia-entry", "remote", "dc2", &[]).await?;
    let mut local = Vec::new();
    for i in 0..3 {
        local.push(env.start_entry(&format!("h{i}")).await?);
    }
    for process in &local {
        env.wait_until_in_force(process, "savanna", revision).await?;
    }
    env.wait_until_in_force(&remote, "savanna", revision).await?;
    env.log.set_down(true);
    for process in &mut local {
        process.kill();
    }
    let caller = Caller::new(SAVANNA_KEY);
    for process in &mut local {
        process.restart()?;
    }
    for process in &local {
        env.wait_until_in_force(process, "savanna", revision).await?;
        env.wait_for_view(process, 1, 3).await?;
        let body = json!({"prompt": "x", "max_tokens": 4});
        let response = caller.post(process.listen, QUOTE_PATH, &[], &body).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_host_and_racing_operators() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let frozen = env.start_entry("h1").await?;
    let other = env.start_entry("h2").await?;
    let first = env.publish(&savanna(), 0).await?;
    for process in [&frozen, &other] {
        env.wait_until_in_force(process, "savanna", first).await?;
    }
    frozen.freeze();
    let mut amended = savanna();
    amended.priority = 1;
    let second = env.publish(&amended, first).await?;
    amended.priority = 2;
    let superseded = env.publish(&amended, first).await?;
    assert!(superseded > second);
    env.wait_until_in_force(&other, "savanna", second).await?;
    frozen.resume();
    env.wait_until_in_force(&frozen, "savanna", second).await
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_activation_and_stalled_connections() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let engine = EngineStandin::start(env.engine_spec("renewals")).await?;
    let proxy = Proxy::start(engine.addr()).await?;
    let kind = TargetKind::Engine { model: "renewals".into() };
    env.list_target("renewals-1", proxy.addr(), kind);
    let _healthy = env.start_engine("renewals-2", env.engine_spec("renewals")).await?;
    let revision = env.publish(&savanna(), 0).await?;
    let entry = env.start_entry("h1").await?;
    let lease_term = "--lease-term-ms=1000";
    let _control = env.start_process("cassia-control", "h1", "dc1", &[lease_term]).await?;
    env.wait_until_in_force(&entry, "savanna", revision).await?;
    env.wait_for_view(&entry, 2, 1).await?;
    let caller = Caller::new(SAVANNA_KEY);
    let body = json!({"prompt": "x", "max_tokens": 4});
    for _ in 0..10 {
        assert_eq!(caller.post(entry.listen, QUOTE_PATH, &[], &body).await.status, 200);
    }
    engine.set_faults(EngineFaults { activation_fails: true, ..EngineFaults::default() });
    env.weights.publish("renewals", 2);
    assert!(eventually(|| async { engine.version().is_none() }).await);
    proxy.stall_connections();
    for _ in 0..10 {
        let response = caller.post(entry.listen, QUOTE_PATH, &[], &body).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    engine.set_faults(EngineFaults::default());
    assert!(eventually(|| async { engine.version() == Some(2) }).await);
    let activated = engine.orders().into_iter().filter(|o| o.kind == OrderKind::Activate);
    assert!(activated.map(|o| o.version).all(|version| version == 2));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_call_and_planned_stop() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let service = env.start_service("status-1", "pass-status").await?;
    let revision = env.publish(&savanna(), 0).await?;
    let mut entry = env.start_entry("h1").await?;
    let other = env.start_entry("h2").await?;
    for process in [&entry, &other] {
        env.wait_until_in_force(process, "savanna", revision).await?;
        env.wait_for_view(process, 1, 1).await?;
    }
    let caller = Caller::new(SAVANNA_KEY);
    let ticket = caller.fetch_ticket(entry.listen, STATUS_PATH).await;
    service.set_fault(ServiceFault::Slow(1_500));
    let (client, sent_ticket, listen) = (caller.clone(), ticket.clone(), entry.listen);
    let call = tokio::spawn(async move {
        client.redeem(listen, STATUS_PATH, &sent_ticket, &json!({"key": "k"})).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    entry.terminate();
    let response = call.await?;
    assert_eq!((response.status, service.runs("k")), (200, 1), "{response:?}");
    let status = entry.wait(Duration::from_secs(30)).await.expect("the process exits");
    assert!(status.success());
    // The other host does not run it again.
    let response = caller.redeem(other.listen, STATUS_PATH, &ticket, &json!({"key": "k"})).await;
    assert_eq!((response.text("ran"), service.runs("k")), ("unknown", 1));
    Ok(())
}
