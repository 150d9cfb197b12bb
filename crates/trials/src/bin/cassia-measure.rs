//! Measures the real programs on this machine: what an idle process costs as
//! peers and targets grow, what the entry adds to a call, and how long changes
//! and starts take. docs/CAPACITY.md is worked out from its rows.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_platform::HttpPlatform;
use cassia_platform::Log;
use cassia_platform::LogRecord;
use cassia_route::TargetKind;
use cassia_standin::EngineSpec;
use cassia_standin::EngineStandin;
use cassia_standin::Proxy;
use cassia_trials::Caller;
use cassia_trials::Process;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::Trial;
use cassia_trials::eventually;
use cassia_trials::revision_at;
use cassia_trials::savanna;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

const SETTLE: Duration = Duration::from_secs(25);
const WATCH: Duration = Duration::from_secs(20);
const CALLS: u32 = 3_000;
const CALLERS: usize = 16;
/// The unit of processor time in /proc, in seconds.
const CLOCK_TICK: f64 = 0.01;
const PAGE_BYTES: f64 = 4_096.0;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    println!("{:<44} {:>8} {:>14} unit", "what", "size", "value");
    for peers in [4, 8, 16, 32] {
        idle(peers, 26).await?;
    }
    for targets in [10, 50, 200, 600] {
        idle(4, targets).await?;
    }
    overhead().await?;
    Ok(())
}

fn row(what: &str, size: usize, value: f64, unit: &str) {
    println!("{what:<44} {size:>8} {value:>14.3} {unit}");
}

/// What some idle entry processes cost.
async fn idle(processes: usize, targets: usize) -> anyhow::Result<()> {
    let mut trial = Trial::start().await?;
    let log = Proxy::start(trial.log.addr()).await?;
    let spec = trial.engine_spec("renewals");
    let engine = EngineStandin::start(spec).await?;
    let engines = Proxy::start(engine.addr()).await?;
    for i in 0..targets {
        let what = TargetKind::Engine { model: "renewals".into() };
        trial.put_target(&format!("engine-{i}"), engines.addr(), what);
    }
    trial.flags.push("--seeds=".to_owned());
    let log_flag = format!("--log={}", log.addr());
    let revision = trial.publish(&savanna(), 0).await?;
    let mut started = Vec::new();
    for i in 0..processes {
        let began = Instant::now();
        let host = format!("h{i}");
        let data_centre = format!("dc{}", i % 2);
        let process =
            trial.start_process("cassia-entry", &host, &data_centre, &[&log_flag]).await?;
        trial.ready(&process).await?;
        if i + 1 == processes {
            row("start until ready, processes", processes, seconds(began) * 1e3, "ms");
        }
        started.push(process);
    }
    for process in &started {
        trial.sees(process, targets.min(64) as u64, processes as u64 - 1).await?;
    }
    tokio::time::sleep(SETTLE).await;
    let before: Vec<_> = started.iter().map(usage).collect();
    let (reads, log_bytes, load_bytes) = (trial.log.reads(), log.passed(), engines.passed());
    let began = Instant::now();
    tokio::time::sleep(WATCH).await;
    let time = seconds(began);
    let count = number(processes as u64);
    let what = format!("{processes} processes, targets");
    let cpu: f64 = started.iter().zip(&before).map(|(p, b)| usage(p).cpu_s - b.cpu_s).sum();
    row(&format!("idle processor, {what}"), targets, 100.0 * cpu / time / count, "% of a core");
    let memory: f64 = started.iter().map(|p| usage(p).memory).sum();
    row(&format!("memory, {what}"), targets, memory / count / 1e6, "MB");
    let reads = number(trial.log.reads() - reads) / time;
    row(&format!("log reads in all, {what}"), targets, reads, "a second");
    let bytes = number(log.passed() - log_bytes) / time / count;
    row(&format!("log bytes, {what}"), targets, bytes, "bytes/s a process");
    let bytes = number(engines.passed() - load_bytes) / time / count;
    row(&format!("load report bytes, {what}"), targets, bytes, "bytes/s a process");
    spread(&trial, &started, revision).await
}

