//! Targets that get no new work: they are leaving, or their entries in the list are gone.

use std::sync::Mutex;

use cassia_ids::TargetId;
use cassia_route::Target;
use tokio::sync::watch;

use crate::lock::lock;

/// An incarnation of a target that has stated that it is leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LeavingTarget {
    pub(crate) id: TargetId,
    pub(crate) incarnation: u64,
}

/// Shares the end of new work at targets among the tasks of this process.
#[derive(Debug, Default)]
pub(crate) struct ClosedTargets {
    /// Changes when targets may have been closed.
    changed: watch::Sender<()>,
    /// Those that have stated that they are leaving, and are not known as such to the
    /// targets controller yet.
    stated: Mutex<Vec<LeavingTarget>>,
}

impl ClosedTargets {
    /// Wakes who waits for a target to be closed. To be called after targets were closed.
    pub(crate) fn notify(&self) {
        self.changed.send_replace(());
    }

    /// Records that a target has stated elsewhere than in its heartbeats that it is leaving.
    /// These may say so later, or never.
    pub(crate) fn record_leaving(&self, target: &Target, step: &'static str) {
        if !target.close_as_leaving() {
            return;
        }
        let (id, incarnation) = (target.info.id.clone(), target.info.incarnation);
        log::info!(event = "target_leaving", step, target = id.as_str(); "the target states that it is leaving");
        lock(&self.stated).push(LeavingTarget { id, incarnation });
        self.notify();
    }

    /// Returns the targets that have been recorded as leaving since the last call.
    pub(crate) fn take_stated(&self) -> Vec<LeavingTarget> {
        std::mem::take(&mut lock(&self.stated))
    }

    /// Waits until a target gets no new work.
    pub(crate) async fn wait_until_closed(&self, target: &Target) {
        let mut changed = self.changed.subscribe();
        // The sender lives as long as `self`.
        let _ = changed.wait_for(|()| !target.is_open()).await;
    }
}
