//! Schedules the orders by which all engines load new weights.
//!
//! Weights are staged first, on a few engines at a time because of the store's
//! rate limit, while the old version keeps serving. They are then activated in
//! waves that leave enough engines to serve callers. Orders only move to newer
//! versions, and each round is computed from the engines' latest reports, so
//! the next round corrects an order that was lost, duplicated or sent by a
//! former lease holder. The crate does no I/O: the caller reads the reports
//! and sends the orders.
//!
//! ```
//! use cassia_orders::{Plan, StagingReport, plan};
//!
//! let engine = StagingReport { id: "e1".into(), version: Some(1), staged: None };
//! assert_eq!(plan(&[engine], 2, false), Plan::Stage(vec!["e1".into()]));
//! ```

mod assign;
mod schedule;
mod tracker;

use cassia_ids::TargetId;
use cassia_ids::Version;

pub use crate::assign::AssignedModels;
pub use crate::assign::EngineModels;
pub use crate::assign::ServiceLevel;
pub use crate::assign::assign_models;
pub use crate::schedule::DueLoad;
pub use crate::schedule::ModelAssignment;
pub use crate::schedule::schedule_loads;
pub use crate::tracker::EngineState;
pub use crate::tracker::LoadTracker;
pub use crate::tracker::max_loads;
pub use crate::tracker::max_loads_per_model;

/// Number of engines that stage at once: as many as the weight store serves.
const MAX_STAGING: usize = 4;
/// One in this many of the serving engines may be activated at once.
const WAVE_DIVISOR: usize = 2;

/// The last report of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StagingReport {
    /// The engine.
    pub id: TargetId,
    /// The version it serves; `None` after an activation that failed partway.
    pub version: Option<Version>,
    /// The version it has staged.
    pub staged: Option<Version>,
}

/// The orders of one round.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Plan {
    /// All engines serve the latest version or a newer one.
    Done,
    /// These engines fetch the latest version.
    Stage(Vec<TargetId>),
    /// These engines switch to the latest version.
    Activate(Vec<TargetId>),
}

/// Returns the orders of the next round.
///
/// If `stage_overdue`, some engines have not staged in time, and the others
/// are activated without them.
#[must_use]
pub fn plan(engines: &[StagingReport], latest: Version, stage_overdue: bool) -> Plan {
    let behind: Vec<_> = engines.iter().filter(|e| e.is_behind(latest)).collect();
    if behind.is_empty() {
        return Plan::Done;
    }
    let unstaged = behind.iter().filter(|e| e.staged != Some(latest));
    let to_stage: Vec<_> = unstaged.take(MAX_STAGING).map(|e| e.id.clone()).collect();
    let staged = behind.iter().copied().filter(|e| e.staged == Some(latest));
    let staged: Vec<&StagingReport> = staged.collect();
    if !to_stage.is_empty() && (!stage_overdue || staged.is_empty()) {
        return Plan::Stage(to_stage);
    }
    // An engine whose activation failed serves nobody, so it can be activated
    // again at no cost.
    let (broken, serving): (Vec<_>, Vec<_>) = staged.into_iter().partition(|e| e.version.is_none());
    let serving_count = engines.iter().filter(|e| e.version.is_some()).count();
    let wave = if serving_count == 1 { 1 } else { serving_count / WAVE_DIVISOR };
    let wave = serving.into_iter().take(wave).chain(broken);
    Plan::Activate(wave.map(|e| e.id.clone()).collect())
}

impl StagingReport {
    fn is_behind(&self, latest: Version) -> bool {
        self.version.is_none_or(|version| version < latest)
    }
}
