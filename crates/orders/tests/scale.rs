//! Load pattern: fleets larger than the target, on hosts with a tenth of a
//! core. A round's work must not grow with the square of the engines.

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

/// Five times the target's engines.
const ENGINES: usize = 3_000;
/// What a round that grows with the square takes many times over.
const MOST: Duration = Duration::from_millis(700);

fn engines(count: usize) -> Vec<EngineModels> {
    let versions = || (0..3).map(|m| (format!("m{m}").into(), 1)).collect();
    let engine = |n: usize| EngineModels { id: format!("e{n:04}").into(), versions: versions() };
    (0..count).map(engine).collect()
}

#[test]
fn engines_are_shared_out_in_time_at_five_times_the_target() {
    let engines = engines(ENGINES);
    let wanted: BTreeMap<_, _> = (0..3).map(|m| (format!("m{m}").into(), 2)).collect();
    let begun = Instant::now();
    let shares = assign_models(&engines, &wanted);
    assert_eq!(shares.len(), ENGINES);
    assert!(begun.elapsed() < MOST, "{:?}", begun.elapsed());
}

#[test]
fn a_round_is_worked_out_in_time_at_five_times_the_target() {
    let engine = |n: usize| EngineState {
        id: format!("e{n:04}").into(),
        started_ms: 1,
        version: Some(if n.is_multiple_of(2) { 1 } else { 2 }),
        leaving: false,
        requests: u32::try_from(n % 7).unwrap_or(0),
    };
    let share = |m: usize| ModelAssignment {
        model: format!("m{m}").into(),
        version: 3,
        engines: (0..ENGINES).filter(|n| n % 3 == m || n % 6 == m).map(engine).collect(),
    };
    let shares: Vec<_> = (0..3).map(share).collect();
    let (mut swaps, now) = (BTreeMap::new(), Instant::now());
    for _ in 0..2 {
        let begun = Instant::now();
        let due = schedule_loads(&shares, &mut swaps, max_loads(ENGINES), now);
        assert!(begun.elapsed() < MOST, "{:?}", begun.elapsed());
        assert!(due.len() <= max_loads(ENGINES));
    }
    let loads: Vec<_> = swaps.values().flat_map(LoadTracker::in_progress).collect();
    assert_eq!(loads.len(), max_loads(ENGINES));
    assert_eq!(loads.iter().collect::<BTreeSet<_>>().len(), loads.len(), "one load an engine");
    assert!(swaps.values().all(|swaps| swaps.in_progress().count() <= ENGINES / 2));
}
