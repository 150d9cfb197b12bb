//! Engines load a new version a few at a time, each once.

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

/// Returns up to `max` engines that are due at `now`.
fn due(
    tracker: &mut LoadTracker,
    engines: &[EngineState],
    wanted: u64,
    max: usize,
    now: Instant,
) -> Vec<cassia_ids::TargetId> {
    tracker.remove_finished(engines, now);
    tracker.due(engines, wanted).into_iter().take(max).map(|engine| engine.id.clone()).collect()
}

/// Simulates a change of version on engines that take a fixed time to load;
/// returns the number of loads and the time until all are done.
fn simulate(count: usize, load: Duration) -> (usize, Duration) {
    let start = Instant::now();
    let mut engines: Vec<_> = (0..count).map(|n| engine(n, 1)).collect();
    let (mut tracker, mut loads, mut in_progress) = (LoadTracker::default(), 0, Vec::new());
    for tick in 0..1_000_u32 {
        let now = start + Duration::from_millis(50) * tick;
        in_progress.retain(|(n, done): &(usize, Instant)| {
            if now >= *done {
                engines[*n].version = Some(2);
            }
            now < *done
        });
        tracker.remove_finished(&engines, now);
        if engines.iter().all(|engine| engine.version == Some(2)) {
            return (loads, now - start);
        }
        let max = max_loads(count) - tracker.in_progress().count();
        for id in due(&mut tracker, &engines, 2, max, now) {
            let n = engines.iter().position(|engine| engine.id == id).expect("a known engine");
            tracker.record_load(&engines[n], 2, now);
            in_progress.push((n, now + load));
            loads += 1;
        }
        assert!(
            in_progress.len() <= count.div_ceil(5).max(1) + 1,
            "too few engines are left to serve"
        );
    }
    panic!("the loads never finished");
}

#[rstest]
#[case::current_fleet(9, 5)]
#[case::grown_fleet(36, 7)]
#[case::single_engine(1, 2)]
fn every_engine_loads_once_within_seconds(#[case] count: usize, #[case] max_s: u64) {
    let (loads, took) = simulate(count, Duration::from_millis(900));
    assert_eq!(loads, count);
    assert!(took <= Duration::from_secs(max_s), "{took:?}");
}

#[test]
fn an_engine_that_refused_or_did_not_answer_becomes_due_again() {
    let now = Instant::now();
    let engines = [engine(0, 1)];
    let mut tracker = LoadTracker::default();
    assert_eq!(due(&mut tracker, &engines, 2, 1, now).len(), 1);
    tracker.record_refusal(&engines[0], 2, now);
    assert!(due(&mut tracker, &engines, 2, 1, now).is_empty());
    let later = now + Duration::from_secs(1);
    assert_eq!(due(&mut tracker, &engines, 2, 1, later).len(), 1);
    tracker.record_load(&engines[0], 2, later);
    assert_eq!(tracker.in_progress().count(), 1);
    assert!(due(&mut tracker, &engines, 2, 1, later + Duration::from_secs(1)).is_empty());
    assert_eq!(due(&mut tracker, &engines, 2, 1, later + Duration::from_secs(3)).len(), 1);
}

#[test]
fn furthest_behind_and_least_busy_load_first_and_leaving_never() {
    let mut engines: Vec<_> = (0..4).map(|n| engine(n, 2)).collect();
    engines[0].requests = 9;
    engines[1].leaving = true;
    engines[2].version = None;
    engines.push(engine(4, 1));
    let mut tracker = LoadTracker::default();
    let now = Instant::now();
    let mut order = Vec::new();
    for _ in 0..5 {
        for id in due(&mut tracker, &engines, 3, 1, now) {
            let found = engines.iter_mut().find(|engine| engine.id == id).expect("a known engine");
            found.version = Some(3);
            order.push(id);
        }
    }
    assert_eq!(order, ["e04", "e03", "e00"]);
}

#[test]
fn a_restarted_engine_is_due_again_at_once() {
    let now = Instant::now();
    let mut engines = vec![engine(0, 1)];
    let mut tracker = LoadTracker::default();
    tracker.record_load(&engines[0], 2, now);
    engines[0].started_ms = 2;
    let ids: BTreeSet<_> = due(&mut tracker, &engines, 2, 1, now).into_iter().collect();
    assert_eq!(ids.len(), 1);
}

/// Load pattern: a version is announced at the same time as its trainer's next
/// step begins.
#[rstest]
#[case::single_model(9, 2)]
#[case::one_of_three_models(12, 3)]
#[case::one_engine(1, 1)]
fn most_engines_of_a_model_serve_while_some_load(#[case] engines: usize, #[case] max: usize) {
    let limit = if engines == 12 { max_loads(36) } else { max_loads(engines) };
    assert_eq!(limit.min(max_loads_per_model(engines)), max);
}
