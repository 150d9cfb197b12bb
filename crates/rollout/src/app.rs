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
use cassia_node::Dump;
use cassia_node::LinkHandler;
use cassia_node::NodeState;
use cassia_node::PeerRequest;
use cassia_node::PeerResponse;
use cassia_node::PullRequest;
use cassia_node::RelayedResponse;
use cassia_node::TakeOverRequest;
use cassia_node::call_peer;
use cassia_platform::Engine;
use cassia_platform::HttpPlatform;
use cassia_platform::Scorer;
use cassia_route::highest_weight;
use cassia_sample::Cursor;
use cassia_sample::Handoff;
use cassia_sample::Lot;
use cassia_sample::Pull;
use cassia_sample::PullOutcome;
use cassia_sample::Sample;
use dropshot::HttpResponseError;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::watch;
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
/// The longest that samples on their way may take to end at a planned stop.
const END_LIMIT: Duration = Duration::from_secs(30);
const HAND_ON_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_MAX_TOKENS: u32 = 256;

/// What the rollout program works on.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) board: Arc<NodeState>,
    pub(crate) engine: Arc<dyn Engine>,
    pub(crate) scorer: Option<Arc<dyn Scorer>>,
    pub(crate) keepers: SharedKeepers,
    /// Whether samples are still kept here, before a planned stop.
    keeping: watch::Sender<Keeping>,
}

/// Where a process is on its way to a planned stop.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Keeping {
    /// Samples are kept here.
    Here,
    /// Samples on their way end; pulls wait for what follows.
    Ending,
    /// What was kept is at the successors, and pulls are forwarded there.
    HandedOn,
}

/// How a pull was served here.
enum PulledHere {
    Served(RelayedResponse),
    /// The trainer's samples are being handed on.
    Moved,
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
    pub(crate) fn new(board: Arc<NodeState>, platform: Arc<HttpPlatform>) -> Self {
        let scorer = platform.has_scorer().then(|| Arc::clone(&platform) as _);
        let keeping = watch::Sender::new(Keeping::Here);
        Self { board, engine: platform, scorer, keepers: Arc::default(), keeping }
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
    ) -> Result<RelayedResponse, ApiError> {
        let pull = parse(body)?;
        if let Some(served) = self.forward(contract, trainer, body, &pull).await {
            return Ok(served);
        }
        match self.pull_here(contract, trainer, parse(body)?).await? {
            PulledHere::Served(served) => Ok(served),
            PulledHere::Moved => {
                let served = self.forward(contract, trainer, body, &pull).await;
                served.ok_or_else(|| not_ready("this process stops"))
            }
        }
    }

    async fn forward(
        &self,
        contract: &Contract,
        trainer: &str,
        body: &[u8],
        pull: &PullBody,
    ) -> Option<RelayedResponse> {
        let keeper = self.keeper_elsewhere(&contract.customer, trainer)?;
        let question = PullRequest {
            customer: contract.customer.to_string(),
            trainer: trainer.to_owned(),
            body: body.to_vec(),
        };
        let deadline = Instant::now() + wait_of(pull) + FORWARD_MARGIN;
        match call_peer("forward pull", keeper, PeerRequest::Pull(question), deadline).await {
            Ok(PeerResponse::Relayed(served)) => Some(served),
            Ok(PeerResponse::Config(_) | PeerResponse::Targets(_)) => None,
            Err(e) => {
                let peer = e.peer.as_str();
                log::warn!(event = "keeper_unreachable", step = e.step, peer; "{e}");
                None
            }
        }
    }

    /// Whether new samples are started here.
    pub(crate) fn starts_samples(&self) -> bool {
        *self.keeping.borrow() == Keeping::Here
    }

    /// Ends what is on its way and hands everything on, before a planned stop.
    pub(crate) async fn hand_on(&self) {
        self.keeping.send_replace(Keeping::Ending);
        self.keepers.finished.notify_waiters();
        let limit = Instant::now() + END_LIMIT;
        while self.keepers.running() > 0 && Instant::now() < limit {
            let _ = timeout_at(limit.into(), self.keepers.finished.notified()).await;
        }
        // From here on this process is no candidate for its own trainers.
        let given_away = self.keepers.give_away();
        self.keeping.send_replace(Keeping::HandedOn);
        for (job, kept) in given_away {
            self.hand_to_successor(job, kept).await;
        }
    }

    async fn hand_to_successor(&self, job: Job, kept: Handoff) {
        let KeeperId { customer, trainer } = &job.id;
        let Some(successor) = self.keeper_elsewhere(customer, trainer) else {
            return;
        };
        let question = TakeOverRequest {
            customer: customer.to_string(),
            trainer: trainer.to_string(),
            max_tokens: job.max_tokens,
            samples: serde_json::to_vec(&kept).unwrap_or_default(),
        };
        let deadline = Instant::now() + HAND_ON_TIMEOUT;
        let asked =
            call_peer("hand samples on", successor, PeerRequest::TakeOver(question), deadline)
                .await;
        if let Err(e) = asked {
            // They are generated again; the trainer's cursor knows nothing of
            // them.
            let peer = e.peer.as_str();
            log::warn!(event = "samples_lost", step = e.step, peer; "{e}");
        }
    }

