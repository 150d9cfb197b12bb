//! Requests whose response is read completely before it is forwarded.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::RequestHead;
use cassia_adapter::ResponseHead;
use cassia_adapter::decode_response_head;
use cassia_adapter::target_request;
use cassia_clients::ErrorKind;
use cassia_clients::PlatformError;
use cassia_clients::ReadBody;
use cassia_ids::RequestId;
use cassia_ids::TargetId;
use cassia_quarantine::CrashedTarget;
use cassia_quarantine::RequestDigest;
use cassia_quarantine::RunDecision;
use cassia_quarantine::SendDecision;
use cassia_quarantine::Work;
use cassia_quarantine::request_digest;
use cassia_route::Choice;
use cassia_route::InFlight;
use cassia_route::Route;
use cassia_route::RouteKind;
use cassia_route::Target;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::Uri;
use http::uri::PathAndQuery;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time::sleep_until;

use crate::accounts::Requester;
use crate::answer::drop_misaligned;
use crate::answer::is_answer_to;
use crate::answer::log_attempt;
use crate::answer::record_load;
use crate::app::App;
use crate::attempts::Attempts;
use crate::attempts::is_target_failure;
use crate::body::BodyShare;
use crate::clock::millis;
use crate::exposure;
use crate::exposure::Unanswered;
use crate::job_requests::JobRequests;
use crate::large_answer::forward_response;
use crate::quarantine::WatchedRun;
use crate::response::Body;
use crate::response::Refusal;
use crate::target_clients::Connections;
use crate::target_clients::Repeats;
use crate::target_clients::Sender;
use crate::target_clients::TargetAttempt;
use crate::unanswered::UnansweredGuard;
use crate::usage;

/// A second target is tried if the first one has not answered after this
/// percentage of the route's latency objective.
const HEDGE_DELAY_PERCENT: u32 = 55;
/// A lower latency objective counts as this one, since it would cause a second
/// attempt immediately.
const MIN_SLO_MS: u64 = 20;
/// How long after a request's deadline its connection is closed.
const DEADLINE_SLACK: Duration = Duration::from_millis(200);
/// Maximum number of refusals by full targets, which don't count as attempts.
const MAX_REFUSALS: u32 = 3;
/// Delay after a target refused a request because it is full.
const REFUSAL_DELAY: Duration = Duration::from_millis(15);

/// A request to forward to a target.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The body's share of the budget of all bodies; `None` for requests of this process.
    #[expect(dead_code, reason = "it is held for its drop")]
    pub(crate) held: Option<Arc<BodyShare>>,
    pub(crate) requester: Requester,
}

impl OutgoingRequest {
    /// Returns the digest by which the request is recognised when it comes
    /// again.
    pub(crate) fn digest(&self, host: &str) -> RequestDigest {
        let path = self.uri.path_and_query().map_or("/", PathAndQuery::as_str);
        request_digest(host, self.method.as_str(), path, &self.body)
    }
}

/// A target's response, complete unless it is too large to be held.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    pub(crate) response: Response<ReadBody>,
    pub(crate) head: ResponseHead,
    /// The request, while the rest of the response is to come.
    pub(crate) in_flight: Option<InFlight>,
}

/// The outcome of sending a request to one target.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The target's response.
    Response(Box<TargetResponse>),
    /// The target states that it did not run the request.
    NotRun,
    /// No connection to the target could be made.
    Unreachable(TargetId),
    /// The target may have run the request.
    Unknown,
}

/// The outcome of a request after all its attempts.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// A target's response.
    Response(Box<TargetResponse>),
    /// Targets answered with server errors: the last response and the number
    /// of targets that ran it and failed.
    Failed(Box<Response<ReadBody>>, u32),
    /// No target's response.
    Refused(Refusal),
}

/// A request that is being forwarded.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    pub(crate) app: &'a App,
    pub(crate) id: &'a RequestId,
    pub(crate) route: &'a Route,
    pub(crate) service: SmolStr,
    pub(crate) outgoing: OutgoingRequest,
    /// Recognises a caller's request that comes again; `None` for requests of
    /// this process itself.
    pub(crate) digest: Option<RequestDigest>,
    /// The job that makes the call; `None` for callers' requests.
    pub(crate) job: Option<&'a JobRequests>,
    /// Whether the request was counted as use, which happens once.
    pub(crate) is_counted: AtomicBool,
    pub(crate) deadline: Instant,
    /// Until when the caller waits; not before `deadline`.
    pub(crate) caller_deadline: Instant,
}

