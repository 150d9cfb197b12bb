//! Every caller gets the whole answer to its own request, or an error.

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
    trial: TestEnv,
    entry: Process,
    caller: Caller,
    quotes: AtomicU32,
}

impl Setup {
    async fn new(engines: u64) -> anyhow::Result<Self> {
        let trial = TestEnv::start().await?;
        let entry = trial.start_entry("h1").await?;
        for contract in [leserbild(), savanna()] {
            let revision = trial.publish(&contract, 0).await?;
            trial.wait_until_in_force(&entry, &contract.customer, revision).await?;
        }
        let caller = Caller::new(SAVANNA_KEY);
        let setup = Self { trial, entry, caller, quotes: AtomicU32::new(0) };
        if engines > 0 {
            setup.trial.wait_for_view(&setup.entry, engines, 0).await?;
        }
        Ok(setup)
    }

    async fn engine(&self, id: &str) -> anyhow::Result<EngineStandin> {
        Ok(self.trial.start_engine(id, self.trial.engine_spec("renewals")).await?)
    }

    /// Asks for a quote, each time with another prompt: those that share one
    /// would go to one engine.
    async fn quote(&self, tokens: u32) -> JsonResponse {
        let n = self.quotes.fetch_add(1, Ordering::Relaxed);
        let body = json!({"prompt": format!("pass {n}"), "max_tokens": tokens});
        self.caller.post(self.entry.listen, PATH, &[], &body).await
    }
}

fn whole(tokens: u32) -> String {
    (0..tokens).map(|i| format!("t{i} ")).collect::<Vec<_>>().concat()
}

