//! The controller that starts samples and sees them through.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_platform::ErrorKind;
use cassia_platform::GenerateRequest;
use cassia_platform::GenerationEvent;
use cassia_platform::PlatformError;
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
use crate::keepers::Job;

/// How often the pump looks when nothing wakes it.
const EVERY: Duration = Duration::from_millis(100);
/// The longest that one sample may take.
const SAMPLE_LIMIT: Duration = Duration::from_mins(10);
/// Engines that one sample is resumed on at most.
const MOST_ATTEMPTS: u32 = 8;
/// Pause before the next attempt.
const PAUSE: Duration = Duration::from_millis(50);
const SCORE_TIMEOUT: Duration = Duration::from_secs(5);

/// How an attempt at one engine ended.
enum Attempt {
    Whole,
    Preempted,
    Failed(PlatformError),
    NotWanted,
}

/// Runs until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    loop {
        let _ = timeout(EVERY, app.keepers.wanted.notified()).await;
        if !app.starts_samples() {
            continue;
        }
        for (job, running) in app.keepers.jobs() {
            for start in app.keepers.start(&job.id, room_for(&app, &job, running)) {
                tokio::spawn(see_through(Arc::clone(&app), job.clone(), start));
            }
        }
    }
}

/// How many samples of a job may be at the engines at once.
fn room_for(app: &App, job: &Job, running: usize) -> usize {
    let kind = TargetKind::Engine { model: job.model.clone() };
    let slots = app.board.slots.load().get(&kind).copied().unwrap_or(0);
    let targets = app.board.targets.load();
    let engines = targets.of_kind(&kind).iter();
    let callers = engines.clone().map(|t| t.callers()).sum();
    let slow: u32 = engines.clone().filter(|t| t.is_slow()).map(|t| t.info.slots).sum();
    let samples = engines.map(|t| t.load().saturating_sub(t.callers())).sum();
    let own = u32::try_from(running).unwrap_or(u32::MAX);
    let slots = slots.saturating_sub(slow);
    let seen = Occupancy { slots, callers, samples, own };
    let room = sample_limit(seen, job.share_percent, job.idle_weight_percent);
    usize::try_from(room).unwrap_or(usize::MAX).saturating_sub(running)
}

async fn see_through(app: Arc<App>, job: Job, start: SampleTask) {
    let sample = generate(&app, &job, &start).await;
    if sample.is_none() {
        // A failure must not turn into a tight loop of new samples.
        sleep(PAUSE).await;
    }
    app.keepers.end(&job.id, &start, sample);
}

async fn generate(app: &App, job: &Job, start: &SampleTask) -> Option<Sample> {
    let deadline = Instant::now() + SAMPLE_LIMIT;
    let kind = TargetKind::Engine { model: job.model.clone() };
    let mut request = GenerateRequest {
        request_id: start.id.clone(),
        model: job.model.clone(),
        prompt: start.prompt_text.clone(),
        generated_text: String::new(),
        generated_tokens: 0,
        max_tokens: job.max_tokens,
        priority: job.priority,
    };
    let mut labeller = LabelBuilder::default();
    let mut failures = 0;
    while failures < MOST_ATTEMPTS && app.keepers.wants(&job.id, start) {
        let Some(used) = choose(app, &kind) else {
            failures += 1;
            sleep(PAUSE).await;
            continue;
        };
        match attempt(app, job, start, &used, &mut request, &mut labeller, deadline).await {
            Attempt::Whole => {
                app.board.targets.load().record_success(used.target());
                let label = labeller.finish().ok()?;
                return Some(score(app, start, request.generated_text, label).await);
            }
            Attempt::Preempted => sleep(PAUSE).await,
            Attempt::NotWanted => return None,
            Attempt::Failed(e) => {
                failures += 1;
                let targets = app.board.targets.load();
                if e.kind == ErrorKind::Connect {
                    targets.set_reachable(used.target(), false);
                } else {
                    targets.record_failure(used.target(), Instant::now());
                }
                let (peer, id) = (e.peer.as_str(), start.id.as_str());
                log::info!(event = "sample_moved", step = e.step, peer, request_id = id; "{e}");
            }
        }
    }
    None
}

fn choose(app: &App, kind: &TargetKind) -> Option<InFlight> {
    let targets = app.board.targets.load();
    match targets.choose(&TargetQuery::new(kind), &mut rand::rng(), Instant::now()) {
        Choice::Target(target) => target.start_request(),
        Choice::NoneOpen => None,
    }
}

async fn attempt(
    app: &App,
    job: &Job,
    start: &SampleTask,
    used: &InFlight,
    request: &mut GenerateRequest,
    labeller: &mut LabelBuilder,
    deadline: Instant,
) -> Attempt {
    let at = used.target().info.addr;
    let mut pace = TokenTimer::default();
    let mut pieces = match app.engine.generate(at, request, deadline).await {
        Ok(pieces) => pieces,
        Err(e) => return Attempt::Failed(e),
    };
    loop {
        match pieces.next(deadline).await {
            Ok(GenerationEvent::Tokens { text, count, version }) => {
                pace.record_chunk(count, Instant::now());
                labeller.add_tokens(count, version);
                request.generated_text.push_str(&text);
                request.generated_tokens += count;
            }
            Ok(GenerationEvent::CacheHit { version }) => labeller.add_cached(version),
            Ok(GenerationEvent::Preempted) => return Attempt::Preempted,
            Ok(GenerationEvent::Done) => {
                let now = Instant::now();
                let (tokens, took) = pace.measurement(now);
                app.board.targets.load().record_token_time(used.target(), tokens, took, now);
                return Attempt::Whole;
            }
            Err(e) => return Attempt::Failed(e),
        }
        if !app.keepers.wants(&job.id, start) {
            return Attempt::NotWanted;
        }
    }
}

async fn score(app: &App, start: &SampleTask, text: String, label: Label) -> Sample {
    let mut score = None;
    if let Some(scorer) = &app.scorer {
        let deadline = Instant::now() + SCORE_TIMEOUT;
        score = scorer.score(&start.prompt_text, &text, deadline).await.ok();
    }
    Sample { id: start.id.clone(), prompt: start.prompt, text, label, score }
}
