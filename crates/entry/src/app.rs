//! What the entry program works on, and a request's way through it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_contract::Contract;
use cassia_contract::RouteKind;
use cassia_ids::CustomerId;
use cassia_ids::TargetId;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_node::Dump;
use cassia_node::NodeState;
use cassia_node::lock;
use cassia_once::RunStatus;
use cassia_once::TicketStore;
use cassia_platform::Engine;
use cassia_platform::ErrorKind;
use cassia_platform::HttpPlatform;
use cassia_platform::PlainService;
use cassia_platform::PlatformError;
use cassia_route::AdmissionRequest;
use cassia_route::Choice;
use cassia_route::InFlight;
use cassia_route::LoadScope;
use cassia_route::RetryBudget;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use serde_json::Value;
use serde_json::json;
use smol_str::format_smolstr;

use crate::answer::Attempts;
use crate::answer::Finished;
use crate::call::Call;
use crate::ends::Ends;
use crate::gates::Gates;
use crate::gates::Pass;

/// When a caller is asked back after a failure at a target.
pub(crate) const RETURN_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Targets that one request is sent to at most.
const MOST_ATTEMPTS: u32 = 3;
/// Requests a slot that a process lets through, since its peers may have less
/// to do than it; the engines' own queues order the surplus by priority.
const REQUESTS_PER_SLOT: u32 = 2;

/// What the entry program works on.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) board: Arc<NodeState>,
    pub(crate) engine: Arc<dyn Engine>,
    pub(crate) service: Arc<dyn PlainService>,
    pub(crate) gates: Arc<Gates>,
    pub(crate) desk: Mutex<TicketStore>,
    pub(crate) ends: Ends,
    budgets: Mutex<BTreeMap<(CustomerId, TargetKind), RetryBudget>>,
    next_request: AtomicU64,
    counts: Counts,
}

/// What a dump counts.
#[derive(Debug, Default)]
struct Counts {
    answered: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    attempts: AtomicU64,
}

impl App {
    pub(crate) fn new(board: Arc<NodeState>, platform: Arc<HttpPlatform>) -> Self {
        let desk = TicketStore::new(board.link, board.boot, rand::random(), Instant::now());
        Self {
            board,
            engine: Arc::clone(&platform) as _,
            service: platform,
            gates: Arc::default(),
            desk: Mutex::new(desk),
            ends: Ends::default(),
            budgets: Mutex::default(),
            next_request: AtomicU64::new(1),
            counts: Counts::default(),
        }
    }

    /// Builds the call for a request, if its contract has the route.
    pub(crate) fn call(
        &self,
        contract: Arc<Contract>,
        route: &str,
        body: Bytes,
        within: Option<Duration>,
    ) -> Result<Call, ApiError> {
        let Some(route) = contract.route(route).cloned() else {
            let message = format!("the contract has no route {route:?}");
            return Err(ApiError::not_run(ApiErrorKind::NotFound, "find route", message));
        };
        let limit = route.timeout();
        let deadline = Instant::now() + within.map_or(limit, |within| within.min(limit));
        let n = self.next_request.fetch_add(1, Ordering::Relaxed);
        // The run and a counter: never the same id twice, over restarts too.
        let id = format_smolstr!("{:x}-{n:x}", self.board.boot);
        Ok(Call { id, contract, route, body, deadline })
    }

    /// Waits at the gate.
    pub(crate) async fn pass(&self, call: &Call) -> Result<Pass, ApiError> {
        let kind = call.target_kind();
        let slots = self.board.slots.load().get(&kind).copied().unwrap_or(0);
        if slots == 0 {
            let e = ApiError::not_run(ApiErrorKind::NoTarget, "admit", "no target is open");
            return Err(e.with_return_after(RETURN_AFTER_FAILURE));
        }
        let capacity = (slots * REQUESTS_PER_SLOT).div_ceil(self.board.same_role_count());
        let request = AdmissionRequest {
            customer: call.contract.customer.clone(),
            class: call.route.class,
            priority: call.contract.priority,
            share_percent: call.contract.share_percent,
            deadline: call.deadline,
        };
        self.gates.enter(&kind, capacity, &request).await.map_err(|refused| {
            let after = refused.return_at.saturating_duration_since(Instant::now());
            ApiError::not_run(ApiErrorKind::Overloaded, "admit", "can't make the deadline")
                .with_return_after(after)
        })
    }

