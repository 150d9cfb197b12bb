//! The shared state of a process.
//!
//! | field | written by | read by |
//! | --- | --- | --- |
//! | `config`, `recent_records` | the configuration controller | all |
//! | `newer_config` | the gossip controller | the configuration controller |
//! | `peers` | the gossip controller | all |
//! | `view`, `targets`, `slots` | the list controller, and the gossip controller (closes targets) | all |
//! | `listed_peers` | the list controller | the gossip controller |
//! | `stopping` | the shutdown in `Node` | all |

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use cassia_config::ContractTable;
use cassia_contract::Contract;
use cassia_ids::BootId;
use cassia_ids::DataCentre;
use cassia_ids::HostId;
use cassia_ids::Offset;
use cassia_membership::Peer;
use cassia_route::TargetKind;
use cassia_route::TargetSet;
use cassia_route::TargetView;
use cassia_route::subset;
use http::HeaderMap;
use smol_str::format_smolstr;
use tokio::sync::watch;

use crate::ApiError;
use crate::ApiErrorKind;
use crate::Metrics;
use crate::NodeSettings;
use crate::Role;

/// Records kept for peers that lag slightly.
const MAX_RECENT_RECORDS: usize = 256;
/// Number of targets of one kind that a process keeps connections to.
const MAX_TARGETS_PER_KIND: usize = 64;

/// When callers should retry if there is no configuration yet.
const CONFIG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The configuration that this process has in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    /// The contracts.
    pub contracts: ContractTable,
    /// Whether it is known to be complete; until then requests are refused.
    pub usable: bool,
}

/// A peer with a newer configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct NewerConfig {
    pub(crate) peer: SocketAddr,
    pub(crate) next: Offset,
}

/// The shared state of a process.
#[derive(Debug)]
pub struct NodeState {
    /// The process's member id.
    pub id: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The address that peers connect to.
    pub link: SocketAddr,
    /// Its role.
    pub role: Role,
    /// Identifies this run of the process.
    pub boot: BootId,
    /// When it started.
    pub started: Instant,
    /// Its metrics.
    pub metrics: Metrics,
    /// The configuration in force.
    pub config: ArcSwap<ConfigState>,
    /// The other processes that are believed to be alive.
    pub peers: ArcSwap<Vec<Peer>>,
    /// The targets that this process uses.
    pub targets: ArcSwap<TargetSet>,
    /// The number of slots of all open targets per kind, used by this process
    /// or not.
    pub slots: ArcSwap<BTreeMap<TargetKind, u32>>,
    /// The first offset that `config` lacks; changes whenever `config` does.
    pub config_next: watch::Sender<Offset>,
    /// The addresses of peers in the platform's list.
    pub(crate) listed_peers: ArcSwap<Vec<SocketAddr>>,
    /// A peer to fetch a newer configuration from.
    pub(crate) newer_config: watch::Sender<Option<NewerConfig>>,
    view: Mutex<TargetView>,
    recent_records: Mutex<VecDeque<(Offset, String)>>,
    stopping: AtomicBool,
}

/// Returns a process's member id.
#[must_use]
pub fn member_id(host: &str, role: Role) -> HostId {
    format_smolstr!("{host}/{role}")
}

