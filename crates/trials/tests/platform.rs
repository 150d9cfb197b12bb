//! cassia-serve on the platform's stand-ins: requests, the configuration and
//! planned stops.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use cassia_standin::RepeatingTarget;
use cassia_standin::ResponseFault;
use cassia_standin::SecondCopy;
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
const LEAVING_LIMIT_MS: u64 = 2_000;
/// How long a configuration change may take to be in force.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

#[tokio::test]
async fn requests_jobs_and_versions_work_without_faults() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let processes = start_processes(&env, 2).await?;
    let (process_1, process_2) = (&processes[0].1, &processes[1].1);

    let serves = || async { env.request(process_1, "/quote/7", "r1").await.status == 200 };
    anyhow::ensure!(eventually(serves).await, "the process never serves requests");
    let response = env.request(process_1, "/quote/7", "r2").await;
    assert_eq!(response.signature.as_deref(), Some("stamp-r2"));
    assert_eq!(response.body, Bytes::from("done r2"));
    let ran: Vec<_> = env.targets.iter().flat_map(|t| t.runs()).collect();
    let ran = ran.iter().find(|ran| ran.id == "r2").context("r2 ran")?;
    assert_eq!(ran.path, "/quote/7");
    assert!(ran.timeout_ms.is_some_and(|ms| ms <= 3_000), "{ran:?}");
    assert_eq!(env.request(process_1, "/nothing/7", "r3").await.status, 404);

    assert_eq!(env.submit_job(process_1, "j1", &batch_job("j1", 12, 1)).await.status, 202);
    assert_eq!(
        env.submit_job(process_2, "j1", &batch_job("j1", 12, 1)).await.status,
        202,
        "submitting twice creates one job"
    );
    let results_1 = env.all_results(process_1, "j1").await.context("results")?;
    let results_2 = env.all_results(process_2, "j1").await.context("results")?;
    assert_complete(&results_1, "j1", 12);
    assert_eq!(results_1, results_2, "each host lists the same results");
    let body =
        env.send("GET", process_2.listen, "/v1/items/j1?instance_id=j1-3", &[], Bytes::new()).await;
    assert_eq!((body.status, body.body), (200, Bytes::from("prompt")));

    env.publish_version(2);
    let loaded = || async { env.targets[..2].iter().all(|engine| engine.version() == 2) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded version 2");
    assert_eq!(env.submit_job(process_2, "j2", &batch_job("j2", 8, 2)).await.status, 202);
    let results = env.all_results(process_1, "j2").await.context("results")?;
    assert!(results.iter().all(|r| r["versions"] == serde_json::json!([2])), "{results:?}");

    assert_eq!(env.end_job(process_1, "j1").await.status, 200);
    assert_eq!(env.end_job(process_2, "j1").await.status, 200, "ending is idempotent");
    assert_eq!(
        env.all_results(process_2, "j1").await.context("results")?,
        results_1,
        "results stay listed"
    );
    assert_eq!(env.results(process_2, "nojob", 0).await.status, 404);
    Ok(())
}

#[rstest]
#[case::hangs(TargetFaults { response: ResponseFault::Hang, ..TargetFaults::default() }, 504)]
#[case::fails(TargetFaults { response: ResponseFault::Error, ..TargetFaults::default() }, 500)]
#[case::is_busy(TargetFaults { response: ResponseFault::Busy, ..TargetFaults::default() }, 503)]
#[tokio::test]
async fn a_non_idempotent_request_runs_at_most_once_when_its_target(
    #[case] faults: TargetFaults,
    #[case] expected: u16,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&env, process).await?;
    for target in &env.targets {
        target.set_faults(faults.clone());
    }
    let response = env.request(process, "/once/1", "o1").await;
    assert_eq!(response.status, expected, "{response:?}");
    let runs = env.run_count("o1");
    assert!(runs <= 1, "ran {runs} times");
    assert!(expected != 503 || runs == 0, "a refused request ran");
    Ok(())
}