    /// Chooses a target and counts the request in there.
    pub(crate) fn choose(
        &self,
        call: &Call,
        affinity: Option<u64>,
        not: Option<&TargetId>,
    ) -> Result<InFlight, ApiError> {
        let kind = call.target_kind();
        let targets = self.board.targets.load();
        let wanted = TargetQuery {
            load_scope: LoadScope::Callers,
            affinity,
            tried: not.map_or(&[], std::slice::from_ref),
            ..TargetQuery::new(&kind)
        };
        // A target may close between the choice and this count; then another
        // is chosen. Past the count nothing is written but the request.
        for _ in 0..3 {
            let now = Instant::now();
            let Choice::Target(target) = targets.choose(&wanted, &mut rand::rng(), now) else {
                break;
            };
            if let Some(used) = target.start_request() {
                self.counts.attempts.fetch_add(1, Ordering::Relaxed);
                return Ok(used);
            }
        }
        let e = ApiError::not_run(ApiErrorKind::NoTarget, "choose target", "no target is open");
        Err(e.with_return_after(RETURN_AFTER_FAILURE))
    }

    /// Takes a failure at a target in, and says whether to try another one.
    pub(crate) fn may_retry(
        &self,
        call: &Call,
        used: &InFlight,
        e: &PlatformError,
        attempts: &Attempts,
    ) -> bool {
        let targets = self.board.targets.load();
        let asked_for_load = matches!(call.route.kind, RouteKind::Generate { .. });
        if e.kind == ErrorKind::Connect && asked_for_load {
            targets.set_reachable(used.target(), false);
        } else if e.is_peer_fault() {
            targets.record_failure(used.target(), Instant::now());
        }
        let safe = call.route.idempotent || e.run_status() == RunStatus::NotRun;
        if !safe || attempts.begun >= MOST_ATTEMPTS || Instant::now() >= call.deadline {
            return false;
        }
        let key = (call.contract.customer.clone(), call.target_kind());
        lock(&self.budgets).entry(key).or_default().try_retry()
    }

    /// Takes a success at a target in.
    pub(crate) fn succeeded(&self, call: &Call, used: &InFlight) {
        self.board.targets.load().record_success(used.target());
        let key = (call.contract.customer.clone(), call.target_kind());
        lock(&self.budgets).entry(key).or_default().record_success();
    }

    pub(crate) fn count(&self, call: &Call, served: &Result<Finished, ApiError>, began: Instant) {
        let customer = call.contract.customer.as_str();
        let (name, counter) = match served {
            Ok(_) => ("answered", &self.counts.answered),
            Err(e) if e.kind == ApiErrorKind::Overloaded => ("refused", &self.counts.refused),
            Err(_) => ("failed", &self.counts.failed),
        };
        counter.fetch_add(1, Ordering::Relaxed);
        self.board.metrics.count(name, customer);
        self.board.metrics.time("latency", customer, began.elapsed());
        if let Err(e) = served {
            let (id, step, peer) = (call.id.as_str(), e.step.as_str(), e.peer.as_str());
            log::info!(event = "request_failed", step, peer, customer, request_id = id; "{e}");
        }
    }
}

impl Dump for App {
    fn dump(&self, now: Instant) -> Value {
        let gates: Vec<_> = self
            .gates
            .state(now)
            .into_iter()
            .map(|(target, state)| json!({"target": target, "state": state}))
            .collect();
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        json!({
            "gates": gates,
            "tickets_remembered": lock(&self.desk).used_tickets(),
            "answered": count(&self.counts.answered),
            "refused": count(&self.counts.refused),
            "failed": count(&self.counts.failed),
            "attempts": count(&self.counts.attempts),
        })
    }
}
