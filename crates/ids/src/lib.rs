//! Type aliases for the ids and counters that every crate shares.
//!
//! This crate is for names only: it holds no behaviour. Ids are aliases and
//! not newtypes by house rule (see docs/DECISIONS.md).
//!
//! ```
//! let customer: cassia_ids::CustomerId = "leserbild".into();
//! assert_eq!(customer, "leserbild");
//! ```

use smol_str::SmolStr;

/// Names a customer, as its contract does.
pub type CustomerId = SmolStr;
/// Names a route of a contract.
pub type RouteName = SmolStr;
/// Names a trainer of a contract.
pub type TrainerId = SmolStr;
/// Names a model that engines can load.
pub type ModelName = SmolStr;
/// Names a host on which processes of this project run.
pub type HostId = SmolStr;
/// Names a data centre.
pub type DataCentre = SmolStr;
/// Names a target: an engine or a plain service.
pub type TargetId = SmolStr;
/// Names one request, unique over all processes and restarts.
pub type RequestId = SmolStr;
/// Names one sample, unique over all processes and restarts.
pub type SampleId = SmolStr;
/// A position in a stream of the log, counted in records.
pub type Offset = u64;
/// Which change of a contract: one more than its record's offset.
pub type Revision = u64;
/// A weight version of one model; a later version is a larger number.
pub type Version = u64;
/// A random number that one run of a process draws at its start.
pub type BootId = u64;
/// A fencing number: the offset of the accepted lease claim.
pub type Fence = u64;
