//! The state that the tasks of this process share.
//!
//! | field | written by | read by |
//! | --- | --- | --- |
//! | `routes`, `config_read_at`, `wanted` | the configuration controller | all |
//! | `targets`, `versions` | the targets controller, and requests by their outcomes | all |
//! | `closed_targets` | the targets controller, requests, forwarded connections | forwarded connections, the targets controller |
//! | `store_contact` | all calls of the store, the targets and ownership controllers | readiness, calls about batch jobs, other controllers, connections |
//! | `owned` | the ownership controller | the runners |
//! | `duty_rank` | the ownership controller | the weights and duties controllers |
//! | `stopping` | the main task | all |
//! | `drained` | the main task | the weights and duties controllers |

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use cassia_admission::PlannedStop;
use cassia_admission::StopDecision;
use cassia_ids::BootId;
use cassia_ids::DataCentre;
use cassia_ids::HostId;
use cassia_ids::ModelName;
use cassia_ids::TargetId;
use cassia_ids::Version;
use cassia_route::Heartbeat;
use cassia_route::RouteTable;
use cassia_route::TargetSet;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::closed_targets::ClosedTargets;
use crate::flags::ServeSettings;
use crate::lock::lock;
use crate::store_contact::StoreContact;

/// The weight versions that one incarnation of an engine is known to have.
#[derive(Clone, Debug, Default)]
struct EngineVersions {
    started_ms: u64,
    versions: BTreeMap<ModelName, Version>,
}

/// The shared state.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) host: HostId,
    pub(crate) data_centre: DataCentre,
    /// Identifies this run of the process.
    pub(crate) boot: BootId,
    /// The configuration in force; `None` until one has been read.
    pub(crate) routes: ArcSwapOption<RouteTable>,
    /// Held while records of the configuration are applied.
    pub(crate) config_writes: Mutex<()>,
    /// When the last read that showed all of the configuration began.
    pub(crate) config_read_at: ArcSwapOption<Instant>,
    /// The wanted versions, as set by the trainers.
    pub(crate) wanted: ArcSwap<BTreeMap<ModelName, Version>>,
    /// The targets with their load.
    pub(crate) targets: ArcSwap<TargetSet>,
    /// The newest heartbeat of each present target.
    pub(crate) heartbeats: ArcSwap<Vec<Heartbeat>>,
    /// The rank among the processes that contend for the leases.
    pub(crate) duty_rank: ArcSwapOption<u32>,
    /// The partitions whose jobs this process runs.
    pub(crate) owned: watch::Sender<BTreeSet<u32>>,
    /// The planned stop, once it has begun.
    pub(crate) stopping: watch::Sender<Option<PlannedStop>>,
    /// Whether a planned stop has served its last request.
    pub(crate) drained: watch::Sender<bool>,
    /// Whether this process reaches the store.
    pub(crate) store_contact: Arc<StoreContact>,
    /// Notified when a slot of an engine may have become free.
    pub(crate) slot_freed: Notify,
    /// The targets that get no new work.
    pub(crate) closed_targets: Arc<ClosedTargets>,
    /// Notified when a target begins or ceases to state a rate limit.
    pub(crate) target_limited: Notify,
    versions: Mutex<HashMap<TargetId, EngineVersions>>,
}

impl SharedState {
    pub(crate) fn new(settings: &ServeSettings, store_contact: Arc<StoreContact>) -> Self {
        Self {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            boot: rand::random(),
            routes: ArcSwapOption::empty(),
            config_writes: Mutex::default(),
            config_read_at: ArcSwapOption::empty(),
            wanted: ArcSwap::default(),
            targets: ArcSwap::from_pointee(TargetSet::empty(Instant::now())),
            heartbeats: ArcSwap::default(),
            duty_rank: ArcSwapOption::empty(),
            owned: watch::Sender::new(BTreeSet::new()),
            stopping: watch::Sender::new(None),
            drained: watch::Sender::new(false),
            store_contact,
            slot_freed: Notify::new(),
            closed_targets: Arc::default(),
            target_limited: Notify::new(),
            versions: Mutex::default(),
        }
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.routes.load().as_ref().map_or(0, |table| table.version)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Waits until a planned stop begins.
    pub(crate) async fn wait_for_stop(&self) -> PlannedStop {
        let mut stopping = self.stopping.subscribe();
        loop {
            if let Some(stop) = *stopping.borrow_and_update() {
                return stop;
            }
            // The sender lives as long as `self`.
            let _ = stopping.changed().await;
        }
    }

    /// Waits until what is still under way in a planned stop must be answered.
    pub(crate) async fn wait_for_last_answers(&self) {
        let stop = self.wait_for_stop().await;
        sleep_until(stop.answers_at().into()).await;
    }

    /// Returns whether a request that has ended by `latest_end` is taken; `None` if it
    /// may take any time.
    pub(crate) fn takes_request(&self, latest_end: Option<Instant>) -> bool {
        let stop = *self.stopping.borrow();
        let decision = stop.map(|stop| stop.decide(latest_end, Instant::now()));
        decision != Some(StopDecision::Refuse)
    }

    /// Returns whether connections serve no further request.
    pub(crate) fn is_draining(&self) -> bool {
        self.stopping.borrow().is_some_and(|stop| stop.is_draining(Instant::now()))
    }

    /// Takes over the list of targets.
    pub(crate) fn set_targets(&self, targets: Arc<TargetSet>) {
        self.targets.store(targets);
        self.closed_targets.notify();
    }

    /// Sleeps until the duration has passed or a planned stop begins.
    pub(crate) async fn sleep_unless_stopping(&self, duration: Duration) {
        let _ = tokio::time::timeout(duration, self.wait_for_stop()).await;
    }

    /// Records that an engine has a version. The version of an incarnation
    /// only increases, so a lower one is ignored as outdated.
    pub(crate) fn record_version(
        &self,
        engine: &str,
        started_ms: u64,
        model: &str,
        version: Version,
    ) {
        let mut versions = lock(&self.versions);
        let known = versions.entry(engine.into()).or_default();
        if known.started_ms > started_ms {
            return;
        }
        if known.started_ms < started_ms {
            *known = EngineVersions { started_ms, versions: BTreeMap::new() };
        }
        let newest = known.versions.entry(model.into()).or_default();
        *newest = version.max(*newest);
    }

    /// Returns the version of a model's weights that an engine has, if known.
    pub(crate) fn version_of(&self, engine: &str, model: &str) -> Option<Version> {
        lock(&self.versions).get(engine)?.versions.get(model).copied()
    }

    /// Removes the versions of engines that are no longer present.
    pub(crate) fn retain_versions(&self, present: &[Heartbeat]) {
        lock(&self.versions).retain(|id, _| present.iter().any(|heartbeat| heartbeat.id == *id));
    }
}
