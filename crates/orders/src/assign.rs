//! Which engine serves which model, where engines hold several models and only
//! a few may load at a time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

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

/// The models that an engine follows.
pub type AssignedModels = BTreeSet<ModelName>;

/// Shares the engines out to the models that they have, as evenly as can be.
///
/// A model for which no version was named yet has its share too: its trainer
/// may be about to name one. An engine goes to the model of which its version
/// is least behind, so shares stay what they are from round to round and after
/// a change of holder, and engines that come or go move few others. If every
/// engine followed every model, most of them would be loading most of the time.
///
/// With several models every other engine follows a second one. Steps of
/// different trainers seldom come together, so each finds more engines than its
/// even share; an engine may skip every other version, which makes the loads
/// no more.
#[must_use]
pub fn assign_models(
    engines: &[EngineModels],
    wanted: &BTreeMap<ModelName, Version>,
) -> BTreeMap<TargetId, AssignedModels> {
    let mut pairs = Vec::new();
    for engine in engines {
        for (model, version) in &engine.versions {
            let behind = wanted.get(model).map_or(0, |wanted| wanted.saturating_sub(*version));
            pairs.push((behind, tie(&engine.id, model), &engine.id, model));
        }
    }
    pairs.sort_unstable();
    let models: BTreeSet<_> = pairs.iter().map(|(_, _, _, model)| *model).collect();
    let quota = engines.len().div_ceil(models.len().max(1));
    let (mut shares, mut counts) = (BTreeMap::new(), BTreeMap::new());
    deal(&pairs, quota, 1, &mut shares, &mut counts);
    if models.len() > 1 {
        deal(&pairs, quota + quota / 2, 2, &mut shares, &mut counts);
    }
    shares
}

/// Gives engines that follow fewer than `most` models another one, as long as
/// that has fewer engines than its quota. `counts` are the models' engines.
fn deal<'a>(
    pairs: &[(u64, u64, &TargetId, &'a ModelName)],
    quota: usize,
    most: usize,
    shares: &mut BTreeMap<TargetId, AssignedModels>,
    counts: &mut BTreeMap<&'a ModelName, usize>,
) {
    for (_, _, id, model) in pairs {
        let count = counts.entry(model).or_default();
        let followed = shares.get(*id).map_or(0, BTreeSet::len);
        if *count < quota
            && followed < most
            && shares.entry((*id).clone()).or_default().insert((*model).clone())
        {
            *count += 1;
        }
    }
}

/// How well a model is served by its share; the least served loads next.
///
/// The next step of a trainer may run on the version before the named one, so
/// engines that have at least that one count first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServiceLevel {
    usable: usize,
    current: usize,
    /// Usable engines beyond which more don't matter.
    enough: usize,
}

impl ServiceLevel {
    /// Judges a model by what the engines of its share have, or load already.
    #[must_use]
    pub fn new(versions: &[Version], wanted: Version) -> Self {
        let enough = versions.len().div_ceil(2);
        let usable = versions.iter().filter(|version| **version + 1 >= wanted).count();
        let current = versions.iter().filter(|version| **version >= wanted).count();
        Self { usable: usable.min(enough), current, enough }
    }

    /// Takes in that an engine that has one version loads the wanted one.
    pub fn add_load(&mut self, from: Version, wanted: Version) {
        if from + 1 < wanted {
            self.usable = (self.usable + 1).min(self.enough);
        }
        self.current += 1;
    }
}

/// Breaks ties the same way at every holder: FNV-1a over both names.
fn tie(engine: &str, model: &str) -> u64 {
    engine.bytes().chain([0]).chain(model.bytes()).fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
