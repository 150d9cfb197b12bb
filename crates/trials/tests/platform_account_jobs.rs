//! Whose a batch job is, and for whom its items run.

use std::time::Duration;

use anyhow::Context;
use cassia_trials::PlatformEnv;
use cassia_trials::TRIAL_ACCOUNTS;
use cassia_trials::accounts_config;
use cassia_trials::assert_customer;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::forged_job;
use cassia_trials::results_with_key;
use cassia_trials::split_owner;
use cassia_trials::start_processes;
use cassia_trials::start_with_accounts;
use cassia_trials::wait_for_results;
use cassia_trials::wait_until_known_key_serves;
use serde_json::json;

/// Guards against items of a revoked key that stop, or run without a customer, and
/// against keys in the headers of items and of their reward calls.
#[tokio::test]
async fn items_run_for_their_customer_after_its_key_was_removed() -> anyhow::Result<()> {
    let (env, process) = start_with_accounts(2, 1).await?;
    for target in env.targets.iter().filter(|target| target.is_engine()) {
        target.set_delay(Duration::from_millis(60));
    }
    let job = forged_job("j", 40);
    assert_eq!(env.submit_job_with_key(&process, "j", &job, "key-a1").await.status, 202);
    env.put_accounts(3, &[("acme", &["key-a2"]), ("bolt", &["key-b1"])]);
    let removed =
        || async { env.request_with_key(&process, "/quote/1", "q", "key-a1").await.status == 401 };
    anyhow::ensure!(eventually(removed).await, "the key is not removed");
    let before = results_with_key(&env, &process, "j", "key-a2").await.len();
    assert!(before < 40, "all items ran before the key was removed");
    wait_for_results(&env, &process, "j", "key-a2", 40).await?;
    for n in 0..40 {
        assert_customer(&env.runs_of(&format!("j-{n}")), Some("acme"));
        assert_customer(&env.runs_of(&format!("j-{n}-score")), None);
    }
    Ok(())
}

/// Guards against a customer that another host does not find in the records of a job
/// which it takes over.
#[tokio::test]
async fn items_run_for_their_customer_at_the_next_owner() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(2, 1).await?;
    env.put_accounts(2, TRIAL_ACCOUNTS);
    let (mut owner, others) = split_owner(&env, "j", start_processes(&env, 2).await?);
    wait_until_known_key_serves(&env, &owner).await?;
    wait_until_known_key_serves(&env, &others[0]).await?;
    let job = forged_job("j", 40);
    assert_eq!(env.submit_job_with_key(&owner, "j", &job, "key-b1").await.status, 202);
    let running = || async { env.targets.iter().any(|t| t.is_engine() && !t.running().is_empty()) };
    anyhow::ensure!(eventually(running).await, "no item is running");
    owner.kill();
    wait_for_results(&env, &others[0], "j", "key-b1", 40).await?;
    for n in 0..40 {
        assert_customer(&env.runs_of(&format!("j-{n}")), Some("bolt"));
        assert_customer(&env.runs_of(&format!("j-{n}-score")), None);
    }
    Ok(())
}

/// Guards against a customer that reads, ends or takes over another's job.
#[tokio::test]
async fn a_job_exists_for_its_customer_only() -> anyhow::Result<()> {
    let (env, process) = start_with_accounts(1, 1).await?;
    let job = batch_job("j", 4, 1);
    assert_eq!(env.submit_job_with_key(&process, "j", &job, "key-a1").await.status, 202);
    let body = "/v1/items/j?instance_id=j-1";
    let foreign_calls = [("GET", "/v1/lots/j"), ("GET", body), ("DELETE", "/v1/lots/j")];
    for (method, path) in foreign_calls {
        let response = env.job_call_with_key(method, &process, path, "key-b1", "").await;
        assert_eq!((response.status, &response.json()["kind"]), (404, &json!("no_such_job")));
        let unknown = env.job_call_with_key(method, &process, path, "none", "").await;
        assert_eq!(unknown.status, 401, "{unknown:?}");
    }
    let partition = cassia_jobs::partition("j", cassia_trials::PARTITIONS);
    let foreign = batch_job("j", 8, 1);
    let response = env.submit_job_with_key(&process, "j", &foreign, "key-b1").await;
    assert_eq!(response.status, 404, "{response:?}");
    let submissions = env.store.records("jobs", partition).into_iter().filter(|record| {
        let record = cassia_jobs::JobRecord::decode(record.clone());
        matches!(record, cassia_jobs::JobRecord::Part { .. })
    });
    assert_eq!(submissions.count(), 1, "the refused submission is in the log");
    // Another key of the same customer has the same rights.
    wait_for_results(&env, &process, "j", "key-a2", 4).await?;
    let response = env.job_call_with_key("GET", &process, body, "key-a2", "").await;
    assert_eq!((response.status, response.body.as_ref()), (200, &b"prompt"[..]));
    assert_eq!(env.submit_job_with_key(&process, "j", &job, "key-a2").await.status, 202);
    let response = env.job_call_with_key("DELETE", &process, "/v1/lots/j", "key-a2", "").await;
    assert!(response.status < 300, "{response:?}");
    Ok(())
}

