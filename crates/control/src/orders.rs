//! The order controller: orders the engines to load new weights, for the
//! models whose lease this process holds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::Engine;
use cassia_clients::LatestVersion;
use cassia_clients::Order;
use cassia_clients::OrderKind;
use cassia_clients::WeightStore;
use cassia_ids::ModelName;
use cassia_ids::TargetId;
use cassia_ids::Version;
use cassia_orders::Plan;
use cassia_orders::StagingReport;
use cassia_orders::plan;
use cassia_route::TargetInfo;
use cassia_route::TargetKind;
use cassia_route::TargetView;
use futures::future::join_all;
use tokio::time::sleep;

use crate::app::App;
use crate::app::HeldLease;

/// Delay between the rounds.
const ROUND_DELAY: Duration = Duration::from_millis(250);
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of up-to-date engines that are polled again per round, which detects
/// an engine that was restarted with old weights.
const RECHECKS_PER_ROUND: usize = 1;
/// Time limit for an order, and so for how long an order of an earlier holder
/// may still be in flight.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which engines are activated without those that have not staged.
const STAGE_TIMEOUT: Duration = Duration::from_mins(2);

/// Progress of deploying a version to one model's engines.
#[derive(Debug)]
struct Deployment {
    version: Version,
    /// When the version was first seen.
    since: Instant,
    /// The last report of each engine that responded.
    reports: BTreeMap<TargetId, StagingReport>,
    /// Position in the rotation through the up-to-date engines.
    next_check: usize,
}

impl Deployment {
    fn new(version: Version) -> Self {
        Self { version, since: Instant::now(), reports: BTreeMap::new(), next_check: 0 }
    }

    /// Returns the engines to poll: those that aren't known to be up to date,
    /// and a few of the others in turn. Polling all of 600 engines each round
    /// would cost more than the orders themselves.
    fn engines_to_poll<'a>(&mut self, engines: &'a [TargetInfo]) -> Vec<&'a TargetInfo> {
        let is_current = |engine: &&TargetInfo| {
            let version = self.reports.get(&engine.id).and_then(|report| report.version);
            version.is_some_and(|version| version >= self.version)
        };
        let (current, mut to_poll): (Vec<_>, Vec<_>) = engines.iter().partition(is_current);
        for _ in 0..RECHECKS_PER_ROUND.min(current.len()) {
            self.next_check += 1;
            to_poll.push(current[self.next_check % current.len()]);
        }
        to_poll
    }
}

/// Runs rounds until a planned stop.
pub(crate) async fn run(app: Arc<App>) {
    let mut deployments: BTreeMap<ModelName, Deployment> = BTreeMap::new();
    while !app.node.is_stopping() {
        let deadline = Instant::now() + REPORT_TIMEOUT;
        if let Ok(latest) = app.platform.latest_versions(deadline).await {
            app.latest_versions.store(Arc::new(latest));
        }
        for LatestVersion { model, version } in app.latest_versions.load_full().iter() {
            let deployment =
                deployments.entry(model.clone()).or_insert_with(|| Deployment::new(*version));
            if deployment.version != *version {
                *deployment = Deployment::new(*version);
            }
            if let Some(lease) = app.held_lease(model) {
                run_round(&app, model, deployment, lease).await;
            }
        }
        sleep(ROUND_DELAY).await;
    }
}

/// Polls the engines of a model and sends the orders that are due.
async fn run_round(app: &App, model: &ModelName, deployment: &mut Deployment, lease: HeldLease) {
    let engines = open_engines(app, model);
    deployment.reports.retain(|id, _| engines.iter().any(|engine| engine.id == *id));
    let to_poll = deployment.engines_to_poll(&engines);
    let reports = join_all(to_poll.iter().map(|engine| fetch_report(app, engine))).await;
    for (engine, report) in to_poll.iter().zip(reports) {
        match report {
            Some(report) => deployment.reports.insert(engine.id.clone(), report),
            None => deployment.reports.remove(&engine.id),
        };
    }
    let reports: Vec<_> = deployment.reports.values().cloned().collect();
    let stage_overdue = deployment.since.elapsed() > STAGE_TIMEOUT;
    let (kind, ids) = match plan(&reports, deployment.version, stage_overdue) {
        Plan::Done => return,
        Plan::Stage(ids) => (OrderKind::Stage, ids),
        Plan::Activate(ids) => (OrderKind::Activate, ids),
    };
    let version = deployment.version;
    let order = Order { fence: lease.fence, model: model.clone(), version, kind };
    let recipients = engines.iter().filter(|engine| ids.contains(&engine.id));
    join_all(recipients.map(|engine| send_order(app, engine, &order, lease))).await;
}

fn open_engines(app: &App, model: &ModelName) -> Vec<TargetInfo> {
    let kind = TargetKind::Engine { model: model.clone() };
    let open = |view: &mut TargetView| {
        (false, view.open_targets().filter(|target| target.kind == kind).cloned().collect())
    };
    app.node.change_targets(open)
}

async fn fetch_report(app: &App, engine: &TargetInfo) -> Option<StagingReport> {
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let load = app.platform.load_report(engine.addr, deadline).await.ok()?;
    Some(StagingReport { id: engine.id.clone(), version: load.version, staged: load.staged })
}

async fn send_order(app: &App, engine: &TargetInfo, order: &Order, lease: HeldLease) {
    // An engine that doesn't check fencing tokens may still receive an order
    // of the previous holder, so nothing is sent until such an order has timed
    // out.
    if !engine.checks_fence && lease.since.elapsed() < ORDER_TIMEOUT {
        return;
    }
    // The lease is checked again just before the order is sent. The process may
    // still be paused after this check; the next round of whoever holds the
    // lease then corrects an order that was sent too late.
    let still_held = app.held_lease(&order.model).is_some_and(|now| now.fence == lease.fence);
    if !still_held {
        return;
    }
    let deadline = Instant::now() + ORDER_TIMEOUT;
    let (target, version) = (engine.id.as_str(), order.version);
    match app.platform.send_order(engine.addr, order, deadline).await {
        Ok(()) => {
            let kind = format!("{:?}", order.kind);
            log::info!(event = "order_done", step = "order", target, version, kind; "order carried out");
        }
        Err(e) => {
            let peer = e.peer.as_str();
            log::warn!(event = "order_failed", step = e.step, peer, target, version; "{e}");
        }
    }
}
