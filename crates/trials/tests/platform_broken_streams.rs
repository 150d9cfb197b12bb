//! Streams and texts that break off, and what comes in place of their rest.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_standin::RawEnd;
use cassia_standin::RawRequest;
use cassia_trials::PlatformEnv;
use cassia_trials::PlatformResponse;
use cassia_trials::Process;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::wait_until_serving;
use futures::future::join_all;
use rstest::rstest;

/// Number of events of a whole text.
const EVENTS: u64 = 6;

fn head(request: &RawRequest, status: &str, kind: &str) -> String {
    let id = &request.id;
    format!(
        "HTTP/1.1 {status}\r\nattempt-id: {id}\r\nresponse-stamp: stamp-{id}\r\n\
         weight-versions: 1\r\ncontent-type: {kind}\r\nconnection: close\r\n\r\n"
    )
}

fn stream(request: &RawRequest) -> String {
    head(request, "200 OK", "text/event-stream")
}

fn event(request: &RawRequest, number: u64) -> String {
    format!("id: {number}\ndata: piece {number} of {}\n\n", request.id)
}

/// Starts a host in front of an engine that answers with given bytes, and waits until it
/// has the engine.
async fn start(
    plain_targets: usize,
    script: impl Fn(&RawRequest) -> (String, RawEnd) + Send + Sync + 'static,
) -> anyhow::Result<(PlatformEnv, Process)> {
    let mut env = PlatformEnv::start().await?.with_targets(0, plain_targets).await?;
    let target = env.add_raw_target("raw", "lm", script).await?;
    let process = env.start_process("h0").await?;
    if plain_targets > 0 {
        wait_until_serving(&env, &process).await?;
    }
    let has_come = || async {
        env.request(&process, "/stream/1", "first").await;
        target.request_count() > 0
    };
    anyhow::ensure!(eventually(has_come).await, "the engine got no request");
    Ok((env, process))
}

/// Callers found a stream that had ended within an event complete, and bytes of another
/// response in the middle of one.
#[rstest]
#[case::ends_within_an_event(|r: &RawRequest| stream(r) + &event(r, 0) + "id: 1\ndata: pie")]
#[case::ends_before_its_first_event(|r: &RawRequest| stream(r))]
#[case::goes_on_with_an_error(|r: &RawRequest| stream(r) + &event(r, 0) + "the engine has failed\n\n")]
#[case::goes_on_with_a_head(|r: &RawRequest| stream(r) + &event(r, 0) + &head(r, "500 Error", "text/plain"))]
#[case::goes_on_with_part_of_a_head(|r: &RawRequest| stream(r) + &event(r, 0) + "HTTP/1.1 503 Unavail")]
#[case::begins_anew(|r: &RawRequest| stream(r) + &event(r, 0) + &event(r, 1) + &event(r, 0))]
#[tokio::test]
async fn a_stream_that_is_not_whole_does_not_look_complete(
    #[case] answer: fn(&RawRequest) -> String,
    #[values(RawEnd::Close, RawEnd::Reset)] end: RawEnd,
) -> anyhow::Result<()> {
    let (env, process) = start(0, move |request| (answer(request), end)).await?;
    let response = env.request(&process, "/stream/1", "a").await;
    assert_eq!(response.status, 0, "taken as complete: {response:?}");
    Ok(())
}

/// What the caller has of a broken stream consists of whole events of it.
#[tokio::test]
async fn bytes_that_are_no_event_never_reach_the_caller() -> anyhow::Result<()> {
    let (env, process) = start(0, |request| {
        let rest = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 99\r\n";
        (stream(request) + &event(request, 0) + rest, RawEnd::Hold)
    })
    .await?;
    let received = env.partial(&process, "/stream/1", "a").await;
    assert_eq!(received, event(&RawRequest { id: "a".to_owned(), last_event_id: None }, 0));
    Ok(())
}

/// A stream with comments between its events, and the response to a failure, which has no
/// events, are passed on as they are.
#[rstest]
#[case::comments("200 OK", |r: &RawRequest| format!(": ping\n\n{}: ping\n\n{}", event(r, 0), event(r, 1)))]
#[case::gaps_between_ids("200 OK", |r: &RawRequest| event(r, 3) + &event(r, 7))]
#[case::failure("500 Error", |_: &RawRequest| "the engine has failed\n\nat once".to_owned())]
#[tokio::test]
async fn whole_responses_are_passed_on(
    #[case] status: &'static str,
    #[case] body: fn(&RawRequest) -> String,
) -> anyhow::Result<()> {
    let script = move |request: &RawRequest| {
        (head(request, status, "text/event-stream") + &body(request), RawEnd::Close)
    };
    let (env, process) = start(0, script).await?;
    let response: PlatformResponse = env.request(&process, "/stream/1", "a").await;
    assert_eq!(response.status.to_string(), status[..3]);
    let request = RawRequest { id: "a".to_owned(), last_event_id: None };
    assert_eq!(response.body, body(&request));
    Ok(())
}

