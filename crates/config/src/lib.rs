//! Contracts in force, derived from the configuration stream.
//!
//! Every process applies the same records in the order of their offsets, so
//! all agree on which of two concurrent amendments won without communicating.
//! The crate does no I/O and reads no clock.
//!
//! ```
//! use cassia_replica::StateMachine;
//!
//! let table = cassia_config::ContractTable::default();
//! assert_eq!(table.next_offset(), 0);
//! ```

mod record;
mod table;

pub use crate::record::ConfigRecord;
pub use crate::record::Publish;
pub use crate::record::Snapshot;
pub use crate::table::Applied;
pub use crate::table::ContractEntry;
pub use crate::table::ContractTable;
pub use crate::table::Refusal;

/// The log stream to which operators publish contracts.
pub const CONFIG_STREAM: &str = "config";
