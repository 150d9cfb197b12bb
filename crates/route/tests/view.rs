//! The merge of lagging list snapshots, and the choice of a target.
//!
//! A target that is leaving stays closed, whatever older snapshots contain.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_route::Choice;
use cassia_route::Policy;
use cassia_route::Target;
use cassia_route::TargetInfo;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use cassia_route::TargetSet;
use cassia_route::TargetSnapshot;
use cassia_route::TargetView;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn kind() -> TargetKind {
    TargetKind::Engine { model: "m".into() }
}

fn info(id: &str, incarnation: u64, leaving: bool) -> TargetInfo {
    TargetInfo {
        id: id.into(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "dc1".into(),
        software: "v1".into(),
        kind: kind(),
        incarnation,
        leaving,
        slots: 8,
        checks_fence: true,
    }
}

fn snapshot(seq: u64, targets: &[TargetInfo]) -> TargetSnapshot {
    TargetSnapshot { seq, targets: targets.to_vec(), peers: Vec::new() }
}

fn rng() -> SmallRng {
    // Each test runs in its own thread, so its seeds are always the same.
    thread_local!(static SEED: Cell<u64> = const { Cell::new(1) });
    SEED.set(SEED.get() + 1);
    SmallRng::seed_from_u64(SEED.get())
}

fn is_open(view: &TargetView, id: &str) -> bool {
    view.open_targets().any(|t| t.id == id)
}

#[rstest]
#[case::older_snapshot_has_it_open(snapshot(1, &[info("e", 1, false)]), false)]
#[case::same_seq_from_another_replica(snapshot(2, &[info("e", 1, false)]), false)]
#[case::newer_snapshot_of_a_replica_that_missed_it(snapshot(3, &[info("e", 1, false)]), false)]
#[case::new_incarnation(snapshot(3, &[info("e", 2, false)]), true)]
fn a_leaving_target_reopens_only_as_a_new_incarnation(
    #[case] next: TargetSnapshot,
    #[case] open: bool,
) {
    let mut view = TargetView::default();
    view.merge(snapshot(1, &[info("e", 1, false)]));
    assert!(is_open(&view, "e"));
    view.merge(snapshot(2, &[info("e", 1, true)]));
    assert!(!is_open(&view, "e"));
    view.merge(next);
    assert_eq!(is_open(&view, "e"), open);
}

#[test]
fn replacing_the_view_by_each_snapshot_would_reopen_a_leaving_target() {
    // A naive view would be replaced by each snapshot that arrives.
    let snapshots = [snapshot(2, &[info("e", 1, true)]), snapshot(1, &[info("e", 1, false)])];
    let naive = snapshots.last().expect("a snapshot");
    assert!(!naive.targets[0].leaving);
    let mut view = TargetView::default();
    view.merge(snapshot(1, &[info("e", 1, false)]));
    for s in snapshots {
        view.merge(s);
    }
    assert!(!is_open(&view, "e"));
}

#[rstest]
#[case::removed(snapshot(5, &[]))]
#[case::old_snapshot_after_removal(snapshot(3, &[info("e", 1, false)]))]
fn a_removed_target_is_closed(#[case] next: TargetSnapshot) {
    let mut view = TargetView::default();
    view.merge(snapshot(1, &[info("e", 1, false)]));
    view.merge(snapshot(4, &[]));
    view.merge(next);
    assert!(!is_open(&view, "e"));
}

#[test]
fn an_unknown_target_in_an_old_snapshot_is_not_opened() {
    let mut view = TargetView::default();
    view.merge(snapshot(4, &[]));
    view.merge(snapshot(3, &[info("e", 1, false)]));
    assert!(!is_open(&view, "e"));
}

#[test]
fn a_peer_report_closes_only_the_incarnation_in_it() {
    let mut view = TargetView::default();
    view.merge(snapshot(1, &[info("e", 2, false)]));
    assert!(!view.mark_leaving("e", 1));
    assert!(is_open(&view, "e"));
    assert!(view.mark_leaving("e", 2));
    assert!(!is_open(&view, "e"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(19),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_order_of_snapshots_reopens_a_closed_incarnation(
        snapshots in proptest::collection::vec(
            (0..6_u64, proptest::option::of((1..4_u64, any::<bool>()))), 1..20,
        ),
    ) {
        let mut view = TargetView::default();
        let mut closed = 0;
        for (seq, target) in snapshots {
            let targets: Vec<_> = target
                .iter()
                .map(|&(incarnation, leaving)| info("e", incarnation, leaving))
                .collect();
            view.merge(snapshot(seq, &targets));
            if let Some(t) = view.all().find(|t| t.leaving) {
                closed = closed.max(t.incarnation);
            }
            prop_assert!(view.open_targets().all(|t| t.incarnation > closed));
        }
    }
}

fn set(view: &TargetView, old: &TargetSet) -> TargetSet {
    old.updated(view.open_targets())
}

#[test]
fn a_target_chosen_before_it_closed_accepts_no_request_after() {
    let now = Instant::now();
    let mut view = TargetView::default();
    view.merge(snapshot(1, &[info("e", 1, false)]));
    let old = set(&view, &TargetSet::empty(now));
    let Choice::Target(chosen) = old.choose(&TargetQuery::new(&kind()), &mut rng(), now) else {
        panic!("there is a target");
    };
    view.merge(snapshot(2, &[info("e", 1, true)]));
    let new = set(&view, &old);
    assert!(chosen.start_request().is_none(), "a request started at a leaving target");
    assert_eq!(chosen.in_flight(), 0);
    assert!(matches!(new.choose(&TargetQuery::new(&kind()), &mut rng(), now), Choice::NoneOpen));
}

#[test]
fn requests_in_flight_are_still_counted_after_the_list_changed() {
    let now = Instant::now();
    let mut view = TargetView::default();
    view.merge(snapshot(1, &[info("e", 1, false)]));
    let old = set(&view, &TargetSet::empty(now));
    let target = Arc::clone(&old.of_kind(&kind())[0]);
    let in_flight = target.start_request().expect("the target is open");
    view.merge(snapshot(2, &[info("e", 1, false), info("f", 1, false)]));
    let new = set(&view, &old);
    assert_eq!(new.of_kind(&kind())[0].in_flight(), 1);
    drop(in_flight);
    assert_eq!(new.of_kind(&kind())[0].in_flight(), 0);
}

fn set_of(count: usize) -> TargetSet {
    let targets: Vec<_> = (0..count).map(|i| info(&format!("e{i}"), 1, false)).collect();
    let mut view = TargetView::default();
    view.merge(snapshot(1, &targets));
    set(&view, &TargetSet::empty(Instant::now()))
}

fn choose(set: &TargetSet, policy: Policy, tried: Option<&str>, now: Instant) -> Arc<Target> {
    let kind = kind();
    let tried: Vec<_> = tried.into_iter().map(Into::into).collect();
    match set.choose(
        &TargetQuery { policy, tried: &tried, ..TargetQuery::new(&kind) },
        &mut rng(),
        now,
    ) {
        Choice::Target(target) => target,
        Choice::NoneOpen | Choice::RateLimited => panic!("there is a target"),
    }
}

/// Guards against ORDER: a stream that goes on at another version of the software
/// since no target of its own is free or untried.
#[rstest]
#[case::untried(&[], Some("e0"))]
#[case::tried(&["e0"], Some("e0"))]
#[case::closed(&["closed"], None)]
fn only_targets_with_the_software_are_chosen(
    #[case] tried: &[&str],
    #[case] expected: Option<&str>,
) {
    let now = Instant::now();
    let targets: Vec<_> = (0..6)
        .map(|i| {
            let software = if i == 0 { "v1" } else { "v2" };
            TargetInfo { software: software.into(), ..info(&format!("e{i}"), 1, false) }
        })
        .collect();
    let set = TargetSet::empty(now).updated(&targets);
    if tried.contains(&"closed") {
        set.all().filter(|target| target.info.software == "v1").for_each(|target| target.close());
    }
    let tried: Vec<_> = tried.iter().map(|id| (*id).into()).collect();
    let kind = kind();
    let query = TargetQuery { tried: &tried, software: Some("v1"), ..TargetQuery::new(&kind) };
    for _ in 0..50 {
        let chosen = match set.choose(&query, &mut rng(), now) {
            Choice::Target(target) => Some(target.info.id.clone()),
            Choice::NoneOpen => None,
            Choice::RateLimited => panic!("no target is limited"),
        };
        assert_eq!(chosen.as_deref(), expected);
    }
}

#[test]
fn a_stale_report_causes_herding_with_least_reported_but_not_two_choices() {
    // Forty processes have the same reports: one engine is idle, the others
    // have half their slots in use. Each process sends four requests.
    let requests_at_first = |policy| {
        let mut count = 0;
        for _ in 0..40 {
            let set = set_of(10);
            let now = Instant::now();
            for (i, target) in set.of_kind(&kind()).iter().enumerate() {
                let load = if i == 0 { 0 } else { 4 };
                set.record_report(target, load, 0, Duration::ZERO, now);
            }
            for _ in 0..4 {
                let target = choose(&set, policy, None, now);
                count += u32::from(target.info.id == "e0");
                std::mem::forget(target.start_request());
            }
        }
        count
    };
    // The least-reported policy sends all 160 requests to the 8 slots of one
    // engine.
    assert_eq!(requests_at_first(Policy::LeastReported), 160);
    assert!(requests_at_first(Policy::TwoChoices) < 80);
}

#[test]
fn an_engine_that_failed_is_avoided_unless_it_is_the_only_one() {
    let now = Instant::now();
    let set = set_of(2);
    let failing = Arc::clone(&set.of_kind(&kind())[0]);
    set.record_failure(&failing, now);
    for _ in 0..100 {
        assert_eq!(choose(&set, Policy::TwoChoices, None, now).info.id, "e1");
    }
    let alone = set_of(1);
    alone.record_failure(&alone.of_kind(&kind())[0], now);
    alone.set_reachable(&alone.of_kind(&kind())[0], false);
    assert_eq!(choose(&alone, Policy::TwoChoices, Some("e0"), now).info.id, "e0");
}

#[test]
fn the_backoff_doubles_with_each_failure() {
    let now = Instant::now();
    let set = set_of(2);
    let failing = Arc::clone(&set.of_kind(&kind())[0]);
    let is_tried = |after_ms| {
        let then = now + Duration::from_millis(after_ms);
        (0..100).any(|_| choose(&set, Policy::TwoChoices, None, then).info.id == "e0")
    };
    let mut at_ms = 0;
    for avoided_ms in [1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 32_000] {
        // Failures during the backoff are of requests sent earlier, and don't
        // count.
        for _ in 0..20 {
            set.record_failure(&failing, now + Duration::from_millis(at_ms));
        }
        let end_ms = at_ms + avoided_ms;
        assert!(!is_tried(end_ms - 100) && is_tried(end_ms + 100), "{avoided_ms}");
        at_ms = end_ms + 100;
    }
    set.record_failure(&failing, now + Duration::from_millis(at_ms));
    set.record_success(&failing);
    assert!(is_tried(at_ms));
    // An unreachable target is avoided until a load report arrives.
    set.set_reachable(&failing, false);
    assert!(!is_tried(100_000));
    set.set_reachable(&failing, true);
    assert!(is_tried(0));
}

#[test]
fn a_slow_engine_is_avoided_and_probed_later() {
    let now = Instant::now();
    let set = set_of(4);
    for (i, target) in set.of_kind(&kind()).iter().enumerate() {
        let token_time = Duration::from_millis(if i == 0 { 50 } else { 10 });
        set.record_token_time(target, 10, token_time * 10, now);
    }
    let is_tried = |after_s| {
        let then = now + Duration::from_secs(after_s);
        (0..400).any(|_| choose(&set, Policy::TwoChoices, None, then).info.id == "e0")
    };
    let slow = Arc::clone(&set.of_kind(&kind())[0]);
    set.record_token_time(&slow, 10, Duration::from_millis(500), now);
    assert!(slow.is_slow() && !is_tried(19) && is_tried(21));
    // It is probed with one request at a time.
    let in_flight = slow.start_request();
    assert!(!is_tried(21));
    drop(in_flight);
    let later = now + Duration::from_secs(21);
    for _ in 0..40 {
        set.record_token_time(&slow, 10, Duration::from_millis(100), later);
    }
    assert!(!slow.is_slow() && is_tried(21));
}

#[test]
fn a_prefix_goes_to_the_same_engine_until_that_one_is_much_busier() {
    let now = Instant::now();
    let set = set_of(10);
    let kind = kind();
    let query = TargetQuery { affinity: Some(5), ..TargetQuery::new(&kind) };
    let choose_by_prefix = |set: &TargetSet| match set.choose(&query, &mut rng(), now) {
        Choice::Target(target) => target,
        Choice::NoneOpen | Choice::RateLimited => panic!("there is a target"),
    };
    let first = choose_by_prefix(&set);
    for _ in 0..20 {
        assert_eq!(choose_by_prefix(&set).info.id, first.info.id);
    }
    let in_flight: Vec<_> = (0..8).map(|_| first.start_request()).collect();
    assert_ne!(choose_by_prefix(&set).info.id, first.info.id);
    drop(in_flight);
    assert_eq!(choose_by_prefix(&set).info.id, first.info.id);
}

#[rstest]
#[case(360, 600)]
fn subsets_are_spread_evenly(#[case] hosts: usize, #[case] engines: usize) {
    let names: Vec<String> = (0..engines).map(|i| format!("e{i}")).collect();
    let mut users = vec![0_u32; engines];
    for host in 0..hosts {
        let items: Vec<(usize, &String)> = names.iter().enumerate().collect();
        let picked = cassia_route::subset(&format!("h{host}/entry"), items, 64, |item| item.1);
        assert_eq!(picked.len(), 64);
        for (i, _) in picked {
            users[i] += 1;
        }
    }
    // The mean is 360 x 64 / 600 = 38.4 users per engine; none is unused or
    // overloaded.
    let (min, max) = (users.iter().min(), users.iter().max());
    assert!(min > Some(&15) && max < Some(&70), "{min:?} {max:?}");
}
