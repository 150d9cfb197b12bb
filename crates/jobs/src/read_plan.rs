//! How a process reads a partition up to its end.
//!
//! All hosts may be asked about jobs at once, as after a restart of all of
//! them, and share the store's bandwidth. So a reader starts from the newest
//! snapshot unless it was at the end a moment ago, and a read that times out
//! is followed by a smaller and more patient one: what a host has read is kept,
//! and each of its reads brings it closer to the end.

use std::time::Duration;
use std::time::Instant;

/// Maximum size of one read, in kilobytes; it bounds the memory that a read
/// needs.
pub const MAX_PAGE_KB: u32 = 256;
/// Minimum size of one read, in kilobytes.
const MIN_PAGE_KB: u32 = 16;
/// Time since the end was reached after which a reader starts from the newest
/// snapshot.
const SNAPSHOT_AGE: Duration = Duration::from_secs(3);
/// Timeout of a read after none failed.
const FIRST_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum timeout of a read.
const MAX_TIMEOUT: Duration = Duration::from_secs(4);

/// The next read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRead {
    /// Read the newest snapshot.
    Snapshot,
    /// Read records from the next offset on.
    Records {
        /// Maximum size, in kilobytes.
        max_kb: u32,
    },
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// The snapshot was read, or there is none.
    SnapshotRead,
    /// Records were read.
    RecordsRead {
        /// Whether the partition was read up to its end.
        at_end: bool,
    },
    /// The response did not come in time.
    TimedOut,
    /// The store refused the call, or could not be reached.
    Refused,
}

/// Plans the reads of one partition by one process.
#[derive(Clone, Debug)]
pub struct ReadPlan {
    page_kb: u32,
    /// Number of reads that timed out since the end was last reached.
    timeouts: u32,
    /// Until when the table is recent enough to go on from; `None` if the
    /// newest snapshot comes first.
    recent_until: Option<Instant>,
}

impl Default for ReadPlan {
    fn default() -> Self {
        Self { page_kb: MAX_PAGE_KB, timeouts: 0, recent_until: None }
    }
}

impl ReadPlan {
    /// Returns the next read.
    #[must_use]
    pub fn next(&self, now: Instant) -> NextRead {
        match self.recent_until {
            Some(until) if now < until => NextRead::Records { max_kb: self.page_kb },
            _ => NextRead::Snapshot,
        }
    }

    /// Returns the maximum size of the next read of records, in kilobytes.
    #[must_use]
    pub fn page_kb(&self) -> u32 {
        self.page_kb
    }

    /// Returns how long the next read may take.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        FIRST_TIMEOUT.saturating_mul(1 << self.timeouts.min(u32::BITS - 1)).min(MAX_TIMEOUT)
    }

    /// Records that the store is back after an outage: reads timed out because of it and
    /// not of their size.
    pub fn record_back(&mut self) {
        self.timeouts = 0;
    }

    /// Records the outcome of a read.
    pub fn record(&mut self, outcome: ReadOutcome, now: Instant) {
        match outcome {
            ReadOutcome::SnapshotRead => self.recent_until = Some(now + SNAPSHOT_AGE),
            ReadOutcome::RecordsRead { at_end } => {
                self.page_kb = (self.page_kb * 2).min(MAX_PAGE_KB);
                self.recent_until = Some(now + SNAPSHOT_AGE);
                if at_end {
                    self.timeouts = 0;
                }
            }
            ReadOutcome::TimedOut => {
                self.page_kb = (self.page_kb / 2).max(MIN_PAGE_KB);
                self.timeouts = self.timeouts.saturating_add(1);
            }
            ReadOutcome::Refused => {}
        }
    }
}
