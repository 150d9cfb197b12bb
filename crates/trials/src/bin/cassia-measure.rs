//! Measures the shipped programs on this machine: the cost of an idle process
//! by the number of peers and targets, the time that the entry adds to a call,
//! and the time taken by changes and starts. docs/CAPACITY.md is calculated
//! from its rows. An argument selects one section.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::HttpPlatform;
use cassia_clients::Log;
use cassia_clients::LogRecord;
use cassia_contract::Contract;
use cassia_contract::LotSize;
use cassia_route::TargetKind;
use cassia_standin::EngineSpec;
use cassia_standin::EngineStandin;
use cassia_standin::Proxy;
use cassia_standin::TrainerStandin;
use cassia_trials::Caller;
use cassia_trials::Process;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::contract_revision;
use cassia_trials::eventually;
use cassia_trials::savanna;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

/// Pause after the start, before the idle cost is measured.
const WARMUP_TIME: Duration = Duration::from_secs(25);
/// How long the idle cost is measured.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Length of one round of the crowding measurement.
const ROUND_TIME: Duration = Duration::from_secs(6);
const ROUNDS: usize = 4;
const ACTIVATION_MS: u64 = 3_000;
/// Limit on the wait until all engines serve new weights.
const ROLLOUT_TIMEOUT: Duration = Duration::from_mins(2);
const CALLS: u32 = 3_000;
const CALLERS: usize = 16;
/// Largest time that the histograms record, in microseconds.
const MAX_TIME_US: u64 = 60_000_000;
/// The unit of processor time in /proc, in seconds.
const CLOCK_TICK_S: f64 = 0.01;
const PAGE_BYTES: f64 = 4_096.0;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let selected = std::env::args().nth(1);
    let wants = |section: &str| selected.as_deref().is_none_or(|selected| selected == section);
    println!("{:<44} {:>8} {:>14} unit", "what", "size", "value");
    if wants("peers") {
        for peers in [4, 8, 16, 32] {
            measure_idle(peers, 26).await?;
        }
    }
    if wants("targets") {
        for targets in [10, 50, 200, 600] {
            measure_idle(4, targets).await?;
        }
    }
    if wants("overhead") {
        measure_overhead().await?;
    }
    if wants("weights") {
        measure_weights().await?;
    }
    if wants("crowding") {
        measure_crowding().await?;
    }
    Ok(())
}

/// Measures the effect of a trainer at full load on callers of the same
/// engines, in alternate rounds without and with it.
async fn measure_crowding() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let mut engines = Vec::new();
    for i in 0..3 {
        let spec = EngineSpec { token_us: 2_000, ..env.engine_spec("suggestion") };
        engines.push(env.start_engine(&format!("suggestion-{i}"), spec).await?);
    }
    let entry = env.start_entry("h1").await?;
    let rollout = env.start_rollout("h1").await?;
    let contract = Contract { lot: LotSize { groups: 16, group_size: 8 }, ..savanna() };
    let revision = env.publish(&contract, 0).await?;
    for process in [&entry, &rollout] {
        env.wait_until_in_force(process, "savanna", revision).await?;
        env.wait_for_view(process, 3, 1).await?;
    }
    let mut without = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, 3)?;
    let mut with = without.clone();
    let mut lots = 0;
    let hosts = vec![rollout.listen];
    let mut trainer = TrainerStandin::new("savanna", "suggestion-trainer", SAVANNA_KEY, hosts)
        .with_prompts(16, 32);
    for _ in 0..ROUNDS {
        without.add(call_for(ROUND_TIME, entry.listen).await?)?;
        let calls = tokio::spawn(call_for(ROUND_TIME, entry.listen));
        let until = Instant::now() + ROUND_TIME;
        while Instant::now() < until && trainer.step(ROUND_TIME).await.is_some() {
            lots += 1;
        }
        with.add(calls.await??)?;
    }
    let quantile = |h: &Histogram<u64>, q| to_f64(h.value_at_quantile(q));
    for (what, q) in [("p50", 0.5), ("p99", 0.99)] {
        row(&format!("callers alone, {what}"), CALLERS, quantile(&without, q), "us");
        row(&format!("callers beside a trainer, {what}"), CALLERS, quantile(&with, q), "us");
        let ratio = quantile(&with, q) / quantile(&without, q);
        row(&format!("ratio, {what}"), CALLERS, ratio, "target p99: 1.1");
    }
    row("lots of 128 samples meanwhile", ROUNDS, f64::from(lots), "lots");
    Ok(())
}