#[rstest]
#[case::cut_off(EngineFaults { reset_after_tokens: Some(8), ..EngineFaults::default() })]
#[case::cut_off_at_once(EngineFaults { reset_after_tokens: Some(0), ..EngineFaults::default() })]
#[case::falls_silent(EngineFaults { hang_after_tokens: Some(8), ..EngineFaults::default() })]
#[case::anothers_answer(EngineFaults { wrong_id: true, ..EngineFaults::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_fails_halfway_comes_whole_from_another_engine(
    #[case] faults: EngineFaults,
) -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let bad = setup.engine("renewals-1").await?;
    bad.set_faults(faults);
    setup.trial.wait_for_view(&setup.entry, 1, 0).await?;
    // With the faulty engine alone there is an error, and never half an answer.
    let reply = setup.quote(20).await;
    assert_ne!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.text("ran"), "unknown", "{reply:?}");
    assert!(reply.body["return_after_ms"].is_u64(), "{reply:?}");
    // With another one beside it all are whole: the retries that this takes
    // are earned by the answers of the good one.
    let good = setup.engine("renewals-2").await?;
    setup.trial.wait_for_view(&setup.entry, 2, 0).await?;
    let mut answered = 0;
    for _ in 0..40 {
        let reply = setup.quote(20).await;
        if reply.status == 200 {
            assert_eq!(reply.text("text"), whole(20));
            answered += 1;
        }
    }
    assert!(answered >= 30, "{answered} of 40");
    assert!(good.request_count() >= 30);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_reaches_its_own_customer_only() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let body = json!({"prompt": "x"});
    for (key, path) in [(LESERBILD_KEY, PATH), ("", PATH), (SAVANNA_KEY, "/v1/leserbild/caption")] {
        let reply = Caller::new(key).post(setup.entry.listen, path, &[], &body).await;
        assert_eq!((reply.status, reply.text("kind")), (401, "wrong_key"), "{reply:?}");
    }
    // Nor does the callers' address show operators' matters.
    let reply = setup.caller.get(setup.entry.listen, "/state").await;
    assert_eq!(reply.status, 404);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn many_callers_at_once_each_get_their_own() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let _engines = [setup.engine("renewals-1").await?, setup.engine("renewals-2").await?];
    setup.trial.wait_for_view(&setup.entry, 2, 0).await?;
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
        let (tokens, reply) = call.await?;
        assert_eq!((reply.status, reply.text("text")), (200, whole(tokens).as_str()), "{reply:?}");
        ids.push(reply.text("request_id").to_owned());
    }
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 40);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_go_silent_for_good_are_left_behind() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let spec = setup.trial.engine_spec("renewals");
    let engine = EngineStandin::start(spec).await?;
    let way = Proxy::start(engine.addr()).await?;
    let what = TargetKind::Engine { model: "renewals".into() };
    setup.trial.list_target("renewals-1", way.addr(), what);
    setup.trial.wait_for_view(&setup.entry, 1, 0).await?;
    // Several connections are open, so that leaving one behind isn't enough.
    let at_once = futures::future::join_all((0..8).map(|_| setup.quote(400))).await;
    assert!(at_once.iter().all(|reply| reply.status == 200));
    assert!(way.connection_count() >= 4);
    way.stall_connections();
    // The same request is answered over a new connection within five seconds,
    // and those after it at once.
    let began = Instant::now();
    let reply = setup.quote(4).await;
    let noticed = began.elapsed();
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(noticed < Duration::from_secs(5), "{noticed:?}");
    let began = Instant::now();
    assert_eq!(setup.quote(4).await.status, 200);
    // A second silent connection would have cost two seconds more.
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_is_leaving_gets_no_new_work_after_a_few_seconds() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let leaving = setup.engine("renewals-1").await?;
    let _staying = setup.engine("renewals-2").await?;
    let second = setup.trial.start_entry("h2").await?;
    for entry in [&setup.entry, &second] {
        setup.trial.wait_for_view(entry, 2, 1).await?;
    }
    // One replica of the list never hears of it.
    setup.trial.list.set_frozen(0, true);
    setup.trial.list.set_leaving("renewals-1");
    tokio::time::sleep(Duration::from_secs(5)).await;
    let served = leaving.request_count();
    for _ in 0..20 {
        for entry in [&setup.entry, &second] {
            let body = json!({"prompt": "a pass", "max_tokens": 4});
            let reply = setup.caller.post(entry.listen, PATH, &[], &body).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(leaving.request_count(), served, "new work went to a target that is leaving");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn one_that_crashes_is_left_and_comes_back() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let crashing = setup.engine("renewals-1").await?;
    let _other = setup.engine("renewals-2").await?;
    setup.trial.wait_for_view(&setup.entry, 2, 0).await?;
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
async fn a_planned_stop_answers_what_is_in_flight_and_leaves_readiness_first() -> anyhow::Result<()>
{
    let mut setup = Setup::new(0).await?;
    let _engine = setup.engine("renewals-1").await?;
    setup.trial.wait_for_view(&setup.entry, 1, 0).await?;
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
    // While the balancer still sends, requests are served.
    let reply = setup.quote(4).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    let reply = in_flight.await?;
    assert_eq!((reply.status, reply.text("text").len()), (200, whole(4_000).len()));
    let ended = setup.entry.wait(Duration::from_secs(30)).await.expect("an end");
    assert!(ended.success(), "{ended:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn when_a_third_of_the_engines_is_cut_off_retries_stay_within_a_tenth() -> anyhow::Result<()>
{
    let setup = Setup::new(0).await?;
    let (mut engines, mut ways) = (Vec::new(), Vec::new());
    for i in 0..6 {
        let engine = EngineStandin::start(setup.trial.engine_spec("renewals")).await?;
        let way = Proxy::start(engine.addr()).await?;
        let what = TargetKind::Engine { model: "renewals".into() };
        setup.trial.list_target(&format!("renewals-{i}"), way.addr(), what);
        engines.push(engine);
        ways.push(way);
    }
    setup.trial.wait_for_view(&setup.entry, 6, 0).await?;
    for _ in 0..30 {
        assert_eq!(setup.quote(4).await.status, 200);
    }
    let attempts = async || {
        let state = setup.caller.get(setup.entry.ops, "/state").await.body;
        state["program"]["attempts"].as_u64().unwrap_or(0)
    };
    let before = attempts().await;
    // Two of six fall silent, with all of their connections.
    for way in &ways[..2] {
        way.set_blocked(true);
    }
    let (mut answered, requests) = (0, 300_u64);
    for _ in 0..requests {
        answered += u64::from(setup.quote(4).await.status == 200);
    }
    let attempts = attempts().await - before;
    assert!(attempts * 10 <= requests * 11, "{attempts} attempts for {requests} requests");
    assert!(answered * 100 >= requests * 99, "{answered} of {requests} answered");
    // Once the cut ends they are of use again.
    let served: Vec<_> = engines.iter().map(EngineStandin::request_count).collect();
    for way in &ways {
        way.set_blocked(false);
    }
    let back = eventually(|| async {
        setup.quote(4).await;
        engines.iter().zip(&served).all(|(engine, &before)| engine.request_count() > before)
    });
    assert!(back.await);
    Ok(())
}

/// The texts of a stream's events, and whether it ended as a whole one does.
fn texts(stream: &str) -> (String, bool) {
    let events = stream.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let pieces = events.clone().filter_map(|data| serde_json::from_str(data).ok());
    let texts: Vec<_> = pieces
        .map(|piece: serde_json::Value| piece["text"].as_str().unwrap_or_default().to_owned())
        .collect();
    (texts.concat(), events.last() == Some("[DONE]"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_is_whole_or_shows_that_it_is_not() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let engine = setup.engine("renewals-1").await?;
    setup.trial.wait_for_view(&setup.entry, 1, 0).await?;
    let body = json!({"prompt": "x", "max_tokens": 20, "stream": true});
    let (stream, delivered) = setup.caller.post_stream(setup.entry.listen, PATH, &body).await;
    assert_eq!((texts(&stream), delivered), ((whole(20), true), true));
    // The engine breaks each stream: what is made so far goes on at the next
    // attempt, and where none is left the caller sees that it is not whole.
    engine.set_faults(EngineFaults { reset_after_tokens: Some(8), ..EngineFaults::default() });
    let (stream, delivered) = setup.caller.post_stream(setup.entry.listen, PATH, &body).await;
    assert_eq!((texts(&stream), delivered), ((whole(8), false), false));
    assert!(stream.contains("\"error\"") && stream.contains("\"unknown\""), "{stream}");
    let _good = setup.engine("renewals-2").await?;
    setup.trial.wait_for_view(&setup.entry, 2, 0).await?;
    let mut resumed = 0;
    for n in 0..60 {
        let body = json!({"prompt": format!("{n}"), "max_tokens": 20, "stream": true});
        let (stream, delivered) = setup.caller.post_stream(setup.entry.listen, PATH, &body).await;
        let (text, done) = texts(&stream);
        assert_eq!(done, delivered);
        assert!(!done || text == whole(20), "{stream}");
        resumed += u32::from(done);
    }
    assert!(resumed >= 50, "{resumed} of 60");
    // What goes wrong before the head has a status of its own.
    let odd = json!({"prompt": 7, "stream": true});
    let reply = setup.caller.post(setup.entry.listen, PATH, &[], &odd).await;
    assert_eq!((reply.status, reply.text("kind")), (400, "bad_request"));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn what_runs_at_an_engine_that_leaves_is_answered_whole() -> anyhow::Result<()> {
    let setup = Setup::new(0).await?;
    let leaving = setup.engine("renewals-1").await?;
    setup.trial.wait_for_view(&setup.entry, 1, 0).await?;
    let (caller, listen) = (setup.caller.clone(), setup.entry.listen);
    let long = json!({"prompt": "x", "max_tokens": 4_000});
    let in_flight = tokio::spawn(async move { caller.post(listen, PATH, &[], &long).await });
    assert!(eventually(|| async { leaving.request_count() == 1 }).await);
    let _staying = setup.engine("renewals-2").await?;
    setup.trial.list.set_leaving("renewals-1");
    let ops = setup.entry.ops;
    let closed = eventually(|| async move {
        let state = Caller::new("").get(ops, "/state").await.body;
        state["targets"]["listed"][0]["id"] == "renewals-2"
    });
    assert!(closed.await);
    assert_eq!(setup.quote(4).await.status, 200);
    let reply = in_flight.await?;
    assert_eq!((reply.status, reply.text("text")), (200, whole(4_000).as_str()));
    assert_eq!(leaving.request_count(), 1, "new work, or the old one elsewhere");
    Ok(())
}
