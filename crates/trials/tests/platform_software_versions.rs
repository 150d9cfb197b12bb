//! Two versions of the engines' software serve side by side: what one has begun,
//! the other can't go on with, and doesn't check.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_resume::StreamRecord;
use cassia_standin::Proxy;
use cassia_standin::ResponseFault;
use cassia_standin::TargetFaults;
use cassia_standin::TargetSpec;
use cassia_standin::TargetStandin;
use cassia_trials::ENGINE_MODEL;
use cassia_trials::PARTITIONS;
use cassia_trials::PlatformEnv;
use cassia_trials::PlatformResponse;
use cassia_trials::Process;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::platform_config;
use cassia_trials::split_owner;
use cassia_trials::start_processes;
use cassia_trials::wait_until_serving;
use futures::future::join_all;
use rstest::rstest;
use serde_json::Value;
use tokio::time::sleep;

const EVENTS: u64 = 6;
const ITEMS: usize = 24;
/// Number of callers' streams of a trial.
const STREAMS: usize = 16;
/// Id of the last event that a caller has of a stream that it takes up again.
const LAST_EVENT: usize = 2;
/// Time in which a process has reported the streams that it began.
const REPORT_TIME: Duration = Duration::from_millis(400);
/// Time in which every process has read the list of targets.
const LIST_READ: Duration = Duration::from_millis(900);

/// Starts an environment without engines, where callers may take streams up again.
async fn env_without_engines() -> anyhow::Result<PlatformEnv> {
    let env = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let mut config = platform_config(2, true);
    let routes = config["routes"].as_array_mut().into_iter().flatten();
    for route in routes.filter(|route| route["kind"] == "stream") {
        route["resumable"] = true.into();
    }
    env.store.put("keyed.op", "config", Some(&config));
    Ok(env)
}

async fn env_with_two_versions() -> anyhow::Result<PlatformEnv> {
    let mut env = env_without_engines().await?;
    for (id, software) in [("a1", "v2"), ("a2", "v2"), ("b1", "v3"), ("b2", "v3")] {
        env.add_engine_with_software(id, EVENTS, software).await?;
    }
    Ok(env)
}

/// The versions that wrote the lines of a text.
fn versions_of(text: &str) -> BTreeSet<&str> {
    text.lines().filter_map(|line| line.rsplit_once(" by ")).map(|(_, version)| version).collect()
}

/// Asserts that each item is complete, and written by one version.
fn assert_not_mixed(results: &[Value], items: usize) {
    assert_eq!(results.len(), items);
    for result in results {
        assert_eq!(result["state"], "completed", "{result}");
        let text = result["output"].as_str().unwrap_or_default();
        assert_eq!(text.lines().count() as u64, EVENTS, "{text}");
        assert_eq!(versions_of(text).len(), 1, "events of two versions:\n{text}");
    }
}

/// Number of runs at the engines that went on after an event.
fn resumed_runs(env: &PlatformEnv) -> usize {
    let runs = env.targets.iter().flat_map(|target| target.runs());
    runs.filter(|run| run.last_event_id.is_some()).count()
}

/// Guards against ORDER: an item's text with events of two software versions,
/// after the engine that began it broke off.
#[tokio::test]
async fn an_item_that_breaks_off_goes_on_at_the_same_software() -> anyhow::Result<()> {
    let env = env_with_two_versions().await?;
    for target in env.targets.iter().filter(|target| target.is_engine()) {
        let faults = TargetFaults { reset_after_events: Some(2), ..TargetFaults::default() };
        target.set_faults(faults);
    }
    let processes = start_processes(&env, 1).await?;
    let submitted = env.submit_job(&processes[0].1, "j", &batch_job("j", ITEMS, 1)).await;
    assert_eq!(submitted.status, 202);
    let results = env.all_results(&processes[0].1, "j").await.context("results")?;
    assert_not_mixed(&results, ITEMS);
    assert!(resumed_runs(&env) >= ITEMS, "{} of {ITEMS} items went on", resumed_runs(&env));
    Ok(())
}

