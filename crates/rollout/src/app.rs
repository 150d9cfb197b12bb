//! What the rollout program works on, and a pull's way through it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use cassia_contract::Contract;
use cassia_ids::HostId;
use cassia_ids::Version;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_node::Ask;
use cassia_node::Board;
use cassia_node::Dump;
use cassia_node::LinkHandler;
use cassia_node::PullAsk;
use cassia_node::Reply;
use cassia_node::Served;
use cassia_node::ask;
use cassia_platform::Engine;
use cassia_platform::HttpPlatform;
use cassia_platform::Scorer;
use cassia_route::highest;
use cassia_sample::Cursor;
use cassia_sample::Pull;
use cassia_sample::Pulled;
use cassia_sample::Sample;
use dropshot::HttpResponseError;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use tokio::time::timeout_at;

use crate::keepers::Job;
use crate::keepers::KeeperId;
use crate::keepers::SharedKeepers;

/// The longest that a pull waits for its lot, in milliseconds.
const MOST_WAIT_MS: u64 = 30_000;
/// More than a pull's wait, for its way to another process and back.
const FORWARD_MARGIN: Duration = Duration::from_secs(2);
/// When a trainer is asked back whose lot isn't whole.
const RETURN_AFTER: Duration = Duration::from_millis(100);
const DEFAULT_MAX_TOKENS: u32 = 256;

/// What the rollout program works on.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) board: Arc<Board>,
    pub(crate) engine: Arc<dyn Engine>,
    pub(crate) scorer: Option<Arc<dyn Scorer>>,
    pub(crate) keepers: SharedKeepers,
}

/// A trainer's request for its next lot.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct PullBody {
    /// The cursor of the trainer's checkpoint; none at the beginning of a run.
    cursor: Option<String>,
    /// The version that the trainer is at.
    version: Version,
    /// The prompts from the cursor on. Those past the lot may be generated
    /// ahead, as far as the contract's staleness bound lets them.
    prompts: Vec<String>,
    /// The most tokens of one sample.
    max_tokens: Option<u32>,
    /// How long to wait for the lot, in milliseconds.
    wait_ms: Option<u64>,
}

/// A lot.
#[derive(Debug, JsonSchema, Serialize)]
pub(crate) struct LotBody {
    /// The samples, group by group in the order of their prompts.
    samples: Vec<Sample>,
    /// To be stored with the trainer's checkpoint once the lot is trained on,
    /// and shown with its next pull.
    cursor: String,
}

impl App {
    pub(crate) fn new(board: Arc<Board>, platform: Arc<HttpPlatform>) -> Self {
        let scorer = platform.has_scorer().then(|| Arc::clone(&platform) as _);
        Self { board, engine: platform, scorer, keepers: Arc::default() }
    }

    /// Serves a pull here, or at the process that keeps the trainer's samples.
    ///
    /// All live processes agree on that one as far as their views do. Where
    /// they don't, samples are generated twice, and the trainer's cursor still
    /// takes each lot only once.
    pub(crate) async fn pull(
        &self,
        contract: &Contract,
        trainer: &str,
        body: &[u8],
    ) -> Result<Served, ApiError> {
        let pull = parse(body)?;
        if let Some(keeper) = self.keeper_elsewhere(&contract.customer, trainer) {
            let question = PullAsk {
                customer: contract.customer.to_string(),
                trainer: trainer.to_owned(),
                body: body.to_vec(),
            };
            let deadline = Instant::now() + wait_of(&pull) + FORWARD_MARGIN;
            match ask("forward pull", keeper, Ask::Pull(question), deadline).await {
                Ok(Reply::Served(served)) => return Ok(served),
                Ok(Reply::Config(_)) => {}
                Err(e) => {
                    let peer = e.peer.as_str();
                    log::warn!(event = "keeper_unreachable", step = e.step, peer; "{e}");
                }
            }
        }
        self.pull_here(contract, trainer, pull).await
    }

