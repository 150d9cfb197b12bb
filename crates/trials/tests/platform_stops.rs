//! Planned stops of hosts that callers go on using.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_standin::LinkCut;
use cassia_trials::CallerConnection;
use cassia_trials::HostLinks;
use cassia_trials::KeptResponse;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::platform_config;
use cassia_trials::wait_until_serving;
use futures::future::join_all;
use http::Method;
use rstest::rstest;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// How long a planned stop may take.
const GRACE: Duration = Duration::from_secs(8);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// How long the load balancer may still open connections after a host is not ready; it
/// goes on where few other hosts are.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);
/// How long an idle kept connection lets pass between two requests.
const KEPT_INTERVAL: Duration = Duration::from_millis(150);
/// When connections come that are drained by their own age, if at all.
const JUST_BEFORE_DRAIN: Duration = Duration::from_millis(2_250);
/// From here on a request that is cut off has no excuse.
const EXCUSED: Duration = Duration::from_secs(3);
/// The time limit of the routes, which is longer than a stop.
const LONG_LIMIT_MS: u64 = 10_000;

/// Requests that a host took while it still had other work were cut off when that was
/// done: nobody waited for connections that came after the first of the wait.
#[rstest]
#[case::ends_before_the_limit(Duration::from_millis(700), Duration::from_millis(400))]
#[case::ends_at_the_limit(Duration::from_millis(1_400), Duration::from_millis(400))]
#[case::long_requests(Duration::from_millis(700), Duration::from_millis(1_500))]
#[tokio::test]
async fn a_stop_answers_all_requests_that_it_passes_on(
    #[case] event_time: Duration,
    #[case] request_time: Duration,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(2, 3).await?;
    let mut process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    for target in &env.targets {
        target.set_delay(if target.is_engine() { event_time } else { request_time });
    }
    let submitted = env.submit_job(&process, "j", &batch_job("j", 4, 1)).await;
    anyhow::ensure!(submitted.status == 202, "{submitted:?}");
    let runs = || async { env.targets.iter().any(|t| t.is_engine() && !t.running().is_empty()) };
    anyhow::ensure!(eventually(runs).await, "no item begins");
    process.terminate();
    let stopped = Instant::now();
    let one = |n: usize| {
        let (env, process) = (&env, &process);
        async move {
            sleep(REQUEST_INTERVAL * u32::try_from(n).unwrap_or(0)).await;
            let id = format!("r{n}");
            let sent = stopped.elapsed();
            (id.clone(), sent, env.request(process, "/quote/1", &id).await.status)
        }
    };
    let count = usize::try_from(GRACE.as_millis() / REQUEST_INTERVAL.as_millis())?;
    let responses = join_all((0..count).map(one)).await;
    let ended = process.wait(GRACE.saturating_sub(stopped.elapsed())).await;
    assert_eq!(ended.context("it doesn't end in time")?.code(), Some(0));
    let lost: Vec<_> =
        responses.iter().filter(|(id, _, status)| *status == 0 && env.run_count(id) > 0).collect();
    assert!(lost.is_empty(), "cut off: {lost:?}");
    let late = responses.iter().filter(|(_, sent, status)| *sent > BALANCER_LAG && *status == 200);
    assert!(late.count() > 0, "the host takes no requests while it still runs items");
    Ok(())
}

/// The host's configuration, with time limits that are longer than a stop.
fn with_long_limits() -> serde_json::Value {
    let mut config = platform_config(2, true);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = LONG_LIMIT_MS.into();
    }
    config
}

/// Starts a host that has items under way for longer than a stop takes, so that it serves
/// on until its limit.
async fn start_busy_host() -> anyhow::Result<(PlatformEnv, Process)> {
    let env = PlatformEnv::start().await?.with_targets(2, 3).await?;
    env.store.put("keyed.op", "config", Some(&with_long_limits()));
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    for target in env.targets.iter().filter(|target| target.is_engine()) {
        target.set_delay(Duration::from_millis(1_400));
    }
    let submitted = env.submit_job(&process, "j", &batch_job("j", 4, 1)).await;
    anyhow::ensure!(submitted.status == 202, "{submitted:?}");
    let runs = || async { env.targets.iter().any(|t| t.is_engine() && !t.running().is_empty()) };
    anyhow::ensure!(eventually(runs).await, "no item begins");
    Ok((env, process))
}

