//! The interface to the append-only log.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use cassia_ids::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::PlatformError;

/// A record and its offset.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: Offset,
    /// Text of the record.
    pub record: String,
}

/// The result of a read.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LogPage {
    /// The oldest offset that the log still has.
    #[serde(rename = "first")]
    pub oldest: Offset,
    /// The offset that the next record will get.
    pub end: Offset,
    /// Records from the requested offset on, or from `oldest` if that is
    /// later.
    pub records: Vec<LogRecord>,
}

/// Client of the append-only log.
#[async_trait]
pub trait Log: Debug + Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// The record may have been appended if the error's `run_status()` is
    /// `Unknown`.
    async fn append(&self, stream: &str, record: String) -> Result<Offset, PlatformError>;

    /// Reads records from an offset on, and waits up to `wait` if there are
    /// none. `timeout` limits the time for the response beyond that.
    ///
    /// # Errors
    ///
    /// The log can't be reached, or answers with an error.
    async fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
        timeout: Duration,
    ) -> Result<LogPage, PlatformError>;
}
