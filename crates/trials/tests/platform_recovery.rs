//! All processes end at once while the log is long and the links to the store
//! are slow.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use cassia_jobs::JobRecord;
use cassia_standin::Proxy;
use cassia_standin::StoreFaults;
use cassia_standin::TargetSpec;
use cassia_standin::TargetStandin;
use cassia_trials::PARTITIONS;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::split_owner;
use cassia_trials::start_processes;
use cassia_trials::wait_until_serving;
use rstest::rstest;
use tokio::time::sleep;

/// Time within which the platform wants requests to be served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// Delay of each piece of at most 16 KiB that a slow link forwards, in
/// milliseconds: at most 320 KB/s.
const SLOW_LINK_DELAY_MS: u64 = 50;
const FILLER_BYTES: usize = 100 << 10;
const ITEMS: usize = 8;
const HOSTS: [&str; 3] = ["h1", "h2", "h3"];

async fn start_all(env: &PlatformEnv, link: &Proxy) -> anyhow::Result<Vec<Process>> {
    let mut processes = Vec::new();
    for host in HOSTS {
        processes.push(env.start_process_with_store(host, link.addr()).await?);
    }
    Ok(processes)
}

/// Appends records that no job needs to all partitions, and waits until the
/// owners have written snapshots after them.
async fn lengthen_log(env: &PlatformEnv, records: usize) -> anyhow::Result<()> {
    for partition in 0..PARTITIONS {
        for _ in 0..records {
            env.store.append("jobs", partition, Bytes::from(vec![0xff; FILLER_BYTES]));
        }
    }
    let before = snapshot_counts(env);
    for partition in 0..PARTITIONS {
        env.store.append("jobs", partition, Bytes::from(vec![0xff; FILLER_BYTES]));
    }
    let written = || async {
        snapshot_counts(env).into_iter().zip(&before).all(|(now, before)| now > *before)
    };
    anyhow::ensure!(eventually(written).await, "no snapshots");
    Ok(())
}

fn snapshot_counts(env: &PlatformEnv) -> Vec<usize> {
    let count = |partition| env.store.records(cassia_jobs::SNAPSHOT_TOPIC, partition).len();
    (0..PARTITIONS).map(count).collect()
}

/// Each host is asked about each job. A host that replays the log needs longer
/// for it than any caller waits.
#[rstest]
#[case::log_of_2_mb(10)]
#[case::log_of_20_mb(100)]
#[tokio::test]
async fn jobs_can_be_read_soon_after_all_processes_restart(
    #[case] records: usize,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let link = Proxy::start(env.store.addr()).await?;
    let mut processes = start_all(&env, &link).await?;
    let mut jobs = Vec::new();
    for id in ["j1", "j2", "j3", "j4"] {
        assert_eq!(env.submit_job(&processes[0], id, &batch_job(id, ITEMS, 1)).await.status, 202);
        jobs.push((id, env.all_results(&processes[0], id).await.context("results")?));
    }
    lengthen_log(&env, records).await?;
    for process in &mut processes {
        process.kill();
    }
    link.set_delay_ms(SLOW_LINK_DELAY_MS);
    let processes = start_all(&env, &link).await?;
    let (started, bytes_before) = (Instant::now(), link.bytes_forwarded());
    for process in &processes {
        for (id, results) in &jobs {
            let again = env.all_results(process, id).await;
            assert_eq!(again.as_ref(), Some(results), "{id} after {:?}", started.elapsed());
        }
    }
    assert!(started.elapsed() < RECOVERY_LIMIT, "{:?}", started.elapsed());
    let bytes = link.bytes_forwarded() - bytes_before;
    assert!(bytes < 20 * FILLER_BYTES as u64, "{bytes} bytes read");
    Ok(())
}

