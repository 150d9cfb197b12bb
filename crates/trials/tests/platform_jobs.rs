//! Batch jobs on the platform's stand-ins, when processes, engines and the store
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
const ENDED: Duration = Duration::from_secs(3);

#[tokio::test]
async fn a_new_owner_runs_nothing_of_jobs_that_are_ended() -> anyhow::Result<()> {
    let mut fleet = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let processes = start_processes(&fleet, 2).await?;
    let (owner, _others) = split_owner(&fleet, "old", processes);
    // No engine is there yet, so the job waits until it is ended; more than
    // one read of the partition lies between its beginning and its end.
    assert_eq!(fleet.submit_job(&owner, "old", &batch_job("old", 4, 1)).await.status, 202);
    let partition = cassia_jobs::partition("old", 2);
    for _ in 0..8 {
        fleet.store.append("jobs", partition, Bytes::from(vec![0xff; 200 << 10]));
    }
    fleet.store.append("jobs", partition, cassia_jobs::JobRecord::encode_end("old"));
    let ended = Instant::now();
    drop(owner);
    let engine = fleet.add_engine("late", 6).await?;
    let moved = || async {
        fleet.store.owner("runners", partition).is_some_and(|_| ended.elapsed() > ENDED)
    };
    anyhow::ensure!(eventually(moved).await, "nobody took the partition over");
    sleep(Duration::from_millis(500)).await;
    assert!(engine.runs().is_empty(), "{:?}", engine.runs());
    Ok(())
}

#[rstest]
#[case::killed(true)]
#[case::frozen(false)]
#[tokio::test]
async fn a_job_outlives_its_owner(#[case] killed: bool) -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let processes = start_processes(&fleet, 3).await?;
    let (mut owner, others) = split_owner(&fleet, "j", processes);
    assert_eq!(fleet.submit_job(&others[0], "j", &batch_job("j", 40, 1)).await.status, 202);
    let some = || async { fleet.targets.iter().any(|t| !t.running().is_empty()) };
    anyhow::ensure!(eventually(some).await, "nothing ran");
    if killed {
        owner.kill();
    } else {
        owner.freeze();
    }
    let results = fleet.all_results(&others[1], "j").await.context("results")?;
    assert_complete(&results, "j", 40);
    if !killed {
        owner.resume();
        sleep(Duration::from_millis(800)).await;
    }
    let after = fleet.all_results(&others[0], "j").await.context("results")?;
    assert_eq!(after, results, "a position never changes");
    Ok(())
}

#[tokio::test]
async fn a_job_is_in_the_log_before_it_is_accepted() -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let mut processes = start_processes(&fleet, 2).await?;
    assert_eq!(fleet.submit_job(&processes[0].1, "j", &batch_job("j", 8, 1)).await.status, 202);
    for (_, process) in &mut processes {
        process.kill();
    }
    let fresh = fleet.start_process("h9").await?;
    let results = fleet.all_results(&fresh, "j").await.context("results")?;
    assert_complete(&results, "j", 8);
    Ok(())
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_is_neither_refused_nor_done_twice() -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let processes = start_processes(&fleet, 2).await?;
    fleet.store.set_faults(StoreFaults { drop_append_responses: 1, ..StoreFaults::default() });
    let first = fleet.submit_job(&processes[0].1, "j", &batch_job("j", 8, 1)).await;
    assert!(matches!(first.status, 202 | 502), "{first:?}");
    assert_eq!(fleet.submit_job(&processes[1].1, "j", &batch_job("j", 8, 1)).await.status, 202);
    assert_complete(&fleet.all_results(&processes[1].1, "j").await.context("results")?, "j", 8);
    Ok(())
}

#[tokio::test]
async fn an_append_that_comes_late_is_never_refused_as_not_run() -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let processes = start_processes(&fleet, 1).await?;
    // Late for whoever appends meanwhile, results of other jobs included.
    let late = Some((8, Duration::from_secs(6)));
    fleet.store.set_faults(StoreFaults { delayed_appends: late, ..StoreFaults::default() });
    let headers = [("attempt-id", "j"), ("deadline-ms", "3000")];
    let body = batch_job("j", 4, 1).to_string();
    let answer = fleet.send("POST", processes[0].1.listen, "/job/x", &headers, body).await;
    assert_eq!(answer.status, 502, "it may still come in: {answer:?}");
    fleet.store.set_faults(StoreFaults::default());
    assert!(fleet.all_results(&processes[0].1, "j").await.is_some(), "and here it does");
    Ok(())
}

