//! True time, from a wall clock that is set at times.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Number of the last differences of the clocks whose median counts. A step of the
/// wall clock has no effect if it is taken back within half of them.
const MAX_SAMPLES: usize = 64;
/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// True time: the boot-time clock, which never steps, plus the median of its last
/// differences from the wall clock.
#[derive(Clone, Debug)]
pub struct TrueTime {
    /// When the differences are measured from.
    base: Instant,
    /// Wall-clock time at `base` in Unix milliseconds, by each sample.
    samples: VecDeque<i64>,
    /// Median of the samples.
    median: i64,
    /// When the next sample is due.
    sample_at: Instant,
}

impl TrueTime {
    /// Creates a clock by a first reading of the wall clock, in Unix milliseconds.
    #[must_use]
    pub fn new(now: Instant, wall_ms: u64) -> Self {
        let mut time = Self { base: now, samples: VecDeque::new(), median: 0, sample_at: now };
        time.record(now, wall_ms);
        time
    }

    /// Records a reading of the wall clock, at most one an interval.
    pub fn record(&mut self, now: Instant, wall_ms: u64) {
        if now < self.sample_at {
            return;
        }
        self.sample_at = now + SAMPLE_INTERVAL;
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        let wall_ms = i64::try_from(wall_ms).unwrap_or(i64::MAX);
        self.samples.push_back(wall_ms.saturating_sub(self.since_base_ms(now)));
        let mut sorted: Vec<_> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        self.median = sorted[sorted.len() / 2];
    }

    /// Returns the true time at an instant, in Unix milliseconds.
    #[must_use]
    pub fn unix_ms(&self, at: Instant) -> u64 {
        u64::try_from(self.median.saturating_add(self.since_base_ms(at))).unwrap_or(0)
    }

    /// Returns the time from `base` to an instant, which may be earlier.
    fn since_base_ms(&self, at: Instant) -> i64 {
        let millis = |duration: Duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX);
        if at >= self.base { millis(at - self.base) } else { -millis(self.base - at) }
    }
}