/// A log that an earlier release wrote has no snapshots, and a later release
/// may write ones that this one can't decode.
#[rstest]
#[case::no_snapshot(None)]
#[case::not_a_snapshot(Some(&b"\xff\xff\xff"[..]))]
#[case::of_a_later_record_that_is_not_there(Some(&b"\x08\x00"[..]))]
#[tokio::test]
async fn without_a_usable_snapshot_the_log_is_read(
    #[case] snapshot: Option<&[u8]>,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let mut first = env.start_process("h1").await?;
    assert_eq!(env.submit_job(&first, "j", &batch_job("j", ITEMS, 1)).await.status, 202);
    let results = env.all_results(&first, "j").await.context("results")?;
    assert_complete(&results, "j", ITEMS);
    first.kill();
    for partition in 0..PARTITIONS {
        for _ in 0..5 {
            env.store.append("jobs", partition, Bytes::from(vec![0xff; FILLER_BYTES]));
        }
        if let Some(snapshot) = snapshot {
            let key = cassia_jobs::SNAPSHOT_KEY;
            env.store.put_bytes_in(cassia_jobs::SNAPSHOT_TOPIC, partition, key, snapshot);
        }
    }
    let second = env.start_process("h2").await?;
    assert_eq!(env.all_results(&second, "j").await.as_ref(), Some(&results));
    assert_eq!(env.end_job(&second, "j").await.status, 200);
    sleep(Duration::from_millis(200)).await;
    assert_eq!(env.all_results(&second, "j").await.as_ref(), Some(&results));
    Ok(())
}

/// A long item is not generated from its start again when the process that
/// runs it ends.
#[tokio::test]
async fn an_item_goes_on_where_its_last_process_stored_it() -> anyhow::Result<()> {
    const EVENT_TIME: Duration = Duration::from_millis(500);
    const RENEWAL: Duration = Duration::from_millis(800);
    let env = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let processes = start_processes(&env, 2).await?;
    let (mut owner, others) = split_owner(&env, "j", processes);
    // The first process has run all partitions; it notices at its next renewal
    // that it lost some.
    sleep(RENEWAL).await;
    env.targets[..2].iter().for_each(|engine| engine.set_delay(EVENT_TIME));
    assert_eq!(env.submit_job(&others[0], "j", &batch_job("j", 4, 1)).await.status, 202);
    let partition = cassia_jobs::partition("j", PARTITIONS);
    let progress_count = || {
        let records = env.store.records(cassia_jobs::JOBS_TOPIC, partition).into_iter();
        let is_progress = |record| matches!(JobRecord::decode(record), JobRecord::Progress(_));
        records.map(is_progress).filter(|is| *is).count()
    };
    let stored = || async { progress_count() >= 4 };
    anyhow::ensure!(eventually(stored).await, "no progress is stored");
    owner.kill();
    let results = env.all_results(&others[0], "j").await.context("results")?;
    assert_complete(&results, "j", 4);
    let runs: Vec<_> = env.targets[..2].iter().flat_map(|engine| engine.runs()).collect();
    assert_eq!(runs.len(), 8, "each item runs twice: {runs:?}");
    assert_eq!(runs.iter().filter(|run| run.last_event_id.is_some()).count(), 4, "{runs:?}");
    Ok(())
}

/// A host that is cut off from the store leaves the callers to others: the load
/// balancer sees it, and a call about a job is refused at once instead of at
/// the end of the caller's patience. Plain requests are still served.
#[tokio::test]
async fn a_host_without_the_store_is_not_ready() -> anyhow::Result<()> {
    /// How long a refusal may take; a host that tries the store needs a second.
    const AT_ONCE: Duration = Duration::from_millis(500);
    let env = PlatformEnv::start().await?.with_targets(1, 2).await?;
    let link = Proxy::start(env.store.addr()).await?;
    let process = env.start_process_with_store("h1", link.addr()).await?;
    wait_until_serving(&env, &process).await?;
    assert_eq!(env.submit_job(&process, "j", &batch_job("j", 4, 1)).await.status, 202);
    assert!(env.all_results(&process, "j").await.is_some());
    link.set_blocked(true);
    let not_ready = || async { !env.is_ready(&process).await };
    anyhow::ensure!(eventually(not_ready).await, "it is still ready");
    let asked = Instant::now();
    assert_eq!(env.results(&process, "j", 0).await.status, 503);
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    assert_eq!(env.request(&process, "/quote/1", "r1").await.status, 200);
    link.set_blocked(false);
    let ready = || async { env.is_ready(&process).await };
    anyhow::ensure!(eventually(ready).await, "it is not ready again");
    assert!(env.all_results(&process, "j").await.is_some());
    Ok(())
}

