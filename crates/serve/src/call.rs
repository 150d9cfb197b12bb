//! Requests whose answer is passed on whole.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::RequestHead;
use cassia_adapter::ResponseHead;
use cassia_adapter::decode_response_head;
use cassia_adapter::strip_hop_by_hop;
use cassia_adapter::target_request;
use cassia_ids::RequestId;
use cassia_ids::TargetId;
use cassia_platform::ErrorKind;
use cassia_platform::PlatformError;
use cassia_route::Choice;
use cassia_route::InFlight;
use cassia_route::Route;
use cassia_route::RouteKind;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Uri;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time::sleep_until;

use crate::app::App;
use crate::reply::Body;
use crate::reply::Refusal;
use crate::reply::whole;

/// A second target is tried when the first has not answered after this part
/// of the time within which an answer is of full use.
const SECOND_TRY_AFTER_PERCENT: u32 = 55;
/// A shorter goal, in milliseconds, would try a second target at once.
const LEAST_GOAL_MS: u64 = 20;
/// How much later than a request's deadline its connection is given up.
const DEADLINE_SLACK: Duration = Duration::from_millis(200);
/// Refusals by full targets that a request may meet beyond its attempts.
const MOST_REFUSALS: u32 = 3;
/// Pause after a target refused a request because it is full.
const REFUSED_PAUSE: Duration = Duration::from_millis(15);

/// A request that is passed on.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A target's whole answer.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) answer: Response<Bytes>,
    pub(crate) head: ResponseHead,
}

/// What one target did with a request.
#[derive(Debug)]
pub(crate) enum Ended {
    /// It answered; the answer is whole.
    Answer(Box<Answered>),
    /// It did not run the request, by its own word.
    NotRun,
    /// No connection came about.
    Unreachable(TargetId),
    /// It may have run the request.
    Unknown,
}

/// What became of a request over all its targets.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// A target's answer.
    Answer(Box<Answered>),
    /// Targets ran it and failed, so many times; the last one's answer.
    Failed(Box<Response<Bytes>>, u32),
    /// No answer.
    Refused(Refusal),
}

/// A request that is being passed on.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    pub(crate) app: &'a App,
    pub(crate) id: &'a RequestId,
    pub(crate) route: &'a Route,
    pub(crate) service: SmolStr,
    pub(crate) out: Outgoing,
    pub(crate) deadline: Instant,
    /// Until when the caller waits, if that is longer.
    pub(crate) patience_ends: Instant,
}

/// Answers a caller's request whole.
pub(crate) async fn answer(
    app: &Arc<App>,
    head: &RequestHead,
    route: &Route,
    out: Outgoing,
) -> Response<Body> {
    let Some(service) = route.pick_service(rand::random()).cloned() else {
        return Refusal::NoTarget.answer("choose");
    };
    let now = Instant::now();
    let patience = head.timeout.unwrap_or_else(|| route.timeout());
    let deadline = now + patience.min(route.timeout());
    let patience_ends = now + patience;
    let call = Call { app, id: &head.id, route, service, out, deadline, patience_ends };
    let outcome = match route.kind {
        RouteKind::Idempotent => call.repeatable().await,
        _ => call.at_most_once().await,
    };
    let (id, name) = (head.id.as_str(), route.name.as_str());
    let (took, config) = (now.elapsed(), app.board.config_version());
    let took_ms = millis(took);
    app.metrics.time("request.time", name, took);
    match outcome {
        Outcome::Answer(answered) => {
            let answer = answered.answer;
            let status = answer.status().as_u16();
            log::info!(event = "request_done", step = "call", id, route = name, status, took_ms, config; "answered");
            app.metrics.count("request.answered", name);
            pass_on(answer)
        }
        Outcome::Failed(answer, failures) => {
            let status = answer.status().as_u16();
            log::info!(event = "request_failed", step = "call", id, route = name, status, failures, took_ms, config; "its targets ran it and failed");
            app.metrics.count("request.failed", name);
            pass_on(*answer)
        }
        Outcome::Refused(refusal) => {
            let (kind, ran) = (refusal.kind(), refusal.ran());
            log::info!(event = "request_refused", step = "call", id, route = name, kind, ran, took_ms, config; "no target's answer");
            app.metrics.count("request.refused", name);
            refusal.answer("call")
        }
    }
}

/// Turns a target's answer into the caller's: the same, but for the headers
/// that concern one connection.
fn pass_on(answer: Response<Bytes>) -> Response<Body> {
    let (parts, body) = answer.into_parts();
    let mut passed = Response::new(whole(body));
    *passed.status_mut() = parts.status;
    *passed.headers_mut() = strip_hop_by_hop(&parts.headers);
    passed
}