/// Guards against ORDER, and against an item that waits for good: the only
/// engine of the version that began it is gone.
#[tokio::test]
async fn an_item_begins_anew_when_no_engine_of_its_software_is_left() -> anyhow::Result<()> {
    let mut env = env_without_engines().await?;
    let first = env.add_engine_with_software("a1", EVENTS, "v2").await?;
    first.set_delay(Duration::from_millis(300));
    let processes = start_processes(&env, 1).await?;
    assert_eq!(env.submit_job(&processes[0].1, "j", &batch_job("j", 4, 1)).await.status, 202);
    let running = || async { first.running().len() == 4 };
    anyhow::ensure!(eventually(running).await, "the items don't run");
    sleep(Duration::from_millis(700)).await;
    env.add_engine_with_software("b1", EVENTS, "v3").await?;
    sleep(LIST_READ).await;
    // Its entry stays in the list for now.
    first.crash();
    let results = env.all_results(&processes[0].1, "j").await.context("results")?;
    assert_not_mixed(&results, 4);
    Ok(())
}

/// Guards against work that is done twice: a text that waits for an engine begins
/// anew only where another version could generate it.
#[tokio::test]
async fn an_item_keeps_its_text_while_a_single_version_serves() -> anyhow::Result<()> {
    const FEW: usize = 4;
    let mut env = env_without_engines().await?;
    let engine = env.add_engine_with_software("a1", EVENTS, "v2").await?;
    engine.set_faults(TargetFaults { reset_after_events: Some(2), ..TargetFaults::default() });
    let processes = start_processes(&env, 1).await?;
    assert_eq!(env.submit_job(&processes[0].1, "j", &batch_job("j", FEW, 1)).await.status, 202);
    let begun = || async { engine.runs().len() >= FEW && engine.running().is_empty() };
    anyhow::ensure!(eventually(begun).await, "the items don't run");
    engine.set_faults(TargetFaults { response: ResponseFault::Busy, ..TargetFaults::default() });
    // Longer than a text waits where another version serves.
    sleep(Duration::from_millis(4_500)).await;
    engine.set_faults(TargetFaults::default());
    let results = env.all_results(&processes[0].1, "j").await.context("results")?;
    assert_not_mixed(&results, FEW);
    let from_the_start = engine.runs().iter().filter(|run| run.last_event_id.is_none()).count();
    assert_eq!(from_the_start, FEW, "runs from the first event on");
    Ok(())
}

/// Guards against ORDER: a text that one process stored and another went on with
/// at another software version.
#[tokio::test]
async fn a_stored_text_goes_on_at_the_same_software() -> anyhow::Result<()> {
    let env = env_with_two_versions().await?;
    for target in env.targets.iter().filter(|target| target.is_engine()) {
        target.set_delay(Duration::from_millis(400));
    }
    let processes = start_processes(&env, 2).await?;
    let (mut owner, others) = split_owner(&env, "j", processes);
    // The first process has run all partitions; it notices at its next renewal
    // that it lost some.
    sleep(Duration::from_millis(800)).await;
    assert_eq!(env.submit_job(&others[0], "j", &batch_job("j", 12, 1)).await.status, 202);
    let partition = cassia_jobs::partition("j", PARTITIONS);
    let is_progress = |record: &bytes::Bytes| {
        matches!(
            cassia_jobs::JobRecord::decode(record.clone()),
            cassia_jobs::JobRecord::Progress(_)
        )
    };
    let stored = || async {
        env.store.records("jobs", partition).iter().filter(|record| is_progress(record)).count()
            >= 12
    };
    anyhow::ensure!(eventually(stored).await, "no progress is stored");
    owner.kill();
    let results = env.all_results(&others[0], "j").await.context("results")?;
    assert_not_mixed(&results, 12);
    assert!(resumed_runs(&env) >= 6, "{} items went on", resumed_runs(&env));
    Ok(())
}

/// How a caller's stream that was taken up again ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Resumed {
    /// The rest came from the version that began it.
    SameSoftware,
    /// The rest came from another version.
    Mixed,
    /// Refused as not run, with the time after which to come again.
    Refused,
}

/// Begins the streams at once, so that they are spread over the engines.
async fn begin_streams(env: &PlatformEnv, at: &Process) -> Vec<(String, PlatformResponse)> {
    let begin = |n: usize| async move {
        let id = format!("begun-{n}");
        let headers = [("attempt-id", id.as_str()), ("deadline-ms", "3000")];
        let response = env.send("POST", at.listen, "/stream/1", &headers, "ask").await;
        assert_eq!(response.status, 200);
        (id, response)
    };
    join_all((0..STREAMS).map(begin)).await
}

