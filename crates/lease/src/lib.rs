//! Leases with fencing tokens over an append-only log.
//!
//! The log orders the claims; the offset of the accepted claim is the fencing
//! token. No synchronised clocks are needed: the holder measures the term from
//! before it sent a renewal, a challenger from when it saw the last one, so
//! the lease always expires at the holder first. The crate does no I/O and
//! takes the time as an argument.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use cassia_lease::{Contender, LeaseTable, NextOp};
//!
//! let now = Instant::now();
//! let mut contender = Contender::new("orders".into(), "h1".into(), 7, Duration::from_secs(9), now);
//! let next = contender.step(now + Duration::from_secs(10), &LeaseTable::default());
//! assert!(matches!(next, NextOp::Append(_)));
//! ```

mod client;
mod contender;
mod table;

pub use crate::client::HeldLease;
pub use crate::client::LeaseClient;
pub use crate::client::NextRecord;
pub use crate::contender::Contender;
pub use crate::contender::NextOp;
pub use crate::table::Lease;
pub use crate::table::LeaseOp;
pub use crate::table::LeaseRecord;
pub use crate::table::LeaseTable;
pub use crate::table::OpKind;
pub use crate::table::OpOutcome;

/// Name of the log stream that carries lease records.
pub const STREAM: &str = "lease";
