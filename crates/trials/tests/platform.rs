//! The program on the platform's stand-ins: the whole path, requests, the
//! configuration and planned stops.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use cassia_standin::ResponseFault;
use cassia_standin::TargetFaults;
use cassia_standin::TargetSpec;
use cassia_trials::PlatformEnv;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::platform_config;
use cassia_trials::split_owner;
use cassia_trials::start_processes;
use cassia_trials::wait_until_serving;
use futures::future::join_all;
use rstest::rstest;
use tokio::time::sleep;
/// How long a leaving target may still get requests.
const LEAVING_MS: u64 = 2_000;
/// How long a change of the configuration may take to be in force.
const CHANGE: Duration = Duration::from_secs(2);

#[tokio::test]
async fn the_whole_path_on_a_calm_day() -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let processes = start_processes(&fleet, 2).await?;
    let (one, two) = (&processes[0].1, &processes[1].1);

    let answered = || async { fleet.request(one, "/quote/7", "r1").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    let answer = fleet.request(one, "/quote/7", "r2").await;
    assert_eq!(answer.signature.as_deref(), Some("stamp-r2"));
    assert_eq!(answer.body, Bytes::from("done r2"));
    let ran: Vec<_> = fleet.targets.iter().flat_map(|t| t.runs()).collect();
    let ran = ran.iter().find(|ran| ran.id == "r2").context("r2 ran")?;
    assert_eq!(ran.path, "/quote/7");
    assert!(ran.timeout_ms.is_some_and(|ms| ms <= 3_000), "{ran:?}");
    assert_eq!(fleet.request(one, "/nothing/7", "r3").await.status, 404);

    assert_eq!(fleet.submit_job(one, "j1", &batch_job("j1", 12, 1)).await.status, 202);
    assert_eq!(
        fleet.submit_job(two, "j1", &batch_job("j1", 12, 1)).await.status,
        202,
        "again: no other"
    );
    let here = fleet.all_results(one, "j1").await.context("results")?;
    let there = fleet.all_results(two, "j1").await.context("results")?;
    assert_complete(&here, "j1", 12);
    assert_eq!(here, there, "the same positions everywhere");
    let body =
        fleet.send("GET", two.listen, "/v1/items/j1?instance_id=j1-3", &[], Bytes::new()).await;
    assert_eq!((body.status, body.body), (200, Bytes::from("prompt")));

    fleet.publish_version(2);
    let loaded = || async { fleet.targets[..2].iter().all(|engine| engine.version() == 2) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded the version");
    assert_eq!(fleet.submit_job(two, "j2", &batch_job("j2", 8, 2)).await.status, 202);
    let results = fleet.all_results(one, "j2").await.context("results")?;
    assert!(results.iter().all(|r| r["versions"] == serde_json::json!([2])), "{results:?}");

    assert_eq!(fleet.end_job(one, "j1").await.status, 200);
    assert_eq!(fleet.end_job(two, "j1").await.status, 200, "again");
    assert_eq!(fleet.all_results(two, "j1").await.context("results")?, here, "listed stays listed");
    assert_eq!(fleet.results(two, "nojob", 0).await.status, 404);
    Ok(())
}

#[rstest]
#[case::silent(TargetFaults { response: ResponseFault::Hang, ..TargetFaults::default() }, 504)]
#[case::failing(TargetFaults { response: ResponseFault::Error, ..TargetFaults::default() }, 500)]
#[case::full(TargetFaults { response: ResponseFault::Busy, ..TargetFaults::default() }, 503)]
#[tokio::test]
async fn what_may_not_be_repeated_runs_at_most_once_when_its_target_is(
    #[case] faults: TargetFaults,
    #[case] expected: u16,
) -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let processes = start_processes(&fleet, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&fleet, process).await?;
    for target in &fleet.targets {
        target.set_faults(faults.clone());
    }
    let answer = fleet.request(process, "/once/1", "o1").await;
    assert_eq!(answer.status, expected, "{answer:?}");
    let runs = fleet.run_count("o1");
    assert!(runs <= 1, "ran {runs} times");
    assert!(expected != 503 || runs == 0, "refused and run");
    Ok(())
}

