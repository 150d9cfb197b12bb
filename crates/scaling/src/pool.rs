//! The state of one pool of engines.

use std::time::Duration;
use std::time::Instant;

use crate::demand::EngineState;

/// How long other pools are preferred after engines were reclaimed.
const RECLAIM_AVOIDANCE: Duration = Duration::from_secs(16);

/// The last order that was accepted for a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ordered {
    pub(crate) count: u32,
    /// Until when engines that don't serve yet are expected.
    pub(crate) expected_until: Instant,
}

/// The engines of a pool and the orders for it.
#[derive(Debug, Default)]
pub(crate) struct PoolState {
    pub(crate) serving: u32,
    pub(crate) leaving: u32,
    pub(crate) capacity: f64,
    pub(crate) busy: u32,
    pub(crate) ordered: Option<Ordered>,
    pub(crate) retry_at: Option<Instant>,
    pub(crate) backoff: Duration,
    pub(crate) avoided_until: Option<Instant>,
}

impl PoolState {
    /// Number of engines that the platform was told to run, or that it runs.
    pub(crate) fn committed(&self) -> u32 {
        self.ordered.map_or(self.serving, |ordered| ordered.count)
    }

    pub(crate) fn is_expected(&self, now: Instant) -> bool {
        self.ordered.is_some_and(|ordered| now < ordered.expected_until)
    }

    pub(crate) fn missing(&self, now: Instant) -> u32 {
        let missing = self.committed().saturating_sub(self.serving);
        if self.is_expected(now) { 0 } else { missing }
    }

    /// Updates the state; returns whether engines were lost.
    pub(crate) fn observe(
        &mut self,
        is_spot: bool,
        engines: &[&EngineState],
        slots: u32,
        now: Instant,
    ) -> bool {
        let open = || engines.iter().filter(|engine| !engine.leaving);
        let slots = slots.max(1);
        let serving = to_u32(open().count());
        let leaving = to_u32(engines.len()) - serving;
        self.capacity = open().map(|engine| f64::from(engine.slots) * engine.speed).sum::<f64>()
            / f64::from(slots);
        self.busy = open().map(|engine| engine.load).sum::<u32>().div_ceil(slots);
        let was_lost = serving < self.serving && serving < self.committed();
        if is_spot {
            self.observe_spot(serving, was_lost && leaving > self.leaving, now);
        } else if self.ordered.is_none_or(|o| serving > o.count && now >= o.expected_until) {
            // On-demand engines that restart come back: a lower order would remove
            // others. Without an order, engines that are leaving count too, since they
            // will be replaced.
            let count = serving + if self.ordered.is_none() { leaving } else { 0 };
            self.ordered = Some(Ordered { count, expected_until: now });
        }
        (self.serving, self.leaving) = (serving, leaving);
        was_lost
    }

    /// Updates what is expected of spot engines; those that are reclaimed don't come
    /// back unless they are ordered again.
    fn observe_spot(&mut self, serving: u32, is_reclaim: bool, now: Instant) {
        if is_reclaim {
            // The engines that were ordered and don't serve yet go with them.
            self.ordered = None;
            self.avoided_until = Some(now + RECLAIM_AVOIDANCE);
        }
        // Beyond the time in which engines start, what the platform runs counts.
        let differs = self.ordered.is_some_and(|ordered| serving != ordered.count);
        if differs && !self.is_expected(now) {
            self.ordered = None;
        }
    }
}

/// Converts a number of engines.
pub(crate) fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
