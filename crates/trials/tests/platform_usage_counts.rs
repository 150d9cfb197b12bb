//! What counts as usage, and who reports it, on the platform's stand-ins.

use std::time::Duration;

use anyhow::Context;
use cassia_lease::STREAM;
use cassia_standin::PlatformApiFault;
use cassia_standin::Proxy;
use cassia_standin::ResponseFault;
use cassia_standin::TargetFaults;
use cassia_trials::UsageCounts;
use cassia_trials::UsageTrial;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::platform_config;
use cassia_trials::start_processes;
use serde_json::json;
use tokio::time::sleep;

/// Guards against customers who pay for the items and reward calls of their jobs, or for
/// requests without a key, as for requests of theirs.
#[tokio::test]
async fn items_reward_calls_and_public_requests_are_not_counted() -> anyhow::Result<()> {
    let mut trial = UsageTrial::without_processes().await?;
    let mut config = platform_config(3, true);
    config["tenants"] = json!([
        {"name": "leserbild", "api_keys": ["k1"]}, {"name": "hule930", "api_keys": ["k2"]}]);
    for route in config["routes"].as_array_mut().context("no routes")? {
        route["public"] = json!(route["name"] == "extra");
    }
    trial.env.store.put("keyed.op", "config", Some(&config));
    trial.processes = start_processes(&trial.env, 2).await?;
    let process = trial.process("h0")?;
    let headers = [
        ("attempt-id", "job1"),
        ("content-type", "application/json"),
        ("authorization", "Token k1"),
    ];
    let job = batch_job("job1", 8, 0).to_string();
    let submitted = trial.env.send("POST", process.listen, "/job/x", &headers, job).await;
    anyhow::ensure!(submitted.status < 300, "job: {}", submitted.status);
    for n in 0..10 {
        let response = trial.env.request(process, "/extra/1", &format!("public{n}")).await;
        anyhow::ensure!(response.status == 200, "public: {}", response.status);
    }
    let all_ran = || async { (0..8).all(|n| trial.env.run_count(&format!("job1-{n}-score")) > 0) };
    anyhow::ensure!(eventually(all_ran).await, "the job's reward calls never ran");
    trial.load(&["h0", "h1"], Duration::from_secs(1)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against requests that are counted once for each target: one of the targets runs
/// them and fails, another one often says that it did not run them.
#[tokio::test]
async fn a_request_that_several_targets_get_is_counted_once() -> anyhow::Result<()> {
    let mut trial = UsageTrial::start(3).await?;
    let services: Vec<_> =
        trial.env.targets.iter().filter(|target| target.id().starts_with('s')).collect();
    let response = ResponseFault::Error;
    services[0].set_faults(TargetFaults { response, ..TargetFaults::default() });
    services[1].set_faults(TargetFaults { refuse_every: Some(2), ..TargetFaults::default() });
    trial.load(&["h0", "h1", "h2"], Duration::from_secs(3)).await?;
    let runs: usize = trial.env.targets.iter().map(|target| target.runs().len()).sum();
    let sent: u64 = trial.sent.values().sum();
    anyhow::ensure!(runs as u64 > sent, "no request ran at two targets");
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against work for the duties in deployments whose settings have none.
#[tokio::test]
async fn without_an_address_of_the_api_nothing_is_counted_and_no_lease_is_claimed()
-> anyhow::Result<()> {
    let mut trial = UsageTrial::without_processes().await?;
    // The platform leaves settings empty that it has no value for.
    trial.env.flags = vec![
        "--platform-api=".to_owned(),
        "--duties=".to_owned(),
        "--duty-calls-per-s=".to_owned(),
        "--usage-window-s=".to_owned(),
        "--usage-late-s=".to_owned(),
    ];
    trial.processes = start_processes(&trial.env, 2).await?;
    trial.load(&["h0", "h1"], Duration::from_secs(6)).await?;
    assert!(trial.env.store.records("usage", 0).is_empty(), "counts are in the log");
    let leases = trial.env.store.records(STREAM, 0);
    let names_duties = |record: &bytes::Bytes| String::from_utf8_lossy(record).contains("duties");
    anyhow::ensure!(!leases.is_empty(), "nobody claimed the lease for orders");
    assert!(!leases.iter().any(names_duties), "the lease for duties was claimed");
    assert_eq!(trial.state("h0").await?["duties"], json!(null));
    assert!(trial.api.calls().is_empty());
    Ok(())
}

/// Guards against reports that stay away because the one host that may send them is the
/// one that can't reach the platform.
#[tokio::test]
async fn a_holder_that_does_not_reach_the_platform_leaves_it_to_another() -> anyhow::Result<()> {
    let mut trial = UsageTrial::without_processes().await?;
    let (api, mut links) = (trial.api.addr(), Vec::new());
    for n in 0..3 {
        let link = Proxy::start(api).await?;
        trial.env.flags[0] = format!("--platform-api={}", link.addr());
        let host = format!("h{n}");
        trial.processes.push((host.clone(), trial.env.start_process(&host).await?));
        links.push((host, link));
    }
    let (holder, _) = trial.holder().await?;
    let state = trial.state(&holder).await?;
    assert_eq!(state["duties"]["fence"], json!(trial.api.calls()[0].fence), "{state}");
    for (_, link) in links.iter().filter(|(host, _)| *host == holder) {
        link.set_blocked(true);
        link.close_connections();
    }
    trial.load(&["h0", "h1", "h2"], Duration::from_secs(3)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    let last = trial.api.calls().pop().context("no call")?;
    assert_ne!(last.holder, holder);
    Ok(())
}

/// Guards against a backlog that is reported faster than the platform accepts calls.
#[tokio::test]
async fn a_backlog_is_reported_within_the_limit_of_calls() -> anyhow::Result<()> {
    const CALLS_PER_SECOND: usize = 3;
    let mut trial = UsageTrial::without_processes().await?;
    trial.env.flags.push(format!("--duty-calls-per-s={CALLS_PER_SECOND}"));
    trial.processes = start_processes(&trial.env, 2).await?;
    trial.holder().await?;
    trial.api.set_fault(PlatformApiFault::Refuse);
    sleep(Duration::from_secs(12)).await;
    trial.api.set_fault(PlatformApiFault::None);
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), UsageCounts::new());
    let calls = trial.api.calls();
    // Calls may arrive a little closer to each other than they were sent.
    let second = Duration::from_millis(950);
    for (n, first) in calls.iter().enumerate() {
        let count = calls[n..].iter().filter(|call| call.at < first.at + second).count();
        assert!(count <= CALLS_PER_SECOND, "{count} calls in a second from call {n}");
    }
    Ok(())
}
