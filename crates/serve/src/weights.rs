//! The weights controller: gives engines the orders to load named versions.
//!
//! One process at a time gives orders, under a lease in the log. The owners of
//! the first partitions of batch jobs contend for it, so that a few processes
//! watch the lease and not all of them. Whoever holds it keeps it, also when
//! the partition moves: each change of holder costs a pause in the orders.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_ids::ModelName;
use cassia_ids::Version;
use cassia_lease::Contender;
use cassia_lease::HeldLease;
use cassia_lease::LeaseClient;
use cassia_lease::LeaseRecord;
use cassia_lease::NextRecord;
use cassia_lease::STREAM;
use cassia_orders::DueLoad;
use cassia_orders::EngineModels;
use cassia_orders::EngineState;
use cassia_orders::LoadTracker;
use cassia_orders::ModelAssignment;
use cassia_orders::assign_models;
use cassia_orders::max_loads;
use cassia_orders::schedule_loads;
use cassia_platform::PartitionRef;
use cassia_platform::StoreError;
use cassia_platform::StoreErrorKind;
use cassia_route::Heartbeat;
use futures::future::join_all;
use smol_str::format_smolstr;

use crate::app::App;
use crate::order;
use crate::order::Given;

/// The lease on the orders to all engines.
const LEASE: &str = "orders";
/// How long a lease holds after its last renewal was sent.
const TERM: Duration = Duration::from_millis(1_500);
/// Records after which the table of leases is appended again.
const RECORDS_PER_SNAPSHOT: u64 = 150;
/// How often a round is worked out.
const EVERY: Duration = Duration::from_millis(150);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an order may be on its way, its connection included.
const ORDER_FLIGHT: Duration = Duration::from_millis(600);
/// A lease must last this much longer for an order to be sent, so that most of
/// its way lies within the lease.
const SEND_MARGIN: Duration = Duration::from_millis(400);
/// Owners of the first so many partitions contend, those of later ones later.
const CONTENDERS: u32 = 2;
/// Without the older records the leases are begun anew after so many terms.
const TERMS_BEFORE_RESET: u32 = 3;

const PARTITION: PartitionRef<'static> = PartitionRef { topic: STREAM, partition: 0 };

/// Runs until a planned stop, and lets the lease go then.
pub(crate) async fn run(app: Arc<App>) {
    let mut weights = Weights::new(&app);
    weights.read_at_start(&app).await;
    while !app.board.is_stopping() {
        let rank = app.board.owned.borrow().first().copied().filter(|rank| *rank < CONTENDERS);
        if let Some(rank) = rank {
            weights.seat.set_rank(rank);
        }
        if rank.is_some() || weights.held.is_some() || weights.seat.held_by_predecessor() {
            weights.round(&app).await;
        }
        app.board.pause(EVERY).await;
    }
    weights.stop(&app).await;
}

#[derive(Debug)]
struct Weights {
    seat: LeaseClient,
    swaps: BTreeMap<ModelName, LoadTracker>,
    /// The last fencing number under which this process held the lease.
    held: Option<u64>,
    stranded_until: Option<Instant>,
    /// The latest moment at which the last order may have been sent.
    last_order: Option<Instant>,
}

impl Weights {
    fn new(app: &App) -> Self {
        let now = app.clock.now();
        // The address tells apart hosts that follow each other under one name,
        // and no two processes can have it at once.
        let holder = format_smolstr!("{}@{}", app.board.host, app.settings.listen);
        let contender = Contender::new(LEASE.into(), holder, app.board.boot, TERM, now);
        let seat = LeaseClient::new(contender.sole_on_host(), RECORDS_PER_SNAPSHOT, quiet(app));
        Self { seat, swaps: BTreeMap::new(), held: None, stranded_until: None, last_order: None }
    }

    /// Reads the stream once, whoever this process is: it may take over at once
    /// from its host's earlier process, while others wait for a term.
    async fn read_at_start(&mut self, app: &App) {
        while !app.board.is_stopping() && self.read(app).await.is_err() {
            app.board.pause(EVERY).await;
        }
    }

    async fn round(&mut self, app: &Arc<App>) {
        if let Err(e) = self.contend(app).await {
            log::debug!(event = "store_away", step = e.step; "{e}");
        }
        let holding = self.seat.held_lease(app.clock.now());
        self.note_held(holding);
        let Some(holding) = holding else { return };
        if holding.may_act(app.clock.now(), quiet(app)) {
            self.give_orders(app, holding).await;
        }
    }

    /// Reads the lease stream and does what the contest asks for.
    async fn contend(&mut self, app: &App) -> Result<(), StoreError> {
        self.read(app).await?;
        let now = app.clock.now();
        if self.seat.has_gap() {
            return self.begin_anew_when_due(app, now).await;
        }
        self.stranded_until = None;
        if let Some(NextRecord::Append(record)) = self.seat.step(now) {
            append(app, &record).await?;
            // The record counts once it was read back.
            self.read(app).await?;
        }
        Ok(())
    }

