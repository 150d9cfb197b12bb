//! Batch jobs beside targets that answer twice, the second time late. An item and
//! its reward call keep their ids over all their runs, also over jobs that have
//! the same groups, so an id doesn't tell such a copy from the answer.

use anyhow::Context;
use cassia_standin::LateCopyTarget;
use cassia_standin::RepeatedAnswers;
use cassia_trials::ENGINE_MODEL;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::batch_job;
use cassia_trials::start_processes;
use serde_json::Value;

/// Attempts that the routes of the trials allow.
const MAX_ATTEMPTS: u64 = 3;

/// Runs a job of one item and returns the item's result.
async fn run_one_item(env: &PlatformEnv, to: &Process, job: &Value) -> anyhow::Result<Value> {
    let id = job["train_step"].to_string();
    assert_eq!(env.submit_job(to, &id, job).await.status, 202);
    let results = env.all_results(to, &id).await.context("results")?;
    assert_eq!(results.len(), 1, "{results:?}");
    assert_eq!(env.end_job(to, &id).await.status, 200);
    Ok(results[0].clone())
}

/// The same item for a later step of the trainer.
fn job_of_step(step: u64) -> Value {
    let mut job = batch_job("again", 1, 1);
    job["train_step"] = step.into();
    job
}

/// Runs other items, whose requests use the connections of earlier ones: the
/// target does send second copies, and these items get their own answers.
async fn run_other_items(env: &PlatformEnv, to: &Process) -> anyhow::Result<()> {
    assert_eq!(env.submit_job(to, "others", &batch_job("others", 4, 1)).await.status, 202);
    let results = env.all_results(to, "others").await.context("results")?;
    assert!(results.iter().all(|result| result["state"] == "completed"), "{results:?}");
    Ok(())
}

/// Guards against an item that is given up since the copy of one failure of its
/// reward call was counted as another.
#[tokio::test]
async fn a_late_copy_of_a_failed_reward_call_is_no_second_failure() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 0).await?;
    let scorer =
        LateCopyTarget::start(RepeatedAnswers::Plain { failures: MAX_ATTEMPTS - 1 }).await?;
    env.store.put("keyed.servers", "s0", Some(&scorer.heartbeat("intake")));
    let processes = start_processes(&env, 1).await?;

    let result = run_one_item(&env, &processes[0].1, &job_of_step(1)).await?;
    assert_eq!(result["state"], "completed", "{result}");
    Ok(())
}

/// Guards against a score that belongs to the reward call of an earlier job's text.
#[tokio::test]
async fn a_late_copy_of_an_earlier_reward_call_is_not_the_score() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 0).await?;
    let scorer = LateCopyTarget::start(RepeatedAnswers::Plain { failures: 0 }).await?;
    env.store.put("keyed.servers", "s0", Some(&scorer.heartbeat("intake")));
    let processes = start_processes(&env, 1).await?;

    let mut last_run = 0;
    for step in 1..=4 {
        let result = run_one_item(&env, &processes[0].1, &job_of_step(step)).await?;
        let run = (last_run + 1..=scorer.run_count("again-0-score"))
            .find(|run| result["score"] == format!("again-0-score-{run}"));
        last_run = run.with_context(|| format!("step {step}, after run {last_run}: {result}"))?;
    }
    run_other_items(&env, &processes[0].1).await?;
    assert!(scorer.copy_count() > 0, "no second copy was sent");
    Ok(())
}

/// Guards against a text that belongs to the item's run for an earlier job.
#[tokio::test]
async fn a_late_copy_of_an_earlier_stream_is_not_the_text() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let kind = RepeatedAnswers::Engine { model: ENGINE_MODEL.to_owned() };
    let engine = LateCopyTarget::start(kind).await?;
    env.store.put("keyed.servers", "e0", Some(&engine.heartbeat("lm")));
    let processes = start_processes(&env, 1).await?;

    let mut last_run = 0;
    for step in 1..=4 {
        let result = run_one_item(&env, &processes[0].1, &job_of_step(step)).await?;
        let text = |run: u64| {
            let pieces: Vec<_> = (0..6).map(|n| format!("piece {n} of run {run}")).collect();
            pieces.join("\n")
        };
        let run =
            (last_run + 1..=engine.run_count("again-0")).find(|run| result["output"] == text(*run));
        last_run = run.with_context(|| format!("step {step}, after run {last_run}: {result}"))?;
    }
    run_other_items(&env, &processes[0].1).await?;
    assert!(engine.copy_count() > 0, "no second copy was sent");
    Ok(())
}
