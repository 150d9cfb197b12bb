//! The program on the platform's stand-ins: requests, batch jobs, versions,
//! and what holds when processes, targets and the store fail.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use cassia_standin::Answers;
use cassia_standin::StoreFaults;
use cassia_standin::TargetFaults;
use cassia_standin::TargetSpec;
use cassia_trials::Fleet;
use cassia_trials::Process;
use cassia_trials::config;
use cassia_trials::eventually;
use cassia_trials::job;
use futures::future::join_all;
use rstest::rstest;
use serde_json::Value;
use tokio::time::sleep;

/// How long a leaving target may still get requests.
const LEAVING_MS: u64 = 2_000;
/// How long a change of the configuration may take to be in force.
const CHANGE: Duration = Duration::from_secs(2);
/// The least time between the orders of two holders to one engine.
const LEASE: Duration = Duration::from_secs(3);
/// How long items of an ended job may still reach engines.
const ENDED: Duration = Duration::from_secs(3);

fn check_whole(results: &[Value], id: &str, items: usize) {
    let ids: BTreeSet<_> = results.iter().map(|r| r["instance_id"].as_str()).collect();
    assert_eq!(ids.len(), items, "each item stands once");
    for result in results {
        let item = result["instance_id"].as_str().unwrap_or_default();
        assert_eq!(result["state"], "completed", "{result}");
        let pieces: Vec<_> = (0..6).map(|n| format!("piece {n} of {item}")).collect();
        assert_eq!(result["output"], pieces.join("\n"), "the whole text, in order");
        assert_eq!(result["score"], format!("stamp-{item}-score"), "{id}");
        assert!(!result["versions"].as_array().expect("versions").is_empty());
    }
}

/// Waits until one of the processes owns a job's partition.
async fn owned(fleet: &Fleet) -> anyhow::Result<()> {
    let both = || async { (0..2).all(|p| fleet.store.owner("runners", p).is_some()) };
    anyhow::ensure!(eventually(both).await, "no owner");
    Ok(())
}

/// Splits processes into the owner of the partition with this job's items and
/// the others.
fn split(fleet: &Fleet, job: &str, processes: Vec<(String, Process)>) -> (Process, Vec<Process>) {
    let partition = cassia_jobs::partition(job, 2);
    let owner = fleet.store.owner("runners", partition).expect("an owner");
    let (mut first, others): (Vec<_>, Vec<_>) =
        processes.into_iter().partition(|(host, _)| *host == owner);
    let (_, first) = first.pop().expect("the owner is one of them");
    (first, others.into_iter().map(|(_, process)| process).collect())
}

async fn start(fleet: &Fleet, count: usize) -> anyhow::Result<Vec<(String, Process)>> {
    let mut processes = Vec::new();
    for n in 0..count {
        let host = format!("h{n}");
        processes.push((host.clone(), fleet.serve(&host).await?));
    }
    owned(fleet).await?;
    Ok(processes)
}

