//! Engines load a named version a few at a time, each once.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cassia_orders::EngineState;
use cassia_orders::LoadTracker;
use cassia_orders::max_loads;
use cassia_orders::max_loads_per_model;
use rstest::rstest;

fn engine(n: usize, version: u64) -> EngineState {
    EngineState {
        id: format!("e{n:02}").into(),
        started_ms: 1,
        version: Some(version),
        leaving: false,
        requests: 0,
    }
}

/// What is due at a moment.
fn due(
    swaps: &mut LoadTracker,
    engines: &[EngineState],
    wanted: u64,
    most: usize,
    now: Instant,
) -> Vec<cassia_ids::TargetId> {
    swaps.remove_finished(engines, now);
    swaps.due(engines, wanted).into_iter().take(most).map(|engine| engine.id.clone()).collect()
}

/// Plays a change of version on engines that take a fixed time to load; gives
/// the loads and the time until all are done.
fn play(count: usize, load: Duration) -> (usize, Duration) {
    let begun = Instant::now();
    let mut engines: Vec<_> = (0..count).map(|n| engine(n, 1)).collect();
    let (mut swaps, mut loads, mut under_way) = (LoadTracker::default(), 0, Vec::new());
    for tick in 0..1_000_u32 {
        let now = begun + Duration::from_millis(50) * tick;
        under_way.retain(|(n, done): &(usize, Instant)| {
            if now >= *done {
                engines[*n].version = Some(2);
            }
            now < *done
        });
        swaps.remove_finished(&engines, now);
        if engines.iter().all(|engine| engine.version == Some(2)) {
            return (loads, now - begun);
        }
        let most = max_loads(count) - swaps.in_progress().count();
        for id in due(&mut swaps, &engines, 2, most, now) {
            let n = engines.iter().position(|engine| engine.id == id).expect("it is one of them");
            swaps.record_load(&engines[n], 2, now);
            under_way.push((n, now + load));
            loads += 1;
        }
        assert!(under_way.len() <= count.div_ceil(5).max(1) + 1, "enough are left to serve");
    }
    panic!("never done");
}

#[rstest]
#[case::today(9, 5)]
#[case::grown(36, 7)]
#[case::one(1, 2)]
fn every_engine_loads_once_within_seconds(#[case] count: usize, #[case] most_s: u64) {
    let (loads, took) = play(count, Duration::from_millis(900));
    assert_eq!(loads, count);
    assert!(took <= Duration::from_secs(most_s), "{took:?}");
}

#[test]
fn an_engine_that_refused_is_asked_again_and_one_that_stays_silent_too() {
    let now = Instant::now();
    let engines = [engine(0, 1)];
    let mut swaps = LoadTracker::default();
    assert_eq!(due(&mut swaps, &engines, 2, 1, now).len(), 1);
    swaps.record_refusal(&engines[0], 2, now);
    assert!(due(&mut swaps, &engines, 2, 1, now).is_empty());
    let later = now + Duration::from_secs(1);
    assert_eq!(due(&mut swaps, &engines, 2, 1, later).len(), 1);
    swaps.record_load(&engines[0], 2, later);
    assert_eq!(swaps.in_progress().count(), 1);
    assert!(due(&mut swaps, &engines, 2, 1, later + Duration::from_secs(1)).is_empty());
    assert_eq!(due(&mut swaps, &engines, 2, 1, later + Duration::from_secs(3)).len(), 1);
}

#[test]
fn the_furthest_behind_and_least_busy_go_first_and_the_leaving_never() {
    let mut engines: Vec<_> = (0..4).map(|n| engine(n, 2)).collect();
    engines[0].requests = 9;
    engines[1].leaving = true;
    engines[2].version = None;
    engines.push(engine(4, 1));
    let mut swaps = LoadTracker::default();
    let now = Instant::now();
    let mut order = Vec::new();
    for _ in 0..5 {
        for id in due(&mut swaps, &engines, 3, 1, now) {
            let found = engines.iter_mut().find(|engine| engine.id == id).expect("one of them");
            found.version = Some(3);
            order.push(id);
        }
    }
    assert_eq!(order, ["e04", "e03", "e00"]);
}

#[test]
fn a_restarted_engine_is_judged_by_what_it_has_now() {
    let now = Instant::now();
    let mut engines = vec![engine(0, 1)];
    let mut swaps = LoadTracker::default();
    swaps.record_load(&engines[0], 2, now);
    engines[0].started_ms = 2;
    let ids: BTreeSet<_> = due(&mut swaps, &engines, 2, 1, now).into_iter().collect();
    assert_eq!(ids.len(), 1);
}

/// Pattern: a version is named at the moment at which its trainer's next step
/// comes.
#[rstest]
#[case::single_model(9, 2)]
#[case::share_of_three(12, 3)]
#[case::one_engine(1, 1)]
fn most_engines_of_a_model_serve_while_some_load(#[case] engines: usize, #[case] most: usize) {
    let limit = if engines == 12 { max_loads(36) } else { max_loads(engines) };
    assert_eq!(limit.min(max_loads_per_model(engines)), most);
}
