//! Callers' keys, the customers that targets see, and whose a batch job is.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_standin::LinkCut;
use cassia_standin::RequestRun;
use cassia_trials::HostLinks;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::split_owner;
use cassia_trials::start_processes;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

const ACCOUNTS: &[(&str, &[&str])] = &[("acme", &["key-a1", "key-a2"]), ("bolt", &["key-b1"])];
/// Within which time the fault of a link is known.
const CONTACT: Duration = Duration::from_secs(3);

/// A file for what a process writes; removed when dropped.
struct LogFile(PathBuf);

impl LogFile {
    fn new(name: &str) -> Self {
        Self(std::env::temp_dir().join(format!("accounts-{name}-{}.log", std::process::id())))
    }

    fn text(&self) -> String {
        std::fs::read_to_string(&self.0).unwrap_or_default()
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

async fn start(engines: usize, services: usize) -> anyhow::Result<(PlatformEnv, Process)> {
    let env = PlatformEnv::start().await?.with_targets(engines, services).await?;
    env.put_accounts(2, ACCOUNTS);
    let (_, process) = start_processes(&env, 1).await?.pop().context("a process")?;
    wait_until_serving(&env, &process).await?;
    Ok((env, process))
}

async fn wait_until_serving(env: &PlatformEnv, process: &Process) -> anyhow::Result<()> {
    let serves = || async {
        env.request_with_key(process, "/quote/1", "first", "key-a1").await.status == 200
    };
    anyhow::ensure!(eventually(serves).await, "the process doesn't serve requests");
    Ok(())
}

/// Asserts that runs carry this customer, once, and no key.
fn assert_customer(runs: &[RequestRun], customer: Option<&str>) {
    assert!(!runs.is_empty(), "nothing ran");
    for run in runs {
        let customers: Vec<_> = run.headers.get_all("tenant").iter().collect();
        let expected: Vec<_> = customer.into_iter().collect();
        assert_eq!(customers, expected, "{run:?}");
        assert!(!run.headers.contains_key("authorization"), "{run:?}");
    }
}

/// Guards against a target that sees a key, or a customer that the caller made up.
#[rstest]
#[case::idempotent("/quote/1")]
#[case::at_most_once("/once/1")]
#[case::stream("/stream/1")]
#[tokio::test]
async fn a_target_sees_the_customer_and_no_key(#[case] path: &str) -> anyhow::Result<()> {
    let (env, process) = start(1, 1).await?;
    let headers = [
        ("attempt-id", "r"),
        ("deadline-ms", "3000"),
        ("Tenant", "forged"),
        ("authorization", "Token key-a2"),
        ("tenant", "bolt"),
    ];
    let response = env.send("POST", process.listen, path, &headers, "ask").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_customer(&env.runs_of("r"), Some("acme"));
    Ok(())
}

/// Guards against a key in the request that goes on with a stream elsewhere.
#[tokio::test]
async fn a_resumed_stream_names_the_customer() -> anyhow::Result<()> {
    let (env, process) = start(2, 1).await?;
    assert_eq!(env.request_with_key(&process, "/stream/1", "r0", "key-a1").await.status, 200);
    let headers = [
        ("attempt-id", "r1"),
        ("deadline-ms", "3000"),
        ("authorization", "Token key-a1"),
        ("last-event-id", "2"),
        ("resumes", "r0"),
    ];
    let response = env.send("POST", process.listen, "/stream/1", &headers, "ask").await;
    assert_eq!(response.status, 200, "{response:?}");
    let runs = env.runs_of("r1");
    assert_eq!(runs[0].last_event_id, Some(2), "{runs:?}");
    assert_customer(&runs, Some("acme"));
    Ok(())
}

/// Guards against a key in the second request of one that is sent to two targets.
#[tokio::test]
async fn both_attempts_of_a_hedged_request_name_the_customer() -> anyhow::Result<()> {
    let (env, process) = start(0, 2).await?;
    for target in &env.targets {
        target.set_delay(Duration::from_millis(600));
    }
    let response = env.request_with_key(&process, "/quote/1", "r", "key-b1").await;
    assert_eq!(response.status, 200, "{response:?}");
    let runs = env.runs_of("r");
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert_customer(&runs, Some("bolt"));
    Ok(())
}

/// Guards against a key that reaches a target by way of another host.
#[rstest]
#[case::plain("/quote/1")]
#[case::stream("/stream/1")]
#[tokio::test]
async fn a_forwarded_request_names_the_customer(#[case] path: &str) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    env.put_accounts(2, ACCOUNTS);
    let links = HostLinks::start(&env).await?;
    let cut = env.start_process_with_store("h1", links.store_addr()).await?;
    let _other = env.start_process("h2").await?;
    wait_until_serving(&env, &cut).await?;
    links.cut(LinkCut::Refuse);
    sleep(CONTACT).await;
    let response = env.request_with_key(&cut, path, "r", "key-a1").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_customer(&env.runs_of("r"), Some("acme"));
    Ok(())
}

/// Guards against callers of a public route that are refused for their keys, and against
/// keys that they send there nevertheless.
#[rstest]
#[case::without_a_key(None)]
#[case::with_a_key(Some("Token key-a1"))]
#[case::with_an_unknown_key(Some("Token none"))]
#[tokio::test]
async fn a_public_route_needs_no_key(#[case] key: Option<&str>) -> anyhow::Result<()> {
    let (env, process) = start(0, 1).await?;
    let mut headers = vec![("attempt-id", "r"), ("tenant", "forged")];
    headers.extend(key.map(|key| ("authorization", key)));
    let response = env.send("POST", process.listen, "/extra/1", &headers, "ask").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_customer(&env.runs_of("r"), None);
    Ok(())
}

#[rstest]
#[case::none(&[])]
#[case::unknown(&["Token key-a"])]
#[case::other_scheme(&["Bearer key-a1"])]
#[case::two(&["Token key-a1", "Token key-b1"])]
#[tokio::test]
async fn a_request_without_a_known_key_is_refused(#[case] keys: &[&str]) -> anyhow::Result<()> {
    let (env, process) = start(1, 1).await?;
    for path in ["/quote/1", "/once/1", "/stream/1", "/job/x"] {
        let mut headers = vec![("attempt-id", "r")];
        headers.extend(keys.iter().map(|key| ("authorization", *key)));
        let response = env.send("POST", process.listen, path, &headers, "ask").await;
        assert_eq!((response.status, &response.json()["kind"]), (401, &json!("unknown_key")));
    }
    let response = env.results(&process, "j", 0).await;
    assert_eq!(response.status, 401, "{response:?}");
    assert!(env.runs_of("r").is_empty());
    Ok(())
}

/// Guards against a refused caller that may retry for ever: without a route there is no
/// key to check.
#[tokio::test]
async fn a_missing_route_comes_before_a_missing_key() -> anyhow::Result<()> {
    let (env, process) = start(0, 1).await?;
    assert_eq!(env.request(&process, "/nowhere/1", "r").await.status, 404);
    Ok(())
}

/// Returns a job whose items name a customer and a key themselves.
fn forged_job(id: &str, items: usize) -> Value {
    let mut job = batch_job(id, items, 1);
    for item in job["items"].as_array_mut().into_iter().flatten() {
        item["headers"]["TENANT"] = json!("forged");
        item["headers"]["aUTHORIZATION"] = json!("Token key-b1");
    }
    job
}

async fn results(env: &PlatformEnv, process: &Process, job: &str, key: &str) -> Vec<Value> {
    let path = format!("/v1/lots/{job}");
    let page = env.job_call_with_key("GET", process, &path, key, "").await.json();
    page["results"].as_array().cloned().unwrap_or_default()
}

async fn wait_for_results(
    env: &PlatformEnv,
    process: &Process,
    job: &str,
    key: &str,
    count: usize,
) -> anyhow::Result<()> {
    let done = || async { results(env, process, job, key).await.len() == count };
    anyhow::ensure!(eventually(done).await, "not all results of {job}");
    Ok(())
}

/// Guards against items of a revoked key that stop, or run without a customer, and
/// against keys in the headers of items and of their reward calls.
#[tokio::test]
async fn items_run_for_their_customer_after_its_key_was_removed() -> anyhow::Result<()> {
    let (env, process) = start(2, 1).await?;
    for target in env.targets.iter().filter(|target| target.is_engine()) {
        target.set_delay(Duration::from_millis(60));
    }
    let job = forged_job("j", 40);
    assert_eq!(env.submit_job_with_key(&process, "j", &job, "key-a1").await.status, 202);
    env.put_accounts(3, &[("acme", &["key-a2"]), ("bolt", &["key-b1"])]);
    let removed =
        || async { env.request_with_key(&process, "/quote/1", "q", "key-a1").await.status == 401 };
    anyhow::ensure!(eventually(removed).await, "the key is not removed");
    let before = results(&env, &process, "j", "key-a2").await.len();
    assert!(before < 40, "all items ran before the key was removed");
    wait_for_results(&env, &process, "j", "key-a2", 40).await?;
    for n in 0..40 {
        assert_customer(&env.runs_of(&format!("j-{n}")), Some("acme"));
        assert_customer(&env.runs_of(&format!("j-{n}-score")), None);
    }
    Ok(())
}

/// Guards against a customer that another host does not find in the records of a job
/// which it takes over.
#[tokio::test]
async fn items_run_for_their_customer_at_the_next_owner() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(2, 1).await?;
    env.put_accounts(2, ACCOUNTS);
    let (mut owner, others) = split_owner(&env, "j", start_processes(&env, 2).await?);
    wait_until_serving(&env, &owner).await?;
    wait_until_serving(&env, &others[0]).await?;
    let job = forged_job("j", 40);
    assert_eq!(env.submit_job_with_key(&owner, "j", &job, "key-b1").await.status, 202);
    let running = || async { env.targets.iter().any(|t| t.is_engine() && !t.running().is_empty()) };
    anyhow::ensure!(eventually(running).await, "no item is running");
    owner.kill();
    wait_for_results(&env, &others[0], "j", "key-b1", 40).await?;
    for n in 0..40 {
        assert_customer(&env.runs_of(&format!("j-{n}")), Some("bolt"));
        assert_customer(&env.runs_of(&format!("j-{n}-score")), None);
    }
    Ok(())
}

/// Guards against other requests than before in the deployments without accounts: their
/// targets may use these headers in their own way.
#[tokio::test]
async fn headers_reach_targets_as_they_came_without_accounts() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let (_, process) = start_processes(&env, 1).await?.pop().context("a process")?;
    cassia_trials::wait_until_serving(&env, &process).await?;
    let headers = [("attempt-id", "r"), ("authorization", "Basic x"), ("tenant", "own")];
    let response = env.send("POST", process.listen, "/quote/1", &headers, "ask").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(env.submit_job(&process, "j", &forged_job("j", 1)).await.status, 202);
    env.all_results(&process, "j").await.context("results")?;
    let expected = [("r", "own", "Basic x"), ("j-0", "forged", "Token key-b1")];
    for (id, customer, key) in expected {
        let run = env.runs_of(id).pop().context("a run")?;
        assert_eq!(run.headers["tenant"], customer);
        assert_eq!(run.headers["authorization"], key);
    }
    let state = env.send("GET", process.ops, "/state", &[], "").await.json();
    assert!(state.get("accounts").is_none(), "{state}");
    Ok(())
}

