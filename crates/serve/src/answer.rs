//! What a target's response says: whether it answers the request, and how the target
//! fares.

use std::time::Duration;
use std::time::Instant;

use cassia_adapter::ResponseHead;
use cassia_route::InFlight;
use http::StatusCode;

use crate::app::App;
use crate::clock::millis;

/// Returns whether a response answers the request with this id. One that ran must
/// say so: without an id it may be the late copy of another one's answer. So may a
/// success without the target's signature.
pub(crate) fn is_answer_to(id: &str, status: StatusCode, head: &ResponseHead) -> bool {
    match &head.id {
        Some(answered) => answered == id && (!status.is_success() || head.signature.is_some()),
        None => head.not_run,
    }
}

/// Drops the connections to a target on which another request's response has come:
/// the one that was due follows it.
pub(crate) fn drop_misaligned(app: &App, step: &str, id: &str, in_flight: &InFlight) {
    let info = &in_flight.target().info;
    app.clients.drop_pools(info.addr);
    let peer = info.id.as_str();
    log::warn!(event = "foreign_answer", step, id, peer; "dropped a response that belongs to another request or to none");
}

/// Records what a target's response states about the target.
pub(crate) fn record_load(app: &App, in_flight: &InFlight, head: &ResponseHead) {
    let targets = app.state.targets.load();
    if let Some(load) = head.load {
        targets.record_report(in_flight.target(), load, load, Duration::ZERO, Instant::now());
    }
    if head.wrong_target {
        targets.record_failure(in_flight.target(), Instant::now());
        return;
    }
    if head.leaving {
        app.state.closed_targets.record_leaving(in_flight.target(), "call");
    }
    // A refusal without a limit doesn't end one: a full target refuses before it
    // states anything.
    if head.not_run && head.rate_limit.is_none() {
        return;
    }
    if targets.record_rate_limit(in_flight.target(), head.rate_limit, Instant::now()) {
        app.state.target_limited.notify_one();
        let (target, limit) = (in_flight.target().info.id.as_str(), head.rate_limit);
        log::info!(event = "target_limit", step = "call", target, limit; "the target states another limit on requests a second");
    }
}

/// Logs that a request is sent to a target, and the load that the choice was
/// based on.
pub(crate) fn log_attempt(app: &App, id: &str, in_flight: &InFlight, attempt: u32) {
    let (others, age) = app.state.targets.load().last_report(in_flight.target(), Instant::now());
    let (peer, own) = (in_flight.target().info.id.as_str(), in_flight.target().in_flight());
    let (age_ms, limit) = (millis(age), in_flight.target().rate_limit());
    let software = in_flight.target().info.software.as_str();
    log::info!(event = "attempt", step = "choose", id, peer, software, attempt, own, others, age_ms, limit; "sent");
}
