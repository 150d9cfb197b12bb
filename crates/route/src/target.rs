//! One target as this process sees it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::LoadScope;
use crate::TargetInfo;

/// After this time a load report counts half, after twice the time a quarter.
const REPORT_HALF_LIFE_MS: u64 = 500;
/// A slow target gets one request after this long without any, to see whether
/// it has recovered.
const TRY_SLOW_AFTER_MS: u64 = 20_000;
/// A target is clearly faster whose pace is at most this part of another's.
const FASTER_PERCENT: u64 = 82;
/// A score counts requests a slot in units of one over this.
pub(crate) const SCORE_UNIT: u64 = 1_024;

/// One target as this process sees it; shared and updated without locks.
#[derive(Debug)]
pub struct Target {
    /// What the list says of it.
    pub info: TargetInfo,
    pub(crate) open: AtomicBool,
    pub(crate) in_flight: AtomicU32,
    /// What others had at the target when it last reported.
    pub(crate) others: AtomicU32,
    /// Requests of callers at the target, of all processes, by its report.
    pub(crate) callers: AtomicU32,
    /// Of those, the ones of other processes, where this one serves callers.
    pub(crate) other_callers: AtomicU32,
    /// When the report was made, in milliseconds of the set's clock.
    pub(crate) reported_ms: AtomicU64,
    /// When it was last asked for its load, on the same clock.
    pub(crate) polled_ms: AtomicU64,
    /// Running average of the time for one token there, in microseconds; 0 for
    /// not known.
    pub(crate) token_time_us: AtomicU32,
    /// When that was last updated.
    pub(crate) token_time_updated_ms: AtomicU64,
    /// Whether it is much slower than its peers.
    pub(crate) slow: AtomicBool,
    /// Whether the last attempt to reach it failed; a load report clears it.
    pub(crate) unreachable: AtomicBool,
    /// Requests that failed there since the last one that succeeded.
    pub(crate) failures: AtomicU32,
    /// Requests that it ran and answered with its own failure, in a row.
    pub(crate) errors: AtomicU32,
    /// Requests in a row that another target answered first.
    pub(crate) unanswered: AtomicU32,
    /// Until when it is avoided after a failure.
    pub(crate) avoided_until_ms: AtomicU64,
}

/// A request at a target; counted until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Target>);

impl Target {
    pub(crate) fn new(info: TargetInfo) -> Self {
        Self {
            open: AtomicBool::new(!info.leaving),
            info,
            in_flight: AtomicU32::new(0),
            others: AtomicU32::new(0),
            callers: AtomicU32::new(0),
            other_callers: AtomicU32::new(0),
            reported_ms: AtomicU64::new(0),
            polled_ms: AtomicU64::new(0),
            token_time_us: AtomicU32::new(0),
            token_time_updated_ms: AtomicU64::new(0),
            slow: AtomicBool::new(false),
            unreachable: AtomicBool::new(false),
            failures: AtomicU32::new(0),
            errors: AtomicU32::new(0),
            unanswered: AtomicU32::new(0),
            avoided_until_ms: AtomicU64::new(0),
        }
    }

    /// Says whether it may get new work; looked at again before each write.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Stops new work at once, also for requests that have chosen it already.
    pub fn close(&self) {
        self.open.store(false, Ordering::Release);
    }

    /// Counts this process's requests at it.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts all requests at it: this process's now, and the others' as of
    /// its last report.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.in_flight() + self.others.load(Ordering::Relaxed)
    }

    /// Counts the callers' requests at it, as of its last report.
    #[must_use]
    pub fn callers(&self) -> u32 {
        self.callers.load(Ordering::Relaxed)
    }

    /// Tells when it was last asked for its load, in the set's milliseconds.
    #[must_use]
    pub fn polled_ms(&self) -> u64 {
        self.polled_ms.load(Ordering::Relaxed)
    }

    /// Tells the average time for an event there, in microseconds, if known.
    #[must_use]
    pub fn token_time_us(&self) -> Option<u32> {
        Some(self.token_time_us.load(Ordering::Relaxed)).filter(|pace| *pace > 0)
    }

    /// Says whether it is clearly faster than another.
    #[must_use]
    pub fn is_faster_than(&self, other: &Self) -> bool {
        let paces = self.token_time_us().zip(other.token_time_us());
        paces.is_some_and(|(own, other)| u64::from(own) * 100 <= u64::from(other) * FASTER_PERCENT)
    }

    /// Says whether it is much slower than its peers.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.slow.load(Ordering::Relaxed)
    }

    /// Counts a request in, if the target is still open.
    #[must_use]
    pub fn start_request(self: &Arc<Self>) -> Option<InFlight> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let counted = InFlight(Arc::clone(self));
        self.is_open().then_some(counted)
    }

    /// What others have there that counts, as of the last report.
    pub(crate) fn reported_others(&self, scope: LoadScope) -> u32 {
        match scope {
            LoadScope::All => self.others.load(Ordering::Relaxed),
            LoadScope::Callers => self.other_callers.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn score(&self, scope: LoadScope, now_ms: u64) -> u64 {
        let age = now_ms.saturating_sub(self.reported_ms.load(Ordering::Relaxed));
        let halvings = u32::try_from(age / REPORT_HALF_LIFE_MS).unwrap_or(u32::MAX);
        let others = u64::from(self.reported_others(scope)) * SCORE_UNIT;
        let others = others.checked_shr(halvings).unwrap_or(0);
        let own = u64::from(self.in_flight()) * SCORE_UNIT;
        (own + others) / u64::from(self.info.slots.max(1))
    }

    /// Whether it is slow and not due to be tried again with one request.
    fn is_held_back(&self, now_ms: u64) -> bool {
        let due = self.token_time_updated_ms.load(Ordering::Relaxed) + TRY_SLOW_AFTER_MS;
        self.is_slow() && (now_ms < due || self.in_flight() > 0)
    }

    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        self.unreachable.load(Ordering::Relaxed)
            || self.is_held_back(now_ms)
            || now_ms < self.avoided_until_ms.load(Ordering::Relaxed)
    }
}

impl InFlight {
    /// Gives the target.
    #[must_use]
    pub fn target(&self) -> &Arc<Target> {
        &self.0
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