#[tokio::test]
async fn the_whole_path_on_a_calm_day() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(2, 2).await?;
    let processes = start(&fleet, 2).await?;
    let (one, two) = (&processes[0].1, &processes[1].1);

    let answered = || async { fleet.request(one, "/quote/7", "r1").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    let answer = fleet.request(one, "/quote/7", "r2").await;
    assert_eq!(answer.signature.as_deref(), Some("stamp-r2"));
    assert_eq!(answer.body, Bytes::from("done r2"));
    let ran: Vec<_> = fleet.targets.iter().flat_map(|t| t.ran()).collect();
    let ran = ran.iter().find(|ran| ran.id == "r2").context("r2 ran")?;
    assert_eq!(ran.path, "/quote/7");
    assert!(ran.patience_ms.is_some_and(|ms| ms <= 3_000), "{ran:?}");
    assert_eq!(fleet.request(one, "/nothing/7", "r3").await.status, 404);

    assert_eq!(fleet.submit(one, "j1", &job("j1", 12, 1)).await.status, 202);
    assert_eq!(fleet.submit(two, "j1", &job("j1", 12, 1)).await.status, 202, "again: no other");
    let here = fleet.all_results(one, "j1").await.context("results")?;
    let there = fleet.all_results(two, "j1").await.context("results")?;
    check_whole(&here, "j1", 12);
    assert_eq!(here, there, "the same positions everywhere");
    let body =
        fleet.call("GET", two.listen, "/v1/items/j1?instance_id=j1-3", &[], Bytes::new()).await;
    assert_eq!((body.status, body.body), (200, Bytes::from("prompt")));

    fleet.name_version(2);
    let loaded = || async { fleet.targets[..2].iter().all(|engine| engine.version() == 2) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded the version");
    assert_eq!(fleet.submit(two, "j2", &job("j2", 8, 2)).await.status, 202);
    let results = fleet.all_results(one, "j2").await.context("results")?;
    assert!(results.iter().all(|r| r["versions"] == serde_json::json!([2])), "{results:?}");

    assert_eq!(fleet.end(one, "j1").await.status, 200);
    assert_eq!(fleet.end(two, "j1").await.status, 200, "again");
    assert_eq!(fleet.all_results(two, "j1").await.context("results")?, here, "listed stays listed");
    assert_eq!(fleet.results(two, "nojob", 0).await.status, 404);
    Ok(())
}

#[tokio::test]
async fn a_new_owner_runs_nothing_of_jobs_that_are_ended() -> anyhow::Result<()> {
    let mut fleet = Fleet::start().await?.with_targets(0, 1).await?;
    let processes = start(&fleet, 2).await?;
    let (owner, _others) = split(&fleet, "old", processes);
    // No engine is there yet, so the job waits until it is ended; more than
    // one read of the partition lies between its beginning and its end.
    assert_eq!(fleet.submit(&owner, "old", &job("old", 4, 1)).await.status, 202);
    let partition = cassia_jobs::partition("old", 2);
    for _ in 0..8 {
        fleet.store.append("jobs", partition, Bytes::from(vec![0xff; 200 << 10]));
    }
    fleet.store.append("jobs", partition, cassia_jobs::JobRecord::end("old"));
    let ended = Instant::now();
    drop(owner);
    let engine = fleet.add_engine("late", 6).await?;
    let moved = || async {
        fleet.store.owner("runners", partition).is_some_and(|_| ended.elapsed() > ENDED)
    };
    anyhow::ensure!(eventually(moved).await, "nobody took the partition over");
    sleep(Duration::from_millis(500)).await;
    assert!(engine.ran().is_empty(), "{:?}", engine.ran());
    Ok(())
}

#[rstest]
#[case::killed(true)]
#[case::frozen(false)]
#[tokio::test]
async fn a_job_outlives_its_owner(#[case] killed: bool) -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(2, 2).await?;
    let processes = start(&fleet, 3).await?;
    let (mut owner, others) = split(&fleet, "j", processes);
    assert_eq!(fleet.submit(&others[0], "j", &job("j", 40, 1)).await.status, 202);
    let some = || async { fleet.targets.iter().any(|t| !t.running().is_empty()) };
    anyhow::ensure!(eventually(some).await, "nothing ran");
    if killed {
        owner.kill();
    } else {
        owner.freeze();
    }
    let results = fleet.all_results(&others[1], "j").await.context("results")?;
    check_whole(&results, "j", 40);
    if !killed {
        owner.thaw();
        sleep(Duration::from_millis(800)).await;
    }
    let after = fleet.all_results(&others[0], "j").await.context("results")?;
    assert_eq!(after, results, "a position never changes");
    Ok(())
}

#[tokio::test]
async fn a_job_is_in_the_log_before_it_is_accepted() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(1, 1).await?;
    let mut processes = start(&fleet, 2).await?;
    assert_eq!(fleet.submit(&processes[0].1, "j", &job("j", 8, 1)).await.status, 202);
    for (_, process) in &mut processes {
        process.kill();
    }
    let fresh = fleet.serve("h9").await?;
    let results = fleet.all_results(&fresh, "j").await.context("results")?;
    check_whole(&results, "j", 8);
    Ok(())
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_is_neither_refused_nor_done_twice() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(1, 1).await?;
    let processes = start(&fleet, 2).await?;
    fleet.store.set_faults(StoreFaults { lose_answers: 1, ..StoreFaults::default() });
    let first = fleet.submit(&processes[0].1, "j", &job("j", 8, 1)).await;
    assert!(matches!(first.status, 202 | 502), "{first:?}");
    assert_eq!(fleet.submit(&processes[1].1, "j", &job("j", 8, 1)).await.status, 202);
    check_whole(&fleet.all_results(&processes[1].1, "j").await.context("results")?, "j", 8);
    Ok(())
}