impl Call<'_> {
    /// Sends the request until one target has answered with success; a second
    /// target is tried while a slow one is still waited for.
    pub(crate) async fn repeatable(&self) -> Outcome {
        let mut running = FuturesUnordered::new();
        let mut tally = Tally::default();
        loop {
            if running.is_empty() || tally.wants_more {
                tally.wants_more = false;
                if let Some(target) = self.next_target(&mut tally) {
                    running.push(self.send(target));
                }
            }
            if running.is_empty() {
                return tally.give_up();
            }
            let second = Instant::now() + self.second_try_after();
            tokio::select! {
                Some(ended) = running.next() => {
                    if let Some(outcome) = tally.take(ended) {
                        return outcome;
                    }
                    if tally.last_not_run {
                        tokio::time::sleep(REFUSED_PAUSE).await;
                    }
                    tally.wants_more = true;
                }
                () = sleep_until(second.into()), if tally.sent < self.route.max_attempts => {
                    tally.wants_more = true;
                }
                () = sleep_until(self.deadline.into()) => return tally.too_late(),
            }
        }
    }

    /// Sends the request to one target after the other, as long as it is known
    /// that the one before did not run it.
    async fn at_most_once(&self) -> Outcome {
        let mut tally = Tally::default();
        while let Some(target) = self.next_target(&mut tally) {
            let ended = tokio::time::timeout_at(self.deadline.into(), self.send(target)).await;
            match ended {
                Ok(Ended::Answer(answered)) => return Outcome::Answer(answered),
                Ok(ended @ (Ended::NotRun | Ended::Unreachable(_))) => {
                    tally.take(ended);
                    tokio::time::sleep(REFUSED_PAUSE).await;
                }
                Ok(Ended::Unknown) => return Outcome::Refused(Refusal::Lost),
                Err(_) => return Outcome::Refused(Refusal::TooLate),
            }
        }
        tally.give_up()
    }

    fn second_try_after(&self) -> Duration {
        let goal = Duration::from_millis(self.route.slo_ms.max(LEAST_GOAL_MS));
        goal * SECOND_TRY_AFTER_PERCENT / 100
    }

    /// Chooses the next target; none if no attempt is left or none is open.
    fn next_target(&self, tally: &mut Tally) -> Option<InFlight> {
        if tally.sent >= self.route.max_attempts || tally.refusals > MOST_REFUSALS {
            return None;
        }
        let kind = TargetKind::Service { name: self.service.clone() };
        let targets = self.app.board.targets.load();
        let mut wanted = TargetQuery::new(&kind);
        wanted.tried = &tally.tried;
        wanted.preferred_data_centre = Some(&self.app.board.data_centre);
        let Choice::Target(target) = targets.choose(&wanted, &mut rand::rng(), Instant::now())
        else {
            return None;
        };
        // A target that this request could not reach won't be reached by it.
        if tally.unreachable.contains(&target.info.id) {
            return None;
        }
        let counted = target.start_request()?;
        log_attempt(self.app, self.id, &counted, tally.sent + 1);
        tally.tried.push(target.info.id.clone());
        tally.sent += 1;
        Some(counted)
    }

    /// Sends the request to one target and reads its whole answer.
    async fn send(&self, target: InFlight) -> Ended {
        let listed = &target.target().info;
        let patience = self.patience_ends.saturating_duration_since(Instant::now());
        let out = &self.out;
        let request = target_request(
            listed.addr,
            &listed.id,
            &out.method,
            &out.uri,
            &out.headers,
            out.body.clone(),
            patience,
        );
        let Ok(request) = request else {
            return Ended::NotRun;
        };
        let mut unanswered = Unanswered::new(self.app, &target, self.second_try_after());
        // Whoever waits for this ends it at the deadline: a target that is not
        // done by then has not failed.
        let deadline = self.deadline + DEADLINE_SLACK;
        match self.app.client.send_any_status("call", listed.addr, request, deadline).await {
            Ok(answer) => {
                unanswered.answered();
                self.judge(&target, answer).await
            }
            Err(e) => self.failed(&target, &e),
        }
    }

    async fn judge(&self, target: &InFlight, answer: Response<Incoming>) -> Ended {
        let listed = &target.target().info;
        let head = decode_response_head(answer.status(), answer.headers());
        if head.id.as_ref().is_some_and(|id| id != self.id) {
            // The late answer to another request: the connection is done for.
            self.app.client.drop_pool(listed.addr);
            log::warn!(event = "foreign_answer", step = "call", id = self.id.as_str(), target = listed.id.as_str(); "dropped");
            return Ended::Unknown;
        }
        note_load(self.app, target, &head);
        if head.not_run {
            let (id, peer, load) = (self.id.as_str(), listed.id.as_str(), head.load);
            log::info!(event = "attempt_refused", step = "call", id, peer, load, status = answer.status().as_u16(); "the target did not run it");
            return Ended::NotRun;
        }
        let deadline = self.deadline + DEADLINE_SLACK;
        match self.app.client.read_body("call", listed.addr, answer, deadline).await {
            Ok(answer) => {
                let targets = self.app.board.targets.load();
                if is_own_failure(answer.status()) {
                    targets.record_error(target.target(), Instant::now());
                } else {
                    targets.record_success(target.target());
                }
                Ended::Answer(Box::new(Answered { answer, head }))
            }
            Err(e) => self.failed(target, &e),
        }
    }

    fn failed(&self, target: &InFlight, e: &PlatformError) -> Ended {
        let listed = &target.target().info;
        self.app.board.targets.load().record_failure(target.target(), Instant::now());
        let (id, peer) = (self.id.as_str(), listed.id.as_str());
        log::info!(event = "attempt_failed", step = e.step, id, peer; "{e}");
        match e.kind {
            ErrorKind::Connect => Ended::Unreachable(listed.id.clone()),
            _ => Ended::Unknown,
        }
    }
}

