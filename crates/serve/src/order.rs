//! Engines' reports and orders to engines.

use std::time::Duration;
use std::time::Instant;

use cassia_adapter::EngineReport;
use cassia_adapter::OrderResponse;
use cassia_adapter::VersionOrder;
use cassia_adapter::decode_order_response;
use cassia_adapter::decode_report;
use cassia_adapter::order_request;
use cassia_adapter::report_request;
use cassia_clients::ErrorKind;
use cassia_ids::Fence;
use cassia_ids::ModelName;
use cassia_ids::TargetId;
use cassia_ids::Version;
use cassia_orders::LoadTracker;
use cassia_route::Heartbeat;
use futures::future::join_all;

use crate::app::App;

const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    /// The engine carries it out, or may carry it out.
    Loading,
    /// It was not sent, or the engine refused it.
    Refused,
}

/// Maximum number of a model's engines whose reports are read in one round.
/// The heartbeats show the progress of the others.
const MAX_POLLED_ENGINES: usize = 8;

/// Reads the reports of the engines that have been loading for the longest
/// time, and records their versions.
pub(crate) async fn poll_progress(app: &App, model: &ModelName, tracker: &LoadTracker) {
    let ids = tracker.longest_in_progress(MAX_POLLED_ENGINES);
    join_all(ids.iter().map(|id| poll_report(app, id, model))).await;
}

/// Reads an engine's report and records its version of the model.
async fn poll_report(
    app: &App,
    id: &TargetId,
    model: &ModelName,
) -> Option<(Heartbeat, EngineReport)> {
    let heartbeat =
        app.state.heartbeats.load().iter().find(|heartbeat| heartbeat.id == *id)?.clone();
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let request = report_request(heartbeat.addr).ok()?;
    let response = app.client.fetch("report", heartbeat.addr, request, deadline).await;
    let report = match response {
        Ok(response) => decode_report(response.body()),
        Err(e) => {
            log::debug!(event = "report_failed", step = e.step, peer = id.as_str(); "{e}");
            return None;
        }
    };
    let report = report.ok()?;
    for (name, version) in report.versions.iter().filter(|(name, _)| name == model) {
        app.state.record_version(id, heartbeat.started_ms, name, *version);
    }
    Some((heartbeat, report))
}

/// Sends an engine the order to load a version, if `may_send` returns true
/// right before sending.
pub(crate) async fn send_order(
    app: &App,
    id: &TargetId,
    model: &ModelName,
    version: Version,
    fence: Fence,
    may_send: &impl Fn() -> bool,
) -> OrderOutcome {
    let Some((heartbeat, report)) = poll_report(app, id, model).await else {
        return OrderOutcome::Refused;
    };
    if report.busy || app.state.version_of(id, model) >= Some(version) {
        return OrderOutcome::Refused;
    }
    let order = VersionOrder {
        engine: id.clone(),
        model: model.clone(),
        version,
        holder: app.state.host.clone(),
        fence: fence + 1,
        expected_orders: report.orders,
        drain_first: false,
    };
    let Ok(request) = order_request(heartbeat.addr, &order) else {
        return OrderOutcome::Refused;
    };
    if !may_send() {
        return OrderOutcome::Refused;
    }
    let deadline = Instant::now() + ORDER_TIMEOUT;
    let response = app.client.send_any_status("order", heartbeat.addr, request, deadline).await;
    let (load_outcome, outcome) = match &response {
        Ok(response) => match decode_order_response(response.status()) {
            outcome @ (OrderResponse::Accepted | OrderResponse::AlreadyApplied) => {
                (OrderOutcome::Loading, outcome.to_string())
            }
            outcome => (OrderOutcome::Refused, outcome.to_string()),
        },
        Err(e) if e.kind == ErrorKind::Connect => (OrderOutcome::Refused, e.to_string()),
        // The engine may still carry it out, but not after a later order: it
        // then refuses this one because of `expected_orders`.
        Err(e) => (OrderOutcome::Loading, e.to_string()),
    };
    let (target, model) = (id.as_str(), model.as_str());
    log::info!(event = "order", step = "order", target, model, version, fence, after_orders = report.orders, outcome; "order sent");
    load_outcome
}