/// Guards against a customer that gets an acceptance for an id under which another's job
/// was accepted at the same time, by another host.
#[tokio::test]
async fn of_two_customers_one_gets_the_id() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    env.put_accounts(2, TRIAL_ACCOUNTS);
    let processes = start_processes(&env, 2).await?;
    for (_, process) in &processes {
        wait_until_known_key_serves(&env, process).await?;
    }
    for n in 0..20 {
        let id = format!("j{n}");
        let job = batch_job(&id, 4, 1);
        let (a, b) = tokio::join!(
            env.submit_job_with_key(&processes[0].1, &id, &job, "key-a1"),
            env.submit_job_with_key(&processes[1].1, &id, &job, "key-b1"),
        );
        let mut statuses = [a.status, b.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [202, 404], "{a:?} {b:?}");
        let winner = if a.status == 202 { "key-a1" } else { "key-b1" };
        wait_for_results(&env, &processes[0].1, &id, winner, 4).await?;
    }
    Ok(())
}

/// Guards against jobs that are accepted and then shown to nobody, since whose they are
/// is not known.
#[tokio::test]
async fn a_job_needs_a_key_also_on_a_public_route() -> anyhow::Result<()> {
    let (env, process) = start_with_accounts(1, 1).await?;
    let mut config = accounts_config(3, &[("bolt", &["key-b1"])]);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["public"] = json!(true);
    }
    env.store.put("keyed.op", "config", Some(&config));
    let in_force = || async { env.request(&process, "/quote/1", "q").await.status == 200 };
    anyhow::ensure!(eventually(in_force).await, "the configuration is not in force");
    let job = batch_job("j", 4, 1);
    assert_eq!(env.submit_job(&process, "j", &job).await.status, 401);
    assert_eq!(env.submit_job_with_key(&process, "j", &job, "key-b1").await.status, 202);
    wait_for_results(&env, &process, "j", "key-b1", 4).await
}

/// Guards against items that run without their customer's name: a job that was accepted
/// before there were accounts, or by an earlier release, has none.
#[tokio::test]
async fn a_job_without_a_customer_is_not_shown_and_does_not_run() -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let (_, process) = start_processes(&env, 1).await?.pop().context("a process")?;
    assert_eq!(env.submit_job(&process, "j", &batch_job("j", 4, 1)).await.status, 202);
    env.put_accounts(2, TRIAL_ACCOUNTS);
    wait_until_known_key_serves(&env, &process).await?;
    let engine = env.add_engine("e", 6).await?;
    // The engine is used as soon as it is known.
    let job = batch_job("k", 4, 1);
    assert_eq!(env.submit_job_with_key(&process, "k", &job, "key-a1").await.status, 202);
    wait_for_results(&env, &process, "k", "key-a1", 4).await?;
    for key in ["key-a1", "key-b1"] {
        let response = env.job_call_with_key("GET", &process, "/v1/lots/j", key, "").await;
        assert_eq!(response.status, 404, "{response:?}");
    }
    let runs = engine.runs();
    assert!(runs.iter().all(|run| run.id.starts_with("k-")), "{runs:?}");
    Ok(())
}
