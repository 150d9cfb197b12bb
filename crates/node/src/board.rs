//! The blackboard: the one place of a process's shared state.
//!
//! | part | written by | read by |
//! | --- | --- | --- |
//! | `config`, `recent` | the configuration controller | all |
//! | `ahead` | the gossip controller | the configuration controller |
//! | `peers` | the gossip controller | all |
//! | `view`, `targets`, `slots` | the list controller; closings also by gossip | all |
//! | `listed_peers` | the list controller | the gossip controller |
//! | `stopping` | the run loop | all |

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
use cassia_contract::Contract;
use cassia_fold::ContractTable;
use cassia_ids::BootId;
use cassia_ids::DataCentre;
use cassia_ids::HostId;
use cassia_ids::Offset;
use cassia_member::Peer;
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

/// Records that are kept to pass on to peers that lag a little.
const RECENT_RECORDS: usize = 256;
/// Targets of one kind that a process keeps connections to.
const TARGETS_OF_A_KIND: usize = 64;

/// When a caller is asked back that came before the configuration.
const CONFIGURATION_DUE: Duration = Duration::from_secs(1);

/// The configuration, as this process has it in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    /// The contracts.
    pub fold: ContractTable,
    /// Whether it is known to be whole; requests are refused before.
    pub usable: bool,
}

/// A peer whose configuration is further on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Ahead {
    pub(crate) peer: SocketAddr,
    pub(crate) next: Offset,
}

/// The blackboard.
#[derive(Debug)]
pub struct Board {
    /// This process's name among its peers.
    pub id: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where its peers reach it.
    pub link: SocketAddr,
    /// What it does.
    pub role: Role,
    /// This run of it.
    pub boot: BootId,
    /// When it started.
    pub started: Instant,
    /// Where its metrics go.
    pub metrics: Metrics,
    /// The contracts in force.
    pub config: ArcSwap<ConfigState>,
    /// The other processes that are alive, as far as is known.
    pub peers: ArcSwap<Vec<Peer>>,
    /// The targets that this process uses.
    pub targets: ArcSwap<TargetSet>,
    /// The slots of all open targets, used by this process or not.
    pub slots: ArcSwap<BTreeMap<TargetKind, u32>>,
    /// Changes whenever `config` does.
    pub config_next: watch::Sender<Offset>,
    /// Where the platform's list says that peers are.
    pub(crate) listed_peers: ArcSwap<Vec<SocketAddr>>,
    pub(crate) ahead: watch::Sender<Option<Ahead>>,
    view: Mutex<TargetView>,
    recent: Mutex<VecDeque<(Offset, String)>>,
    stopping: AtomicBool,
}

/// Names a process among its peers.
#[must_use]
pub fn member_id(host: &str, role: Role) -> HostId {
    format_smolstr!("{host}/{role}")
}

impl Board {
    /// Sets up an empty board.
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
            ahead: watch::Sender::new(None),
            view: Mutex::default(),
            recent: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Finds the contract in force for a customer.
    #[must_use]
    pub fn contract(&self, customer: &str) -> Option<Arc<Contract>> {
        let config = self.config.load();
        config.fold.get(customer).and_then(|f| f.contract.clone())
    }

    /// Finds the contract for a caller that shows this authorization header.
    ///
    /// # Errors
    ///
    /// There is no configuration yet, or the key is not the customer's. A
    /// caller can't tell an unknown customer from a wrong key.
    pub fn authorize(
        &self,
        customer: &str,
        headers: &HeaderMap,
    ) -> Result<Arc<Contract>, ApiError> {
        let step = "authorize";
        if !self.config.load().usable {
            let e = ApiError::not_run(ApiErrorKind::NotConfigured, step, "no configuration yet");
            return Err(e.with_return_after(CONFIGURATION_DUE));
        }
        let header = headers.get(http::header::AUTHORIZATION).and_then(|v| v.to_str().ok());
        let key = header.and_then(|v| v.strip_prefix("Bearer "));
        let contract = self.contract(customer);
        contract.filter(|c| key.is_some_and(|key| c.accepts_key(key))).ok_or_else(|| {
            ApiError::not_run(ApiErrorKind::WrongKey, step, "unknown customer or wrong key")
        })
    }

    /// Counts the live processes of this one's role, itself included.
    #[must_use]
    pub fn same_role(&self) -> u32 {
        let suffix = format!("/{}", self.role);
        let others = self.peers.load().iter().filter(|p| p.id.ends_with(&suffix)).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Says whether the process is ready for requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.load().usable && !self.is_stopping()
    }

    /// Says whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Changes the view of the targets; the set of targets follows.
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
        for listed in view.open() {
            by_kind.entry(listed.kind.clone()).or_default().push(listed);
            *slots.entry(listed.kind.clone()).or_default() += listed.slots;
        }
        let used = by_kind
            .into_values()
            .flat_map(|of_kind| subset(&self.id, of_kind, TARGETS_OF_A_KIND, |t| &t.id));
        let updated = self.targets.load().updated(used);
        self.targets.store(Arc::new(updated));
        self.slots.store(Arc::new(slots));
    }

    /// Puts a configuration in force and keeps its records for peers.
    pub(crate) fn set_config(&self, state: ConfigState, records: Vec<(Offset, String)>) {
        let next = cassia_follow::StateMachine::next_offset(&state.fold);
        let mut recent = lock(&self.recent);
        recent.extend(records);
        let surplus = recent.len().saturating_sub(RECENT_RECORDS);
        recent.drain(..surplus);
        drop(recent);
        self.config.store(Arc::new(state));
        self.config_next.send_replace(next);
    }

    /// Gives the records from an offset on, if all of them are still kept.
    pub(crate) fn records_from(&self, from: Offset) -> Option<Vec<(Offset, String)>> {
        let next = *self.config_next.borrow();
        let recent = lock(&self.recent);
        let records: Vec<_> = recent.iter().filter(|(o, _)| *o >= from).cloned().collect();
        let unbroken = (from..next).eq(records.iter().map(|(o, _)| *o));
        unbroken.then_some(records)
    }
}

/// Takes a lock whose holder can't have left it half changed: a panic in the
/// holder means a bug, and the process stops on its own.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
