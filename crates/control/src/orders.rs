//! The orders controller: carries new weights to the engines of the models
//! whose lease is ours.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::ModelName;
use cassia_ids::TargetId;
use cassia_ids::Version;
use cassia_orders::Plan;
use cassia_orders::StagingReport;
use cassia_orders::plan;
use cassia_platform::Engine;
use cassia_platform::Order;
use cassia_platform::OrderKind;
use cassia_platform::WeightStore;
use cassia_route::TargetInfo;
use cassia_route::TargetKind;
use futures::future::join_all;
use tokio::time::sleep;

use crate::app::App;
use crate::app::Held;

/// How often a round is worked out.
const EVERY: Duration = Duration::from_millis(250);
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Engines that are asked each round although they are done: one that was
/// restarted with old weights is found in time.
const CHECKED_A_ROUND: usize = 1;
/// The longest that an order is on its way.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long engines have to stage before the others go ahead.
const STAGE_LIMIT: Duration = Duration::from_mins(2);

/// What is known of one model's engines, from round to round.
#[derive(Debug)]
struct Rollout {
    version: Version,
    /// When the version was first seen.
    since: Instant,
    seen: BTreeMap<TargetId, StagingReport>,
    /// Where the rotation through the engines that are done goes on.
    next_check: usize,
}

impl Rollout {
    fn new(version: Version) -> Self {
        Self { version, since: Instant::now(), seen: BTreeMap::new(), next_check: 0 }
    }

    /// Chooses the engines to ask: those that aren't known to be done, and a few
    /// of the others in turn. Asking all of 600 each round would cost more than
    /// the orders themselves.
    fn choose_asked<'a>(&mut self, engines: &'a [TargetInfo]) -> Vec<&'a TargetInfo> {
        let done = |engine: &&TargetInfo| {
            let version = self.seen.get(&engine.id).and_then(|seen| seen.version);
            version.is_some_and(|version| version >= self.version)
        };
        let (done, mut ask): (Vec<_>, Vec<_>) = engines.iter().partition(done);
        for _ in 0..CHECKED_A_ROUND.min(done.len()) {
            self.next_check += 1;
            ask.push(done[self.next_check % done.len()]);
        }
        ask
    }
}

/// Runs until a planned stop.
pub(crate) async fn run(app: Arc<App>) {
    let mut rollouts: BTreeMap<ModelName, Rollout> = BTreeMap::new();
    while !app.board.is_stopping() {
        let deadline = Instant::now() + REPORT_TIMEOUT;
        if let Ok(latest) = app.platform.latest_versions(deadline).await {
            app.latest.store(Arc::new(latest));
        }
        for l in app.latest.load_full().iter() {
            let rollout =
                rollouts.entry(l.model.clone()).or_insert_with(|| Rollout::new(l.version));
            if rollout.version != l.version {
                *rollout = Rollout::new(l.version);
            }
            if let Some(held) = app.held(&l.model) {
                round(&app, &l.model, rollout, held).await;
            }
        }
        sleep(EVERY).await;
    }
}

async fn round(app: &App, model: &ModelName, rollout: &mut Rollout, held: Held) {
    let engines = engines(app, model);
    rollout.seen.retain(|id, _| engines.iter().any(|engine| engine.id == *id));
    let ask = rollout.choose_asked(&engines);
    let reports = join_all(ask.iter().map(|engine| seen(app, engine))).await;
    for (engine, report) in ask.iter().zip(reports) {
        match report {
            Some(seen) => rollout.seen.insert(engine.id.clone(), seen),
            None => rollout.seen.remove(&engine.id),
        };
    }
    let seen: Vec<_> = rollout.seen.values().cloned().collect();
    let overdue = rollout.since.elapsed() > STAGE_LIMIT;
    let (kind, ids) = match plan(&seen, rollout.version, overdue) {
        Plan::Done => return,
        Plan::Stage(ids) => (OrderKind::Stage, ids),
        Plan::Activate(ids) => (OrderKind::Activate, ids),
    };
    let version = rollout.version;
    let order = Order { fence: held.fence, model: model.clone(), version, kind };
    let chosen = engines.iter().filter(|engine| ids.contains(&engine.id));
    join_all(chosen.map(|engine| give(app, engine, &order, held))).await;
}

fn engines(app: &App, model: &ModelName) -> Vec<TargetInfo> {
    let kind = TargetKind::Engine { model: model.clone() };
    let open = |view: &mut cassia_route::TargetView| {
        (false, view.open_targets().filter(|l| l.kind == kind).cloned().collect())
    };
    app.board.change_targets(open)
}

async fn seen(app: &App, engine: &TargetInfo) -> Option<StagingReport> {
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let load = app.platform.load_report(engine.addr, deadline).await.ok()?;
    Some(StagingReport { id: engine.id.clone(), version: load.version, staged: load.staged })
}

async fn give(app: &App, engine: &TargetInfo, order: &Order, held: Held) {
    // An engine that ignores fencing numbers may still get an order of the
    // holder before us: nothing is sent until that one's time is over.
    if !engine.checks_fence && held.since.elapsed() < ORDER_TIMEOUT {
        return;
    }
    // Looked at again just before the write. A pause after this line can't be
    // excluded; what it can do is undone by the next round of whoever holds
    // the lease then.
    let still_held = app.held(&order.model).is_some_and(|now| now.fence == held.fence);
    if !still_held {
        return;
    }
    let deadline = Instant::now() + ORDER_TIMEOUT;
    let (target, version) = (engine.id.as_str(), order.version);
    match app.platform.send_order(engine.addr, order, deadline).await {
        Ok(()) => {
            let kind = format!("{:?}", order.kind);
            log::info!(event = "order_done", step = "order", target, version, kind; "done");
        }
        Err(e) => {
            let peer = e.peer.as_str();
            log::warn!(event = "order_failed", step = e.step, peer, target, version; "{e}");
        }
    }
}