/// Takes the streams up again, as if their connections had broken, in another
/// order than they began in.
async fn resume_streams(
    env: &PlatformEnv,
    at: &Process,
    begun: &[(String, PlatformResponse)],
) -> Vec<Resumed> {
    join_all(begun.iter().rev().map(|(id, first)| resume_stream(env, at, id, first))).await
}

async fn resume_stream(
    env: &PlatformEnv,
    at: &Process,
    id: &str,
    first: &PlatformResponse,
) -> Resumed {
    let (again, after) = (format!("{id}-again"), LAST_EVENT.to_string());
    let headers = [
        ("attempt-id", again.as_str()),
        ("deadline-ms", "3000"),
        ("last-event-id", after.as_str()),
        ("resumes", id),
    ];
    let rest = env.send("POST", at.listen, "/stream/1", &headers, "ask").await;
    if rest.status == 503 {
        assert!(rest.retry_after.is_some(), "a refusal says when to come again");
        assert_eq!(env.run_count(&again), 0, "a refused stream ran");
        return Resumed::Refused;
    }
    assert_eq!(rest.status, 200);
    let (first, rest) = (String::from_utf8_lossy(&first.body), String::from_utf8_lossy(&rest.body));
    assert_eq!(versions_of(&rest).len(), 1, "{rest}");
    if versions_of(&first) == versions_of(&rest) { Resumed::SameSoftware } else { Resumed::Mixed }
}

fn assert_go_on(resumed: &[Resumed]) {
    assert!(!resumed.contains(&Resumed::Mixed), "events of two versions: {resumed:?}");
    let gone_on = resumed.iter().filter(|resumed| **resumed == Resumed::SameSoftware).count();
    assert!(2 * gone_on >= STREAMS, "{gone_on} of {STREAMS} streams went on: {resumed:?}");
}

/// Guards against ORDER over a caller's tries, and against LOST by refusing all
/// resumptions; also if the host at which the streams began ends.
#[rstest]
#[case::both_live(false)]
#[case::first_is_killed(true)]
#[tokio::test]
async fn a_callers_stream_goes_on_at_another_host_at_the_same_software(
    #[case] killed: bool,
) -> anyhow::Result<()> {
    let env = env_with_two_versions().await?;
    let (mut first, second) = (env.start_process("h0").await?, env.start_process("h1").await?);
    wait_until_serving(&env, &first).await?;
    wait_until_serving(&env, &second).await?;
    let begun = begin_streams(&env, &first).await;
    sleep(REPORT_TIME).await;
    if killed {
        first.kill();
    }
    assert_go_on(&resume_streams(&env, &second, &begun).await);
    Ok(())
}

/// Guards against ORDER over a caller's tries, and against LOST: streams that
/// began while only one version served are resumed after another one came.
#[tokio::test]
async fn a_stream_from_before_a_new_software_goes_on_at_the_old_one() -> anyhow::Result<()> {
    let mut env = env_without_engines().await?;
    for id in ["a1", "a2"] {
        env.add_engine_with_software(id, EVENTS, "v2").await?;
    }
    let (first, second) = (env.start_process("h0").await?, env.start_process("h1").await?);
    wait_until_serving(&env, &first).await?;
    wait_until_serving(&env, &second).await?;
    let begun = begin_streams(&env, &first).await;
    for id in ["b1", "b2", "b3", "b4"] {
        env.add_engine_with_software(id, EVENTS, "v3").await?;
    }
    sleep(LIST_READ).await;
    assert_go_on(&resume_streams(&env, &second, &begun).await);
    Ok(())
}

