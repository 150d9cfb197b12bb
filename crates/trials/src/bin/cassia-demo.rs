//! Demonstration of the shipped programs on stand-ins, end to end.
//!
//! It starts the programs as processes, publishes the contracts of both
//! customers, sends callers' requests and trainers' pulls while weights change,
//! and prints tables at the end. The exit code is not 0 if a guarantee is
//! violated.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::ensure;
use cassia_standin::EngineStandin;
use cassia_standin::ServiceStandin;
use cassia_standin::TrainerStandin;
use cassia_trials::Caller;
use cassia_trials::JsonResponse;
use cassia_trials::LESERBILD_KEY;
use cassia_trials::Process;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::leserbild;
use cassia_trials::savanna;
use hdrhistogram::Histogram;
use serde_json::json;

/// How long callers and trainers send requests.
const LOAD_TIME: Duration = Duration::from_secs(15);
const LOT_TIMEOUT: Duration = Duration::from_secs(30);
const HOSTS: usize = 3;
/// Number of callers of each route, which send their requests at once.
const CALLERS: usize = 4;
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Results of one customer's callers on one route.
#[derive(Debug)]
struct CallStats {
    answered: u64,
    /// Number of refused requests, by the kind of the error.
    refused: BTreeMap<String, u64>,
    /// Response times in microseconds.
    times_us: Histogram<u64>,
    violations: Vec<String>,
}

/// Results of one trainer.
#[derive(Debug)]
struct TrainerStats {
    name: &'static str,
    steps: u64,
    trainer: TrainerStandin,
    time: Duration,
    violations: Vec<String>,
}

