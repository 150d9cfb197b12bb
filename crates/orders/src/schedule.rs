//! Selects the engines that load a new version in one round.

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

/// A model, its wanted version, and the engines assigned to it.
#[derive(Clone, Debug)]
pub struct ModelAssignment {
    /// The model.
    pub model: ModelName,
    /// The version its engines should load.
    pub version: Version,
    /// The assigned engines.
    pub engines: Vec<EngineState>,
}

/// A load that an engine should start now.
#[derive(Clone, Debug)]
pub struct DueLoad {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: Version,
    /// The engine.
    pub engine: EngineState,
}

/// The state of one model during a scheduling round.
struct ModelState<'a> {
    assignment: &'a ModelAssignment,
    level: ServiceLevel,
    in_progress: usize,
    /// The engines due to load, in reverse order: the next one is last.
    due: Vec<&'a EngineState>,
}

/// Selects the engines that load now and records their loads in `trackers`.
///
/// Each load goes to the model that has the lowest service level at that point
/// and can load. At most `max_loads` engines load at once, over all models.
///
/// The work must not grow with the square of the number of engines: a lease
/// holder may have only a tenth of a core.
#[must_use]
pub fn schedule_loads(
    assignments: &[ModelAssignment],
    trackers: &mut BTreeMap<ModelName, LoadTracker>,
    max_loads: usize,
    now: Instant,
) -> Vec<DueLoad> {
    for assignment in assignments {
        trackers
            .entry(assignment.model.clone())
            .or_default()
            .remove_finished(&assignment.engines, now);
    }
    // An engine executes one order at a time, whatever the model.
    let mut loading: HashSet<TargetId> =
        trackers.values().flat_map(LoadTracker::in_progress).cloned().collect();
    let mut models: Vec<_> = assignments
        .iter()
        .filter_map(|assignment| {
            trackers.get(&assignment.model).map(|tracker| ModelState::new(assignment, tracker))
        })
        .collect();
    let mut loads = Vec::new();
    while loading.len() < max_loads {
        models.sort_by_key(|model| model.level);
        let Some((assignment, engine)) = models.iter_mut().find_map(|model| model.next(&loading))
        else {
            break;
        };
        loading.insert(engine.id.clone());
        if let Some(tracker) = trackers.get_mut(&assignment.model) {
            tracker.record_load(engine, assignment.version, now);
        }
        let (model, version, engine) =
            (assignment.model.clone(), assignment.version, engine.clone());
        loads.push(DueLoad { model, version, engine });
    }
    loads
}

impl<'a> ModelState<'a> {
    fn new(assignment: &'a ModelAssignment, tracker: &LoadTracker) -> Self {
        let versions: Vec<_> =
            assignment.engines.iter().map(|e| tracker.effective_version(e)).collect();
        let level = ServiceLevel::new(&versions, assignment.version);
        let mut due = tracker.due(&assignment.engines, assignment.version);
        due.reverse();
        Self { assignment, level, in_progress: tracker.in_progress().count(), due }
    }

    /// Removes and returns the next due engine that is not loading, if the
    /// model's limit allows another load.
    fn next(
        &mut self,
        loading: &HashSet<TargetId>,
    ) -> Option<(&'a ModelAssignment, &'a EngineState)> {
        if self.in_progress >= max_loads_per_model(self.assignment.engines.len()) {
            return None;
        }
        let index = self.due.iter().rposition(|engine| !loading.contains(&engine.id))?;
        let engine = self.due.remove(index);
        self.in_progress += 1;
        self.level.add_load(engine.version.unwrap_or(0), self.assignment.version);
        Some((self.assignment, engine))
    }
}
