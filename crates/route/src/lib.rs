//! Load balancing, admission control, routing and retry budgets.
//!
//! The choice of a target uses only atomics and one shared snapshot of the
//! targets. The admission controller is plain state that its owner guards with
//! a mutex. Nothing in this crate does I/O.
//!
//! ```
//! use cassia_route::RetryBudget;
//!
//! let mut budget = RetryBudget::default();
//! budget.record_success();
//! assert!(budget.try_retry());
//! ```

mod admission;
mod choose;
mod key_reads;
mod pick;
mod rate_limit;
mod recent_peak;
mod registry;
mod rendezvous;
mod retry_budget;
mod routing;
mod sample_limit;
mod target;
mod token_timer;
mod view;

pub use crate::admission::Admission;
pub use crate::admission::AdmissionController;
pub use crate::admission::AdmissionRequest;
pub use crate::admission::AdmissionState;
pub use crate::admission::WaiterId;
pub use crate::choose::Choice;
pub use crate::choose::LoadScope;
pub use crate::choose::Policy;
pub use crate::choose::SlotPreference;
pub use crate::choose::TargetQuery;
pub use crate::choose::TargetSet;
pub use crate::key_reads::KEY_READ_INTERVAL;
pub use crate::key_reads::KEY_READ_TIMEOUT;
pub use crate::key_reads::KEY_WAIT;
pub use crate::key_reads::KeyReadState;
pub use crate::key_reads::KeyReads;
pub use crate::key_reads::KeyWaiter;
pub use crate::key_reads::MAX_KEY_WAITERS;
pub use crate::key_reads::NextKeyRead;
pub use crate::registry::Heartbeat;
pub use crate::registry::TargetRegistry;
pub use crate::registry::Update;
pub use crate::rendezvous::highest_weight;
pub use crate::rendezvous::rank;
pub use crate::rendezvous::rendezvous_weight;
pub use crate::rendezvous::subset;
pub use crate::retry_budget::RetryBudget;
pub use crate::routing::CallerLimits;
pub use crate::routing::JobLimits;
pub use crate::routing::Route;
pub use crate::routing::RouteKind;
pub use crate::routing::RouteTable;
pub use crate::routing::Scaling;
pub use crate::sample_limit::Occupancy;
pub use crate::sample_limit::sample_limit;
pub use crate::target::InFlight;
pub use crate::target::Target;
pub use crate::token_timer::TokenTimer;
pub use crate::view::TargetInfo;
pub use crate::view::TargetKind;
pub use crate::view::TargetSnapshot;
pub use crate::view::TargetView;
