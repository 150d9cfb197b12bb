//! Retry decisions and delays after a failed run of an item.

/// Interruptions after which the retry delay reaches its maximum.
const MAX_SHORT_DELAY_INTERRUPTIONS: u32 = 60;

/// What to do after a failed run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Run it again.
    Retry,
    /// Record it as failed.
    GiveUp,
}

/// Counts the unsuccessful runs of one item or of its reward call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryState {
    /// Runs that the target itself failed.
    failures: u32,
    /// Runs that were refused or broke off.
    interruptions: u32,
}

impl RetryState {
    /// Counts a run that the target itself failed.
    pub fn record_failure(&mut self, max_attempts: u32) -> RetryDecision {
        self.failures += 1;
        if self.failures >= max_attempts.max(1) {
            RetryDecision::GiveUp
        } else {
            RetryDecision::Retry
        }
    }

    /// Counts a run that broke off or was refused. It is not a failure of the
    /// item, so it doesn't count against `max_attempts`.
    pub fn record_interruption(&mut self) {
        self.interruptions += 1;
    }

    /// Returns the delay before the next run, in milliseconds.
    #[must_use]
    pub fn delay_ms(&self) -> u64 {
        match self.interruptions {
            0 | 1 => 0,
            2..=4 => 20,
            5..=MAX_SHORT_DELAY_INTERRUPTIONS => 100,
            _ => 500,
        }
    }
}
