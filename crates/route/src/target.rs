//! State of one target in this process.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::LoadScope;
use crate::TargetInfo;
use crate::rate_limit::RateLimit;
use crate::recent_peak::RecentPeak;

/// Half-life of the weight of a load report.
const REPORT_HALF_LIFE_MS: u64 = 500;
/// A slow target gets one request after this long without any, to check
/// whether it has recovered.
const PROBE_SLOW_AFTER_MS: u64 = 20_000;
/// A target is clearly faster if its token time is at most this percentage of
/// the other's.
const FASTER_PERCENT: u64 = 82;
/// Score of one request per slot.
pub(crate) const SCORE_UNIT: u64 = 1_024;

/// One target with what this process knows of it; shared and updated without
/// locks.
#[derive(Debug)]
pub struct Target {
    /// Its entry in the list of targets.
    pub info: TargetInfo,
    pub(crate) open: AtomicBool,
    /// Whether the target itself has stated that it is leaving.
    stated_leaving: AtomicBool,
    pub(crate) in_flight: AtomicU32,
    /// The most requests that this process had there at recent reports.
    pub(crate) recent: RecentPeak,
    /// Requests of other processes at the target, as of its last report.
    pub(crate) others: AtomicU32,
    /// Callers' requests at the target, of all processes, as of its last
    /// report.
    pub(crate) callers: AtomicU32,
    /// Callers' requests of other processes, if this process serves callers.
    pub(crate) other_callers: AtomicU32,
    /// When the report was made, in milliseconds since the set's epoch.
    pub(crate) reported_ms: AtomicU64,
    /// When the target was last polled for its load, on the same clock.
    pub(crate) polled_ms: AtomicU64,
    /// Moving average of the time per token, in microseconds; 0 if unknown.
    pub(crate) token_time_us: AtomicU32,
    /// When `token_time_us` was last updated.
    pub(crate) token_time_updated_ms: AtomicU64,
    /// Whether the target is much slower than its peers.
    pub(crate) slow: AtomicBool,
    /// Whether the target can't be reached; a load report clears this.
    pub(crate) unreachable: AtomicBool,
    /// Failures since the last success, not counting those during a backoff.
    pub(crate) consecutive_failures: AtomicU32,
    /// Consecutive requests that the target ran and answered with an error.
    pub(crate) consecutive_errors: AtomicU32,
    /// Consecutive requests that were cancelled without an answer.
    pub(crate) consecutive_unanswered: AtomicU32,
    /// Until when the target is avoided, because it failed or is busy.
    pub(crate) avoided_until_ms: AtomicU64,
    /// The rate that it states, and this process's share of it.
    pub(crate) rate: RateLimit,
    /// Requests that this process started at the target, in all.
    started: AtomicU64,
}

/// A request in flight at a target; counted there until dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Target>);

impl Target {
    pub(crate) fn new(info: TargetInfo) -> Self {
        Self {
            open: AtomicBool::new(!info.leaving),
            stated_leaving: AtomicBool::new(info.leaving),
            info,
            in_flight: AtomicU32::new(0),
            recent: RecentPeak::default(),
            others: AtomicU32::new(0),
            callers: AtomicU32::new(0),
            other_callers: AtomicU32::new(0),
            reported_ms: AtomicU64::new(0),
            polled_ms: AtomicU64::new(0),
            token_time_us: AtomicU32::new(0),
            token_time_updated_ms: AtomicU64::new(0),
            slow: AtomicBool::new(false),
            unreachable: AtomicBool::new(false),
            consecutive_failures: AtomicU32::new(0),
            consecutive_errors: AtomicU32::new(0),
            consecutive_unanswered: AtomicU32::new(0),
            avoided_until_ms: AtomicU64::new(0),
            rate: RateLimit::default(),
            started: AtomicU64::new(0),
        }
    }

    /// Returns whether the target accepts new work; checked again before each
    /// request is sent.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Returns whether this process may start a request now.
    pub(crate) fn accepts(&self, now_us: u64) -> bool {
        self.is_open() && self.rate.may_send(now_us)
    }

    /// Stops new work at once, also of requests that have already chosen this
    /// target.
    pub fn close(&self) {
        self.open.store(false, Ordering::Release);
    }

    /// Records that the target has stated that it is leaving, and stops new work as
    /// `close` does. Returns whether that is news.
    pub fn close_as_leaving(&self) -> bool {
        self.close();
        !self.stated_leaving.swap(true, Ordering::AcqRel)
    }

