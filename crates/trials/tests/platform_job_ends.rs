//! Items and reward calls of jobs that end while their host can't read the
//! store.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use cassia_standin::Proxy;
use cassia_standin::ResponseFault;
use cassia_standin::TargetFaults;
use cassia_trials::PARTITIONS;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use rstest::rstest;
use tokio::time::sleep;

/// Longer than a group's member keeps its partitions without a renewal.
const CUT: Duration = Duration::from_secs(3);
/// How long after the end of a cut an item of an ended job may still start.
const LIMIT: Duration = Duration::from_millis(1_500);
/// How long runs are counted after that.
const COUNTED: Duration = Duration::from_secs(3);
/// Delay of each piece of at most 16 KiB that a slow link forwards, in
/// milliseconds: at most 320 KB/s.
const SLOW_LINK_DELAY_MS: u64 = 50;
const FILLER_BYTES: usize = 100 << 10;

/// A host and its link to the store.
struct Host {
    name: String,
    process: Process,
    link: Proxy,
}

/// Starts two hosts; returns the owner of a job's partition and the other one.
async fn start_hosts(env: &PlatformEnv, job: &str) -> anyhow::Result<(Host, Host)> {
    let mut hosts = Vec::new();
    for name in ["h0", "h1"] {
        let link = Proxy::start(env.store.addr()).await?;
        let process = env.start_process_with_store(name, link.addr()).await?;
        hosts.push(Host { name: name.to_owned(), process, link });
    }
    let partition = cassia_jobs::partition(job, PARTITIONS);
    let mut owner = None;
    // The first host has run all partitions until the second one came.
    let all_owned = || async {
        let owners: Vec<_> = (0..PARTITIONS).map(|p| env.store.owner("runners", p)).collect();
        owners.iter().all(Option::is_some) && owners.first() != owners.last()
    };
    anyhow::ensure!(eventually(all_owned).await, "a host owns no partition");
    if let Some(name) = env.store.owner("runners", partition) {
        owner = hosts.iter().position(|host| host.name == name);
    }
    let owner = hosts.remove(owner.context("the partition has no owner")?);
    Ok((owner, hosts.remove(0)))
}

fn started_after(env: &PlatformEnv, limit: Instant) -> Vec<String> {
    let runs = env.targets.iter().flat_map(|target| target.runs());
    runs.filter(|run| run.started > limit && run.id.starts_with("j-")).map(|run| run.id).collect()
}

/// Guards against items and reward calls that reach targets long after their
/// job has ended: a host whose run of the job still stands goes on with it when
/// it has the store again, before it has read that the job was ended meanwhile.
#[rstest]
#[case::begins_items(TargetFaults::default(), TargetFaults::default())]
#[case::resumes_items(
    TargetFaults { reset_after_events: Some(1), ..TargetFaults::default() },
    TargetFaults::default()
)]
#[case::repeats_reward_calls(
    TargetFaults::default(),
    TargetFaults { response: ResponseFault::WrongId, ..TargetFaults::default() }
)]
#[tokio::test]
async fn a_host_back_from_a_cut_runs_no_items_of_ended_jobs(
    #[case] engine_faults: TargetFaults,
    #[case] scorer_faults: TargetFaults,
) -> anyhow::Result<()> {
    const ITEMS: usize = 400;
    let env = PlatformEnv::start().await?.with_targets(1, 2).await?;
    env.targets[0].set_delay(Duration::from_millis(100));
    env.targets[0].set_faults(engine_faults);
    env.targets[1..].iter().for_each(|scorer| scorer.set_faults(scorer_faults.clone()));
    let (owner, other) = start_hosts(&env, "j").await?;
    assert_eq!(env.submit_job(&owner.process, "j", &batch_job("j", ITEMS, 1)).await.status, 202);
    let running = || async { env.run_count("j-0-score") + env.targets[0].running().len() > 4 };
    anyhow::ensure!(eventually(running).await, "the job never started");
    owner.link.set_blocked(true);
    sleep(CUT).await;
    // What the host has missed is more than its link carries in one read.
    let partition = cassia_jobs::partition("j", PARTITIONS);
    for _ in 0..16 {
        env.store.append("jobs", partition, Bytes::from(vec![0xff; FILLER_BYTES]));
    }
    assert_eq!(env.end_job(&other.process, "j").await.status, 200);
    sleep(Duration::from_millis(200)).await;
    owner.link.stall_connections();
    owner.link.set_delay_ms(SLOW_LINK_DELAY_MS);
    let healed = Instant::now();
    owner.link.set_blocked(false);
    sleep(LIMIT + COUNTED).await;
    let late = started_after(&env, healed + LIMIT);
    assert!(late.is_empty(), "{} runs after the end: {late:?}", late.len());
    Ok(())
}

/// A job that is open when its host has the store again goes on there.
#[tokio::test]
async fn an_open_job_continues_after_a_cut() -> anyhow::Result<()> {
    const ITEMS: usize = 96;
    let env = PlatformEnv::start().await?.with_targets(1, 2).await?;
    env.targets[0].set_delay(Duration::from_millis(50));
    let link = Proxy::start(env.store.addr()).await?;
    let process = env.start_process_with_store("h0", link.addr()).await?;
    assert_eq!(env.submit_job(&process, "j", &batch_job("j", ITEMS, 1)).await.status, 202);
    let running = || async { !env.targets[0].running().is_empty() };
    anyhow::ensure!(eventually(running).await, "the job never started");
    link.set_blocked(true);
    sleep(Duration::from_millis(700)).await;
    let before = env.targets[0].runs().len();
    sleep(Duration::from_millis(800)).await;
    assert!(env.targets[0].runs().len() > before, "no item starts while the store is away");
    link.stall_connections();
    link.set_blocked(false);
    assert_complete(&env.all_results(&process, "j").await.context("results")?, "j", ITEMS);
    Ok(())
}
