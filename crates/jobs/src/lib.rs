//! Durable batch jobs as records of a log.
//!
//! A job is accepted once its record is in the log, an item's result is listed
//! once its record is, and the order of the records gives each result its
//! position. Every process that folds the same records knows the same
//! positions, so nothing has to be agreed. The crate holds the records' form
//! and the fold; it reads no log and runs no item.
//!
//! ```
//! use cassia_jobs::{JobFold, JobRecord};
//!
//! let mut fold = JobFold::default();
//! fold.apply(0, &JobRecord::ended("7c41"));
//! assert!(fold.job("7c41").is_none());
//! ```

mod agenda;
mod events;
mod fold;
mod plan;
mod record;
mod text;

use smol_str::SmolStr;

pub use crate::agenda::Agenda;
pub use crate::agenda::Pending;
pub use crate::events::Event;
pub use crate::events::EventError;
pub use crate::events::EventParser;
pub use crate::fold::Folded;
pub use crate::fold::Job;
pub use crate::fold::JobFold;
pub use crate::plan::Attempts;
pub use crate::plan::NextStep;
pub use crate::record::Header;
pub use crate::record::Item;
pub use crate::record::ItemResult;
pub use crate::record::JobRecord;
pub use crate::record::Reward;
pub use crate::record::SplitError;
pub use crate::record::Submission;
pub use crate::text::ItemText;
pub use crate::text::TextError;

/// Names a batch job; drawn by whoever hands it in.
pub type JobId = SmolStr;
/// Names an item of a batch job.
pub type ItemId = SmolStr;

/// The topic of the log that carries batch jobs.
pub const TOPIC: &str = "jobs";

/// Gives the partition that carries a job, out of `parts`.
#[must_use]
pub fn partition(job: &str, parts: u32) -> u32 {
    // FNV-1a: all processes and releases must agree on it.
    let hash = job.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    u32::try_from((hash >> 16) % u64::from(parts.max(1))).unwrap_or(0)
}