/// Guards against a customer that reads, ends or takes over another's job.
#[tokio::test]
async fn a_job_exists_for_its_customer_only() -> anyhow::Result<()> {
    let (env, process) = start(1, 1).await?;
    let job = batch_job("j", 4, 1);
    assert_eq!(env.submit_job_with_key(&process, "j", &job, "key-a1").await.status, 202);
    let body = "/v1/items/j?instance_id=j-1";
    let foreign_calls = [("GET", "/v1/lots/j"), ("GET", body), ("DELETE", "/v1/lots/j")];
    for (method, path) in foreign_calls {
        let response = env.job_call_with_key(method, &process, path, "key-b1", "").await;
        assert_eq!((response.status, &response.json()["kind"]), (404, &json!("no_such_job")));
        let unknown = env.job_call_with_key(method, &process, path, "none", "").await;
        assert_eq!(unknown.status, 401, "{unknown:?}");
    }
    let partition = cassia_jobs::partition("j", cassia_trials::PARTITIONS);
    let foreign = batch_job("j", 8, 1);
    let response = env.submit_job_with_key(&process, "j", &foreign, "key-b1").await;
    assert_eq!(response.status, 404, "{response:?}");
    let submissions = env.store.records("jobs", partition).into_iter().filter(|record| {
        let record = cassia_jobs::JobRecord::decode(record.clone());
        matches!(record, cassia_jobs::JobRecord::Part { .. })
    });
    assert_eq!(submissions.count(), 1, "the refused submission is in the log");
    // Another key of the same customer has the same rights.
    wait_for_results(&env, &process, "j", "key-a2", 4).await?;
    let response = env.job_call_with_key("GET", &process, body, "key-a2", "").await;
    assert_eq!((response.status, response.body.as_ref()), (200, &b"prompt"[..]));
    assert_eq!(env.submit_job_with_key(&process, "j", &job, "key-a2").await.status, 202);
    let response = env.job_call_with_key("DELETE", &process, "/v1/lots/j", "key-a2", "").await;
    assert!(response.status < 300, "{response:?}");
    Ok(())
}

