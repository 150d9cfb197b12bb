//! A clock that keeps running while the host is suspended.

use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// By how much the wall clocks of hosts differ at most.
pub(crate) const MAX_CLOCK_SKEW_MS: u64 = 6_000;

/// Clock for leases and other periods that other processes rely on, which
/// don't pause while this host is suspended.
pub(crate) trait Clock: Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// The kernel's boot-time clock, as an `Instant`.
///
/// `Instant::now` does not advance while a host is suspended: measured with
/// it, a lease would seem to be held for too long after the host resumes.
#[derive(Debug)]
pub(crate) struct BootClock {
    started: Instant,
    /// Boot time at `started`; `None` if the kernel does not provide it.
    boot_time_at_start: Option<Duration>,
}

impl BootClock {
    pub(crate) fn new() -> Self {
        Self { started: Instant::now(), boot_time_at_start: boot_time() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        let elapsed =
            self.boot_time_at_start.zip(boot_time()).map(|(start, now)| now.saturating_sub(start));
        // Boot time is never behind the monotonic clock, so the later one is
        // right.
        let monotonic = Instant::now();
        elapsed.map_or(monotonic, |elapsed| (self.started + elapsed).max(monotonic))
    }
}

/// Returns the time since boot, including suspensions.
fn boot_time() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

/// Returns the wall-clock time in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a duration in milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
