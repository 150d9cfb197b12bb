//! A process that contends for one lease.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::BootId;
use cassia_ids::Fence;
use cassia_ids::HostId;
use cassia_ids::Offset;
use smol_str::SmolStr;

use crate::Lease;
use crate::LeaseOp;
use crate::LeaseTable;
use crate::OpKind;

/// A holder renews after a third of the term, so that two renewals can be lost
/// before the lease expires.
const RENEWALS_PER_TERM: u32 = 3;
/// Contenders of neighbouring ranks claim a sixth of a term apart, which
/// leaves time for a claim to be seen.
const CLAIMS_PER_TERM: u32 = 6;
/// How long a lease that was handed over is left to the next process of the same
/// host, in percent of a term.
const RESTART_GRACE_PERCENT: u32 = 80;
/// Number of operations with unknown outcome whose send time is kept.
const MAX_PENDING_OPS: usize = 16;

/// What a contender does next.
#[derive(Clone, Debug, PartialEq)]
pub enum NextOp {
    /// Append this operation, and call `step` again once its record has been
    /// applied to the table.
    Append(LeaseOp),
    /// Do nothing before this time.
    WaitUntil(Instant),
}

/// A process that wants to hold one lease.
#[derive(Debug)]
pub struct Contender {
    resource: SmolStr,
    host: HostId,
    boot: BootId,
    /// Duration of a term, the same for all contenders of a lease.
    term: Term,
    next_nonce: u64,
    /// Own operations whose outcome is not known yet, by nonce.
    sent: BTreeMap<u64, SentOp>,
    /// The newest record of the lease that was seen, and when.
    seen: Seen,
    /// The lease as held by this process, by its own clock.
    held: Option<Held>,
    /// Delay before a claim, given by the rank.
    stagger: Term,
    /// No further operation is sent before this time.
    next_op_at: Instant,
    /// Whether no two processes of this host run at the same time.
    sole_on_host: bool,
    /// The fencing token of the lease that this process gave up last. The record that says
    /// so may take effect at any later time.
    given_up: Option<Fence>,
}

/// A fixed duration; points in time are `Instant`s.
type Term = Duration;

#[derive(Clone, Copy, Debug)]
struct Seen {
    last: Option<Offset>,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct SentOp {
    /// When it was sent.
    at: Instant,
    /// When the newest record at that time was seen.
    seen_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: Fence,
    until: Instant,
    /// When this process saw the record that its claim supersedes.
    superseded_at: Instant,
}

impl Contender {
    /// Creates a contender that starts to observe the stream at `now`.
    #[must_use]
    pub fn new(resource: SmolStr, host: HostId, boot: BootId, term: Term, now: Instant) -> Self {
        Self {
            resource,
            host,
            boot,
            term,
            next_nonce: 0,
            sent: BTreeMap::new(),
            seen: Seen { last: None, at: now },
            held: None,
            stagger: Term::ZERO,
            next_op_at: now,
            sole_on_host: false,
            given_up: None,
        }
    }

    /// Allows this process to take over immediately from an earlier process of
    /// its host. That process must have ended: two can't share one address.
    #[must_use]
    pub fn sole_on_host(mut self) -> Self {
        self.sole_on_host = true;
        self
    }

    /// Returns whether an earlier process of this host holds the lease.
    #[must_use]
    pub fn held_by_predecessor(&self, table: &LeaseTable) -> bool {
        let lease = table.get(&self.resource);
        self.sole_on_host
            && lease.is_some_and(|l| l.holder == self.host && l.boot != self.boot && !l.released)
    }

    /// Returns the name of the lease.
    #[must_use]
    pub fn resource(&self) -> &str {
        &self.resource
    }

    /// Sets the rank. Contenders of lower rank claim first, which spreads
    /// several leases over the processes. Claiming later is always safe.
    pub fn set_rank(&mut self, rank: u32) {
        self.stagger = (self.term / CLAIMS_PER_TERM).saturating_mul(rank).min(self.term);
    }

    /// Returns the fencing token if this process holds the lease now.
    ///
    /// The result is valid only for writes that start now. The process may
    /// still be paused between this check and the write; only a target that
    /// checks the token is protected against that.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        self.held.filter(|held| now < held.until).map(|held| held.fence)
    }

    /// Returns the fencing token and the expiry time of the held lease.
    #[must_use]
    pub fn held(&self) -> Option<(Fence, Instant)> {
        self.held.map(|held| (held.fence, held.until))
    }

