//! One process's view of the lease stream, together with its part in the
//! contest for one lease.

use std::time::Duration;
use std::time::Instant;

use cassia_follow::Replica;
use cassia_ids::Fence;
use cassia_ids::Offset;

use crate::Contender;
use crate::LeaseOp;
use crate::LeaseRecord;
use crate::LeaseTable;
use crate::NextOp;
use crate::OpKind;

/// What to append or to wait for.
#[derive(Clone, Debug, PartialEq)]
pub enum NextRecord {
    /// Append this record.
    Append(LeaseRecord),
    /// Nothing before this moment.
    WaitUntil(Instant),
}

/// A lease that is held, with what is needed to use it safely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fencing number.
    pub fence: Fence,
    /// When the lease became ours.
    pub since: Instant,
    /// Until when it is ours.
    pub until: Instant,
    /// Whether nobody on another host can have acted on it lately; if not, the
    /// holder before may have acted until its time was over.
    pub quiesced: bool,
}

impl HeldLease {
    /// Says whether the holder may act on the lease: a holder before it that
    /// fell silent may have acted until its time was over, which was before
    /// this one's began.
    #[must_use]
    pub fn may_act(&self, now: Instant, quiet: Duration) -> bool {
        self.quiesced || now >= self.since + quiet
    }
}

/// A process that watches the lease stream and may contend for one lease.
#[derive(Debug)]
pub struct LeaseClient {
    follow: Replica<LeaseTable>,
    contender: Contender,
    /// Whether the stream was read up to its end once.
    synced: bool,
    since: Option<(Fence, Instant)>,
    /// Records after which the table is appended again.
    records_per_snapshot: u64,
    /// The least time between the acts of two holders.
    quiet: Quiet,
}

/// A fixed length of time, named apart from the moments that structs keep.
type Quiet = Duration;

impl LeaseClient {
    /// Sets a seat up that knows nothing of the stream yet.
    #[must_use]
    pub fn new(contender: Contender, records_per_snapshot: u64, quiet: Quiet) -> Self {
        let follow = Replica::default();
        Self { follow, contender, synced: false, since: None, records_per_snapshot, quiet }
    }

    /// Says whether an earlier process of this host holds the lease still, by
    /// the stream; this one may take it over at once.
    #[must_use]
    pub fn held_by_predecessor(&self) -> bool {
        self.synced && self.contender.held_by_predecessor(self.follow.state())
    }

    /// Lets seats of lower rank claim first.
    pub fn set_rank(&mut self, rank: u32) {
        self.contender.set_rank(rank);
    }

    /// Tells where to read on.
    #[must_use]
    pub fn next_read(&self) -> Offset {
        self.follow.next_read().offset()
    }

    /// Takes in what was read from an offset on. `first` is the oldest offset
    /// that the stream keeps, `end` the next to be given.
    pub fn apply_records(
        &mut self,
        first: Offset,
        from: Offset,
        records: &[Option<LeaseRecord>],
        end: Offset,
        now: Instant,
    ) {
        self.follow.set_bounds(first, end);
        for (offset, record) in (from..).zip(records) {
            self.follow.apply(first, offset, record.as_ref());
        }
        // A table that isn't caught up yet would show leases as free.
        self.synced = self.follow.has_applied(end);
        if self.synced {
            self.contender.observe(now, self.follow.state());
            self.note_since(now);
        }
    }

    /// Decides what to do next, if this process is to contend.
    pub fn step(&mut self, now: Instant) -> Option<NextRecord> {
        if !self.synced || self.follow.has_gap() {
            return None;
        }
        let holds = self.contender.fence(now).is_some();
        if holds && self.follow.snapshot_due(self.records_per_snapshot, false) {
            let table = self.follow.state().clone();
            return Some(NextRecord::Append(LeaseRecord::Snapshot { table }));
        }
        let may_act = self.held_lease(now).is_some_and(|holding| holding.may_act(now, self.quiet));
        Some(match self.contender.step(now, self.follow.state()) {
            NextOp::Append(mut act) => {
                act.quiesced = may_act && matches!(act.kind, OpKind::Renew { .. });
                NextRecord::Append(LeaseRecord::Op(act))
            }
            NextOp::WaitUntil(at) => NextRecord::WaitUntil(at),
        })
    }

    /// Tells whether records that this process lacks are gone for good: if
    /// nobody repeats the table, the leases must be begun anew.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.follow.has_gap()
    }

    /// Gives the lease, if it is ours at this moment.
    #[must_use]
    pub fn held_lease(&self, now: Instant) -> Option<HeldLease> {
        let (fence, until) = self.contender.held().filter(|(_, until)| now < *until)?;
        let (_, since) = self.since.filter(|(held, _)| *held == fence)?;
        let lease = self.follow.state().get(self.contender.resource());
        let quiesced = lease.is_some_and(|lease| lease.fence == fence && lease.quiesced);
        Some(HeldLease { fence, since, until, quiesced })
    }

    /// Lets the lease go; none if it isn't ours.
    ///
    /// The next holder relies on it that nobody acted on the lease for the
    /// least time between two holders. The caller answers for its own
    /// acts. If the holder before it fell silent less than that ago, the lease
    /// is left to lapse.
    pub fn release(&mut self, now: Instant) -> Option<LeaseOp> {
        let (holding, quiet) = (self.held_lease(now), self.quiet);
        self.since = None;
        let act = self.contender.release(now)?;
        holding.filter(|holding| holding.may_act(now, quiet)).map(|_| act)
    }

    fn note_since(&mut self, now: Instant) {
        let fence = self.contender.fence(now);
        if fence != self.since.map(|(fence, _)| fence) {
            self.since = fence.map(|fence| (fence, now));
        }
    }
}
