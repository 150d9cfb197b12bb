//! Limit on a trainer's concurrent samples at the engines.

/// One in this many slots is always reserved for callers.
const RESERVED_DIVISOR: u32 = 16;
/// One in this many slots is also reserved if a contract weighs only
/// staleness; with a lower weight of staleness, proportionally fewer.
const STALENESS_RESERVED_DIVISOR: u32 = 16;

/// Use of the slots of one model's engines.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Total slots of the open engines.
    pub slots: u32,
    /// Callers' requests at the engines, of all processes.
    pub callers: u32,
    /// Trainers' samples at the engines, of all processes.
    pub samples: u32,
    /// Samples of this trainer, included in `samples`.
    pub own: u32,
}

/// Returns the maximum number of samples that a trainer may have at the
/// engines.
///
/// The limit is the customer's share of the slots that callers leave free, or
/// the number of these that other trainers don't use, if that is larger.
/// Borrowed slots return to the other trainers as samples end, because their
/// processes then see fewer samples. More slots are reserved if staleness has
/// a higher weight, since samples in those slots would be preempted sooner and
/// become stale.
#[must_use]
pub fn sample_limit(occupancy: Occupancy, share_percent: u32, idle_weight_percent: u32) -> u32 {
    let staleness_weight = 100_u32.saturating_sub(idle_weight_percent);
    let staleness_reserved =
        occupancy.slots * staleness_weight / (STALENESS_RESERVED_DIVISOR * 100);
    let reserved = occupancy.slots / RESERVED_DIVISOR + staleness_reserved;
    let free = occupancy.slots.saturating_sub(occupancy.callers + reserved);
    let others = occupancy.samples.saturating_sub(occupancy.own);
    let limit = (free * share_percent / 100).max(free.saturating_sub(others));
    limit.max(1)
}
