//! One process's part in the contest for one lease.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::BootId;
use cassia_ids::Fence;
use cassia_ids::HostId;
use cassia_ids::Offset;
use smol_str::SmolStr;

use crate::LeaseOp;
use crate::LeaseTable;
use crate::OpKind;

/// A holder renews once a third of the term is gone, so that two renewals may
/// be lost before it lapses.
const RENEWALS_PER_TERM: u32 = 3;
/// Contenders of neighbouring ranks claim this part of a term apart: time
/// enough for a claim to be seen.
const CLAIMS_PER_TERM: u32 = 6;
/// Acts whose fate is unknown and whose send time is still kept.
const MAX_PENDING: usize = 16;

/// What a contender should do now.
#[derive(Clone, Debug, PartialEq)]
pub enum NextOp {
    /// Append this act; call `step` again when its record has been folded.
    Append(LeaseOp),
    /// Nothing before this moment.
    WaitUntil(Instant),
}

/// A process that wants to hold one lease.
#[derive(Debug)]
pub struct Contender {
    resource: SmolStr,
    me: HostId,
    boot: BootId,
    /// The length of a term; all contenders of a lease use the same.
    term: Term,
    next_nonce: u64,
    /// When each of our acts was sent, by nonce.
    sent: BTreeMap<u64, Instant>,
    /// The newest record of the lease that we saw, and when we first did.
    seen: Seen,
    /// Until when we hold the lease, by our own clock.
    held: Option<Held>,
    /// How much later than it might this contender claims; see `set_rank`.
    stagger: Term,
    /// Not before this moment is another act worth sending.
    quiet_until: Instant,
    /// Whether no two processes of one host ever run at once.
    sole_on_host: bool,
}

/// A fixed length of time, named apart from the moments that structs keep.
type Term = Duration;

#[derive(Clone, Copy, Debug)]
struct Seen {
    last: Option<Offset>,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: Fence,
    until: Instant,
}

impl Contender {
    /// Sets a contender up; `now` is when it began to watch the stream.
    #[must_use]
    pub fn new(resource: SmolStr, me: HostId, boot: BootId, term: Term, now: Instant) -> Self {
        Self {
            resource,
            me,
            boot,
            term,
            next_nonce: 0,
            sent: BTreeMap::new(),
            seen: Seen { last: None, at: now },
            held: None,
            stagger: Term::ZERO,
            quiet_until: now,
            sole_on_host: false,
        }
    }

    /// Lets this process take over at once from an earlier one of its host,
    /// which has ended for sure: two of them can't have one address.
    #[must_use]
    pub fn sole_on_host(mut self) -> Self {
        self.sole_on_host = true;
        self
    }

    /// Says whether an earlier process of this host holds the lease.
    #[must_use]
    pub fn held_by_predecessor(&self, table: &LeaseTable) -> bool {
        let lease = table.get(&self.resource);
        self.sole_on_host
            && lease.is_some_and(|l| l.holder == self.me && l.boot != self.boot && !l.released)
    }

    /// Names the lease.
    #[must_use]
    pub fn resource(&self) -> &str {
        &self.resource
    }

    /// Lets those of lower rank claim first, so that several leases spread over
    /// the processes. A later claim is never less safe.
    pub fn set_rank(&mut self, rank: u32) {
        self.stagger = (self.term / CLAIMS_PER_TERM).saturating_mul(rank).min(self.term);
    }

    /// Gives the fencing number, if the lease is ours at this moment.
    ///
    /// The answer is only good for writes that begin now. A pause may still
    /// fall between this check and the write; only a target that checks the
    /// number is safe from that.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        self.held.filter(|held| now < held.until).map(|held| held.fence)
    }

    /// Gives the fencing number and until when it is ours.
    #[must_use]
    pub fn held(&self) -> Option<(Fence, Instant)> {
        self.held.map(|held| (held.fence, held.until))
    }

    /// Decides what to do, given the table as folded so far.
    pub fn step(&mut self, now: Instant, table: &LeaseTable) -> NextOp {
        self.note_lease(now, table);
        if now < self.quiet_until {
            return NextOp::WaitUntil(self.quiet_until);
        }
        match (self.fence(now), table.get(&self.resource)) {
            (Some(fence), _) => self.renew_when_due(now, fence),
            (None, Some(lease)) if lease.boot == self.boot && !lease.released => {
                // Lapsed by our own clock, and yet nobody took it: renewing is
                // as good as claiming, and the fence stays.
                let fence = lease.fence;
                self.append(now, OpKind::Renew { fence })
            }
            (None, current) => {
                let free =
                    current.is_some_and(|lease| lease.released) || self.held_by_predecessor(table);
                let supersedes = current.map(|lease| lease.last);
                self.claim_when_due(now, free, supersedes)
            }
        }
    }

    /// Lets the lease go, before a planned stop; none if it isn't ours.
    pub fn release(&mut self, now: Instant) -> Option<LeaseOp> {
        let fence = self.fence(now)?;
        self.held = None;
        match self.append(now, OpKind::Release { fence }) {
            NextOp::Append(act) => Some(act),
            NextOp::WaitUntil(_) => None,
        }
    }

    /// Takes the table in without contending.
    pub fn observe(&mut self, now: Instant, table: &LeaseTable) {
        self.note_lease(now, table);
    }

    fn note_lease(&mut self, now: Instant, table: &LeaseTable) {
        let Some(lease) = table.get(&self.resource) else {
            // After a reset a holder may still count on its term: a whole one
            // passes before anyone claims.
            if self.seen.last.is_some() {
                self.seen = Seen { last: None, at: now };
                self.held = None;
            }
            return;
        };
        if self.seen.last == Some(lease.last) {
            return;
        }
        self.seen = Seen { last: Some(lease.last), at: now };
        if lease.boot != self.boot || lease.released {
            self.held = None;
            return;
        }
        // Counted from before the act was sent, not from its answer: the
        // challengers' terms begin later, whenever they see the record.
        if let Some(sent) = self.sent.remove(&lease.nonce) {
            self.held = Some(Held { fence: lease.fence, until: sent + self.term });
            self.quiet_until = now;
        }
        self.sent.retain(|&nonce, _| nonce > lease.nonce);
    }

    fn renew_when_due(&mut self, now: Instant, fence: Fence) -> NextOp {
        let until = self.held.map_or(now, |held| held.until);
        let due = until.checked_sub(self.term / RENEWALS_PER_TERM * 2).unwrap_or(now);
        if now < due {
            return NextOp::WaitUntil(due);
        }
        self.append(now, OpKind::Renew { fence })
    }

    fn claim_when_due(&mut self, now: Instant, free: bool, supersedes: Option<Offset>) -> NextOp {
        let term = if free { Term::ZERO } else { self.term };
        let due = self.seen.at + term + self.stagger;
        if now < due {
            return NextOp::WaitUntil(due);
        }
        self.append(now, OpKind::Claim { supersedes })
    }

    fn append(&mut self, now: Instant, kind: OpKind) -> NextOp {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.sent.insert(nonce, now);
        while self.sent.len() > MAX_PENDING {
            self.sent.pop_first();
        }
        self.quiet_until = now + self.term / RENEWALS_PER_TERM;
        NextOp::Append(LeaseOp {
            resource: self.resource.clone(),
            holder: self.me.clone(),
            boot: self.boot,
            nonce,
            kind,
            quiesced: false,
        })
    }
}
