//! Requests whose answer is a stream that is passed on as it arrives.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::RequestHead;
use cassia_adapter::decode_response_head;
use cassia_adapter::strip_hop_by_hop;
use cassia_adapter::target_request;
use cassia_platform::ErrorKind;
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
use crate::call::note_load;
use crate::reply::Body;
use crate::reply::Refusal;

/// Answers a caller's request with a stream.
///
/// It goes to another target only as long as it is known that the one before
/// did not run it. One that breaks off breaks off towards the caller too, who
/// may go on after the last event it has.
pub(crate) async fn answer(
    app: &Arc<App>,
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: Bytes,
) -> Response<Body> {
    let Some(service) = route.pick_service(rand::random()).cloned() else {
        return Refusal::NoTarget.answer("choose");
    };
    let kind = TargetKind::Service { name: service };
    let patience_ends = Instant::now() + head.timeout.unwrap_or_else(|| route.timeout());
    let deadline = patience_ends.min(Instant::now() + route.timeout());
    let mut tried = Vec::new();
    for _ in 0..route.max_attempts {
        let mut wanted = TargetQuery::new(&kind);
        wanted.tried = &tried;
        wanted.preferred_data_centre = Some(&app.board.data_centre);
        let targets = app.board.targets.load_full();
        let Choice::Target(target) = targets.choose(&wanted, &mut rand::rng(), Instant::now())
        else {
            break;
        };
        let Some(target) = target.start_request() else { continue };
        tried.push(target.target().info.id.clone());
        let patience = patience_ends.saturating_duration_since(Instant::now());
        let listed = &target.target().info;
        let request = target_request(
            listed.addr,
            &listed.id,
            &parts.method,
            &parts.uri,
            &parts.headers,
            body.clone(),
            patience,
        );
        let Ok(request) = request else {
            return Refusal::BadRequest.answer("stream");
        };
        match app.client.send_any_status("stream", listed.addr, request, deadline).await {
            Ok(answer) => {
                let run = decode_response_head(answer.status(), answer.headers());
                note_load(app, &target, &run);
                if run.id.as_ref().is_some_and(|id| *id != head.id) {
                    app.client.drop_pool(listed.addr);
                    return Refusal::Lost.answer("stream");
                }
                if !run.not_run {
                    return pass_on(answer, target);
                }
            }
            Err(e) if e.kind == ErrorKind::Connect => {
                targets.record_failure(target.target(), Instant::now());
            }
            Err(e) => {
                targets.record_failure(target.target(), Instant::now());
                log::info!(event = "attempt_failed", step = e.step, id = head.id.as_str(), peer = listed.id.as_str(); "{e}");
                return Refusal::Lost.answer("stream");
            }
        }
    }
    Refusal::NoTarget.answer("stream")
}

/// Passes the stream on; the target counts as used until it ends.
fn pass_on(answer: Response<Incoming>, target: InFlight) -> Response<Body> {
    let (parts, body) = answer.into_parts();
    let body = body.map_frame(move |frame| {
        let _in_use = &target;
        frame
    });
    let mut passed = Response::new(body.map_err(anyhow::Error::from).boxed_unsync());
    *passed.status_mut() = parts.status;
    *passed.headers_mut() = strip_hop_by_hop(&parts.headers);
    passed
}
