//! Choice of target, admission by share and deadline, and retry budgets.
//!
//! These are the decisions on a request's way. The choice of target uses only
//! atomics and one shared snapshot of the targets; the gate is pure state that
//! its owner guards with a short lock. Nothing here does I/O.
//!
//! ```
//! use cassia_route::Budget;
//!
//! let mut budget = Budget::default();
//! budget.succeeded();
//! assert!(budget.try_retry());
//! ```

mod budget;
mod choose;
mod gate;
mod pace;
mod room;
mod roster;
mod routing;
mod subset;
mod target;
mod view;

pub use crate::budget::Budget;
pub use crate::choose::Choice;
pub use crate::choose::Competes;
pub use crate::choose::FreeSlot;
pub use crate::choose::Policy;
pub use crate::choose::TargetSet;
pub use crate::choose::Wanted;
pub use crate::gate::Entered;
pub use crate::gate::Gate;
pub use crate::gate::GateState;
pub use crate::gate::Request;
pub use crate::gate::Waiter;
pub use crate::pace::Pace;
pub use crate::room::Occupancy;
pub use crate::room::room;
pub use crate::roster::Change;
pub use crate::roster::Heartbeat;
pub use crate::roster::Roster;
pub use crate::routing::CallerLimits;
pub use crate::routing::JobLimits;
pub use crate::routing::Route;
pub use crate::routing::RouteKind;
pub use crate::routing::RouteTable;
pub use crate::subset::highest;
pub use crate::subset::rank;
pub use crate::subset::subset;
pub use crate::target::Target;
pub use crate::target::Use;
pub use crate::view::ListCopy;
pub use crate::view::Listed;
pub use crate::view::TargetKind;
pub use crate::view::TargetView;
