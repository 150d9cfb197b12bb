//! The whole path over real processes.

use std::time::Duration;

use cassia_standin::TrainerStandin;
use cassia_trials::Caller;
use cassia_trials::LESERBILD_KEY;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::eventually;
use cassia_trials::leserbild;
use cassia_trials::savanna;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn the_whole_path_holds() -> anyhow::Result<()> {
    let trial = TestEnv::start().await?;
    let caption = trial.start_engine("caption-1", trial.engine_spec("caption")).await?;
    let _second = trial.start_engine("caption-2", trial.engine_spec("caption")).await?;
    let _renewals = trial.start_engine("renewals-1", trial.engine_spec("renewals")).await?;
    let status = trial.start_service("status-1", "pass-status").await?;
    let mut entry = trial.start_entry("h1").await?;
    let other = trial.start_entry("h2").await?;
    let mut rollout = trial.start_rollout("h1").await?;
    let mut control = trial.start_control("h1").await?;

    // Both contracts come into force everywhere.
    let first = trial.publish(&leserbild(), 0).await?;
    let second = trial.publish(&savanna(), 0).await?;
    for process in [&entry, &other, &rollout, &control] {
        trial.wait_until_in_force(process, "leserbild", first).await?;
        trial.wait_until_in_force(process, "savanna", second).await?;
        trial.wait_for_view(process, 4, 3).await?;
    }

    // A caption and a quote are answered whole, with their versions.
    let editor = Caller::new(LESERBILD_KEY);
    let body = json!({"prompt": "a photo of a lake", "max_tokens": 10});
    let caption_reply = editor.post(entry.listen, "/v1/leserbild/caption", &[], &body).await;
    assert_eq!(caption_reply.status, 200, "{caption_reply:?}");
    assert_eq!(caption_reply.text("text"), "t0 t1 t2 t3 t4 t5 t6 t7 t8 t9 ");
    assert_eq!(caption_reply.body["spans"], json!([{"tokens": 10, "version": 1}]));
    let gate = Caller::new(SAVANNA_KEY);
    let quote = gate.post(other.listen, "/v1/savanna/quote", &[], &body).await;
    assert_eq!(quote.status, 200, "{quote:?}");

    // A pass-status check runs once, also when it is sent again elsewhere.
    let path = "/v1/savanna/pass-status";
    let ticket = gate.fetch_ticket(entry.listen, path).await;
    let body = json!({"key": "pass-1"});
    for host in [entry.listen, other.listen, entry.listen] {
        let reply = gate.redeem(host, path, &ticket, &body).await;
        assert_eq!((reply.status, &reply.body["runs"]), (200, &json!(1)), "{reply:?}");
    }
    assert_eq!(status.runs("pass-1"), 1);

    // New weights reach the engines, and samples name what produced them.
    let mut trainer =
        TrainerStandin::new("leserbild", "caption-trainer", LESERBILD_KEY, vec![rollout.listen])
            .with_prompts(2, 2);
    let step = trainer.step(Duration::from_secs(30)).await.expect("a first lot");
    assert_eq!(step.samples.len(), 8);
    trial.weights.publish("caption", 2);
    assert!(eventually(|| async { caption.version() == Some(2) }).await);
    trainer.version = 2;
    for _ in 0..3 {
        let step = trainer.step(Duration::from_secs(30)).await.expect("another lot");
        assert!(step.samples.iter().all(|s| s.label.staleness(2) <= 2));
    }
    assert!(trainer.sample_counts.values().all(|&times| times == 1));
    assert!(trainer.sample_versions.contains(&2), "{:?}", trainer.sample_versions);

    // A planned stop of each process cuts nothing off.
    let slow = json!({"prompt": "a long one", "max_tokens": 1_000});
    let listen = entry.listen;
    let in_flight =
        tokio::spawn(async move { editor.post(listen, "/v1/leserbild/caption", &[], &slow).await });
    assert!(eventually(|| async { caption_in_flight(&trial, &entry).await }).await);
    for process in [&entry, &rollout, &control] {
        process.terminate();
    }
    let reply = in_flight.await?;
    assert_eq!(reply.status, 200, "{reply:?}");
    for process in [&mut entry, &mut rollout, &mut control] {
        let ended = process.wait(Duration::from_secs(30)).await.expect("an end");
        assert!(ended.success(), "{ended:?}");
    }
    Ok(())
}

async fn caption_in_flight(_: &TestEnv, entry: &cassia_trials::Process) -> bool {
    let state = Caller::new("").get(entry.ops, "/state").await.body;
    let targets = state["targets"]["listed"].as_array().cloned().unwrap_or_default();
    targets.iter().any(|t| t["in_flight"].as_u64().unwrap_or(0) > 0)
}
