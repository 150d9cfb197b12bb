//! Targets whose answer has a head that is none, or stops in the middle of it.

use std::time::Duration;

use anyhow::Context;
use cassia_standin::RawEnd;
use cassia_standin::RawRequest;
use cassia_trials::ForwardedPair;
use cassia_trials::PlatformEnv;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::wait_until_serving;
use rstest::rstest;

/// Requests that are sent while a faulty target is one of two.
const REQUESTS: usize = 12;
const ITEMS: usize = 16;
/// Time from a target's start until a host sends it requests.
const LISTED: Duration = Duration::from_millis(600);

/// What a faulty target sends in place of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Head {
    /// A whole answer with this status.
    Status(&'static str),
    /// A successful answer that stops after this part of its head, in percent.
    CutAfter(usize),
}

impl Head {
    fn answer(self, request: &RawRequest) -> (String, RawEnd) {
        let id = &request.id;
        let answer = |status| {
            format!(
                "HTTP/1.1 {status} Odd\r\nattempt-id: {id}\r\nresponse-stamp: stamp-{id}\r\n\
                 weight-versions: 1\r\ncontent-type: text/event-stream\r\n\
                 content-length: 24\r\n\r\nid: 0\ndata: odd answer\n\n"
            )
        };
        match self {
            Self::Status(status) => (answer(status), RawEnd::Close),
            Self::CutAfter(percent) => {
                let answer = answer("200");
                let head = answer.find("\r\n\r\n").unwrap_or_default();
                (answer[..head * percent / 100].to_owned(), RawEnd::Close)
            }
        }
    }
}

/// Guards against answers with a status that is none, such as 000, and against heads that
/// stop early and pass for an empty answer.
#[rstest]
#[tokio::test]
async fn a_caller_gets_no_answer_that_is_none(
    #[values(
        Head::Status("000"),
        Head::Status("101"),
        Head::Status("600"),
        Head::Status("999"),
        Head::CutAfter(5),
        Head::CutAfter(60),
        Head::CutAfter(97)
    )]
    head: Head,
    #[values(("intake", "/quote/1"), ("intake", "/once/1"), ("lm", "/stream/1"))] way: (&str, &str),
) -> anyhow::Result<()> {
    let (service, path) = way;
    let mut env = PlatformEnv::start().await?;
    let target = env.add_raw_target("raw", service, move |request| head.answer(request)).await?;
    let process = env.start_process("h0").await?;
    let reached = || async {
        env.request(&process, path, "probe").await;
        target.request_count() > 0
    };
    anyhow::ensure!(eventually(reached).await, "the target got no request");
    let response = env.request(&process, path, "a").await;
    assert!(matches!(response.status, 502..=504), "{response:?}");
    assert_eq!(response.signature, None, "{response:?}");
    // Where another target serves, the answers are its own.
    let engines = usize::from(service == "lm");
    let env = env.with_targets(engines, 1 - engines).await?;
    tokio::time::sleep(LISTED).await;
    let mut served = 0;
    for n in 0..REQUESTS {
        let id = format!("r{n}");
        let response = env.request(&process, path, &id).await;
        assert!(matches!(response.status, 200 | 502..=504), "{response:?}");
        assert!(response.status != 200 || env.run_count(&id) == 1, "{response:?}");
        served += usize::from(response.status == 200);
    }
    assert!(served > 0 && (path != "/quote/1" || served == REQUESTS), "{served} served");
    Ok(())
}

/// As above, where the target is reached through another host.
#[rstest]
#[tokio::test]
async fn a_caller_gets_none_through_another_host(
    #[values(Head::Status("000"), Head::Status("999"), Head::CutAfter(60))] head: Head,
    #[values(("intake", "/quote/1"), ("intake", "/once/1"), ("lm", "/stream/1"))] way: (&str, &str),
) -> anyhow::Result<()> {
    let (service, path) = way;
    let pair = ForwardedPair::start(service, 0, move |request| head.answer(request)).await?;
    let response = pair.env.request(&pair.cut, path, "a").await;
    assert!(pair.target.request_count() > 0, "{response:?}");
    assert!(matches!(response.status, 502..=504), "{response:?}");
    assert_eq!(response.signature, None, "{response:?}");
    Ok(())
}

/// An item's text or score is never taken from such an answer: the item is run, or its
/// reward called, elsewhere.
#[rstest]
#[tokio::test]
async fn items_complete_elsewhere(
    #[values(
        Head::Status("000"),
        Head::Status("101"),
        Head::Status("600"),
        Head::Status("999"),
        Head::CutAfter(60)
    )]
    head: Head,
    #[values("lm", "intake")] service: &str,
) -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    let target = env.add_raw_target("raw", service, move |request| head.answer(request)).await?;
    let mut jobs = 0;
    while target.request_count() == 0 {
        anyhow::ensure!(jobs < 8, "the target got no request");
        let job = format!("j{jobs}");
        assert_eq!(env.submit_job(&process, &job, &batch_job(&job, ITEMS, 1)).await.status, 202);
        let results = env.all_results(&process, &job).await.context("the results")?;
        assert_complete(&results, &job, ITEMS);
        jobs += 1;
    }
    Ok(())
}
