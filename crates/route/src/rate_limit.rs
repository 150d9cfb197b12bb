//! The request rate that a target states, and this host's share of it.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Stands for "no limit" in `stated_milli`.
const NO_LIMIT: u64 = u64::MAX;
/// Stands for "not limited" in `interval_us`.
const NOT_LIMITED: u64 = 0;
/// Stands for "no request at all" in `interval_us`.
const NO_SHARE: u64 = u64::MAX;

/// Pacing of this host's requests at one target; updated without locks. Times
/// are relative to the epoch of the set of targets.
///
/// The requests are spaced evenly, but for a burst after a pause: `next_us` is
/// when the next request would be due at even spaces, and requests may be sent up
/// to `tolerance_us` before that (the generic cell rate algorithm).
#[derive(Debug)]
pub(crate) struct RateLimit {
    /// Requests a second, in thousandths, that the target said in its last
    /// response it accepts from all hosts together.
    stated_milli: AtomicU64,
    /// When it last stated a limit or the end of one, in milliseconds; 0 if it
    /// never did.
    stated_at_ms: AtomicU64,
    /// Time from one request of this host to the next, in microseconds.
    interval_us: AtomicU64,
    /// When this host's next request is due, in microseconds.
    next_us: AtomicU64,
    /// How long before that it may be sent.
    tolerance_us: AtomicU64,
    /// Requests that looked for such a target since the last look.
    wanted: AtomicU32,
}

impl Default for RateLimit {
    fn default() -> Self {
        Self {
            stated_milli: AtomicU64::new(NO_LIMIT),
            stated_at_ms: AtomicU64::new(0),
            interval_us: AtomicU64::new(NOT_LIMITED),
            next_us: AtomicU64::new(0),
            tolerance_us: AtomicU64::new(0),
            wanted: AtomicU32::new(0),
        }
    }
}

impl RateLimit {
    pub(crate) fn stated(&self) -> Option<f64> {
        let milli = self.stated_milli.load(Ordering::Relaxed);
        (milli != NO_LIMIT).then(|| Duration::from_millis(milli).as_secs_f64())
    }

    /// When the target last stated a limit or the end of one.
    pub(crate) fn stated_at_ms(&self) -> Option<u64> {
        Some(self.stated_at_ms.load(Ordering::Relaxed)).filter(|at| *at > 0)
    }

    /// Records what a response states; returns whether that is news. A target
    /// that begins to state a limit gets nothing more until this host's share is
    /// known.
    pub(crate) fn record(&self, per_second: Option<f64>, now_ms: u64) -> bool {
        let milli = per_second.map_or(NO_LIMIT, to_milli);
        let before = self.stated_milli.swap(milli, Ordering::Relaxed);
        if milli != NO_LIMIT || before != NO_LIMIT {
            self.stated_at_ms.store(now_ms.max(1), Ordering::Relaxed);
        }
        if milli == NO_LIMIT {
            self.end();
        } else if !self.is_limited() {
            self.interval_us.store(NO_SHARE, Ordering::Relaxed);
        }
        before != milli
    }

    /// Ends the limit.
    pub(crate) fn end(&self) {
        self.interval_us.store(NOT_LIMITED, Ordering::Relaxed);
    }

    pub(crate) fn is_limited(&self) -> bool {
        self.interval_us.load(Ordering::Relaxed) != NOT_LIMITED
    }

    /// Sets this host's share, and how many requests it may send at once after a
    /// pause. `phase`, from 0 to 1, delays its first request by a part of the
    /// interval, so that the hosts don't begin at the same moment.
    pub(crate) fn set_share(&self, per_second: f64, burst: f64, phase: f64, now_us: u64) {
        let interval_us = micros(1.0 / per_second).max(1);
        let before = self.interval_us.swap(interval_us, Ordering::Relaxed);
        if interval_us == NO_SHARE {
            return;
        }
        let tolerance_us = micros((burst - 1.0).max(0.0) / per_second);
        self.tolerance_us.store(tolerance_us, Ordering::Relaxed);
        // A new share begins without a burst.
        let first_us = now_us.saturating_add(tolerance_us);
        if before == NO_SHARE {
            let delay_us = micros(phase.clamp(0.0, 1.0) / per_second);
            self.next_us.store(first_us.saturating_add(delay_us), Ordering::Relaxed);
        } else {
            self.next_us.fetch_min(first_us.saturating_add(interval_us), Ordering::Relaxed);
        }
    }

    /// Returns whether this host may send a request now.
    pub(crate) fn may_send(&self, now_us: u64) -> bool {
        match self.interval_us.load(Ordering::Relaxed) {
            NOT_LIMITED => true,
            NO_SHARE => false,
            _ => self.is_due(self.next_us.load(Ordering::Relaxed), now_us),
        }
    }

    /// Uses the share for one request; returns false if it may not be sent now.
    pub(crate) fn take(&self, now_us: u64) -> bool {
        let interval_us = self.interval_us.load(Ordering::Relaxed);
        let next = |next: u64| {
            self.is_due(next, now_us).then(|| next.max(now_us).saturating_add(interval_us))
        };
        match interval_us {
            NOT_LIMITED => true,
            NO_SHARE => false,
            _ => self.next_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).is_ok(),
        }
    }

    fn is_due(&self, next_us: u64, now_us: u64) -> bool {
        now_us.saturating_add(self.tolerance_us.load(Ordering::Relaxed)) >= next_us
    }

    pub(crate) fn count_wanted(&self) {
        self.wanted.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn take_wanted(&self) -> u32 {
        self.wanted.swap(0, Ordering::Relaxed)
    }
}

/// Converts a rate to thousandths of a request a second.
fn to_milli(per_second: f64) -> u64 {
    let rate = Duration::try_from_secs_f64(per_second).unwrap_or(Duration::MAX);
    u64::try_from(rate.as_millis()).unwrap_or(NO_LIMIT).min(NO_LIMIT - 1)
}

/// Converts seconds to microseconds; `NO_SHARE` if there are too many.
fn micros(seconds: f64) -> u64 {
    let duration = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    u64::try_from(duration.as_micros()).unwrap_or(NO_SHARE)
}
