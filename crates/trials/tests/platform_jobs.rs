//! Batch jobs on the platform's stand-ins when processes, engines and the store
//! fail.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use cassia_standin::ResponseFault;
use cassia_standin::StoreFaults;
use cassia_standin::TargetFaults;
use cassia_trials::PlatformEnv;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::split_owner;
use cassia_trials::start_processes;
use cassia_trials::wait_until_serving;
use rstest::rstest;
use serde_json::Value;
use tokio::time::sleep;

/// How long items of an ended job may still reach engines.
const END_LIMIT: Duration = Duration::from_secs(3);

#[tokio::test]
async fn a_new_owner_runs_no_items_of_ended_jobs() -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let processes = start_processes(&env, 2).await?;
    let (owner, _others) = split_owner(&env, "old", processes);
    // There is no engine yet, so the job waits until it is ended. Between the
    // job's record and its end record lies more than one read of the partition.
    assert_eq!(env.submit_job(&owner, "old", &batch_job("old", 4, 1)).await.status, 202);
    let partition = cassia_jobs::partition("old", 2);
    for _ in 0..8 {
        env.store.append("jobs", partition, Bytes::from(vec![0xff; 200 << 10]));
    }
    env.store.append("jobs", partition, cassia_jobs::JobRecord::encode_end("old"));
    let ended = Instant::now();
    drop(owner);
    let engine = env.add_engine("late", 6).await?;
    let taken_over = || async {
        env.store.owner("runners", partition).is_some_and(|_| ended.elapsed() > END_LIMIT)
    };
    anyhow::ensure!(eventually(taken_over).await, "nobody took the partition over");
    sleep(Duration::from_millis(500)).await;
    assert!(engine.runs().is_empty(), "{:?}", engine.runs());
    Ok(())
}

#[rstest]
#[case::killed(true)]
#[case::frozen(false)]
#[tokio::test]
async fn a_job_outlives_its_owner(#[case] killed: bool) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let processes = start_processes(&env, 3).await?;
    let (mut owner, others) = split_owner(&env, "j", processes);
    assert_eq!(env.submit_job(&others[0], "j", &batch_job("j", 40, 1)).await.status, 202);
    let running = || async { env.targets.iter().any(|t| !t.running().is_empty()) };
    anyhow::ensure!(eventually(running).await, "no item is running");
    if killed {
        owner.kill();
    } else {
        owner.freeze();
    }
    let results = env.all_results(&others[1], "j").await.context("results")?;
    assert_complete(&results, "j", 40);
    if !killed {
        owner.resume();
        sleep(Duration::from_millis(800)).await;
    }
    let after = env.all_results(&others[0], "j").await.context("results")?;
    assert_eq!(after, results, "results never change");
    Ok(())
}

#[tokio::test]
async fn a_job_is_stored_before_it_is_accepted() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let mut processes = start_processes(&env, 2).await?;
    assert_eq!(env.submit_job(&processes[0].1, "j", &batch_job("j", 8, 1)).await.status, 202);
    for (_, process) in &mut processes {
        process.kill();
    }
    let new_process = env.start_process("h9").await?;
    let results = env.all_results(&new_process, "j").await.context("results")?;
    assert_complete(&results, "j", 8);
    Ok(())
}

#[tokio::test]
async fn an_append_whose_response_is_lost_is_neither_refused_nor_repeated() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let processes = start_processes(&env, 2).await?;
    env.store.set_faults(StoreFaults { drop_append_responses: 1, ..StoreFaults::default() });
    let first = env.submit_job(&processes[0].1, "j", &batch_job("j", 8, 1)).await;
    assert!(matches!(first.status, 202 | 502), "{first:?}");
    assert_eq!(env.submit_job(&processes[1].1, "j", &batch_job("j", 8, 1)).await.status, 202);
    assert_complete(&env.all_results(&processes[1].1, "j").await.context("results")?, "j", 8);
    Ok(())
}

#[tokio::test]
async fn a_delayed_append_is_not_reported_as_not_run() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let processes = start_processes(&env, 1).await?;
    // Delays several appends, as results of other jobs may be appended first.
    let delayed_appends = Some((8, Duration::from_secs(6)));
    env.store.set_faults(StoreFaults { delayed_appends, ..StoreFaults::default() });
    let headers = [("attempt-id", "j"), ("deadline-ms", "3000")];
    let body = batch_job("j", 4, 1).to_string();
    let response = env.send("POST", processes[0].1.listen, "/job/x", &headers, body).await;
    assert_eq!(response.status, 502, "the job may still be stored: {response:?}");
    env.store.set_faults(StoreFaults::default());
    assert!(env.all_results(&processes[0].1, "j").await.is_some(), "the job is stored");
    Ok(())
}