/// Sends calls for some time, and returns the response times in microseconds.
async fn call_for(time: Duration, entry: SocketAddr) -> anyhow::Result<Histogram<u64>> {
    let until = Instant::now() + time;
    let calls = (0..CALLERS / 2).map(|i| {
        tokio::spawn(async move {
            let caller = Caller::new(SAVANNA_KEY);
            let mut times = Vec::new();
            while Instant::now() < until {
                let body = json!({"prompt": format!("{i} {}", times.len()), "max_tokens": 12});
                let began = Instant::now();
                let path = "/v1/savanna/suggest";
                let response = caller.post(entry, path, &[], &body).await;
                assert_eq!(response.status, 200, "{response:?}");
                times.push(micros_since(began));
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            times
        })
    });
    let mut histogram = Histogram::new_with_bounds(1, MAX_TIME_US, 3)?;
    for call in calls.collect::<Vec<_>>() {
        for time in call.await? {
            histogram.saturating_record(time);
        }
    }
    Ok(histogram)
}

fn row(what: &str, size: usize, value: f64, unit: &str) {
    println!("{what:<44} {size:>8} {value:>14.3} {unit}");
}

/// Measures the cost of idle entry processes, and how long a change takes to
/// be in force in all of them.
async fn measure_idle(processes: usize, targets: usize) -> anyhow::Result<()> {
    let mut env = TestEnv::start().await?;
    let log_proxy = Proxy::start(env.log.addr()).await?;
    let spec = env.engine_spec("renewals");
    let engine = EngineStandin::start(spec).await?;
    let engine_proxy = Proxy::start(engine.addr()).await?;
    for i in 0..targets {
        let kind = TargetKind::Engine { model: "renewals".into() };
        env.list_target(&format!("engine-{i}"), engine_proxy.addr(), kind);
    }
    env.flags.push("--seeds=".to_owned());
    let log_flag = format!("--log={}", log_proxy.addr());
    let revision = env.publish(&savanna(), 0).await?;
    let mut started = Vec::new();
    for i in 0..processes {
        let began = Instant::now();
        let host = format!("h{i}");
        let data_centre = format!("dc{}", i % 2);
        let process = env.start_process("cassia-entry", &host, &data_centre, &[&log_flag]).await?;
        env.wait_until_ready(&process).await?;
        if i + 1 == processes {
            row("start until ready, processes", processes, seconds_since(began) * 1e3, "ms");
        }
        started.push(process);
    }
    for process in &started {
        env.wait_for_view(process, targets.min(64) as u64, processes as u64 - 1).await?;
    }
    tokio::time::sleep(WARMUP_TIME).await;
    let before: Vec<_> = started.iter().map(usage).collect();
    let (reads, log_bytes, load_bytes) =
        (env.log.read_count(), log_proxy.bytes_forwarded(), engine_proxy.bytes_forwarded());
    let began = Instant::now();
    tokio::time::sleep(IDLE_TIME).await;
    let time = seconds_since(began);
    let count = to_f64(processes as u64);
    let what = format!("{processes} processes, targets");
    let cpu: f64 = started.iter().zip(&before).map(|(p, b)| usage(p).cpu_s - b.cpu_s).sum();
    row(&format!("idle processor, {what}"), targets, 100.0 * cpu / time / count, "% of a core");
    let memory: f64 = started.iter().map(|p| usage(p).memory_bytes).sum();
    row(&format!("memory, {what}"), targets, memory / count / 1e6, "MB");
    let reads = to_f64(env.log.read_count() - reads) / time;
    row(&format!("log reads in all, {what}"), targets, reads, "a second");
    let bytes = to_f64(log_proxy.bytes_forwarded() - log_bytes) / time / count;
    row(&format!("log bytes, {what}"), targets, bytes, "bytes/s a process");
    let bytes = to_f64(engine_proxy.bytes_forwarded() - load_bytes) / time / count;
    row(&format!("load report bytes, {what}"), targets, bytes, "bytes/s a process");
    measure_change(&env, &started, revision).await
}

/// Measures how long a change takes until it is in force in all processes.
async fn measure_change(env: &TestEnv, started: &[Process], revision: u64) -> anyhow::Result<()> {
    let began = Instant::now();
    let next = env.publish(&savanna(), revision).await?;
    for process in started {
        let ops = process.ops;
        eventually(|| async move {
            let state = Caller::new("").get(ops, "/state").await.body;
            contract_revision(&state, "savanna") == Some(next)
        })
        .await;
    }
    row("a change in force everywhere, processes", started.len(), seconds_since(began) * 1e3, "ms");
    let log = HttpPlatform::default().log(env.log.addr());
    let page = log.read("config", next - 1, Duration::ZERO, IDLE_TIME).await?;
    let bytes = page.records.first().map_or(0, |r: &LogRecord| r.record.len());
    row("a contract's record, processes", started.len(), to_f64(bytes as u64), "bytes");
    Ok(())
}

/// Measures the time that the entry adds to a call, and how many calls a core
/// serves.
async fn measure_overhead() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let spec = EngineSpec { token_us: 0, slots: 64, ..env.engine_spec("renewals") };
    let engine = env.start_engine("renewals-1", spec).await?;
    let entry = env.start_entry("h1").await?;
    let revision = env.publish(&savanna(), 0).await?;
    env.wait_until_in_force(&entry, "savanna", revision).await?;
    env.wait_for_view(&entry, 1, 0).await?;
    let caller = Caller::new(SAVANNA_KEY);
    let mut direct = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, 3)?;
    let mut through = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, 3)?;
    for _ in 0..CALLS {
        // Alternately, so that both are measured under the same conditions.
        direct.saturating_record(call_engine(&caller, engine.addr()).await);
        through.saturating_record(call_entry(&caller, entry.listen).await);
    }
    for (what, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (d, t) = (direct.value_at_quantile(quantile), through.value_at_quantile(quantile));
        row(&format!("direct call, {what}"), 1, to_f64(d), "us");
        row(&format!("call through the entry, {what}"), 1, to_f64(t), "us");
        row(&format!("added by the entry, {what}"), 1, to_f64(t) - to_f64(d), "us");
    }
    for events in [1, 10, 100] {
        let cpu = processor_time(&caller, &entry, 4 * events).await?;
        row("processor time of a call, events in it", events, cpu * 1e6, "us");
        row("calls a second for one core, events", events, 1.0 / cpu, "a second");
    }
    row("memory after the calls", CALLERS, usage(&entry).memory_bytes / 1e6, "MB");
    Ok(())
}

