//! What a host takes on in a planned stop.

use std::time::Duration;
use std::time::Instant;

use cassia_admission::PlannedStop;
use cassia_admission::StopDecision;
use rstest::rstest;

const LIMIT_MS: u64 = 7_000;
/// The load balancer asks once a second and drops a host after two misses.
const BALANCER_MS: u64 = 2_000;
/// A request that is sent up to here may be cut off if it lasts to the end.
const EXCUSED_MS: u64 = 3_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that came late in a stop was taken whatever time it could need, and cut
/// off when the process ended.
#[rstest]
#[case::short_before_drain(500, Some(1_500), StopDecision::Take)]
#[case::long_before_drain(500, Some(10_000), StopDecision::Take)]
#[case::unlimited_before_drain(500, None, StopDecision::Take)]
#[case::short_while_draining(3_300, Some(1_500), StopDecision::Take)]
#[case::long_while_draining(3_300, Some(10_000), StopDecision::Refuse)]
#[case::unlimited_while_draining(3_300, None, StopDecision::Refuse)]
#[case::short_near_the_end(6_000, Some(1_500), StopDecision::Refuse)]
#[case::very_short_near_the_end(6_000, Some(500), StopDecision::Take)]
#[case::after_the_end(7_500, Some(1), StopDecision::Refuse)]
fn a_request_is_taken_if_it_can_end(
    #[case] at_ms: u64,
    #[case] limit_ms: Option<u64>,
    #[case] expected: StopDecision,
) {
    let started = Instant::now();
    let stop = PlannedStop::new(started, ms(LIMIT_MS));
    let now = started + ms(at_ms);
    assert_eq!(stop.decide(limit_ms.map(|limit| now + ms(limit)), now), expected);
}

/// A connection that came after the stop had begun was drained by its own age, so that it
/// took requests until the end. Whenever it comes, what it takes from the moment on from
/// which a cut request has no excuse ends in time.
#[test]
fn no_request_is_taken_that_the_end_can_cut_off() {
    let started = Instant::now();
    let stop = PlannedStop::new(started, ms(LIMIT_MS));
    assert!(stop.drains_at() >= started + ms(BALANCER_MS));
    assert!(stop.drains_at() <= started + ms(EXCUSED_MS));
    for at_ms in (0..LIMIT_MS).step_by(10) {
        let at = started + ms(at_ms);
        for limit_ms in [20, 200, 1_500, 3_000, 10_000] {
            let end = at + ms(limit_ms);
            let is_taken = stop.decide(Some(end), at) == StopDecision::Take;
            let is_excused = at < started + ms(EXCUSED_MS) && end > stop.ends_at();
            assert!(!is_taken || is_excused || end < stop.ends_at(), "{at_ms} {limit_ms}");
        }
        assert!(stop.closes_at(at) <= stop.ends_at(), "a connection that came at {at_ms}");
    }
}

/// Requests on their way when a connection was accepted are still served.
#[rstest]
#[case::accepted_before_the_stop(0, 2_300)]
#[case::accepted_early(1_000, 2_300)]
#[case::accepted_while_draining(2_200, 3_200)]
#[case::accepted_last(6_500, 7_000)]
fn a_new_connection_has_time_for_its_first_request(
    #[case] accepted_ms: u64,
    #[case] closed_ms: u64,
) {
    let started = Instant::now();
    let stop = PlannedStop::new(started, ms(LIMIT_MS));
    assert_eq!(stop.closes_at(started + ms(accepted_ms)), started + ms(closed_ms));
}

/// A limit below the load balancer's lag leaves no time to serve on.
#[test]
fn a_short_limit_is_kept() {
    let started = Instant::now();
    let stop = PlannedStop::new(started, ms(500));
    assert!(stop.drains_at() <= stop.ends_at());
    assert!(stop.accepts_until() <= stop.ends_at());
    assert!(stop.answers_at() <= stop.ends_at());
}