/// Logs that a request goes to a target, and what the choice rested on.
pub(crate) fn log_attempt(app: &App, id: &str, target: &InFlight, attempt: u32) {
    let (others, age) = app.board.targets.load().last_report(target.target(), Instant::now());
    let (peer, own) = (target.target().info.id.as_str(), target.target().in_flight());
    let age_ms = millis(age);
    log::info!(event = "attempt", step = "choose", id, peer, attempt, own, others, age_ms; "sent");
}

/// A request at a target that has given no answer yet; if it is dropped after
/// a time in which others answer, that counts against the target.
#[derive(Debug)]
struct Unanswered<'a> {
    app: &'a App,
    target: &'a InFlight,
    late_from: Instant,
    is_answered: bool,
}

impl<'a> Unanswered<'a> {
    fn new(app: &'a App, target: &'a InFlight, usual: Duration) -> Self {
        Self { app, target, late_from: Instant::now() + usual, is_answered: false }
    }

    fn answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        if !self.is_answered && now >= self.late_from {
            self.app.board.targets.load().record_unanswered(self.target.target(), now);
        }
    }
}

/// Takes in what a target's answer says of its load.
pub(crate) fn note_load(app: &App, target: &InFlight, head: &ResponseHead) {
    let targets = app.board.targets.load();
    if let Some(load) = head.load {
        targets.record_report(target.target(), load, load, Duration::ZERO, Instant::now());
    }
    if head.wrong_target {
        targets.record_failure(target.target(), Instant::now());
    }
}

/// What the targets of one request did so far.
#[derive(Debug, Default)]
struct Tally {
    sent: u32,
    refusals: u32,
    may_have_run: bool,
    wants_more: bool,
    last_not_run: bool,
    /// Targets that it was sent to.
    tried: Vec<TargetId>,
    /// Of those, the ones that no connection came about with.
    unreachable: Vec<TargetId>,
    /// A target's own failure, passed on if nothing better comes.
    failure: Option<Response<Bytes>>,
    failures: u32,
}

impl Tally {
    /// Takes in how one target ended; gives the outcome if that decides it.
    fn take(&mut self, ended: Ended) -> Option<Outcome> {
        self.last_not_run = matches!(ended, Ended::NotRun);
        match ended {
            Ended::Answer(answered) if !is_own_failure(answered.answer.status()) => {
                Some(Outcome::Answer(answered))
            }
            Ended::Answer(answered) => {
                self.may_have_run = true;
                self.failures += 1;
                self.failure = Some(answered.answer);
                None
            }
            Ended::NotRun => {
                self.sent = self.sent.saturating_sub(1);
                self.refusals += 1;
                None
            }
            Ended::Unreachable(target) => {
                self.sent = self.sent.saturating_sub(1);
                self.unreachable.push(target);
                None
            }
            Ended::Unknown => {
                self.may_have_run = true;
                None
            }
        }
    }

    fn give_up(self) -> Outcome {
        match self.failure {
            Some(answer) => Outcome::Failed(Box::new(answer), self.failures),
            None if self.may_have_run => Outcome::Refused(Refusal::Lost),
            None => Outcome::Refused(Refusal::NoTarget),
        }
    }

    fn too_late(self) -> Outcome {
        match self.failure {
            Some(answer) => Outcome::Failed(Box::new(answer), self.failures),
            None => Outcome::Refused(Refusal::TooLate),
        }
    }
}

/// Whether another target may do better.
fn is_own_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
