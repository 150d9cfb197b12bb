//! All hosts start at the same moment, and each reads the whole list of
//! targets from a store that takes three seconds to serve them all. With a
//! fixed timeout below that, every read times out, again and again.

use std::time::Duration;

use cassia_node::ReadBackoff;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const HOSTS: usize = 300;
const STEP_MS: u32 = 10;
const FIRST_TIMEOUT: Duration = Duration::from_millis(700);
const MAX_TIMEOUT: Duration = Duration::from_secs(5);
const INTERVAL: Duration = Duration::from_millis(300);
/// The time that the store takes to serve one host alone.
const READ_MS: f64 = 10.0;

#[derive(Clone)]
enum HostState {
    Waiting { until: u64 },
    Reading { since: u64, left_ms: f64 },
    Done,
}

/// Simulates hosts that share the store's capacity evenly while they read;
/// returns the time in milliseconds at which the last read succeeds, if that
/// is within 30 seconds.
fn simulate(with_backoff: bool, hosts: usize, seed: u64) -> Option<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let backoff = ReadBackoff::new(FIRST_TIMEOUT, MAX_TIMEOUT);
    let mut all = vec![(backoff, HostState::Waiting { until: 0 }); hosts];
    for step in 0..3_000_u32 {
        let now = u64::from(step * STEP_MS);
        let reading = all.iter().filter(|(_, s)| matches!(s, HostState::Reading { .. })).count();
        let served_ms = f64::from(STEP_MS) / f64::from(u32::try_from(reading.max(1)).ok()?);
        for (backoff, state) in &mut all {
            *state = match state.clone() {
                HostState::Waiting { until } if now >= until => {
                    HostState::Reading { since: now, left_ms: READ_MS }
                }
                HostState::Reading { left_ms, .. } if left_ms <= served_ms => HostState::Done,
                HostState::Reading { since, .. } if now - since >= millis(backoff.timeout()) => {
                    if with_backoff {
                        backoff.record_failure();
                    }
                    let delay = backoff.delay(INTERVAL, rng.random());
                    HostState::Waiting { until: now + millis(delay) }
                }
                HostState::Reading { since, left_ms } => {
                    HostState::Reading { since, left_ms: left_ms - served_ms }
                }
                other => other,
            };
        }
        if all.iter().all(|(_, state)| matches!(state, HostState::Done)) {
            return Some(now);
        }
    }
    None
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[test]
fn reads_never_succeed_with_a_fixed_timeout_that_is_too_short() {
    assert_eq!(simulate(false, HOSTS, 1), None);
}

#[test]
fn all_reads_succeed_within_seconds_with_backoff() {
    for seed in 0..20 {
        let done = simulate(true, HOSTS, seed).expect("done");
        assert!(done < 8_000, "seed {seed}: {done} ms");
    }
}

#[test]
fn backoff_does_not_slow_down_a_few_hosts() {
    let fixed = simulate(false, HOSTS / 8, 1);
    assert_eq!(simulate(true, HOSTS / 8, 1), fixed);
}

#[test]
fn a_success_resets_the_timeout_and_delay() {
    let mut backoff = ReadBackoff::new(FIRST_TIMEOUT, MAX_TIMEOUT);
    for _ in 0..40 {
        backoff.record_failure();
    }
    assert_eq!(backoff.timeout(), MAX_TIMEOUT);
    assert!(backoff.delay(INTERVAL, 1.0) <= INTERVAL * 8);
    backoff.record_success();
    assert_eq!((backoff.timeout(), backoff.delay(INTERVAL, 1.0)), (FIRST_TIMEOUT, INTERVAL));
}