/// How long a change takes until it is in force everywhere.
async fn spread(trial: &Trial, started: &[Process], revision: u64) -> anyhow::Result<()> {
    let began = Instant::now();
    let next = trial.publish(&savanna(), revision).await;
    // The publish id of a trial is its customer and what it amends.
    let next = next?;
    for process in started {
        let ops = process.ops;
        eventually(|| async move {
            let state = Caller::new("").get(ops, "/state").await.body;
            revision_at(&state, "savanna") == Some(next)
        })
        .await;
    }
    row("a change in force everywhere, processes", started.len(), seconds(began) * 1e3, "ms");
    let log = HttpPlatform::default().log(trial.log.addr());
    let page = log.read("config", next - 1, Duration::ZERO, WATCH).await?;
    let bytes = page.records.first().map_or(0, |r: &LogRecord| r.record.len());
    row("a contract's record, processes", started.len(), number(bytes as u64), "bytes");
    Ok(())
}

/// What the entry adds to a call, and how many calls a core serves.
async fn overhead() -> anyhow::Result<()> {
    let trial = Trial::start().await?;
    let spec = EngineSpec { token_us: 0, slots: 64, ..trial.engine_spec("renewals") };
    let engine = trial.start_engine("renewals-1", spec).await?;
    let entry = trial.start_entry("h1").await?;
    let revision = trial.publish(&savanna(), 0).await?;
    trial.in_force(&entry, "savanna", revision).await?;
    trial.sees(&entry, 1, 0).await?;
    let caller = Caller::new(SAVANNA_KEY);
    let mut direct = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)?;
    let mut through = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)?;
    for _ in 0..CALLS {
        // In turn, so that both see the same machine.
        direct.saturating_record(call_engine(&caller, engine.addr()).await);
        through.saturating_record(call_entry(&caller, entry.listen).await);
    }
    for (what, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (d, t) = (direct.value_at_quantile(quantile), through.value_at_quantile(quantile));
        row(&format!("direct call, {what}"), 1, number(d), "us");
        row(&format!("call through the entry, {what}"), 1, number(t), "us");
        row(&format!("added by the entry, {what}"), 1, number(t) - number(d), "us");
    }
    let before = usage(&entry);
    let calls = (0..CALLERS).map(|_| {
        let (caller, at) = (caller.clone(), entry.listen);
        tokio::spawn(async move {
            for _ in 0..CALLS {
                call_entry(&caller, at).await;
            }
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await?;
    }
    let after = usage(&entry);
    let calls = f64::from(CALLS) * number(CALLERS as u64);
    let cpu = (after.cpu_s - before.cpu_s) / calls;
    row("processor time of a call in the entry", CALLERS, cpu * 1e6, "us");
    row("calls a second for one core", CALLERS, 1.0 / cpu, "a second");
    row("memory after the calls", CALLERS, after.memory / 1e6, "MB");
    Ok(())
}

async fn call_engine(caller: &Caller, at: SocketAddr) -> u64 {
    let body = json!({
        "model": "renewals",
        "prompt": "x",
        "max_tokens": 4,
        "stream": true,
        "cassia": {"request_id": "r", "priority": 200},
    });
    let began = Instant::now();
    let reply = caller.post(at, "/v1/completions", &[], &body).await;
    assert!(reply.status == 200 && reply.body == Value::Null, "{reply:?}");
    micros(began)
}

async fn call_entry(caller: &Caller, at: SocketAddr) -> u64 {
    let body = json!({"prompt": "x", "max_tokens": 4});
    let began = Instant::now();
    let reply = caller.post(at, "/v1/savanna/quote", &[], &body).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    micros(began)
}

/// What a process has used.
struct Usage {
    cpu_s: f64,
    memory: f64,
}

fn usage(process: &Process) -> Usage {
    let read = |file: &str| {
        std::fs::read_to_string(format!("/proc/{}/{file}", process.id())).unwrap_or_default()
    };
    let stat = read("stat");
    // The name in brackets may hold spaces; user and system time are the 12th
    // and 13th fields after it.
    let fields = stat.rsplit(") ").next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|f| f.parse::<f64>().ok()).sum();
    let pages = read("statm").split_whitespace().nth(1).and_then(|p| p.parse::<f64>().ok());
    Usage { cpu_s: ticks * CLOCK_TICK, memory: pages.unwrap_or(0.0) * PAGE_BYTES }
}

fn seconds(since: Instant) -> f64 {
    since.elapsed().as_secs_f64()
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn number(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