/// Texts held the error of the engine at which they were to go on, or ended there.
#[rstest]
#[case::failure("500 Internal Server Error", "text/plain", "the engine has failed\n\n")]
#[case::unavailable("503 Service Unavailable", "text/plain", "no room\n\n")]
#[case::failure_as_events(
    "500 Internal Server Error",
    "text/event-stream",
    "id: 3\ndata: failed\n\n"
)]
#[case::failure_as_success("200 OK", "application/json", "{\"error\":\"failed\"}")]
#[case::nothing_as_success("200 OK", "application/json", "")]
#[case::head_as_event(
    "200 OK",
    "text/event-stream",
    "HTTP/1.1 500 Error\r\ncontent-length: 6\r\n\r\nfailed"
)]
#[tokio::test]
async fn a_text_holds_nothing_of_an_error_in_place_of_its_rest(
    #[case] status: &'static str,
    #[case] kind: &'static str,
    #[case] body: &'static str,
) -> anyhow::Result<()> {
    const ITEMS: usize = 8;
    let failures = std::sync::Mutex::new(std::collections::BTreeSet::new());
    let script = move |request: &RawRequest| {
        if request.last_event_id.is_none() {
            let events: Vec<_> = (0..EVENTS / 2).map(|n| event(request, n)).collect();
            return (stream(request) + &events.concat(), RawEnd::Reset);
        }
        let is_first = failures.lock().is_ok_and(|mut ids| ids.insert(request.id.clone()));
        if is_first {
            return (head(request, status, kind) + body, RawEnd::Close);
        }
        let first = request.last_event_id.map_or(0, |id| id + 1);
        let events: Vec<_> = (first..EVENTS).map(|n| event(request, n)).collect();
        (stream(request) + &events.concat(), RawEnd::Close)
    };
    let (env, process) = start(1, script).await?;
    assert_eq!(env.submit_job(&process, "j", &batch_job("j", ITEMS, 1)).await.status, 202);
    let results = env.all_results(&process, "j").await.context("the results")?;
    assert_complete(&results, "j", ITEMS);
    Ok(())
}

/// Streams whose engine had become silent had no end at their route's time limit nor after
/// it.
#[rstest]
#[case::after_an_event(1)]
#[case::after_some_events(4)]
#[tokio::test]
async fn a_stream_that_stalls_ends_at_its_routes_time_limit(
    #[case] events: u64,
) -> anyhow::Result<()> {
    /// The time limit of the trials' routes.
    const ROUTE_LIMIT: Duration = Duration::from_secs(3);
    /// How long after it a request may be without an end.
    const SLACK: Duration = Duration::from_millis(500);
    let script = move |request: &RawRequest| {
        let events: Vec<_> = (0..events).map(|n| event(request, n)).collect();
        (stream(request) + &events.concat(), RawEnd::Hold)
    };
    let (env, process) = start(0, script).await?;
    let requests = (0..8).map(|n| {
        let (env, process) = (&env, &process);
        async move {
            let start = Instant::now();
            let id = format!("a{n}");
            let headers = [("attempt-id", id.as_str()), ("deadline-ms", "9000")];
            let response = env.send("POST", process.listen, "/stream/1", &headers, "ask").await;
            (response.status, start.elapsed())
        }
    });
    for (status, took) in join_all(requests).await {
        assert_eq!(status, 0, "taken as complete");
        assert!(took < ROUTE_LIMIT + SLACK, "no end after {took:?}");
    }
    Ok(())
}

/// A stream whose events keep coming is not cut off at its route's time limit.
#[tokio::test]
async fn a_slow_stream_may_last_longer_than_its_routes_time_limit() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    env.targets[0].set_delay(Duration::from_millis(560));
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    let headers = [("attempt-id", "a"), ("deadline-ms", "9000")];
    let response = env.send("POST", process.listen, "/stream/1", &headers, "ask").await;
    assert_eq!(response.status, 200);
    let events = String::from_utf8_lossy(&response.body).lines().filter(|l| !l.is_empty()).count();
    assert_eq!(events, 12, "the id and the data of six events: {response:?}");
    Ok(())
}
