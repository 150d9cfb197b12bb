//! The weights controller: orders engines to load the wanted versions.
//!
//! One process at a time sends orders, under a lease in the log. Only the
//! owners of a few partitions of batch jobs contend for it, so that not every
//! process reads the lease. The holder keeps the lease even if its
//! partition moves, since orders pause at each change of the holder.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::ModelName;
use cassia_ids::Version;
use cassia_lease::HeldLease;
use cassia_orders::DueLoad;
use cassia_orders::EngineModels;
use cassia_orders::EngineState;
use cassia_orders::LoadTracker;
use cassia_orders::ModelAssignment;
use cassia_orders::assign_models;
use cassia_orders::max_loads;
use cassia_orders::schedule_loads;
use cassia_route::Heartbeat;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::app::App;
use crate::lease_stream::LeaseStream;
use crate::lease_stream::MAX_CONTENDERS;
use crate::lease_stream::ROUND_INTERVAL;
use crate::order;
use crate::order::EngineReports;
use crate::order::MAX_ORDER_DELAY;
use crate::order::OrderLease;
use crate::order::OrderOutcome;

/// The lease for sending orders to the engines.
const LEASE: &str = "orders";

/// Runs until a planned stop has served its last request, then hands the lease
/// over. A process that does not hold the lease ends as soon as the stop begins.
pub(crate) async fn run(app: Arc<App>) {
    let mut controller = WeightsController::new(&app);
    let mut drained = app.state.drained.subscribe();
    controller.lease.read_at_start(&app).await;
    while !*drained.borrow() && (!app.state.is_stopping() || controller.held_fence.is_some()) {
        let rank = app.state.duty_rank.load().as_deref().copied();
        let is_cut_off = app.relay.is_cut_off();
        if is_cut_off && controller.held_fence.is_some() {
            log::info!(event = "lease_yielded", step = "lease"; "other hosts reach engines that this one does not");
            controller.hand_over(&app).await;
        }
        let may_contend = !is_cut_off && !app.state.is_stopping();
        let rank = rank.filter(|rank| *rank < MAX_CONTENDERS && may_contend);
        if let Some(rank) = rank {
            controller.lease.set_rank(rank);
        }
        if rank.is_some()
            || controller.held_fence.is_some()
            || !is_cut_off && controller.lease.held_by_predecessor()
        {
            controller.round(&app).await;
        }
        // The sender lives as long as the shared state.
        let _ = timeout(ROUND_INTERVAL, drained.wait_for(|drained| *drained)).await;
    }
    controller.hand_over(&app).await;
}

#[derive(Debug)]
struct WeightsController {
    lease: LeaseStream,
    trackers: BTreeMap<ModelName, LoadTracker>,
    /// The fencing token of the lease, if this process holds it.
    held_fence: Option<u64>,
    /// Latest time at which the last order may arrive.
    last_order_arrival: watch::Sender<Option<Instant>>,
    /// The lease as the orders under way see it.
    held: watch::Sender<Option<HeldLease>>,
    /// The orders under way, and the reports that are being read. The lease is
    /// renewed meanwhile: an engine may take longer to answer than its term.
    orders: JoinSet<(DueLoad, OrderOutcome)>,
    reports: EngineReports,
}

impl WeightsController {
    fn new(app: &App) -> Self {
        Self {
            lease: LeaseStream::new(app, LEASE, quiet_period(app)),
            trackers: BTreeMap::new(),
            held_fence: None,
            last_order_arrival: watch::Sender::new(None),
            held: watch::Sender::new(None),
            orders: JoinSet::new(),
            reports: EngineReports::default(),
        }
    }

    async fn round(&mut self, app: &Arc<App>) {
        if let Err(e) = self.lease.contend(app).await {
            log::debug!(event = "store_away", step = e.step; "{e}");
        }
        let held = self.lease.held_lease(app.clock.now());
        self.update_held(held);
        self.collect_outcomes();
        let Some(held) = held else { return };
        if held.may_act(app.clock.now(), quiet_period(app)) {
            self.send_orders(app, held);
        }
    }

    /// Records the outcomes of the orders that were sent.
    fn collect_outcomes(&mut self) {
        while let Some(finished) = self.orders.try_join_next() {
            match finished {
                Ok((due, outcome)) => self.record_outcome(&due, outcome),
                Err(e) => log::warn!(event = "order_failed", step = "order"; "{e}"),
            }
        }
    }

