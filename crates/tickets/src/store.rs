//! The minter's record of the tickets that were used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::BootId;

use crate::Outcome;
use crate::TargetResponse;
use crate::Ticket;

/// How long after minting a ticket can start its request.
const START_WINDOW: Duration = Duration::from_mins(2);
/// How long after minting the state of a used ticket is kept.
const RETENTION: Duration = Duration::from_mins(4);

/// Limits on what a [`TicketStore`] keeps.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of used tickets.
    pub tickets: usize,
    /// Total size of their stored responses, in bytes.
    pub response_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { tickets: 100_000, response_bytes: 64 << 20 }
    }
}

/// The result of redeeming a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Redeemed {
    /// The caller must run the request now and record its outcome under this
    /// sequence number.
    Run(u64),
    /// The request with this sequence number is running: wait for its end.
    Running(u64),
    /// The request ran and returned this response.
    Answered(Arc<TargetResponse>),
    /// The request may have run; it will not run again.
    Unknown,
    /// The request did not run, and the ticket is too old to start it.
    Expired,
    /// The ticket was minted at this other address: forward the request there.
    OtherProcess(SocketAddr),
    /// The ticket was minted by an earlier process at this address.
    MinterGone,
    /// The ticket's MAC does not match this customer and route.
    Invalid,
    /// The store has reached its limits: the request did not run and can be
    /// retried later.
    Full,
}

/// Mints tickets and keeps the state of those that were used.
#[derive(Debug)]
pub struct TicketStore {
    minter: SocketAddr,
    boot: BootId,
    secret: [u8; 32],
    started: Instant,
    limits: Limits,
    next_seq: u64,
    used: BTreeMap<u64, Used>,
    response_bytes: usize,
}

#[derive(Debug)]
struct Used {
    remove_at: Instant,
    state: State,
}

#[derive(Debug)]
enum State {
    Running,
    Answered(Arc<TargetResponse>),
    Unknown,
}

impl TicketStore {
    /// Creates the store of the process with this address and boot id.
    #[must_use]
    pub fn new(minter: SocketAddr, boot: BootId, secret: [u8; 32], now: Instant) -> Self {
        Self {
            minter,
            boot,
            secret,
            started: now,
            limits: Limits::default(),
            next_seq: 0,
            used: BTreeMap::new(),
            response_bytes: 0,
        }
    }

    /// Replaces the default limits.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the number of used tickets in the store.
    #[must_use]
    pub fn used_tickets(&self) -> usize {
        self.used.len()
    }

    /// Mints a ticket. Nothing is stored until it is redeemed.
    pub fn mint(&mut self, customer: &str, route: &str, now: Instant) -> Ticket {
        let seq = self.next_seq;
        self.next_seq += 1;
        let elapsed = now.duration_since(self.started).as_millis();
        let minted_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let mut ticket =
            Ticket { minter: self.minter, boot: self.boot, seq, minted_ms, mac: [0; 16] };
        ticket.sign(&self.secret, customer, route);
        ticket
    }

    /// Redeems a ticket for a request of this customer and route.
    pub fn redeem(
        &mut self,
        ticket: &Ticket,
        customer: &str,
        route: &str,
        now: Instant,
    ) -> Redeemed {
        if ticket.minter != self.minter {
            return Redeemed::OtherProcess(ticket.minter);
        }
        if ticket.boot != self.boot {
            return Redeemed::MinterGone;
        }
        if !ticket.verify(&self.secret, customer, route) {
            return Redeemed::Invalid;
        }
        self.remove_expired(now);
        let minted = self.started + Duration::from_millis(ticket.minted_ms);
        match self.used.get(&ticket.seq) {
            Some(used) => used.state.to_redeemed(ticket.seq),
            // After `RETENTION` the entry may have been removed.
            None if now >= minted + RETENTION => Redeemed::Unknown,
            None if now >= minted + START_WINDOW => Redeemed::Expired,
            None if self.is_full() => Redeemed::Full,
            None => {
                let used = Used { remove_at: minted + RETENTION, state: State::Running };
                self.used.insert(ticket.seq, used);
                Redeemed::Run(ticket.seq)
            }
        }
    }

    /// Records how a started request ended.
    pub fn record_outcome(&mut self, seq: u64, outcome: &Outcome) {
        let Some(used) = self.used.get_mut(&seq) else {
            return;
        };
        match outcome {
            Outcome::Answered(response) => {
                self.response_bytes += response.body.len();
                used.state = State::Answered(Arc::clone(response));
            }
            Outcome::Unknown => used.state = State::Unknown,
            // The request did not run, so the same ticket may start it again.
            Outcome::NotRun => {
                self.used.remove(&seq);
            }
        }
    }

    fn is_full(&self) -> bool {
        self.used.len() >= self.limits.tickets || self.response_bytes >= self.limits.response_bytes
    }

    /// Removes expired entries. Tickets are numbered as they are minted, so
    /// the oldest come first and the scan ends at the first entry to keep.
    fn remove_expired(&mut self, now: Instant) {
        while let Some(entry) = self.used.first_entry() {
            let running = matches!(entry.get().state, State::Running);
            if running || now < entry.get().remove_at {
                return;
            }
            if let State::Answered(response) = entry.remove().state {
                self.response_bytes -= response.body.len();
            }
        }
    }
}

impl State {
    fn to_redeemed(&self, seq: u64) -> Redeemed {
        match self {
            Self::Running => Redeemed::Running(seq),
            Self::Answered(response) => Redeemed::Answered(Arc::clone(response)),
            Self::Unknown => Redeemed::Unknown,
        }
    }
}
