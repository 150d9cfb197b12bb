//! A clock that goes on while the host is suspended.

use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Tells the time for what must be counted through a suspension: leases and
/// what else other processes rely on.
pub(crate) trait Clock: Debug + Send + Sync {
    /// This moment.
    fn now(&self) -> Instant;
}

/// The kernel's clock since boot, as moments on the standard type's scale.
///
/// `Instant::now` stands still while a host is suspended; a lease that is
/// counted with it is believed for too long after the host wakes up.
#[derive(Debug)]
pub(crate) struct BootClock {
    started: Instant,
    /// The clock's reading at `started`; none if the kernel has none.
    started_at: Option<Duration>,
}

impl BootClock {
    pub(crate) fn new() -> Self {
        Self { started: Instant::now(), started_at: reading() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        let passed = self.started_at.zip(reading()).map(|(start, now)| now.saturating_sub(start));
        // The kernel's clock is never behind: the later of the two counts.
        let steady = Instant::now();
        passed.map_or(steady, |passed| (self.started + passed).max(steady))
    }
}

fn reading() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

/// The time of day in milliseconds.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
