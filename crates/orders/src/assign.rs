//! Assigns models to engines that hold several models, of which only a few may
//! load at a time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cassia_ids::ModelName;
use cassia_ids::TargetId;
use cassia_ids::Version;

/// The models an engine has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineModels {
    /// The engine.
    pub id: TargetId,
    /// The version it has of each model.
    pub versions: BTreeMap<ModelName, Version>,
}

/// The models whose new versions an engine loads.
pub type AssignedModels = BTreeSet<ModelName>;

/// Assigns each engine to one or two of the models it has, as evenly as
/// possible.
///
/// A model with no wanted version yet also gets engines, since its trainer may
/// be about to announce one. An engine is assigned to the model whose version
/// it is least behind. Assignments are therefore stable between rounds and
/// across a change of lease holder, and few engines move when others join or
/// leave. If every engine loaded every model, most of them would be loading
/// most of the time.
///
/// With several models, every other engine is assigned a second one. Steps of
/// different trainers rarely coincide, so each step finds more engines than an
/// even share. Such an engine may skip every other version, so the number of
/// loads does not increase.
#[must_use]
pub fn assign_models(
    engines: &[EngineModels],
    wanted: &BTreeMap<ModelName, Version>,
) -> BTreeMap<TargetId, AssignedModels> {
    let mut pairs = Vec::new();
    for engine in engines {
        for (model, version) in &engine.versions {
            let behind = wanted.get(model).map_or(0, |wanted| wanted.saturating_sub(*version));
            pairs.push((behind, tie_breaker(&engine.id, model), &engine.id, model));
        }
    }
    pairs.sort_unstable();
    let models: BTreeSet<_> = pairs.iter().map(|(_, _, _, model)| *model).collect();
    let quota = engines.len().div_ceil(models.len().max(1));
    let (mut assigned, mut counts) = (BTreeMap::new(), BTreeMap::new());
    assign_up_to(&pairs, quota, 1, &mut assigned, &mut counts);
    if models.len() > 1 {
        assign_up_to(&pairs, quota + quota / 2, 2, &mut assigned, &mut counts);
    }
    assigned
}

/// Assigns another model to each engine that has fewer than `max_models`, as
/// long as that model has fewer engines than `quota`. `counts` is the number
/// of engines per model.
fn assign_up_to<'a>(
    pairs: &[(u64, u64, &TargetId, &'a ModelName)],
    quota: usize,
    max_models: usize,
    assigned: &mut BTreeMap<TargetId, AssignedModels>,
    counts: &mut BTreeMap<&'a ModelName, usize>,
) {
    for (_, _, id, model) in pairs {
        let count = counts.entry(model).or_default();
        let model_count = assigned.get(*id).map_or(0, BTreeSet::len);
        if *count < quota
            && model_count < max_models
            && assigned.entry((*id).clone()).or_default().insert((*model).clone())
        {
            *count += 1;
        }
    }
}

/// How well a model is served by its engines; the model with the lowest level
/// loads next.
///
/// A trainer's next step may run on the version before the wanted one, so
/// engines that have at least that version are compared first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServiceLevel {
    /// Engines at most one version behind, capped at `max_usable`.
    usable: usize,
    /// Engines that have the wanted version.
    current: usize,
    /// Number of usable engines beyond which more make no difference.
    max_usable: usize,
}

impl ServiceLevel {
    /// Computes the level from the versions that the model's engines have or
    /// are loading.
    #[must_use]
    pub fn new(versions: &[Version], wanted: Version) -> Self {
        let max_usable = versions.len().div_ceil(2);
        let usable = versions.iter().filter(|version| **version + 1 >= wanted).count();
        let current = versions.iter().filter(|version| **version >= wanted).count();
        Self { usable: usable.min(max_usable), current, max_usable }
    }

    /// Updates the level for an engine that starts to load the wanted version.
    pub fn add_load(&mut self, from: Version, wanted: Version) {
        if from + 1 < wanted {
            self.usable = (self.usable + 1).min(self.max_usable);
        }
        self.current += 1;
    }
}

/// Breaks ties the same way at every lease holder: FNV-1a over both names.
fn tie_breaker(engine: &str, model: &str) -> u64 {
    engine.bytes().chain([0]).chain(model.bytes()).fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
