//! One order to one engine.

use std::time::Duration;
use std::time::Instant;

use cassia_adapter::EngineReport;
use cassia_adapter::OrderResponse;
use cassia_adapter::VersionOrder;
use cassia_adapter::decode_order_response;
use cassia_adapter::decode_report;
use cassia_adapter::order_request;
use cassia_adapter::report_request;
use cassia_ids::Fence;
use cassia_ids::ModelName;
use cassia_ids::TargetId;
use cassia_ids::Version;
use cassia_orders::LoadTracker;
use cassia_platform::ErrorKind;
use cassia_route::Heartbeat;
use futures::future::join_all;

use crate::app::App;

const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Given {
    /// The engine carries it out, or may do so.
    Loads,
    /// It does not.
    Refused,
}

/// Engines of a model that are asked in one round how far they are. Those that
/// are not tell by their heartbeats.
const ASKED: usize = 8;

/// Asks the engines that have loaded for the longest whether they are done.
pub(crate) async fn learn_progress(app: &App, model: &ModelName, swaps: &LoadTracker) {
    let ids = swaps.longest_in_progress(ASKED);
    join_all(ids.iter().map(|id| report(app, id, model))).await;
}

/// Reads an engine's report, and takes in the version that it tells.
async fn report(app: &App, id: &TargetId, model: &ModelName) -> Option<(Heartbeat, EngineReport)> {
    let beat = app.board.heartbeats.load().iter().find(|beat| beat.id == *id)?.clone();
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let request = report_request(beat.addr).ok()?;
    let answer = app.client.fetch("report", beat.addr, request, deadline).await;
    let report = match answer {
        Ok(answer) => decode_report(answer.body()),
        Err(e) => {
            log::debug!(event = "report_failed", step = e.step, peer = id.as_str(); "{e}");
            return None;
        }
    };
    let report = report.ok()?;
    for (name, version) in report.versions.iter().filter(|(name, _)| name == model) {
        app.board.learn_version(id, beat.started_ms, name, *version);
    }
    Some((beat, report))
}

/// Gives an engine the order to load a version, if the lease still holds at
/// the moment of the write.
pub(crate) async fn give(
    app: &App,
    id: &TargetId,
    model: &ModelName,
    version: Version,
    fence: Fence,
    may_send: &impl Fn() -> bool,
) -> Given {
    let Some((beat, report)) = report(app, id, model).await else {
        return Given::Refused;
    };
    if report.busy || app.board.version_of(id, model) >= Some(version) {
        return Given::Refused;
    }
    let order = VersionOrder {
        engine: id.clone(),
        model: model.clone(),
        version,
        holder: app.board.host.clone(),
        fence: fence + 1,
        expected_orders: report.orders,
        drain_first: false,
    };
    let Ok(request) = order_request(beat.addr, &order) else {
        return Given::Refused;
    };
    if !may_send() {
        return Given::Refused;
    }
    let deadline = Instant::now() + ORDER_TIMEOUT;
    let answer = app.client.send_any_status("order", beat.addr, request, deadline).await;
    let (given, outcome) = match &answer {
        Ok(answer) => match decode_order_response(answer.status()) {
            outcome @ (OrderResponse::Accepted | OrderResponse::AlreadyApplied) => {
                (Given::Loads, outcome.to_string())
            }
            outcome => (Given::Refused, outcome.to_string()),
        },
        Err(e) if e.kind == ErrorKind::Connect => (Given::Refused, e.to_string()),
        // It may be carried out yet; the count of orders that it names keeps
        // it from being carried out after a later one.
        Err(e) => (Given::Loads, e.to_string()),
    };
    let (target, model) = (id.as_str(), model.as_str());
    log::info!(event = "order", step = "order", target, model, version, fence, after_orders = report.orders, outcome; "given");
    given
}
