//! The orders controller: carries new weights to the engines of the models
//! whose lease is ours.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::ModelName;
use cassia_ids::Version;
use cassia_orders::Plan;
use cassia_orders::Seen;
use cassia_orders::plan;
use cassia_platform::Engine;
use cassia_platform::Order;
use cassia_platform::OrderKind;
use cassia_platform::WeightStore;
use cassia_route::Listed;
use cassia_route::TargetKind;
use futures::future::join_all;
use tokio::time::sleep;

use crate::app::App;
use crate::app::Held;

/// How often a round is worked out.
const EVERY: Duration = Duration::from_millis(250);
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest that an order is on its way.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long engines have to stage before the others go ahead.
const STAGE_LIMIT: Duration = Duration::from_mins(2);

/// When each model's newest version was first seen.
type FirstSeen = BTreeMap<(ModelName, Version), Instant>;

/// Runs until a planned stop.
pub(crate) async fn run(app: Arc<App>) {
    let mut first_seen = FirstSeen::new();
    while !app.board.is_stopping() {
        let deadline = Instant::now() + REPORT_TIMEOUT;
        if let Ok(latest) = app.platform.latest(deadline).await {
            app.latest.store(Arc::new(latest));
        }
        let latest = app.latest.load_full();
        first_seen.retain(|(model, version), _| {
            latest.iter().any(|l| l.model == *model && l.version == *version)
        });
        for l in latest.iter() {
            let key = (l.model.clone(), l.version);
            let since = *first_seen.entry(key).or_insert_with(Instant::now);
            if let Some(held) = app.held(&l.model) {
                let overdue = since.elapsed() > STAGE_LIMIT;
                round(&app, &l.model, l.version, held, overdue).await;
            }
        }
        sleep(EVERY).await;
    }
}

async fn round(app: &App, model: &ModelName, latest: Version, held: Held, overdue: bool) {
    let engines = engines(app, model);
    let seen = join_all(engines.iter().map(|engine| seen(app, engine))).await;
    let seen: Vec<_> = seen.into_iter().flatten().collect();
    let (kind, ids) = match plan(&seen, latest, overdue) {
        Plan::Done => return,
        Plan::Stage(ids) => (OrderKind::Stage, ids),
        Plan::Activate(ids) => (OrderKind::Activate, ids),
    };
    let order = Order { fence: held.fence, model: model.clone(), version: latest, kind };
    let chosen = engines.iter().filter(|engine| ids.contains(&engine.id));
    join_all(chosen.map(|engine| give(app, engine, &order, held))).await;
}

fn engines(app: &App, model: &ModelName) -> Vec<Listed> {
    let kind = TargetKind::Engine { model: model.clone() };
    let open = |view: &mut cassia_route::TargetView| {
        (false, view.open().filter(|l| l.what == kind).cloned().collect())
    };
    app.board.change_targets(open)
}

async fn seen(app: &App, engine: &Listed) -> Option<Seen> {
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let load = app.platform.load(engine.addr, deadline).await.ok()?;
    Some(Seen { id: engine.id.clone(), version: load.version, staged: load.staged })
}

async fn give(app: &App, engine: &Listed, order: &Order, held: Held) {
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
    match app.platform.order(engine.addr, order, deadline).await {
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
