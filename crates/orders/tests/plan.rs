//! New weights reach all engines despite lost orders and failed activations.

use std::collections::BTreeMap;

use cassia_ids::TargetId;
use cassia_orders::Plan;
use cassia_orders::StagingReport;
use cassia_orders::plan;
use rstest::rstest;

fn report(id: &str, version: Option<u64>, staged: Option<u64>) -> StagingReport {
    StagingReport { id: id.into(), version, staged }
}

#[rstest]
#[case::all_latest(&[report("a", Some(2), None)], false, Plan::Done)]
#[case::newer_than_latest(&[report("a", Some(3), None)], false, Plan::Done)]
#[case::stage_first(&[report("a", Some(1), None), report("b", Some(1), Some(2))], false, Plan::Stage(vec!["a".into()]))]
#[case::overdue(&[report("a", Some(1), None), report("b", Some(1), Some(2))], true, Plan::Activate(vec!["b".into()]))]
#[case::an_older_staged_version_does_not_count(&[report("a", Some(1), Some(1))], false, Plan::Stage(vec!["a".into()]))]
#[case::single_engine(&[report("a", Some(1), Some(2))], false, Plan::Activate(vec!["a".into()]))]
#[case::a_failed_activation_is_repeated(&[report("a", None, Some(2)), report("b", Some(2), None)], false, Plan::Activate(vec!["a".into()]))]
fn the_next_round_is_computed_from_the_reports(
    #[case] engines: &[StagingReport],
    #[case] overdue: bool,
    #[case] expected: Plan,
) {
    assert_eq!(plan(engines, 2, overdue), expected);
}

#[rstest]
#[case(2)]
#[case(3)]
#[case(10)]
#[case(600)]
fn a_wave_leaves_half_of_the_engines_serving(#[case] count: usize) {
    let engines: Vec<_> = (0..count).map(|i| report(&format!("e{i}"), Some(1), Some(2))).collect();
    let Plan::Activate(wave) = plan(&engines, 2, false) else { panic!("a wave") };
    assert!(!wave.is_empty() && wave.len() <= count / 2, "{} of {count}", wave.len());
}

/// Returns the number of rounds until all engines are done. Every `lose`th
/// order is lost, and every `fail`th order that is an activation fails
/// partway.
fn rounds(count: usize, lose: usize, fail: usize) -> usize {
    let mut engines: BTreeMap<TargetId, StagingReport> = (0..count)
        .map(|i| report(&format!("e{i}"), Some(1), None))
        .map(|report| (report.id.clone(), report))
        .collect();
    let mut orders = 0;
    for round in 0..10 * count {
        let reports: Vec<_> = engines.values().cloned().collect();
        let (ids, activates) = match plan(&reports, 2, false) {
            Plan::Done => return round,
            Plan::Stage(ids) => (ids, false),
            Plan::Activate(ids) => (ids, true),
        };
        let serving = reports.iter().filter(|report| report.version.is_some()).count();
        let unavailable = ids.iter().filter(|id| engines[*id].version.is_some()).count();
        assert!(!activates || serving == 1 || unavailable < serving, "no engine is left to serve");
        for id in ids {
            orders += 1;
            let engine = engines.get_mut(&id).expect("a known engine");
            if orders % lose == 0 {
                continue;
            }
            match activates {
                false => engine.staged = Some(2),
                true if orders % fail == 0 => engine.version = None,
                true => engine.version = engine.staged,
            }
        }
    }
    panic!("new weights never reached all engines");
}

#[rstest]
#[case::no_faults(10, usize::MAX, usize::MAX)]
#[case::orders_are_lost(10, 3, usize::MAX)]
#[case::activations_fail(10, usize::MAX, 3)]
#[case::both(75, 4, 5)]
fn new_weights_reach_all_engines(#[case] count: usize, #[case] lose: usize, #[case] fail: usize) {
    assert!(rounds(count, lose, fail) > 0);
}
