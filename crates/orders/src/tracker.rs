//! Tracks the loads of engines that load and activate a version by one order.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::TargetId;
use cassia_ids::Version;

/// Number of engines per concurrent load; more concurrent loads are slower.
const ENGINES_PER_LOAD: usize = 5;
/// Number of engines of one model per concurrent load.
const ENGINES_PER_MODEL_LOAD: usize = 4;
/// How long a load may take before the engine becomes due again.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long an engine that refused an order gets no other.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(700);
/// Number of times that this doubles for an engine that stays unreachable.
/// Otherwise the engines behind a network partition, which are soon the
/// furthest behind, would take up most of the loads.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// Returns how many of `engines` may load at once, over all models. More would
/// be slower, and enough engines must keep serving.
#[must_use]
pub fn max_loads(engines: usize) -> usize {
    ((engines + ENGINES_PER_LOAD / 2) / ENGINES_PER_LOAD).max(1)
}

/// Returns how many of one model's `engines` may load at once. The trainer's
/// next step begins when a version is announced and needs the other engines.
#[must_use]
pub fn max_loads_per_model(engines: usize) -> usize {
    engines.div_ceil(ENGINES_PER_MODEL_LOAD).max(1)
}

/// The known state of one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// The engine.
    pub id: TargetId,
    /// When it started, which distinguishes its incarnations.
    pub started_ms: u64,
    /// The version it has, if known.
    pub version: Option<Version>,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Number of requests in flight at the engine, as known to this process.
    pub requests: u32,
}

#[derive(Clone, Copy, Debug)]
struct Order {
    started_ms: u64,
    version: Version,
    /// When the order expires; until then the engine gets no other.
    until: Instant,
    /// Whether the engine is loading, as opposed to having refused the order.
    loading: bool,
}

/// The loads in progress and the recently refused orders of one model's
/// engines.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    orders: BTreeMap<TargetId, Order>,
    /// Number of consecutive orders that did not reach an engine.
    unreachable: BTreeMap<TargetId, u32>,
}

impl LoadTracker {
    /// Returns the engines that should load the version, furthest behind and
    /// then least busy first. Call `remove_finished` before.
    #[must_use]
    pub fn due<'a>(&self, engines: &'a [EngineState], wanted: Version) -> Vec<&'a EngineState> {
        let is_due = |engine: &&EngineState| {
            let is_behind = engine.version.is_some_and(|version| version < wanted);
            is_behind && !engine.leaving && !self.orders.contains_key(&engine.id)
        };
        let mut due: Vec<_> = engines.iter().filter(is_due).collect();
        due.sort_by_key(|engine| (engine.version, engine.requests));
        due
    }

    /// Removes the orders that are completed or expired.
    pub fn remove_finished(&mut self, engines: &[EngineState], now: Instant) {
        let listed: HashMap<_, _> = engines.iter().map(|engine| (&engine.id, engine)).collect();
        self.orders.retain(|id, order| {
            let engine = listed.get(id);
            now < order.until && engine.is_some_and(|engine| order.is_in_progress(engine))
        });
        self.unreachable.retain(|id, _| listed.contains_key(id));
    }

    /// Records that an engine is executing an order, or may be.
    pub fn record_load(&mut self, engine: &EngineState, version: Version, now: Instant) {
        self.insert(engine, version, now + LOAD_TIMEOUT, true);
    }

    /// Records that an engine answered an order.
    pub fn record_answer(&mut self, engine: &EngineState) {
        self.unreachable.remove(&engine.id);
    }

    /// Records that an engine refused an order.
    pub fn record_refusal(&mut self, engine: &EngineState, version: Version, now: Instant) {
        self.record_answer(engine);
        self.insert(engine, version, now + REFUSAL_BACKOFF, false);
    }

    /// Records that an order did not reach an engine.
    pub fn record_unreachable(&mut self, engine: &EngineState, version: Version, now: Instant) {
        let count = self.unreachable.entry(engine.id.clone()).or_default();
        let backoff = REFUSAL_BACKOFF * (1 << (*count).min(MAX_BACKOFF_DOUBLINGS));
        *count += 1;
        self.insert(engine, version, now + backoff, false);
    }

    /// Returns the version that an engine has or is loading.
    #[must_use]
    pub fn effective_version(&self, engine: &EngineState) -> Version {
        let loading = self.orders.get(&engine.id).filter(|order| order.loading);
        loading.map_or(0, |order| order.version).max(engine.version.unwrap_or(0))
    }

    /// Returns the engines with a load in progress. Their own reports show
    /// completion sooner than the list of targets does.
    pub fn in_progress(&self) -> impl Iterator<Item = &TargetId> {
        self.orders.iter().filter(|(_, order)| order.loading).map(|(id, _)| id)
    }

    /// Returns up to `max` engines with a load in progress, longest-running
    /// first.
    #[must_use]
    pub fn longest_in_progress(&self, max: usize) -> Vec<TargetId> {
        let loads = self.orders.iter().filter(|(_, order)| order.loading);
        let mut loads: Vec<_> = loads.map(|(id, order)| (order.until, id)).collect();
        loads.sort_unstable();
        loads.into_iter().take(max).map(|(_, id)| id.clone()).collect()
    }

    fn insert(&mut self, engine: &EngineState, version: Version, until: Instant, loading: bool) {
        let started_ms = engine.started_ms;
        self.orders.insert(engine.id.clone(), Order { started_ms, version, until, loading });
    }
}

impl Order {
    fn is_in_progress(&self, engine: &EngineState) -> bool {
        let done = engine.version.is_some_and(|version| version >= self.version);
        !done && engine.started_ms == self.started_ms
    }
}
