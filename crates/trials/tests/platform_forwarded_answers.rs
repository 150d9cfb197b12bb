//! Answers that have no length and end with their connection, on their way through
//! another host.

use std::time::Duration;

use anyhow::Context;
use cassia_standin::RawEnd;
use cassia_standin::RawRequest;
use cassia_trials::ForwardedPair;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use rstest::rstest;
use tokio::time::sleep;

/// Number of events of a whole text.
const EVENTS: u64 = 6;

fn head(request: &RawRequest, kind: &str) -> String {
    let id = &request.id;
    format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-stamp: stamp-{id}\r\n\
         weight-versions: 1\r\ncontent-type: {kind}\r\nconnection: close\r\n\r\n"
    )
}

/// Returns the first `lines` of ten lines of an answer.
fn lines(request: &RawRequest, lines: usize) -> String {
    let line = |n| format!("line {n} of {}\n", request.id);
    head(request, "text/plain") + &(0..lines).map(line).collect::<Vec<_>>().concat()
}

/// Returns the events up to `end` of a stream, from where it is to go on.
fn events(request: &RawRequest, end: u64) -> String {
    let first = request.last_event_id.map_or(0, |id| id + 1);
    let event = |n| format!("id: {n}\ndata: piece {n} of {}\n\n", request.id);
    head(request, "text/event-stream") + &(first..end).map(event).collect::<Vec<_>>().concat()
}

/// Guards against half an answer that a caller takes for all of it: the host that
/// forwards a connection closed it in the ordinary way when the target reset it.
#[rstest]
#[case::plain("intake", "/quote/1")]
#[case::at_most_once("intake", "/once/1")]
#[case::stream("lm", "/stream/1")]
#[tokio::test]
async fn an_answer_that_is_reset_is_not_complete(
    #[case] service: &str,
    #[case] path: &str,
) -> anyhow::Result<()> {
    let is_stream = service == "lm";
    let pair = ForwardedPair::start(service, 0, move |request| {
        let part = if is_stream { events(request, EVENTS / 2) } else { lines(request, 5) };
        (part, RawEnd::Reset)
    })
    .await?;
    let response = pair.env.request(&pair.cut, path, "a").await;
    assert!(pair.target.request_count() > 0, "{response:?}");
    assert_ne!(response.status, 200, "half an answer passes for a whole one: {response:?}");
    Ok(())
}

/// As above, where the process of the host that forwards is killed: its connections
/// are closed as if the target had done so.
#[rstest]
#[case::plain("intake", "/quote/1")]
#[case::stream("lm", "/stream/1")]
#[tokio::test]
async fn an_answer_whose_forwarding_host_is_killed_is_not_complete(
    #[case] service: &str,
    #[case] path: &str,
) -> anyhow::Result<()> {
    let is_stream = service == "lm";
    let mut pair = ForwardedPair::start(service, 0, move |request| {
        let part = if is_stream { events(request, EVENTS / 2) } else { lines(request, 5) };
        (part, RawEnd::Hold)
    })
    .await?;
    let request = pair.env.request(&pair.cut, path, "a");
    let killing = async {
        let has_come = || async { pair.target.request_count() > 0 };
        anyhow::ensure!(eventually(has_come).await, "the target got no request");
        // The part of the answer is forwarded by then.
        sleep(Duration::from_millis(100)).await;
        pair.other.kill();
        Ok(())
    };
    let (response, killed) = tokio::join!(request, killing);
    killed?;
    assert_ne!(response.status, 200, "half an answer passes for a whole one: {response:?}");
    Ok(())
}

/// An answer that the target ends itself is whole, whichever way it takes.
#[rstest]
#[case::plain("intake", "/quote/1")]
#[case::at_most_once("intake", "/once/1")]
#[case::stream("lm", "/stream/1")]
#[tokio::test]
async fn an_answer_that_its_target_ends_is_whole(
    #[case] service: &str,
    #[case] path: &str,
) -> anyhow::Result<()> {
    let is_stream = service == "lm";
    let whole = move |request: &RawRequest| {
        // More than one message between hosts holds.
        if is_stream { events(request, 1_000) } else { lines(request, 1_000) }
    };
    let pair =
        ForwardedPair::start(service, 0, move |request| (whole(request), RawEnd::Close)).await?;
    for n in 0..5 {
        let id = format!("a{n}");
        let response = pair.env.request(&pair.cut, path, &id).await;
        assert_eq!(response.status, 200, "{response:?}");
        let request = RawRequest { id, last_event_id: None };
        let answer = whole(&request);
        let (_, body) = answer.split_once("\r\n\r\n").context("a body")?;
        assert_eq!(response.body, body);
    }
    Ok(())
}

/// Guards against texts that are listed as completed though a reset cut them short
/// between two events.
#[tokio::test]
async fn a_text_that_is_reset_goes_on_after_its_last_event() -> anyhow::Result<()> {
    const ITEMS: usize = 16;
    let pair = ForwardedPair::start("lm", 1, |request| {
        if request.last_event_id.is_none() {
            (events(request, EVENTS / 2), RawEnd::Reset)
        } else {
            (events(request, EVENTS), RawEnd::Close)
        }
    })
    .await?;
    for job in ["j1", "j2", "j3", "j4"] {
        let submitted = batch_job(job, ITEMS, 1);
        assert_eq!(pair.env.submit_job(&pair.other, job, &submitted).await.status, 202);
        let results = pair.env.all_results(&pair.other, job).await.context("the results")?;
        assert_complete(&results, job, ITEMS);
    }
    Ok(())
}
