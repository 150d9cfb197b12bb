//! Usage of all hosts, as the log has it.

use std::collections::BTreeMap;

use cassia_ids::BootId;
use cassia_ids::CustomerId;
use cassia_ids::HostId;

use crate::UsageRecord;

/// How long after its end a window is decided. A request whose target takes 3 s to
/// answer is counted, and appended half a second later.
const DECIDE_AFTER_MS: u64 = 4_000;
/// Time between two reads to the end of the log after which the store counts as
/// having been away.
const MAX_READ_GAP_MS: u64 = 2_000;
/// How long nothing is decided after the store was away: the hosts first append what
/// they counted meanwhile. It covers the timeout of an append that began before, the
/// delay of its repetition and the interval of appends.
const SETTLE_MS: u64 = 4_000;
/// Age at which windows are no longer decided. The store keeps records for 300 s: an
/// earlier decision that has expired could differ.
const MAX_DECIDE_AGE_MS: u64 = 60_000;
/// Age at which decided windows are no longer reported, for the same reason.
const MAX_REPORT_AGE_MS: u64 = 240_000;
/// Age at which a window is forgotten.
const MAX_AGE_MS: u64 = 300_000;

/// Correction of true time up to which the ledger stays valid.
const MAX_CORRECTION_MS: u64 = 1_000;

/// Requests by customer.
type Counts = BTreeMap<CustomerId, u64>;

/// What the holder of the lease does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UsageAction {
    /// Append a decision with these counts and read it back.
    Decide {
        /// The window.
        window: u64,
        /// Requests by customer.
        counts: BTreeMap<CustomerId, u64>,
    },
    /// Report exactly these counts.
    Report {
        /// The window.
        window: u64,
        /// Requests by customer.
        counts: BTreeMap<CustomerId, u64>,
    },
    /// Nothing for now.
    Wait,
}

/// The effect of a record, as far as it is worth a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// Nothing that is worth a line.
    AsExpected,
    /// It is the first decision of a window.
    Decided {
        /// The window.
        window: u64,
        /// Requests of all customers.
        requests: u64,
    },
    /// Its requests are missing in the decision of their window.
    Late {
        /// The window.
        window: u64,
        /// Number of the requests.
        requests: u64,
    },
}

/// The usage of the last windows, by the records of the log.
///
/// Times are true time in Unix milliseconds.
#[derive(Clone, Debug)]
pub struct UsageLedger {
    window_ms: u64,
    windows: BTreeMap<u64, Window>,
    /// The oldest window that may be decided: the first one that this process has
    /// seen, in the log or by its clock.
    first: Option<u64>,
    /// The latest time that was stated.
    latest: u64,
    /// When the last read began that reached the end of the log.
    read_at: Option<u64>,
    /// Nothing is decided before this time.
    settled_at: u64,
}

#[derive(Clone, Debug, Default)]
struct Window {
    by_host: BTreeMap<(HostId, BootId), Counts>,
    decision: Option<Counts>,
    is_reported: bool,
    is_refused: bool,
}

impl Window {
    /// Adds a host's cumulative counts; returns how many requests are new.
    fn merge(&mut self, host: (HostId, BootId), counts: &Counts) -> u64 {
        let known = self.by_host.entry(host).or_default();
        let mut new = 0;
        for (customer, count) in counts {
            let known = known.entry(customer.clone()).or_default();
            new += count.saturating_sub(*known);
            *known = (*known).max(*count);
        }
        new
    }

    fn total(&self) -> Counts {
        let mut total = Counts::new();
        for (customer, count) in self.by_host.values().flatten() {
            *total.entry(customer.clone()).or_default() += count;
        }
        total
    }

    fn is_unreported(&self) -> bool {
        self.decision.is_some() && !self.is_reported
    }
}