impl NodeState {
    /// Creates a state with neither configuration, peers nor targets.
    #[must_use]
    pub fn new(settings: &NodeSettings, role: Role, boot: BootId, metrics: Metrics) -> Self {
        let now = Instant::now();
        Self {
            id: member_id(&settings.host, role),
            data_centre: settings.data_centre.clone(),
            link: settings.link,
            role,
            boot,
            started: now,
            metrics,
            config: ArcSwap::default(),
            peers: ArcSwap::default(),
            targets: ArcSwap::from_pointee(TargetSet::empty(now)),
            slots: ArcSwap::default(),
            config_next: watch::Sender::new(0),
            listed_peers: ArcSwap::default(),
            newer_config: watch::Sender::new(None),
            view: Mutex::default(),
            recent_records: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Returns the contract in force for a customer.
    #[must_use]
    pub fn contract(&self, customer: &str) -> Option<Arc<Contract>> {
        let config = self.config.load();
        config.contracts.get(customer).and_then(|f| f.contract.clone())
    }

    /// Returns the customer's contract if the authorization header has one of
    /// its keys.
    ///
    /// # Errors
    ///
    /// There is no configuration yet, or the customer has no such key. The
    /// error is the same for an unknown customer and a wrong key.
    pub fn authorize(
        &self,
        customer: &str,
        headers: &HeaderMap,
    ) -> Result<Arc<Contract>, ApiError> {
        let step = "authorize";
        if !self.config.load().usable {
            let e = ApiError::not_run(ApiErrorKind::NotConfigured, step, "no configuration yet");
            return Err(e.with_return_after(CONFIG_RETRY_AFTER));
        }
        let header = headers.get(http::header::AUTHORIZATION).and_then(|v| v.to_str().ok());
        let key = header.and_then(|v| v.strip_prefix("Bearer "));
        let contract = self.contract(customer);
        contract.filter(|c| key.is_some_and(|key| c.accepts_key(key))).ok_or_else(|| {
            ApiError::not_run(ApiErrorKind::WrongKey, step, "unknown customer or wrong key")
        })
    }

    /// Returns the number of live processes with the role of this one, itself
    /// included.
    #[must_use]
    pub fn same_role_count(&self) -> u32 {
        let suffix = format!("/{}", self.role);
        let others = self.peers.load().iter().filter(|p| p.id.ends_with(&suffix)).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns whether the process is ready for requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.load().usable && !self.is_stopping()
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Calls `change` on the view of the targets; rebuilds the set of targets
    /// if it returns true.
    pub fn change_targets<R>(&self, change: impl FnOnce(&mut TargetView) -> (bool, R)) -> R {
        let mut view = lock(&self.view);
        let (changed, result) = change(&mut view);
        if changed {
            self.rebuild_targets(&view);
        }
        result
    }

    fn rebuild_targets(&self, view: &TargetView) {
        let mut by_kind: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let mut slots: BTreeMap<_, u32> = BTreeMap::new();
        for target in view.open_targets() {
            by_kind.entry(target.kind.clone()).or_default().push(target);
            *slots.entry(target.kind.clone()).or_default() += target.slots;
        }
        let used = by_kind
            .into_values()
            .flat_map(|of_kind| subset(&self.id, of_kind, MAX_TARGETS_PER_KIND, |t| &t.id));
        let updated = self.targets.load().updated(used);
        self.targets.store(Arc::new(updated));
        self.slots.store(Arc::new(slots));
    }

    /// Puts a configuration in force and keeps its new records for peers.
    pub(crate) fn set_config(&self, state: ConfigState, records: Vec<(Offset, String)>) {
        let next = cassia_replica::StateMachine::next_offset(&state.contracts);
        let mut recent = lock(&self.recent_records);
        recent.extend(records);
        let surplus = recent.len().saturating_sub(MAX_RECENT_RECORDS);
        recent.drain(..surplus);
        drop(recent);
        self.config.store(Arc::new(state));
        self.config_next.send_replace(next);
    }

    /// Returns the records from an offset on, if all of them are still kept.
    pub(crate) fn records_from(&self, from: Offset) -> Option<Vec<(Offset, String)>> {
        let next = *self.config_next.borrow();
        let recent = lock(&self.recent_records);
        let records: Vec<_> = recent.iter().filter(|(o, _)| *o >= from).cloned().collect();
        let complete = (from..next).eq(records.iter().map(|(o, _)| *o));
        complete.then_some(records)
    }
}

/// Locks a mutex and ignores poisoning: a panic means a bug and stops the
/// process, so no holder can leave the data half changed.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
