//! Pacing of one host's requests at targets that state a rate limit.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_route::Choice;
use cassia_route::Target;
use cassia_route::TargetInfo;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use cassia_route::TargetSet;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn kind() -> TargetKind {
    TargetKind::Service { name: "intake".into() }
}

fn set(now: Instant, targets: usize) -> TargetSet {
    let info = |n: usize| TargetInfo {
        id: format!("t{n}").into(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "z".into(),
        software: "v1".into(),
        kind: kind(),
        incarnation: 1,
        leaving: false,
        slots: 6,
        checks_fence: false,
    };
    let infos: Vec<_> = (0..targets).map(info).collect();
    TargetSet::empty(now).updated(&infos)
}

fn choose(set: &TargetSet, now: Instant) -> Choice {
    set.choose(&TargetQuery::new(&kind()), &mut SmallRng::seed_from_u64(1), now)
}

/// Sends as many requests as possible for some time; returns how many.
fn send_all(set: &TargetSet, target: &Arc<Target>, from: Instant, time: Duration) -> u32 {
    let millis = u32::try_from(time.as_millis()).expect("a short time");
    let starts = (0..millis).filter(|ms| {
        set.start_request(target, from + Duration::from_millis(u64::from(*ms))).is_some()
    });
    u32::try_from(starts.count()).expect("few requests")
}

/// Pattern: a target states a limit while the other one has none.
#[test]
fn other_targets_take_the_requests_until_the_share_is_known() {
    let now = Instant::now();
    let set = set(now, 2);
    let limited = Arc::clone(&set.of_kind(&kind())[0]);
    assert!(set.record_rate_limit(&limited, Some(5.0), now));
    for _ in 0..20 {
        let Choice::Target(chosen) = choose(&set, now) else { panic!("one target has no limit") };
        assert_eq!(chosen.info.id, "t1");
    }
    assert!(set.start_request(&limited, now).is_none());
}

/// Pattern: all targets are limited, so the rest must be refused at once.
#[test]
fn no_target_is_chosen_once_the_shares_are_used() {
    let now = Instant::now();
    let set = set(now, 2);
    for target in set.all() {
        set.record_rate_limit(target, Some(5.0), now);
        set.set_rate_share(target, 2.0, 1.0, 0.0, now);
    }
    for _ in 0..2 {
        let Choice::Target(target) = choose(&set, now) else { panic!("a share is left") };
        assert!(set.start_request(&target, now).is_some());
    }
    assert!(matches!(choose(&set, now), Choice::RateLimited));
    let later = now + Duration::from_millis(500);
    assert!(matches!(choose(&set, later), Choice::Target(_)));
}

/// Pattern: reward calls that are ready at the same time after a pause.
#[rstest]
#[case(5.0, 20)]
#[case(0.5, 2)]
fn a_burst_after_a_pause_is_spread_over_time(#[case] share: f64, #[case] expected: u32) {
    let now = Instant::now();
    let set = set(now, 1);
    let target = Arc::clone(&set.of_kind(&kind())[0]);
    set.record_rate_limit(&target, Some(10.0), now);
    set.set_rate_share(&target, share, 1.0, 0.0, now);
    let after_pause = now + Duration::from_secs(30);
    let sent = send_all(&set, &target, after_pause, Duration::from_secs(4));
    assert!(sent.abs_diff(expected) <= 1, "{sent}");
}

/// Pattern: the items of a job begin together, after a pause.
#[test]
fn a_burst_after_a_pause_is_sent_at_once_as_far_as_it_is_allowed() {
    let now = Instant::now();
    let set = set(now, 1);
    let target = Arc::clone(&set.of_kind(&kind())[0]);
    set.record_rate_limit(&target, Some(10.0), now);
    set.set_rate_share(&target, 5.0, 8.0, 0.0, now);
    let at_first = send_all(&set, &target, now, Duration::from_millis(100));
    assert!(at_first <= 1, "a new share begins without a burst: {at_first}");
    let after_pause = now + Duration::from_secs(30);
    let burst = send_all(&set, &target, after_pause, Duration::from_millis(100));
    assert!((8..=9).contains(&burst), "{burst}");
    let later = after_pause + Duration::from_millis(100);
    let rest = send_all(&set, &target, later, Duration::from_secs(4));
    assert!((19..=21).contains(&rest), "{rest}");
}

/// Pattern: the share changes each half second while requests wait.
#[test]
fn a_changing_share_is_kept_on_average() {
    let now = Instant::now();
    let set = set(now, 1);
    let target = Arc::clone(&set.of_kind(&kind())[0]);
    set.record_rate_limit(&target, Some(10.0), now);
    let mut count = 0;
    for round in 0..40_u32 {
        let at = now + Duration::from_millis(500) * round;
        set.set_rate_share(&target, if round % 2 == 0 { 2.0 } else { 4.0 }, 1.0, 0.5, at);
        count += send_all(&set, &target, at, Duration::from_millis(500));
    }
    assert!((50..=70).contains(&count), "{count} in 20 s");
}

#[test]
fn a_response_without_a_limit_ends_it() {
    let now = Instant::now();
    let set = set(now, 1);
    let target = Arc::clone(&set.of_kind(&kind())[0]);
    set.record_rate_limit(&target, Some(5.0), now);
    assert!(matches!(choose(&set, now), Choice::RateLimited));
    assert!(set.record_rate_limit(&target, None, now));
    assert!(!set.record_rate_limit(&target, None, now), "that is no news");
    assert!(matches!(choose(&set, now), Choice::Target(_)));
}

/// A restarted target has no limit until it states one.
#[test]
fn a_new_incarnation_has_no_limit() {
    let now = Instant::now();
    let old = set(now, 1);
    let target = &old.of_kind(&kind())[0];
    old.record_rate_limit(target, Some(5.0), now);
    let info = TargetInfo { incarnation: 2, ..target.info.clone() };
    let new = old.updated([&info]);
    assert!(matches!(choose(&new, now), Choice::Target(_)));
}
