//! Decides how many engines of each kind a service needs in each data centre.
//!
//! The crate does no I/O and takes the time as an argument.
//!
//! ```
//! use std::time::Instant;
//!
//! use cassia_scaling::Autoscaler;
//! use cassia_scaling::Observation;
//! use cassia_scaling::ScalingPolicy;
//!
//! let now = Instant::now();
//! let mut scaler = Autoscaler::new(ScalingPolicy::default());
//! scaler.observe(&Observation::default(), now);
//! assert_eq!(scaler.next_order(now), None);
//! ```

mod autoscaler;
mod demand;
mod history;
mod ledger;
mod plan;
mod pool;
mod report;

pub use crate::autoscaler::Autoscaler;
pub use crate::autoscaler::Reason;
pub use crate::autoscaler::ScalingPolicy;
pub use crate::autoscaler::ScalingState;
pub use crate::demand::EngineState;
pub use crate::demand::Observation;
pub use crate::demand::OpenJob;
pub use crate::demand::Submission;
pub use crate::ledger::OrderState;
pub use crate::ledger::ScalingLedger;
pub use crate::ledger::ScalingRecord;
pub use crate::plan::Pool;
pub use crate::report::DemandTable;
pub use crate::report::HostDemand;
pub use crate::report::JobDemand;
pub use crate::report::ServiceDemand;
