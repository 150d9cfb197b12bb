//! Which engine serves which model, where engines hold several models and only
//! a few may load at a time.

use std::collections::BTreeMap;

use cassia_ids::ModelName;
use cassia_ids::TargetId;
use cassia_ids::Version;

/// What an engine has of each model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineModels {
    /// The engine.
    pub id: TargetId,
    /// The versions that it has.
    pub versions: BTreeMap<ModelName, Version>,
}

/// Shares the engines out to the models that are trained, as evenly as can be.
///
/// An engine goes to the model of which its version is least behind, so shares
/// stay what they are from round to round and after a change of holder, and
/// engines that come or go move few others. If every engine followed every
/// model, most of them would be loading most of the time.
#[must_use]
pub fn share(
    engines: &[EngineModels],
    wanted: &BTreeMap<ModelName, Version>,
) -> BTreeMap<TargetId, ModelName> {
    let mut pairs = Vec::new();
    for engine in engines {
        for (model, version) in &engine.versions {
            let Some(wanted) = wanted.get(model) else { continue };
            let behind = wanted.saturating_sub(*version);
            pairs.push((behind, tie(&engine.id, model), &engine.id, model));
        }
    }
    pairs.sort_unstable();
    let quota = engines.len().div_ceil(wanted.len().max(1));
    let mut counts: BTreeMap<&ModelName, usize> = BTreeMap::new();
    let mut shares = BTreeMap::new();
    for (_, _, id, model) in pairs {
        let count = counts.entry(model).or_default();
        if *count < quota && !shares.contains_key(id) {
            *count += 1;
            shares.insert(id.clone(), model.clone());
        }
    }
    shares
}

/// Breaks ties the same way at every holder: FNV-1a over both names.
fn tie(engine: &str, model: &str) -> u64 {
    engine.bytes().chain([0]).chain(model.bytes()).fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
