//! Encoding of the streams that a version of the software began as log records.

use bytes::Bytes;
use cassia_ids::Software;
use prost::Message;
use smol_str::SmolStr;

use crate::StreamDigest;

/// Streams that one version of a service's software began. Without streams, it only
/// says that this version served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamRecord {
    /// The service.
    pub service: SmolStr,
    /// The version of its software.
    pub software: Software,
    /// The streams.
    pub streams: Vec<StreamDigest>,
}

#[derive(Clone, Message, PartialEq)]
struct RecordWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    software: String,
    #[prost(fixed64, repeated, tag = "3")]
    streams: Vec<u64>,
}

/// A record can't be decoded.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("record of streams: {0}")]
pub struct RecordError(String);

impl StreamRecord {
    /// Encodes the record.
    #[must_use]
    pub fn to_record(&self) -> Bytes {
        let wire = RecordWire {
            service: self.service.to_string(),
            software: self.software.to_string(),
            streams: self.streams.clone(),
        };
        wire.encode_to_vec().into()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// The bytes can't be decoded, or name no service.
    pub fn decode(bytes: Bytes) -> Result<Self, RecordError> {
        let wire = RecordWire::decode(bytes).map_err(|e| RecordError(e.to_string()))?;
        if wire.service.is_empty() {
            return Err(RecordError("no service".to_owned()));
        }
        Ok(Self {
            service: wire.service.into(),
            software: wire.software.into(),
            streams: wire.streams,
        })
    }
}
