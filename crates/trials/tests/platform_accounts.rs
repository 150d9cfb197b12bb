//! Callers' keys, and the customers that targets see.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_standin::LinkCut;
use cassia_trials::HostLinks;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::ROUTE_HOST;
use cassia_trials::TRIAL_ACCOUNTS;
use cassia_trials::assert_customer;
use cassia_trials::eventually;
use cassia_trials::forged_job;
use cassia_trials::start_processes;
use cassia_trials::start_with_accounts;
use cassia_trials::wait_for_results;
use cassia_trials::wait_until_known_key_serves;
use cassia_trials::wait_until_serving;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

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

/// Guards against a target that sees a key, or a customer that the caller made up.
#[rstest]
#[case::idempotent("/quote/1")]
#[case::at_most_once("/once/1")]
#[case::stream("/stream/1")]
#[tokio::test]
async fn a_target_sees_the_customer_and_no_key(#[case] path: &str) -> anyhow::Result<()> {
    let (env, process) = start_with_accounts(1, 1).await?;
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
    let (env, process) = start_with_accounts(2, 1).await?;
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
    let (env, process) = start_with_accounts(0, 2).await?;
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
    env.put_accounts(2, TRIAL_ACCOUNTS);
    let links = HostLinks::start(&env).await?;
    let cut = env.start_process_with_store("h1", links.store_addr()).await?;
    let _other = env.start_process("h2").await?;
    wait_until_known_key_serves(&env, &cut).await?;
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
    let (env, process) = start_with_accounts(0, 1).await?;
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
    let (env, process) = start_with_accounts(1, 1).await?;
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
    let (env, process) = start_with_accounts(0, 1).await?;
    assert_eq!(env.request(&process, "/nowhere/1", "r").await.status, 404);
    Ok(())
}

/// Guards against other requests than before in the deployments without accounts: their
/// targets may use these headers in their own way.
#[tokio::test]
async fn headers_reach_targets_as_they_came_without_accounts() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let (_, process) = start_processes(&env, 1).await?.pop().context("a process")?;
    wait_until_serving(&env, &process).await?;
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

/// Guards against a 401 for a key that was added just before, on a connection that was
/// opened earlier, and against requests with a key that was removed.
#[tokio::test]
async fn a_new_key_is_known_at_once_and_a_removed_one_for_three_seconds() -> anyhow::Result<()> {
    let (env, process) = start_with_accounts(0, 1).await?;
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

/// Guards against a request that runs with a key that was removed while its body came,
/// which may take 15 s.
#[tokio::test]
async fn a_key_that_is_removed_while_a_body_comes_is_refused() -> anyhow::Result<()> {
    let (env, process) = start_with_accounts(0, 1).await?;
    let mut caller = TcpStream::connect(process.listen).await?;
    let head = format!(
        "POST /quote/1 HTTP/1.1\r\nhost: {ROUTE_HOST}\r\nattempt-id: slow\r\n\
         authorization: Token key-b1\r\ncontent-length: 3\r\nconnection: close\r\n\r\na"
    );
    caller.write_all(head.as_bytes()).await?;
    sleep(Duration::from_millis(200)).await;
    env.put_accounts(3, &[("acme", &["key-a1"])]);
    let removed =
        || async { env.request_with_key(&process, "/quote/1", "q", "key-b1").await.status == 401 };
    anyhow::ensure!(eventually(removed).await, "the key is not removed");
    caller.write_all(b"sk").await?;
    let mut response = String::new();
    caller.read_to_string(&mut response).await?;
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    assert!(env.runs_of("slow").is_empty());
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
    let (env, process) = start_with_accounts(0, 1).await?;
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

async fn metrics(env: &PlatformEnv, process: &Process) -> String {
    let response = env.send("GET", process.ops, "/metrics", &[], "").await;
    String::from_utf8_lossy(&response.body).into_owned()
}

/// Returns the number of requests that wait for a read of the configuration.
async fn waiting(env: &PlatformEnv, process: &Process) -> Option<usize> {
    let metrics = metrics(env, process).await;
    let line = metrics.lines().find(|line| line.starts_with("cassia_key_waiting"))?;
    line.split_whitespace().last()?.parse().ok()
}

/// 600 requests with unknown keys come at once, more than may wait, while the store does
/// not answer. Guards against callers with known keys that wait behind them, and against
/// memory for all of them.
#[tokio::test]
async fn unknown_keys_hold_up_no_known_one() -> anyhow::Result<()> {
    let (env, process) = start_with_accounts(0, 1).await?;
    let hang = cassia_standin::StoreFaults { hang: true, ..Default::default() };
    env.store.set_faults(hang);
    let ids: Vec<_> = (0..600).map(|n| format!("u{n}")).collect();
    let unknown = ids.iter().map(|id| env.request_with_key(&process, "/quote/1", id, "none"));
    let known = async {
        let mut most_waiting = 0;
        for n in 0..20 {
            let (began, id) = (Instant::now(), format!("k{n}"));
            let response = env.request_with_key(&process, "/quote/1", &id, "key-a1").await;
            // While the store hangs, none that waited for a read is served.
            assert_eq!(response.status, 200, "{response:?}");
            assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
            most_waiting = most_waiting.max(waiting(&env, &process).await.unwrap_or(0));
        }
        most_waiting
    };
    let (unknown, most_waiting) = tokio::join!(futures::future::join_all(unknown), known);
    assert!(unknown.iter().all(|response| response.status == 503), "{unknown:?}");
    assert!((1..=256).contains(&most_waiting), "{most_waiting} wait");
    assert_eq!(waiting(&env, &process).await, Some(0));
    let metrics = metrics(&env, &process).await;
    assert!(metrics.contains("request_key_unconfirmed{customer=\"all\"} 600"), "{metrics}");
    Ok(())
}

/// Guards against a host that goes on serving keys that may have been removed, where
/// the deployment asks for no more than this time.
#[tokio::test]
async fn strict_revocation_refuses_keys_after_its_time() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    env.put_accounts(2, TRIAL_ACCOUNTS);
    let log = LogFile::new("strict");
    let flags = ["--strict-revoke=true", "--revoke-ms=2000"];
    let process =
        Process::start_serve_logged("h1", env.store.addr(), &flags.map(str::to_owned), &log.0)?;
    wait_until_known_key_serves(&env, &process).await?;
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
    wait_until_known_key_serves(&env, &process).await
}

/// Guards against keys in log lines, dumps, metrics and answers, and against a log that
/// grows with the requests that are refused.
#[tokio::test]
async fn no_key_is_written_anywhere() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    env.put_accounts(2, TRIAL_ACCOUNTS);
    let log = LogFile::new("keys");
    let process = Process::start_serve_logged("h1", env.store.addr(), &[], &log.0)?;
    wait_until_known_key_serves(&env, &process).await?;
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
    let metrics = metrics(&env, &process).await;
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
