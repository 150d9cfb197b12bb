//! Engines' reports and orders to engines.

use std::collections::HashMap;
use std::sync::Arc;
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
use cassia_lease::HeldLease;
use cassia_orders::DueLoad;
use cassia_orders::LoadTracker;
use cassia_route::Heartbeat;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::app::App;

const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time from sending an order to its arrival, including the
/// connection.
pub(crate) const MAX_ORDER_DELAY: Duration = ORDER_TIMEOUT;

/// An order is only sent if the lease is valid for this much longer, which
/// covers most of the time until the order arrives.
const SEND_MARGIN: Duration = Duration::from_millis(400);
/// Maximum number of a model's engines whose reports are read in one round.
/// The heartbeats show the progress of the others.
const MAX_POLLED_ENGINES: usize = 8;

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    /// The engine carries it out, or may carry it out.
    Loading,
    /// It was not sent, or the engine refused it.
    Refused,
    /// The engine did not answer, and got no order.
    Unreachable,
    /// The same, but another host reaches the engine.
    CutOff,
}

/// The lease under which an order is sent.
#[derive(Clone, Debug)]
pub(crate) struct OrderLease {
    /// The fencing token when the order was started.
    pub(crate) fence: Fence,
    /// The lease as it is now.
    pub(crate) held: watch::Receiver<Option<HeldLease>>,
    /// Latest time at which the last order that was sent may arrive.
    pub(crate) last_arrival: watch::Sender<Option<Instant>>,
}

impl OrderLease {
    /// Returns whether the order may still be sent.
    fn may_send(&self, now: Instant) -> bool {
        let held = *self.held.borrow();
        held.is_some_and(|held| held.fence == self.fence && now + SEND_MARGIN < held.until)
    }

    /// Records that an order is sent now.
    fn record_sent(&self, now: Instant) {
        self.last_arrival.send_modify(|last| *last = (*last).max(Some(now + MAX_ORDER_DELAY)));
    }
}

/// The reports of loading engines that are being read, at most one an engine.
#[derive(Debug, Default)]
pub(crate) struct EngineReports {
    running: HashMap<TargetId, JoinHandle<()>>,
}

impl EngineReports {
    /// Begins to read the reports of the engines that have been loading for
    /// the longest time. Their versions are recorded as the reports arrive.
    pub(crate) fn read_progress(
        &mut self,
        app: &Arc<App>,
        model: &ModelName,
        tracker: &LoadTracker,
    ) {
        self.running.retain(|_, task| !task.is_finished());
        for id in tracker.longest_in_progress(MAX_POLLED_ENGINES) {
            let (app, model) = (Arc::clone(app), model.clone());
            self.running.entry(id.clone()).or_insert_with(|| {
                tokio::spawn(async move {
                    poll_report(&app, &id, &model).await;
                })
            });
        }
    }
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
    let response = app.clients.reports().fetch("report", heartbeat.addr, request, deadline).await;
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

/// Sends an engine the order to load a version, if the lease is still held
/// right before sending.
pub(crate) async fn send_order(
    app: Arc<App>,
    due: DueLoad,
    lease: OrderLease,
) -> (DueLoad, OrderOutcome) {
    let outcome = try_send_order(&app, &due, &lease).await;
    (due, outcome)
}

async fn try_send_order(app: &App, due: &DueLoad, lease: &OrderLease) -> OrderOutcome {
    let (id, model, version) = (&due.engine.id, &due.model, due.version);
    let Some((heartbeat, report)) = poll_report(app, id, model).await else {
        return why_unreachable(app, id).await;
    };
    if report.busy || app.state.version_of(id, model) >= Some(version) {
        return OrderOutcome::Refused;
    }
    let order = VersionOrder {
        engine: id.clone(),
        model: model.clone(),
        version,
        holder: app.state.host.clone(),
        fence: lease.fence + 1,
        expected_orders: report.orders,
        drain_first: false,
    };
    let Ok(request) = order_request(heartbeat.addr, &order) else {
        return OrderOutcome::Refused;
    };
    if !lease.may_send(app.clock.now()) {
        return OrderOutcome::Refused;
    }
    lease.record_sent(app.clock.now());
    let deadline = Instant::now() + ORDER_TIMEOUT;
    let response =
        app.clients.orders().send_any_status("order", heartbeat.addr, request, deadline).await;
    let (load_outcome, outcome) = match &response {
        Ok(response) => match decode_order_response(response.status()) {
            outcome @ (OrderResponse::Accepted | OrderResponse::AlreadyApplied) => {
                (OrderOutcome::Loading, outcome.to_string())
            }
            outcome => {
                if outcome == OrderResponse::Conflict {
                    // The report was outdated, perhaps a late copy.
                    app.clients.reports().drop_pool(heartbeat.addr);
                }
                (OrderOutcome::Refused, outcome.to_string())
            }
        },
        Err(e) if e.kind == ErrorKind::Connect => (why_unreachable(app, id).await, e.to_string()),
        // The engine may still carry it out, but not after a later order: it
        // then refuses this one because of `expected_orders`.
        Err(e) => (OrderOutcome::Loading, e.to_string()),
    };
    let (target, model, fence) = (id.as_str(), model.as_str(), lease.fence);
    log::info!(event = "order", step = "order", target, model, version, fence, after_orders = report.orders, outcome; "order sent");
    load_outcome
}

/// Finds out whether an engine that did not answer is lost to this host alone.
async fn why_unreachable(app: &App, id: &TargetId) -> OrderOutcome {
    let heartbeats = app.state.heartbeats.load_full();
    let addr = heartbeats.iter().find(|heartbeat| heartbeat.id == *id).map(|known| known.addr);
    let Some(addr) = addr else {
        return OrderOutcome::Unreachable;
    };
    if app.relay.confirm_lost(addr).await {
        OrderOutcome::CutOff
    } else {
        OrderOutcome::Unreachable
    }
}
