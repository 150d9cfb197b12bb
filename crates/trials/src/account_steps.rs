//! Steps shared by the tests with accounts on the platform's stand-ins.

use anyhow::Context;
use cassia_standin::RequestRun;
use serde_json::Value;
use serde_json::json;

use crate::PlatformEnv;
use crate::Process;
use crate::batch_job;
use crate::eventually;
use crate::start_processes;

/// Customers and their keys.
pub const TRIAL_ACCOUNTS: &[(&str, &[&str])] =
    &[("acme", &["key-a1", "key-a2"]), ("bolt", &["key-b1"])];

/// Starts targets and one process, with these accounts in force.
///
/// # Errors
///
/// Fails if one can't be started or the process serves nothing.
pub async fn start_with_accounts(
    engines: usize,
    services: usize,
) -> anyhow::Result<(PlatformEnv, Process)> {
    let env = PlatformEnv::start().await?.with_targets(engines, services).await?;
    env.put_accounts(2, TRIAL_ACCOUNTS);
    let (_, process) = start_processes(&env, 1).await?.pop().context("a process")?;
    wait_until_known_key_serves(&env, &process).await?;
    Ok((env, process))
}

/// Waits until a process serves requests with a known key.
///
/// # Errors
///
/// Fails if it doesn't within the time limit.
pub async fn wait_until_known_key_serves(
    env: &PlatformEnv,
    process: &Process,
) -> anyhow::Result<()> {
    let serves = || async {
        env.request_with_key(process, "/quote/1", "first", "key-a1").await.status == 200
    };
    anyhow::ensure!(eventually(serves).await, "the process doesn't serve requests");
    Ok(())
}

/// Asserts that runs carry this customer, once, and no key.
///
/// # Panics
///
/// Panics if one doesn't, or if there are none.
pub fn assert_customer(runs: &[RequestRun], customer: Option<&str>) {
    assert!(!runs.is_empty(), "nothing ran");
    for run in runs {
        let customers: Vec<_> = run.headers.get_all("tenant").iter().collect();
        let expected: Vec<_> = customer.into_iter().collect();
        assert_eq!(customers, expected, "{run:?}");
        assert!(!run.headers.contains_key("authorization"), "{run:?}");
    }
}

/// Returns a job whose items name a customer and a key themselves.
#[must_use]
pub fn forged_job(id: &str, items: usize) -> Value {
    let mut job = batch_job(id, items, 1);
    for item in job["items"].as_array_mut().into_iter().flatten() {
        item["headers"]["TENANT"] = json!("forged");
        item["headers"]["aUTHORIZATION"] = json!("Token key-b1");
    }
    job
}

/// Returns the results of a job that a key shows.
pub async fn results_with_key(
    env: &PlatformEnv,
    process: &Process,
    job: &str,
    key: &str,
) -> Vec<Value> {
    let path = format!("/v1/lots/{job}");
    let page = env.job_call_with_key("GET", process, &path, key, "").await.json();
    page["results"].as_array().cloned().unwrap_or_default()
}

/// Waits until a key shows this many results of a job.
///
/// # Errors
///
/// Fails if it doesn't within the time limit.
pub async fn wait_for_results(
    env: &PlatformEnv,
    process: &Process,
    job: &str,
    key: &str,
    count: usize,
) -> anyhow::Result<()> {
    let done = || async { results_with_key(env, process, job, key).await.len() == count };
    anyhow::ensure!(eventually(done).await, "not all results of {job}");
    Ok(())
}