    fn keeper_elsewhere(&self, customer: &str, trainer: &str) -> Option<std::net::SocketAddr> {
        let peers = self.board.peers.load();
        let suffix = format!("/{}", self.board.role);
        let mine = &self.board.id;
        let all: Vec<HostId> = peers
            .iter()
            .filter(|p| p.id.ends_with(&suffix))
            .map(|p| p.id.clone())
            .chain([mine.clone()])
            .collect();
        let keeper = highest(&format!("{customer}/{trainer}"), &all)?;
        // One that stops hands its trainers on: it is not asked any more.
        peers.iter().find(|p| p.id == *keeper).map(|p| p.addr)
    }

    async fn pull_here(
        &self,
        contract: &Contract,
        trainer: &str,
        body: PullBody,
    ) -> Result<Served, ApiError> {
        let Some(trainer) = contract.trainer(trainer) else {
            let message = format!("the contract has no trainer {trainer:?}");
            return Err(ApiError::not_run(ApiErrorKind::NotFound, "find trainer", message));
        };
        let deadline = Instant::now() + wait_of(&body);
        let job = Job {
            id: KeeperId { customer: contract.customer.clone(), trainer: trainer.name.clone() },
            model: trainer.model.clone(),
            priority: cassia_contract::Class::Rollout.engine_priority(contract.priority),
            share_percent: contract.share_percent,
            idle_weight_percent: contract.idle_weight_percent,
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        };
        let pull = lower(body)?;
        loop {
            let finished = self.keepers.finished.notified();
            match self.keepers.pull(self.board.boot, contract, job.clone(), &pull) {
                Pulled::Lot(lot) => {
                    let cursor = lot.cursor.to_string();
                    let body = LotBody { samples: lot.samples, cursor };
                    let body = serde_json::to_vec(&body).unwrap_or_default();
                    return Ok(Served { status: 200, body });
                }
                Pulled::FewPrompts { needed } => {
                    let message = format!("a lot needs {needed} prompts");
                    let kind = ApiErrorKind::BadRequest;
                    return Err(ApiError::not_run(kind, "pull", message));
                }
                Pulled::Wait { missing } => {
                    let stops = self.board.is_stopping();
                    if stops || timeout_at(deadline.into(), finished).await.is_err() {
                        let message = format!("{missing} samples are missing");
                        let e = ApiError::not_run(ApiErrorKind::LotNotReady, "pull", message);
                        return Err(e.with_return_after(RETURN_AFTER));
                    }
                }
            }
        }
    }
}

fn wait_of(body: &PullBody) -> Duration {
    Duration::from_millis(body.wait_ms.unwrap_or(0).min(MOST_WAIT_MS))
}

fn parse(body: &[u8]) -> Result<PullBody, ApiError> {
    serde_json::from_slice(body)
        .map_err(|e| ApiError::not_run(ApiErrorKind::BadRequest, "parse pull", e.to_string()))
}

fn lower(body: PullBody) -> Result<Pull, ApiError> {
    let cursor = match body.cursor {
        None => Cursor::default(),
        Some(text) => text.parse().map_err(|_| {
            ApiError::not_run(ApiErrorKind::BadCursor, "parse cursor", "not a cursor of ours")
        })?,
    };
    let prompts = body.prompts.into_iter().map(SmolStr::from).collect();
    Ok(Pull { cursor, version: body.version, prompts })
}

#[async_trait]
impl LinkHandler for App {
    async fn answer(&self, ask: Ask) -> Option<Reply> {
        let Ask::Pull(PullAsk { customer, trainer, body }) = ask else {
            return None;
        };
        let contract = self.board.contract(&customer);
        let served = match contract {
            Some(contract) => match parse(&body) {
                Ok(pull) => self.pull_here(&contract, &trainer, pull).await,
                Err(e) => Err(e),
            },
            None => Err(ApiError::not_run(ApiErrorKind::NotFound, "pull", "no contract")),
        };
        Some(Reply::Served(served.unwrap_or_else(|e| failure(&e))))
    }
}

/// Gives the body and status of an error for the caller.
pub(crate) fn failure(e: &ApiError) -> Served {
    let body = serde_json::to_vec(e).unwrap_or_default();
    Served { status: e.status_code().as_u16().into(), body }
}

impl Dump for App {
    fn dump(&self, _: Instant) -> Value {
        json!({"keepers": self.keepers.state()})
    }
}
