//! Which engine gets which order next, so that new weights are in use
//! everywhere.
//!
//! Weights are staged first, a few engines at a time under the store's rate
//! limit, while the old version serves on. Then they are activated in waves
//! that leave engines for callers. Orders only ever go forward, and each is
//! worked out afresh from what the engines report, so an order that is lost,
//! doubled or given by a holder of the past is made good by the next round.
//! Pure: the owner reads the reports and sends the orders.
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

/// Engines that stage at once: as many as the weight store serves.
const STAGED_AT_ONCE: usize = 4;
/// Of the engines that can serve, one in this many may be in a swap at once.
const WAVE_PART: usize = 2;

/// What an engine last reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StagingReport {
    /// The engine.
    pub id: TargetId,
    /// The version that it serves; none after a swap that failed partway.
    pub version: Option<Version>,
    /// The version that it has staged.
    pub staged: Option<Version>,
}

/// The orders of one round.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Plan {
    /// All engines serve the newest version, or a newer one.
    Done,
    /// These fetch the newest version.
    Stage(Vec<TargetId>),
    /// These serve the newest version from now on.
    Activate(Vec<TargetId>),
}

/// Works the next round out.
///
/// `stage_overdue` says that some engines have had long enough to stage: the
/// others go ahead without them.
#[must_use]
pub fn plan(engines: &[StagingReport], latest: Version, stage_overdue: bool) -> Plan {
    let behind: Vec<_> = engines.iter().filter(|e| e.is_behind(latest)).collect();
    if behind.is_empty() {
        return Plan::Done;
    }
    let unstaged = behind.iter().filter(|e| e.staged != Some(latest));
    let to_stage: Vec<_> = unstaged.take(STAGED_AT_ONCE).map(|e| e.id.clone()).collect();
    let staged = behind.iter().copied().filter(|e| e.staged == Some(latest));
    let staged: Vec<&StagingReport> = staged.collect();
    if !to_stage.is_empty() && (!stage_overdue || staged.is_empty()) {
        return Plan::Stage(to_stage);
    }
    // An engine whose swap failed serves nobody: it costs nothing to swap it.
    let (broken, serving): (Vec<_>, Vec<_>) = staged.into_iter().partition(|e| e.version.is_none());
    let able = engines.iter().filter(|e| e.version.is_some()).count();
    let wave = if able == 1 { 1 } else { able / WAVE_PART };
    let wave = serving.into_iter().take(wave).chain(broken);
    Plan::Activate(wave.map(|e| e.id.clone()).collect())
}

impl StagingReport {
    fn is_behind(&self, latest: Version) -> bool {
        self.version.is_none_or(|version| version < latest)
    }
}
