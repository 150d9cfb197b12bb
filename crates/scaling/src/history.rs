//! The maximum of the demand over a recent period.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// How long values are kept: longer than the longest period of steps.
const RETENTION: Duration = Duration::from_secs(150);
/// Minimum time between two entries, which bounds the memory.
const RESOLUTION: Duration = Duration::from_millis(500);

/// Maxima of a value over a recent period; each entry is greater than all later
/// ones.
#[derive(Debug, Default)]
pub(crate) struct MaxHistory {
    entries: VecDeque<(Instant, u32)>,
}

impl MaxHistory {
    /// Adds a value and removes those that are too old.
    pub(crate) fn record(&mut self, value: u32, now: Instant) {
        while self.entries.back().is_some_and(|(_, last)| *last <= value) {
            self.entries.pop_back();
        }
        // A lower value that follows at once is skipped; the greater one stands for
        // it, and the next value comes soon.
        if self.entries.back().is_none_or(|(at, _)| now >= *at + RESOLUTION) {
            self.entries.push_back((now, value));
        }
        while self.entries.front().is_some_and(|(at, _)| *at + RETENTION < now) {
            self.entries.pop_front();
        }
    }

    /// Returns the maximum over the last `time`.
    pub(crate) fn max(&self, time: Duration, now: Instant) -> u32 {
        let recent = self.entries.iter().find(|(at, _)| *at + time >= now);
        recent.or(self.entries.back()).map_or(0, |(_, value)| *value)
    }
}