#[tokio::test]
async fn an_append_that_comes_late_is_never_refused_as_not_run() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(1, 1).await?;
    let processes = start(&fleet, 1).await?;
    // Late for whoever appends meanwhile, results of other jobs included.
    let late = Some((8, Duration::from_secs(6)));
    fleet.store.set_faults(StoreFaults { late, ..StoreFaults::default() });
    let headers = [("attempt-id", "j"), ("deadline-ms", "3000")];
    let body = job("j", 4, 1).to_string();
    let answer = fleet.call("POST", processes[0].1.listen, "/job/x", &headers, body).await;
    assert_eq!(answer.status, 502, "it may still come in: {answer:?}");
    fleet.store.set_faults(StoreFaults::default());
    assert!(fleet.all_results(&processes[0].1, "j").await.is_some(), "and here it does");
    Ok(())
}

#[rstest]
#[case::busy(StoreFaults { busy: true, ..StoreFaults::default() }, 503)]
#[case::silent(StoreFaults { silent: true, ..StoreFaults::default() }, 503)]
#[tokio::test]
async fn without_the_store_callers_are_served_and_jobs_are_refused(
    #[case] faults: StoreFaults,
    #[case] expected: u16,
) -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(1, 2).await?;
    let processes = start(&fleet, 1).await?;
    let process = &processes[0].1;
    let answered = || async { fleet.request(process, "/quote/1", "r0").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    fleet.store.set_faults(faults);
    assert_eq!(fleet.request(process, "/quote/1", "r1").await.status, 200);
    let refused = fleet.submit(process, "j", &job("j", 4, 1)).await;
    assert_eq!(refused.status, expected, "{refused:?}");
    assert!(refused.retry_after.is_some(), "says when to come back");
    assert_eq!(fleet.results(process, "j", 0).await.status, 503, "it can't be sure");
    fleet.store.set_faults(StoreFaults::default());
    let gone = || async { fleet.results(process, "j", 0).await.status == 404 };
    anyhow::ensure!(eventually(gone).await, "the store is back");
    assert!(fleet.targets[0].ran().is_empty(), "a job that was refused never runs");
    Ok(())
}

#[rstest]
#[case::breaks_off(TargetFaults { cut_after: Some(2), ..TargetFaults::default() })]
#[case::fails(TargetFaults { answers: Answers::Failing, ..TargetFaults::default() })]
#[case::full(TargetFaults { answers: Answers::Full, ..TargetFaults::default() })]
#[case::silent(TargetFaults { answers: Answers::Silent, ..TargetFaults::default() })]
#[case::foreign(TargetFaults { answers: Answers::Foreign, ..TargetFaults::default() })]
#[tokio::test]
async fn items_end_whole_beside_an_engine_that(#[case] faults: TargetFaults) -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(3, 2).await?;
    let processes = start(&fleet, 1).await?;
    fleet.targets[0].set_faults(faults);
    assert_eq!(fleet.submit(&processes[0].1, "j", &job("j", 16, 1)).await.status, 202);
    let results = fleet.all_results(&processes[0].1, "j").await.context("results")?;
    check_whole(&results, "j", 16);
    Ok(())
}

