//! Requests whose response is a stream, which is forwarded as it arrives.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::RequestHead;
use cassia_adapter::decode_response_head;
use cassia_adapter::strip_hop_by_hop;
use cassia_adapter::target_request;
use cassia_clients::ErrorKind;
use cassia_route::Choice;
use cassia_route::InFlight;
use cassia_route::Route;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use http::Response;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::app::App;
use crate::call::record_load;
use crate::response::Body;
use crate::response::Refusal;

/// Handles a caller's request whose response is a stream.
///
/// The request is sent to another target only if the previous one certainly
/// did not run it. If the target's stream is interrupted, the caller's stream
/// is interrupted too, and the caller may resume after the last event received.
pub(crate) async fn handle(
    app: &Arc<App>,
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: Bytes,
) -> Response<Body> {
    let Some(service) = route.pick_service(rand::random()).cloned() else {
        return Refusal::NoTarget.response("choose");
    };
    let kind = TargetKind::Service { name: service };
    let caller_deadline = Instant::now() + head.timeout.unwrap_or_else(|| route.timeout());
    let deadline = caller_deadline.min(Instant::now() + route.timeout());
    let mut tried = Vec::new();
    for _ in 0..route.max_attempts {
        let mut query = TargetQuery::new(&kind);
        query.tried = &tried;
        query.preferred_data_centre = Some(&app.state.data_centre);
        let targets = app.state.targets.load_full();
        let Choice::Target(target) = targets.choose(&query, &mut rand::rng(), Instant::now())
        else {
            break;
        };
        let Some(in_flight) = target.start_request() else { continue };
        tried.push(in_flight.target().info.id.clone());
        let caller_timeout = caller_deadline.saturating_duration_since(Instant::now());
        let info = &in_flight.target().info;
        let request = target_request(
            info.addr,
            &info.id,
            &parts.method,
            &parts.uri,
            &parts.headers,
            body.clone(),
            caller_timeout,
        );
        let Ok(request) = request else {
            return Refusal::BadRequest.response("stream");
        };
        match app.client.send_any_status("stream", info.addr, request, deadline).await {
            Ok(response) => {
                let response_head = decode_response_head(response.status(), response.headers());
                record_load(app, &in_flight, &response_head);
                if response_head.id.as_ref().is_some_and(|id| *id != head.id) {
                    app.client.drop_pool(info.addr);
                    return Refusal::OutcomeUnknown.response("stream");
                }
                if !response_head.not_run {
                    return forward_response(response, in_flight);
                }
            }
            Err(e) if e.kind == ErrorKind::Connect => {
                targets.record_failure(in_flight.target(), Instant::now());
            }
            Err(e) => {
                targets.record_failure(in_flight.target(), Instant::now());
                log::info!(event = "attempt_failed", step = e.step, id = head.id.as_str(), peer = info.id.as_str(); "{e}");
                return Refusal::OutcomeUnknown.response("stream");
            }
        }
    }
    Refusal::NoTarget.response("stream")
}

/// Forwards the stream; the request counts as in flight until the stream ends.
fn forward_response(response: Response<Incoming>, in_flight: InFlight) -> Response<Body> {
    let (parts, body) = response.into_parts();
    let body = body.map_frame(move |frame| {
        let _in_flight = &in_flight;
        frame
    });
    let mut forwarded = Response::new(body.map_err(anyhow::Error::from).boxed_unsync());
    *forwarded.status_mut() = parts.status;
    *forwarded.headers_mut() = strip_hop_by_hop(&parts.headers);
    forwarded
}
