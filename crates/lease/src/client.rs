//! A process's replica of the lease table, combined with its contender for one
//! lease.

use std::time::Duration;
use std::time::Instant;

use cassia_ids::Fence;
use cassia_ids::Offset;
use cassia_replica::Replica;

use crate::Contender;
use crate::LeaseOp;
use crate::LeaseRecord;
use crate::LeaseTable;
use crate::NextOp;
use crate::OpKind;

/// What a client does next.
#[derive(Clone, Debug, PartialEq)]
pub enum NextRecord {
    /// Append this record.
    Append(LeaseRecord),
    /// Do nothing before this time.
    WaitUntil(Instant),
}

/// A lease held by this process, with the data needed to use it safely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fencing token.
    pub fence: Fence,
    /// When this process acquired the lease.
    pub since: Instant,
    /// When the lease expires.
    pub until: Instant,
    /// Whether no process on another host can have acted on it recently; if
    /// not, the previous holder may have acted until its lease expired.
    pub quiesced: bool,
    /// From when on this process may act, if the previous holder handed the
    /// lease over.
    pub quiet_until: Option<Instant>,
    /// Whether an earlier process of this host held the lease until then. It may have
    /// acted until this one acquired it.
    pub inherited: bool,
}

impl HeldLease {
    /// Returns whether the holder may act on the lease. A previous holder that
    /// went silent may have acted until its lease expired, which was before
    /// this one was acquired, so a quiet period must pass first.
    #[must_use]
    pub fn may_act(&self, now: Instant, quiet_period: Duration) -> bool {
        now >= self.acts_from(quiet_period)
    }

    /// Returns from when on a holder on another host may act on the lease, as far as that
    /// depends on the holders before this one.
    fn others_act_from(&self, quiet_period: Duration) -> Instant {
        let from = self.acts_from(quiet_period);
        if self.inherited { from.max(self.since + quiet_period) } else { from }
    }

    /// Returns from when on the holder may act on the lease.
    fn acts_from(&self, quiet_period: Duration) -> Instant {
        if self.quiesced {
            return self.since;
        }
        self.quiet_until.unwrap_or(self.since + quiet_period)
    }
}

/// A process that replays the lease stream and may contend for one lease.
#[derive(Debug)]
pub struct LeaseClient {
    replica: Replica<LeaseTable>,
    contender: Contender,
    /// Whether the table has caught up with the end of the stream.
    synced: bool,
    /// The fencing token of the held lease and when it was acquired.
    since: Option<(Fence, Instant)>,
    /// Number of records after which the table is appended as a snapshot.
    records_per_snapshot: u64,
    /// The minimum time between the actions of two holders.
    quiet_period: QuietPeriod,
}

/// A fixed duration; points in time are `Instant`s.
type QuietPeriod = Duration;

impl LeaseClient {
    /// Creates a client that has not read any of the stream yet.
    #[must_use]
    pub fn new(contender: Contender, records_per_snapshot: u64, quiet_period: QuietPeriod) -> Self {
        let replica = Replica::default();
        Self { replica, contender, synced: false, since: None, records_per_snapshot, quiet_period }
    }

    /// Returns whether, according to the stream, an earlier process of this
    /// host still holds the lease; this one may then take over immediately.
    #[must_use]
    pub fn held_by_predecessor(&self) -> bool {
        self.synced && self.contender.held_by_predecessor(self.replica.state())
    }

    /// Sets the rank. Clients of lower rank claim first.
    pub fn set_rank(&mut self, rank: u32) {
        self.contender.set_rank(rank);
    }

    /// Returns the offset to read from next.
    #[must_use]
    pub fn next_read(&self) -> Offset {
        self.replica.next_read().offset()
    }

    /// Applies the records read starting at offset `from`. `first` is the
    /// oldest offset kept by the stream and `end` the next one to be assigned.
    pub fn apply_records(
        &mut self,
        first: Offset,
        from: Offset,
        records: &[Option<LeaseRecord>],
        end: Offset,
        now: Instant,
    ) {
        self.replica.set_bounds(first, end);
        for (offset, record) in (from..).zip(records) {
            self.replica.apply(first, offset, record.as_ref());
        }
        // A table that has not caught up would show held leases as free.
        self.synced = self.replica.has_applied(end);
        if self.synced {
            self.contender.observe(now, self.replica.state());
            self.update_since(now);
        }
    }

    /// Decides what to do next, for a process that contends. Returns `None`
    /// until the table has caught up.
    pub fn step(&mut self, now: Instant) -> Option<NextRecord> {
        if !self.synced || self.replica.has_gap() {
            return None;
        }
        let holds = self.contender.fence(now).is_some();
        if holds && self.replica.snapshot_due(self.records_per_snapshot, false) {
            let table = self.replica.state().clone();
            return Some(NextRecord::Append(LeaseRecord::Snapshot { table }));
        }
        let may_act = self.held_lease(now).is_some_and(|held| held.may_act(now, self.quiet_period));
        Some(match self.contender.step(now, self.replica.state()) {
            NextOp::Append(mut op) => {
                op.quiesced = may_act && matches!(op.kind, OpKind::Renew { .. });
                NextRecord::Append(LeaseRecord::Op(op))
            }
            NextOp::WaitUntil(at) => NextRecord::WaitUntil(at),
        })
    }

    /// Returns whether records that this process is missing are lost to
    /// retention. Unless another process writes a snapshot, the leases must be
    /// reset.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.replica.has_gap()
    }

    /// Returns the lease if this process holds it now.
    #[must_use]
    pub fn held_lease(&self, now: Instant) -> Option<HeldLease> {
        let (fence, until) = self.contender.held().filter(|(_, until)| now < *until)?;
        let (_, since) = self.since.filter(|(held, _)| *held == fence)?;
        let lease = self.replica.state().get(self.contender.resource());
        let lease = lease.filter(|lease| lease.fence == fence);
        let quiesced = lease.is_some_and(|lease| lease.quiesced);
        // The wait was stated before this process saw the lease handed over.
        let wait = lease.and_then(|lease| lease.wait_ms).map(Duration::from_millis);
        let quiet_until = wait.zip(self.contender.superseded_at()).map(|(wait, at)| at + wait);
        let inherited = lease.is_some_and(|lease| lease.inherited);
        Some(HeldLease { fence, since, until, quiesced, quiet_until, inherited })
    }

    /// Releases the lease or hands it over; returns `None` if it is not held.
    /// The caller must not act on it any more.
    ///
    /// A holder on another host must not act before `quiet_until`, because of
    /// this process's own actions, nor within the quiet period of the previous
    /// holder, which may have been an earlier process of this host. Until then the lease is handed over rather than released: the next
    /// process of this host may act at once, others learn how long to wait.
    pub fn release(&mut self, now: Instant, quiet_until: Option<Instant>) -> Option<LeaseOp> {
        let held = self.held_lease(now)?;
        self.since = None;
        let others_act_from = held.others_act_from(self.quiet_period);
        let quiet_until = others_act_from.max(quiet_until.unwrap_or(now));
        let left = quiet_until.saturating_duration_since(now);
        if left.is_zero() {
            return self.contender.release(now);
        }
        // Rounded up.
        let wait_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).saturating_add(1);
        let mut op = self.contender.hand_over(now, wait_ms)?;
        op.quiesced = held.may_act(now, self.quiet_period);
        Some(op)
    }

    fn update_since(&mut self, now: Instant) {
        let fence = self.contender.fence(now);
        if fence != self.since.map(|(fence, _)| fence) {
            self.since = fence.map(|fence| (fence, now));
        }
    }
}