#[rstest]
#[case::is_busy(StoreFaults { busy: true, ..StoreFaults::default() }, 503)]
#[case::hangs(StoreFaults { hang: true, ..StoreFaults::default() }, 503)]
#[tokio::test]
async fn without_the_store_requests_are_served_and_jobs_are_refused(
    #[case] faults: StoreFaults,
    #[case] expected: u16,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&env, process).await?;
    env.store.set_faults(faults);
    assert_eq!(env.request(process, "/quote/1", "r1").await.status, 200);
    let refused = env.submit_job(process, "j", &batch_job("j", 4, 1)).await;
    assert_eq!(refused.status, expected, "{refused:?}");
    assert!(refused.retry_after.is_some(), "retry-after is set");
    assert_eq!(env.results(process, "j", 0).await.status, 503, "the job may exist");
    env.store.set_faults(StoreFaults::default());
    let not_found = || async { env.results(process, "j", 0).await.status == 404 };
    anyhow::ensure!(eventually(not_found).await, "the store is reachable again");
    assert!(env.targets[0].runs().is_empty(), "a refused job never runs");
    Ok(())
}

#[rstest]
#[case::resets_streams(TargetFaults { reset_after_events: Some(2), ..TargetFaults::default() })]
#[case::fails(TargetFaults { response: ResponseFault::Error, ..TargetFaults::default() })]
#[case::is_busy(TargetFaults { response: ResponseFault::Busy, ..TargetFaults::default() })]
#[case::hangs(TargetFaults { response: ResponseFault::Hang, ..TargetFaults::default() })]
#[case::wrong_id(TargetFaults { response: ResponseFault::WrongId, ..TargetFaults::default() })]
#[tokio::test]
async fn items_complete_beside_an_engine_that(#[case] faults: TargetFaults) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(3, 2).await?;
    let processes = start_processes(&env, 1).await?;
    env.targets[0].set_faults(faults);
    assert_eq!(env.submit_job(&processes[0].1, "j", &batch_job("j", 16, 1)).await.status, 202);
    let results = env.all_results(&processes[0].1, "j").await.context("results")?;
    assert_complete(&results, "j", 16);
    Ok(())
}

#[tokio::test]
async fn an_item_that_always_fails_errors_after_its_attempts() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let failing_ids = BTreeSet::from(["j-1".to_owned(), "j-2-score".to_owned()]);
    for target in &env.targets {
        let failing_ids = failing_ids.clone();
        target.set_faults(TargetFaults { failing_ids, ..TargetFaults::default() });
    }
    assert_eq!(env.submit_job(&processes[0].1, "j", &batch_job("j", 4, 1)).await.status, 202);
    let results = env.all_results(&processes[0].1, "j").await.context("results")?;
    let state = |id: &str| results.iter().find(|r| r["instance_id"] == id).map(|r| &r["state"]);
    assert_eq!(state("j-1"), Some(&Value::from("errored")));
    assert_eq!(state("j-2"), Some(&Value::from("errored")));
    assert_eq!(state("j-3"), Some(&Value::from("completed")));
    assert_eq!(env.run_count("j-1"), 3, "max_attempts of its route");
    assert!((3..=5).contains(&env.run_count("j-2-score")));
    Ok(())
}

/// Many short items run one after the other in the slots of few engines and
/// reuse connections.
#[tokio::test]
async fn consecutive_items_reuse_connections() -> anyhow::Result<()> {
    const ITEMS: usize = 160;
    /// Concurrent generations of an engine stand-in.
    const SLOTS: u64 = 8;
    let env = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&env, process).await?;
    assert_eq!(env.submit_job(process, "j", &batch_job("j", ITEMS, 1)).await.status, 202);
    assert_complete(&env.all_results(process, "j").await.context("results")?, "j", ITEMS);
    let opened: Vec<_> = env.targets.iter().map(|target| target.connection_count()).collect();
    // An engine needs one connection for each slot; reward calls start as items
    // finish.
    assert!(opened[..2].iter().all(|opened| *opened <= SLOTS + SLOTS / 2), "{opened:?}");
    assert!(opened.iter().sum::<u64>() <= ITEMS as u64 / 2, "{opened:?}");
    Ok(())
}