impl UsageLedger {
    /// Creates a ledger of windows of this length that has read none of the log.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms: window_ms.max(1),
            windows: BTreeMap::new(),
            first: None,
            latest: 0,
            read_at: None,
            settled_at: 0,
        }
    }

    /// Applies the next record of the log.
    pub fn apply(&mut self, record: &UsageRecord) -> Applied {
        let (UsageRecord::Counts { window, .. }
        | UsageRecord::Decision { window, .. }
        | UsageRecord::Reported { window }) = record;
        if *window < self.first_kept() {
            return Applied::AsExpected;
        }
        self.first = Some(self.first.map_or(*window, |first| first.min(*window)));
        let number = *window;
        let window = self.windows.entry(number).or_default();
        match record {
            UsageRecord::Counts { host, boot, counts, .. } => {
                let requests = window.merge((host.clone(), *boot), counts);
                if window.decision.is_some() && requests > 0 {
                    return Applied::Late { window: number, requests };
                }
            }
            UsageRecord::Decision { counts, .. } if window.decision.is_none() => {
                window.decision = Some(counts.clone());
                return Applied::Decided { window: number, requests: counts.values().sum() };
            }
            UsageRecord::Decision { .. } => {}
            UsageRecord::Reported { .. } => window.is_reported = true,
        }
        Applied::AsExpected
    }

    /// Records that a read that began at this time reached the end of the log.
    pub fn record_read(&mut self, began: u64) {
        self.remove_old(began);
        let began_late = |last: u64| began.saturating_sub(last) > MAX_READ_GAP_MS;
        if self.read_at.is_none_or(began_late) {
            self.settled_at = began + SETTLE_MS;
        }
        self.read_at = self.read_at.max(Some(began));
        let current = began / self.window_ms;
        self.first = Some(self.first.map_or(current, |first| first.min(current)));
    }

    /// Returns whether true time was stated to be later than now, because a wall clock was
    /// wrong. What the ledger has forgotten may matter again: the log must be read again by
    /// a new ledger.
    #[must_use]
    pub fn is_ahead(&self, now: u64) -> bool {
        self.latest > now + MAX_CORRECTION_MS
    }

    /// Records that the platform refuses a report for good; this process no longer
    /// sends it.
    pub fn record_refused(&mut self, window: u64) {
        if let Some(window) = self.windows.get_mut(&window) {
            window.is_refused = true;
        }
    }

    /// Returns what the holder of the lease does next.
    pub fn next(&mut self, now: u64) -> UsageAction {
        self.remove_old(now);
        let unreported = |(number, window): (&u64, &Window)| {
            let is_due = !window.is_reported && !window.is_refused;
            let is_due = is_due && now <= self.end(*number) + MAX_REPORT_AGE_MS;
            window.decision.as_ref().filter(|_| is_due).map(|counts| (*number, counts.clone()))
        };
        if let Some((window, counts)) = self.windows.iter().find_map(unreported) {
            return UsageAction::Report { window, counts };
        }
        let (Some(first), Some(read_at)) = (self.first, self.read_at) else {
            return UsageAction::Wait;
        };
        if now < self.settled_at {
            return UsageAction::Wait;
        }
        let from = first.max(self.first_decidable());
        // Windows that end late enough before the last read.
        let until = read_at.min(now).saturating_sub(DECIDE_AFTER_MS) / self.window_ms;
        let is_open = |window: &u64| {
            let window = self.windows.get(window);
            window.is_none_or(|window| window.decision.is_none() && !window.is_reported)
        };
        let Some(window) = (from..until).find(is_open) else {
            return UsageAction::Wait;
        };
        let counts = self.windows.get(&window).map(Window::total).unwrap_or_default();
        UsageAction::Decide { window, counts }
    }

    /// Returns the windows that are decided and not reported, in order.
    #[must_use]
    pub fn unreported(&self) -> Vec<u64> {
        let unreported = self.windows.iter().filter(|(_, window)| window.is_unreported());
        unreported.map(|(number, _)| *number).collect()
    }

    fn end(&self, window: u64) -> u64 {
        (window + 1) * self.window_ms
    }

    /// Returns the oldest window that is not forgotten.
    fn first_kept(&self) -> u64 {
        self.latest.saturating_sub(MAX_AGE_MS) / self.window_ms
    }

    /// Returns the oldest window that is young enough to be decided.
    fn first_decidable(&self) -> u64 {
        // The first window that ends at or after the oldest end.
        let oldest_end = self.latest.saturating_sub(MAX_DECIDE_AGE_MS);
        oldest_end.div_ceil(self.window_ms).saturating_sub(1)
    }

    /// Removes what is no longer needed.
    fn remove_old(&mut self, now: u64) {
        self.latest = self.latest.max(now);
        self.windows = self.windows.split_off(&self.first_kept());
        let counted_from = self.first_decidable();
        for window in self.windows.range_mut(..counted_from).map(|(_, window)| window) {
            window.by_host = BTreeMap::new();
        }
    }
}
