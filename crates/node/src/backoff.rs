//! Timeouts and delays of repeated reads, growing while the reads fail.
//!
//! When many hosts start at once, each reads much of the same store. A read
//! that times out has cost the store as much as one that succeeds: with a
//! fixed timeout below the time that all the reads together need, none ever
//! succeeds. So the timeout grows with each failure, and the delays are
//! randomised to spread the reads.

use std::time::Duration;

/// Number of failures in a row after which the delay stops growing.
const MAX_DELAY_DOUBLINGS: u32 = 3;

/// The timeout and delay of one kind of read.
#[derive(Clone, Debug)]
pub struct ReadBackoff {
    first: Duration,
    max: Duration,
    failures: u32,
}

impl ReadBackoff {
    /// Creates a backoff whose timeout grows from `first` up to `max`.
    #[must_use]
    pub fn new(first: Duration, max: Duration) -> Self {
        Self { first, max, failures: 0 }
    }

    /// Returns the timeout of the next read.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.first.saturating_mul(1 << self.failures.min(u32::BITS - 1)).min(self.max)
    }

    /// Returns the delay before the next read, where `interval` is the delay
    /// without failures and `random` is from 0 to 1.
    #[must_use]
    pub fn delay(&self, interval: Duration, random: f64) -> Duration {
        let factor = (1_u32 << self.failures.min(MAX_DELAY_DOUBLINGS)) - 1;
        interval + interval.mul_f64(f64::from(factor) * random.clamp(0.0, 1.0))
    }

    /// Records that a read failed.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records that a read succeeded, or that the store answers again after an outage: what
    /// failed in it needs no longer timeout.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