#[rstest]
#[case::busy(StoreFaults { busy: true, ..StoreFaults::default() }, 503)]
#[case::silent(StoreFaults { hang: true, ..StoreFaults::default() }, 503)]
#[tokio::test]
async fn without_the_store_callers_are_served_and_jobs_are_refused(
    #[case] faults: StoreFaults,
    #[case] expected: u16,
) -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(1, 2).await?;
    let processes = start_processes(&fleet, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&fleet, process).await?;
    fleet.store.set_faults(faults);
    assert_eq!(fleet.request(process, "/quote/1", "r1").await.status, 200);
    let refused = fleet.submit_job(process, "j", &batch_job("j", 4, 1)).await;
    assert_eq!(refused.status, expected, "{refused:?}");
    assert!(refused.retry_after.is_some(), "says when to come back");
    assert_eq!(fleet.results(process, "j", 0).await.status, 503, "it can't be sure");
    fleet.store.set_faults(StoreFaults::default());
    let gone = || async { fleet.results(process, "j", 0).await.status == 404 };
    anyhow::ensure!(eventually(gone).await, "the store is back");
    assert!(fleet.targets[0].runs().is_empty(), "a job that was refused never runs");
    Ok(())
}

#[rstest]
#[case::breaks_off(TargetFaults { reset_after_events: Some(2), ..TargetFaults::default() })]
#[case::fails(TargetFaults { response: ResponseFault::Error, ..TargetFaults::default() })]
#[case::full(TargetFaults { response: ResponseFault::Busy, ..TargetFaults::default() })]
#[case::silent(TargetFaults { response: ResponseFault::Hang, ..TargetFaults::default() })]
#[case::foreign(TargetFaults { response: ResponseFault::WrongId, ..TargetFaults::default() })]
#[tokio::test]
async fn items_end_whole_beside_an_engine_that(#[case] faults: TargetFaults) -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(3, 2).await?;
    let processes = start_processes(&fleet, 1).await?;
    fleet.targets[0].set_faults(faults);
    assert_eq!(fleet.submit_job(&processes[0].1, "j", &batch_job("j", 16, 1)).await.status, 202);
    let results = fleet.all_results(&processes[0].1, "j").await.context("results")?;
    assert_complete(&results, "j", 16);
    Ok(())
}

#[tokio::test]
async fn an_item_that_always_fails_is_given_up_after_its_attempts() -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let processes = start_processes(&fleet, 1).await?;
    let failing_ids = BTreeSet::from(["j-1".to_owned(), "j-2-score".to_owned()]);
    for target in &fleet.targets {
        let failing_ids = failing_ids.clone();
        target.set_faults(TargetFaults { failing_ids, ..TargetFaults::default() });
    }
    assert_eq!(fleet.submit_job(&processes[0].1, "j", &batch_job("j", 4, 1)).await.status, 202);
    let results = fleet.all_results(&processes[0].1, "j").await.context("results")?;
    let state = |id: &str| results.iter().find(|r| r["instance_id"] == id).map(|r| &r["state"]);
    assert_eq!(state("j-1"), Some(&Value::from("errored")));
    assert_eq!(state("j-2"), Some(&Value::from("errored")));
    assert_eq!(state("j-3"), Some(&Value::from("completed")));
    assert_eq!(fleet.run_count("j-1"), 3, "as often as its route allows");
    assert!((3..=5).contains(&fleet.run_count("j-2-score")));
    Ok(())
}

/// Pattern: many short items on few engines, one after the other in each slot.
#[tokio::test]
async fn items_use_the_connections_of_those_before_them() -> anyhow::Result<()> {
    const ITEMS: usize = 160;
    /// What an engine works on at once, in the stand-in.
    const SLOTS: u64 = 8;
    let fleet = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let processes = start_processes(&fleet, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&fleet, process).await?;
    assert_eq!(fleet.submit_job(process, "j", &batch_job("j", ITEMS, 1)).await.status, 202);
    assert_complete(&fleet.all_results(process, "j").await.context("results")?, "j", ITEMS);
    let opened: Vec<_> = fleet.targets.iter().map(|target| target.connection_count()).collect();
    // An engine needs one for each slot; reward calls come and go as they do.
    assert!(opened[..2].iter().all(|opened| *opened <= SLOTS + SLOTS / 2), "{opened:?}");
    assert!(opened.iter().sum::<u64>() <= ITEMS as u64 / 2, "{opened:?}");
    Ok(())
}

/// A partition that comes back while what its owner had begun still runs: the
/// rest must begin again there.
#[tokio::test]
async fn a_job_goes_on_at_an_owner_that_lost_it_for_a_moment() -> anyhow::Result<()> {
    const ITEMS: usize = 96;
    let mut fleet = PlatformEnv::start().await?.with_targets(0, 2).await?;
    // A generation takes longer than the partition is away.
    fleet.add_engine("e0", 6).await?;
    fleet.targets[2].set_delay(Duration::from_millis(400));
    let processes = start_processes(&fleet, 2).await?;
    let (owner, others) = split_owner(&fleet, "j", processes);
    assert_eq!(fleet.submit_job(&owner, "j", &batch_job("j", ITEMS, 1)).await.status, 202);
    let begun = || async { fleet.targets[2].running().len() > 2 };
    anyhow::ensure!(eventually(begun).await, "it never began");
    fleet.store.rebalance();
    sleep(Duration::from_millis(900)).await;
    fleet.store.rebalance();
    sleep(Duration::from_millis(900)).await;
    fleet.targets[2].set_delay(Duration::from_millis(10));
    assert_complete(&fleet.all_results(&others[0], "j").await.context("results")?, "j", ITEMS);
    Ok(())
}