/// Guards against a customer that gets an acceptance for an id under which another's job
/// was accepted at the same time, by another host.
#[tokio::test]
async fn of_two_customers_one_gets_the_id() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    env.put_accounts(2, ACCOUNTS);
    let processes = start_processes(&env, 2).await?;
    for (_, process) in &processes {
        wait_until_serving(&env, process).await?;
    }
    for n in 0..20 {
        let id = format!("j{n}");
        let job = batch_job(&id, 4, 1);
        let (a, b) = tokio::join!(
            env.submit_job_with_key(&processes[0].1, &id, &job, "key-a1"),
            env.submit_job_with_key(&processes[1].1, &id, &job, "key-b1"),
        );
        let mut statuses = [a.status, b.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [202, 404], "{a:?} {b:?}");
        let winner = if a.status == 202 { "key-a1" } else { "key-b1" };
        wait_for_results(&env, &processes[0].1, &id, winner, 4).await?;
    }
    Ok(())
}

/// Guards against items that run without their customer's name: a job that was accepted
/// before there were accounts, or by an earlier release, has none.
#[tokio::test]
async fn a_job_without_a_customer_is_not_shown_and_does_not_run() -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let (_, process) = start_processes(&env, 1).await?.pop().context("a process")?;
    assert_eq!(env.submit_job(&process, "j", &batch_job("j", 4, 1)).await.status, 202);
    env.put_accounts(2, ACCOUNTS);
    wait_until_serving(&env, &process).await?;
    let engine = env.add_engine("e", 6).await?;
    // The engine is used as soon as it is known.
    let job = batch_job("k", 4, 1);
    assert_eq!(env.submit_job_with_key(&process, "k", &job, "key-a1").await.status, 202);
    wait_for_results(&env, &process, "k", "key-a1", 4).await?;
    for key in ["key-a1", "key-b1"] {
        let response = env.job_call_with_key("GET", &process, "/v1/lots/j", key, "").await;
        assert_eq!(response.status, 404, "{response:?}");
    }
    let runs = engine.runs();
    assert!(runs.iter().all(|run| run.id.starts_with("k-")), "{runs:?}");
    Ok(())
}