    fn record_outcome(&mut self, due: &DueLoad, outcome: OrderOutcome) {
        let tracker = self.trackers.entry(due.model.clone()).or_default();
        let now = Instant::now();
        match outcome {
            OrderOutcome::Loading => tracker.record_answer(&due.engine),
            OrderOutcome::Refused => tracker.record_refusal(&due.engine, due.version, now),
            OrderOutcome::Unreachable | OrderOutcome::CutOff => {
                tracker.record_unreachable(&due.engine, due.version, now);
            }
        }
    }

    /// Hands the lease over. The next process of this host may send orders at
    /// once; other hosts wait for the minimum time after the last order.
    async fn hand_over(&mut self, app: &App) {
        self.orders.shutdown().await;
        let min_interval = Duration::from_millis(app.settings.lease_ms);
        let last_arrival = *self.last_order_arrival.borrow();
        let quiet_until = last_arrival.map(|arrival| arrival + min_interval);
        if self.lease.hand_over(app, quiet_until).await {
            self.update_held(None);
        }
    }

    fn update_held(&mut self, held: Option<HeldLease>) {
        self.held.send_replace(held);
        let fence = held.map(|held| held.fence);
        if fence != self.held_fence {
            self.held_fence = fence;
            log::info!(event = "lease", step = "lease", fence; "lease acquired or lost");
        }
    }

    /// Starts the orders of one round, for all models.
    fn send_orders(&mut self, app: &Arc<App>, held: HeldLease) {
        for (model, tracker) in &self.trackers {
            self.reports.read_progress(app, model, tracker);
        }
        for due in self.schedule(app, &app.state.wanted.load_full()) {
            let lease = OrderLease {
                fence: held.fence,
                held: self.held.subscribe(),
                last_arrival: self.last_order_arrival.clone(),
            };
            self.orders.spawn(order::send_order(Arc::clone(app), due, lease));
        }
    }

    /// Selects the engines that load now and records their loads.
    fn schedule(&mut self, app: &App, wanted: &BTreeMap<ModelName, Version>) -> Vec<DueLoad> {
        let all = engine_models(app);
        let models_by_engine = assign_models(&all, wanted);
        let load: HashMap<_, _> = {
            let targets = app.state.targets.load();
            targets.all().map(|target| (target.info.id.clone(), target.load())).collect()
        };
        let heartbeats = app.state.heartbeats.load();
        let engines_of = |model: &ModelName| {
            let assigned = heartbeats.iter().filter(|heartbeat| {
                models_by_engine.get(&heartbeat.id).is_some_and(|models| models.contains(model))
            });
            let state = |heartbeat: &Heartbeat| EngineState {
                id: heartbeat.id.clone(),
                started_ms: heartbeat.started_ms,
                version: app.state.version_of(&heartbeat.id, model),
                leaving: heartbeat.leaving,
                requests: load.get(&heartbeat.id).copied().unwrap_or(0),
            };
            assigned.map(state).collect()
        };
        let assignment = |(model, version): (&ModelName, &Version)| ModelAssignment {
            model: model.clone(),
            version: *version,
            engines: engines_of(model),
        };
        let assignments: Vec<_> = wanted.iter().map(assignment).collect();
        schedule_loads(&assignments, &mut self.trackers, max_loads(all.len()), Instant::now())
    }
}

/// Returns the engines that have any model and are not leaving.
fn engine_models(app: &App) -> Vec<EngineModels> {
    let heartbeats = app.state.heartbeats.load();
    let engine = |heartbeat: &Heartbeat| {
        let known = |(model, version): &(ModelName, Version)| {
            let newest = app.state.version_of(&heartbeat.id, model).unwrap_or(*version);
            (model.clone(), newest)
        };
        EngineModels {
            id: heartbeat.id.clone(),
            versions: heartbeat.versions.iter().map(known).collect(),
        }
    };
    let engines =
        heartbeats.iter().filter(|heartbeat| !heartbeat.versions.is_empty() && !heartbeat.leaving);
    engines.map(engine).collect()
}

/// Returns the minimum time between the orders of two holders.
fn quiet_period(app: &App) -> Duration {
    Duration::from_millis(app.settings.lease_ms) + MAX_ORDER_DELAY
}
