//! Type aliases for the ids and counters that every crate shares.
//!
//! This crate defines types only, without behaviour. Ids are aliases rather
//! than newtypes by project convention (see docs/DECISIONS.md).
//!
//! ```
//! let customer: cassia_ids::CustomerId = "leserbild".into();
//! assert_eq!(customer, "leserbild");
//! ```

use smol_str::SmolStr;

/// Name of a customer, as in its contract.
pub type CustomerId = SmolStr;
/// Name of a route in a contract.
pub type RouteName = SmolStr;
/// Name of a trainer in a contract.
pub type TrainerId = SmolStr;
/// Name of a model that engines can load.
pub type ModelName = SmolStr;
/// Name of a host on which processes of this project run.
pub type HostId = SmolStr;
/// Name of a data centre.
pub type DataCentre = SmolStr;
/// Name of a target, which is an engine or an instance of a plain service.
pub type TargetId = SmolStr;
/// Id of a request, unique across all processes and restarts.
pub type RequestId = SmolStr;
/// Id of a sample, unique across all processes and restarts.
pub type SampleId = SmolStr;
/// Position in a stream of the log, in records.
pub type Offset = u64;
/// Revision of a contract: the offset of its log record plus one.
pub type Revision = u64;
/// Version of a target's software. Versions have no order, and what two of them
/// write doesn't fit together.
pub type Software = SmolStr;
/// Version of a model's weights; larger numbers are newer.
pub type Version = u64;
/// Random number that a process draws at its start, to identify that run.
pub type BootId = u64;
/// Fencing token: the offset of the accepted lease claim.
pub type Fence = u64;
