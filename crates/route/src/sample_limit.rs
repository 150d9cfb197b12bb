//! How many samples a trainer's process may have at the engines at once.

/// Slots kept free for callers at the least: one in this many.
const LEAST_FREE: u32 = 16;
/// Slots kept free on top by a contract that weighs staleness only.
const MORE_FREE: u32 = 16;
const WHOLE_PERCENT: u32 = 100;

/// What is known of the engines of one model, in slots.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// All slots of the open engines.
    pub slots: u32,
    /// Callers' requests there, of all processes.
    pub callers: u32,
    /// Trainers' samples there, of all processes.
    pub samples: u32,
    /// Of those, the ones of this trainer.
    pub own: u32,
}

/// Tells how many samples a trainer may have at the engines in all.
///
/// It has its customer's share of what callers leave free, and all that other
/// trainers don't use of it. What is lent comes back as samples end, since the
/// other trainer's process then sees fewer of them. More slots are kept free
/// where staleness weighs more: what would be started there would be preempted
/// the sooner, and grow old.
#[must_use]
pub fn sample_limit(seen: Occupancy, share_percent: u32, idle_weight_percent: u32) -> u32 {
    let staleness_weight = WHOLE_PERCENT.saturating_sub(idle_weight_percent);
    let more = seen.slots * staleness_weight / (MORE_FREE * WHOLE_PERCENT);
    let kept = seen.slots / LEAST_FREE + more;
    let free = seen.slots.saturating_sub(seen.callers + kept);
    let others = seen.samples.saturating_sub(seen.own);
    let room = (free * share_percent / WHOLE_PERCENT).max(free.saturating_sub(others));
    room.max(1)
}
