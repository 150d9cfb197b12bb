//! The demonstration: the main job on the stand-ins, end to end.
//!
//! It starts the programs as processes, publishes both users' contracts,
//! sends callers' requests beside trainers' pulls and weight changes, and ends
//! with a table. The exit code is not 0 if a promise broke.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::ensure;
use cassia_standin::EngineStandin;
use cassia_standin::ServiceStandin;
use cassia_standin::TrainerStandin;
use cassia_trials::Caller;
use cassia_trials::LESERBILD_KEY;
use cassia_trials::Process;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::leserbild;
use cassia_trials::savanna;
use hdrhistogram::Histogram;
use serde_json::json;

const LOAD: Duration = Duration::from_secs(15);
const LOT_PATIENCE: Duration = Duration::from_secs(30);
const HOSTS: usize = 3;
const CALLERS: usize = 4;
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// What one customer's callers saw on one route.
#[derive(Debug)]
struct Seen {
    answered: u64,
    refused: BTreeMap<String, u64>,
    micros: Histogram<u64>,
    broken: Vec<String>,
}

/// What one trainer saw.
#[derive(Debug)]
struct Trained {
    name: &'static str,
    steps: u64,
    trainer: TrainerStandin,
    time: Duration,
    broken: Vec<String>,
}

/// The stand-ins of the targets, kept alive for the time of the job.
struct Targets {
    engines: Vec<EngineStandin>,
    status: ServiceStandin,
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

async fn run() -> anyhow::Result<bool> {
    println!("starting the platform's stand-ins");
    let trial = TestEnv::start().await?;
    let targets = start_targets(&trial).await?;
    println!("starting {HOSTS} hosts with an entry, a rollout and a control process each");
    let mut hosts = Vec::new();
    for i in 0..HOSTS {
        let host = format!("host-{i}");
        hosts.push(trial.start_entry(&host).await?);
        hosts.push(trial.start_rollout(&host).await?);
        hosts.push(trial.start_control(&host).await?);
    }
    println!("publishing the contracts of leserbild and savanna");
    for contract in [leserbild(), savanna()] {
        let revision = trial.publish(&contract, 0).await?;
        for process in &hosts {
            trial.wait_until_in_force(process, &contract.customer, revision).await?;
        }
    }
    let listed = targets.engines.len() as u64 + 1;
    for process in &hosts {
        trial.wait_for_view(process, listed, 3 * HOSTS as u64 - 1).await?;
    }
    println!("serving callers and trainers for {} s", LOAD.as_secs());
    let (seen, trained) = serve(&trial, &hosts).await?;
    println!("stopping every process as planned");
    let cut_off = stop(hosts).await?;
    let broken = report(&seen, &trained, &targets, cut_off);
    Ok(!broken)
}

async fn start_targets(trial: &TestEnv) -> anyhow::Result<Targets> {
    let mut engines = Vec::new();
    for (model, count) in [("caption", 3), ("intake", 1), ("suggestion", 3), ("renewals", 2)] {
        for i in 0..count {
            let spec = trial.engine_spec(model);
            engines.push(trial.start_engine(&format!("{model}-{i}"), spec).await?);
        }
        trial.weights.publish(model, 1);
    }
    let status = trial.start_service("status-1", "pass-status").await?;
    Ok(Targets { engines, status })
}

async fn serve(
    trial: &TestEnv,
    hosts: &[Process],
) -> anyhow::Result<(BTreeMap<&'static str, Seen>, Vec<Trained>)> {
    let until = Instant::now() + LOAD;
    let entries: Vec<_> = hosts.iter().step_by(3).map(|p| p.listen).collect();
    let rollouts: Vec<_> = hosts.iter().skip(1).step_by(3).map(|p| p.listen).collect();
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
    publish_weights(trial, until).await;
    let mut seen = BTreeMap::new();
    for (name, call) in callers {
        seen.insert(name, call.await??);
    }
    let mut trained = Vec::new();
    for train in trainers {
        trained.push(train.await?);
    }
    Ok((seen, trained))
}

/// New weights every three seconds.
async fn publish_weights(trial: &TestEnv, until: Instant) {
    for version in 2.. {
        tokio::time::sleep(Duration::from_secs(3)).await;
        if Instant::now() >= until {
            return;
        }
        for model in ["caption", "suggestion"] {
            trial.weights.publish(model, version);
        }
        println!("  weights {version} published");
    }
}

async fn call(
    key: &'static str,
    path: &'static str,
    entries: Vec<std::net::SocketAddr>,
    until: Instant,
) -> anyhow::Result<Seen> {
    let mut seen = Seen {
        answered: 0,
        refused: BTreeMap::new(),
        micros: Histogram::new_with_bounds(1, 60_000_000, 3)?,
        broken: Vec::new(),
    };
    let caller = Caller::new(key);
    let mut n = 0_usize;
    while Instant::now() < until {
        let at_once = (0..CALLERS).map(|i| {
            let (caller, at) = (caller.clone(), entries[(n + i) % entries.len()]);
            let key = format!("{path}-{n}-{i}");
            tokio::spawn(async move {
                let body = json!({"prompt": key, "max_tokens": 12});
                let began = Instant::now();
                let reply = if path.ends_with("pass-status") {
                    let ticket = caller.fetch_ticket(at, path).await;
                    caller.redeem(at, path, &ticket, &json!({"key": key})).await
                } else {
                    caller.post(at, path, &[], &body).await
                };
                (reply, began.elapsed())
            })
        });
        for one in at_once.collect::<Vec<_>>() {
            let (reply, took) = one.await?;
            seen.take(path, &reply, took);
        }
        n += 1;
        tokio::time::sleep(CALL_PAUSE).await;
    }
    Ok(seen)
}

impl Seen {
    fn take(&mut self, path: &str, reply: &cassia_trials::JsonResponse, took: Duration) {
        if reply.status != 200 {
            *self.refused.entry(reply.text("kind").to_owned()).or_default() += 1;
            return;
        }
        self.answered += 1;
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.micros.saturating_record(micros);
        let whole = reply.text("text").split_whitespace().count() == 12;
        if !path.ends_with("pass-status") && !whole {
            self.broken.push(format!("an answer is not whole: {:?}", reply.body));
        }
    }
}

async fn train(name: &'static str, mut trainer: TrainerStandin, until: Instant) -> Trained {
    let began = Instant::now();
    let mut steps = 0;
    let mut broken = Vec::new();
    while Instant::now() < until {
        let Some(step) = trainer.step(LOT_PATIENCE).await else {
            broken.push("a trainer stood still".to_owned());
            break;
        };
        steps += 1;
        let stale = step.samples.iter().filter(|s| s.label.staleness(trainer.version) > 2);
        if stale.count() > 0 {
            broken.push("a sample is older than the bound".to_owned());
        }
        // The trainer trains; its version follows what the samples show.
        tokio::time::sleep(Duration::from_millis(150)).await;
        let newest = trainer.sample_versions.iter().next_back().copied();
        trainer.version = trainer.version.max(newest.unwrap_or(1));
    }
    if trainer.sample_counts.values().any(|&times| times != 1) {
        broken.push("a sample was delivered twice".to_owned());
    }
    Trained { name, steps, trainer, time: began.elapsed(), broken }
}

/// Counts the processes that did not end as planned.
async fn stop(mut hosts: Vec<Process>) -> anyhow::Result<usize> {
    for process in &hosts {
        process.terminate();
    }
    let mut cut_off = 0;
    for process in &mut hosts {
        let ended = process.wait(Duration::from_mins(1)).await;
        ensure!(ended.is_some(), "a process doesn't end");
        cut_off += usize::from(!ended.is_some_and(|status| status.success()));
    }
    Ok(cut_off)
}

/// Prints the table, and says whether a promise broke.
fn report(
    seen: &BTreeMap<&'static str, Seen>,
    trained: &[Trained],
    targets: &Targets,
    cut_off: usize,
) -> bool {
    let mut broken: Vec<String> = Vec::new();
    let ms = |histogram: &Histogram<u64>, quantile| {
        let micros = u32::try_from(histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        f64::from(micros) / 1_000.0
    };
    println!("\n{:<22} {:>9} {:>8} {:>8}  refused", "callers", "answered", "p50 ms", "p99 ms");
    for (name, s) in seen {
        let (p50, p99) = (ms(&s.micros, 0.5), ms(&s.micros, 0.99));
        let refused =
            if s.refused.is_empty() { "none".to_owned() } else { format!("{:?}", s.refused) };
        println!("{name:<22} {:>9} {p50:>8.1} {p99:>8.1}  {refused}", s.answered);
        broken.extend(s.broken.iter().cloned());
    }
    println!(
        "\n{:<28} {:>6} {:>8} {:>7}  {:<20} versions",
        "trainers", "steps", "samples", "idle %", "staleness: samples"
    );
    for t in trained {
        let idle = 100.0 * t.trainer.total_idle().as_secs_f64() / t.time.as_secs_f64();
        let staleness = format!("{:?}", t.trainer.staleness_counts);
        println!(
            "{:<28} {:>6} {:>8} {idle:>7.1}  {staleness:<20} {:?}",
            t.name,
            t.steps,
            t.trainer.sample_counts.len(),
            t.trainer.sample_versions
        );
        broken.extend(t.broken.iter().cloned());
    }
    let twice = targets.status.all_runs().values().filter(|&&runs| runs > 1).count();
    if twice > 0 {
        broken.push(format!("{twice} pass-status checks ran twice"));
    }
    if cut_off > 0 {
        broken.push(format!("{cut_off} processes did not end as planned"));
    }
    println!();
    if broken.is_empty() {
        println!("no promise broke");
    }
    for line in &broken {
        println!("BROKEN: {line}");
    }
    !broken.is_empty()
}
