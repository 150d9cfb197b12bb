//! Slots at engines for the items of a batch job.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::TargetId;
use cassia_route::InFlight;
use cassia_route::SlotPreference;
use cassia_route::Target;
use cassia_route::TargetKind;
use tokio::time::timeout;

use crate::app::App;
use crate::board::lock;
use crate::item::JobCx;

/// How long to wait for news of a free slot before looking again.
const LOOK_AGAIN: Duration = Duration::from_millis(25);
/// How long an item waits for an engine before that is logged, again and again.
const TELL_WAIT_AFTER: Duration = Duration::from_secs(1);

/// An engine's slot; others are told when it is free again.
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
        // The slot counts as used until its part is dropped.
        self.engine = None;
        self.app.board.slot_freed.notify_waiters();
    }
}

impl JobCx {
    /// Waits for a slot at an engine that may run the item; none once the job
    /// is no longer this process's.
    ///
    /// It goes to one of the engines in `failed` only if there is no other.
    pub(crate) async fn slot(
        &self,
        index: u32,
        home: Option<&str>,
        failed: &[TargetId],
    ) -> Option<Slot> {
        let tell_from = Instant::now() + TELL_WAIT_AFTER;
        loop {
            if !self.is_owned() {
                return None;
            }
            let freed = self.app.board.slot_freed.notified();
            let mut freed = std::pin::pin!(freed);
            freed.as_mut().enable();
            let others = |target: &Target| !failed.contains(&target.info.id);
            let which = if self.item(index).expected_output >= self.long_from {
                SlotPreference::Fastest
            } else {
                SlotPreference::Target(home)
            };
            let engine = self.free_engine(index, which, others);
            let engine = engine.or_else(|| self.last_resort(index, failed));
            if let Some(engine) = engine {
                return Some(Slot::new(Arc::clone(&self.app), engine));
            }
            if Instant::now() >= tell_from {
                self.tell_wait(index);
            }
            let _ = timeout(LOOK_AGAIN, freed).await;
        }
    }

    /// Says now and then, for one item of the job, what it waits for: a version
    /// that too few engines have, or a slot.
    fn tell_wait(&self, index: u32) {
        {
            let mut next = lock(&self.tell_wait_at);
            if Instant::now() < *next {
                return;
            }
            *next = Instant::now() + TELL_WAIT_AFTER;
        }
        let board = &self.app.board;
        let (mut engines, mut fit) = (0_u32, 0_u32);
        if let Some(kind) = self.service(index) {
            for target in board.targets.load().of_kind(&kind).iter().filter(|t| t.is_open()) {
                let version = board.version_of(&target.info.id, &self.model).unwrap_or(0);
                engines += 1;
                fit += u32::from(version >= self.job.min_version);
            }
        }
        let (id, job) = (self.item(index).id.as_str(), self.job.id.as_str());
        let min_version = self.job.min_version;
        log::info!(event = "items_wait", step = "choose", id, job, min_version, engines, fit; "no slot at an engine that is new enough");
    }

    /// Any engine with a free slot, if all that are here have failed the item.
    fn last_resort(&self, index: u32, failed: &[TargetId]) -> Option<InFlight> {
        if failed.is_empty() {
            return None;
        }
        let kind = self.service(index)?;
        let targets = self.app.board.targets.load();
        let mut open = targets.of_kind(&kind).iter().filter(|target| target.is_open());
        if open.all(|target| failed.contains(&target.info.id)) {
            return self.free_engine(index, SlotPreference::Target(None), |_| true);
        }
        None
    }

    fn service(&self, index: u32) -> Option<TargetKind> {
        let route = self.route(&self.job.host, &self.item(index).path)?;
        let name = route.pick_service(rand::random())?.clone();
        Some(TargetKind::Service { name })
    }

    pub(crate) fn free_engine(
        &self,
        index: u32,
        which: SlotPreference<'_>,
        others: impl Fn(&Target) -> bool,
    ) -> Option<InFlight> {
        let kind = self.service(index)?;
        let board = &self.app.board;
        let fit = |target: &Target| {
            let version = board.version_of(&target.info.id, &self.model);
            version.unwrap_or(0) >= self.job.min_version && others(target)
        };
        let now = Instant::now();
        let targets = board.targets.load();
        targets.choose_with_free_slot(&kind, fit, which, &mut rand::rng(), now)?.start_request()
    }

    /// Counts the slots that are free at engines that may run an item.
    pub(crate) fn free_slots(&self, index: u32) -> u32 {
        let Some(kind) = self.service(index) else {
            return 0;
        };
        let board = &self.app.board;
        let fit = |target: &&Arc<Target>| {
            let version = board.version_of(&target.info.id, &self.model);
            target.is_open() && version.unwrap_or(0) >= self.job.min_version
        };
        let targets = board.targets.load();
        let free = targets.of_kind(&kind).iter().filter(fit);
        free.map(|target| target.info.slots.saturating_sub(target.load())).sum()
    }
}
