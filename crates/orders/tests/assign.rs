//! Load pattern: the models of several trainers on the same engines, of which
//! only a few may load at a time.

use std::collections::BTreeMap;

use cassia_orders::EngineModels;
use cassia_orders::ServiceLevel;
use cassia_orders::assign_models;
use rstest::rstest;

fn engines(count: usize, models: usize) -> Vec<EngineModels> {
    let versions = || (0..models).map(|m| (format!("m{m}").into(), 1)).collect();
    let engine = |n: usize| EngineModels { id: format!("e{n:02}").into(), versions: versions() };
    (0..count).map(engine).collect()
}

fn wanted(models: usize, version: u64) -> BTreeMap<cassia_ids::ModelName, u64> {
    (0..models).map(|m| (format!("m{m}").into(), version)).collect()
}

#[rstest]
#[case::one_model(9, 1, 9)]
#[case::three_models(36, 3, 18)]
#[case::uneven(10, 3, 6)]
#[case::more_models_than_engines(2, 3, 1)]
fn every_engine_gets_one_or_two_models_evenly(
    #[case] count: usize,
    #[case] models: usize,
    #[case] max: usize,
) {
    let assigned = assign_models(&engines(count, models), &wanted(models, 2));
    assert_eq!(assigned.len(), count);
    assert!(assigned.values().all(|models| (1..=2).contains(&models.len())));
    let mut counts: BTreeMap<_, usize> = BTreeMap::new();
    for model in assigned.values().flatten() {
        *counts.entry(model.clone()).or_default() += 1;
    }
    assert!(counts.values().all(|n| *n <= max), "{counts:?}");
    let min = counts.values().min().copied().unwrap_or(0);
    assert!(counts.len() < models || 2 * min >= max, "{counts:?}");
}

#[test]
fn assignments_are_stable_when_versions_advance_and_an_engine_leaves() {
    let mut engines = engines(36, 3);
    let mut before = assign_models(&engines, &wanted(3, 2));
    for version in 2..12 {
        for engine in &mut engines {
            for model in before.get(&engine.id).into_iter().flatten() {
                engine.versions.insert(model.clone(), version);
            }
        }
        if version == 6 {
            engines.remove(4);
        }
        let after = assign_models(&engines, &wanted(3, version + 1));
        let moved = after.iter().filter(|(id, models)| before.get(*id) != Some(models)).count();
        assert!(moved <= 2, "version {version}: {moved} moved");
        before = after;
    }
}

#[test]
fn a_model_without_a_wanted_version_keeps_its_engines() {
    let assigned = assign_models(&engines(6, 3), &wanted(1, 2));
    assert_eq!(assigned.values().filter(|models| models.contains("m2")).count(), 3);
}

#[rstest]
#[case::none_usable_first(&[1, 1, 1], 3, &[2, 2, 2], 3)]
#[case::fewest_current_next(&[2, 2, 2], 3, &[3, 2, 2], 3)]
#[case::half_usable_is_enough(&[2, 2, 1, 1], 3, &[3, 2, 2, 2], 3)]
fn the_model_with_the_lowest_service_level_loads_next(
    #[case] one: &[u64],
    #[case] one_wanted: u64,
    #[case] two: &[u64],
    #[case] two_wanted: u64,
) {
    assert!(ServiceLevel::new(one, one_wanted) < ServiceLevel::new(two, two_wanted));
}
