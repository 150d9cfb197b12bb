//! The blackboard: the one place of this process's shared state.
//!
//! | part | written by | read by |
//! | --- | --- | --- |
//! | `routes`, `wanted` | the configuration controller | all |
//! | `targets`, `versions` | the targets controller; requests note how they fared | all |
//! | `owned` | the ownership controller | the runner, the weights controller |
//! | `stopping` | the run loop | all |

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
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

use crate::flags::ServeSettings;

/// What is known of the weights that one incarnation of an engine has.
#[derive(Clone, Debug, Default)]
struct KnownVersion {
    started_ms: u64,
    versions: BTreeMap<ModelName, Version>,
}

/// The blackboard.
#[derive(Debug)]
pub(crate) struct Board {
    pub(crate) host: HostId,
    pub(crate) data_centre: DataCentre,
    /// This run of the process.
    pub(crate) boot: BootId,
    /// The configuration in force; none before the first was read.
    pub(crate) routes: ArcSwapOption<RouteTable>,
    /// The versions that trainers named.
    pub(crate) wanted: ArcSwap<BTreeMap<ModelName, Version>>,
    /// The targets, with what is known of their load.
    pub(crate) targets: ArcSwap<TargetSet>,
    /// The newest heartbeat of each target that is here.
    pub(crate) heartbeats: ArcSwap<Vec<Heartbeat>>,
    /// The partitions whose jobs this process runs.
    pub(crate) owned: watch::Sender<BTreeSet<u32>>,
    /// Whether a planned stop has begun.
    pub(crate) stopping: watch::Sender<bool>,
    /// Told whenever a slot of an engine may have become free.
    pub(crate) slot_freed: Notify,
    versions: Mutex<HashMap<TargetId, KnownVersion>>,
}

impl Board {
    pub(crate) fn new(settings: &ServeSettings) -> Self {
        Self {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            boot: rand::random(),
            routes: ArcSwapOption::empty(),
            wanted: ArcSwap::default(),
            targets: ArcSwap::from_pointee(TargetSet::empty(Instant::now())),
            heartbeats: ArcSwap::default(),
            owned: watch::Sender::new(BTreeSet::new()),
            stopping: watch::Sender::new(false),
            slot_freed: Notify::new(),
            versions: Mutex::default(),
        }
    }

    /// Tells the version of the configuration in force; 0 for none.
    pub(crate) fn config_version(&self) -> u64 {
        self.routes.load().as_ref().map_or(0, |table| table.version)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Waits until a planned stop begins.
    pub(crate) async fn until_stopping(&self) {
        let mut stopping = self.stopping.subscribe();
        // The sender lives as long as the board does.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    }

    /// Sleeps, or until a planned stop begins.
    pub(crate) async fn pause(&self, span: Duration) {
        let _ = tokio::time::timeout(span, self.until_stopping()).await;
    }

    /// Takes in which version an engine has. An incarnation's version only
    /// goes forward, so an older word about it changes nothing.
    pub(crate) fn learn_version(
        &self,
        engine: &str,
        started_ms: u64,
        model: &str,
        version: Version,
    ) {
        let mut known = lock(&self.versions);
        let known = known.entry(engine.into()).or_default();
        if known.started_ms > started_ms {
            return;
        }
        if known.started_ms < started_ms {
            *known = KnownVersion { started_ms, versions: BTreeMap::new() };
        }
        let newest = known.versions.entry(model.into()).or_default();
        *newest = version.max(*newest);
    }

    /// Tells the version of a model's weights that an engine has, if known.
    pub(crate) fn version_of(&self, engine: &str, model: &str) -> Option<Version> {
        lock(&self.versions).get(engine)?.versions.get(model).copied()
    }

    /// Forgets engines that are no longer listed.
    pub(crate) fn keep_versions(&self, listed: &[Heartbeat]) {
        lock(&self.versions).retain(|id, _| listed.iter().any(|beat| beat.id == *id));
    }
}

/// Locks a mutex; a panic elsewhere ends the process anyway.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
