//! Tickets that let a non-idempotent request run at most once.
//!
//! A ticket names the address and the boot id of the process that minted it,
//! and only that process can start the request. No agreement between hosts is
//! needed: a retry that reaches another host is forwarded to the minter. If
//! the minter is gone, the answer is "unknown", and the request never runs
//! again. Routing a request to the host that owns its state, with the id
//! naming that host, follows "Sessions in `OpenAM`: crosstalk and session
//! failover with CTS"; its failover of ownership is left out on purpose.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use cassia_tickets::{Redeemed, TicketStore};
//!
//! let now = Instant::now();
//! let mut store = TicketStore::new("10.0.0.1:7000".parse().unwrap(), 7, [0; 32], now);
//! let ticket = store.mint("savanna", "pass-status", now);
//! assert!(matches!(store.redeem(&ticket, "savanna", "pass-status", now), Redeemed::Run(_)));
//! assert!(matches!(store.redeem(&ticket, "savanna", "pass-status", now), Redeemed::Running(_)));
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
