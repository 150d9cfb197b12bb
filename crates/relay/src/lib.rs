//! Which host a connection to a target goes through when this host's own link to
//! it is lost.
//!
//! A host that can't reach a target asks another host to open the connection and to
//! forward its bytes. What is sent on it, and whether it may be sent again, stays
//! the asking host's decision, as on a connection of its own. A host that is asked
//! only ever uses its own link, so there are no loops.
//!
//! The crate does no I/O.
//!
//! ```
//! use std::time::Instant;
//! use cassia_relay::ConnectPlan;
//! use cassia_relay::PathTable;
//! use cassia_relay::Ways;
//!
//! let now = Instant::now();
//! let target = "10.0.0.1:80".parse().unwrap();
//! let mut paths = PathTable::default();
//! assert_eq!(paths.plan(target, Ways::All, now), ConnectPlan::DirectFirst);
//! paths.record_relayed(target, now);
//! assert_eq!(paths.plan(target, Ways::All, now), ConnectPlan::RelayFirst);
//! ```

mod hosts;
mod message;
mod paths;

pub use crate::hosts::HostEntry;
pub use crate::hosts::HostTable;
pub use crate::message::MessageError;
pub use crate::message::RelayChunk;
pub use crate::message::RelayReply;
pub use crate::message::RelayRequest;
pub use crate::paths::ConnectPlan;
pub use crate::paths::PathTable;
pub use crate::paths::SendPlan;
pub use crate::paths::Ways;