#[tokio::test]
async fn an_item_that_always_fails_is_given_up_after_its_attempts() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(2, 2).await?;
    let processes = start(&fleet, 1).await?;
    let failing_ids = BTreeSet::from(["j-1".to_owned(), "j-2-score".to_owned()]);
    for target in &fleet.targets {
        let failing_ids = failing_ids.clone();
        target.set_faults(TargetFaults { failing_ids, ..TargetFaults::default() });
    }
    assert_eq!(fleet.submit(&processes[0].1, "j", &job("j", 4, 1)).await.status, 202);
    let results = fleet.all_results(&processes[0].1, "j").await.context("results")?;
    let state = |id: &str| results.iter().find(|r| r["instance_id"] == id).map(|r| &r["state"]);
    assert_eq!(state("j-1"), Some(&Value::from("errored")));
    assert_eq!(state("j-2"), Some(&Value::from("errored")));
    assert_eq!(state("j-3"), Some(&Value::from("completed")));
    assert_eq!(fleet.runs_of("j-1"), 3, "as often as its route allows");
    assert!((3..=5).contains(&fleet.runs_of("j-2-score")));
    Ok(())
}

#[rstest]
#[case::silent(TargetFaults { answers: Answers::Silent, ..TargetFaults::default() }, 504)]
#[case::failing(TargetFaults { answers: Answers::Failing, ..TargetFaults::default() }, 500)]
#[case::full(TargetFaults { answers: Answers::Full, ..TargetFaults::default() }, 503)]
#[tokio::test]
async fn what_may_not_be_repeated_runs_at_most_once_when_its_target_is(
    #[case] faults: TargetFaults,
    #[case] expected: u16,
) -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(0, 2).await?;
    let processes = start(&fleet, 1).await?;
    let process = &processes[0].1;
    let answered = || async { fleet.request(process, "/quote/1", "r0").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    for target in &fleet.targets {
        target.set_faults(faults.clone());
    }
    let answer = fleet.request(process, "/once/1", "o1").await;
    assert_eq!(answer.status, expected, "{answer:?}");
    let runs = fleet.runs_of("o1");
    assert!(runs <= 1, "ran {runs} times");
    assert!(expected != 503 || runs == 0, "refused and run");
    Ok(())
}

#[tokio::test]
async fn an_idempotent_request_goes_on_at_another_target_within_its_goal() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(0, 2).await?;
    let processes = start(&fleet, 1).await?;
    let process = &processes[0].1;
    let answered = || async { fleet.request(process, "/quote/1", "r0").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    fleet.targets[0]
        .set_faults(TargetFaults { answers: Answers::Silent, ..TargetFaults::default() });
    for n in 0..6 {
        let begun = Instant::now();
        let answer = fleet.request(process, "/quote/1", &format!("r{n}")).await;
        assert_eq!(answer.status, 200);
        // Ten times its goal: a machine under load may be slow, a request that
        // waits for the silent target is slower.
        assert!(begun.elapsed() < Duration::from_millis(1_500), "{:?}", begun.elapsed());
    }
    Ok(())
}

