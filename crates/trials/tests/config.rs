//! Configuration in force within seconds, never reverting: real processes,
//! operators that race, lost answers, outages, cuts and retention.

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

/// The target: a change is in force everywhere within this time.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);

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

async fn revision(process: &Process, customer: &str) -> Option<u64> {
    let state = Caller::new("").get(process.ops, "/state").await.body;
    contract_revision(&state, customer)
}

async fn ready(process: &Process) -> bool {
    Caller::new("").get(process.ops, "/ready").await.status == 200
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_one_wins_and_the_others_are_told() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let entry = trial.start_entry("h1").await?;
    let files: Vec<_> = (0..4)
        .map(|i| {
            let contract = Contract { priority: i, ..savanna() };
            ContractFile::new(&format!("race-{i}"), &contract)
        })
        .collect::<Result<_, _>>()?;
    let publish =
        async |f: &ContractFile| trial.run_cassiactl(&["publish", "--revision=0", f.path()]).await;
    let ended = try_join_all(files.iter().map(publish)).await?;
    let winners: Vec<_> = ended.iter().filter(|(code, _)| *code == Some(0)).collect();
    assert_eq!(winners.len(), 1, "{ended:?}");
    let revision = winners[0].1["revision"].as_u64().expect("a revision");
    let beaten = format!("revision {revision} is in force");
    for (code, printed) in ended.iter().filter(|(code, _)| *code != Some(0)) {
        let told = printed["error"].as_str().unwrap_or_default();
        assert!(*code == Some(3) && told.contains(&beaten), "{code:?} {told}");
    }
    trial.wait_until_in_force(&entry, "savanna", revision).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_publish_whose_answers_are_lost_counts_once() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let file = ContractFile::new("lost", &savanna())?;
    trial.log.drop_append_responses(1);
    let (code, printed) = trial.run_cassiactl(&["publish", file.path()]).await?;
    assert_eq!((code, &printed["revision"]), (Some(0), &json!(1)));
    // Another change on top of it, as a check that the revision stands.
    let (code, printed) = trial.run_cassiactl(&["publish", "--revision=1", file.path()]).await?;
    assert_eq!(code, Some(0), "{printed}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere_within_eight_seconds() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let mut processes = Vec::new();
    for i in 0..6 {
        processes.push(trial.start_entry(&format!("h{i}")).await?);
    }
    for process in &processes {
        trial.wait_until_ready(process).await?;
        trial.wait_for_view(process, 0, 5).await?;
    }
    let began = Instant::now();
    let revision = trial.publish(&savanna(), 0).await?;
    for process in &processes {
        trial.wait_until_in_force(process, "savanna", revision).await?;
    }
    assert!(began.elapsed() < IN_FORCE_WITHIN, "{:?}", began.elapsed());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn in_an_outage_all_go_on_and_a_newcomer_learns_from_its_peers() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let _engine = trial.start_engine("renewals-1", trial.engine_spec("renewals")).await?;
    let first = trial.start_entry("h1").await?;
    let revision = trial.publish(&savanna(), 0).await?;
    trial.wait_until_in_force(&first, "savanna", revision).await?;
    trial.log.set_down(true);
    let newcomer = trial.start_entry("h2").await?;
    trial.wait_until_ready(&newcomer).await?;
    trial.wait_for_view(&newcomer, 1, 1).await?;
    let gate = Caller::new(SAVANNA_KEY);
    for process in [&first, &newcomer] {
        assert_eq!(revision_of(process).await, Some(revision));
        let body = json!({"prompt": "a pass", "max_tokens": 4});
        let reply = gate.post(process.listen, "/v1/savanna/quote", &[], &body).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    // An operator is told that nothing came of it.
    let file = ContractFile::new("outage", &leserbild())?;
    let (code, _) = trial.run_cassiactl(&["publish", file.path()]).await?;
    assert_eq!(code, Some(4));
    Ok(())
}

async fn revision_of(process: &Process) -> Option<u64> {
    revision(process, "savanna").await
}

#[tokio::test(flavor = "multi_thread")]
async fn one_that_starts_alone_in_an_outage_says_that_it_is_not_ready() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    trial.log.set_down(true);
    let alone = trial.start_entry("h1").await?;
    assert!(!ready(&alone).await);
    let reply = Caller::new(SAVANNA_KEY)
        .post(alone.listen, "/v1/savanna/quote", &[], &json!({"prompt": "x"}))
        .await;
    assert_eq!((reply.status, reply.text("kind")), (503, "not_configured"));
    assert_eq!(reply.text("ran"), "not_run");
    trial.log.set_down(false);
    trial.wait_until_ready(&alone).await
}

#[tokio::test(flavor = "multi_thread")]
async fn one_that_is_cut_off_from_the_log_hears_of_changes_by_its_peers() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let way = Proxy::start(trial.log.addr()).await?;
    let log = format!("--log={}", way.addr());
    let near = trial.start_entry("h1").await?;
    let cut_off = trial.start_process("cassia-entry", "h2", "dc2", &[&log]).await?;
    let first = trial.publish(&savanna(), 0).await?;
    trial.wait_until_in_force(&cut_off, "savanna", first).await?;
    trial.wait_for_view(&cut_off, 0, 1).await?;
    trial.wait_for_view(&near, 0, 1).await?;
    way.set_blocked(true);
    let second = trial.publish(&Contract { priority: 7, ..savanna() }, first).await?;
    trial.wait_until_in_force(&near, "savanna", second).await?;
    trial.wait_until_in_force(&cut_off, "savanna", second).await
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_in_force_outlives_the_logs_retention() -> anyhow::Result<()> {
    let mut trial = TestEnv::start().await?;
    // A retention of a second: snapshots are due at once, after the first
    // seconds in which a process leaves them to others.
    trial.flags.push("--log-retention-s=1".to_owned());
    let mut old = trial.start_entry("h1").await?;
    let revision = trial.publish(&savanna(), 0).await?;
    trial.wait_until_in_force(&old, "savanna", revision).await?;
    let snapshot = |trial: &TestEnv| {
        trial.log.records("config").iter().any(|r| r.contains("\"record\":\"snapshot\""))
    };
    assert!(eventually(|| async { snapshot(&trial) }).await, "no snapshot was appended");
    // All hosts are replaced; only what the log still has is left.
    old.kill();
    trial.log.expire_before("config", 1);
    let new = trial.start_entry("h2").await?;
    trial.wait_until_in_force(&new, "savanna", revision).await?;
    trial.wait_until_ready(&new).await
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_reverts_when_the_log_and_the_hosts_come_and_go() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let mut hosts = vec![trial.start_entry("h1").await?, trial.start_entry("h2").await?];
    let mut revision = 0;
    let mut seen = vec![0; 2];
    for round in 0..4_u32 {
        let contract = Contract { priority: round, ..savanna() };
        revision = trial.publish(&contract, revision).await?;
        trial.log.set_down(round % 2 == 0);
        for (process, seen) in hosts.iter().zip(&mut seen) {
            let now = self::revision(process, "savanna").await.unwrap_or(0);
            assert!(now >= *seen, "went back from {seen} to {now}");
            *seen = now;
        }
        trial.log.set_down(false);
        for process in &hosts {
            trial.wait_until_in_force(process, "savanna", revision).await?;
        }
        // Replaced during an outage, it must come back no older than its peer.
        trial.log.set_down(true);
        let i = usize::try_from(round % 2)?;
        hosts[i].restart()?;
        let process = &hosts[i];
        assert!(eventually(|| async { ready(process).await }).await);
        assert_eq!(self::revision(process, "savanna").await, Some(revision));
        trial.log.set_down(false);
        seen = vec![revision; 2];
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_connection_that_goes_silent_holds_no_change_up() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let way = Proxy::start(trial.log.addr()).await?;
    let log = format!("--log={}", way.addr());
    let alone = trial.start_process("cassia-entry", "h1", "dc1", &[&log]).await?;
    let first = trial.publish(&savanna(), 0).await?;
    trial.wait_until_in_force(&alone, "savanna", first).await?;
    way.stall_connections();
    let began = Instant::now();
    let second = trial.publish(&Contract { priority: 3, ..savanna() }, first).await?;
    trial.wait_until_in_force(&alone, "savanna", second).await?;
    assert!(began.elapsed() < IN_FORCE_WITHIN, "{:?}", began.elapsed());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_is_slow_still_brings_changes() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let alone = trial.start_entry("h1").await?;
    let first = trial.publish(&savanna(), 0).await?;
    trial.wait_until_in_force(&alone, "savanna", first).await?;
    // Longer than a reader waits at first.
    trial.log.set_delay_ms(4_000);
    let second = trial.publish(&Contract { priority: 3, ..savanna() }, first).await?;
    trial.wait_until_in_force(&alone, "savanna", second).await
}

#[tokio::test(flavor = "multi_thread")]
async fn one_that_starts_without_log_and_list_serves_by_its_peers_word() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let _engine = trial.start_engine("renewals-1", trial.engine_spec("renewals")).await?;
    let old = trial.start_entry("h1").await?;
    let revision = trial.publish(&savanna(), 0).await?;
    trial.wait_until_in_force(&old, "savanna", revision).await?;
    trial.wait_for_view(&old, 1, 0).await?;
    // Nobody answers at these addresses; the peer is known from the settings.
    let nobody = Proxy::start(trial.log.addr()).await?;
    nobody.set_blocked(true);
    let log = format!("--log={}", nobody.addr());
    let list = format!("--list={}", nobody.addr());
    let seeds = format!("--seeds={}", old.link);
    let new = trial.start_process("cassia-entry", "h2", "dc1", &[&log, &list, &seeds]).await?;
    trial.wait_until_in_force(&new, "savanna", revision).await?;
    trial.wait_for_view(&new, 1, 1).await?;
    let body = json!({"prompt": "x", "max_tokens": 4});
    let caller = Caller::new(SAVANNA_KEY);
    let reply = caller.post(new.listen, "/v1/savanna/quote", &[], &body).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    Ok(())
}
