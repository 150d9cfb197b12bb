//! A target that is leaving stays closed, whatever the lagging copies show.

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

fn listed(id: &str, incarnation: u64, leaving: bool) -> TargetInfo {
    TargetInfo {
        id: id.into(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "dc1".into(),
        kind: kind(),
        incarnation,
        leaving,
        slots: 8,
        checks_fence: true,
    }
}

fn copy(seq: u64, targets: &[TargetInfo]) -> TargetSnapshot {
    TargetSnapshot { seq, targets: targets.to_vec(), peers: Vec::new() }
}

fn rng() -> SmallRng {
    // Each test has a thread of its own, and so always the same numbers.
    thread_local!(static SEED: Cell<u64> = const { Cell::new(1) });
    SEED.set(SEED.get() + 1);
    SmallRng::seed_from_u64(SEED.get())
}

fn is_open(view: &TargetView, id: &str) -> bool {
    view.open().any(|l| l.id == id)
}

#[rstest]
#[case::older_copy_shows_it_live(copy(1, &[listed("e", 1, false)]), false)]
#[case::same_copy_from_another_replica(copy(2, &[listed("e", 1, false)]), false)]
#[case::newer_copy_of_a_replica_that_missed_it(copy(3, &[listed("e", 1, false)]), false)]
#[case::it_came_back_as_a_new_incarnation(copy(3, &[listed("e", 2, false)]), true)]
fn a_leaving_target_comes_back_only_as_a_new_incarnation(
    #[case] next: TargetSnapshot,
    #[case] open: bool,
) {
    let mut view = TargetView::default();
    view.merge(copy(1, &[listed("e", 1, false)]));
    assert!(is_open(&view, "e"));
    view.merge(copy(2, &[listed("e", 1, true)]));
    assert!(!is_open(&view, "e"));
    view.merge(next);
    assert_eq!(is_open(&view, "e"), open);
}

#[test]
fn the_newest_copy_alone_would_bring_a_leaving_target_back() {
    // The naive way takes each copy that it gets for the truth.
    let copies = [copy(2, &[listed("e", 1, true)]), copy(1, &[listed("e", 1, false)])];
    let naive = copies.last().expect("a copy");
    assert!(!naive.targets[0].leaving);
    let mut view = TargetView::default();
    view.merge(copy(1, &[listed("e", 1, false)]));
    for c in copies {
        view.merge(c);
    }
    assert!(!is_open(&view, "e"));
}

#[rstest]
#[case::removed(copy(5, &[]))]
#[case::old_copy_after_removal(copy(3, &[listed("e", 1, false)]))]
fn a_removed_target_is_closed(#[case] next: TargetSnapshot) {
    let mut view = TargetView::default();
    view.merge(copy(1, &[listed("e", 1, false)]));
    view.merge(copy(4, &[]));
    view.merge(next);
    assert!(!is_open(&view, "e"));
}

#[test]
fn an_unknown_target_of_an_old_copy_is_not_opened() {
    let mut view = TargetView::default();
    view.merge(copy(4, &[]));
    view.merge(copy(3, &[listed("e", 1, false)]));
    assert!(!is_open(&view, "e"));
}

#[test]
fn a_peers_word_closes_just_the_incarnation_it_names() {
    let mut view = TargetView::default();
    view.merge(copy(1, &[listed("e", 2, false)]));
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
    fn no_order_of_copies_reopens_a_closed_incarnation(
        copies in proptest::collection::vec(
            (0..6_u64, proptest::option::of((1..4_u64, any::<bool>()))), 1..20,
        ),
    ) {
        let mut view = TargetView::default();
        let mut closed = 0;
        for (seq, target) in copies {
            let targets: Vec<_> =
                target.iter().map(|&(inc, leaving)| listed("e", inc, leaving)).collect();
            view.merge(copy(seq, &targets));
            if let Some(l) = view.all().find(|l| l.leaving) {
                closed = closed.max(l.incarnation);
            }
            prop_assert!(view.open().all(|l| l.incarnation > closed));
        }
    }
}

fn set(view: &TargetView, old: &TargetSet) -> TargetSet {
    old.updated(view.open())
}

#[test]
fn a_choice_made_before_the_closing_is_not_carried_out_after_it() {
    let now = Instant::now();
    let mut view = TargetView::default();
    view.merge(copy(1, &[listed("e", 1, false)]));
    let old = set(&view, &TargetSet::empty(now));
    let Choice::Target(chosen) = old.choose(&TargetQuery::new(&kind()), &mut rng(), now) else {
        panic!("there is a target");
    };
    view.merge(copy(2, &[listed("e", 1, true)]));
    let new = set(&view, &old);
    assert!(chosen.start_request().is_none(), "work began at a target that is leaving");
    assert_eq!(chosen.in_flight(), 0);
    assert!(matches!(new.choose(&TargetQuery::new(&kind()), &mut rng(), now), Choice::NoneOpen));
}

#[test]
fn what_runs_at_a_target_is_still_counted_after_the_list_changed() {
    let now = Instant::now();
    let mut view = TargetView::default();
    view.merge(copy(1, &[listed("e", 1, false)]));
    let old = set(&view, &TargetSet::empty(now));
    let target = Arc::clone(&old.of_kind(&kind())[0]);
    let used = target.start_request().expect("it is open");
    view.merge(copy(2, &[listed("e", 1, false), listed("f", 1, false)]));
    let new = set(&view, &old);
    assert_eq!(new.of_kind(&kind())[0].in_flight(), 1);
    drop(used);
    assert_eq!(new.of_kind(&kind())[0].in_flight(), 0);
}

fn many(count: usize) -> TargetSet {
    let targets: Vec<_> = (0..count).map(|i| listed(&format!("e{i}"), 1, false)).collect();
    let mut view = TargetView::default();
    view.merge(copy(1, &targets));
    set(&view, &TargetSet::empty(Instant::now()))
}

fn chosen(set: &TargetSet, policy: Policy, not: Option<&str>, now: Instant) -> Arc<Target> {
    let kind = kind();
    let not: Vec<_> = not.into_iter().map(Into::into).collect();
    match set.choose(
        &TargetQuery { policy, tried: &not, ..TargetQuery::new(&kind) },
        &mut rng(),
        now,
    ) {
        Choice::Target(target) => target,
        Choice::NoneOpen => panic!("there is a target"),
    }
}

#[test]
fn a_stale_report_makes_a_herd_of_the_least_reported_and_not_of_two_choices() {
    // Forty processes have the same reports: one engine is empty, the others
    // have half their slots in use. Each sends four requests.
    let share_of_first = |policy| {
        let mut first = 0;
        for _ in 0..40 {
            let set = many(10);
            let now = Instant::now();
            for (i, target) in set.of_kind(&kind()).iter().enumerate() {
                let load = if i == 0 { 0 } else { 4 };
                set.record_report(target, load, 0, Duration::ZERO, now);
            }
            for _ in 0..4 {
                let target = chosen(&set, policy, None, now);
                first += u32::from(target.info.id == "e0");
                std::mem::forget(target.start_request());
            }
        }
        first
    };
    // 160 requests: the naive way sends all of them to 8 slots.
    assert_eq!(share_of_first(Policy::LeastReported), 160);
    assert!(share_of_first(Policy::TwoChoices) < 80);
}

#[test]
fn an_engine_that_failed_is_avoided_unless_it_is_the_only_one() {
    let now = Instant::now();
    let set = many(2);
    let bad = Arc::clone(&set.of_kind(&kind())[0]);
    set.record_failure(&bad, now);
    for _ in 0..100 {
        assert_eq!(chosen(&set, Policy::TwoChoices, None, now).info.id, "e1");
    }
    let alone = many(1);
    alone.record_failure(&alone.of_kind(&kind())[0], now);
    alone.set_reachable(&alone.of_kind(&kind())[0], false);
    assert_eq!(chosen(&alone, Policy::TwoChoices, Some("e0"), now).info.id, "e0");
}

#[test]
fn the_more_requests_fail_the_longer_a_target_is_avoided() {
    let now = Instant::now();
    let set = many(2);
    let bad = Arc::clone(&set.of_kind(&kind())[0]);
    let is_tried = |after_ms| {
        let then = now + Duration::from_millis(after_ms);
        (0..100).any(|_| chosen(&set, Policy::TwoChoices, None, then).info.id == "e0")
    };
    let mut at_ms = 0;
    for avoided_ms in [1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 32_000] {
        // Requests that were under way together fail together: they say no
        // more than one of them.
        for _ in 0..20 {
            set.record_failure(&bad, now + Duration::from_millis(at_ms));
        }
        let end_ms = at_ms + avoided_ms;
        assert!(!is_tried(end_ms - 100) && is_tried(end_ms + 100), "{avoided_ms}");
        at_ms = end_ms + 100;
    }
    set.record_failure(&bad, now + Duration::from_millis(at_ms));
    set.record_success(&bad);
    assert!(is_tried(at_ms));
    // One that can't be reached waits for a load report, however long.
    set.set_reachable(&bad, false);
    assert!(!is_tried(100_000));
    set.set_reachable(&bad, true);
    assert!(is_tried(0));
}

#[test]
fn a_slow_engine_is_left_alone_and_tried_again_later() {
    let now = Instant::now();
    let set = many(4);
    for (i, target) in set.of_kind(&kind()).iter().enumerate() {
        let token = Duration::from_millis(if i == 0 { 50 } else { 10 });
        set.record_token_time(target, 10, token * 10, now);
    }
    let is_tried = |after_s| {
        let then = now + Duration::from_secs(after_s);
        (0..400).any(|_| chosen(&set, Policy::TwoChoices, None, then).info.id == "e0")
    };
    let slow = Arc::clone(&set.of_kind(&kind())[0]);
    set.record_token_time(&slow, 10, Duration::from_millis(500), now);
    assert!(slow.is_slow() && !is_tried(19) && is_tried(21));
    // One request at a time finds out whether it has recovered.
    let used = slow.start_request();
    assert!(!is_tried(21));
    drop(used);
    let later = now + Duration::from_secs(21);
    for _ in 0..40 {
        set.record_token_time(&slow, 10, Duration::from_millis(100), later);
    }
    assert!(!slow.is_slow() && is_tried(21));
}

#[test]
fn a_prefix_goes_to_its_engine_until_that_one_is_much_busier() {
    let now = Instant::now();
    let set = many(10);
    let kind = kind();
    let wanted = TargetQuery { affinity: Some(5), ..TargetQuery::new(&kind) };
    let home = |set: &TargetSet| match set.choose(&wanted, &mut rng(), now) {
        Choice::Target(target) => target,
        Choice::NoneOpen => panic!("there is a target"),
    };
    let first = home(&set);
    for _ in 0..20 {
        assert_eq!(home(&set).info.id, first.info.id);
    }
    let used: Vec<_> = (0..8).map(|_| first.start_request()).collect();
    assert_ne!(home(&set).info.id, first.info.id);
    drop(used);
    assert_eq!(home(&set).info.id, first.info.id);
}

#[rstest]
#[case(360, 600)]
fn subsets_are_even_and_bounded(#[case] hosts: usize, #[case] engines: usize) {
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
    // 360 x 64 / 600 = 38.4 users an engine; none is left out or overrun.
    let (least, most) = (users.iter().min(), users.iter().max());
    assert!(least > Some(&15) && most < Some(&70), "{least:?} {most:?}");
}
