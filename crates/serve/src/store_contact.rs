//! Whether this host reaches the store.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use tokio::sync::watch;

/// How long the store may be out of reach before a host counts as cut off.
const LOSS_LIMIT: Duration = Duration::from_secs(1);

/// What the controllers that read the store have found out about it.
#[derive(Debug)]
pub(crate) struct StoreContact {
    lost_at: ArcSwapOption<Instant>,
    back_at: watch::Sender<Option<Instant>>,
}

impl Default for StoreContact {
    fn default() -> Self {
        Self { lost_at: ArcSwapOption::empty(), back_at: watch::Sender::new(None) }
    }
}

impl StoreContact {
    /// Records that reads fail, the first of which began at this time.
    pub(crate) fn record_lost(&self, at: Instant) {
        self.lost_at.store(Some(Arc::new(at)));
    }

    /// Records that reads succeed again.
    pub(crate) fn record_read(&self) {
        self.lost_at.store(None);
    }

    /// Records that the store answers small calls again.
    pub(crate) fn record_back(&self, at: Instant) {
        self.back_at.send_replace(Some(at));
    }

    /// Returns whether the last read failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.lost_at.load().is_some()
    }

    /// Returns whether reads have failed for a while. The host can answer nothing about
    /// batch jobs then, and may not know what operators have changed.
    pub(crate) fn has_lost(&self) -> bool {
        let lost_at = self.lost_at.load();
        lost_at.as_ref().is_some_and(|at| at.elapsed() >= LOSS_LIMIT)
    }

    /// Returns when the store answered again after small calls to it had failed.
    pub(crate) fn back_at(&self) -> Option<Instant> {
        *self.back_at.borrow()
    }

    /// Returns a receiver that is notified when the store answers again.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Instant>> {
        self.back_at.subscribe()
    }
}