#[tokio::test]
async fn a_request_that_no_target_can_be_reached_for_is_refused_and_not_held() -> anyhow::Result<()>
{
    let fleet = Fleet::start().await?.with_targets(0, 2).await?;
    let processes = start(&fleet, 1).await?;
    let process = &processes[0].1;
    let answered = || async { fleet.request(process, "/quote/1", "r0").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    for target in &fleet.targets {
        target.crash();
    }
    // The connections that were open fail first; what they carried may have run.
    for n in 0..4 {
        fleet.request(process, "/quote/1", &format!("w{n}")).await;
    }
    let begun = Instant::now();
    let answer = fleet.request(process, "/quote/1", "r1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.retry_after.is_some(), "says when to come back");
    assert!(begun.elapsed() < Duration::from_millis(1_500), "{:?}", begun.elapsed());
    Ok(())
}

#[tokio::test]
async fn at_its_own_deadline_a_request_gets_its_final_answer() -> anyhow::Result<()> {
    let mut fleet = Fleet::start().await?;
    let spec = TargetSpec {
        id: "slow".to_owned(),
        service: "intake".to_owned(),
        model: None,
        events: 0,
        step: Duration::from_millis(900),
    };
    fleet.add_target(spec).await?;
    let processes = start(&fleet, 1).await?;
    let process = &processes[0].1;
    let answered = || async { fleet.request(process, "/quote/1", "r0").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    for n in 0..12 {
        let id = format!("r{n}");
        let headers = [("attempt-id", id.as_str()), ("deadline-ms", "250")];
        let begun = Instant::now();
        let answer = fleet.call("POST", process.listen, "/quote/1", &headers, "ask").await;
        assert_eq!(answer.status, 504, "it may run, and its time is over");
        assert!(begun.elapsed() < Duration::from_millis(750), "{:?}", begun.elapsed());
    }
    Ok(())
}

#[tokio::test]
async fn a_target_that_is_leaving_or_gone_gets_no_more_requests() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(0, 2).await?;
    let processes = start(&fleet, 1).await?;
    let process = &processes[0].1;
    let answered = || async { fleet.request(process, "/quote/1", "r0").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    fleet.targets[0].leave();
    fleet.targets[0].beat(&fleet.store);
    sleep(Duration::from_millis(LEAVING_MS)).await;
    // An older heartbeat that is read again does not bring it back.
    let mut old = fleet.targets[0].heartbeat();
    old["state"] = "ready".into();
    old["sequence"] = 0.into();
    fleet.store.put("keyed.servers", "s0", Some(&old));
    fleet.store.put_bytes("keyed.servers", "s1", b"not a heartbeat");
    sleep(Duration::from_millis(500)).await;
    let before = fleet.targets[0].ran().len();
    for n in 0..12 {
        let answer = fleet.request(process, "/quote/1", &format!("x{n}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fleet.targets[0].ran().len(), before);
    Ok(())
}

#[tokio::test]
async fn a_change_is_in_force_and_an_older_one_never_again() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(0, 1).await?;
    let processes = start(&fleet, 2).await?;
    let process = &processes[0].1;
    let answered = || async { fleet.request(process, "/extra/1", "r0").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    fleet.store.put("keyed.op", "config", Some(&config(9, false)));
    sleep(CHANGE).await;
    for (_, process) in &processes {
        assert_eq!(fleet.request(process, "/extra/1", "r1").await.status, 404);
    }
    fleet.store.put("keyed.op", "config", Some(&config(3, true)));
    fleet.store.put_bytes("keyed.op", "config", b"garbage");
    fleet.store.expire("keyed.op", 0, 3);
    sleep(Duration::from_millis(500)).await;
    for (_, process) in &processes {
        assert_eq!(fleet.request(process, "/extra/1", "r2").await.status, 404);
    }
    Ok(())
}

#[tokio::test]
async fn a_planned_stop_cuts_nothing_off() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(1, 2).await?;
    let processes = start(&fleet, 2).await?;
    let (mut owner, others) = split(&fleet, "j", processes);
    assert_eq!(fleet.submit(&owner, "j", &job("j", 24, 1)).await.status, 202);
    let answered = || async { fleet.request(&owner, "/quote/1", "r0").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    owner.ask_to_stop();
    let stopped = Instant::now();
    let mut n = 0;
    while stopped.elapsed() < Duration::from_secs(2) {
        let answer = fleet.request(&owner, "/quote/1", &format!("s{n}")).await;
        assert_eq!(answer.status, 200, "the balancer has not noticed yet");
        assert!(!fleet.is_ready(&owner).await, "no longer ready");
        n += 1;
        sleep(Duration::from_millis(50)).await;
    }
    let status = owner.ended(Duration::from_secs(8)).await.context("it ends")?;
    assert!(status.success(), "{status}");
    check_whole(&fleet.all_results(&others[0], "j").await.context("results")?, "j", 24);
    Ok(())
}

#[rstest]
#[case::killed("kill")]
#[case::frozen("freeze")]
#[case::rebalanced("rebalance")]
#[tokio::test]
async fn orders_come_from_one_holder_at_a_time_when_it_is(#[case] how: &str) -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(3, 1).await?;
    let processes = start(&fleet, 3).await?;
    fleet.name_version(2);
    let ordered = || async { fleet.targets.iter().any(|t| !t.orders().is_empty()) };
    anyhow::ensure!(eventually(ordered).await, "no order came");
    let holder = fleet.store.owner("runners", 0).context("an owner")?;
    let first = processes.iter().find(|(host, _)| *host == holder).context("the holder")?;
    match how {
        "kill" => {
            // Dropping it later kills it again, which does nothing.
            nix::sys::signal::kill(
                nix::unistd::Pid::from_raw(i32::try_from(first.1.id())?),
                nix::sys::signal::Signal::SIGKILL,
            )?;
        }
        "freeze" => first.1.freeze(),
        _ => fleet.store.rebalance(),
    }
    fleet.name_version(3);
    let loaded = || async { fleet.targets[..3].iter().all(|engine| engine.version() == 3) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded the version");
    first.1.thaw();
    fleet.name_version(4);
    let loaded = || async { fleet.targets[..3].iter().all(|engine| engine.version() == 4) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded the next version");
    let mut by_engine: BTreeMap<String, Vec<_>> = BTreeMap::new();
    for order in fleet.targets.iter().flat_map(|t| t.orders()) {
        by_engine.entry(order.engine.clone()).or_default().push(order);
    }
    for orders in by_engine.values() {
        for pair in orders.windows(2) {
            assert!(pair[1].fence >= pair[0].fence, "{pair:?}");
            if pair[1].holder != pair[0].holder {
                assert!(pair[1].at - pair[0].at >= LEASE, "{pair:?}");
                assert!(pair[1].fence > pair[0].fence, "{pair:?}");
            }
        }
    }
    Ok(())
}

#[tokio::test]
async fn orders_go_on_while_the_partitions_move_from_process_to_process() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(2, 1).await?;
    let _processes = start(&fleet, 3).await?;
    let store = std::sync::Arc::clone(&fleet.store);
    let moving = tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(900)).await;
            store.rebalance();
        }
    });
    for version in 2..=4 {
        fleet.name_version(version);
        let loaded = || async { fleet.targets[..2].iter().all(|e| e.version() == version) };
        let begun = Instant::now();
        anyhow::ensure!(eventually(loaded).await, "version {version} was never loaded");
        // The first holder waits once; after that each version takes its loads.
        assert!(begun.elapsed() < Duration::from_secs(15), "{version}: {:?}", begun.elapsed());
    }
    moving.abort();
    Ok(())
}

#[tokio::test]
async fn orders_that_are_carried_out_late_undo_nothing() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(2, 1).await?;
    let _processes = start(&fleet, 1).await?;
    let late_orders = Some(Duration::from_secs(4));
    fleet.targets[0].set_faults(TargetFaults { late_orders, ..TargetFaults::default() });
    fleet.name_version(2);
    let ordered = || async { !fleet.targets[0].orders().is_empty() };
    anyhow::ensure!(eventually(ordered).await, "no order came");
    fleet.targets[0].set_faults(TargetFaults::default());
    fleet.name_version(3);
    let loaded = || async { fleet.targets[..2].iter().all(|engine| engine.version() == 3) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded the version");
    sleep(Duration::from_secs(5)).await;
    assert!(fleet.targets[..2].iter().all(|engine| engine.version() == 3));
    Ok(())
}

#[rstest]
#[case::not_json("POST", "/job/x", "{", 400)]
#[case::no_items("POST", "/job/x", "{}", 400)]
#[case::not_base64(
    "POST",
    "/job/x",
    r#"{"items":[{"instance_id":"a","path":"/job/1","body":"%"}]}"#,
    400
)]
#[case::read_of_a_job_route("GET", "/job/x", "", 400)]
#[case::unknown_route("GET", "/none/", "", 404)]
#[tokio::test]
async fn wrong_input_gets_a_clear_error_and_harms_nobody(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &'static str,
    #[case] expected: u16,
) -> anyhow::Result<()> {
    let fleet = Fleet::start().await?.with_targets(0, 1).await?;
    let processes = start(&fleet, 1).await?;
    let process = &processes[0].1;
    let headers = [("attempt-id", "w")];
    let wrong = (0..20).map(|_| fleet.call(method, process.listen, path, &headers, body));
    for answer in join_all(wrong).await {
        assert_eq!(answer.status, expected);
        assert!(answer.json()["kind"].is_string(), "{answer:?}");
    }
    let answered = || async { fleet.request(process, "/quote/1", "r").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "others are served");
    Ok(())
}
