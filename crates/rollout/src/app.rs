//! The shared state of the rollout program, and how it serves pulls.
//!
//! Each trainer has an owner: the process that buffers its samples and to
//! which the others forward its pulls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use cassia_clients::Engine;
use cassia_clients::HttpPlatform;
use cassia_clients::Scorer;
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

use crate::buffers::SampleBuffers;
use crate::buffers::SampleParams;
use crate::buffers::TrainerKey;

/// Maximum time that a pull waits for its lot.
const MAX_WAIT_MS: u64 = 30_000;
/// Time allowed for forwarding a pull, in addition to the pull's own wait.
const FORWARD_MARGIN: Duration = Duration::from_secs(2);
/// Delay after which a trainer should repeat a pull if its lot isn't complete.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Maximum time that a planned stop waits for running samples.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
const HANDOFF_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The shared state of the rollout program.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) node: Arc<NodeState>,
    pub(crate) engine: Arc<dyn Engine>,
    pub(crate) scorer: Option<Arc<dyn Scorer>>,
    pub(crate) buffers: SampleBuffers,
    stop_phase: watch::Sender<StopPhase>,
}

/// The phases of a planned stop.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum StopPhase {
    /// Samples are started and lots are delivered.
    Running,
    /// Running samples are finished, no new ones are started, and pulls wait.
    Draining,
    /// This process owns no trainer any more: finished samples are handed off
    /// to the successors, and pulls are forwarded there.
    HandedOff,
}

/// Result of serving a pull in this process.
enum LocalPull {
    Served(RelayedResponse),
    /// The trainer's samples were handed off to another process.
    Moved,
}

/// A trainer's request for its next lot.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct PullBody {
    /// The cursor in the trainer's checkpoint; none at the start of a run.
    cursor: Option<String>,
    /// The trainer's weight version.
    version: Version,
    /// The prompts from the cursor on. Those past the lot may be generated
    /// ahead, as far as the contract's staleness bound allows.
    prompts: Vec<String>,
    /// Maximum number of tokens in a sample.
    max_tokens: Option<u32>,
    /// Maximum time to wait for the lot, in milliseconds.
    wait_ms: Option<u64>,
}

/// The response to a pull.
#[derive(Debug, JsonSchema, Serialize)]
pub(crate) struct LotBody {
    /// The samples, ordered by prompt.
    samples: Vec<Sample>,
    /// The cursor after this lot: stored in the trainer's checkpoint once the
    /// lot is trained on, and sent with the next pull.
    cursor: String,
}

impl App {
    pub(crate) fn new(node: Arc<NodeState>, platform: Arc<HttpPlatform>) -> Self {
        let scorer = platform.has_scorer().then(|| Arc::clone(&platform) as _);
        let buffers = SampleBuffers::default();
        let stop_phase = watch::Sender::new(StopPhase::Running);
        Self { node, engine: platform, scorer, buffers, stop_phase }
    }

    /// Serves a pull in this process, or forwards it to the trainer's owner.
    ///
    /// Processes agree on the owner if their views of the live processes agree.
    /// If they don't, samples are generated twice, but the trainer's cursor
    /// still ensures that each lot is used only once.
    pub(crate) async fn pull(
        &self,
        contract: &Contract,
        trainer: &str,
        body: &[u8],
    ) -> Result<RelayedResponse, ApiError> {
        let pull = parse(body)?;
        if let Some(response) = self.forward(contract, trainer, body, &pull).await {
            return Ok(response);
        }
        match self.pull_local(contract, trainer, parse(body)?).await? {
            LocalPull::Served(response) => Ok(response),
            LocalPull::Moved => {
                let response = self.forward(contract, trainer, body, &pull).await;
                response.ok_or_else(|| not_ready("this process is stopping"))
            }
        }
    }

