//! One process's view of the lease stream, together with its part in the
//! contest for one lease.

use std::time::Duration;
use std::time::Instant;

use cassia_follow::Follow;
use cassia_ids::Fence;
use cassia_ids::Offset;

use crate::Act;
use crate::Contender;
use crate::LeaseRecord;
use crate::LeaseTable;
use crate::Todo;
use crate::Verb;

/// What to append or to wait for.
#[derive(Clone, Debug, PartialEq)]
pub enum Move {
    /// Append this record.
    Append(LeaseRecord),
    /// Nothing before this moment.
    WaitUntil(Instant),
}

/// A lease that is held, with what is needed to use it safely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holding {
    /// The fencing number.
    pub fence: Fence,
    /// When the lease became ours.
    pub since: Instant,
    /// Until when it is ours.
    pub until: Instant,
    /// Whether nobody on another host can have acted on it lately; if not, the
    /// holder before may have acted until its time was over.
    pub clear: bool,
}

impl Holding {
    /// Says whether the holder may act on the lease: a holder before it that
    /// fell silent may have acted until its time was over, which was before
    /// this one's began.
    #[must_use]
    pub fn may_act(&self, now: Instant, quiet: Duration) -> bool {
        self.clear || now >= self.since + quiet
    }
}

/// A process that watches the lease stream and may contend for one lease.
#[derive(Debug)]
pub struct Seat {
    follow: Follow<LeaseTable>,
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

impl Seat {
    /// Sets a seat up that knows nothing of the stream yet.
    #[must_use]
    pub fn new(contender: Contender, records_per_snapshot: u64, quiet: Quiet) -> Self {
        let follow = Follow::default();
        Self { follow, contender, synced: false, since: None, records_per_snapshot, quiet }
    }

    /// Says whether an earlier process of this host holds the lease still, by
    /// the stream; this one may take it over at once.
    #[must_use]
    pub fn is_own_before(&self) -> bool {
        self.synced && self.contender.is_own_before(self.follow.state())
    }

    /// Lets seats of lower rank claim first.
    pub fn prefer(&mut self, rank: u32) {
        self.contender.prefer(rank);
    }

    /// Tells where to read on.
    #[must_use]
    pub fn next_read(&self) -> Offset {
        self.follow.next_read().offset()
    }

    /// Takes in what was read from an offset on. `first` is the oldest offset
    /// that the stream keeps, `end` the next to be given.
    pub fn take(
        &mut self,
        first: Offset,
        from: Offset,
        records: &[Option<LeaseRecord>],
        end: Offset,
        now: Instant,
    ) {
        self.follow.bounds(first, end);
        for (offset, record) in (from..).zip(records) {
            self.follow.take(first, offset, record.as_ref());
        }
        // A table that isn't caught up yet would show leases as free.
        self.synced = self.follow.state_is_at(end);
        if self.synced {
            self.contender.watch(now, self.follow.state());
            self.note_since(now);
        }
    }

    /// Decides what to do next, if this process is to contend.
    pub fn step(&mut self, now: Instant) -> Option<Move> {
        if !self.synced || self.follow.is_stranded() {
            return None;
        }
        let holds = self.contender.fence(now).is_some();
        if holds && self.follow.wants_snapshot(self.records_per_snapshot, false) {
            let table = self.follow.state().clone();
            return Some(Move::Append(LeaseRecord::Snapshot { table }));
        }
        let may_act = self.holding(now).is_some_and(|holding| holding.may_act(now, self.quiet));
        Some(match self.contender.step(now, self.follow.state()) {
            Todo::Append(mut act) => {
                act.clear = may_act && matches!(act.verb, Verb::Renew { .. });
                Move::Append(LeaseRecord::Act(act))
            }
            Todo::WaitUntil(at) => Move::WaitUntil(at),
        })
    }

    /// Tells whether records that this process lacks are gone for good: if
    /// nobody repeats the table, the leases must be begun anew.
    #[must_use]
    pub fn is_stranded(&self) -> bool {
        self.follow.is_stranded()
    }

    /// Gives the lease, if it is ours at this moment.
    #[must_use]
    pub fn holding(&self, now: Instant) -> Option<Holding> {
        let (fence, until) = self.contender.held().filter(|(_, until)| now < *until)?;
        let (_, since) = self.since.filter(|(held, _)| *held == fence)?;
        let lease = self.follow.state().get(self.contender.resource());
        let clear = lease.is_some_and(|lease| lease.fence == fence && lease.clear);
        Some(Holding { fence, since, until, clear })
    }

    /// Lets the lease go; none if it isn't ours.
    ///
    /// The next holder relies on it that nobody acted on the lease for the
    /// least time between two holders. The caller answers for its own
    /// acts. If the holder before it fell silent less than that ago, the lease
    /// is left to lapse.
    pub fn release(&mut self, now: Instant) -> Option<Act> {
        let (holding, quiet) = (self.holding(now), self.quiet);
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
