//! Counts of one host.

use std::collections::BTreeMap;

use cassia_ids::CustomerId;

/// Maximum number of windows that are kept. A later request of a window that is
/// kept no longer is not counted.
const MAX_WINDOWS: usize = 12;
/// Maximum number of customers of a window.
const MAX_CUSTOMERS: usize = 1_024;

/// Cumulative counts of a window, by customer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WindowCounts {
    /// The window.
    pub window: u64,
    /// Requests of each customer, as far as they have changed.
    pub counts: BTreeMap<CustomerId, u64>,
}

/// Counts the requests that began to run in the last windows.
#[derive(Clone, Debug, Default)]
pub struct UsageCounter {
    windows: BTreeMap<u64, BTreeMap<CustomerId, Count>>,
    dropped: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    total: u64,
    /// The part of it that is in the log.
    appended: u64,
}

impl UsageCounter {
    /// Counts a request that began to run in a window.
    pub fn count(&mut self, window: u64, customer: &CustomerId) {
        let counts = self.windows.entry(window).or_default();
        if let Some(count) = counts.get_mut(customer) {
            count.total += 1;
        } else if counts.len() < MAX_CUSTOMERS {
            counts.insert(customer.clone(), Count { total: 1, appended: 0 });
        } else {
            self.dropped += 1;
        }
        if self.windows.len() > MAX_WINDOWS
            && let Some((_, oldest)) = self.windows.pop_first()
        {
            self.dropped += oldest.values().map(|count| count.total - count.appended).sum::<u64>();
        }
    }

    /// Returns the counts that are not in the log yet.
    #[must_use]
    pub fn new_counts(&self) -> Vec<WindowCounts> {
        let window = |(window, counts): (&u64, &BTreeMap<CustomerId, Count>)| {
            let changed = counts.iter().filter(|(_, count)| count.total > count.appended);
            let counts: BTreeMap<_, _> =
                changed.map(|(customer, count)| (customer.clone(), count.total)).collect();
            (!counts.is_empty()).then_some(WindowCounts { window: *window, counts })
        };
        self.windows.iter().filter_map(window).collect()
    }

    /// Records that counts are in the log.
    pub fn record_appended(&mut self, appended: &[WindowCounts]) {
        for WindowCounts { window, counts } in appended {
            let Some(known) = self.windows.get_mut(window) else { continue };
            for (customer, total) in counts {
                if let Some(count) = known.get_mut(customer) {
                    count.appended = count.appended.max(*total);
                }
            }
        }
    }

    /// Returns the number of requests that were dropped since the last call
    /// because their window or their customer is not kept.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
