//! The largest of the recent values of a number, kept without locks.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Length of a period, in milliseconds. Values count for one to two of them: as long as a
/// response that was sent at the same time as others may take to be read after them.
const PERIOD_MS: u64 = 8;
/// Bits of the number of a period, above the two peaks.
const PERIOD_BITS: u32 = 32;
/// Bits of a peak. Larger values count as the largest.
const PEAK_BITS: u32 = 16;

/// The largest value of the newest period and that of the one before it, in one word.
#[derive(Debug, Default)]
pub(crate) struct RecentPeak(AtomicU64);

#[derive(Clone, Copy, Debug)]
struct Peaks {
    period: u64,
    newest: u64,
    before: u64,
}

impl RecentPeak {
    /// Records a value and returns the largest recent one. A time before the newest period
    /// counts as in it.
    pub(crate) fn record(&self, value: u32, now_ms: u64) -> u32 {
        let period = (now_ms / PERIOD_MS) & mask(PERIOD_BITS);
        let next = |word| Some(Peaks::unpack(word).with(value, period).pack());
        let (Ok(word) | Err(word)) =
            self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        let peaks = Peaks::unpack(word).with(value, period);
        u32::try_from(peaks.newest.max(peaks.before)).unwrap_or(u32::MAX).max(value)
    }
}

impl Peaks {
    fn with(self, value: u32, period: u64) -> Self {
        let value = u64::from(value).min(mask(PEAK_BITS));
        if self.period >= period {
            Self { newest: self.newest.max(value), ..self }
        } else if self.period + 1 == period {
            Self { period, newest: value, before: self.newest }
        } else {
            Self { period, newest: value, before: 0 }
        }
    }

    fn pack(self) -> u64 {
        self.period << PERIOD_BITS | self.newest << PEAK_BITS | self.before
    }

    fn unpack(word: u64) -> Self {
        let period = word >> PERIOD_BITS;
        Self { period, newest: word >> PEAK_BITS & mask(PEAK_BITS), before: word & mask(PEAK_BITS) }
    }
}

fn mask(bits: u32) -> u64 {
    (1 << bits) - 1
}
