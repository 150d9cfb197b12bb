//! Demonstration on the stand-in of the users' platform: serves requests, runs
//! a batch job, rolls out new weights and stops a process. Prints a table of
//! measurements, and fails if a guarantee is violated.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::ensure;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::split_owner;
use cassia_trials::start_processes;
use cassia_trials::wait_until_serving;
use hdrhistogram::Histogram;

const ENGINES: usize = 3;
const SERVICES: usize = 2;
const REQUESTS: usize = 200;
const ITEMS: usize = 48;
/// Largest request time that the histogram records, in microseconds.
const MAX_REQUEST_US: u64 = 60_000_000;
/// Longer than a planned stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);

/// One row of the table: its name and value.
struct Row(&'static str, String);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(rows) => {
            println!("\non the platform's stand-in");
            for Row(name, value) in rows {
                println!("  {name:<44} {value}");
            }
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("cassia-demo-platform: a check failed: {e:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> anyhow::Result<Vec<Row>> {
    let env = PlatformEnv::start().await?.with_targets(ENGINES, SERVICES).await?;
    let processes = start_processes(&env, 3).await?;
    println!("three processes, {ENGINES} engines, {SERVICES} services");
    let mut rows = Vec::new();
    rows.push(send_requests(&env, &processes[0].1).await?);
    rows.push(run_batch_job(&env, &processes[1].1).await?);
    rows.push(roll_out_weights(&env).await?);
    let (owner, others) = split_owner(&env, "stopped", processes);
    rows.push(stop_owner(&env, owner, &others).await?);
    Ok(rows)
}

async fn send_requests(env: &PlatformEnv, process: &Process) -> anyhow::Result<Row> {
    wait_until_serving(env, process).await?;
    let mut times = Histogram::<u32>::new_with_max(MAX_REQUEST_US, 3)?;
    for n in 0..REQUESTS {
        let start = Instant::now();
        let response = env.request(process, "/quote/1", &format!("r{n}")).await;
        ensure!(response.status == 200, "request r{n}: {response:?}");
        times.saturating_record(u64::try_from(start.elapsed().as_micros())?);
    }
    println!("{REQUESTS} requests answered");
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    let (p50, p99) = (Duration::from_micros(p50), Duration::from_micros(p99));
    Ok(Row("requests answered, p50, p99", format!("{REQUESTS}, {p50:.1?}, {p99:.1?}")))
}

async fn run_batch_job(env: &PlatformEnv, process: &Process) -> anyhow::Result<Row> {
    let start = Instant::now();
    let response = env.submit_job(process, "first", &batch_job("first", ITEMS, 1)).await;
    ensure!(response.status == 202, "{response:?}");
    let accepted = start.elapsed();
    let results = env.all_results(process, "first").await.context("results")?;
    assert_complete(&results, "first", ITEMS);
    let took = start.elapsed();
    ensure!(env.end_job(process, "first").await.status == 200, "the job can't be ended");
    println!("a batch job of {ITEMS} items done");
    Ok(Row("batch job: accepted after, all listed after", format!("{accepted:.1?}, {took:.1?}")))
}

async fn roll_out_weights(env: &PlatformEnv) -> anyhow::Result<Row> {
    let start = Instant::now();
    env.publish_version(2);
    let loaded = || async { env.targets[..ENGINES].iter().all(|e| e.version() == 2) };
    ensure!(eventually(loaded).await, "an engine has not loaded the new version");
    println!("new weights on all engines");
    let orders = env.targets.iter().map(|target| target.orders().len()).sum::<usize>();
    Ok(Row("new weights on all engines, orders", format!("{:.1?}, {orders}", start.elapsed())))
}

/// Stops the owner of a running job as planned; the others finish the job.
async fn stop_owner(
    env: &PlatformEnv,
    mut owner: Process,
    others: &[Process],
) -> anyhow::Result<Row> {
    let response = env.submit_job(&others[0], "stopped", &batch_job("stopped", ITEMS, 2)).await;
    ensure!(response.status == 202, "{response:?}");
    owner.terminate();
    let status = owner.wait(STOP_TIMEOUT).await.context("the owner did not stop in time")?;
    ensure!(status.success(), "the owner exited with {status}");
    let results = env.all_results(&others[0], "stopped").await.context("results")?;
    assert_complete(&results, "stopped", ITEMS);
    println!("the owner stopped, its job went on");
    let other_results = env.all_results(&others[1], "stopped").await.context("results")?;
    ensure!(results == other_results, "the order of the results differs between hosts");
    Ok(Row("items whole over a planned stop, at both others", format!("{ITEMS} of {ITEMS}")))
}
