//! At which version of the targets' software a stream may be resumed.
//!
//! Several versions of a service's software may serve side by side, and what two of
//! them write doesn't fit together. A caller may resume a stream at any host, so the
//! hosts report to each other which version began which stream, while a service has
//! more than one. A stream of which that is not known is resumed only where a single
//! version can have begun it.
//!
//! The crate does no I/O.
//!
//! ```
//! use std::time::Instant;
//! use cassia_resume::ResumeDecision;
//! use cassia_resume::StreamTable;
//! use cassia_resume::stream_digest;
//!
//! let now = Instant::now();
//! let mut table = StreamTable::default();
//! for software in ["v1", "v2"] {
//!     table.observe(&"lm".into(), &software.into(), now);
//! }
//! let services = ["lm".into()];
//! assert_eq!(table.decide(stream_digest("a"), &services, now), ResumeDecision::Unknown);
//! table.begin(stream_digest("a"), &"lm".into(), &"v2".into(), now);
//! let at = ResumeDecision::At { service: "lm".into(), software: "v2".into() };
//! assert_eq!(table.decide(stream_digest("a"), &services, now), at);
//! ```

mod record;
mod table;

use xxhash_rust::xxh3::xxh3_64;

pub use crate::record::RecordError;
pub use crate::record::StreamRecord;
pub use crate::table::RETENTION;
pub use crate::table::ResumeDecision;
pub use crate::table::StreamTable;

/// Digest of the id of the attempt that brought a stream's first event.
pub type StreamDigest = u64;

/// Returns the digest of the id of an attempt.
#[must_use]
pub fn stream_digest(id: &str) -> StreamDigest {
    xxh3_64(id.as_bytes())
}
