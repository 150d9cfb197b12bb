//! Membership between processes by probes and piggybacked rumours.
//!
//! Each process probes one other a period, and what it has heard rides on the
//! probes and their answers, so a process's cost doesn't grow with the number
//! of processes. The scheme is that of Das, Gupta and Motivala, "SWIM:
//! Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol". Views differ between processes at any time: they serve speed and
//! freshness, and nothing that must hold rests on them. Pure state: the owner
//! sends the datagrams and passes the time in.
//!
//! ```
//! use std::time::Instant;
//!
//! use cassia_member::{Me, Membership};
//!
//! let me = Me {
//!     id: "h1".into(),
//!     addr: "127.0.0.1:7000".parse().unwrap(),
//!     data_centre: "dc1".into(),
//!     incarnation: 1,
//! };
//! let mut membership = Membership::new(me, 42, Instant::now());
//! assert!(membership.tick(Instant::now()).is_empty());
//! ```

mod message;
mod state;

pub use crate::message::Closed;
pub use crate::message::Gossip;
pub use crate::message::Kind;
pub use crate::message::Rumour;
pub use crate::message::Standing;
pub use crate::state::Datagram;
pub use crate::state::Me;
pub use crate::state::Membership;
pub use crate::state::Peer;