/// Guards against a 401 for a key that was added just before, on a connection that was
/// opened earlier, and against requests with a key that was removed.
#[tokio::test]
async fn a_new_key_is_known_at_once_and_a_removed_one_for_three_seconds() -> anyhow::Result<()> {
    let (env, process) = start(0, 1).await?;
    let client = cassia_trials::PlatformClient::new(cassia_trials::Connections::KeepAlive);
    let ask = async |id: String, key: &str| {
        let token = format!("Token {key}");
        let headers = [("attempt-id", id.as_str()), ("authorization", &token)];
        client.send("POST", process.listen, "/quote/1", &headers, "ask").await.status
    };
    assert_eq!(ask("before".to_owned(), "key-b1").await, 200);
    for n in 0..10 {
        let key = format!("new-{n}");
        env.put_accounts(3 + n, &[("acme", &["key-a1"]), ("bolt", &["key-b1", &key])]);
        assert_eq!(ask(format!("new-{n}"), &key).await, 200);
    }
    env.put_accounts(20, &[("acme", &["key-a1"])]);
    let removed_at = Instant::now();
    let mut n = 0;
    while ask(format!("old-{n}"), "key-b1").await == 200 {
        assert!(removed_at.elapsed() < Duration::from_secs(3), "the key is still served");
        sleep(Duration::from_millis(20)).await;
        n += 1;
    }
    assert_eq!(ask("old".to_owned(), "key-b1").await, 401);
    assert!(env.runs_of("old").is_empty());
    assert_eq!(ask("known".to_owned(), "key-a1").await, 200);
    Ok(())
}

