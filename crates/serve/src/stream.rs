//! Requests whose response is a stream, which is forwarded as it arrives.

use std::sync::Arc;
use std::time::Instant;

use cassia_adapter::RequestHead;
use cassia_adapter::decode_response_head;
use cassia_adapter::target_request;
use cassia_clients::ErrorKind;
use cassia_ids::TargetId;
use cassia_quarantine::RequestDigest;
use cassia_quarantine::RunDecision;
use cassia_quarantine::SendDecision;
use cassia_quarantine::Work;
use cassia_route::Choice;
use cassia_route::Route;
use cassia_route::RouteKind;
use cassia_route::Target;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use cassia_route::TargetSet;
use http::Response;

use crate::answer::drop_misaligned;
use crate::answer::is_answer_to;
use crate::answer::log_attempt;
use crate::answer::record_load;
use crate::app::App;
use crate::call::OutgoingRequest;
use crate::exposure;
use crate::exposure::Unanswered;
use crate::forwarded_stream;
use crate::forwarded_stream::StreamContext;
use crate::incarnation;
use crate::response::Body;
use crate::response::Refusal;
use crate::resume;
use crate::target_clients::Connections;
use crate::target_clients::Repeats;
use crate::target_clients::Sender;
use crate::target_clients::TargetAttempt;

/// Handles a caller's request whose response is a stream.
///
/// The request is sent to another target only if the previous one certainly
/// did not run it. If the target's stream is interrupted, the caller's stream
/// is interrupted too, and the caller may resume after the last event received.
pub(crate) async fn handle(
    app: &Arc<App>,
    head: &RequestHead,
    route: &Route,
    outgoing: &OutgoingRequest,
) -> Response<Body> {
    let origin = match resume::find_origin(app, head, route).await {
        Ok(origin) => origin,
        Err(refusal) => {
            let (id, kind) = (head.id.as_str(), refusal.kind());
            log::info!(event = "request_refused", step = "resume", id, kind; "not forwarded");
            return refusal.response("resume");
        }
    };
    let (service, software) = (origin.service, origin.software);
    let is_resumable = route.kind == RouteKind::Stream { resumable: true };
    let kind = TargetKind::Service { name: service };
    let route_deadline = Instant::now() + route.timeout();
    let caller_deadline = head.timeout.map_or(route_deadline, |timeout| Instant::now() + timeout);
    let deadline = caller_deadline.min(route_deadline);
    let (mut tried, mut refusal) = (Vec::new(), Refusal::NoTarget);
    let digest = outgoing.digest(&head.host);
    for _ in 0..route.max_attempts {
        if let RunDecision::RunAt(at) = app.quarantine.next_request(digest) {
            refusal = Refusal::quarantined_until(at);
            break;
        }
        let targets = app.state.targets.load_full();
        let target = match choose(app, &targets, &kind, &tried, software.as_deref()) {
            Choice::Target(target) => target,
            Choice::RateLimited => {
                refusal = Refusal::RateLimited;
                break;
            }
            Choice::NoneOpen => break,
        };
        if let Some(kept) = begin_suspect(app, digest, &target).await {
            refusal = kept;
            break;
        }
        let Some(in_flight) = targets.start_request(&target, Instant::now()) else { continue };
        tried.push(in_flight.target().info.id.clone());
        if software.is_some() && !incarnation::is_listed(app, &target).await {
            continue;
        }
        log_attempt(app, &head.id, &in_flight, u32::try_from(tried.len()).unwrap_or(u32::MAX));
        let caller_timeout = caller_deadline.saturating_duration_since(Instant::now());
        let info = &in_flight.target().info;
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
            return Refusal::BadRequest.response("stream");
        };
        let attempt = TargetAttempt {
            step: "stream",
            target: in_flight.target(),
            id: &head.id,
            sender: Sender::Caller(Repeats::AtMostOnce),
            connections: Connections::Proven,
        };
        let watched = app.quarantine.watch(Work::of_request(digest));
        match app.clients.send(attempt, request, deadline).await {
            Ok(response) => {
                let response_head = decode_response_head(response.status(), response.headers());
                if !is_answer_to(&head.id, response.status(), &response_head) {
                    drop_misaligned(app, "stream", &head.id, &in_flight);
                    return Refusal::OutcomeUnknown.response("stream");
                }
                record_load(app, &in_flight, &response_head);
                if !response_head.not_run {
                    if response.status().is_success() && is_resumable {
                        app.streams.begin(head, in_flight.target());
                        app.streams.wait_until_announced(app, in_flight.target()).await;
                    }
                    let requester = &outgoing.requester;
                    let stream =
                        StreamContext { app, head, watched, requester, in_flight, route_deadline };
                    return forwarded_stream::forward(stream, response);
                }
            }
            Err(e) if e.kind == ErrorKind::Connect => {
                targets.record_failure(in_flight.target(), Instant::now());
            }
            Err(e) => {
                targets.record_failure(in_flight.target(), Instant::now());
                if e.kind == ErrorKind::Incomplete {
                    app.quarantine.record_crash(&watched, in_flight.target());
                }
                log::info!(event = "attempt_failed", step = e.step, id = head.id.as_str(), peer = info.id.as_str(); "{e}");
                exposure::await_report(app, deadline).await;
                return Refusal::OutcomeUnknown.response("stream");
            }
        }
    }
    refusal.response("stream")
}

/// Begins to send a request to a target, as far as targets crashed under it before. Returns
/// the refusal if it must not be sent.
async fn begin_suspect(app: &App, digest: RequestDigest, target: &Target) -> Option<Refusal> {
    if exposure::decide(app, digest, target, Unanswered::default()).await != SendDecision::Send {
        return Some(Refusal::LastTarget);
    }
    match app.quarantine.begin_request(digest) {
        RunDecision::Run => None,
        RunDecision::RunAt(at) => Some(Refusal::quarantined_until(at)),
    }
}

/// Chooses a target that was not tried, of a version of the software if that is given.
fn choose(
    app: &App,
    targets: &TargetSet,
    kind: &TargetKind,
    tried: &[TargetId],
    software: Option<&str>,
) -> Choice {
    let mut query = TargetQuery::new(kind);
    query.tried = tried;
    query.software = software;
    query.preferred_data_centre = Some(&app.state.data_centre);
    targets.record_demand(kind);
    targets.choose(&query, &mut rand::rng(), Instant::now())
}
