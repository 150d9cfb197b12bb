//! Requests that crash the targets that run them: recognised again and no longer
//! sent.
//!
//! Each attempt of a caller has its own id, so a request that comes again is
//! recognised by a digest of what it asks for; an item of a batch job by its id as well,
//! since the samples of a prompt all ask for the same. Each host reports the targets that
//! broke off while they ran a request. All hosts read these reports.
//!
//! What counts against a request are crashes that are independent of each other: one whose
//! run began when the one before was known. However many targets end at one moment, with
//! however many runs of the request, they may all have ended for one reason. After a few
//! such crashes the request is held back, unless a target has run it to its end, and tried
//! at growing intervals. Before that, it is not sent to the last target that its service
//! has.
//!
//! An item of a batch job can't be refused. It runs again at growing intervals.
//!
//! The crate does no I/O.
//!
//! ```
//! use std::time::Instant;
//! use cassia_quarantine::CrashReport;
//! use cassia_quarantine::QuarantineRecord;
//! use cassia_quarantine::QuarantineTable;
//! use cassia_quarantine::RunDecision;
//! use cassia_quarantine::RunEvidence;
//! use cassia_quarantine::Work;
//! use cassia_quarantine::request_digest;
//!
//! let now = Instant::now();
//! let digest = request_digest("app.example", "POST", "/quote/1", b"body");
//! let mut table = QuarantineTable::default();
//! for n in 0..3 {
//!     let crash = CrashReport {
//!         work: Work::of_request(digest),
//!         target: format!("t{n}").into(),
//!         incarnation: 1,
//!         run: Some(RunEvidence { id: n + 1, known_crashes: table.known_crashes(digest) }),
//!         crashed_ms: 0,
//!     };
//!     table.apply(&QuarantineRecord::Crash(crash), now, now);
//! }
//! assert!(matches!(table.next_request(digest, now), RunDecision::RunAt(_)));
//! ```

mod digest;
mod exposure;
mod record;
mod suspect;
mod table;

pub use crate::digest::RequestDigest;
pub use crate::digest::Work;
pub use crate::digest::request_digest;
pub use crate::exposure::Exposure;
pub use crate::exposure::SendDecision;
pub use crate::record::CrashReport;
pub use crate::record::CrashedTarget;
pub use crate::record::QuarantineRecord;
pub use crate::record::RecordError;
pub use crate::record::RunEvidence;
pub use crate::table::QUARANTINE;
pub use crate::table::QuarantineTable;
pub use crate::table::RESTART_TIME;
pub use crate::table::RunDecision;
pub use crate::table::TRIAL_TIME;
