//! Slots at engines for the items of a batch job.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::TargetId;
use cassia_jobs::Job;
use cassia_route::InFlight;
use cassia_route::SlotPreference;
use cassia_route::Target;
use cassia_route::TargetKind;
use tokio::time::timeout;

use crate::app::App;
use crate::item::JobContext;
use crate::state::lock;

/// Maximum wait for a notification of a free slot before checking again.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// How much older than the end of an outage the last complete read of a
/// partition may be for its items to go on at once. It is less than the time
/// in which the end of a job takes effect.
const MAX_READ_AGE: Duration = Duration::from_secs(2);
/// How long an item waits for a slot before that is logged, and how often it
/// is logged again.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A slot at an engine. Dropping it frees the slot and notifies the waiting
/// items.
#[derive(Debug)]
pub(crate) struct Slot {
    app: Arc<App>,
    pub(crate) engine: Option<InFlight>,
}

impl Slot {
    fn new(app: Arc<App>, engine: InFlight) -> Self {
        Self { app, engine: Some(engine) }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // The slot must be free before the waiting items are notified.
        self.engine = None;
        self.app.state.slot_freed.notify_waiters();
    }
}

impl JobContext {
    /// Returns whether runs and calls of items may begin: the job is open, as
    /// far as the partition was read, and that is far enough.
    ///
    /// In an outage of the store items go on by what was read before. Once the
    /// store is back, this process may have missed that the job was ended, and
    /// reads the partition to its end first.
    fn may_begin(&self) -> bool {
        let log = self.app.job_log.partition(self.partition);
        let back_at = *self.app.state.store_back_at.borrow();
        let needed = back_at.and_then(|at| at.checked_sub(MAX_READ_AGE));
        needed.is_none_or(|time| log.is_current_as_of(time))
            && log.table().job(&self.submission.id).is_some_and(Job::is_open)
    }

    /// Waits until calls of items may begin. If the job is not open any more,
    /// that is until the run of the job is aborted.
    pub(crate) async fn wait_until_may_begin(&self) {
        self.app.job_log.partition(self.partition).wait_until(|| self.may_begin()).await;
    }

    /// Waits for a slot at an engine that may run the item; `None` if this
    /// process no longer owns the partition.
    ///
    /// An engine in `failed` is only used if there is no other.
    pub(crate) async fn wait_for_slot(
        &self,
        index: u32,
        preferred: Option<&str>,
        failed: &[TargetId],
    ) -> Option<Slot> {
        let log_wait_at = Instant::now() + WAIT_LOG_INTERVAL;
        loop {
            if !self.is_owned() {
                return None;
            }
            let freed = self.app.state.slot_freed.notified();
            let mut freed = std::pin::pin!(freed);
            freed.as_mut().enable();
            let is_allowed = |target: &Target| !failed.contains(&target.info.id);
            let preference = if self.item(index).expected_output >= self.long_item_tokens {
                SlotPreference::Fastest
            } else {
                SlotPreference::Target(preferred)
            };
            let engine = self.claim_free_slot(index, preference, is_allowed);
            let engine = engine.or_else(|| self.claim_failed_engine(index, failed));
            if let Some(engine) = engine {
                return Some(Slot::new(Arc::clone(&self.app), engine));
            }
            if Instant::now() >= log_wait_at {
                self.log_wait(index);
            }
            let _ = timeout(POLL_INTERVAL, freed).await;
        }
    }

    /// Logs, at intervals and for one item of the job, whether the items wait
    /// for engines with a new enough version or for slots.
    fn log_wait(&self, index: u32) {
        {
            let mut next = lock(&self.next_wait_log);
            if Instant::now() < *next {
                return;
            }
            *next = Instant::now() + WAIT_LOG_INTERVAL;
        }
        let state = &self.app.state;
        let (mut engines, mut eligible) = (0_u32, 0_u32);
        if let Some(kind) = self.target_kind(index) {
            for target in state.targets.load().of_kind(&kind).iter().filter(|t| t.is_open()) {
                let version = state.version_of(&target.info.id, &self.model).unwrap_or(0);
                engines += 1;
                eligible += u32::from(version >= self.submission.min_version);
            }
        }
        let (id, job) = (self.item(index).id.as_str(), self.submission.id.as_str());
        let (min_version, may_begin) = (self.submission.min_version, self.may_begin());
        log::info!(event = "items_wait", step = "choose", id, job, min_version, engines, fit = eligible, may_begin; "no free slot at an engine with a new enough version, or the partition is not read");
    }

    /// Claims a free slot at any engine if all engines have failed the item.
    fn claim_failed_engine(&self, index: u32, failed: &[TargetId]) -> Option<InFlight> {
        if failed.is_empty() {
            return None;
        }
        let kind = self.target_kind(index)?;
        let targets = self.app.state.targets.load();
        let mut open = targets.of_kind(&kind).iter().filter(|target| target.is_open());
        if open.all(|target| failed.contains(&target.info.id)) {
            return self.claim_free_slot(index, SlotPreference::Target(None), |_| true);
        }
        None
    }

    fn target_kind(&self, index: u32) -> Option<TargetKind> {
        let route = self.find_route(&self.submission.host, &self.item(index).path)?;
        let name = route.pick_service(rand::random())?.clone();
        Some(TargetKind::Service { name })
    }

    /// Claims a free slot at an engine that has a new enough version and is
    /// allowed.
    fn claim_free_slot(
        &self,
        index: u32,
        preference: SlotPreference<'_>,
        is_allowed: impl Fn(&Target) -> bool,
    ) -> Option<InFlight> {
        let targets = self.app.state.targets.load();
        targets.record_demand(&self.target_kind(index)?);
        let engine = self.find_free_slot(index, preference, is_allowed)?;
        targets.start_request(&engine, Instant::now())
    }

    /// Finds an engine with a free slot that has a new enough version and is
    /// allowed; none if no run may begin.
    pub(crate) fn find_free_slot(
        &self,
        index: u32,
        preference: SlotPreference<'_>,
        is_allowed: impl Fn(&Target) -> bool,
    ) -> Option<Arc<Target>> {
        if !self.may_begin() {
            return None;
        }
        let kind = self.target_kind(index)?;
        let state = &self.app.state;
        let is_eligible = |target: &Target| {
            let version = state.version_of(&target.info.id, &self.model);
            version.unwrap_or(0) >= self.submission.min_version && is_allowed(target)
        };
        let now = Instant::now();
        let targets = state.targets.load();
        targets.choose_with_free_slot(&kind, is_eligible, preference, &mut rand::rng(), now)
    }

    /// Returns the number of free slots at engines that may run the item.
    pub(crate) fn free_slots(&self, index: u32) -> u32 {
        let Some(kind) = self.target_kind(index) else {
            return 0;
        };
        let state = &self.app.state;
        let is_eligible = |target: &&Arc<Target>| {
            let version = state.version_of(&target.info.id, &self.model);
            target.is_open() && version.unwrap_or(0) >= self.submission.min_version
        };
        let targets = state.targets.load();
        let free = targets.of_kind(&kind).iter().filter(is_eligible);
        free.map(|target| target.info.slots.saturating_sub(target.load())).sum()
    }
}