/// Returns the processor time of one call in the entry, in seconds.
async fn processor_time(caller: &Caller, entry: &Process, tokens: usize) -> anyhow::Result<f64> {
    let before = usage(entry);
    let calls = (0..CALLERS).map(|_| {
        let (caller, addr) = (caller.clone(), entry.listen);
        let body = json!({"prompt": "x", "max_tokens": tokens});
        tokio::spawn(async move {
            for _ in 0..CALLS / 3 {
                let response = caller.post(addr, "/v1/savanna/quote", &[], &body).await;
                assert_eq!(response.status, 200, "{response:?}");
            }
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await?;
    }
    let calls = f64::from(CALLS / 3) * to_f64(CALLERS as u64);
    Ok((usage(entry).cpu_s - before.cpu_s) / calls)
}

/// Measures how long new weights take until all engines serve them.
async fn measure_weights() -> anyhow::Result<()> {
    for count in [8, 48, 192] {
        let env = TestEnv::start().await?;
        let mut engines = Vec::new();
        for i in 0..count {
            let spec = EngineSpec { activation_ms: ACTIVATION_MS, ..env.engine_spec("caption") };
            engines.push(env.start_engine(&format!("caption-{i}"), spec).await?);
        }
        env.weights.publish("caption", 1);
        let control = env.start_control("h1").await?;
        let ops = control.ops;
        eventually(|| async move {
            let state = Caller::new("").get(ops, "/state").await.body;
            state["program"]["held"]["caption"].is_object()
        })
        .await;
        let before = usage(&control);
        env.weights.publish("caption", 2);
        let began = Instant::now();
        let mut first = None;
        loop {
            let done = engines.iter().filter(|e| e.version() == Some(2)).count();
            if done > 0 {
                first.get_or_insert_with(Instant::now);
            }
            if done == count || began.elapsed() > ROLLOUT_TIMEOUT {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // Includes the activation of the engine that was done first.
        let activation = Duration::from_millis(ACTIVATION_MS);
        let activating = first.map_or(0.0, |first| (first.elapsed() + activation).as_secs_f64());
        row("publish until all serve it, engines", count, seconds_since(began), "s");
        row("of that activating, swaps of 3 s", count, activating, "s; target 10");
        let cpu = usage(&control).cpu_s - before.cpu_s;
        row("processor time of control for it", count, cpu * 1e3, "ms");
    }
    Ok(())
}

/// Calls an engine directly, and returns the time in microseconds.
async fn call_engine(caller: &Caller, addr: SocketAddr) -> u64 {
    let body = json!({
        "model": "renewals",
        "prompt": "x",
        "max_tokens": 4,
        "stream": true,
        "cassia": {"request_id": "r", "priority": 200},
    });
    let began = Instant::now();
    let response = caller.post(addr, "/v1/completions", &[], &body).await;
    assert!(response.status == 200 && response.body == Value::Null, "{response:?}");
    micros_since(began)
}

/// Calls an engine through the entry, and returns the time in microseconds.
async fn call_entry(caller: &Caller, addr: SocketAddr) -> u64 {
    let body = json!({"prompt": "x", "max_tokens": 4});
    let began = Instant::now();
    let response = caller.post(addr, "/v1/savanna/quote", &[], &body).await;
    assert_eq!(response.status, 200, "{response:?}");
    micros_since(began)
}

/// The resources that a process has used.
struct Usage {
    cpu_s: f64,
    memory_bytes: f64,
}

fn usage(process: &Process) -> Usage {
    let read = |file: &str| {
        std::fs::read_to_string(format!("/proc/{}/{file}", process.id())).unwrap_or_default()
    };
    let stat = read("stat");
    // The program's name, in parentheses, may contain spaces; user and system
    // time are the 12th and 13th fields after it.
    let fields = stat.rsplit(") ").next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|f| f.parse::<f64>().ok()).sum();
    let pages = read("statm").split_whitespace().nth(1).and_then(|p| p.parse::<f64>().ok());
    Usage { cpu_s: ticks * CLOCK_TICK_S, memory_bytes: pages.unwrap_or(0.0) * PAGE_BYTES }
}

fn seconds_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64()
}

fn micros_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
