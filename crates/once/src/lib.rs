//! Tickets that let a non-idempotent request run at most once.
//!
//! A ticket names the host and the run of the process that minted it, and only
//! that run can ever start the request. No agreement between hosts is needed:
//! a retry that reaches another host is forwarded to the minter, and if the
//! minter is gone the answer is "unknown", never a second run. That a request
//! goes to the host that owns its state, and that the id says which host that
//! is, follows "Sessions in `OpenAM`: crosstalk and session failover with CTS";
//! its failover of ownership is left out here on purpose.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use cassia_once::{Redeemed, TicketStore};
//!
//! let now = Instant::now();
//! let mut desk = TicketStore::new("10.0.0.1:7000".parse().unwrap(), 7, [0; 32], now);
//! let ticket = desk.mint("savanna", "pass-status", now);
//! assert!(matches!(desk.redeem(&ticket, "savanna", "pass-status", now), Redeemed::Run(_)));
//! assert!(matches!(desk.redeem(&ticket, "savanna", "pass-status", now), Redeemed::Running(_)));
//! ```

mod outcome;
mod store;
mod ticket;

pub use crate::outcome::Outcome;
pub use crate::outcome::RunStatus;
pub use crate::outcome::TargetResponse;
pub use crate::store::Limits;
pub use crate::store::Redeemed;
pub use crate::store::TicketStore;
pub use crate::ticket::Ticket;
