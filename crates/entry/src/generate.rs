//! Generation for callers, continued on another engine after a failure or a
//! preemption.

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::time::Instant;

use async_trait::async_trait;
use cassia_clients::GenerateRequest;
use cassia_clients::GenerationEvent;
use cassia_clients::PlatformError;
use cassia_ids::Version;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_route::InFlight;
use cassia_route::TokenTimer;
use cassia_sample::LabelBuilder;

use crate::admission::Permit;
use crate::app::App;
use crate::call::Call;
use crate::call::GenerateBody;
use crate::response::Attempts;
use crate::response::CompleteResponse;
use crate::response::GenerateResponse;
use crate::response::target_error;

/// Length of the prompt prefix by which requests share an engine's cache.
const PREFIX_BYTES: usize = 256;
const DEFAULT_MAX_TOKENS: u32 = 64;

/// An admitted generation request.
#[derive(Debug)]
pub(crate) struct Generation {
    request: GenerateRequest,
    label_builder: LabelBuilder,
    affinity: u64,
    /// Held until the generation ends.
    _permit: Permit,
}

/// Receives the chunks of generated text as they arrive.
#[async_trait]
pub(crate) trait ChunkSink: Send {
    /// Receives a chunk; returns false if the caller has disconnected.
    async fn send(&mut self, text: &str, tokens: u32, version: Option<Version>) -> bool;
}

/// Ignores the chunks, for a response that is sent complete at the end.
struct NullSink;

#[async_trait]
impl ChunkSink for NullSink {
    async fn send(&mut self, _: &str, _: u32, _: Option<Version>) -> bool {
        true
    }
}

/// How an attempt at one engine ended.
enum AttemptOutcome {
    Complete,
    /// The engine gave the slot to another request; the generation continues
    /// on another engine.
    Preempted,
    CallerGone,
    Failed(PlatformError),
}

impl App {
    /// Serves a generation request with one complete response.
    pub(crate) async fn generate(&self, call: &Call) -> Result<CompleteResponse, ApiError> {
        let body = call.generate_body()?;
        let generation = self.start_generation(call, body).await?;
        let response = self.run_generation(call, generation, &mut NullSink).await?;
        Ok(CompleteResponse::json(&response))
    }

    /// Prepares a generation, and waits until the call is admitted.
    pub(crate) async fn start_generation(
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
        let permit = self.admit(call).await?;
        let label_builder = LabelBuilder::default();
        Ok(Generation { request, label_builder, affinity, _permit: permit })
    }

    /// Runs a generation to its end. When an engine fails or preempts it, it
    /// continues on another one.
    pub(crate) async fn run_generation(
        &self,
        call: &Call,
        mut generation: Generation,
        sink: &mut dyn ChunkSink,
    ) -> Result<GenerateResponse, ApiError> {
        let mut attempts = Attempts::default();
        loop {
            let in_flight = self
                .choose_target(call, Some(generation.affinity), attempts.last_failed.as_ref())
                .map_err(|e| attempts.correct_error(e))?;
            let e = match self.attempt(call, &in_flight, &mut generation, sink).await {
                AttemptOutcome::Complete => {
                    self.record_success(call, &in_flight);
                    break;
                }
                AttemptOutcome::Preempted => {
                    attempts.record_preemption();
                    continue;
                }
                AttemptOutcome::CallerGone => {
                    let kind = ApiErrorKind::CallerGone;
                    return Err(ApiError::unknown(kind, "answer", "the caller disconnected"));
                }
                AttemptOutcome::Failed(e) => e,
            };
            attempts.record_failure(&in_flight.target().info.id, &e);
            if !self.try_retry(call, &in_flight, &e, &attempts) {
                return Err(attempts.correct_error(target_error(&e, call.deadline)));
            }
        }
        let spans = generation.label_builder.finish().map(|label| label.spans).unwrap_or_default();
        let text = generation.request.generated_text;
        Ok(GenerateResponse { request_id: call.id.clone(), text, spans })
    }

    /// Generates on one engine, which continues the text of earlier attempts.
    async fn attempt(
        &self,
        call: &Call,
        in_flight: &InFlight,
        generation: &mut Generation,
        sink: &mut dyn ChunkSink,
    ) -> AttemptOutcome {
        let Generation { request, label_builder, .. } = generation;
        let addr = in_flight.target().info.addr;
        let mut timer = TokenTimer::default();
        let mut stream = match self.engine.generate(addr, request, call.deadline).await {
            Ok(stream) => stream,
            Err(e) => return AttemptOutcome::Failed(e),
        };
        loop {
            match stream.next(call.deadline).await {
                Ok(GenerationEvent::Tokens { text, count, version }) => {
                    timer.record_chunk(count, Instant::now());
                    label_builder.add_tokens(count, version);
                    request.generated_text.push_str(&text);
                    request.generated_tokens += count;
                    if !sink.send(&text, count, version).await {
                        return AttemptOutcome::CallerGone;
                    }
                }
                Ok(GenerationEvent::CacheHit { version }) => label_builder.add_cached(version),
                Ok(GenerationEvent::Preempted) => return AttemptOutcome::Preempted,
                Ok(GenerationEvent::Done) => {
                    let now = Instant::now();
                    let (tokens, took) = timer.measurement(now);
                    self.node.targets.load().record_token_time(
                        in_flight.target(),
                        tokens,
                        took,
                        now,
                    );
                    return AttemptOutcome::Complete;
                }
                Err(e) => return AttemptOutcome::Failed(e),
            }
        }
    }
}

/// Hashes the start of a prompt. Requests with the same hash prefer the same
/// engine.
fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    BuildHasherDefault::<DefaultHasher>::default().hash_one(prefix)
}
