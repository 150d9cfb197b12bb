//! The minter's memory of the tickets that were used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::BootId;

use crate::Outcome;
use crate::TargetResponse;
use crate::Ticket;

/// How long a ticket may start its request.
const LIFETIME: Duration = Duration::from_mins(2);
/// How long after its minting what became of a ticket is remembered.
const MEMORY: Duration = Duration::from_mins(4);

/// How much a desk remembers at most.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Tickets that were used.
    pub tickets: usize,
    /// Bytes of their answers in all.
    pub answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { tickets: 100_000, answer_bytes: 64 << 20 }
    }
}

/// What showing a ticket leads to.
#[derive(Clone, Debug, PartialEq)]
pub enum Redeemed {
    /// Run the request now; report its end under this number.
    Run(u64),
    /// The request is running: wait for the end of this number.
    Running(u64),
    /// The request ran, and this was its answer.
    Answered(Arc<TargetResponse>),
    /// The request may have run; it will not be run again.
    Unknown,
    /// The request did not run, and the ticket is too old to start it.
    Expired,
    /// The ticket names another process: forward it there.
    OtherProcess(SocketAddr),
    /// The process that minted it at our address is gone.
    MinterGone,
    /// The ticket is not one of ours for this customer and route.
    Invalid,
    /// Too much is remembered already: the request did not run, come back.
    Full,
}

/// Mints tickets and remembers what became of them.
#[derive(Debug)]
pub struct TicketStore {
    minter: SocketAddr,
    boot: BootId,
    secret: [u8; 32],
    started: Instant,
    limits: Limits,
    next_seq: u64,
    used: BTreeMap<u64, Used>,
    answer_bytes: usize,
}

#[derive(Debug)]
struct Used {
    forget_at: Instant,
    state: State,
}

#[derive(Debug)]
enum State {
    Running,
    Answered(Arc<TargetResponse>),
    Unknown,
}

impl TicketStore {
    /// Sets a desk up for this run of this process.
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
            answer_bytes: 0,
        }
    }

    /// Replaces the limits on what is remembered.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Counts the used tickets that are remembered.
    #[must_use]
    pub fn used_tickets(&self) -> usize {
        self.used.len()
    }

    /// Mints a ticket. Nothing is kept until it is used.
    pub fn mint(&mut self, customer: &str, route: &str, now: Instant) -> Ticket {
        let seq = self.next_seq;
        self.next_seq += 1;
        let since = now.duration_since(self.started).as_millis();
        let minted_ms = u64::try_from(since).unwrap_or(u64::MAX);
        let mut ticket =
            Ticket { minter: self.minter, boot: self.boot, seq, minted_ms, mac: [0; 16] };
        ticket.seal(&self.secret, customer, route);
        ticket
    }

    /// Decides what showing a ticket leads to.
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
        if !ticket.is_sealed(&self.secret, customer, route) {
            return Redeemed::Invalid;
        }
        self.forget(now);
        let minted = self.started + Duration::from_millis(ticket.minted_ms);
        match self.used.get(&ticket.seq) {
            Some(used) => used.state.redeemed(ticket.seq),
            // Past `MEMORY` the entry may have been forgotten.
            None if now >= minted + MEMORY => Redeemed::Unknown,
            None if now >= minted + LIFETIME => Redeemed::Expired,
            None if self.is_full() => Redeemed::Full,
            None => {
                let used = Used { forget_at: minted + MEMORY, state: State::Running };
                self.used.insert(ticket.seq, used);
                Redeemed::Run(ticket.seq)
            }
        }
    }

    /// Takes in how a started request ended.
    pub fn record_outcome(&mut self, seq: u64, outcome: &Outcome) {
        let Some(used) = self.used.get_mut(&seq) else {
            return;
        };
        match outcome {
            Outcome::Answered(answer) => {
                self.answer_bytes += answer.body.len();
                used.state = State::Answered(Arc::clone(answer));
            }
            Outcome::Unknown => used.state = State::Unknown,
            // It did not run, so the same ticket may start it again.
            Outcome::NotRun => {
                self.used.remove(&seq);
            }
        }
    }

    fn is_full(&self) -> bool {
        self.used.len() >= self.limits.tickets || self.answer_bytes >= self.limits.answer_bytes
    }

    /// Drops what is past its time. Tickets are numbered as they are minted,
    /// so the oldest come first and the scan ends at the first one to keep.
    fn forget(&mut self, now: Instant) {
        while let Some(entry) = self.used.first_entry() {
            let running = matches!(entry.get().state, State::Running);
            if running || now < entry.get().forget_at {
                return;
            }
            if let State::Answered(answer) = entry.remove().state {
                self.answer_bytes -= answer.body.len();
            }
        }
    }
}

impl State {
    fn redeemed(&self, seq: u64) -> Redeemed {
        match self {
            Self::Running => Redeemed::Running(seq),
            Self::Answered(answer) => Redeemed::Answered(Arc::clone(answer)),
            Self::Unknown => Redeemed::Unknown,
        }
    }
}
