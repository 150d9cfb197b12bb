//! When the configuration is read for requests whose key this host does not know.

use std::time::Duration;
use std::time::Instant;

/// How long a request waits for the read that confirms or refutes its key.
pub const KEY_WAIT: Duration = Duration::from_millis(700);
/// The least time from the beginning of one read to that of the next. It bounds what
/// unknown keys cost the store, however many there are.
pub const KEY_READ_INTERVAL: Duration = Duration::from_millis(100);
/// How long a read may take: so short that a request that comes during one that fails
/// still has the time for the next.
pub const KEY_READ_TIMEOUT: Duration = Duration::from_millis(290);
/// Number of requests that may wait at once. Unknown keys cost no more memory than that.
pub const MAX_KEY_WAITERS: usize = 256;

/// The reads of the configuration that requests with unknown keys wait for.
///
/// A request needs a read that began after it came, since the key may have been added
/// just before. One read serves all requests that came before it began, and only one
/// runs at a time.
#[derive(Clone, Debug, Default)]
pub struct KeyReads {
    /// Number of reads that have begun.
    begun: u64,
    /// Number of reads that have ended.
    ended: u64,
    /// Number of the last read that succeeded; 0 for none.
    succeeded: u64,
    /// Number of the last read that a request needs.
    wanted: u64,
    /// The earliest time of the next read.
    next_at: Option<Instant>,
    /// Number of requests that wait.
    waiting: usize,
}

/// A request that waits for a read. It must be handed back to [`KeyReads::leave`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyWaiter {
    /// Number of the first read that begins after the request came.
    needs: u64,
    /// When the request is answered without a read.
    pub deadline: Instant,
}

/// What a waiting request has learnt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyReadState {
    /// No read that it needs has ended.
    Pending,
    /// Such a read has succeeded: what it did not show does not exist.
    Confirmed,
    /// Such a read has failed, or there was none in time.
    Unconfirmed,
}

/// What the reader of the configuration does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextKeyRead {
    /// Nobody waits for a read that has not begun.
    Idle,
    /// A read is due from this time on.
    At(Instant),
}

impl KeyReads {
    /// Lets a request that came now wait for a read; `None` if too many wait.
    pub fn wait(&mut self, now: Instant) -> Option<KeyWaiter> {
        if self.waiting >= MAX_KEY_WAITERS {
            return None;
        }
        self.waiting += 1;
        let needs = self.begun + 1;
        self.wanted = needs;
        Some(KeyWaiter { needs, deadline: now + KEY_WAIT })
    }

    /// Returns what a waiting request has learnt.
    #[must_use]
    pub fn state(&self, waiter: &KeyWaiter, now: Instant) -> KeyReadState {
        if self.succeeded >= waiter.needs {
            return KeyReadState::Confirmed;
        }
        if self.ended >= waiter.needs || now >= waiter.deadline {
            return KeyReadState::Unconfirmed;
        }
        KeyReadState::Pending
    }

    /// Ends the wait of a request, whether it was answered or its caller has left.
    pub fn leave(&mut self, _: KeyWaiter) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            self.wanted = self.begun;
        }
    }

    /// Returns when the next read is due, to be asked while none runs.
    #[must_use]
    pub fn next(&self, now: Instant) -> NextKeyRead {
        if self.wanted <= self.begun {
            return NextKeyRead::Idle;
        }
        NextKeyRead::At(self.next_at.map_or(now, |at| at.max(now)))
    }

    /// Records that a read begins.
    pub fn begin(&mut self, now: Instant) {
        self.begun += 1;
        self.next_at = Some(now + KEY_READ_INTERVAL);
    }

    /// Records that the read that began last has ended.
    pub fn end(&mut self, succeeded: bool) {
        self.ended = self.begun;
        if succeeded {
            self.succeeded = self.begun;
        }
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }
}