    /// Forwards a pull to the trainer's owner; returns `None` if that is this
    /// process or doesn't respond.
    async fn forward(
        &self,
        contract: &Contract,
        trainer: &str,
        body: &[u8],
        pull: &PullBody,
    ) -> Option<RelayedResponse> {
        let owner = self.remote_owner(&contract.customer, trainer)?;
        let req = PullRequest {
            customer: contract.customer.to_string(),
            trainer: trainer.to_owned(),
            body: body.to_vec(),
        };
        let deadline = Instant::now() + max_wait(pull) + FORWARD_MARGIN;
        match call_peer("forward pull", owner, PeerRequest::Pull(req), deadline).await {
            Ok(PeerResponse::Relayed(response)) => Some(response),
            Ok(PeerResponse::Config(_) | PeerResponse::Targets(_)) => None,
            Err(e) => {
                let peer = e.peer.as_str();
                log::warn!(event = "keeper_unreachable", step = e.step, peer; "{e}");
                None
            }
        }
    }

    /// Returns whether new samples are started in this process.
    pub(crate) fn starts_samples(&self) -> bool {
        *self.stop_phase.borrow() == StopPhase::Running
    }

    /// Waits for the running samples and hands all finished ones off, before a
    /// planned stop.
    pub(crate) async fn hand_off(&self) {
        self.stop_phase.send_replace(StopPhase::Draining);
        self.buffers.samples_changed.notify_waiters();
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while self.buffers.running_samples() > 0 && Instant::now() < deadline {
            let _ = timeout_at(deadline.into(), self.buffers.samples_changed.notified()).await;
        }
        let handoffs = self.buffers.drain();
        // From here on this process can't be the owner of a trainer.
        self.stop_phase.send_replace(StopPhase::HandedOff);
        for (params, handoff) in handoffs {
            self.send_to_successor(params, handoff).await;
        }
    }

    async fn send_to_successor(&self, params: SampleParams, handoff: Handoff) {
        let TrainerKey { customer, trainer } = &params.key;
        let Some(successor) = self.remote_owner(customer, trainer) else {
            return;
        };
        let req = TakeOverRequest {
            customer: customer.to_string(),
            trainer: trainer.to_string(),
            max_tokens: params.max_tokens,
            samples: serde_json::to_vec(&handoff).unwrap_or_default(),
        };
        let deadline = Instant::now() + HANDOFF_TIMEOUT;
        let req = PeerRequest::TakeOver(req);
        if let Err(e) = call_peer("hand samples on", successor, req, deadline).await {
            // The samples are generated again: the trainer's cursor doesn't
            // cover them.
            let peer = e.peer.as_str();
            log::warn!(event = "samples_lost", step = e.step, peer; "{e}");
        }
    }

    /// Takes over a trainer's samples; returns `None` if the contract doesn't
    /// have the trainer or the samples can't be decoded.
    fn take_over(&self, req: &TakeOverRequest) -> Option<()> {
        let contract = self.node.contract(&req.customer)?;
        let trainer = contract.trainer(&req.trainer)?;
        let handoff = serde_json::from_slice(&req.samples).ok()?;
        let params = SampleParams::new(&contract, trainer, req.max_tokens);
        self.buffers.import(self.node.boot, &contract, params, handoff);
        Some(())
    }

    /// Returns the link address of a trainer's owner if that is another
    /// process.
    fn remote_owner(&self, customer: &str, trainer: &str) -> Option<SocketAddr> {
        let peers = self.node.peers.load();
        let suffix = format!("/{}", self.node.role);
        let own_id = &self.node.id;
        let is_candidate = *self.stop_phase.borrow() < StopPhase::HandedOff;
        let others = peers.iter().filter(|p| p.id.ends_with(&suffix)).map(|p| p.id.clone());
        let candidates: Vec<HostId> = others.chain(is_candidate.then(|| own_id.clone())).collect();
        let owner = highest_weight(&format!("{customer}/{trainer}"), &candidates)?;
        peers.iter().find(|p| p.id == *owner).map(|p| p.addr)
    }