#[tokio::test]
async fn an_idempotent_request_goes_on_at_another_target_within_its_goal() -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let processes = start_processes(&fleet, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&fleet, process).await?;
    fleet.targets[0]
        .set_faults(TargetFaults { response: ResponseFault::Hang, ..TargetFaults::default() });
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
    let fleet = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let processes = start_processes(&fleet, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&fleet, process).await?;
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
    let mut fleet = PlatformEnv::start().await?;
    let spec = TargetSpec {
        id: "slow".to_owned(),
        service: "intake".to_owned(),
        model: None,
        events: 0,
        delay: Duration::from_millis(900),
    };
    fleet.add_target(spec).await?;
    let processes = start_processes(&fleet, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&fleet, process).await?;
    for n in 0..12 {
        let id = format!("r{n}");
        let headers = [("attempt-id", id.as_str()), ("deadline-ms", "250")];
        let begun = Instant::now();
        let answer = fleet.send("POST", process.listen, "/quote/1", &headers, "ask").await;
        assert_eq!(answer.status, 504, "it may run, and its time is over");
        assert!(begun.elapsed() < Duration::from_millis(750), "{:?}", begun.elapsed());
    }
    Ok(())
}

#[tokio::test]
async fn a_target_that_is_leaving_or_gone_gets_no_more_requests() -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let processes = start_processes(&fleet, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&fleet, process).await?;
    fleet.targets[0].set_leaving();
    fleet.targets[0].send_heartbeat(&fleet.store);
    sleep(Duration::from_millis(LEAVING_MS)).await;
    // An older heartbeat that is read again does not bring it back.
    let mut old = fleet.targets[0].heartbeat();
    old["state"] = "ready".into();
    old["sequence"] = 0.into();
    fleet.store.put("keyed.servers", "s0", Some(&old));
    fleet.store.put_bytes("keyed.servers", "s1", b"not a heartbeat");
    sleep(Duration::from_millis(500)).await;
    let before = fleet.targets[0].runs().len();
    for n in 0..12 {
        let answer = fleet.request(process, "/quote/1", &format!("x{n}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fleet.targets[0].runs().len(), before);
    Ok(())
}

#[tokio::test]
async fn a_change_is_in_force_and_an_older_one_never_again() -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let processes = start_processes(&fleet, 2).await?;
    let process = &processes[0].1;
    let answered = || async { fleet.request(process, "/extra/1", "r0").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    fleet.store.put("keyed.op", "config", Some(&platform_config(9, false)));
    sleep(CHANGE).await;
    for (_, process) in &processes {
        assert_eq!(fleet.request(process, "/extra/1", "r1").await.status, 404);
    }
    fleet.store.put("keyed.op", "config", Some(&platform_config(3, true)));
    fleet.store.put_bytes("keyed.op", "config", b"garbage");
    fleet.store.expire_before("keyed.op", 0, 3);
    sleep(Duration::from_millis(500)).await;
    for (_, process) in &processes {
        assert_eq!(fleet.request(process, "/extra/1", "r2").await.status, 404);
    }
    Ok(())
}

#[tokio::test]
async fn a_planned_stop_cuts_nothing_off() -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(1, 2).await?;
    let processes = start_processes(&fleet, 2).await?;
    let (mut owner, others) = split_owner(&fleet, "j", processes);
    assert_eq!(fleet.submit_job(&owner, "j", &batch_job("j", 24, 1)).await.status, 202);
    wait_until_serving(&fleet, &owner).await?;
    owner.terminate();
    let stopped = Instant::now();
    let mut n = 0;
    while stopped.elapsed() < Duration::from_secs(2) {
        let answer = fleet.request(&owner, "/quote/1", &format!("s{n}")).await;
        assert_eq!(answer.status, 200, "the balancer has not noticed yet");
        assert!(!fleet.is_ready(&owner).await, "no longer ready");
        n += 1;
        sleep(Duration::from_millis(50)).await;
    }
    let status = owner.wait(Duration::from_secs(8)).await.context("it ends")?;
    assert!(status.success(), "{status}");
    assert_complete(&fleet.all_results(&others[0], "j").await.context("results")?, "j", 24);
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
    let fleet = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let processes = start_processes(&fleet, 1).await?;
    let process = &processes[0].1;
    let headers = [("attempt-id", "w")];
    let wrong = (0..20).map(|_| fleet.send(method, process.listen, path, &headers, body));
    for answer in join_all(wrong).await {
        assert_eq!(answer.status, expected);
        assert!(answer.json()["kind"].is_string(), "{answer:?}");
    }
    let answered = || async { fleet.request(process, "/quote/1", "r").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "others are served");
    Ok(())
}