/// An owner loses its partition and gets it back while items that it started
/// still run: it must start the remaining items.
#[tokio::test]
async fn a_job_continues_when_its_owner_briefly_loses_the_partition() -> anyhow::Result<()> {
    const ITEMS: usize = 96;
    let mut env = PlatformEnv::start().await?.with_targets(0, 2).await?;
    // A generation takes longer than the partition is owned elsewhere.
    env.add_engine("e0", 6).await?;
    env.targets[2].set_delay(Duration::from_millis(400));
    let processes = start_processes(&env, 2).await?;
    let (owner, others) = split_owner(&env, "j", processes);
    assert_eq!(env.submit_job(&owner, "j", &batch_job("j", ITEMS, 1)).await.status, 202);
    let running = || async { env.targets[2].running().len() > 2 };
    anyhow::ensure!(eventually(running).await, "the job never started");
    env.store.rebalance();
    sleep(Duration::from_millis(900)).await;
    env.store.rebalance();
    sleep(Duration::from_millis(900)).await;
    env.targets[2].set_delay(Duration::from_millis(10));
    assert_complete(&env.all_results(&others[0], "j").await.context("results")?, "j", ITEMS);
    Ok(())
}

/// A process that becomes the owner of a partition starts its open jobs as soon
/// as it has read it, though no further record arrives.
#[tokio::test]
async fn a_new_owner_starts_open_jobs_at_once() -> anyhow::Result<()> {
    /// Shorter than a long poll of the partition.
    const LIMIT: Duration = Duration::from_millis(700);
    /// On a busy machine a single start may take longer.
    const TRIES: usize = 4;
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let engine = &env.targets[0];
    let mut times = Vec::new();
    for n in 0..TRIES {
        let job = format!("j{n}");
        {
            let first = env.start_process("h0").await?;
            // The items wait until the second process has taken over.
            engine.set_faults(TargetFaults { silent: true, ..TargetFaults::default() });
            assert_eq!(env.submit_job(&first, &job, &batch_job(&job, 4, 1)).await.status, 202);
        }
        engine.set_faults(TargetFaults::default());
        let partition = cassia_jobs::partition(&job, 2);
        let second = env.spawn_process("h1")?;
        let is_owner = || async { env.store.owner("runners", partition).as_deref() == Some("h1") };
        anyhow::ensure!(eventually(is_owner).await, "the process owns nothing");
        let owned = Instant::now();
        let started = || async { env.run_count(&format!("{job}-0")) > 0 };
        anyhow::ensure!(eventually(started).await, "the job never started");
        times.push(owned.elapsed());
        let results = env.all_results(&second, &job).await.context("results")?;
        assert_complete(&results, &job, 4);
    }
    assert!(times.iter().any(|time| *time < LIMIT), "{times:?}");
    Ok(())
}

/// A planned stop in an outage of the store can't hand on the results of its
/// items. It ends by its limit all the same, before the platform kills it.
#[rstest]
#[case::is_busy(StoreFaults { busy: true, ..StoreFaults::default() })]
#[case::hangs(StoreFaults { hang: true, ..StoreFaults::default() })]
#[tokio::test]
async fn a_planned_stop_ends_by_its_limit_without_the_store(
    #[case] faults: StoreFaults,
) -> anyhow::Result<()> {
    /// The stop limit of a process, and slack for a loaded machine.
    const LIMIT: Duration = Duration::from_secs(10);
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    env.targets[0].set_delay(Duration::from_millis(200));
    let processes = start_processes(&env, 1).await?;
    let (_, mut process) = processes.into_iter().next().context("a process")?;
    assert_eq!(env.submit_job(&process, "j", &batch_job("j", 16, 1)).await.status, 202);
    let running = || async { !env.targets[0].running().is_empty() };
    anyhow::ensure!(eventually(running).await, "no item is running");
    env.store.set_faults(faults);
    process.terminate();
    let status = process.wait(LIMIT).await.context("the process is still running")?;
    assert!(status.success(), "{status:?}");
    env.store.set_faults(StoreFaults::default());
    let second = env.start_process("h9").await?;
    assert_complete(&env.all_results(&second, "j").await.context("results")?, "j", 16);
    Ok(())
}
