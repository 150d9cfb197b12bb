//! The generator: the controller that starts samples and runs each to its end.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::ErrorKind;
use cassia_clients::GenerateRequest;
use cassia_clients::GenerationEvent;
use cassia_clients::PlatformError;
use cassia_route::Choice;
use cassia_route::InFlight;
use cassia_route::Occupancy;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use cassia_route::TokenTimer;
use cassia_route::sample_limit;
use cassia_sample::Label;
use cassia_sample::LabelBuilder;
use cassia_sample::Sample;
use cassia_sample::SampleTask;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::app::App;
use crate::buffers::SampleParams;

/// Interval between checks for new samples if there is no notification.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for one sample, over all its attempts.
const SAMPLE_TIMEOUT: Duration = Duration::from_mins(10);
/// Maximum number of failed attempts of one sample, including those that found
/// no engine.
const MAX_FAILURES: u32 = 8;
/// Delay after a preemption or a failed sample, or if no engine is open.
const RETRY_DELAY: Duration = Duration::from_millis(50);
const SCORE_TIMEOUT: Duration = Duration::from_secs(5);

/// How an attempt at one engine ended.
enum AttemptOutcome {
    Complete,
    /// The engine gave the slot to another request; the generation continues
    /// on another engine.
    Preempted,
    Failed(PlatformError),
    /// The buffer no longer expects the sample.
    Unexpected,
}

/// Starts samples until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    loop {
        let _ = timeout(INTERVAL, app.buffers.tasks_available.notified()).await;
        if !app.starts_samples() {
            continue;
        }
        for (params, running) in app.buffers.params() {
            let max = max_new_samples(&app, &params, running);
            for task in app.buffers.next_tasks(&params.key, max) {
                tokio::spawn(run_task(Arc::clone(&app), params.clone(), task));
            }
        }
    }
}

/// Returns how many samples of a buffer may be started in addition to the
/// running ones.
fn max_new_samples(app: &App, params: &SampleParams, running: usize) -> usize {
    let kind = TargetKind::Engine { model: params.model.clone() };
    let slots = app.node.slots.load().get(&kind).copied().unwrap_or(0);
    let targets = app.node.targets.load();
    let engines = targets.of_kind(&kind).iter();
    let callers = engines.clone().map(|t| t.callers()).sum();
    let slow_slots: u32 = engines.clone().filter(|t| t.is_slow()).map(|t| t.info.slots).sum();
    let samples = engines.map(|t| t.load().saturating_sub(t.callers())).sum();
    let own = u32::try_from(running).unwrap_or(u32::MAX);
    let slots = slots.saturating_sub(slow_slots);
    let occupancy = Occupancy { slots, callers, samples, own };
    let limit = sample_limit(occupancy, params.share_percent, params.idle_weight_percent);
    usize::try_from(limit).unwrap_or(usize::MAX).saturating_sub(running)
}

async fn run_task(app: Arc<App>, params: SampleParams, task: SampleTask) {
    let sample = generate(&app, &params, &task).await;
    if sample.is_none() {
        // Prevents a tight loop of failing samples.
        sleep(RETRY_DELAY).await;
    }
    app.buffers.record_end(&params.key, &task, sample);
}

/// Generates a sample; returns `None` if it failed or is no longer expected.
async fn generate(app: &App, params: &SampleParams, task: &SampleTask) -> Option<Sample> {
    let deadline = Instant::now() + SAMPLE_TIMEOUT;
    let kind = TargetKind::Engine { model: params.model.clone() };
    let mut req = GenerateRequest {
        request_id: task.id.clone(),
        model: params.model.clone(),
        prompt: task.prompt_text.clone(),
        generated_text: String::new(),
        generated_tokens: 0,
        max_tokens: params.max_tokens,
        priority: params.priority,
    };
    let mut label_builder = LabelBuilder::default();
    let mut failures = 0;
    while failures < MAX_FAILURES && app.buffers.expects(&params.key, task) {
        let Some(in_flight) = choose_engine(app, &kind) else {
            failures += 1;
            sleep(RETRY_DELAY).await;
            continue;
        };
        match attempt(app, params, task, &in_flight, &mut req, &mut label_builder, deadline).await {
            AttemptOutcome::Complete => {
                app.node.targets.load().record_success(in_flight.target());
                let label = label_builder.finish().ok()?;
                return Some(build_sample(app, task, req.generated_text, label).await);
            }
            AttemptOutcome::Preempted => sleep(RETRY_DELAY).await,
            AttemptOutcome::Unexpected => return None,
            AttemptOutcome::Failed(e) => {
                failures += 1;
                let targets = app.node.targets.load();
                if e.kind == ErrorKind::Connect {
                    targets.set_reachable(in_flight.target(), false);
                } else {
                    targets.record_failure(in_flight.target(), Instant::now());
                }
                let (peer, id) = (e.peer.as_str(), task.id.as_str());
                log::info!(event = "sample_moved", step = e.step, peer, request_id = id; "{e}");
            }
        }
    }
    None
}

/// Chooses an engine and counts a request in flight there.
fn choose_engine(app: &App, kind: &TargetKind) -> Option<InFlight> {
    let targets = app.node.targets.load();
    match targets.choose(&TargetQuery::new(kind), &mut rand::rng(), Instant::now()) {
        Choice::Target(target) => target.start_request(),
        Choice::NoneOpen | Choice::RateLimited => None,
    }
}

/// Generates on one engine, which continues the text of earlier attempts.
async fn attempt(
    app: &App,
    params: &SampleParams,
    task: &SampleTask,
    in_flight: &InFlight,
    req: &mut GenerateRequest,
    label_builder: &mut LabelBuilder,
    deadline: Instant,
) -> AttemptOutcome {
    let addr = in_flight.target().info.addr;
    let mut timer = TokenTimer::default();
    let mut stream = match app.engine.generate(addr, req, deadline).await {
        Ok(stream) => stream,
        Err(e) => return AttemptOutcome::Failed(e),
    };
    loop {
        match stream.next(deadline).await {
            Ok(GenerationEvent::Tokens { text, count, version }) => {
                timer.record_chunk(count, Instant::now());
                label_builder.add_tokens(count, version);
                req.generated_text.push_str(&text);
                req.generated_tokens += count;
            }
            Ok(GenerationEvent::CacheHit { version }) => label_builder.add_cached(version),
            Ok(GenerationEvent::Preempted) => return AttemptOutcome::Preempted,
            Ok(GenerationEvent::Done) => {
                let now = Instant::now();
                let (tokens, took) = timer.measurement(now);
                app.node.targets.load().record_token_time(in_flight.target(), tokens, took, now);
                return AttemptOutcome::Complete;
            }
            Err(e) => return AttemptOutcome::Failed(e),
        }
        if !app.buffers.expects(&params.key, task) {
            return AttemptOutcome::Unexpected;
        }
    }
}

/// Builds the sample, with a score if there is a scorer and it responds.
async fn build_sample(app: &App, task: &SampleTask, text: String, label: Label) -> Sample {
    let mut score = None;
    if let Some(scorer) = &app.scorer {
        let deadline = Instant::now() + SCORE_TIMEOUT;
        score = scorer.score(&task.prompt_text, &text, deadline).await.ok();
    }
    Sample { id: task.id.clone(), prompt: task.prompt, text, label, score }
}