    async fn read(&mut self, app: &App) -> Result<(), StoreError> {
        loop {
            let from = self.seat.next_read();
            let deadline = Instant::now() + CALL_TIMEOUT;
            let read = app.store.read(PARTITION, from, 256, Duration::ZERO, deadline).await;
            let records = match read {
                Ok(records) => records,
                Err(StoreError { kind: StoreErrorKind::Expired { oldest }, .. }) => {
                    self.seat.apply_records(oldest, oldest, &[], oldest, app.clock.now());
                    continue;
                }
                Err(e) => return Err(e),
            };
            let parsed: Vec<_> =
                records.records.iter().map(|r| serde_json::from_slice(r).ok()).collect();
            let next = records.start + parsed.len() as u64;
            self.seat.apply_records(
                records.oldest,
                records.start,
                &parsed,
                records.end,
                app.clock.now(),
            );
            if next >= records.end {
                return Ok(());
            }
        }
    }

    async fn begin_anew_when_due(&mut self, app: &App, now: Instant) -> Result<(), StoreError> {
        let until = *self.stranded_until.get_or_insert(now + TERM * TERMS_BEFORE_RESET);
        if now < until {
            return Ok(());
        }
        self.stranded_until = None;
        log::warn!(event = "lease_reset", step = "lease"; "older records are lost");
        append(app, &LeaseRecord::Reset).await
    }

    /// Keeps the lease until the next holder may give orders at once, and lets
    /// it go then.
    async fn stop(&mut self, app: &App) {
        let lease = Duration::from_millis(app.settings.lease_ms);
        let quiet_until = self.last_order.map(|sent| sent + lease);
        while self.held.is_some() && quiet_until.is_some_and(|until| app.clock.now() < until) {
            if let Err(e) = self.contend(app).await {
                log::debug!(event = "store_away", step = e.step; "{e}");
            }
            self.note_held(self.seat.held_lease(app.clock.now()));
            tokio::time::sleep(EVERY).await;
        }
        let Some(act) = self.seat.release(app.clock.now()) else {
            return;
        };
        self.note_held(None);
        // If it is lost, the lease lapses by itself.
        if let Err(e) = append(app, &LeaseRecord::Op(act)).await {
            log::info!(event = "release_failed", step = e.step; "{e}");
        }
    }

    fn note_held(&mut self, holding: Option<HeldLease>) {
        let fence = holding.map(|holding| holding.fence);
        if fence != self.held {
            self.held = fence;
            log::info!(event = "lease", step = "lease", fence; "orders");
        }
    }

    /// Gives the orders of one round, for all models.
    async fn give_orders(&mut self, app: &Arc<App>, holding: HeldLease) {
        let wanted = app.board.wanted.load_full();
        for (model, swaps) in &self.swaps {
            order::learn_progress(app, model, swaps).await;
        }
        let due = self.pick(app, &wanted);
        if due.is_empty() {
            return;
        }
        self.last_order = Some(app.clock.now() + ORDER_FLIGHT);
        let may_send = || {
            let now = app.clock.now();
            self.seat.held_lease(now).is_some_and(|held| now + SEND_MARGIN < held.until)
        };
        let given = due.iter().map(|due| {
            order::give(app, &due.engine.id, &due.model, due.version, holding.fence, &may_send)
        });
        for (due, given) in due.iter().zip(join_all(given).await) {
            if given == Given::Refused {
                let swaps = self.swaps.entry(due.model.clone()).or_default();
                swaps.record_refusal(&due.engine, due.version, Instant::now());
            }
        }
    }

    /// Chooses the engines that load now.
    fn pick(&mut self, app: &App, wanted: &BTreeMap<ModelName, Version>) -> Vec<DueLoad> {
        let all = engine_models(app);
        let followed = assign_models(&all, wanted);
        let load: HashMap<_, _> = {
            let targets = app.board.targets.load();
            targets.all().map(|target| (target.info.id.clone(), target.load())).collect()
        };
        let beats = app.board.heartbeats.load();
        let engines_of = |model: &ModelName| {
            let own = beats
                .iter()
                .filter(|beat| followed.get(&beat.id).is_some_and(|models| models.contains(model)));
            let state = |beat: &Heartbeat| EngineState {
                id: beat.id.clone(),
                started_ms: beat.started_ms,
                version: app.board.version_of(&beat.id, model),
                leaving: beat.leaving,
                requests: load.get(&beat.id).copied().unwrap_or(0),
            };
            own.map(state).collect()
        };
        let share = |(model, version): (&ModelName, &Version)| ModelAssignment {
            model: model.clone(),
            version: *version,
            engines: engines_of(model),
        };
        let shares: Vec<_> = wanted.iter().map(share).collect();
        schedule_loads(&shares, &mut self.swaps, max_loads(all.len()), Instant::now())
    }
}

/// Lists the engines that have any model.
fn engine_models(app: &App) -> Vec<EngineModels> {
    let beats = app.board.heartbeats.load();
    let engine = |beat: &Heartbeat| {
        let known = |(model, version): &(ModelName, Version)| {
            let newest = app.board.version_of(&beat.id, model).unwrap_or(*version);
            (model.clone(), newest)
        };
        EngineModels { id: beat.id.clone(), versions: beat.versions.iter().map(known).collect() }
    };
    let engines = beats.iter().filter(|beat| !beat.versions.is_empty() && !beat.leaving);
    engines.map(engine).collect()
}

/// The time that must lie between the orders of two holders.
fn quiet(app: &App) -> Duration {
    Duration::from_millis(app.settings.lease_ms) + ORDER_FLIGHT
}

async fn append(app: &App, record: &LeaseRecord) -> Result<(), StoreError> {
    let bytes = Bytes::from(serde_json::to_vec(record).unwrap_or_default());
    let deadline = Instant::now() + CALL_TIMEOUT;
    app.store.append(PARTITION, &[bytes], deadline).await.map(|_| ())
}