fn post_headers(id: &str) -> [(&str, &str); 2] {
    [("attempt-id", id), ("deadline-ms", "10000")]
}

/// Connections that came after the SIGTERM were drained by their own age, or not at all,
/// so that they took requests until the process ended.
#[rstest]
#[case::while_the_balancer_may_not_know(Duration::from_millis(1_600))]
#[case::just_before_it_does(JUST_BEFORE_DRAIN)]
#[case::where_few_hosts_are_ready(Duration::from_millis(4_900))]
#[tokio::test]
async fn a_connection_that_comes_in_a_stop_is_drained_with_the_others(
    #[case] opened: Duration,
) -> anyhow::Result<()> {
    let (env, mut process) = start_busy_host().await?;
    process.terminate();
    let stopped = Instant::now();
    sleep(opened).await;
    let mut connection = CallerConnection::open(process.listen).await?;
    let mut n = 0;
    loop {
        let sent = stopped.elapsed();
        let id = format!("r{n}");
        let headers = [("attempt-id", id.as_str()), ("deadline-ms", "1000")];
        let response = connection.send(Method::POST, "/once/1", &headers, "ask").await;
        let response = response.with_context(|| format!("{id}, sent after {sent:?}"))?;
        assert_eq!(response.status, 200, "{id}, sent after {sent:?}");
        if response.closes {
            break;
        }
        assert!(sent < BALANCER_LAG.max(opened), "{id}, sent after {sent:?}, keeps it open");
        n += 1;
        sleep(KEPT_INTERVAL).await;
    }
    let ended = process.wait(GRACE.saturating_sub(stopped.elapsed())).await;
    assert_eq!(ended.context("it doesn't end in time")?.code(), Some(0));
    drop(env);
    Ok(())
}

/// How work enters a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Entry {
    AtMostOnce,
    Idempotent,
    Stream,
    ReadResults,
    Submission,
}

impl Entry {
    async fn send(self, to: &mut CallerConnection, id: &str) -> anyhow::Result<KeptResponse> {
        let post = |path| (Method::POST, path, "ask".to_owned());
        let (method, path, body) = match self {
            Self::AtMostOnce => post("/once/1"),
            Self::Idempotent => post("/quote/1"),
            Self::Stream => post("/stream/1"),
            Self::ReadResults => (Method::GET, "/v1/lots/j?after=0", String::new()),
            Self::Submission => (Method::POST, "/job/x", batch_job(id, 4, 1).to_string()),
        };
        let mut headers = post_headers(id).to_vec();
        headers.push(("wait-ms", "1000"));
        to.send(method, path, &headers, body).await
    }
}

