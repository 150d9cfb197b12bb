//! Generation for callers, over as many engines as it takes.

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::time::Instant;

use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_platform::Generate;
use cassia_platform::Piece;
use cassia_platform::PlatformError;
use cassia_route::Pace;
use cassia_route::Use;
use cassia_sample::Labeller;
use serde::Deserialize;
use smol_str::SmolStr;

use crate::answer::Attempts;
use crate::answer::Finished;
use crate::answer::Generated;
use crate::answer::target_failed;
use crate::app::App;
use crate::app::Call;

/// Bytes of the prompt that requests share when they share a cache entry.
const PREFIX_BYTES: usize = 256;
const DEFAULT_MAX_TOKENS: u32 = 64;

/// The body of a request to generate.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerateBody {
    prompt: SmolStr,
    max_tokens: Option<u32>,
}

/// How an attempt at one engine ended.
enum Attempt {
    Whole,
    /// The engine gave our slot away: go on elsewhere.
    Preempted,
    Failed(PlatformError),
}

impl App {
    pub(crate) async fn generate(&self, call: &Call) -> Result<Finished, ApiError> {
        let body: GenerateBody = serde_json::from_slice(&call.body).map_err(|e| {
            ApiError::not_run(ApiErrorKind::BadRequest, "parse body", e.to_string())
        })?;
        let mut request = Generate {
            request_id: call.id.clone(),
            model: call.model(),
            prompt: body.prompt,
            so_far: String::new(),
            tokens_so_far: 0,
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: call.route.class.engine_priority(call.contract.priority),
        };
        let _pass = self.pass(call).await?;
        let affinity = Some(prefix_hash(&request.prompt));
        let mut labeller = Labeller::default();
        let mut attempts = Attempts::default();
        loop {
            let used = self
                .choose(call, affinity, attempts.failed_at.as_ref())
                .map_err(|e| attempts.error(e))?;
            let e = match self.attempt(call, &used, &mut request, &mut labeller).await {
                Attempt::Whole => {
                    self.succeeded(call, &used);
                    break;
                }
                Attempt::Preempted => {
                    attempts.preempted();
                    continue;
                }
                Attempt::Failed(e) => e,
            };
            attempts.failed(&used.target().listed.id, &e);
            if !self.may_retry(call, &used, &e, &attempts) {
                return Err(attempts.error(target_failed(&e, call.deadline)));
            }
        }
        let spans = labeller.finish().map(|label| label.spans).unwrap_or_default();
        let request_id = call.id.clone();
        Ok(Finished::json(&Generated { request_id, text: request.so_far, spans }))
    }

    /// Collects one engine's pieces; what it made counts for the next engine.
    async fn attempt(
        &self,
        call: &Call,
        used: &Use,
        request: &mut Generate,
        labeller: &mut Labeller,
    ) -> Attempt {
        let at = used.target().listed.addr;
        let mut pace = Pace::default();
        let mut pieces = match self.engine.generate(at, request, call.deadline).await {
            Ok(pieces) => pieces,
            Err(e) => return Attempt::Failed(e),
        };
        loop {
            match pieces.next(call.deadline).await {
                Ok(Piece::Tokens { text, count, version }) => {
                    pace.piece(count, Instant::now());
                    labeller.tokens(count, version);
                    request.so_far.push_str(&text);
                    request.tokens_so_far += count;
                }
                Ok(Piece::Cached { version }) => labeller.cached(version),
                Ok(Piece::Preempted) => return Attempt::Preempted,
                Ok(Piece::Done) => {
                    let now = Instant::now();
                    let (tokens, took) = pace.measured(now);
                    self.board.targets.load().paced(used.target(), tokens, took, now);
                    return Attempt::Whole;
                }
                Err(e) => return Attempt::Failed(e),
            }
        }
    }
}

fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    BuildHasherDefault::<DefaultHasher>::default().hash_one(prefix)
}