    fn take_over(&self, asked: &TakeOverRequest) -> Option<()> {
        let contract = self.board.contract(&asked.customer)?;
        let trainer = contract.trainer(&asked.trainer)?;
        let kept = serde_json::from_slice(&asked.samples).ok()?;
        let job = Job::new(&contract, trainer, asked.max_tokens);
        self.keepers.take_over(self.board.boot, &contract, job, kept);
        Some(())
    }

    fn keeper_elsewhere(&self, customer: &str, trainer: &str) -> Option<std::net::SocketAddr> {
        let peers = self.board.peers.load();
        let suffix = format!("/{}", self.board.role);
        let mine = &self.board.id;
        let here = *self.keeping.borrow() < Keeping::HandedOn;
        let others = peers.iter().filter(|p| p.id.ends_with(&suffix)).map(|p| p.id.clone());
        let all: Vec<HostId> = others.chain(here.then(|| mine.clone())).collect();
        let keeper = highest_weight(&format!("{customer}/{trainer}"), &all)?;
        peers.iter().find(|p| p.id == *keeper).map(|p| p.addr)
    }

    async fn pull_here(
        &self,
        contract: &Contract,
        trainer: &str,
        body: PullBody,
    ) -> Result<PulledHere, ApiError> {
        let Some(trainer) = contract.trainer(trainer) else {
            let message = format!("the contract has no trainer {trainer:?}");
            return Err(ApiError::not_run(ApiErrorKind::NotFound, "find trainer", message));
        };
        let deadline = Instant::now() + wait_of(&body);
        let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let job = Job::new(contract, trainer, max_tokens);
        let pull = lower(body)?;
        let mut keeping = self.keeping.subscribe();
        loop {
            if *keeping.borrow_and_update() != Keeping::Here {
                let moved = keeping.wait_for(|keeping| *keeping == Keeping::HandedOn);
                let _ = timeout_at((Instant::now() + END_LIMIT).into(), moved).await;
                return Ok(PulledHere::Moved);
            }
            let finished = self.keepers.finished.notified();
            let missing = match self.keepers.pull(self.board.boot, contract, job.clone(), &pull) {
                PullOutcome::Lot(lot) => return Ok(PulledHere::Served(served(lot))),
                PullOutcome::TooFewPrompts { needed } => {
                    let message = format!("a lot needs {needed} prompts");
                    let kind = ApiErrorKind::BadRequest;
                    return Err(ApiError::not_run(kind, "pull", message));
                }
                PullOutcome::Wait { missing } => missing,
            };
            if timeout_at(deadline.into(), finished).await.is_err() {
                return Err(not_ready(&format!("{missing} samples are missing")));
            }
        }
    }
}

fn served(lot: Lot) -> RelayedResponse {
    let body = LotBody { samples: lot.samples, cursor: lot.cursor.to_string() };
    RelayedResponse { status: 200, body: serde_json::to_vec(&body).unwrap_or_default() }
}

fn not_ready(message: &str) -> ApiError {
    ApiError::not_run(ApiErrorKind::LotNotReady, "pull", message).with_return_after(RETURN_AFTER)
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
    async fn handle(&self, request: PeerRequest) -> Option<PeerResponse> {
        let PullRequest { customer, trainer, body } = match request {
            PeerRequest::Pull(pull) => pull,
            PeerRequest::TakeOver(asked) => {
                let taken = self.take_over(&asked).is_some();
                let status = if taken { 200 } else { 404 };
                return Some(PeerResponse::Relayed(RelayedResponse { status, body: Vec::new() }));
            }
            PeerRequest::Config(_) | PeerRequest::Redeem(_) | PeerRequest::Targets(_) => {
                return None;
            }
        };
        let served = match self.board.contract(&customer) {
            Some(contract) => match parse(&body) {
                Ok(pull) => self.pull_here(&contract, &trainer, pull).await,
                Err(e) => Err(e),
            },
            None => Err(ApiError::not_run(ApiErrorKind::NotFound, "pull", "no contract")),
        };
        let served = served.map(|pulled| match pulled {
            PulledHere::Served(served) => served,
            PulledHere::Moved => failure(&not_ready("the keeper has moved")),
        });
        Some(PeerResponse::Relayed(served.unwrap_or_else(|e| failure(&e))))
    }
}

/// Gives the body and status of an error for the caller.
pub(crate) fn failure(e: &ApiError) -> RelayedResponse {
    let body = serde_json::to_vec(e).unwrap_or_default();
    RelayedResponse { status: e.status_code().as_u16().into(), body }
}

impl Dump for App {
    fn dump(&self, _: Instant) -> Value {
        json!({"keepers": self.keepers.state()})
    }
}
