//! Slots at engines for the items of a batch job.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::Software;
use cassia_ids::TargetId;
use cassia_route::InFlight;
use cassia_route::SlotPreference;
use cassia_route::Target;
use cassia_route::TargetKind;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::app::App;
use crate::item::JobContext;
use crate::lock::lock;

/// Maximum wait for a notification of a free slot before checking again.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time in which an engine that restarted is in the list again, and read.
const RESTART_NOTICE: Duration = Duration::from_millis(1_500);
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

/// What began a text that is to go on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TextOrigin<'a> {
    /// Version of the software.
    pub(crate) software: &'a Software,
    /// The engine at which it broke off last.
    pub(crate) break_off: Option<&'a BreakOff>,
}

/// The engine at which a run broke off. It may have restarted with another version
/// of its software, which its next entry in the list will name.
#[derive(Debug)]
pub(crate) struct BreakOff {
    engine: TargetId,
    incarnation: u64,
    doubted_until: Instant,
}

impl BreakOff {
    pub(crate) fn new(engine: &Target) -> Self {
        let (engine, incarnation) = (engine.info.id.clone(), engine.info.incarnation);
        Self { engine, incarnation, doubted_until: Instant::now() + RESTART_NOTICE }
    }

    fn concerns(&self, target: &Target) -> bool {
        self.engine == target.info.id
            && self.incarnation == target.info.incarnation
            && Instant::now() < self.doubted_until
    }
}

/// How the wait for a slot at an engine with one version of the software ended.
#[derive(Debug)]
pub(crate) enum SlotWait {
    /// With a slot.
    Slot(Slot),
    /// This process no longer owns the partition.
    PartitionLost,
    /// No such engine is open, or none had a free slot in time, and engines with
    /// another version are open.
    NoEngine,
}

impl Slot {
    fn new(app: Arc<App>, engine: InFlight) -> Self {
        if let TargetKind::Service { name } = &engine.target().info.kind {
            app.demand.begin_item(name);
        }
        Self { app, engine: Some(engine) }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // The slot must be free before the waiting items are notified.
        if let Some(engine) = self.engine.take()
            && let TargetKind::Service { name } = &engine.target().info.kind
        {
            self.app.demand.end_item(name);
        }
        self.app.state.slot_freed.notify_waiters();
    }
}

impl JobContext {
    /// Waits for a slot at an engine that may run the item; `None` if this
    /// process no longer owns the partition.
    ///
    /// An engine in `failed` is only used if there is no other. With `origin`, only
    /// engines that may go on with the text are used.
    pub(crate) async fn wait_for_slot(
        &self,
        index: u32,
        preferred: Option<&str>,
        failed: &[TargetId],
        origin: Option<TextOrigin<'_>>,
    ) -> Option<Slot> {
        let log_wait_at = Instant::now() + WAIT_LOG_INTERVAL;
        loop {
            if !self.is_owned() {
                return None;
            }
            let freed = self.app.state.slot_freed.notified();
            let mut freed = std::pin::pin!(freed);
            freed.as_mut().enable();
            let may_go_on = |target: &Target| may_go_on(target, origin);
            let is_allowed =
                |target: &Target| may_go_on(target) && !failed.contains(&target.info.id);
            let preference = if self.item(index).expected_output >= self.long_item_tokens {
                SlotPreference::Fastest
            } else {
                SlotPreference::Target(preferred)
            };
            let engine = self.claim_free_slot(index, preference, is_allowed);
            let engine = engine.or_else(|| self.claim_failed_engine(index, failed, origin));
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
        let (min_version, may_begin) = (self.submission.min_version, self.requests.may_begin());
        log::info!(event = "items_wait", step = "choose", id, job, min_version, engines, fit = eligible, may_begin; "no free slot at an engine with a new enough version, or the partition is not read");
    }

    /// Waits for a slot at an engine with the version of the software that began a
    /// text. Where engines with another version are open, it waits until `deadline`,
    /// or until none with this one is open.
    pub(crate) async fn wait_for_slot_with_software(
        &self,
        index: u32,
        failed: &[TargetId],
        origin: TextOrigin<'_>,
        deadline: Instant,
    ) -> SlotWait {
        tokio::select! {
            slot = self.wait_for_slot(index, None, failed, Some(origin)) => {
                slot.map_or(SlotWait::PartitionLost, SlotWait::Slot)
            }
            () = self.wait_until_given_up(index, origin.software, deadline) => SlotWait::NoEngine,
        }
    }

    /// Waits until it is better to begin a text anew at another version of the
    /// software than to wait for this one.
    async fn wait_until_given_up(&self, index: u32, software: &Software, deadline: Instant) {
        loop {
            let has_other = self.has_open_engine(index, |version| version != software);
            let is_gone = !self.has_open_engine(index, |version| version == software);
            if has_other && (is_gone || Instant::now() >= deadline) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn has_open_engine(&self, index: u32, is_meant: impl Fn(&Software) -> bool) -> bool {
        let Some(route) = self.find_route(&self.submission.host, &self.item(index).path) else {
            return false;
        };
        let targets = self.app.state.targets.load();
        route.split.iter().any(|(name, _)| {
            let kind = TargetKind::Service { name: name.clone() };
            let mut engines = targets.of_kind(&kind).iter();
            engines.any(|target| target.is_open() && is_meant(&target.info.software))
        })
    }

    /// Claims a free slot at any engine if all engines with this version of the
    /// software have failed the item.
    fn claim_failed_engine(
        &self,
        index: u32,
        failed: &[TargetId],
        origin: Option<TextOrigin<'_>>,
    ) -> Option<InFlight> {
        if failed.is_empty() {
            return None;
        }
        let kind = self.target_kind(index)?;
        let targets = self.app.state.targets.load();
        let is_candidate = |target: &Target| target.is_open() && may_go_on(target, origin);
        let mut open = targets.of_kind(&kind).iter().filter(|target| is_candidate(target));
        if open.all(|target| failed.contains(&target.info.id)) {
            let is_allowed = |target: &Target| may_go_on(target, origin);
            return self.claim_free_slot(index, SlotPreference::Target(None), is_allowed);
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
        if !self.requests.may_begin() {
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
        let free = free.map(|target| target.info.slots.saturating_sub(target.load()));
        free.fold(0, u32::saturating_add)
    }
}

fn may_go_on(target: &Target, origin: Option<TextOrigin<'_>>) -> bool {
    origin.is_none_or(|origin| {
        target.info.software == *origin.software
            && !origin.break_off.is_some_and(|break_off| break_off.concerns(target))
    })
}