/// The heartbeats that were written while a host was cut off are more than its
/// link carries in the time of one read. It must know the new targets all the
/// same.
#[tokio::test]
async fn targets_are_known_soon_after_a_cut() -> anyhow::Result<()> {
    const HEARTBEAT_BYTES: usize = 2 << 10;
    const HEARTBEATS: usize = 3_000;
    /// Longer than the time after which a snapshot is read.
    const CUT: Duration = Duration::from_millis(2_500);
    let mut env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let link = Proxy::start(env.store.addr()).await?;
    let process = env.start_process_with_store("h1", link.addr()).await?;
    wait_until_serving(&env, &process).await?;
    link.set_blocked(true);
    for _ in 0..HEARTBEATS {
        env.store.put_bytes("keyed.servers", "other", &[b'x'; HEARTBEAT_BYTES]);
    }
    env.targets[0].crash();
    env.add_target(TargetSpec {
        id: "s9".to_owned(),
        service: "intake".to_owned(),
        model: None,
        events: 0,
        delay: Duration::from_millis(5),
    })
    .await?;
    sleep(CUT).await;
    link.set_delay_ms(SLOW_LINK_DELAY_MS);
    link.set_blocked(false);
    let healed = Instant::now();
    let served = || async { env.request(&process, "/quote/1", "r1").await.status == 200 };
    anyhow::ensure!(eventually(served).await, "the new target is not known");
    assert!(healed.elapsed() < RECOVERY_LIMIT, "{:?}", healed.elapsed());
    Ok(())
}

/// Guards against a target that still gets requests though it was removed from
/// the list just after an outage, when removals take effect later: since nothing
/// else changes then, or since the host notices the end of the outage late.
#[rstest]
#[case::short_outage(Duration::from_millis(1_500), Duration::from_secs(5))]
#[case::long_outage(Duration::from_secs(8), Duration::from_secs(3))]
#[tokio::test]
async fn a_target_removed_after_an_outage_gets_no_requests(
    #[case] outage: Duration,
    #[case] limit: Duration,
) -> anyhow::Result<()> {
    /// When the target is removed, after the end of the outage.
    const REMOVED_AFTER: Duration = Duration::from_millis(900);
    const LOAD_AFTER_LIMIT: Duration = Duration::from_secs(3);
    let env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let link = Proxy::start(env.store.addr()).await?;
    let leaving = Arc::new(
        TargetStandin::start(TargetSpec {
            id: "leaving".to_owned(),
            service: "intake".to_owned(),
            model: None,
            events: 0,
            delay: Duration::from_millis(5),
        })
        .await?,
    );
    leaving.send_heartbeat(&env.store);
    let process = env.start_process_with_store("h1", link.addr()).await?;
    wait_until_serving(&env, &process).await?;
    link.set_blocked(true);
    sleep(outage).await;
    link.stall_connections();
    link.set_blocked(false);
    let healed = Instant::now();
    sleep(REMOVED_AFTER).await;
    env.store.put("keyed.servers", "leaving", None);
    while healed.elapsed() < limit + LOAD_AFTER_LIMIT {
        env.request(&process, "/quote/1", "r1").await;
        sleep(Duration::from_millis(30)).await;
    }
    let limit = healed + limit;
    let late = leaving.runs().iter().filter(|run| run.started > limit).count();
    assert_eq!(late, 0, "requests reached the removed target");
    Ok(())
}

/// Guards against a planned stop that spends its time on reads: in an outage of
/// the store they fail at once, and the delay after each ended as the stop began.
#[tokio::test]
async fn a_planned_stop_in_an_outage_reads_the_store_at_intervals() -> anyhow::Result<()> {
    const COUNTED: Duration = Duration::from_secs(1);
    /// Some ten reads of each controller.
    const MAX_BYTES: u64 = 100 << 10;
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let link = Proxy::start(env.store.addr()).await?;
    let mut process = env.start_process_with_store("h1", link.addr()).await?;
    // A job whose results can't be stored makes the stop last.
    env.targets[0].set_delay(Duration::from_millis(500));
    assert_eq!(env.submit_job(&process, "j", &batch_job("j", ITEMS, 1)).await.status, 202);
    let running = || async { !env.targets[0].running().is_empty() };
    anyhow::ensure!(eventually(running).await, "no item is running");
    env.store.set_faults(StoreFaults { busy: true, ..StoreFaults::default() });
    process.terminate();
    sleep(Duration::from_millis(300)).await;
    let before = link.bytes_forwarded();
    sleep(COUNTED).await;
    let bytes = link.bytes_forwarded() - before;
    assert!(process.wait(Duration::ZERO).await.is_none(), "the stop is over too soon");
    assert!(bytes < MAX_BYTES, "{bytes} bytes to and from the store");
    Ok(())
}