    /// Decides what to do next, given the current table.
    pub fn step(&mut self, now: Instant, table: &LeaseTable) -> NextOp {
        self.note_lease(now, table);
        if now < self.next_op_at {
            return NextOp::WaitUntil(self.next_op_at);
        }
        match (self.fence(now), table.get(&self.resource)) {
            (Some(fence), _) => self.renew_if_due(now, fence),
            (None, Some(lease)) if self.is_own(lease) && self.given_up == Some(lease.fence) => {
                // With a fencing token of its own it is not concerned by the record that
                // gives the old one up.
                self.claim_if_due(now, Term::ZERO, Some(lease.last))
            }
            (None, Some(lease)) if self.is_own(lease) => {
                // Expired by the local clock, but nobody claimed it: renewing
                // is as good as claiming and keeps the fencing token.
                let fence = lease.fence;
                self.append(now, OpKind::Renew { fence })
            }
            (None, current) => {
                let supersedes = current.map(|lease| lease.last);
                self.claim_if_due(now, self.claim_delay(table), supersedes)
            }
        }
    }

    /// Returns whether this process is the listed holder.
    fn is_own(&self, lease: &Lease) -> bool {
        lease.boot == self.boot && lease.is_held()
    }

    /// Releases the lease before a planned stop; returns `None` if it is not
    /// held.
    pub fn release(&mut self, now: Instant) -> Option<LeaseOp> {
        let fence = self.fence(now)?;
        self.held = None;
        self.given_up = Some(fence);
        match self.append(now, OpKind::Release { fence }) {
            NextOp::Append(op) => Some(op),
            NextOp::WaitUntil(_) => None,
        }
    }

    /// Hands the lease over before a planned stop; returns `None` if it is not
    /// held. Processes of other hosts must wait for `wait_ms` before they act.
    pub fn hand_over(&mut self, now: Instant, wait_ms: u64) -> Option<LeaseOp> {
        let fence = self.fence(now)?;
        self.held = None;
        self.given_up = Some(fence);
        match self.append(now, OpKind::Renew { fence }) {
            NextOp::Append(op) => Some(LeaseOp { wait_ms: Some(wait_ms), ..op }),
            NextOp::WaitUntil(_) => None,
        }
    }

    /// Returns when this process saw the record that its claim of the held lease
    /// superseded.
    #[must_use]
    pub fn superseded_at(&self) -> Option<Instant> {
        self.held.map(|held| held.superseded_at)
    }

    /// Updates the state from the table without contending.
    pub fn observe(&mut self, now: Instant, table: &LeaseTable) {
        self.note_lease(now, table);
    }

    fn note_lease(&mut self, now: Instant, table: &LeaseTable) {
        let Some(lease) = table.get(&self.resource) else {
            // After a reset a holder may still rely on its term, so a full
            // term must pass before anyone claims.
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
        // A renewal that was sent before may be seen after the lease was given up.
        if !self.is_own(lease) || self.given_up == Some(lease.fence) {
            self.held = None;
            return;
        }
        // The term is measured from before the operation was sent, not from
        // its response. Challengers measure it from when they see the record,
        // which is later.
        if let Some(sent) = self.sent.remove(&lease.nonce) {
            let before = self.held.filter(|held| held.fence == lease.fence);
            let superseded_at = before.map_or(sent.seen_at, |held| held.superseded_at);
            self.held =
                Some(Held { fence: lease.fence, until: sent.at + self.term, superseded_at });
            self.next_op_at = now;
        }
        self.sent.retain(|&nonce, _| nonce > lease.nonce);
    }

    fn renew_if_due(&mut self, now: Instant, fence: Fence) -> NextOp {
        let until = self.held.map_or(now, |held| held.until);
        let due = until.checked_sub(self.term / RENEWALS_PER_TERM * 2).unwrap_or(now);
        if now < due {
            return NextOp::WaitUntil(due);
        }
        self.append(now, OpKind::Renew { fence })
    }

    /// Returns how long after the last record of the lease this process may
    /// claim it, apart from its rank.
    fn claim_delay(&self, table: &LeaseTable) -> Term {
        let lease = table.get(&self.resource);
        if lease.is_some_and(|lease| lease.released) || self.held_by_predecessor(table) {
            Term::ZERO
        } else if lease.is_some_and(|lease| lease.handed_over) {
            // The next process of that host may act at once, this one may not.
            self.term * RESTART_GRACE_PERCENT / 100
        } else {
            self.term
        }
    }

    fn claim_if_due(&mut self, now: Instant, delay: Term, supersedes: Option<Offset>) -> NextOp {
        let due = self.seen.at + delay + self.stagger;
        if now < due {
            return NextOp::WaitUntil(due);
        }
        self.append(now, OpKind::Claim { supersedes })
    }

    fn append(&mut self, now: Instant, kind: OpKind) -> NextOp {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.sent.insert(nonce, SentOp { at: now, seen_at: self.seen.at });
        while self.sent.len() > MAX_PENDING_OPS {
            self.sent.pop_first();
        }
        self.next_op_at = now + self.term / RENEWALS_PER_TERM;
        NextOp::Append(LeaseOp {
            resource: self.resource.clone(),
            holder: self.host.clone(),
            boot: self.boot,
            nonce,
            kind,
            quiesced: false,
            wait_ms: None,
        })
    }
}
