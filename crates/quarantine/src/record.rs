//! Encoding of crashes as log records.

use bytes::Bytes;
use cassia_ids::TargetId;
use prost::Message;

use crate::RequestDigest;
use crate::Work;

/// A target that crashed, and its incarnation.
pub type CrashedTarget = (TargetId, u64);

/// What a host learnt about a request under which a target crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineRecord {
    /// A target broke off while it ran the request.
    Crash(CrashReport),
    /// A target ran the request to its end, or an item further than before, so it was not
    /// the cause.
    Cleared {
        /// The request.
        work: Work,
    },
}

/// A target broke off while it ran a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The request.
    pub work: Work,
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: u64,
    /// The run that broke off; none in reports of earlier releases.
    pub run: Option<RunEvidence>,
    /// When it did, in Unix milliseconds; zero in reports of earlier releases.
    pub crashed_ms: u64,
}

/// What tells whether two crashes under a request are independent of each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunEvidence {
    /// Tells the run from all others; not zero.
    pub id: u64,
    /// How many independent crashes were known under the request when the run began.
    pub known_crashes: u32,
}

#[derive(Clone, Message, PartialEq)]
struct RecordWire {
    #[prost(bytes = "bytes", tag = "1")]
    digest: Bytes,
    #[prost(message, optional, tag = "2")]
    crash: Option<CrashWire>,
    #[prost(bytes = "bytes", tag = "3")]
    item: Bytes,
}

#[derive(Clone, Message, PartialEq)]
struct CrashWire {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    run_id: u64,
    #[prost(uint32, tag = "4")]
    known_crashes: u32,
    #[prost(uint64, tag = "5")]
    crashed_ms: u64,
}

/// A record can't be decoded.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("record of a crash: {0}")]
pub struct RecordError(String);

impl QuarantineRecord {
    /// Returns the request that the record is about.
    #[must_use]
    pub fn work(&self) -> Work {
        match self {
            Self::Crash(crash) => crash.work,
            Self::Cleared { work } => *work,
        }
    }

    /// Encodes the record.
    #[must_use]
    pub fn to_record(&self) -> Bytes {
        let work = self.work();
        let crash = match self {
            Self::Crash(crash) => Some(CrashWire {
                target: crash.target.to_string(),
                incarnation: crash.incarnation,
                run_id: crash.run.map_or(0, |run| run.id),
                known_crashes: crash.run.map_or(0, |run| run.known_crashes),
                crashed_ms: crash.crashed_ms,
            }),
            Self::Cleared { .. } => None,
        };
        let digest = Bytes::copy_from_slice(&work.content.to_be_bytes());
        let item =
            work.item.map_or_else(Bytes::new, |item| Bytes::copy_from_slice(&item.to_be_bytes()));
        RecordWire { digest, crash, item }.encode_to_vec().into()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// The bytes can't be decoded.
    pub fn decode(bytes: Bytes) -> Result<Self, RecordError> {
        let wire = RecordWire::decode(bytes).map_err(|e| RecordError(e.to_string()))?;
        let content = decode_digest(&wire.digest)?;
        let item = if wire.item.is_empty() { None } else { Some(decode_digest(&wire.item)?) };
        let work = Work { content, item };
        Ok(wire.crash.map_or(Self::Cleared { work }, |crash| {
            let run = RunEvidence { id: crash.run_id, known_crashes: crash.known_crashes };
            Self::Crash(CrashReport {
                work,
                target: crash.target.into(),
                incarnation: crash.incarnation,
                run: (run.id != 0).then_some(run),
                crashed_ms: crash.crashed_ms,
            })
        }))
    }
}

fn decode_digest(bytes: &[u8]) -> Result<RequestDigest, RecordError> {
    let digest = bytes.try_into();
    let digest = digest.map_err(|_| RecordError("digest of another length".to_owned()))?;
    Ok(RequestDigest::from_be_bytes(digest))
}
