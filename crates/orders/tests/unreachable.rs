//! The load of a network partition: a part of the engines does not answer, and
//! is soon the furthest behind. It must not take the loads of the others.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::Version;
use cassia_orders::EngineState;
use cassia_orders::LoadTracker;
use cassia_orders::ModelAssignment;
use cassia_orders::max_loads;
use cassia_orders::schedule_loads;
use rstest::rstest;

const MODELS: usize = 6;
const ENGINES_PER_MODEL: usize = 20;
const ROUND: Duration = Duration::from_millis(150);
const LOAD_TIME: Duration = Duration::from_millis(900);
/// Time after which an unanswered report is given up.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two versions of a model.
const STEP: Duration = Duration::from_secs(4);
const DURATION: Duration = Duration::from_secs(24);

/// A load under way, or an order to an engine that does not answer.
struct Running {
    model: usize,
    engine: usize,
    version: Version,
    done: Instant,
}

/// Simulates changes of version of all models while every `one_in`-th engine
/// does not answer; returns the number of loads of the others in a second, per
/// engine.
fn loads_per_engine(one_in: usize) -> f64 {
    let start = Instant::now();
    let is_reachable = |engine: usize| one_in == 0 || !engine.is_multiple_of(one_in);
    let engine = |model: usize, n: usize| EngineState {
        id: format!("e{model}-{n}").into(),
        started_ms: 1,
        version: Some(1),
        leaving: false,
        requests: 0,
    };
    let mut assignments: Vec<_> = (0..MODELS)
        .map(|model| ModelAssignment {
            model: format!("m{model}").into(),
            version: 1,
            engines: (0..ENGINES_PER_MODEL).map(|n| engine(model, n)).collect(),
        })
        .collect();
    let mut trackers: BTreeMap<_, LoadTracker> = BTreeMap::new();
    let (mut running, mut loads) = (Vec::<Running>::new(), 0_u32);
    let mut now = start;
    while now < start + DURATION {
        now += ROUND;
        let step = (now - start).as_millis() / STEP.as_millis();
        for assignment in &mut assignments {
            assignment.version = 2 + u64::try_from(step).expect("a small number");
        }
        for done in running.extract_if(.., |r| now >= r.done) {
            let engine = &mut assignments[done.model].engines[done.engine];
            if is_reachable(done.engine) {
                engine.version = Some(done.version);
                loads += 1;
            } else {
                let tracker = trackers.entry(format!("m{}", done.model).into()).or_default();
                tracker.record_unreachable(engine, done.version, now);
            }
        }
        let max = max_loads(MODELS * ENGINES_PER_MODEL);
        for due in schedule_loads(&assignments, &mut trackers, max, now) {
            let model = assignments.iter().position(|a| a.model == due.model).expect("a model");
            let engines = &assignments[model].engines;
            let engine = engines.iter().position(|e| e.id == due.engine.id).expect("an engine");
            let time = if is_reachable(engine) { LOAD_TIME } else { REPORT_TIMEOUT };
            running.push(Running { model, engine, version: due.version, done: now + time });
        }
    }
    let reachable = (0..ENGINES_PER_MODEL).filter(|n| is_reachable(*n)).count() * MODELS;
    f64::from(loads) / f64::from(u32::try_from(reachable).expect("a small number"))
}

#[rstest]
#[case::one_in_five(5)]
#[case::one_in_three(3)]
fn engines_that_answer_load_as_often_as_without_a_partition(#[case] one_in: usize) {
    let (without, with) = (loads_per_engine(0), loads_per_engine(one_in));
    assert!(with >= without, "{with} loads an engine, {without} without a partition");
}

#[test]
fn an_unreachable_engine_is_tried_again_within_seconds() {
    let start = Instant::now();
    let engine = EngineState {
        id: "e".into(),
        started_ms: 1,
        version: Some(1),
        leaving: false,
        requests: 0,
    };
    let mut tracker = LoadTracker::default();
    let mut pauses = Vec::new();
    let mut now = start;
    for _ in 0..6 {
        tracker.record_unreachable(&engine, 2, now);
        let failed = now;
        while tracker.due(std::slice::from_ref(&engine), 2).is_empty() {
            now += Duration::from_millis(50);
            tracker.remove_finished(std::slice::from_ref(&engine), now);
        }
        pauses.push(now - failed);
    }
    assert!(pauses.iter().all(|pause| *pause <= Duration::from_secs(3)), "{pauses:?}");
    assert!(pauses[0] < Duration::from_secs(1), "{pauses:?}");
    // One that answers is tried as soon as after a first refusal.
    tracker.record_refusal(&engine, 2, now);
    tracker.record_unreachable(&engine, 2, now);
    tracker.remove_finished(std::slice::from_ref(&engine), now + Duration::from_secs(1));
    assert!(!tracker.due(std::slice::from_ref(&engine), 2).is_empty());
}
