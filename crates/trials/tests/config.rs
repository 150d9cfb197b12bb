//! Configuration changes are in force within seconds and never revert, with
//! racing operators, lost responses, outages, partitions and log retention.

use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use cassia_contract::Contract;
use cassia_standin::Proxy;
use cassia_trials::Caller;
use cassia_trials::Process;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::contract_revision;
use cassia_trials::eventually;
use cassia_trials::leserbild;
use cassia_trials::savanna;
use futures::future::try_join_all;
use serde_json::json;

/// The bound within which a change must be in force everywhere.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(8);

struct ContractFile(std::path::PathBuf);

impl ContractFile {
    fn new(name: &str, contract: &Contract) -> std::io::Result<Self> {
        let name = format!("cassia-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::File::create(&path)?.write_all(json!(contract).to_string().as_bytes())?;
        Ok(Self(path))
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap_or_default()
    }
}

impl Drop for ContractFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

async fn savanna_revision(process: &Process) -> Option<u64> {
    let state = Caller::new("").get(process.ops, "/state").await.body;
    contract_revision(&state, "savanna")
}

async fn is_ready(process: &Process) -> bool {
    Caller::new("").get(process.ops, "/ready").await.status == 200
}

#[tokio::test(flavor = "multi_thread")]
async fn one_racing_publish_wins_and_the_others_get_a_conflict() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let entry = env.start_entry("h1").await?;
    let files: Vec<_> = (0..4)
        .map(|i| {
            let contract = Contract { priority: i, ..savanna() };
            ContractFile::new(&format!("race-{i}"), &contract)
        })
        .collect::<Result<_, _>>()?;
    let publish =
        async |f: &ContractFile| env.run_cassiactl(&["publish", "--revision=0", f.path()]).await;
    let results = try_join_all(files.iter().map(publish)).await?;
    let winners: Vec<_> = results.iter().filter(|(code, _)| *code == Some(0)).collect();
    assert_eq!(winners.len(), 1, "{results:?}");
    let revision = winners[0].1["revision"].as_u64().expect("a revision");
    let conflict = format!("revision {revision} is in force");
    for (code, printed) in results.iter().filter(|(code, _)| *code != Some(0)) {
        let error = printed["error"].as_str().unwrap_or_default();
        assert!(*code == Some(3) && error.contains(&conflict), "{code:?} {error}");
    }
    env.wait_until_in_force(&entry, "savanna", revision).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_publish_whose_response_is_lost_is_applied_once() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let file = ContractFile::new("lost", &savanna())?;
    env.log.drop_append_responses(1);
    let (code, printed) = env.run_cassiactl(&["publish", file.path()]).await?;
    assert_eq!((code, &printed["revision"]), (Some(0), &json!(1)));
    // A second publish on top of it checks that revision 1 is in force.
    let (code, printed) = env.run_cassiactl(&["publish", "--revision=1", file.path()]).await?;
    assert_eq!(code, Some(0), "{printed}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere_within_eight_seconds() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let mut processes = Vec::new();
    for i in 0..6 {
        processes.push(env.start_entry(&format!("h{i}")).await?);
    }
    for process in &processes {
        env.wait_until_ready(process).await?;
        env.wait_for_view(process, 0, 5).await?;
    }
    let start = Instant::now();
    let revision = env.publish(&savanna(), 0).await?;
    for process in &processes {
        env.wait_until_in_force(process, "savanna", revision).await?;
    }
    assert!(start.elapsed() < PROPAGATION_LIMIT, "{:?}", start.elapsed());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn in_a_log_outage_a_new_process_gets_its_configuration_from_peers() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let _engine = env.start_engine("renewals-1", env.engine_spec("renewals")).await?;
    let first = env.start_entry("h1").await?;
    let revision = env.publish(&savanna(), 0).await?;
    env.wait_until_in_force(&first, "savanna", revision).await?;
    env.log.set_down(true);
    let new_process = env.start_entry("h2").await?;
    env.wait_until_ready(&new_process).await?;
    env.wait_for_view(&new_process, 1, 1).await?;
    let caller = Caller::new(SAVANNA_KEY);
    for process in [&first, &new_process] {
        assert_eq!(savanna_revision(process).await, Some(revision));
        let body = json!({"prompt": "a pass", "max_tokens": 4});
        let response = caller.post(process.listen, "/v1/savanna/quote", &[], &body).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    // A publish fails with the exit code for an unreachable log.
    let file = ContractFile::new("outage", &leserbild())?;
    let (code, _) = env.run_cassiactl(&["publish", file.path()]).await?;
    assert_eq!(code, Some(4));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_starts_alone_in_an_outage_is_not_ready() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    env.log.set_down(true);
    let process = env.start_entry("h1").await?;
    assert!(!is_ready(&process).await);
    let response = Caller::new(SAVANNA_KEY)
        .post(process.listen, "/v1/savanna/quote", &[], &json!({"prompt": "x"}))
        .await;
    assert_eq!((response.status, response.text("kind")), (503, "not_configured"));
    assert_eq!(response.text("ran"), "not_run");
    env.log.set_down(false);
    env.wait_until_ready(&process).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_cut_off_from_the_log_gets_changes_from_its_peers() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let proxy = Proxy::start(env.log.addr()).await?;
    let log = format!("--log={}", proxy.addr());
    let connected = env.start_entry("h1").await?;
    let cut_off = env.start_process("cassia-entry", "h2", "dc2", &[&log]).await?;
    let first = env.publish(&savanna(), 0).await?;
    env.wait_until_in_force(&cut_off, "savanna", first).await?;
    env.wait_for_view(&cut_off, 0, 1).await?;
    env.wait_for_view(&connected, 0, 1).await?;
    proxy.set_blocked(true);
    let second = env.publish(&Contract { priority: 7, ..savanna() }, first).await?;
    env.wait_until_in_force(&connected, "savanna", second).await?;
    env.wait_until_in_force(&cut_off, "savanna", second).await
}

#[tokio::test(flavor = "multi_thread")]
async fn contracts_in_force_outlive_the_log_retention() -> anyhow::Result<()> {
    let mut env = TestEnv::start().await?;
    // With a retention of one second, a snapshot is due as soon as the first
    // seconds are over, in which a process leaves snapshots to its peers.
    env.flags.push("--log-retention-s=1".to_owned());
    let mut old = env.start_entry("h1").await?;
    let revision = env.publish(&savanna(), 0).await?;
    env.wait_until_in_force(&old, "savanna", revision).await?;
    let snapshot = |env: &TestEnv| {
        env.log.records("config").iter().any(|r| r.contains("\"record\":\"snapshot\""))
    };
    assert!(eventually(|| async { snapshot(&env) }).await, "no snapshot was appended");
    // All hosts are replaced; only the records retained in the log are left.
    old.kill();
    env.log.expire_before("config", 1);
    let new = env.start_entry("h2").await?;
    env.wait_until_in_force(&new, "savanna", revision).await?;
    env.wait_until_ready(&new).await
}

#[tokio::test(flavor = "multi_thread")]
async fn no_revision_reverts_across_log_outages_and_restarts() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let mut hosts = vec![env.start_entry("h1").await?, env.start_entry("h2").await?];
    let mut revision = 0;
    let mut seen = vec![0; 2];
    for round in 0..4_u32 {
        let contract = Contract { priority: round, ..savanna() };
        revision = env.publish(&contract, revision).await?;
        env.log.set_down(round % 2 == 0);
        for (process, seen) in hosts.iter().zip(&mut seen) {
            let now = savanna_revision(process).await.unwrap_or(0);
            assert!(now >= *seen, "reverted from {seen} to {now}");
            *seen = now;
        }
        env.log.set_down(false);
        for process in &hosts {
            env.wait_until_in_force(process, "savanna", revision).await?;
        }
        // A process that restarts during an outage must have a revision no older
        // than its peer's.
        env.log.set_down(true);
        let i = usize::try_from(round % 2)?;
        hosts[i].restart()?;
        let process = &hosts[i];
        assert!(eventually(|| async { is_ready(process).await }).await);
        assert_eq!(savanna_revision(process).await, Some(revision));
        env.log.set_down(false);
        seen = vec![revision; 2];
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_log_connection_delays_no_change() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let proxy = Proxy::start(env.log.addr()).await?;
    let log = format!("--log={}", proxy.addr());
    let process = env.start_process("cassia-entry", "h1", "dc1", &[&log]).await?;
    let first = env.publish(&savanna(), 0).await?;
    env.wait_until_in_force(&process, "savanna", first).await?;
    proxy.stall_connections();
    let start = Instant::now();
    let second = env.publish(&Contract { priority: 3, ..savanna() }, first).await?;
    env.wait_until_in_force(&process, "savanna", second).await?;
    assert!(start.elapsed() < PROPAGATION_LIMIT, "{:?}", start.elapsed());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_arrive_from_a_slow_log() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let process = env.start_entry("h1").await?;
    let first = env.publish(&savanna(), 0).await?;
    env.wait_until_in_force(&process, "savanna", first).await?;
    // Longer than the initial timeout of a read.
    env.log.set_delay_ms(4_000);
    let second = env.publish(&Contract { priority: 3, ..savanna() }, first).await?;
    env.wait_until_in_force(&process, "savanna", second).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_starts_without_log_and_list_gets_both_from_a_peer() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let _engine = env.start_engine("renewals-1", env.engine_spec("renewals")).await?;
    let old = env.start_entry("h1").await?;
    let revision = env.publish(&savanna(), 0).await?;
    env.wait_until_in_force(&old, "savanna", revision).await?;
    env.wait_for_view(&old, 1, 0).await?;
    // These addresses are unreachable; the peer is given by --seeds.
    let unreachable = Proxy::start(env.log.addr()).await?;
    unreachable.set_blocked(true);
    let log = format!("--log={}", unreachable.addr());
    let list = format!("--list={}", unreachable.addr());
    let seeds = format!("--seeds={}", old.link);
    let new = env.start_process("cassia-entry", "h2", "dc1", &[&log, &list, &seeds]).await?;
    env.wait_until_in_force(&new, "savanna", revision).await?;
    env.wait_for_view(&new, 1, 1).await?;
    let body = json!({"prompt": "x", "max_tokens": 4});
    let caller = Caller::new(SAVANNA_KEY);
    let response = caller.post(new.listen, "/v1/savanna/quote", &[], &body).await;
    assert_eq!(response.status, 200, "{response:?}");
    Ok(())
}
