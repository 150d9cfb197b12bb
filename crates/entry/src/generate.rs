//! Generation for callers, over as many engines as it takes.

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::time::Instant;

use async_trait::async_trait;
use cassia_ids::Version;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_platform::GenerateRequest;
use cassia_platform::GenerationEvent;
use cassia_platform::PlatformError;
use cassia_route::InFlight;
use cassia_route::TokenTimer;
use cassia_sample::LabelBuilder;

use crate::answer::Attempts;
use crate::answer::Finished;
use crate::answer::Generated;
use crate::answer::target_failed;
use crate::app::App;
use crate::call::Call;
use crate::call::GenerateBody;
use crate::gates::Pass;

/// Bytes of the prompt that requests share when they share a cache entry.
const PREFIX_BYTES: usize = 256;
const DEFAULT_MAX_TOKENS: u32 = 64;

/// A request to generate that was let through the gate.
#[derive(Debug)]
pub(crate) struct Generation {
    request: GenerateRequest,
    labeller: LabelBuilder,
    affinity: u64,
    /// Holds the slot until the end.
    _pass: Pass,
}

/// Takes the pieces of an answer as they come.
#[async_trait]
pub(crate) trait Sink: Send {
    /// Takes a piece; false if nobody wants the rest.
    async fn piece(&mut self, text: &str, tokens: u32, version: Option<Version>) -> bool;
}

/// Takes no piece by itself: the whole answer is taken at the end.
struct Collected;

#[async_trait]
impl Sink for Collected {
    async fn piece(&mut self, _: &str, _: u32, _: Option<Version>) -> bool {
        true
    }
}

/// How an attempt at one engine ended.
enum Attempt {
    Whole,
    /// The engine gave our slot away: go on elsewhere.
    Preempted,
    /// Nobody waits for the answer any more.
    NotWanted,
    Failed(PlatformError),
}

impl App {
    pub(crate) async fn generate(&self, call: &Call) -> Result<Finished, ApiError> {
        let body = call.generate_body()?;
        let generation = self.begin(call, body).await?;
        let generated = self.run(call, generation, &mut Collected).await?;
        Ok(Finished::json(&generated))
    }

    /// Waits at the gate.
    pub(crate) async fn begin(
        &self,
        call: &Call,
        body: GenerateBody,
    ) -> Result<Generation, ApiError> {
        let affinity = prefix_hash(&body.prompt);
        let request = GenerateRequest {
            request_id: call.id.clone(),
            model: call.model(),
            prompt: body.prompt,
            generated_text: String::new(),
            generated_tokens: 0,
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: call.route.class.engine_priority(call.contract.priority),
        };
        let pass = self.pass(call).await?;
        Ok(Generation { request, labeller: LabelBuilder::default(), affinity, _pass: pass })
    }

    /// Sees a request through, at another engine where one fails.
    pub(crate) async fn run(
        &self,
        call: &Call,
        mut generation: Generation,
        sink: &mut dyn Sink,
    ) -> Result<Generated, ApiError> {
        let mut attempts = Attempts::default();
        loop {
            let used = self
                .choose(call, Some(generation.affinity), attempts.failed_at.as_ref())
                .map_err(|e| attempts.error(e))?;
            let e = match self.attempt(call, &used, &mut generation, sink).await {
                Attempt::Whole => {
                    self.succeeded(call, &used);
                    break;
                }
                Attempt::Preempted => {
                    attempts.preempted();
                    continue;
                }
                Attempt::NotWanted => {
                    let message = "the caller went away";
                    let kind = ApiErrorKind::CallerGone;
                    return Err(ApiError::unknown(kind, "answer", message));
                }
                Attempt::Failed(e) => e,
            };
            attempts.failed(&used.target().info.id, &e);
            if !self.may_retry(call, &used, &e, &attempts) {
                return Err(attempts.error(target_failed(&e, call.deadline)));
            }
        }
        let spans = generation.labeller.finish().map(|label| label.spans).unwrap_or_default();
        let text = generation.request.generated_text;
        Ok(Generated { request_id: call.id.clone(), text, spans })
    }

    /// Collects one engine's pieces; what it made counts for the next engine.
    async fn attempt(
        &self,
        call: &Call,
        used: &InFlight,
        generation: &mut Generation,
        sink: &mut dyn Sink,
    ) -> Attempt {
        let Generation { request, labeller, .. } = generation;
        let at = used.target().info.addr;
        let mut pace = TokenTimer::default();
        let mut pieces = match self.engine.generate(at, request, call.deadline).await {
            Ok(pieces) => pieces,
            Err(e) => return Attempt::Failed(e),
        };
        loop {
            match pieces.next(call.deadline).await {
                Ok(GenerationEvent::Tokens { text, count, version }) => {
                    pace.record_chunk(count, Instant::now());
                    labeller.add_tokens(count, version);
                    request.generated_text.push_str(&text);
                    request.generated_tokens += count;
                    if !sink.piece(&text, count, version).await {
                        return Attempt::NotWanted;
                    }
                }
                Ok(GenerationEvent::CacheHit { version }) => labeller.add_cached(version),
                Ok(GenerationEvent::Preempted) => return Attempt::Preempted,
                Ok(GenerationEvent::Done) => {
                    let now = Instant::now();
                    let (tokens, took) = pace.measurement(now);
                    self.board.targets.load().record_token_time(used.target(), tokens, took, now);
                    return Attempt::Whole;
                }
                Err(e) => return Attempt::Failed(e),
            }
        }
    }
}

/// Reads the body of a request to generate.
fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    BuildHasherDefault::<DefaultHasher>::default().hash_one(prefix)
}
