//! Which engine loads the named version next, where engines load and activate
//! a version by one order.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::TargetId;
use cassia_ids::Version;

/// Engines of which one loads at a time; more at once are slower.
const ENGINES_PER_LOAD: usize = 5;
/// Engines of one model of which one loads at a time.
const ENGINES_PER_MODEL_LOAD: usize = 4;
/// How long an order may take before the engine is asked again what it does.
const LOAD_LIMIT: Duration = Duration::from_millis(2_500);
/// How long an engine that did not take an order is left alone.
const REFUSED_PAUSE: Duration = Duration::from_millis(700);

/// Counts how many of so many engines may load at once, over all models: more
/// are slower, and enough must be left to serve.
#[must_use]
pub fn max_loads(engines: usize) -> usize {
    ((engines + ENGINES_PER_LOAD / 2) / ENGINES_PER_LOAD).max(1)
}

/// Counts how many of one model's engines may load at once. Its next step
/// begins when a version is named, and needs the others just then.
#[must_use]
pub fn max_loads_per_model(engines: usize) -> usize {
    engines.div_ceil(ENGINES_PER_MODEL_LOAD).max(1)
}

/// What is known of one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// The engine.
    pub id: TargetId,
    /// When it started; tells its incarnations apart.
    pub started_ms: u64,
    /// The version that it has, if known.
    pub version: Option<Version>,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Requests that this process knows to be there.
    pub requests: u32,
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    started_ms: u64,
    version: Version,
    /// When it should be done; before that it isn't ordered again.
    until: Instant,
    loads: bool,
}

/// The loads of one model's engines that are under way.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    ordered: BTreeMap<TargetId, Ordered>,
}

impl LoadTracker {
    /// Lists the engines that are to load the version, the furthest behind and
    /// the least busy first. Call `settle` before.
    #[must_use]
    pub fn due<'a>(&self, engines: &'a [EngineState], wanted: Version) -> Vec<&'a EngineState> {
        let is_due = |engine: &&EngineState| {
            let is_behind = engine.version.is_some_and(|version| version < wanted);
            is_behind && !engine.leaving && !self.ordered.contains_key(&engine.id)
        };
        let mut due: Vec<_> = engines.iter().filter(is_due).collect();
        due.sort_by_key(|engine| (engine.version, engine.requests));
        due
    }

    /// Forgets the orders that are carried out, or should be by now.
    pub fn remove_finished(&mut self, engines: &[EngineState], now: Instant) {
        let listed: HashMap<_, _> = engines.iter().map(|engine| (&engine.id, engine)).collect();
        self.ordered.retain(|id, ordered| {
            let engine = listed.get(id);
            now < ordered.until && engine.is_some_and(|engine| ordered.is_under_way(engine))
        });
    }

    /// Notes that an engine carries an order out, or may do so.
    pub fn record_load(&mut self, engine: &EngineState, version: Version, now: Instant) {
        self.note(engine, version, now + LOAD_LIMIT, true);
    }

    /// Notes that an engine did not take an order.
    pub fn record_refusal(&mut self, engine: &EngineState, version: Version, now: Instant) {
        self.note(engine, version, now + REFUSED_PAUSE, false);
    }

    /// Tells the version that an engine has or is loading.
    #[must_use]
    pub fn effective_version(&self, engine: &EngineState) -> Version {
        let loading = self.ordered.get(&engine.id).filter(|ordered| ordered.loads);
        loading.map_or(0, |ordered| ordered.version).max(engine.version.unwrap_or(0))
    }

    /// Lists the engines whose load is under way: whether they are done shows
    /// in their reports sooner than in the list.
    pub fn in_progress(&self) -> impl Iterator<Item = &TargetId> {
        self.ordered.iter().filter(|(_, ordered)| ordered.loads).map(|(id, _)| id)
    }

    /// Lists up to so many engines whose load is under way, those first that
    /// have loaded for the longest.
    #[must_use]
    pub fn longest_in_progress(&self, most: usize) -> Vec<TargetId> {
        let loads = self.ordered.iter().filter(|(_, ordered)| ordered.loads);
        let mut loads: Vec<_> = loads.map(|(id, ordered)| (ordered.until, id)).collect();
        loads.sort_unstable();
        loads.into_iter().take(most).map(|(_, id)| id.clone()).collect()
    }

    fn note(&mut self, engine: &EngineState, version: Version, until: Instant, loads: bool) {
        let started_ms = engine.started_ms;
        self.ordered.insert(engine.id.clone(), Ordered { started_ms, version, until, loads });
    }
}

impl Ordered {
    fn is_under_way(&self, engine: &EngineState) -> bool {
        let done = engine.version.is_some_and(|version| version >= self.version);
        !done && engine.started_ms == self.started_ms
    }
}