/// Guards against LOST: resumptions that are refused although a single version
/// serves, which must have begun them; also those that don't say what they resume.
#[rstest]
#[case::named("begun-0")]
#[case::not_named("")]
#[tokio::test]
async fn a_stream_goes_on_anywhere_while_one_version_serves(
    #[case] resumes: &str,
) -> anyhow::Result<()> {
    let mut env = env_without_engines().await?;
    env.add_engine_with_software("a1", EVENTS, "v2").await?;
    let (first, second) = (env.start_process("h0").await?, env.start_process("h1").await?);
    wait_until_serving(&env, &first).await?;
    wait_until_serving(&env, &second).await?;
    let begun = begin_streams(&env, &first).await;
    let resumed = resume_stream(&env, &second, resumes, &begun[0].1).await;
    assert_eq!(resumed, Resumed::SameSoftware);
    // Each host may say once that the version begins streams, but of no stream.
    let records = env.store.records("streams", 0);
    assert!(records.len() <= 2, "{} reports with one version", records.len());
    for record in records {
        assert!(StreamRecord::decode(record)?.streams.is_empty(), "streams with one version");
    }
    Ok(())
}

/// Guards against ORDER: an engine that starts again under its id with another
/// version of its software is taken for the one before.
#[tokio::test]
async fn an_item_begins_anew_when_its_engine_restarts_with_another_software() -> anyhow::Result<()>
{
    let mut env = env_without_engines().await?;
    let engine = env.add_engine_with_software("a1", EVENTS, "v2").await?;
    engine.set_delay(Duration::from_millis(300));
    let processes = start_processes(&env, 1).await?;
    assert_eq!(env.submit_job(&processes[0].1, "j", &batch_job("j", 4, 1)).await.status, 202);
    let running = || async { engine.running().len() == 4 };
    anyhow::ensure!(eventually(running).await, "the items don't run");
    sleep(Duration::from_millis(700)).await;
    engine.restart_with_software("v3");
    let results = env.all_results(&processes[0].1, "j").await.context("results")?;
    assert_not_mixed(&results, 4);
    Ok(())
}

/// Guards against ORDER at a host that can't reach the store, and so can't know
/// what began a stream or that a new version serves elsewhere.
#[tokio::test]
async fn a_host_without_the_store_refuses_what_it_does_not_know() -> anyhow::Result<()> {
    let mut env = env_without_engines().await?;
    env.add_engine_with_software("a1", EVENTS, "v2").await?;
    let link = Proxy::start(env.store.addr()).await?;
    let first = env.start_process("h0").await?;
    let second = env.start_process_with_store("h1", link.addr()).await?;
    wait_until_serving(&env, &first).await?;
    wait_until_serving(&env, &second).await?;
    link.set_blocked(true);
    for id in ["b1", "b2", "b3"] {
        env.add_engine_with_software(id, EVENTS, "v3").await?;
    }
    sleep(LIST_READ).await;
    let begun = begin_streams(&env, &first).await;
    let resumed = resume_streams(&env, &second, &begun).await;
    assert!(!resumed.contains(&Resumed::Mixed), "events of two versions: {resumed:?}");
    assert!(resumed.contains(&Resumed::Refused), "{resumed:?}");
    Ok(())
}

/// Guards against ORDER after all hosts died: what they knew of the versions is gone,
/// and the only one that serves then is taken for the one that began the streams.
#[rstest]
#[case::one_version_before(&["v2"])]
#[case::two_versions_before(&["v2", "v4"])]
#[tokio::test]
async fn streams_from_before_all_hosts_died_do_not_go_on_at_another_software(
    #[case] before: &[&str],
) -> anyhow::Result<()> {
    let mut env = env_without_engines().await?;
    for software in before {
        env.add_engine_with_software(&format!("old-{software}"), EVENTS, software).await?;
    }
    let mut processes = vec![env.start_process("h0").await?, env.start_process("h1").await?];
    for process in &processes {
        wait_until_serving(&env, process).await?;
    }
    sleep(REPORT_TIME).await;
    let begun = begin_streams(&env, &processes[0]).await;
    processes.iter_mut().for_each(Process::kill);
    for software in before {
        env.remove_target(&format!("old-{software}"));
    }
    for id in ["new-1", "new-2"] {
        env.add_engine_with_software(id, EVENTS, "v3").await?;
    }
    for process in &mut processes {
        process.restart()?;
    }
    for process in &processes {
        wait_until_serving(&env, process).await?;
    }
    let resumed = resume_streams(&env, &processes[1], &begun).await;
    assert!(!resumed.contains(&Resumed::Mixed), "events of two versions: {resumed:?}");
    Ok(())
}

