//! Requests to the entry processes: each gets its own complete response, or an
//! error.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cassia_route::TargetKind;
use cassia_standin::EngineFaults;
use cassia_standin::EngineStandin;
use cassia_standin::Proxy;
use cassia_trials::Caller;
use cassia_trials::JsonResponse;
use cassia_trials::LESERBILD_KEY;
use cassia_trials::Process;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::eventually;
use cassia_trials::leserbild;
use cassia_trials::savanna;
use rstest::rstest;
use serde_json::json;

const PATH: &str = "/v1/savanna/quote";

struct Setup {
    env: TestEnv,
    entry: Process,
    caller: Caller,
    quotes: AtomicU32,
}

impl Setup {
    async fn new(engines: u64) -> anyhow::Result<Self> {
        let env = TestEnv::start().await?;
        let entry = env.start_entry("h1").await?;
        for contract in [leserbild(), savanna()] {
            let revision = env.publish(&contract, 0).await?;
            env.wait_until_in_force(&entry, &contract.customer, revision).await?;
        }
        let caller = Caller::new(SAVANNA_KEY);
        let setup = Self { env, entry, caller, quotes: AtomicU32::new(0) };
        if engines > 0 {
            setup.env.wait_for_view(&setup.entry, engines, 0).await?;
        }
        Ok(setup)
    }

    async fn engine(&self, id: &str) -> anyhow::Result<EngineStandin> {
        Ok(self.env.start_engine(id, self.env.engine_spec("renewals")).await?)
    }

    /// Requests a quote, each time with a new prompt: requests that share a
    /// prompt are routed to the same engine.
    async fn quote(&self, tokens: u32) -> JsonResponse {
        let n = self.quotes.fetch_add(1, Ordering::Relaxed);
        let body = json!({"prompt": format!("pass {n}"), "max_tokens": tokens});
        self.caller.post(self.entry.listen, PATH, &[], &body).await
    }
}

fn full_text(tokens: u32) -> String {
    (0..tokens).map(|i| format!("t{i} ")).collect::<Vec<_>>().concat()
}

