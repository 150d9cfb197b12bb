//! Requests that crash the targets that run them: recognised again and no longer
//! sent.
//!
//! Each attempt of a caller has its own id, so a request that comes again is
//! recognised by a digest of what it asks for. Each host reports the targets that
//! broke off while they ran a request. All hosts read these reports: after a few
//! crashes they refuse the request, unless a target has run it to its end. Before
//! that, they don't send it to the last target that its service has.
//!
//! An item of a batch job can't be refused. It runs again at growing intervals, and is not
//! run any more after a larger number of crashes.
//!
//! The crate does no I/O.
//!
//! ```
//! use std::time::Instant;
//! use cassia_quarantine::QuarantineRecord;
//! use cassia_quarantine::QuarantineTable;
//! use cassia_quarantine::request_digest;
//!
//! let now = Instant::now();
//! let digest = request_digest("app.example", "POST", "/quote/1", b"body");
//! let mut table = QuarantineTable::default();
//! for n in 0..3 {
//!     let target = format!("t{n}").into();
//!     table.apply(&QuarantineRecord::Crash { digest, target, incarnation: 1 }, now);
//! }
//! assert!(table.is_quarantined(digest, now));
//! ```

mod digest;
mod exposure;
mod record;
mod table;

pub use crate::digest::RequestDigest;
pub use crate::digest::request_digest;
pub use crate::exposure::Exposure;
pub use crate::exposure::SendDecision;
pub use crate::record::QuarantineRecord;
pub use crate::record::RecordError;
pub use crate::table::CrashedTarget;
pub use crate::table::QUARANTINE;
pub use crate::table::QuarantineTable;
pub use crate::table::RESTART_TIME;
pub use crate::table::RunDecision;