/// Guards against LOST: if the same version serves when all hosts are back, streams go
/// on.
#[tokio::test]
async fn streams_from_before_all_hosts_died_go_on_at_the_same_software() -> anyhow::Result<()> {
    let mut env = env_without_engines().await?;
    for id in ["a1", "a2"] {
        env.add_engine_with_software(id, EVENTS, "v2").await?;
    }
    let mut processes = vec![env.start_process("h0").await?, env.start_process("h1").await?];
    for process in &processes {
        wait_until_serving(&env, process).await?;
    }
    sleep(REPORT_TIME).await;
    let begun = begin_streams(&env, &processes[0]).await;
    for process in &mut processes {
        process.restart()?;
    }
    for process in &processes {
        wait_until_serving(&env, process).await?;
    }
    assert_go_on(&resume_streams(&env, &processes[1], &begun).await);
    Ok(())
}

/// Guards against ORDER at a host that was out of step: it was cut off from the store
/// while an engine of another version came, began streams through another host, and left.
/// Then it reads the list sooner than the reports that it has missed.
#[tokio::test]
async fn a_host_back_from_a_cut_reads_the_reports_before_it_resumes_a_stream() -> anyhow::Result<()>
{
    /// Size of the reports that it has missed: seconds on its link.
    const REPORTS: u64 = 120;
    const STREAMS_PER_REPORT: u64 = 1_500;
    /// Delay of each piece of at most 16 KiB that its link forwards.
    const LINK_DELAY_MS: u64 = 40;
    let mut env = env_without_engines().await?;
    let old = env.add_engine_with_software("a1", EVENTS, "v2").await?;
    let link = Proxy::start(env.store.addr()).await?;
    let behind = env.start_process_with_store("h0", link.addr()).await?;
    let other = env.start_process("h1").await?;
    wait_until_serving(&env, &behind).await?;
    wait_until_serving(&env, &other).await?;
    link.set_blocked(true);
    for report in 0..REPORTS {
        let streams = (0..STREAMS_PER_REPORT).map(|n| report * STREAMS_PER_REPORT + n).collect();
        let (service, software) = ("another".into(), "v1".into());
        env.store.append("streams", 0, StreamRecord { service, software, streams }.to_record());
    }
    env.add_engine_with_software("b1", EVENTS, "v3").await?;
    old.set_faults(TargetFaults { response: ResponseFault::Busy, ..TargetFaults::default() });
    sleep(LIST_READ).await;
    let begun = begin_streams(&env, &other).await;
    sleep(REPORT_TIME).await;
    env.remove_target("b1");
    old.set_faults(TargetFaults::default());
    sleep(LIST_READ).await;
    link.set_delay_ms(LINK_DELAY_MS);
    link.stall_connections();
    link.set_blocked(false);
    let healed = Instant::now();
    let mut resumed = Vec::new();
    while healed.elapsed() < Duration::from_secs(5) {
        let (id, first) = &begun[resumed.len() % begun.len()];
        resumed.push(resume_stream(&env, &behind, id, first).await);
        sleep(Duration::from_millis(50)).await;
    }
    assert!(!resumed.contains(&Resumed::Mixed), "events of two versions: {resumed:?}");
    Ok(())
}

/// Guards against ORDER at a host whose list is old: it takes an engine that has started
/// again under its id, with another version, for the one before.
#[tokio::test]
async fn a_stream_does_not_go_on_at_an_engine_that_has_restarted_unnoticed() -> anyhow::Result<()> {
    let env = env_without_engines().await?;
    let engine = TargetStandin::start(TargetSpec {
        id: "a1".to_owned(),
        service: "lm".to_owned(),
        model: Some(ENGINE_MODEL.to_owned()),
        events: EVENTS,
        delay: Duration::from_millis(10),
    })
    .await?;
    engine.restart_with_software("v2");
    engine.send_heartbeat(&env.store);
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    let begun = begin_streams(&env, &process).await;
    // It writes no entry of this.
    engine.restart_with_software("v3");
    for (id, first) in &begun {
        assert_ne!(resume_stream(&env, &process, id, first).await, Resumed::Mixed);
    }
    Ok(())
}