#[rstest]
#[case::reset(EngineFaults { reset_after_tokens: Some(8), ..EngineFaults::default() })]
#[case::reset_at_once(EngineFaults { reset_after_tokens: Some(0), ..EngineFaults::default() })]
#[case::hangs(EngineFaults { hang_after_tokens: Some(8), ..EngineFaults::default() })]
#[case::wrong_id(EngineFaults { wrong_id: true, ..EngineFaults::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_fails_midway_is_completed_by_another_engine(
    #[case] faults: EngineFaults,
) -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let faulty = setup.engine("renewals-1").await?;
    faulty.set_faults(faults);
    setup.env.wait_for_view(&setup.entry, 1, 0).await?;
    // With the faulty engine alone the caller gets an error, never a partial
    // response.
    let response = setup.quote(20).await;
    assert_ne!(response.status, 200, "{response:?}");
    assert_eq!(response.text("ran"), "unknown", "{response:?}");
    assert!(response.body["return_after_ms"].is_u64(), "{response:?}");
    // With a healthy engine beside it responses are complete: the successes of
    // the healthy engine earn the retry budget that this takes.
    let healthy = setup.engine("renewals-2").await?;
    setup.env.wait_for_view(&setup.entry, 2, 0).await?;
    let mut answered = 0;
    for _ in 0..40 {
        let response = setup.quote(20).await;
        if response.status == 200 {
            assert_eq!(response.text("text"), full_text(20));
            answered += 1;
        }
    }
    assert!(answered >= 30, "{answered} of 40");
    assert!(healthy.request_count() >= 30);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_gives_access_to_its_own_customer_only() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let body = json!({"prompt": "x"});
    for (key, path) in [(LESERBILD_KEY, PATH), ("", PATH), (SAVANNA_KEY, "/v1/leserbild/caption")] {
        let response = Caller::new(key).post(setup.entry.listen, path, &[], &body).await;
        assert_eq!((response.status, response.text("kind")), (401, "wrong_key"), "{response:?}");
    }
    // The callers' address does not serve the operators' endpoints.
    let response = setup.caller.get(setup.entry.listen, "/state").await;
    assert_eq!(response.status, 404);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers_each_get_their_own_response() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let _engines = [setup.engine("renewals-1").await?, setup.engine("renewals-2").await?];
    setup.env.wait_for_view(&setup.entry, 2, 0).await?;
    let calls: Vec<_> = (1..=40_u32)
        .map(|tokens| {
            let (caller, listen) = (setup.caller.clone(), setup.entry.listen);
            tokio::spawn(async move {
                let body = json!({"prompt": format!("pass {tokens}"), "max_tokens": tokens});
                (tokens, caller.post(listen, PATH, &[], &body).await)
            })
        })
        .collect();
    let mut ids = Vec::new();
    for call in calls {
        let (tokens, response) = call.await?;
        assert_eq!(
            (response.status, response.text("text")),
            (200, full_text(tokens).as_str()),
            "{response:?}"
        );
        ids.push(response.text("request_id").to_owned());
    }
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 40);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_connections_are_abandoned() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let spec = setup.env.engine_spec("renewals");
    let engine = EngineStandin::start(spec).await?;
    let proxy = Proxy::start(engine.addr()).await?;
    let kind = TargetKind::Engine { model: "renewals".into() };
    setup.env.list_target("renewals-1", proxy.addr(), kind);
    setup.env.wait_for_view(&setup.entry, 1, 0).await?;
    // Several connections are open, so abandoning just one is not enough.
    let concurrent = futures::future::join_all((0..8).map(|_| setup.quote(400))).await;
    assert!(concurrent.iter().all(|response| response.status == 200));
    assert!(proxy.connection_count() >= 4);
    proxy.stall_connections();
    // The first request is answered over a new connection within five seconds,
    // the next one without that delay.
    let start = Instant::now();
    let response = setup.quote(4).await;
    let elapsed = start.elapsed();
    assert_eq!(response.status, 200, "{response:?}");
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
    let start = Instant::now();
    assert_eq!(setup.quote(4).await.status, 200);
    // A second stalled connection would add two seconds.
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_requests_after_five_seconds() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let leaving = setup.engine("renewals-1").await?;
    let _staying = setup.engine("renewals-2").await?;
    let second = setup.env.start_entry("h2").await?;
    for entry in [&setup.entry, &second] {
        setup.env.wait_for_view(entry, 2, 1).await?;
    }
    // One replica of the list never gets the update.
    setup.env.list.set_frozen(0, true);
    setup.env.list.set_leaving("renewals-1");
    tokio::time::sleep(Duration::from_secs(5)).await;
    let count = leaving.request_count();
    for _ in 0..20 {
        for entry in [&setup.entry, &second] {
            let body = json!({"prompt": "a pass", "max_tokens": 4});
            let response = setup.caller.post(entry.listen, PATH, &[], &body).await;
            assert_eq!(response.status, 200, "{response:?}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(leaving.request_count(), count, "a leaving target got new requests");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_succeed_after_an_engine_crash() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let crashing = setup.engine("renewals-1").await?;
    let _other = setup.engine("renewals-2").await?;
    setup.env.wait_for_view(&setup.entry, 2, 0).await?;
    for _ in 0..10 {
        assert_eq!(setup.quote(4).await.status, 200);
    }
    crashing.crash();
    let mut failed = 0;
    for _ in 0..20 {
        failed += u32::from(setup.quote(4).await.status != 200);
    }
    assert_eq!(failed, 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_first_fails_readiness_and_completes_requests_in_flight()
-> anyhow::Result<()> {
    let mut setup = Setup::new(0).await?;
    let _engine = setup.engine("renewals-1").await?;
    setup.env.wait_for_view(&setup.entry, 1, 0).await?;
    let (caller, listen) = (setup.caller.clone(), setup.entry.listen);
    let long = json!({"prompt": "x", "max_tokens": 4_000});
    let in_flight = tokio::spawn(async move { caller.post(listen, PATH, &[], &long).await });
    let ops = setup.entry.ops;
    let busy = eventually(|| async move {
        let state = Caller::new("").get(ops, "/state").await.body;
        state["targets"]["listed"][0]["in_flight"] == 1
    });
    assert!(busy.await);
    setup.entry.terminate();
    let unready =
        eventually(|| async move { Caller::new("").get(ops, "/ready").await.status == 503 });
    assert!(unready.await);
    // Requests are served while the load balancer still sends them.
    let response = setup.quote(4).await;
    assert_eq!(response.status, 200, "{response:?}");
    let response = in_flight.await?;
    assert_eq!((response.status, response.text("text").len()), (200, full_text(4_000).len()));
    let status = setup.entry.wait(Duration::from_secs(30)).await.expect("the process exits");
    assert!(status.success(), "{status:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_a_tenth_when_a_third_of_the_engines_is_unreachable()
-> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let (mut engines, mut proxies) = (Vec::new(), Vec::new());
    for i in 0..6 {
        let engine = EngineStandin::start(setup.env.engine_spec("renewals")).await?;
        let proxy = Proxy::start(engine.addr()).await?;
        let kind = TargetKind::Engine { model: "renewals".into() };
        setup.env.list_target(&format!("renewals-{i}"), proxy.addr(), kind);
        engines.push(engine);
        proxies.push(proxy);
    }
    setup.env.wait_for_view(&setup.entry, 6, 0).await?;
    for _ in 0..30 {
        assert_eq!(setup.quote(4).await.status, 200);
    }
    let attempts = async || {
        let state = setup.caller.get(setup.entry.ops, "/state").await.body;
        state["program"]["attempts"].as_u64().unwrap_or(0)
    };
    let before = attempts().await;
    // Two of six engines are blocked, with all of their connections.
    for proxy in &proxies[..2] {
        proxy.set_blocked(true);
    }
    let (mut answered, requests) = (0, 300_u64);
    for _ in 0..requests {
        answered += u64::from(setup.quote(4).await.status == 200);
    }
    let attempts = attempts().await - before;
    assert!(attempts * 10 <= requests * 11, "{attempts} attempts for {requests} requests");
    assert!(answered * 100 >= requests * 99, "{answered} of {requests} answered");
    // Once unblocked, they get requests again.
    let counts: Vec<_> = engines.iter().map(EngineStandin::request_count).collect();
    for proxy in &proxies {
        proxy.set_blocked(false);
    }
    let recovered = eventually(|| async {
        setup.quote(4).await;
        engines.iter().zip(&counts).all(|(engine, &before)| engine.request_count() > before)
    });
    assert!(recovered.await);
    Ok(())
}

/// Returns the concatenated text of a stream's events, and whether the stream
/// ends with `[DONE]`.
fn stream_text(stream: &str) -> (String, bool) {
    let events = stream.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let chunks = events.clone().filter_map(|data| serde_json::from_str(data).ok());
    let texts: Vec<_> = chunks
        .map(|chunk: serde_json::Value| chunk["text"].as_str().unwrap_or_default().to_owned())
        .collect();
    (texts.concat(), events.last() == Some("[DONE]"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_response_is_complete_or_ends_with_an_error() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let engine = setup.engine("renewals-1").await?;
    setup.env.wait_for_view(&setup.entry, 1, 0).await?;
    let body = json!({"prompt": "x", "max_tokens": 20, "stream": true});
    let (stream, complete) = setup.caller.post_stream(setup.entry.listen, PATH, &body).await;
    assert_eq!((stream_text(&stream), complete), ((full_text(20), true), true));
    // The engine resets each stream: the next attempt resumes after the tokens
    // so far; with no attempt left, the caller gets an error event.
    engine.set_faults(EngineFaults { reset_after_tokens: Some(8), ..EngineFaults::default() });
    let (stream, complete) = setup.caller.post_stream(setup.entry.listen, PATH, &body).await;
    assert_eq!((stream_text(&stream), complete), ((full_text(8), false), false));
    assert!(stream.contains("\"error\"") && stream.contains("\"unknown\""), "{stream}");
    let _healthy = setup.engine("renewals-2").await?;
    setup.env.wait_for_view(&setup.entry, 2, 0).await?;
    let mut resumed = 0;
    for n in 0..60 {
        let body = json!({"prompt": format!("{n}"), "max_tokens": 20, "stream": true});
        let (stream, complete) = setup.caller.post_stream(setup.entry.listen, PATH, &body).await;
        let (text, done) = stream_text(&stream);
        assert_eq!(done, complete);
        assert!(!done || text == full_text(20), "{stream}");
        resumed += u32::from(done);
    }
    assert!(resumed >= 50, "{resumed} of 60");
    // An error before the response head is sent has its own status.
    let malformed = json!({"prompt": 7, "stream": true});
    let response = setup.caller.post(setup.entry.listen, PATH, &[], &malformed).await;
    assert_eq!((response.status, response.text("kind")), (400, "bad_request"));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_at_a_leaving_engine_complete() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let leaving = setup.engine("renewals-1").await?;
    setup.env.wait_for_view(&setup.entry, 1, 0).await?;
    let (caller, listen) = (setup.caller.clone(), setup.entry.listen);
    let long = json!({"prompt": "x", "max_tokens": 4_000});
    let in_flight = tokio::spawn(async move { caller.post(listen, PATH, &[], &long).await });
    assert!(eventually(|| async { leaving.request_count() == 1 }).await);
    let _staying = setup.engine("renewals-2").await?;
    setup.env.list.set_leaving("renewals-1");
    let ops = setup.entry.ops;
    let removed = eventually(|| async move {
        let state = Caller::new("").get(ops, "/state").await.body;
        state["targets"]["listed"][0]["id"] == "renewals-2"
    });
    assert!(removed.await);
    assert_eq!(setup.quote(4).await.status, 200);
    let response = in_flight.await?;
    assert_eq!((response.status, response.text("text")), (200, full_text(4_000).as_str()));
    assert_eq!(leaving.request_count(), 1, "a leaving engine got new requests");
    Ok(())
}
