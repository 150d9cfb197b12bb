//! The shared state of the entry program, and the steps that all kinds of
//! requests have in common.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_clients::Engine;
use cassia_clients::ErrorKind;
use cassia_clients::HttpPlatform;
use cassia_clients::PlainService;
use cassia_clients::PlatformError;
use cassia_contract::Contract;
use cassia_contract::RouteKind;
use cassia_ids::CustomerId;
use cassia_ids::TargetId;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_node::Dump;
use cassia_node::NodeState;
use cassia_node::lock;
use cassia_route::AdmissionRequest;
use cassia_route::Choice;
use cassia_route::InFlight;
use cassia_route::LoadScope;
use cassia_route::RetryBudget;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use cassia_tickets::RunStatus;
use cassia_tickets::TicketStore;
use serde_json::Value;
use serde_json::json;
use smol_str::format_smolstr;

use crate::admission::AdmissionControllers;
use crate::admission::Permit;
use crate::call::Call;
use crate::response::Attempts;
use crate::response::CompleteResponse;
use crate::running::RunningRequests;

/// Delay after which a caller should retry if a target failed or none is open.
pub(crate) const FAILURE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum number of failed attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
/// Number of requests that a process admits for each slot of its share. More
/// than one, since its peers may be less busy; the engines' own queues order
/// the surplus by priority.
const REQUESTS_PER_SLOT: u32 = 2;

/// The shared state of the entry program.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) node: Arc<NodeState>,
    pub(crate) engine: Arc<dyn Engine>,
    pub(crate) service: Arc<dyn PlainService>,
    pub(crate) admission: Arc<AdmissionControllers>,
    pub(crate) tickets: Mutex<TicketStore>,
    pub(crate) running: RunningRequests,
    retry_budgets: Mutex<BTreeMap<(CustomerId, TargetKind), RetryBudget>>,
    next_call: AtomicU64,
    counts: Counts,
}

/// The counts in a state dump.
#[derive(Debug, Default)]
struct Counts {
    answered: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    attempts: AtomicU64,
}

impl App {
    pub(crate) fn new(node: Arc<NodeState>, platform: Arc<HttpPlatform>) -> Self {
        let tickets = TicketStore::new(node.link, node.boot, rand::random(), Instant::now());
        Self {
            node,
            engine: Arc::clone(&platform) as _,
            service: platform,
            admission: Arc::default(),
            tickets: Mutex::new(tickets),
            running: RunningRequests::default(),
            retry_budgets: Mutex::default(),
            next_call: AtomicU64::new(1),
            counts: Counts::default(),
        }
    }

    /// Builds the call for a request, if the contract has its route.
    pub(crate) fn new_call(
        &self,
        contract: Arc<Contract>,
        route: &str,
        body: Bytes,
        timeout: Option<Duration>,
    ) -> Result<Call, ApiError> {
        let Some(route) = contract.route(route).cloned() else {
            let message = format!("the contract has no route {route:?}");
            return Err(ApiError::not_run(ApiErrorKind::NotFound, "find route", message));
        };
        let max_timeout = route.timeout();
        let timeout = timeout.map_or(max_timeout, |timeout| timeout.min(max_timeout));
        let deadline = Instant::now() + timeout;
        let n = self.next_call.fetch_add(1, Ordering::Relaxed);
        // The boot id makes the ids unique across restarts.
        let id = format_smolstr!("{:x}-{n:x}", self.node.boot);
        Ok(Call { id, contract, route, body, deadline })
    }

    /// Waits until the call is admitted.
    pub(crate) async fn admit(&self, call: &Call) -> Result<Permit, ApiError> {
        let kind = call.target_kind();
        let slots = self.node.slots.load().get(&kind).copied().unwrap_or(0);
        if slots == 0 {
            let e = ApiError::not_run(ApiErrorKind::NoTarget, "admit", "no target is open");
            return Err(e.with_return_after(FAILURE_RETRY_AFTER));
        }
        let capacity = (slots * REQUESTS_PER_SLOT).div_ceil(self.node.same_role_count());
        let req = AdmissionRequest {
            customer: call.contract.customer.clone(),
            class: call.route.class,
            priority: call.contract.priority,
            share_percent: call.contract.share_percent,
            deadline: call.deadline,
        };
        self.admission.acquire(&kind, capacity, &req).await.map_err(|refused| {
            let after = refused.retry_at.saturating_duration_since(Instant::now());
            ApiError::not_run(ApiErrorKind::Overloaded, "admit", "the deadline can't be met")
                .with_return_after(after)
        })
    }

