//! The platform's append-only log.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use cassia_ids::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::PlatformError;

/// One record with its place.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogRecord {
    /// Its place in the stream.
    pub offset: Offset,
    /// Its text.
    pub record: String,
}

/// What a read gives.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LogPage {
    /// The oldest offset that is still kept.
    pub first: Offset,
    /// The offset that the next record will get.
    pub end: Offset,
    /// Records from the asked-for offset on, or from `first` if that is later.
    pub records: Vec<LogRecord>,
}

/// The platform's append-only log.
#[async_trait]
pub trait Log: Debug + Send + Sync {
    /// Appends a record and gives its offset.
    ///
    /// # Errors
    ///
    /// After an error whose `ran()` is unknown the record may be there.
    async fn append(&self, stream: &str, record: String) -> Result<Offset, PlatformError>;

    /// Reads records from an offset on, and waits a while if there are none.
    /// `patience` is how much longer than that the answer may take.
    ///
    /// # Errors
    ///
    /// The log can't be reached, or answers with an error.
    async fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
        patience: Duration,
    ) -> Result<LogPage, PlatformError>;
}
