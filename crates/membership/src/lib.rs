//! Membership of processes by probes and gossip.
//!
//! Each process probes one other per period. Updates about processes are
//! piggybacked on the probes and acks, so a process's cost doesn't grow with
//! the number of processes. The scheme is that of Das, Gupta and Motivala,
//! "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol". Views may differ between processes at any time: they are only
//! used for speed and freshness; correctness must not depend on them. This
//! crate does no I/O: its user sends the datagrams and passes in the time.
//!
//! ```
//! use std::time::Instant;
//!
//! use cassia_membership::{LocalMember, Membership};
//!
//! let local = LocalMember {
//!     id: "h1".into(),
//!     addr: "127.0.0.1:7000".parse().unwrap(),
//!     data_centre: "dc1".into(),
//!     incarnation: 1,
//! };
//! let mut membership = Membership::new(local, 42, Instant::now());
//! assert!(membership.tick(Instant::now()).is_empty());
//! ```

mod message;
mod state;

pub use crate::message::ClosedTarget;
pub use crate::message::Gossip;
pub use crate::message::MemberStatus;
pub use crate::message::MemberUpdate;
pub use crate::message::MessageKind;
pub use crate::state::Datagram;
pub use crate::state::LocalMember;
pub use crate::state::Membership;
pub use crate::state::Peer;