    /// Chooses a target and counts a request in flight there.
    pub(crate) fn choose_target(
        &self,
        call: &Call,
        affinity: Option<u64>,
        tried: Option<&TargetId>,
    ) -> Result<InFlight, ApiError> {
        let kind = call.target_kind();
        let targets = self.node.targets.load();
        let query = TargetQuery {
            load_scope: LoadScope::Callers,
            affinity,
            tried: tried.map_or(&[], std::slice::from_ref),
            ..TargetQuery::new(&kind)
        };
        // A target may close between `choose` and `start_request`; then
        // another one is chosen. Once the request is counted, it is sent
        // without a further check.
        for _ in 0..3 {
            let now = Instant::now();
            let Choice::Target(target) = targets.choose(&query, &mut rand::rng(), now) else {
                break;
            };
            if let Some(in_flight) = target.start_request() {
                self.counts.attempts.fetch_add(1, Ordering::Relaxed);
                return Ok(in_flight);
            }
        }
        let e = ApiError::not_run(ApiErrorKind::NoTarget, "choose target", "no target is open");
        Err(e.with_return_after(FAILURE_RETRY_AFTER))
    }

    /// Records that an attempt failed at its target, and returns whether to
    /// try another one. If so, the retry is charged to the retry budget.
    pub(crate) fn try_retry(
        &self,
        call: &Call,
        in_flight: &InFlight,
        e: &PlatformError,
        attempts: &Attempts,
    ) -> bool {
        let targets = self.node.targets.load();
        let is_polled = matches!(call.route.kind, RouteKind::Generate { .. });
        if e.kind == ErrorKind::Connect && is_polled {
            targets.set_reachable(in_flight.target(), false);
        } else if e.is_peer_fault() {
            targets.record_failure(in_flight.target(), Instant::now());
        }
        let is_safe = call.route.idempotent || e.run_status() == RunStatus::NotRun;
        if !is_safe || attempts.failures >= MAX_ATTEMPTS || Instant::now() >= call.deadline {
            return false;
        }
        let key = (call.contract.customer.clone(), call.target_kind());
        lock(&self.retry_budgets).entry(key).or_default().try_retry()
    }

    /// Records that an attempt succeeded at its target.
    pub(crate) fn record_success(&self, call: &Call, in_flight: &InFlight) {
        self.node.targets.load().record_success(in_flight.target());
        let key = (call.contract.customer.clone(), call.target_kind());
        lock(&self.retry_budgets).entry(key).or_default().record_success();
    }

    /// Counts a call by its result, and logs it if it failed.
    pub(crate) fn record_result(
        &self,
        call: &Call,
        result: &Result<CompleteResponse, ApiError>,
        started: Instant,
    ) {
        let customer = call.contract.customer.as_str();
        let (name, counter) = match result {
            Ok(_) => ("answered", &self.counts.answered),
            Err(e) if e.kind == ApiErrorKind::Overloaded => ("refused", &self.counts.refused),
            Err(_) => ("failed", &self.counts.failed),
        };
        counter.fetch_add(1, Ordering::Relaxed);
        self.node.metrics.count(name, customer);
        self.node.metrics.time("latency", customer, started.elapsed());
        if let Err(e) = result {
            let (id, step, peer) = (call.id.as_str(), e.step.as_str(), e.peer.as_str());
            log::info!(event = "request_failed", step, peer, customer, request_id = id; "{e}");
        }
    }
}

impl Dump for App {
    fn dump(&self, now: Instant) -> Value {
        let admission: Vec<_> = self
            .admission
            .state(now)
            .into_iter()
            .map(|(target, state)| json!({"target": target, "state": state}))
            .collect();
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        json!({
            "gates": admission,
            "tickets_remembered": lock(&self.tickets).used_tickets(),
            "answered": count(&self.counts.answered),
            "refused": count(&self.counts.refused),
            "failed": count(&self.counts.failed),
            "attempts": count(&self.counts.attempts),
        })
    }
}