#[tokio::test]
async fn an_idempotent_request_is_retried_at_another_target_within_its_slo() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&env, process).await?;
    env.targets[0]
        .set_faults(TargetFaults { response: ResponseFault::Hang, ..TargetFaults::default() });
    for n in 0..6 {
        let start = Instant::now();
        let response = env.request(process, "/quote/1", &format!("r{n}")).await;
        assert_eq!(response.status, 200);
        // Ten times the SLO: a loaded machine may be slow, but a request that
        // waits for the hanging target is slower still.
        assert!(start.elapsed() < Duration::from_millis(1_500), "{:?}", start.elapsed());
    }
    Ok(())
}

#[tokio::test]
async fn a_request_without_a_reachable_target_is_refused_promptly() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&env, process).await?;
    for target in &env.targets {
        target.crash();
    }
    // Requests on connections that were open fail first; they may have run.
    for n in 0..4 {
        env.request(process, "/quote/1", &format!("w{n}")).await;
    }
    let start = Instant::now();
    let response = env.request(process, "/quote/1", "r1").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.retry_after.is_some(), "retry-after is set");
    assert!(start.elapsed() < Duration::from_millis(1_500), "{:?}", start.elapsed());
    Ok(())
}

#[tokio::test]
async fn a_request_gets_its_final_response_at_its_deadline() -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?;
    let spec = TargetSpec {
        id: "slow".to_owned(),
        service: "intake".to_owned(),
        model: None,
        events: 0,
        delay: Duration::from_millis(900),
    };
    env.add_target(spec).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&env, process).await?;
    for n in 0..12 {
        let id = format!("r{n}");
        let headers = [("attempt-id", id.as_str()), ("deadline-ms", "250")];
        let start = Instant::now();
        let response = env.send("POST", process.listen, "/quote/1", &headers, "ask").await;
        assert_eq!(response.status, 504, "the deadline passed and the request may run");
        assert!(start.elapsed() < Duration::from_millis(750), "{:?}", start.elapsed());
    }
    Ok(())
}

#[tokio::test]
async fn a_leaving_target_gets_no_more_requests() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&env, process).await?;
    env.targets[0].set_leaving();
    env.targets[0].send_heartbeat(&env.store);
    sleep(Duration::from_millis(LEAVING_LIMIT_MS)).await;
    // Reading an older heartbeat again does not make the target ready.
    let mut old = env.targets[0].heartbeat();
    old["state"] = "ready".into();
    old["sequence"] = 0.into();
    env.store.put("keyed.servers", "s0", Some(&old));
    env.store.put_bytes("keyed.servers", "s1", b"not a heartbeat");
    sleep(Duration::from_millis(500)).await;
    let before = env.targets[0].runs().len();
    for n in 0..12 {
        let response = env.request(process, "/quote/1", &format!("x{n}")).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(env.targets[0].runs().len(), before);
    Ok(())
}

#[tokio::test]
async fn a_configuration_change_is_in_force_and_never_reverts() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let processes = start_processes(&env, 2).await?;
    let process = &processes[0].1;
    let serves = || async { env.request(process, "/extra/1", "r0").await.status == 200 };
    anyhow::ensure!(eventually(serves).await, "the process never serves requests");
    env.store.put("keyed.op", "config", Some(&platform_config(9, false)));
    sleep(PROPAGATION_LIMIT).await;
    for (_, process) in &processes {
        assert_eq!(env.request(process, "/extra/1", "r1").await.status, 404);
    }
    env.store.put("keyed.op", "config", Some(&platform_config(3, true)));
    env.store.put_bytes("keyed.op", "config", b"garbage");
    env.store.expire_before("keyed.op", 0, 3);
    sleep(Duration::from_millis(500)).await;
    for (_, process) in &processes {
        assert_eq!(env.request(process, "/extra/1", "r2").await.status, 404);
    }
    Ok(())
}

