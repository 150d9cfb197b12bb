//! Encoding of crashes as log records.

use bytes::Bytes;
use cassia_ids::TargetId;
use prost::Message;

use crate::RequestDigest;

/// What a host learnt about a request under which a target crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineRecord {
    /// A target broke off while it ran the request.
    Crash {
        /// Digest of the request.
        digest: RequestDigest,
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: u64,
    },
    /// A target ran the request to its end, so it was not the cause.
    Cleared {
        /// Digest of the request.
        digest: RequestDigest,
    },
}

#[derive(Clone, Message, PartialEq)]
struct RecordWire {
    #[prost(bytes = "bytes", tag = "1")]
    digest: Bytes,
    #[prost(message, optional, tag = "2")]
    crash: Option<CrashWire>,
}

#[derive(Clone, Message, PartialEq)]
struct CrashWire {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
}

/// A record can't be decoded.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("record of a crash: {0}")]
pub struct RecordError(String);

impl QuarantineRecord {
    /// Encodes the record.
    #[must_use]
    pub fn to_record(&self) -> Bytes {
        let (digest, crash) = match self {
            Self::Crash { digest, target, incarnation } => {
                (digest, Some(CrashWire { target: target.to_string(), incarnation: *incarnation }))
            }
            Self::Cleared { digest } => (digest, None),
        };
        let digest = Bytes::copy_from_slice(&digest.to_be_bytes());
        RecordWire { digest, crash }.encode_to_vec().into()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// The bytes can't be decoded.
    pub fn decode(bytes: Bytes) -> Result<Self, RecordError> {
        let wire = RecordWire::decode(bytes).map_err(|e| RecordError(e.to_string()))?;
        let digest = wire.digest.as_ref().try_into();
        let digest = digest.map_err(|_| RecordError("digest of another length".to_owned()))?;
        let digest = RequestDigest::from_be_bytes(digest);
        Ok(match wire.crash {
            Some(CrashWire { target, incarnation }) => {
                Self::Crash { digest, target: target.into(), incarnation }
            }
            None => Self::Cleared { digest },
        })
    }
}
