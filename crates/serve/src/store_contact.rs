//! Whether this host reaches the store, and each of its partitions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use cassia_clients::PartitionRef;
use cassia_contact::Change;
use cassia_contact::ContactTable;
use cassia_contact::NextProbe;
use cassia_contact::PartitionId;
use cassia_contact::Return;
use cassia_ids::Offset;
use cassia_node::ReadBackoff;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::lock::lock;

/// How long the store may be out of reach before a host counts as cut off.
const LOSS_LIMIT: Duration = Duration::from_secs(1);

/// Learns of the returns of a partition.
#[derive(Debug)]
pub(crate) struct ReturnReceiver(watch::Receiver<Return>);

impl ReturnReceiver {
    /// Waits until the partition is back, and returns how.
    pub(crate) async fn changed(&mut self) -> Return {
        if self.0.changed().await.is_err() {
            // The sender lives as long as the shared state.
            return std::future::pending().await;
        }
        *self.0.borrow_and_update()
    }
}

/// Records in the backoff of a partition's reader that the partition is back: what failed in
/// an outage needs no longer timeout.
pub(crate) fn record_return(backoff: &mut ReadBackoff, kind: Return) {
    match kind {
        Return::First => backoff.record_success(),
        Return::Repeated => {}
    }
}

/// What this host has found out about the store by its calls.
#[derive(Debug)]
pub(crate) struct StoreContact {
    lost_at: ArcSwapOption<Instant>,
    back_at: ArcSwapOption<Instant>,
    /// Whether the small calls fail, which concern no partition.
    is_unreachable: AtomicBool,
    partitions: Mutex<ContactTable>,
    /// How each partition came back last, for those that somebody waits for.
    returns: Mutex<HashMap<PartitionId, watch::Sender<Return>>>,
    /// Notified when there may be something to probe.
    probe_due: Notify,
}

impl Default for StoreContact {
    fn default() -> Self {
        Self {
            lost_at: ArcSwapOption::empty(),
            back_at: ArcSwapOption::empty(),
            is_unreachable: AtomicBool::new(false),
            partitions: Mutex::default(),
            returns: Mutex::default(),
            probe_due: Notify::new(),
        }
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

    /// Records that small calls, which concern no partition, fail. The store as a whole is
    /// out of reach then, and its partitions are not probed.
    pub(crate) fn record_unreachable(&self) {
        self.is_unreachable.store(true, Ordering::Relaxed);
    }

    /// Records that the store answers small calls again.
    pub(crate) fn record_back(&self, at: Instant) {
        self.back_at.store(Some(Arc::new(at)));
        self.is_unreachable.store(false, Ordering::Relaxed);
        for sender in lock(&self.returns).values() {
            sender.send_replace(Return::First);
        }
        self.probe_due.notify_one();
    }

    /// Records that a partition answered a call that was sent at `sent`; `end` is its end, if
    /// that is known.
    pub(crate) fn record_answer(
        &self,
        partition: PartitionRef<'_>,
        end: Option<Offset>,
        sent: Instant,
    ) {
        let id = partition_id(partition);
        let (change, others) = {
            let mut partitions = lock(&self.partitions);
            let change = partitions.record_answer(&id, end, sent, Instant::now());
            (change, partitions.away().cloned().collect::<Vec<_>>())
        };
        if let Change::Back(kind) = change {
            let PartitionRef { topic, partition } = partition;
            log::info!(event = "partition_back", step = "contact", topic, partition; "it answers again");
            self.announce_return(&id, kind);
            for other in &others {
                self.announce_return(other, kind);
            }
        }
    }

    /// Records that a partition did not answer a call that was sent at `sent`.
    pub(crate) fn record_failure(&self, partition: PartitionRef<'_>, sent: Instant) {
        lock(&self.partitions).record_failure(&partition_id(partition), sent, Instant::now());
        self.probe_due.notify_one();
    }

    /// Records that a partition did not answer a probe.
    pub(crate) fn record_failed_probe(&self, partition: &PartitionId) {
        lock(&self.partitions).record_probe(partition, false, Instant::now());
        self.probe_due.notify_one();
    }

    /// Returns the next probe, where this many hosts probe.
    pub(crate) fn next_probe(&self, hosts: usize) -> NextProbe {
        if self.is_unreachable.load(Ordering::Relaxed) {
            return NextProbe::Idle;
        }
        lock(&self.partitions).next_probe(hosts, Instant::now())
    }

    /// Waits until there may be something else to probe.
    pub(crate) async fn wait_for_probe(&self) {
        self.probe_due.notified().await;
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

    /// Returns when a partition answered again after calls of it, or small calls, had
    /// failed.
    pub(crate) fn back_at(&self, partition: PartitionRef<'_>) -> Option<Instant> {
        let partition_back = lock(&self.partitions).back_at(&partition_id(partition));
        partition_back.max(self.back_at.load().as_deref().copied())
    }

    /// Returns the partitions that don't answer.
    pub(crate) fn away(&self) -> Vec<PartitionId> {
        lock(&self.partitions).away().cloned().collect()
    }

    /// Returns a receiver that is notified when a partition answers again. A read of it that
    /// was sent before may never end.
    pub(crate) fn subscribe(&self, partition: PartitionRef<'_>) -> ReturnReceiver {
        let mut returns = lock(&self.returns);
        let sender = returns.entry(partition_id(partition)).or_default();
        ReturnReceiver(sender.subscribe())
    }

    fn announce_return(&self, partition: &PartitionId, kind: Return) {
        if let Some(sender) = lock(&self.returns).get(partition) {
            sender.send_replace(kind);
        }
    }
}

fn partition_id(partition: PartitionRef<'_>) -> PartitionId {
    PartitionId { topic: partition.topic.into(), partition: partition.partition }
}
