//! Usage of windows of time: counted at each host, decided once in a log, and
//! reported once.
//!
//! Each host counts the requests that began to run in a window, by customer, and
//! appends its cumulative counts to the log. One host decides a window's usage by
//! another record. The first decision of a window in the log is authoritative, so
//! that a report that is sent again, by any host, has the same counts.
//!
//! The crate does no I/O.
//!
//! ```
//! use cassia_usage::UsageAction;
//! use cassia_usage::UsageLedger;
//! use cassia_usage::UsageRecord;
//!
//! let mut ledger = UsageLedger::new(5_000);
//! let counts = [("leserbild".into(), 3)].into();
//! ledger.apply(&UsageRecord::Counts { host: "h1".into(), boot: 1, window: 2, counts });
//! for at in 10..20 {
//!     ledger.record_read(at * 1_000);
//! }
//! let UsageAction::Decide { window: 2, counts } = ledger.next(19_000) else { panic!() };
//! ledger.apply(&UsageRecord::Decision { window: 2, counts, fence: 7 });
//! assert!(matches!(ledger.next(19_000), UsageAction::Report { window: 2, .. }));
//! ```

mod counter;
mod ledger;
mod record;
mod true_time;

pub use crate::counter::UsageCounter;
pub use crate::counter::WindowCounts;
pub use crate::ledger::Applied;
pub use crate::ledger::UsageAction;
pub use crate::ledger::UsageLedger;
pub use crate::record::RecordError;
pub use crate::record::UsageRecord;
pub use crate::true_time::TrueTime;
