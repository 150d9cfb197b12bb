//! Requests, tickets, lots and planned stops end to end.

use std::time::Duration;

use cassia_standin::TrainerStandin;
use cassia_trials::Caller;
use cassia_trials::LESERBILD_KEY;
use cassia_trials::Process;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::eventually;
use cassia_trials::leserbild;
use cassia_trials::savanna;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn all_programs_work_together() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let caption = env.start_engine("caption-1", env.engine_spec("caption")).await?;
    let _caption_2 = env.start_engine("caption-2", env.engine_spec("caption")).await?;
    let _renewals = env.start_engine("renewals-1", env.engine_spec("renewals")).await?;
    let service = env.start_service("status-1", "pass-status").await?;
    let mut entry = env.start_entry("h1").await?;
    let other = env.start_entry("h2").await?;
    let mut rollout = env.start_rollout("h1").await?;
    let mut control = env.start_control("h1").await?;

    // Both contracts are in force everywhere.
    let first = env.publish(&leserbild(), 0).await?;
    let second = env.publish(&savanna(), 0).await?;
    for process in [&entry, &other, &rollout, &control] {
        env.wait_until_in_force(process, "leserbild", first).await?;
        env.wait_until_in_force(process, "savanna", second).await?;
        env.wait_for_view(process, 4, 3).await?;
    }

    // A caption and a quote are complete, the caption with its version.
    let editor = Caller::new(LESERBILD_KEY);
    let body = json!({"prompt": "a photo of a lake", "max_tokens": 10});
    let caption_response = editor.post(entry.listen, "/v1/leserbild/caption", &[], &body).await;
    assert_eq!(caption_response.status, 200, "{caption_response:?}");
    assert_eq!(caption_response.text("text"), "t0 t1 t2 t3 t4 t5 t6 t7 t8 t9 ");
    assert_eq!(caption_response.body["spans"], json!([{"tokens": 10, "version": 1}]));
    let visitor = Caller::new(SAVANNA_KEY);
    let quote = visitor.post(other.listen, "/v1/savanna/quote", &[], &body).await;
    assert_eq!(quote.status, 200, "{quote:?}");

    // A pass-status call runs once, even when it is sent to several hosts.
    let path = "/v1/savanna/pass-status";
    let ticket = visitor.fetch_ticket(entry.listen, path).await;
    let body = json!({"key": "pass-1"});
    for host in [entry.listen, other.listen, entry.listen] {
        let response = visitor.redeem(host, path, &ticket, &body).await;
        assert_eq!((response.status, &response.body["runs"]), (200, &json!(1)), "{response:?}");
    }
    assert_eq!(service.runs("pass-1"), 1);

    // New weights reach the engines, and samples are labelled with them.
    let mut trainer =
        TrainerStandin::new("leserbild", "caption-trainer", LESERBILD_KEY, vec![rollout.listen])
            .with_prompts(2, 2);
    let step = trainer.step(Duration::from_secs(30)).await.expect("a first lot");
    assert_eq!(step.samples.len(), 8);
    env.weights.publish("caption", 2);
    assert!(eventually(|| async { caption.version() == Some(2) }).await);
    trainer.version = 2;
    for _ in 0..3 {
        let step = trainer.step(Duration::from_secs(30)).await.expect("another lot");
        assert!(step.samples.iter().all(|s| s.label.staleness(2) <= 2));
    }
    assert!(trainer.sample_counts.values().all(|&times| times == 1));
    assert!(trainer.sample_versions.contains(&2), "{:?}", trainer.sample_versions);

    // A planned stop of each process completes the request in flight.
    let long = json!({"prompt": "a long one", "max_tokens": 1_000});
    let listen = entry.listen;
    let in_flight =
        tokio::spawn(async move { editor.post(listen, "/v1/leserbild/caption", &[], &long).await });
    assert!(eventually(|| async { has_request_in_flight(&entry).await }).await);
    for process in [&entry, &rollout, &control] {
        process.terminate();
    }
    let response = in_flight.await?;
    assert_eq!(response.status, 200, "{response:?}");
    for process in [&mut entry, &mut rollout, &mut control] {
        let status = process.wait(Duration::from_secs(30)).await.expect("the process exits");
        assert!(status.success(), "{status:?}");
    }
    Ok(())
}

async fn has_request_in_flight(entry: &Process) -> bool {
    let state = Caller::new("").get(entry.ops, "/state").await.body;
    let targets = state["targets"]["listed"].as_array().cloned().unwrap_or_default();
    targets.iter().any(|t| t["in_flight"].as_u64().unwrap_or(0) > 0)
}