/// Handles a caller's request whose response is not a stream.
pub(crate) async fn handle(
    app: &Arc<App>,
    head: &RequestHead,
    route: &Route,
    outgoing: OutgoingRequest,
) -> Response<Body> {
    let Some(service) = route.pick_service(rand::random()).cloned() else {
        return Refusal::NoTarget.response("choose");
    };
    let now = Instant::now();
    let caller_timeout = head.timeout.unwrap_or_else(|| route.timeout());
    let deadline = now + caller_timeout.min(route.timeout());
    let caller_deadline = now + caller_timeout;
    let digest = Some(outgoing.digest(&head.host));
    let id = &head.id;
    let job = None;
    let call = Call {
        app,
        id,
        route,
        service,
        outgoing,
        digest,
        job,
        is_counted: AtomicBool::new(false),
        deadline,
        caller_deadline,
    };
    let outcome = call.run().await;
    let (id, name) = (head.id.as_str(), route.name.as_str());
    let (took, config) = (now.elapsed(), app.state.config_version());
    let took_ms = millis(took);
    app.metrics.time("request.time", name, took);
    match outcome {
        CallOutcome::Response(resp) => {
            let TargetResponse { response, in_flight, .. } = *resp;
            let status = response.status().as_u16();
            log::info!(event = "request_done", step = "call", id, route = name, status, took_ms, config; "answered");
            app.metrics.count("request.answered", name);
            forward_response(response, in_flight, deadline)
        }
        CallOutcome::Failed(response, failures) => {
            let status = response.status().as_u16();
            log::info!(event = "request_failed", step = "call", id, route = name, status, failures, took_ms, config; "all targets that ran it failed");
            app.metrics.count("request.failed", name);
            forward_response(*response, None, deadline)
        }
        CallOutcome::Refused(refusal) => {
            let (kind, ran) = (refusal.kind(), refusal.ran());
            let (open, usable) = call.target_counts();
            log::info!(event = "request_refused", step = "call", id, route = name, kind, ran, took_ms, config, open, usable; "no response of a target");
            app.metrics.count("request.refused", name);
            refusal.response("call")
        }
    }
}