/// Guards against a 401, which is final, by a host that is cut off from the store, and
/// against callers with known keys that it refuses.
#[rstest]
#[case::refused(cassia_standin::StoreFaults { busy: true, ..Default::default() })]
#[case::silent(cassia_standin::StoreFaults { hang: true, ..Default::default() })]
#[tokio::test]
async fn a_host_without_the_store_serves_known_keys(
    #[case] faults: cassia_standin::StoreFaults,
) -> anyhow::Result<()> {
    let (env, process) = start(0, 1).await?;
    env.store.set_faults(faults);
    let began = Instant::now();
    let response = env.request_with_key(&process, "/quote/1", "u", "none").await;
    assert_eq!((response.status, &response.json()["kind"]), (503, &json!("key_unconfirmed")));
    assert!(response.retry_after.is_some());
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    sleep(Duration::from_secs(2)).await;
    let known = env.request_with_key(&process, "/quote/1", "k", "key-a1").await;
    assert_eq!(known.status, 200, "{known:?}");
    assert_eq!(env.request(&process, "/quote/1", "n").await.status, 401, "without a key");
    env.store.set_faults(cassia_standin::StoreFaults::default());
    let refused =
        || async { env.request_with_key(&process, "/quote/1", "u", "none").await.status == 401 };
    anyhow::ensure!(eventually(refused).await, "the key stays unconfirmed");
    assert!(env.runs_of("u").is_empty());
    Ok(())
}

/// 600 requests with unknown keys come at once, more than may wait, while the store does
/// not answer. Guards against callers with known keys that wait behind them, and against
/// memory for all of them.
#[tokio::test]
async fn unknown_keys_hold_up_no_known_one() -> anyhow::Result<()> {
    let (env, process) = start(0, 1).await?;
    env.store.set_faults(cassia_standin::StoreFaults { hang: true, ..Default::default() });
    let unknown = futures::future::join_all((0..600).map(|n| {
        let (env, process, id) = (&env, &process, format!("u{n}"));
        async move {
            let began = Instant::now();
            let response = env.request_with_key(process, "/quote/1", &id, "none").await;
            (response.status, began.elapsed())
        }
    }));
    let known = async {
        let mut slowest = Duration::ZERO;
        for n in 0..20 {
            let (began, id) = (Instant::now(), format!("k{n}"));
            let response = env.request_with_key(&process, "/quote/1", &id, "key-a1").await;
            assert_eq!(response.status, 200, "{response:?}");
            slowest = slowest.max(began.elapsed());
            sleep(Duration::from_millis(20)).await;
        }
        slowest
    };
    let (unknown, slowest) = tokio::join!(unknown, known);
    assert!(unknown.iter().all(|(status, _)| *status == 503), "{unknown:?}");
    // Those beyond the limit don't wait. The time includes connecting 600 times.
    let at_once = unknown.iter().filter(|(_, took)| *took < Duration::from_millis(250)).count();
    assert!(at_once >= 200, "{at_once} were answered at once");
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
    let metrics = env.send("GET", process.ops, "/metrics", &[], "").await;
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(metrics.contains("request_key_unconfirmed{customer=\"all\"} 600"), "{metrics}");
    Ok(())
}

