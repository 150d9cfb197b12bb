//! Limits the rate of calls.

use std::time::Instant;

/// Part of a second's calls that may be sent at once.
const BURST_FRACTION: f64 = 0.25;
/// Minimum rate at which permits become available, per second.
const MIN_REFILL: f64 = 0.5;

/// A token bucket from which at most a number of permits are taken in any second.
#[derive(Clone, Debug)]
pub struct CallRate {
    permits: f64,
    burst: f64,
    refill_per_second: f64,
    updated_at: Instant,
}

impl CallRate {
    /// Creates a limit of this many calls in any second.
    #[must_use]
    pub fn new(calls_per_second: u32, now: Instant) -> Self {
        let limit = f64::from(calls_per_second);
        let burst = (limit * BURST_FRACTION).max(1.0);
        let refill_per_second = (limit - burst).max(MIN_REFILL);
        Self { permits: burst, burst, refill_per_second, updated_at: now }
    }

    /// Takes a permit for a call that is sent now; returns `false` if there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.permits = (self.permits + elapsed * self.refill_per_second).min(self.burst);
        self.updated_at = now;
        let is_available = self.permits >= 1.0;
        if is_available {
            self.permits -= 1.0;
        }
        is_available
    }
}
