//! Old, repeated, foreign and missing heartbeats don't bring a target back
//! that is leaving or gone.

use std::time::Duration;
use std::time::Instant;

use cassia_route::Heartbeat;
use cassia_route::TargetRegistry;
use cassia_route::Update;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn beat(started_ms: u64, seq: u64, leaving: bool) -> Heartbeat {
    Heartbeat {
        id: "t".into(),
        service: "s".into(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "z".into(),
        slots: 4,
        leaving,
        started_ms,
        seq,
        versions: vec![("m".into(), 1)],
    }
}

fn is_open(roster: &TargetRegistry, now: Instant) -> bool {
    roster.present(now).any(|beat| !beat.leaving)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// The newest word of the newest incarnation counts, in whatever order
    /// heartbeats are read.
    #[test]
    fn an_incarnation_that_is_leaving_is_never_open_again(
        beats in prop::collection::vec((1_u64..4, 0_u64..6, any::<bool>()), 1..40),
    ) {
        let now = Instant::now();
        let mut roster = TargetRegistry::default();
        let mut newest = (0, 0);
        let mut left = None;
        for (started, seq, leaving) in beats {
            roster.apply(beat(started, seq, leaving));
            if (started, seq) > newest || newest == (0, 0) {
                newest = (started, seq);
                if leaving {
                    left = Some(started);
                }
            }
            let here = roster.present(now).next().expect("it is here");
            prop_assert_eq!((here.started_ms, here.seq), newest);
            prop_assert!(left != Some(newest.0) || !is_open(&roster, now));
        }
    }
}

#[rstest]
#[case::same_again(1, 1, Update::Unchanged)]
#[case::older(1, 0, Update::Unchanged)]
#[case::only_the_count(1, 2, Update::Unchanged)]
#[case::restarted(2, 0, Update::Changed)]
fn a_heartbeat_after_another(#[case] started: u64, #[case] seq: u64, #[case] expected: Update) {
    let mut roster = TargetRegistry::default();
    assert_eq!(roster.apply(beat(1, 1, false)), Update::Changed);
    assert_eq!(roster.apply(beat(started, seq, false)), expected);
}

#[test]
fn an_old_heartbeat_of_a_target_that_is_gone_is_no_sign_of_life() {
    let now = Instant::now();
    let mut roster = TargetRegistry::default();
    roster.apply(beat(1, 7, false));
    roster.remove("t", now);
    assert!(!is_open(&roster, now));
    roster.apply(beat(1, 6, false));
    roster.apply(beat(1, 7, false));
    assert!(!is_open(&roster, now), "ghosts");
    roster.apply(beat(1, 8, false));
    assert!(is_open(&roster, now), "it lives after all");
}

#[test]
fn what_lapsed_while_the_list_was_away_has_time_to_come_back() {
    let now = Instant::now();
    let mut roster = TargetRegistry::default();
    roster.apply(beat(1, 1, false));
    roster.list_reconnected(now);
    roster.remove("t", now);
    assert!(is_open(&roster, now));
    assert!(roster.has_pending_removals(now));
    // Two seconds after the list is back it counts as gone.
    assert!(!is_open(&roster, now + Duration::from_secs(2)));
    roster.apply(beat(1, 2, false));
    assert!(is_open(&roster, now + Duration::from_secs(2)));
}

#[test]
fn a_whole_new_copy_removes_what_it_lacks() {
    let now = Instant::now();
    let mut roster = TargetRegistry::default();
    roster.apply(beat(1, 1, false));
    assert_eq!(roster.retain_only(&["t".into()], now), Update::Unchanged);
    assert_eq!(roster.retain_only(&[], now), Update::Changed);
    assert!(!is_open(&roster, now));
    roster.prune(now + Duration::from_mins(10));
    assert_eq!(roster.apply(beat(1, 1, false)), Update::Changed);
}