    /// Serves a pull from this process's buffer, and waits for missing samples.
    async fn pull_local(
        &self,
        contract: &Contract,
        trainer: &str,
        body: PullBody,
    ) -> Result<LocalPull, ApiError> {
        let Some(trainer) = contract.trainer(trainer) else {
            let message = format!("the contract has no trainer {trainer:?}");
            return Err(ApiError::not_run(ApiErrorKind::NotFound, "find trainer", message));
        };
        let deadline = Instant::now() + max_wait(&body);
        let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let params = SampleParams::new(contract, trainer, max_tokens);
        let pull = to_pull(body)?;
        let mut stop_phase = self.stop_phase.subscribe();
        loop {
            if *stop_phase.borrow_and_update() != StopPhase::Running {
                let handed_off = stop_phase.wait_for(|phase| *phase == StopPhase::HandedOff);
                let _ = timeout_at((Instant::now() + DRAIN_TIMEOUT).into(), handed_off).await;
                return Ok(LocalPull::Moved);
            }
            let changed = self.buffers.samples_changed.notified();
            let outcome = self.buffers.pull(self.node.boot, contract, params.clone(), &pull);
            let missing = match outcome {
                PullOutcome::Lot(lot) => return Ok(LocalPull::Served(lot_response(lot))),
                PullOutcome::TooFewPrompts { needed } => {
                    let message = format!("a lot needs {needed} prompts");
                    let kind = ApiErrorKind::BadRequest;
                    return Err(ApiError::not_run(kind, "pull", message));
                }
                PullOutcome::Wait { missing } => missing,
            };
            if timeout_at(deadline.into(), changed).await.is_err() {
                return Err(not_ready(&format!("{missing} samples are missing")));
            }
        }
    }
}

fn lot_response(lot: Lot) -> RelayedResponse {
    let body = LotBody { samples: lot.samples, cursor: lot.cursor.to_string() };
    RelayedResponse { status: 200, body: serde_json::to_vec(&body).unwrap_or_default() }
}

fn not_ready(message: &str) -> ApiError {
    ApiError::not_run(ApiErrorKind::LotNotReady, "pull", message).with_return_after(RETRY_AFTER)
}

fn max_wait(body: &PullBody) -> Duration {
    Duration::from_millis(body.wait_ms.unwrap_or(0).min(MAX_WAIT_MS))
}

fn parse(body: &[u8]) -> Result<PullBody, ApiError> {
    serde_json::from_slice(body)
        .map_err(|e| ApiError::not_run(ApiErrorKind::BadRequest, "parse pull", e.to_string()))
}

fn to_pull(body: PullBody) -> Result<Pull, ApiError> {
    let cursor = match body.cursor {
        None => Cursor::default(),
        Some(text) => text.parse().map_err(|_| {
            let message = "not a cursor of ours";
            ApiError::not_run(ApiErrorKind::BadCursor, "parse cursor", message)
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
            PeerRequest::TakeOver(req) => {
                let status = if self.take_over(&req).is_some() { 200 } else { 404 };
                return Some(PeerResponse::Relayed(RelayedResponse { status, body: Vec::new() }));
            }
            PeerRequest::Config(_) | PeerRequest::Redeem(_) | PeerRequest::Targets(_) => {
                return None;
            }
        };
        let result = match self.node.contract(&customer) {
            Some(contract) => match parse(&body) {
                Ok(pull) => self.pull_local(&contract, &trainer, pull).await,
                Err(e) => Err(e),
            },
            None => Err(ApiError::not_run(
                ApiErrorKind::NotFound,
                "pull",
                "the customer has no contract",
            )),
        };
        let response = match result {
            Ok(LocalPull::Served(response)) => response,
            Ok(LocalPull::Moved) => {
                error_response(&not_ready("the trainer's samples moved to another process"))
            }
            Err(e) => error_response(&e),
        };
        Some(PeerResponse::Relayed(response))
    }
}

/// Builds the response that reports an error to the trainer.
fn error_response(e: &ApiError) -> RelayedResponse {
    let body = serde_json::to_vec(e).unwrap_or_default();
    RelayedResponse { status: e.status_code().as_u16().into(), body }
}

impl Dump for App {
    fn dump(&self, _: Instant) -> Value {
        json!({"keepers": self.buffers.state()})
    }
}