/// Guards against a host that goes on serving keys that may have been removed, where
/// the deployment asks for no more than this time.
#[tokio::test]
async fn strict_revocation_refuses_keys_after_its_time() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    env.put_accounts(2, ACCOUNTS);
    let log = LogFile::new("strict");
    let flags = ["--strict-revoke=true", "--revoke-ms=2000"];
    let process = Process::start_serve_logged("h1", env.store.addr(), &flags, &log.0)?;
    wait_until_serving(&env, &process).await?;
    for n in 0..30 {
        let id = format!("r{n}");
        let response = env.request_with_key(&process, "/quote/1", &id, "key-a1").await;
        assert_eq!(response.status, 200, "with the store: {response:?}");
        sleep(Duration::from_millis(100)).await;
    }
    let hang = cassia_standin::StoreFaults { hang: true, ..Default::default() };
    env.store.set_faults(hang);
    let cut_at = Instant::now();
    sleep(Duration::from_millis(200)).await;
    let response = env.request_with_key(&process, "/quote/1", "early", "key-a1").await;
    assert_eq!(response.status, 200, "{response:?}");
    sleep(Duration::from_millis(2_100).saturating_sub(cut_at.elapsed())).await;
    let response = env.request_with_key(&process, "/quote/1", "late", "key-a1").await;
    assert_eq!((response.status, &response.json()["kind"]), (503, &json!("key_unconfirmed")));
    assert_eq!(env.request(&process, "/extra/1", "public").await.status, 200);
    env.store.set_faults(cassia_standin::StoreFaults::default());
    wait_until_serving(&env, &process).await
}

/// Guards against keys in log lines, dumps, metrics and answers, and against a log that
/// grows with the requests that are refused.
#[tokio::test]
async fn no_key_is_written_anywhere() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    env.put_accounts(2, ACCOUNTS);
    let log = LogFile::new("keys");
    let process = Process::start_serve_logged("h1", env.store.addr(), &[], &log.0)?;
    wait_until_serving(&env, &process).await?;
    let mut written = String::new();
    let ids: Vec<_> = (0..200).map(|n| format!("u{n}")).collect();
    let refused = ids.iter().map(|id| env.request_with_key(&process, "/quote/1", id, "key-none"));
    for response in futures::future::join_all(refused).await {
        assert_eq!(response.status, 401, "{response:?}");
        written += &String::from_utf8_lossy(&response.body);
    }
    let job = forged_job("j", 4);
    let accepted =
        || async { env.submit_job_with_key(&process, "j", &job, "key-a1").await.status == 202 };
    anyhow::ensure!(eventually(accepted).await, "the job is not accepted");
    wait_for_results(&env, &process, "j", "key-a1", 4).await?;
    env.job_call_with_key("DELETE", &process, "/v1/lots/j", "key-b1", "").await;
    let state = env.send("GET", process.ops, "/state", &[], "").await;
    let keys = json!([{"customer": "acme", "keys": 2}, {"customer": "bolt", "keys": 1}]);
    assert_eq!(state.json()["accounts"], keys);
    let metrics = env.send("GET", process.ops, "/metrics", &[], "").await;
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(metrics.contains("request_unknown_key{customer=\"all\"} 200"), "{metrics}");
    let summed = || async { log.text().contains("keys_refused") };
    anyhow::ensure!(eventually(summed).await, "no line of the log says what was refused");
    written += &String::from_utf8_lossy(&state.body);
    written += &metrics;
    written += &log.text();
    assert!(!written.contains("key-"), "a key is written");
    let lines = log.text().lines().filter(|line| line.contains("keys_refused")).count();
    assert!(lines <= 10, "{lines} lines");
    assert!(!log.text().contains("\"u1\""), "a line for each refused request");
    Ok(())
}