impl Call<'_> {
    /// Sends the request until a target answers with success. While a slow
    /// target has not answered, another one is tried.
    pub(crate) async fn run_idempotent(&self) -> CallOutcome {
        let mut running = FuturesUnordered::new();
        let mut attempts = Attempts::default();
        loop {
            if running.is_empty() || attempts.start_another {
                attempts.start_another = false;
                if let Some(in_flight) = self.next_target(&mut attempts, running.len()).await {
                    running.push(self.send(in_flight, attempts.sent));
                }
            }
            if running.is_empty() {
                if !self.suspected_crashes().is_empty() && attempts.may_have_run {
                    exposure::await_report(self.app, self.deadline).await;
                }
                return attempts.into_outcome();
            }
            let hedge_at = Instant::now() + self.hedge_delay();
            tokio::select! {
                Some(outcome) = running.next() => {
                    if let Some(outcome) = attempts.record(outcome) {
                        return outcome;
                    }
                    if attempts.last_refused {
                        tokio::time::sleep(REFUSAL_DELAY).await;
                    }
                    attempts.start_another = true;
                }
                () = sleep_until(hedge_at.into()), if attempts.sent < self.route.max_attempts => {
                    attempts.start_another = true;
                }
                () = sleep_until(self.deadline.into()) => return attempts.into_timeout(),
            }
        }
    }

    /// Sends the request to one target after the other, as long as the
    /// previous one certainly did not run it.
    pub(crate) async fn run_at_most_once(&self) -> CallOutcome {
        let mut attempts = Attempts::default();
        while let Some(in_flight) = self.next_target(&mut attempts, 0).await {
            let outcome =
                tokio::time::timeout_at(self.deadline.into(), self.send(in_flight, attempts.sent))
                    .await;
            match outcome {
                Ok(AttemptOutcome::Response(resp)) => return CallOutcome::Response(resp),
                Ok(outcome @ (AttemptOutcome::NotRun | AttemptOutcome::Unreachable(_))) => {
                    attempts.record(outcome);
                    tokio::time::sleep(REFUSAL_DELAY).await;
                }
                Ok(AttemptOutcome::Unknown) => {
                    return CallOutcome::Refused(Refusal::OutcomeUnknown);
                }
                Err(_) => return CallOutcome::Refused(Refusal::DeadlinePassed),
            }
        }
        attempts.into_outcome()
    }

    /// Returns how many targets of the service are open, and how many of these
    /// are not avoided.
    fn target_counts(&self) -> (usize, usize) {
        let kind = TargetKind::Service { name: self.service.clone() };
        let targets = self.app.state.targets.load();
        let open = targets.of_kind(&kind).iter().filter(|target| target.is_open()).count();
        (open, targets.usable_count(&kind, |_| false, Instant::now()))
    }

    fn repeats(&self) -> Repeats {
        match self.route.kind {
            RouteKind::Idempotent => Repeats::Allowed,
            _ => Repeats::AtMostOnce,
        }
    }

    fn hedge_delay(&self) -> Duration {
        let slo = Duration::from_millis(self.route.slo_ms.max(MIN_SLO_MS));
        slo * HEDGE_DELAY_PERCENT / 100
    }

    /// Returns the targets that crashed under the request.
    fn suspected_crashes(&self) -> Vec<CrashedTarget> {
        self.digest.map_or_else(Vec::new, |digest| self.app.quarantine.suspected_crashes(digest))
    }

    /// Chooses the next target and starts a request at it; `None` if no attempt
    /// or no open target is left, or if the targets that have the request must
    /// answer first.
    async fn next_target(&self, attempts: &mut Attempts, unanswered: usize) -> Option<InFlight> {
        let target = self.choose_target(attempts)?;
        if let Some(digest) = self.digest {
            let unanswered = Unanswered { count: unanswered, among: &attempts.tried };
            match exposure::decide(self.app, digest, &target, unanswered).await {
                SendDecision::Send => {}
                SendDecision::AwaitAnswer => return None,
                SendDecision::KeepTarget => {
                    attempts.no_target = Some(Refusal::LastTarget);
                    return None;
                }
            }
            if let RunDecision::RunAt(at) = self.app.quarantine.begin_request(digest) {
                attempts.no_target = Some(Refusal::quarantined_until(at));
                return None;
            }
        }
        let targets = self.app.state.targets.load();
        let in_flight = targets.start_request(&target, Instant::now())?;
        log_attempt(self.app, self.id, &in_flight, attempts.sent + 1);
        attempts.tried.push(target.info.id.clone());
        attempts.sent += 1;
        Some(in_flight)
    }

    fn choose_target(&self, attempts: &mut Attempts) -> Option<Arc<Target>> {
        if attempts.sent >= self.route.max_attempts || attempts.refusals > MAX_REFUSALS {
            return None;
        }
        let decision = self.digest.map(|digest| self.app.quarantine.next_request(digest));
        if let Some(RunDecision::RunAt(at)) = decision {
            attempts.no_target = Some(Refusal::quarantined_until(at));
            return None;
        }
        let kind = TargetKind::Service { name: self.service.clone() };
        let targets = self.app.state.targets.load();
        let mut tried = attempts.tried.clone();
        tried.extend(self.suspected_crashes().into_iter().map(|(id, _)| id));
        let mut query = TargetQuery::new(&kind);
        query.tried = &tried;
        query.preferred_data_centre = Some(&self.app.state.data_centre);
        targets.record_demand(&kind);
        match targets.choose(&query, &mut rand::rng(), Instant::now()) {
            // A target that this request could not reach is not tried again.
            Choice::Target(target) if attempts.unreachable.contains(&target.info.id) => None,
            Choice::Target(target) => Some(target),
            Choice::RateLimited => {
                attempts.no_target = Some(Refusal::RateLimited);
                None
            }
            Choice::NoneOpen => None,
        }
    }

    /// Returns which connections an attempt may use; the first one is 1.
    fn connections(&self, attempt: u32) -> Connections {
        let has_next = attempt < self.route.max_attempts;
        match self.repeats() {
            Repeats::Allowed if attempt == 1 && has_next => Connections::Any,
            _ => Connections::Proven,
        }
    }

    /// Sends the request to one target and reads its complete response. `attempt`
    /// counts from 1.
    async fn send(&self, in_flight: InFlight, attempt: u32) -> AttemptOutcome {
        let info = &in_flight.target().info;
        let caller_timeout = self.caller_deadline.saturating_duration_since(Instant::now());
        let outgoing = &self.outgoing;
        let request = target_request(
            info.addr,
            &info.id,
            &outgoing.method,
            &outgoing.uri,
            &outgoing.headers,
            outgoing.body.clone(),
            caller_timeout,
            outgoing.requester.header(),
        );
        let Ok(request) = request else {
            return AttemptOutcome::NotRun;
        };
        let Some(sender) = self.sender(info.addr).await else {
            return AttemptOutcome::NotRun;
        };
        let watched = self.digest.map(|digest| self.app.quarantine.watch(Work::of_request(digest)));
        let sent_at = Instant::now();
        let mut guard = UnansweredGuard::new(self.app, &in_flight, self.hedge_delay());
        // The caller of this function drops the future at the deadline: a
        // target that has not answered by then has not failed.
        let deadline = self.deadline + DEADLINE_SLACK;
        let attempt = TargetAttempt {
            step: "call",
            target: in_flight.target(),
            id: self.id,
            sender,
            connections: self.connections(attempt),
        };
        match self.app.clients.send(attempt, request, deadline).await {
            Ok(response) => {
                guard.mark_answered();
                drop(guard);
                self.read_response(in_flight, response, watched, sent_at).await
            }
            Err(e) => self.record_failure(&in_flight, &e, watched, sent_at),
        }
    }

    /// Returns for whom a request is sent to a target; `None` if it must not be sent.
    async fn sender(&self, target: SocketAddr) -> Option<Sender> {
        match self.job {
            None => Some(Sender::Caller(self.repeats())),
            Some(job) => job.ways(target).await.map(Sender::Job),
        }
    }

    async fn read_response(
        &self,
        in_flight: InFlight,
        response: Response<Incoming>,
        watched: Option<WatchedRun>,
        sent_at: Instant,
    ) -> AttemptOutcome {
        let info = &in_flight.target().info;
        let head = decode_response_head(response.status(), response.headers());
        if !is_answer_to(self.id, response.status(), &head) {
            drop_misaligned(self.app, "call", self.id, &in_flight);
            return AttemptOutcome::Unknown;
        }
        if !head.not_run {
            self.app.clients.record_answer(info.addr, self.id);
            if !self.is_counted.swap(true, Ordering::Relaxed) {
                usage::count(self.app, &self.outgoing.requester, sent_at);
            }
        }
        record_load(self.app, &in_flight, &head);
        if head.not_run {
            let (id, peer, load) = (self.id.as_str(), info.id.as_str(), head.load);
            log::info!(event = "attempt_refused", step = "call", id, peer, load, status = response.status().as_u16(); "the target did not run it");
            return AttemptOutcome::NotRun;
        }
        let deadline = self.deadline + DEADLINE_SLACK;
        match self.app.clients.read_body("call", info.addr, response, deadline).await {
            Ok(response) => {
                let is_whole = matches!(response.body(), ReadBody::Whole(_));
                match (self.digest, self.job) {
                    // How the rest goes isn't known.
                    _ if !is_whole => {
                        let (id, peer) = (self.id.as_str(), info.id.as_str());
                        log::info!(event = "answer_large", step = "call", id, peer; "passed on as it comes");
                    }
                    (Some(digest), None) => self.app.quarantine.record_success(digest),
                    (Some(digest), Some(_)) => {
                        self.app.quarantine.record_run(Work::of_request(digest));
                    }
                    (None, _) => {}
                }
                let targets = self.app.state.targets.load();
                if is_target_failure(response.status()) {
                    targets.record_error(in_flight.target(), Instant::now());
                    let (id, peer) = (self.id.as_str(), info.id.as_str());
                    let status = response.status().as_u16();
                    log::info!(event = "attempt_failed", step = "call", id, peer, status; "the target's response is a server error");
                } else {
                    targets.record_success(in_flight.target());
                }
                let in_flight = (!is_whole).then_some(in_flight);
                AttemptOutcome::Response(Box::new(TargetResponse { response, head, in_flight }))
            }
            Err(e) => self.record_failure(&in_flight, &e, watched, sent_at),
        }
    }

    fn record_failure(
        &self,
        in_flight: &InFlight,
        e: &PlatformError,
        watched: Option<WatchedRun>,
        sent_at: Instant,
    ) -> AttemptOutcome {
        let took_ms = millis(sent_at.elapsed());
        let info = &in_flight.target().info;
        self.app.state.targets.load().record_failure(in_flight.target(), Instant::now());
        let (id, peer) = (self.id.as_str(), info.id.as_str());
        if let Some(run) = watched.filter(|_| e.kind == ErrorKind::Incomplete) {
            self.app.quarantine.record_crash(&run, in_flight.target());
        }
        let digest = self.digest.map(|digest| format!("{digest:032x}"));
        log::info!(event = "attempt_failed", step = e.step, id, peer, digest, took_ms; "{e}");
        match e.kind {
            ErrorKind::Connect => AttemptOutcome::Unreachable(info.id.clone()),
            _ => AttemptOutcome::Unknown,
        }
    }
}