#[tokio::test]
async fn a_planned_stop_completes_requests_and_jobs() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 2).await?;
    let processes = start_processes(&env, 2).await?;
    let (mut owner, others) = split_owner(&env, "j", processes);
    assert_eq!(env.submit_job(&owner, "j", &batch_job("j", 24, 1)).await.status, 202);
    wait_until_serving(&env, &owner).await?;
    owner.terminate();
    let stop = Instant::now();
    let mut n = 0;
    while stop.elapsed() < Duration::from_secs(2) {
        let response = env.request(&owner, "/quote/1", &format!("s{n}")).await;
        assert_eq!(response.status, 200, "requests are served while the balancer still sends them");
        assert!(!env.is_ready(&owner).await, "the process is not ready");
        n += 1;
        sleep(Duration::from_millis(50)).await;
    }
    let status = owner.wait(Duration::from_secs(8)).await.context("the process exits")?;
    assert!(status.success(), "{status}");
    assert_complete(&env.all_results(&others[0], "j").await.context("results")?, "j", 24);
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
#[case::get_on_a_job_route("GET", "/job/x", "", 400)]
#[case::unknown_route("GET", "/none/", "", 404)]
#[tokio::test]
async fn invalid_input_gets_an_error_and_affects_no_other_caller(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &'static str,
    #[case] expected: u16,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    let headers = [("attempt-id", "w")];
    let invalid = (0..20).map(|_| env.send(method, process.listen, path, &headers, body));
    for response in join_all(invalid).await {
        assert_eq!(response.status, expected);
        assert!(response.json()["kind"].is_string(), "{response:?}");
    }
    let serves = || async { env.request(process, "/quote/1", "r").await.status == 200 };
    anyhow::ensure!(eventually(serves).await, "other requests are served");
    Ok(())
}

/// A target sends a second copy of an answer on a connection that may be in use
/// again. The next caller must not take it for its own answer.
#[rstest]
#[case::at_once(SecondCopy::AtOnce)]
#[case::late(SecondCopy::Late)]
#[case::in_place_of_the_next(SecondCopy::InPlaceOfNext)]
#[case::without_its_id(SecondCopy::WithoutId)]
#[tokio::test]
async fn a_second_copy_of_an_answer_reaches_no_other_caller(
    #[case] kind: SecondCopy,
) -> anyhow::Result<()> {
    const CALLERS: usize = 8;
    const REQUESTS: usize = 30;
    let env = PlatformEnv::start().await?;
    let target = RepeatingTarget::start(kind).await?;
    env.store.put("keyed.servers", "s0", Some(&target.heartbeat("intake")));
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    let caller = |caller: usize| {
        let (env, process) = (&env, &process);
        async move {
            let mut answered = 0;
            for n in 0..REQUESTS {
                let path = if n % 2 == 0 { "/quote/1" } else { "/once/1" };
                let id = format!("c{caller}-{n}");
                let response = env.request(process, path, &id).await;
                if response.status == 200 {
                    assert_eq!(response.body, format!("done {id}"), "another caller's answer");
                    answered += 1;
                }
            }
            answered
        }
    };
    let answered = join_all((0..CALLERS).map(caller)).await;
    assert!(answered.iter().all(|answered| *answered > 0), "{answered:?}");
    assert!(target.copy_count() > 0, "no second copy was sent");
    Ok(())
}

/// Guards against requests to a target that has stated in a response that it is
/// leaving, before its heartbeats say so.
#[rstest]
#[case::service("quote", 2)]
#[case::stream("stream", 0)]
#[tokio::test]
async fn a_target_that_states_that_it_is_leaving_gets_no_more_requests(
    #[case] route: &str,
    #[case] leaving: usize,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    wait_until_serving(&env, process).await?;
    let target = &env.targets[leaving];
    target.set_faults(TargetFaults { states_leaving: true, ..TargetFaults::default() });
    let before = target.runs().len();
    let mut told_at = None;
    for n in 0..60 {
        let response = env.request(process, &format!("/{route}/1"), &format!("l{n}")).await;
        assert_eq!(response.status, 200, "{response:?}");
        if told_at.is_none() && target.runs().len() > before {
            told_at = Some(Instant::now());
        }
        sleep(Duration::from_millis(60)).await;
    }
    let told_at = told_at.context("the target got a request")?;
    let limit = told_at + Duration::from_millis(LEAVING_LIMIT_MS);
    assert!(limit < Instant::now(), "requests were sent after the limit");
    let late = target.runs().iter().filter(|run| run.started > limit).count();
    assert_eq!(late, 0, "requests reached the target after the limit");
    Ok(())
}
