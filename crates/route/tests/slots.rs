//! Load patterns of work that can wait for a slot: groups that share a prompt,
//! one slow or broken engine, and engines that refuse for a moment.

use std::time::Duration;
use std::time::Instant;

use cassia_route::Choice;
use cassia_route::InFlight;
use cassia_route::SlotPreference;
use cassia_route::TargetInfo;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use cassia_route::TargetSet;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: u32 = 8;

fn kind() -> TargetKind {
    TargetKind::Service { name: "lm".into() }
}

fn set(now: Instant, engines: usize) -> TargetSet {
    let listed = |n: usize| TargetInfo {
        id: format!("e{n}").into(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "z".into(),
        kind: kind(),
        incarnation: 1,
        leaving: false,
        slots: SLOTS,
        checks_fence: false,
    };
    let listed: Vec<_> = (0..engines).map(listed).collect();
    TargetSet::empty(now).updated(&listed)
}

fn take(set: &TargetSet, prefer: Option<&str>, now: Instant) -> Option<InFlight> {
    let mut rng = SmallRng::seed_from_u64(1);
    set.choose_with_free_slot(&kind(), |_| true, SlotPreference::Target(prefer), &mut rng, now)?
        .start_request()
}

/// Pattern: a step's groups of four arrive at once.
#[test]
fn a_step_fills_every_slot_once_and_then_waits() {
    let now = Instant::now();
    let set = set(now, 3);
    let mut used = Vec::new();
    while let Some(slot) = take(&set, None, now) {
        used.push(slot);
    }
    assert_eq!(used.len(), 3 * SLOTS as usize);
    assert!(set.all().all(|target| target.in_flight() == SLOTS));
    used.pop();
    assert!(take(&set, None, now).is_some(), "a slot that is free again is used");
}

/// Pattern: the samples of a group share their prompt.
#[test]
fn a_group_stays_together_while_its_engine_has_slots() {
    let now = Instant::now();
    let set = set(now, 3);
    let first = take(&set, None, now).expect("a slot");
    let home = first.target().info.id.clone();
    let rest: Vec<_> = (0..9).filter_map(|_| take(&set, Some(&home), now)).collect();
    let there = rest.iter().filter(|slot| slot.target().info.id == home).count();
    assert_eq!(there, SLOTS as usize - 1, "until it is full");
    assert_eq!(rest.len(), 9, "and then elsewhere");
}

/// Pattern: another process's step runs on the same engines.
#[test]
fn what_others_run_counts_until_the_report_is_old() {
    let now = Instant::now();
    let set = set(now, 2);
    let busy = set.all().next().expect("one").clone();
    set.record_report(&busy, SLOTS, SLOTS, Duration::ZERO, now);
    let slots: Vec<_> = (0..4).filter_map(|_| take(&set, None, now)).collect();
    assert!(slots.iter().all(|slot| slot.target().info.id != busy.info.id));
    let later = now + Duration::from_secs(10);
    let slots: Vec<_> = (0..8).filter_map(|_| take(&set, None, later)).collect();
    assert!(slots.iter().any(|slot| slot.target().info.id == busy.info.id));
}

/// Pattern: an engine loads weights and refuses what is new.
#[test]
fn an_engine_that_refuses_is_left_alone_for_a_moment() {
    let now = Instant::now();
    let set = set(now, 2);
    let busy = set.all().next().expect("one").clone();
    set.record_busy(&busy, now + Duration::from_millis(150));
    for _ in 0..4 {
        let slot = take(&set, Some(&busy.info.id), now).expect("a slot");
        assert_ne!(slot.target().info.id, busy.info.id);
    }
    let later = now + Duration::from_millis(200);
    let slot = take(&set, Some(&busy.info.id), later).expect("a slot");
    assert_eq!(slot.target().info.id, busy.info.id);
}

/// Pattern: an engine answers a part of its requests with its own failure.
#[test]
fn failures_in_a_row_put_an_engine_in_doubt_and_a_success_clears_it() {
    let now = Instant::now();
    let set = set(now, 2);
    let bad = set.all().next().expect("one").clone();
    let is_used = |now| {
        let used: Vec<_> = (0..16).filter_map(|_| take(&set, None, now)).collect();
        used.iter().any(|slot| slot.target().info.id == bad.info.id)
    };
    set.record_error(&bad, now);
    set.record_error(&bad, now);
    set.record_success(&bad);
    set.record_error(&bad, now);
    assert!(is_used(now), "one failure says as much of the request");
    set.record_error(&bad, now);
    set.record_error(&bad, now);
    assert!(!is_used(now));
    assert!(is_used(now + Duration::from_secs(2)), "it is tried again");
}

/// Pattern: a cut, behind which nothing fails and nothing answers.
#[test]
fn a_target_that_is_overtaken_again_and_again_is_in_doubt_and_an_answer_clears_it() {
    let now = Instant::now();
    let set = set(now, 2);
    let silent = set.all().next().expect("one").clone();
    let is_used = |now| {
        let used: Vec<_> = (0..16).filter_map(|_| take(&set, None, now)).collect();
        used.iter().any(|slot| slot.target().info.id == silent.info.id)
    };
    set.record_unanswered(&silent, now);
    assert!(is_used(now), "one may have been a long request");
    set.record_report(&silent, 0, 0, Duration::ZERO, now);
    set.record_unanswered(&silent, now);
    assert!(is_used(now), "it answered in between");
    set.record_unanswered(&silent, now);
    assert!(!is_used(now));
}

/// Pattern: a whole step's requests fail at an engine in the same moment.
#[test]
fn requests_that_fail_together_count_once() {
    let now = Instant::now();
    let set = set(now, 2);
    let bad = set.all().next().expect("one").clone();
    for _ in 0..SLOTS {
        set.record_failure(&bad, now);
    }
    let later = now + Duration::from_millis(1_100);
    let slot = take(&set, Some(&bad.info.id), later).expect("a slot");
    assert_eq!(slot.target().info.id, bad.info.id, "avoided for one second, not for many");
}

/// Pattern: all engines are in doubt, after a cut that is over.
#[test]
fn if_all_are_in_doubt_each_is_tried_with_one_request() {
    let now = Instant::now();
    let set = set(now, 3);
    for target in set.all() {
        set.record_failure(target, now);
    }
    let slots: Vec<_> = std::iter::from_fn(|| take(&set, None, now)).collect();
    assert_eq!(slots.len(), 3);
}

/// Pattern: a third of the engines is slower for good, and a few items of a
/// step are many times as long as the others.
#[test]
fn what_takes_long_goes_to_the_fastest_engine_that_has_a_slot() {
    let now = Instant::now();
    let set = set(now, 3);
    let targets: Vec<_> = set.all().cloned().collect();
    for (target, pace_ms) in targets.iter().zip([44, 34, 45]) {
        set.record_token_time(target, 4, Duration::from_millis(4 * pace_ms), now);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fastest = || {
        let slot =
            set.choose_with_free_slot(&kind(), |_| true, SlotPreference::Fastest, &mut rng, now);
        slot.and_then(|target| target.start_request())
    };
    let used: Vec<_> = (0..9).filter_map(|_| fastest()).collect();
    let there = used.iter().filter(|slot| slot.target().info.id == "e1").count();
    assert_eq!(there, SLOTS as usize, "as long as it has slots");
    assert_eq!(used[8].target().info.id, "e0", "then the next fastest");
    assert!(targets[1].is_faster_than(&targets[0]) && !targets[0].is_faster_than(&targets[2]));
}

/// Pattern: data centres are cut off from each other; each has one target.
#[test]
fn a_request_stays_in_its_data_centre_unless_the_target_there_is_much_busier() {
    let now = Instant::now();
    let listed = |n: usize| TargetInfo {
        id: format!("e{n}").into(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: format!("z{n}").into(),
        kind: kind(),
        incarnation: 1,
        leaving: false,
        slots: SLOTS,
        checks_fence: false,
    };
    let listed: Vec<_> = (0..3).map(listed).collect();
    let set = TargetSet::empty(now).updated(&listed);
    let mut rng = SmallRng::seed_from_u64(1);
    let kind = kind();
    let mut choose = |not: Option<&str>| {
        let not: Vec<_> = not.into_iter().map(Into::into).collect();
        let wanted = TargetQuery {
            tried: &not,
            preferred_data_centre: Some("z1"),
            ..TargetQuery::new(&kind)
        };
        match set.choose(&wanted, &mut rng, now) {
            Choice::Target(target) => target,
            Choice::NoneOpen => panic!("all are open"),
        }
    };
    for _ in 0..20 {
        assert_eq!(choose(None).info.id, "e1");
        assert_eq!(choose(Some("e0")).info.id, "e1", "also for a second try");
    }
    assert_ne!(choose(Some("e1")).info.id, "e1");
    let target = choose(None);
    let _busy: Vec<_> = (0..SLOTS).filter_map(|_| target.start_request()).collect();
    assert_ne!(choose(None).info.id, "e1", "others have slots");
}
