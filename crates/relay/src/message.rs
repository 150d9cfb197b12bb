//! What the two hosts of a forwarded connection send each other.
//!
//! Hosts of earlier releases know no chunks. They ask for a plain connection, on which
//! the target's bytes come as they are, and answer a request for chunks with one.

use bytes::Bytes;
use prost::Enumeration;
use prost::Message;

/// Asks for a connection to a target.
#[derive(Clone, Message, PartialEq)]
pub struct RelayRequest {
    /// Id of the target in the platform's list. The host that is asked takes the
    /// address from its own copy of the list.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Incarnation of the target.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether the target's bytes may come in chunks, which say where they end.
    #[prost(bool, tag = "3")]
    pub accepts_chunks: bool,
    /// How long after the reply bytes are passed on to the target, in milliseconds; 0
    /// for as long as the connection lasts. Hosts that know no chunks keep no limit.
    #[prost(uint32, tag = "4")]
    pub send_within_ms: u32,
}

/// Part of what a target sent.
#[derive(Clone, Message, PartialEq)]
pub struct RelayChunk {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
    /// Whether the target closed its side of the connection after them. A connection
    /// that ends without this broke off.
    #[prost(bool, tag = "2")]
    pub is_last: bool,
    /// Whether no further request may be sent on this connection: the host that forwards is
    /// being stopped, or the target gets no new work. Hosts of earlier releases neither say
    /// nor know this, or say it only in a stop.
    #[prost(bool, tag = "3")]
    pub is_draining: bool,
    /// Whether the target has stated that it is leaving. Comes with `is_draining`.
    #[prost(bool, tag = "4")]
    pub is_leaving: bool,
}

/// The response to a request for a connection.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum RelayReply {
    /// The response can't be decoded.
    Invalid = 0,
    /// The connection stands. All further bytes are its bytes, in both directions.
    Connected = 1,
    /// The host that was asked can't reach the target either.
    Unreachable = 2,
    /// The target is not in its list, or must get no new work.
    NotListed = 3,
    /// It forwards as many connections as it can, or is stopping, or makes none to this
    /// target for hosts of an earlier release.
    Busy = 4,
    /// It doesn't know the host that asks.
    UnknownHost = 5,
    /// The connection stands. The target's bytes come as messages of type
    /// [`RelayChunk`].
    ConnectedInChunks = 6,
}

#[derive(Clone, Message, PartialEq)]
struct ReplyWire {
    #[prost(enumeration = "RelayReply", tag = "1")]
    reply: i32,
}

/// A message can't be decoded.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("message between hosts: {0}")]
pub struct MessageError(String);

impl RelayReply {
    /// Encodes the reply.
    #[must_use]
    pub fn to_bytes(self) -> Bytes {
        ReplyWire { reply: self.into() }.encode_to_vec().into()
    }

    /// Decodes a reply.
    ///
    /// # Errors
    ///
    /// The bytes can't be decoded.
    pub fn decode(bytes: Bytes) -> Result<Self, MessageError> {
        let wire = ReplyWire::decode(bytes).map_err(|e| MessageError(e.to_string()))?;
        Ok(wire.reply())
    }
}
