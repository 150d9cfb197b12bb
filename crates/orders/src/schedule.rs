//! One round of orders: which engines load which model's version now.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Instant;

use cassia_ids::ModelName;
use cassia_ids::TargetId;
use cassia_ids::Version;

use crate::EngineState;
use crate::LoadTracker;
use crate::ServiceLevel;
use crate::max_loads_per_model;

/// A model, the version that is named for it, and the engines that follow it.
#[derive(Clone, Debug)]
pub struct ModelAssignment {
    /// The model.
    pub model: ModelName,
    /// The version that its engines are to have.
    pub version: Version,
    /// Its engines.
    pub engines: Vec<EngineState>,
}

/// An engine that is to load a version now.
#[derive(Clone, Debug)]
pub struct DueLoad {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: Version,
    /// The engine.
    pub engine: EngineState,
}

/// A share as the round's choices change it.
struct Open<'a> {
    share: &'a ModelAssignment,
    served: ServiceLevel,
    under_way: usize,
    /// Its engines that are due, the next one last.
    due: Vec<&'a EngineState>,
}

/// Chooses the engines that load now, one after the other for the model that
/// is served least, and notes their loads. `most` engines load at once, over
/// all models.
///
/// The work grows with the engines, and not with their square: a holder may
/// have a tenth of a core.
#[must_use]
pub fn schedule_loads(
    shares: &[ModelAssignment],
    swaps: &mut BTreeMap<ModelName, LoadTracker>,
    most: usize,
    now: Instant,
) -> Vec<DueLoad> {
    for share in shares {
        swaps.entry(share.model.clone()).or_default().remove_finished(&share.engines, now);
    }
    // An engine carries one order out at a time, of whichever model.
    let mut loading: HashSet<TargetId> =
        swaps.values().flat_map(LoadTracker::in_progress).cloned().collect();
    let mut open: Vec<_> = shares
        .iter()
        .filter_map(|share| swaps.get(&share.model).map(|swaps| Open::new(share, swaps)))
        .collect();
    let mut picked = Vec::new();
    while loading.len() < most {
        open.sort_by_key(|open| open.served);
        let Some((share, engine)) = open.iter_mut().find_map(|open| open.next(&loading)) else {
            break;
        };
        loading.insert(engine.id.clone());
        if let Some(swaps) = swaps.get_mut(&share.model) {
            swaps.record_load(engine, share.version, now);
        }
        let (model, version, engine) = (share.model.clone(), share.version, engine.clone());
        picked.push(DueLoad { model, version, engine });
    }
    picked
}

impl<'a> Open<'a> {
    fn new(share: &'a ModelAssignment, swaps: &LoadTracker) -> Self {
        let versions: Vec<_> = share.engines.iter().map(|e| swaps.effective_version(e)).collect();
        let served = ServiceLevel::new(&versions, share.version);
        let mut due = swaps.due(&share.engines, share.version);
        due.reverse();
        Self { share, served, under_way: swaps.in_progress().count(), due }
    }

    /// Takes its next engine that loads nothing, if one more may load.
    fn next(
        &mut self,
        loading: &HashSet<TargetId>,
    ) -> Option<(&'a ModelAssignment, &'a EngineState)> {
        if self.under_way >= max_loads_per_model(self.share.engines.len()) {
            return None;
        }
        let at = self.due.iter().rposition(|engine| !loading.contains(&engine.id))?;
        let engine = self.due.remove(at);
        self.under_way += 1;
        self.served.add_load(engine.version.unwrap_or(0), self.share.version);
        Some((self.share, engine))
    }
}