    /// Returns whether the target has stated that it is leaving, in its entry or since.
    #[must_use]
    pub fn has_stated_leaving(&self) -> bool {
        self.stated_leaving.load(Ordering::Acquire)
    }

    /// Number of this process's requests at the target.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Number of all requests at the target: this process's current ones, and
    /// those of others as of the last report.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.in_flight() + self.others.load(Ordering::Relaxed)
    }

    /// Number of callers' requests at the target, as of its last report.
    #[must_use]
    pub fn callers(&self) -> u32 {
        self.callers.load(Ordering::Relaxed)
    }

    /// When the target was last polled for its load, in milliseconds since the
    /// set's epoch; 0 if never.
    #[must_use]
    pub fn polled_ms(&self) -> u64 {
        self.polled_ms.load(Ordering::Relaxed)
    }

    /// Average time per token at the target, in microseconds, if known.
    #[must_use]
    pub fn token_time_us(&self) -> Option<u32> {
        Some(self.token_time_us.load(Ordering::Relaxed)).filter(|us| *us > 0)
    }

    /// Returns whether the target is clearly faster than another.
    #[must_use]
    pub fn is_faster_than(&self, other: &Self) -> bool {
        let token_times = self.token_time_us().zip(other.token_time_us());
        token_times
            .is_some_and(|(own, other)| u64::from(own) * 100 <= u64::from(other) * FASTER_PERCENT)
    }

    /// Returns whether the target is much slower than its peers.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.slow.load(Ordering::Relaxed)
    }

    /// Counts a new request, if the target is still open.
    #[must_use]
    pub fn start_request(self: &Arc<Self>) -> Option<InFlight> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let in_flight = InFlight(Arc::clone(self));
        if !self.is_open() {
            return None;
        }
        self.started.fetch_add(1, Ordering::Relaxed);
        Some(in_flight)
    }

    /// Number of requests that this process has started at the target.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.started.load(Ordering::Relaxed)
    }

    /// Requests a second that the target accepts from all hosts together;
    /// `None` if its last response to this process stated no limit.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        self.rate.stated()
    }

    /// Returns whether this process sends only its share of a limited rate.
    #[must_use]
    pub fn is_rate_limited(&self) -> bool {
        self.rate.is_limited()
    }

    /// Number of requests that looked for a target of this kind since the last
    /// call, while this one was limited.
    #[must_use]
    pub fn take_wanted(&self) -> u32 {
        self.rate.take_wanted()
    }

    /// Ends the limit, because the target stated so to another host.
    pub fn end_rate_limit(&self) {
        self.rate.end();
    }

    /// Number of other processes' requests in a scope, as of the last report.
    pub(crate) fn reported_others(&self, scope: LoadScope) -> u32 {
        match scope {
            LoadScope::All => self.others.load(Ordering::Relaxed),
            LoadScope::Callers => self.other_callers.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn score(&self, scope: LoadScope, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.reported_ms.load(Ordering::Relaxed));
        let halvings = u32::try_from(age_ms / REPORT_HALF_LIFE_MS).unwrap_or(u32::MAX);
        let others = u64::from(self.reported_others(scope)) * SCORE_UNIT;
        let others = others.checked_shr(halvings).unwrap_or(0);
        let own = u64::from(self.in_flight()) * SCORE_UNIT;
        (own + others) / u64::from(self.info.slots.max(1))
    }

    /// Number of slots that other processes don't use, by the last report, whose
    /// weight halves as in `score`.
    pub(crate) fn free_of_others(&self, now_ms: u64) -> u32 {
        let age_ms = now_ms.saturating_sub(self.reported_ms.load(Ordering::Relaxed));
        let halvings = u32::try_from(age_ms / REPORT_HALF_LIFE_MS).unwrap_or(u32::MAX);
        let others = self.others.load(Ordering::Relaxed).checked_shr(halvings).unwrap_or(0);
        self.info.slots.saturating_sub(others)
    }

    /// Whether the target is slow and not yet due for a probe request.
    fn is_paused_as_slow(&self, now_ms: u64) -> bool {
        let due_ms = self.token_time_updated_ms.load(Ordering::Relaxed) + PROBE_SLOW_AFTER_MS;
        self.is_slow() && (now_ms < due_ms || self.in_flight() > 0)
    }

    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        self.unreachable.load(Ordering::Relaxed)
            || self.is_paused_as_slow(now_ms)
            || now_ms < self.avoided_until_ms.load(Ordering::Relaxed)
    }
}

impl InFlight {
    /// The target that the request is at.
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
