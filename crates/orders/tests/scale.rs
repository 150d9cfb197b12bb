//! Load pattern: fleets larger than the required size, on hosts with a tenth
//! of a core. The work of a round must not grow with the square of the number
//! of engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cassia_orders::EngineModels;
use cassia_orders::EngineState;
use cassia_orders::LoadTracker;
use cassia_orders::ModelAssignment;
use cassia_orders::assign_models;
use cassia_orders::max_loads;
use cassia_orders::schedule_loads;

/// Five times the required number of engines.
const ENGINES: usize = 3_000;
/// Time limit, which a quadratic round exceeds many times over.
const MAX_ELAPSED: Duration = Duration::from_millis(700);

fn engines(count: usize) -> Vec<EngineModels> {
    let versions = || (0..3).map(|m| (format!("m{m}").into(), 1)).collect();
    let engine = |n: usize| EngineModels { id: format!("e{n:04}").into(), versions: versions() };
    (0..count).map(engine).collect()
}

#[test]
fn models_are_assigned_in_time_at_five_times_the_required_size() {
    let engines = engines(ENGINES);
    let wanted: BTreeMap<_, _> = (0..3).map(|m| (format!("m{m}").into(), 2)).collect();
    let start = Instant::now();
    let assigned = assign_models(&engines, &wanted);
    assert_eq!(assigned.len(), ENGINES);
    assert!(start.elapsed() < MAX_ELAPSED, "{:?}", start.elapsed());
}

#[test]
fn loads_are_scheduled_in_time_at_five_times_the_required_size() {
    let engine = |n: usize| EngineState {
        id: format!("e{n:04}").into(),
        started_ms: 1,
        version: Some(if n.is_multiple_of(2) { 1 } else { 2 }),
        leaving: false,
        requests: u32::try_from(n % 7).unwrap_or(0),
    };
    let assignment = |m: usize| ModelAssignment {
        model: format!("m{m}").into(),
        version: 3,
        engines: (0..ENGINES).filter(|n| n % 3 == m || n % 6 == m).map(engine).collect(),
    };
    let assignments: Vec<_> = (0..3).map(assignment).collect();
    let (mut trackers, now) = (BTreeMap::new(), Instant::now());
    for _ in 0..2 {
        let start = Instant::now();
        let due = schedule_loads(&assignments, &mut trackers, max_loads(ENGINES), now);
        assert!(start.elapsed() < MAX_ELAPSED, "{:?}", start.elapsed());
        assert!(due.len() <= max_loads(ENGINES));
    }
    let loads: Vec<_> = trackers.values().flat_map(LoadTracker::in_progress).collect();
    assert_eq!(loads.len(), max_loads(ENGINES));
    assert_eq!(loads.iter().collect::<BTreeSet<_>>().len(), loads.len(), "one load per engine");
    assert!(trackers.values().all(|tracker| tracker.in_progress().count() <= ENGINES / 2));
}
