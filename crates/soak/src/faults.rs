//! The faults of a run, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Mean time between the starts of two faults. Shorter than most faults last, so
/// that they overlap.
const MEAN_INTERVAL: Duration = Duration::from_millis(900);
const MIN_DURATION: Duration = Duration::from_millis(300);
const MAX_DURATION: Duration = Duration::from_millis(4_500);
const MAX_STORE_DELAY_MS: u64 = 250;
/// Every how many seeds there is a restart behind a long log.
const LONG_LOG_SEEDS: u64 = 4;

/// A fault of a process, or of its connections to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostFault {
    /// The process is killed, and restarted afterwards.
    Kill,
    /// The process is stopped as planned, and restarted afterwards.
    Stop,
    /// The process is suspended.
    Freeze,
    /// Traffic with the store is blocked: requests if the first flag is set,
    /// responses if the second is.
    BlockStore(bool, bool),
    /// Traffic to and from the store is delayed by this many milliseconds.
    DelayStore(u64),
    /// The connections to the store are reset.
    ResetStoreConnections,
    /// The connections to the store stall for good.
    StallStoreConnections,
}

/// A fault of a target, or of the connections to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetFault {
    /// It runs requests and returns errors.
    Error,
    /// It refuses requests.
    Busy,
    /// It runs requests and does not respond.
    Hang,
    /// Its responses carry the ids of other requests.
    WrongId,
    /// Its streams are reset after this many events.
    ResetStreams(u64),
    /// It does not respond to orders, and carries them out late.
    DelayOrders,
    /// All connections to it are reset.
    ResetConnections,
    /// All connections to it stall for good.
    StallConnections,
}

/// A fault of the store, or a record that others write to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// It refuses every call.
    Busy,
    /// It does not respond.
    Hang,
    /// It performs this many appends without a response.
    DropAppendResponses(u32),
    /// It performs this many appends late and without a response.
    DelayAppends(u32),
    /// It reassigns the partitions of all groups.
    Rebalance,
    /// It expires the history of the heartbeats.
    ExpireHeartbeats,
    /// A new configuration is written.
    ChangeConfig,
    /// An old configuration and an invalid one are written.
    WriteStaleConfig,
}

/// A fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Of the process at this index.
    Host(usize, HostFault),
    /// Of all processes at once.
    AllHosts(HostFault),
    /// Of the target at this index.
    Target(usize, TargetFault),
    /// Of the store.
    Store(StoreFault),
    /// The job log becomes long, all links to the store become slow, and all
    /// processes are killed at once.
    LongLogRestart,
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// Its start, from the start of the run.
    pub start: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Draws the faults of a run of this length, with this many hosts and targets.
///
/// One seed in `LONG_LOG_SEEDS` also restarts all processes behind a long log,
/// without another draw: the faults of a seed stay the same.
#[must_use]
pub fn plan_faults(seed: u64, length: Duration, hosts: usize, targets: usize) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut start = MEAN_INTERVAL;
    while start < length {
        let duration = rng.random_range(MIN_DURATION..MAX_DURATION);
        planned.push(PlannedFault { start, duration, fault: draw_fault(&mut rng, hosts, targets) });
        // One fault in five starts together with the next.
        if rng.random_ratio(4, 5) {
            start += MEAN_INTERVAL.mul_f64(rng.random_range(0.2..2.3));
        }
    }
    if seed.is_multiple_of(LONG_LOG_SEEDS) {
        let (start, duration) = (length / 2, MIN_DURATION);
        planned.push(PlannedFault { start, duration, fault: Fault::LongLogRestart });
    }
    planned
}

fn draw_fault(rng: &mut SmallRng, hosts: usize, targets: usize) -> Fault {
    match rng.random_range(0..20) {
        0..=8 => Fault::Host(rng.random_range(0..hosts), draw_host_fault(rng)),
        9 => Fault::AllHosts(if rng.random() { HostFault::Kill } else { HostFault::Freeze }),
        10..=14 => Fault::Target(rng.random_range(0..targets), draw_target_fault(rng)),
        _ => Fault::Store(draw_store_fault(rng)),
    }
}

fn draw_host_fault(rng: &mut SmallRng) -> HostFault {
    match rng.random_range(0..10) {
        0..=1 => HostFault::Kill,
        2..=3 => HostFault::Stop,
        4..=5 => HostFault::Freeze,
        6 => {
            let requests = rng.random();
            HostFault::BlockStore(requests, !requests || rng.random())
        }
        7 => HostFault::DelayStore(rng.random_range(20..MAX_STORE_DELAY_MS)),
        8 => HostFault::ResetStoreConnections,
        _ => HostFault::StallStoreConnections,
    }
}

fn draw_target_fault(rng: &mut SmallRng) -> TargetFault {
    match rng.random_range(0..8) {
        0 => TargetFault::Error,
        1 => TargetFault::Busy,
        2 => TargetFault::Hang,
        3 => TargetFault::WrongId,
        4 => TargetFault::ResetStreams(rng.random_range(0..6)),
        5 => TargetFault::DelayOrders,
        6 => TargetFault::ResetConnections,
        _ => TargetFault::StallConnections,
    }
}

fn draw_store_fault(rng: &mut SmallRng) -> StoreFault {
    match rng.random_range(0..9) {
        0 => StoreFault::Busy,
        1 => StoreFault::Hang,
        2 => StoreFault::DropAppendResponses(rng.random_range(1..6)),
        3 => StoreFault::DelayAppends(rng.random_range(1..6)),
        4 => StoreFault::Rebalance,
        5 => StoreFault::ExpireHeartbeats,
        6 => StoreFault::WriteStaleConfig,
        _ => StoreFault::ChangeConfig,
    }
}
