//! The main job on the stand-in of the users' platform, with a table at the
//! end; fails if a promise broke.

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
/// The longest time of a request that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;
/// Longer than a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(9);

/// One row of the table.
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
            eprintln!("cassia-demo-platform: a promise broke: {e:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> anyhow::Result<Vec<Row>> {
    let fleet = PlatformEnv::start().await?.with_targets(ENGINES, SERVICES).await?;
    let processes = start_processes(&fleet, 3).await?;
    println!("three processes, {ENGINES} engines, {SERVICES} services");
    let mut rows = Vec::new();
    rows.push(requests(&fleet, &processes[0].1).await?);
    rows.push(a_job(&fleet, &processes[1].1).await?);
    rows.push(new_weights(&fleet).await?);
    let (owner, others) = split_owner(&fleet, "stopped", processes);
    rows.push(a_stop(&fleet, owner, &others).await?);
    Ok(rows)
}

async fn requests(fleet: &PlatformEnv, process: &Process) -> anyhow::Result<Row> {
    wait_until_serving(fleet, process).await?;
    let mut times = Histogram::<u32>::new_with_max(LONGEST_US, 3)?;
    for n in 0..REQUESTS {
        let begun = Instant::now();
        let answer = fleet.request(process, "/quote/1", &format!("r{n}")).await;
        ensure!(answer.status == 200, "request r{n}: {answer:?}");
        times.saturating_record(u64::try_from(begun.elapsed().as_micros())?);
    }
    println!("{REQUESTS} requests answered");
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    let (p50, p99) = (Duration::from_micros(p50), Duration::from_micros(p99));
    Ok(Row("requests answered, p50, p99", format!("{REQUESTS}, {p50:.1?}, {p99:.1?}")))
}

async fn a_job(fleet: &PlatformEnv, process: &Process) -> anyhow::Result<Row> {
    let begun = Instant::now();
    let taken = fleet.submit_job(process, "first", &batch_job("first", ITEMS, 1)).await;
    ensure!(taken.status == 202, "{taken:?}");
    let accepted = begun.elapsed();
    let results = fleet.all_results(process, "first").await.context("results")?;
    assert_complete(&results, "first", ITEMS);
    let took = begun.elapsed();
    ensure!(fleet.end_job(process, "first").await.status == 200, "the job can't be ended");
    println!("a batch job of {ITEMS} items done");
    Ok(Row("batch job: accepted after, all listed after", format!("{accepted:.1?}, {took:.1?}")))
}

async fn new_weights(fleet: &PlatformEnv) -> anyhow::Result<Row> {
    let begun = Instant::now();
    fleet.publish_version(2);
    let loaded = || async { fleet.targets[..ENGINES].iter().all(|e| e.version() == 2) };
    ensure!(eventually(loaded).await, "the engines never loaded the version");
    println!("new weights on all engines");
    let orders = fleet.targets.iter().map(|target| target.orders().len()).sum::<usize>();
    Ok(Row("new weights on all engines, orders", format!("{:.1?}, {orders}", begun.elapsed())))
}

async fn a_stop(
    fleet: &PlatformEnv,
    mut owner: Process,
    others: &[Process],
) -> anyhow::Result<Row> {
    let taken = fleet.submit_job(&others[0], "stopped", &batch_job("stopped", ITEMS, 2)).await;
    ensure!(taken.status == 202, "{taken:?}");
    owner.terminate();
    let status = owner.wait(STOP_LIMIT).await.context("the owner ends in time")?;
    ensure!(status.success(), "the owner ended with {status}");
    let results = fleet.all_results(&others[0], "stopped").await.context("results")?;
    assert_complete(&results, "stopped", ITEMS);
    println!("the owner stopped, its job went on");
    let again = fleet.all_results(&others[1], "stopped").await.context("results")?;
    ensure!(results == again, "positions differ between hosts");
    Ok(Row("items whole over a planned stop, at both others", format!("{ITEMS} of {ITEMS}")))
}