/// Requests that came late in a stop were passed on whatever time they could take, and cut
/// off with no answer when the process ended, also those that may not be repeated.
#[rstest]
#[case::at_most_once(Entry::AtMostOnce)]
#[case::idempotent(Entry::Idempotent)]
#[case::stream(Entry::Stream)]
#[case::read_results(Entry::ReadResults)]
#[case::submission(Entry::Submission)]
#[tokio::test]
async fn what_comes_late_in_a_stop_is_answered_or_refused(
    #[case] entry: Entry,
) -> anyhow::Result<()> {
    let (env, mut process) = start_busy_host().await?;
    process.terminate();
    let stopped = Instant::now();
    for target in env.targets.iter().filter(|target| !target.is_engine()) {
        target.set_delay(Duration::from_millis(4_250));
    }
    let one = |n: u32| {
        let process = &process;
        async move {
            // The first ones come on connections that were opened before.
            let send_at = EXCUSED + n * 5 * REQUEST_INTERVAL;
            let open_at = if n < 2 { JUST_BEFORE_DRAIN } else { send_at };
            sleep_until((stopped + open_at).into()).await;
            // Later, the listener is closed.
            let Ok(mut connection) = CallerConnection::open(process.listen).await else {
                return Ok(None);
            };
            sleep_until((stopped + send_at).into()).await;
            let sent = stopped.elapsed();
            let id = format!("r{n}");
            let response = entry.send(&mut connection, &id).await;
            let response = response.with_context(|| format!("{id}, sent after {sent:?}"))?;
            anyhow::Ok(Some((id, sent, response)))
        }
    };
    let responses = join_all((0..20).map(one)).await;
    let responses: Vec<_> = responses.into_iter().collect::<anyhow::Result<_>>()?;
    let answered: Vec<_> = responses.into_iter().flatten().collect();
    assert!(answered.len() > 2, "the host takes no connections while it still runs items");
    for (id, sent, response) in answered {
        assert!(response.closes, "{id}, sent after {sent:?}: {response:?}");
        assert!(matches!(response.status, 200 | 202 | 503), "{id}, {sent:?}: {response:?}");
        let ran = env.run_count(&id) > 0;
        assert!(!ran || response.status != 503, "{id}, refused after it ran: {response:?}");
    }
    let ended = process.wait(GRACE.saturating_sub(stopped.elapsed())).await;
    assert_eq!(ended.context("it doesn't end in time")?.code(), Some(0));
    Ok(())
}

/// A request that was taken early and whose target never answers was cut off with the
/// process; its caller is told that the outcome is unknown.
#[tokio::test]
async fn a_request_under_way_at_the_limit_is_answered() -> anyhow::Result<()> {
    let (env, mut process) = start_busy_host().await?;
    for target in env.targets.iter().filter(|target| !target.is_engine()) {
        target.set_delay(Duration::from_secs(9));
    }
    let mut connection = CallerConnection::open(process.listen).await?;
    process.terminate();
    let stopped = Instant::now();
    let response = connection.send(Method::POST, "/once/1", &post_headers("r"), "ask").await?;
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(serde_json::from_slice::<serde_json::Value>(&response.body)?["ran"], "unknown");
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
    let ended = process.wait(GRACE.saturating_sub(stopped.elapsed())).await;
    assert_eq!(ended.context("it doesn't end in time")?.code(), Some(0));
    Ok(())
}

/// A host that forwards connections for another one went on doing so while it was being
/// stopped, and cut the other host's requests off at its end.
#[tokio::test]
async fn a_stop_cuts_off_no_request_of_another_hosts_callers() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 3).await?;
    let links = HostLinks::start(&env).await?;
    let cut = env.start_process_with_store("h1", links.store_addr()).await?;
    let mut stopped = env.start_process("h2").await?;
    wait_until_serving(&env, &cut).await?;
    links.cut(LinkCut::Refuse);
    let forwarded = || async { env.request(&cut, "/once/1", "probe").await.status == 200 };
    anyhow::ensure!(eventually(forwarded).await, "no host forwards connections");
    let other = env.start_process("h3").await?;
    for target in &env.targets {
        target.set_delay(Duration::from_millis(300));
    }
    // The kept connections go through the host that is stopped.
    for n in 0..10 {
        env.request(&cut, "/once/1", &format!("before-{n}")).await;
    }
    stopped.terminate();
    let one = |n: u32| {
        let (env, cut) = (&env, &cut);
        async move {
            sleep(2 * n * REQUEST_INTERVAL).await;
            let id = format!("r{n}");
            (env.request(cut, "/once/1", &id).await.status, id)
        }
    };
    let responses = join_all((0..95).map(one)).await;
    let lost: Vec<_> = responses.iter().filter(|(status, _)| *status != 200).collect();
    assert!(lost.is_empty(), "{lost:?}");
    let ended = stopped.wait(Duration::ZERO).await;
    assert_eq!(ended.context("it doesn't end in time")?.code(), Some(0));
    drop(other);
    Ok(())
}