/// The stand-ins of the targets, kept alive for the whole demonstration.
struct Targets {
    engines: Vec<EngineStandin>,
    pass_status: ServiceStandin,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("cassia-demo: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the demonstration and returns whether all guarantees held.
async fn run() -> anyhow::Result<bool> {
    println!("starting the platform's stand-ins");
    let env = TestEnv::start().await?;
    let targets = start_targets(&env).await?;
    println!("starting {HOSTS} hosts with an entry, a rollout and a control process each");
    let mut processes = Vec::new();
    for i in 0..HOSTS {
        let host = format!("host-{i}");
        processes.push(env.start_entry(&host).await?);
        processes.push(env.start_rollout(&host).await?);
        processes.push(env.start_control(&host).await?);
    }
    println!("publishing the contracts of leserbild and savanna");
    for contract in [leserbild(), savanna()] {
        let revision = env.publish(&contract, 0).await?;
        for process in &processes {
            env.wait_until_in_force(process, &contract.customer, revision).await?;
        }
    }
    let target_count = targets.engines.len() as u64 + 1;
    for process in &processes {
        env.wait_for_view(process, target_count, 3 * HOSTS as u64 - 1).await?;
    }
    println!("serving callers and trainers for {} s", LOAD_TIME.as_secs());
    let (calls, trainers) = run_load(&env, &processes).await?;
    println!("stopping every process as planned");
    let unclean_exits = stop(processes).await?;
    Ok(report(&calls, &trainers, &targets, unclean_exits))
}

async fn start_targets(env: &TestEnv) -> anyhow::Result<Targets> {
    let mut engines = Vec::new();
    for (model, count) in [("caption", 3), ("intake", 1), ("suggestion", 3), ("renewals", 2)] {
        for i in 0..count {
            let spec = env.engine_spec(model);
            engines.push(env.start_engine(&format!("{model}-{i}"), spec).await?);
        }
        env.weights.publish(model, 1);
    }
    let pass_status = env.start_service("status-1", "pass-status").await?;
    Ok(Targets { engines, pass_status })
}

/// Sends callers' requests and trainers' pulls for [`LOAD_TIME`].
async fn run_load(
    env: &TestEnv,
    processes: &[Process],
) -> anyhow::Result<(BTreeMap<&'static str, CallStats>, Vec<TrainerStats>)> {
    let until = Instant::now() + LOAD_TIME;
    let entries: Vec<_> = processes.iter().step_by(3).map(|p| p.listen).collect();
    let rollouts: Vec<_> = processes.iter().skip(1).step_by(3).map(|p| p.listen).collect();
    let mut callers = Vec::new();
    for (name, key, path) in [
        ("leserbild caption", LESERBILD_KEY, "/v1/leserbild/caption"),
        ("leserbild tagging", LESERBILD_KEY, "/v1/leserbild/tagging"),
        ("savanna quote", SAVANNA_KEY, "/v1/savanna/quote"),
        ("savanna pass-status", SAVANNA_KEY, "/v1/savanna/pass-status"),
    ] {
        let entries = entries.clone();
        callers.push((name, tokio::spawn(call(key, path, entries, until))));
    }
    let trainers = [
        ("leserbild caption-trainer", "leserbild", "caption-trainer", LESERBILD_KEY),
        ("savanna suggestion-trainer", "savanna", "suggestion-trainer", SAVANNA_KEY),
    ]
    .map(|(name, customer, trainer, key)| {
        let trainer = TrainerStandin::new(customer, trainer, key, rollouts.clone());
        tokio::spawn(train(name, trainer.with_prompts(2, 4), until))
    });
    publish_weights(env, until).await;
    let mut call_stats = BTreeMap::new();
    for (name, call) in callers {
        call_stats.insert(name, call.await??);
    }
    let mut trainer_stats = Vec::new();
    for trainer in trainers {
        trainer_stats.push(trainer.await?);
    }
    Ok((call_stats, trainer_stats))
}

/// Publishes new weights every three seconds.
async fn publish_weights(env: &TestEnv, until: Instant) {
    for version in 2.. {
        tokio::time::sleep(Duration::from_secs(3)).await;
        if Instant::now() >= until {
            return;
        }
        for model in ["caption", "suggestion"] {
            env.weights.publish(model, version);
        }
        println!("  weights {version} published");
    }
}

/// Sends requests to one route until the time is up.
async fn call(
    key: &'static str,
    path: &'static str,
    entries: Vec<std::net::SocketAddr>,
    until: Instant,
) -> anyhow::Result<CallStats> {
    let mut stats = CallStats {
        answered: 0,
        refused: BTreeMap::new(),
        times_us: Histogram::new_with_bounds(1, 60_000_000, 3)?,
        violations: Vec::new(),
    };
    let caller = Caller::new(key);
    let mut n = 0_usize;
    while Instant::now() < until {
        let calls = (0..CALLERS).map(|i| {
            let (caller, entry) = (caller.clone(), entries[(n + i) % entries.len()]);
            let key = format!("{path}-{n}-{i}");
            tokio::spawn(async move {
                let body = json!({"prompt": key, "max_tokens": 12});
                let began = Instant::now();
                let response = if path.ends_with("pass-status") {
                    let ticket = caller.fetch_ticket(entry, path).await;
                    caller.redeem(entry, path, &ticket, &json!({"key": key})).await
                } else {
                    caller.post(entry, path, &[], &body).await
                };
                (response, began.elapsed())
            })
        });
        for call in calls.collect::<Vec<_>>() {
            let (response, took) = call.await?;
            stats.record(path, &response, took);
        }
        n += 1;
        tokio::time::sleep(CALL_PAUSE).await;
    }
    Ok(stats)
}

impl CallStats {
    fn record(&mut self, path: &str, response: &JsonResponse, took: Duration) {
        if response.status != 200 {
            *self.refused.entry(response.text("kind").to_owned()).or_default() += 1;
            return;
        }
        self.answered += 1;
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.times_us.saturating_record(micros);
        let complete = response.text("text").split_whitespace().count() == 12;
        if !path.ends_with("pass-status") && !complete {
            self.violations.push(format!("a response is not complete: {:?}", response.body));
        }
    }
}

/// Runs a trainer until the time is up.
async fn train(name: &'static str, mut trainer: TrainerStandin, until: Instant) -> TrainerStats {
    let began = Instant::now();
    let mut steps = 0;
    let mut violations = Vec::new();
    while Instant::now() < until {
        let Some(step) = trainer.step(LOT_TIMEOUT).await else {
            violations.push(format!("a trainer got no lot within {LOT_TIMEOUT:?}"));
            break;
        };
        steps += 1;
        let too_stale = step.samples.iter().filter(|s| s.label.staleness(trainer.version) > 2);
        if too_stale.count() > 0 {
            violations.push("a sample exceeds the staleness bound".to_owned());
        }
        // Time of a training step. The trainer's version follows the newest
        // version among its samples.
        tokio::time::sleep(Duration::from_millis(150)).await;
        let newest = trainer.sample_versions.iter().next_back().copied();
        trainer.version = trainer.version.max(newest.unwrap_or(1));
    }
    if trainer.sample_counts.values().any(|&times| times != 1) {
        violations.push("a sample was delivered twice".to_owned());
    }
    TrainerStats { name, steps, trainer, time: began.elapsed(), violations }
}

/// Stops all processes and returns how many exited with a failure.
async fn stop(mut processes: Vec<Process>) -> anyhow::Result<usize> {
    for process in &processes {
        process.terminate();
    }
    let mut unclean_exits = 0;
    for process in &mut processes {
        let status = process.wait(Duration::from_mins(1)).await;
        ensure!(status.is_some(), "a process doesn't stop");
        unclean_exits += usize::from(!status.is_some_and(|status| status.success()));
    }
    Ok(unclean_exits)
}

/// Prints the tables, and returns whether all guarantees held.
fn report(
    calls: &BTreeMap<&'static str, CallStats>,
    trainers: &[TrainerStats],
    targets: &Targets,
    unclean_exits: usize,
) -> bool {
    let mut violations: Vec<String> = Vec::new();
    let ms = |histogram: &Histogram<u64>, quantile| {
        let micros = u32::try_from(histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        f64::from(micros) / 1_000.0
    };
    println!("\n{:<22} {:>9} {:>8} {:>8}  refused", "callers", "answered", "p50 ms", "p99 ms");
    for (name, s) in calls {
        let (p50, p99) = (ms(&s.times_us, 0.5), ms(&s.times_us, 0.99));
        let refused =
            if s.refused.is_empty() { "none".to_owned() } else { format!("{:?}", s.refused) };
        println!("{name:<22} {:>9} {p50:>8.1} {p99:>8.1}  {refused}", s.answered);
        violations.extend(s.violations.iter().cloned());
    }
    println!(
        "\n{:<28} {:>6} {:>8} {:>7}  {:<20} versions",
        "trainers", "steps", "samples", "idle %", "staleness: samples"
    );
    for t in trainers {
        let idle = 100.0 * t.trainer.total_idle().as_secs_f64() / t.time.as_secs_f64();
        let staleness = format!("{:?}", t.trainer.staleness_counts);
        println!(
            "{:<28} {:>6} {:>8} {idle:>7.1}  {staleness:<20} {:?}",
            t.name,
            t.steps,
            t.trainer.sample_counts.len(),
            t.trainer.sample_versions
        );
        violations.extend(t.violations.iter().cloned());
    }
    let repeated = targets.pass_status.all_runs().values().filter(|&&runs| runs > 1).count();
    if repeated > 0 {
        violations.push(format!("{repeated} pass-status calls ran more than once"));
    }
    if unclean_exits > 0 {
        violations.push(format!("{unclean_exits} processes exited with a failure"));
    }
    println!();
    if violations.is_empty() {
        println!("no promise broke");
    }
    for line in &violations {
        println!("BROKEN: {line}");
    }
    violations.is_empty()
}
