//! Runs the shipped programs as processes on the platform's stand-ins, injects
//! faults drawn from a seed, and checks the guarantees of the programs from what
//! callers, trainers and targets observe.
//!
//! It starts the processes that it needs and ends only those.
//!
//! ```
//! use std::time::Duration;
//!
//! let faults = cassia_soak::plan_faults(7, Duration::from_mins(1), 4, 5);
//! assert_eq!(faults, cassia_soak::plan_faults(7, Duration::from_mins(1), 4, 5));
//! ```

mod checker;
mod cluster;
mod faults;
mod load;
mod run;

pub use crate::checker::Checker;
pub use crate::checker::RequestOutcome;
pub use crate::faults::Fault;
pub use crate::faults::HostFault;
pub use crate::faults::PlannedFault;
pub use crate::faults::StoreFault;
pub use crate::faults::TargetFault;
pub use crate::faults::plan_faults;
pub use crate::run::Report;
pub use crate::run::Soak;
