//! Admission control with fair queueing among customers.
//!
//! A [`FairQueue`] decides which requests run on a limited number of slots,
//! which ones wait, and which ones are refused because they can't finish by
//! their deadline. Customers have equal weights: slots are given by start-time
//! fair queueing, so a customer that asks for much takes nothing from one that
//! asks for less than its share, and unused capacity is used. Among the requests
//! of one customer the class decides, then the priority, then the deadline.
//!
//! A [`PlannedStop`] decides what a host takes on while it is being stopped.
//!
//! The crate does no I/O and reads no clock. All decisions are O(log n) in the
//! number of waiting requests.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//! use cassia_admission::Admission;
//! use cassia_admission::Ask;
//! use cassia_admission::FairQueue;
//! use cassia_admission::RequestClass;
//! use cassia_admission::Turn;
//!
//! let now = Instant::now();
//! let mut queue = FairQueue::new(1);
//! let deadline = now + Duration::from_secs(1);
//! let class = RequestClass::Caller;
//! let ask = Ask { customer: "leserbild".into(), class, priority: 1, deadline };
//! assert_eq!(queue.admit(&ask, now), Admission::Run);
//! let Admission::Wait(waiter) = queue.admit(&ask, now) else { panic!("no slot is free") };
//! let ran_for = Duration::from_millis(25);
//! queue.finish("leserbild", class, Some(ran_for));
//! assert_eq!(queue.next_to_run(now + ran_for), Some(Turn::Run(waiter)));
//! ```

mod customer;
mod index;
mod planned_stop;
mod queue;
mod work_time;

pub use crate::planned_stop::PlannedStop;
pub use crate::planned_stop::StopDecision;
pub use crate::queue::Admission;
pub use crate::queue::Ask;
pub use crate::queue::CustomerState;
pub use crate::queue::FairQueue;
pub use crate::queue::MAX_WAITING;
pub use crate::queue::QueueState;
pub use crate::queue::Turn;

/// Id of a waiting request.
pub type WaiterId = u64;

/// Who waits for the response; earlier classes are served first within a
/// customer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RequestClass {
    /// A caller of a route.
    Caller,
    /// A batch job that needs the rewards of its items.
    Reward,
}
