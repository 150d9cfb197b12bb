//! Encoding of usage as log records.

use std::collections::BTreeMap;

use bytes::Bytes;
use cassia_ids::BootId;
use cassia_ids::CustomerId;
use cassia_ids::Fence;
use cassia_ids::HostId;
use prost::Message;

#[derive(Clone, Eq, Message, PartialEq)]
struct Counts {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(uint64, tag = "2")]
    boot: u64,
    #[prost(uint64, tag = "3")]
    window: u64,
    #[prost(btree_map = "string, uint64", tag = "4")]
    requests: BTreeMap<String, u64>,
}

#[derive(Clone, Eq, Message, PartialEq)]
struct Decision {
    #[prost(uint64, tag = "1")]
    window: u64,
    #[prost(btree_map = "string, uint64", tag = "2")]
    counts: BTreeMap<String, u64>,
    #[prost(uint64, tag = "3")]
    fence: u64,
}

#[derive(Clone, Eq, Message, PartialEq)]
struct Reported {
    #[prost(uint64, tag = "1")]
    window: u64,
}

#[derive(Clone, Eq, prost::Oneof, PartialEq)]
enum Body {
    #[prost(message, tag = "1")]
    Counts(Counts),
    #[prost(message, tag = "2")]
    Decision(Decision),
    #[prost(message, tag = "3")]
    Reported(Reported),
}

#[derive(Clone, Eq, Message, PartialEq)]
struct Envelope {
    #[prost(oneof = "Body", tags = "1, 2, 3")]
    body: Option<Body>,
}

/// A record of the usage topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UsageRecord {
    /// A host's counts of a window.
    Counts {
        /// The host.
        host: HostId,
        /// The run of its process.
        boot: BootId,
        /// The window.
        window: u64,
        /// The cumulative counts that have changed, by customer.
        counts: BTreeMap<CustomerId, u64>,
    },
    /// The usage of a window, unless the log has an earlier decision of it.
    Decision {
        /// The window.
        window: u64,
        /// Requests by customer.
        counts: BTreeMap<CustomerId, u64>,
        /// The fencing token of the host that decided.
        fence: Fence,
    },
    /// The platform has accepted the usage of a window.
    Reported {
        /// The window.
        window: u64,
    },
}

/// A record that this release can't decode.
#[derive(Debug)]
pub struct RecordError(Option<prost::DecodeError>);

impl std::fmt::Display for RecordError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.0 {
            Some(e) => write!(f, "usage record: {e}"),
            None => write!(f, "usage record of an unknown kind"),
        }
    }
}

impl std::error::Error for RecordError {}

fn to_wire(counts: &BTreeMap<CustomerId, u64>) -> BTreeMap<String, u64> {
    counts.iter().map(|(customer, count)| (customer.to_string(), *count)).collect()
}

fn from_wire(counts: BTreeMap<String, u64>) -> BTreeMap<CustomerId, u64> {
    counts.into_iter().map(|(customer, count)| (customer.into(), count)).collect()
}

impl UsageRecord {
    /// Encodes the record.
    #[must_use]
    pub fn to_record(&self) -> Bytes {
        let body = match self {
            Self::Counts { host, boot, window, counts } => Body::Counts(Counts {
                host: host.to_string(),
                boot: *boot,
                window: *window,
                requests: to_wire(counts),
            }),
            Self::Decision { window, counts, fence } => {
                Body::Decision(Decision { window: *window, counts: to_wire(counts), fence: *fence })
            }
            Self::Reported { window } => Body::Reported(Reported { window: *window }),
        };
        Envelope { body: Some(body) }.encode_to_vec().into()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// The bytes are no record of a kind that this release knows.
    pub fn decode(bytes: Bytes) -> Result<Self, RecordError> {
        let envelope = Envelope::decode(bytes).map_err(|e| RecordError(Some(e)))?;
        Ok(match envelope.body.ok_or(RecordError(None))? {
            Body::Counts(record) => Self::Counts {
                host: record.host.into(),
                boot: record.boot,
                window: record.window,
                counts: from_wire(record.requests),
            },
            Body::Decision(record) => Self::Decision {
                window: record.window,
                counts: from_wire(record.counts),
                fence: record.fence,
            },
            Body::Reported(record) => Self::Reported { window: record.window },
        })
    }
}
