//! The messages between processes over TCP: one request and one response per
//! connection, each in a length-delimited frame.

use prost::Message;
use prost::Oneof;

/// The frame of a request.
#[derive(Clone, Message, PartialEq)]
pub struct LinkRequest {
    /// The request.
    #[prost(oneof = "PeerRequest", tags = "1, 2, 3, 4, 5")]
    pub request: Option<PeerRequest>,
}

/// A request to a peer.
#[derive(Clone, Oneof, PartialEq)]
pub enum PeerRequest {
    /// Fetches the configuration.
    #[prost(message, tag = "1")]
    Config(ConfigRequest),
    /// Runs a non-idempotent request whose ticket the peer issued.
    #[prost(message, tag = "2")]
    Redeem(RedeemRequest),
    /// Serves a trainer's pull.
    #[prost(message, tag = "3")]
    Pull(PullRequest),
    /// Takes over a trainer's samples.
    #[prost(message, tag = "4")]
    TakeOver(TakeOverRequest),
    /// Fetches the targets, for a process that can't reach the platform's
    /// list.
    #[prost(message, tag = "5")]
    Targets(TargetsRequest),
}

/// Fetches the configuration from an offset on.
#[derive(Clone, Message, PartialEq)]
pub struct ConfigRequest {
    /// The first offset that the sender lacks.
    #[prost(uint64, tag = "1")]
    pub next: u64,
}

/// Runs a request under a ticket.
#[derive(Clone, Message, PartialEq)]
pub struct RedeemRequest {
    /// The ticket's text.
    #[prost(string, tag = "1")]
    pub ticket: String,
    /// The customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// The route.
    #[prost(string, tag = "3")]
    pub route: String,
    /// The request's body.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// Time left until the deadline.
    #[prost(uint64, tag = "5")]
    pub remaining_ms: u64,
}

/// Fetches a trainer's next lot.
#[derive(Clone, Message, PartialEq)]
pub struct PullRequest {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The trainer.
    #[prost(string, tag = "2")]
    pub trainer: String,
    /// The pull's body, as the trainer sent it.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// Hands over a trainer's samples before a planned stop.
#[derive(Clone, Message, PartialEq)]
pub struct TakeOverRequest {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The trainer.
    #[prost(string, tag = "2")]
    pub trainer: String,
    /// Maximum number of tokens in a sample.
    #[prost(uint32, tag = "3")]
    pub max_tokens: u32,
    /// The samples kept for the trainer, as JSON.
    #[prost(bytes = "vec", tag = "4")]
    pub samples: Vec<u8>,
}

/// Fetches the targets.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct TargetsRequest {}

/// The frame of a response.
#[derive(Clone, Message, PartialEq)]
pub struct LinkResponse {
    /// The response.
    #[prost(oneof = "PeerResponse", tags = "1, 2, 3")]
    pub response: Option<PeerResponse>,
}

/// A response from a peer.
#[derive(Clone, Oneof, PartialEq)]
pub enum PeerResponse {
    /// The configuration.
    #[prost(message, tag = "1")]
    Config(ConfigResponse),
    /// A response to relay to the caller.
    #[prost(message, tag = "2")]
    Relayed(RelayedResponse),
    /// The targets.
    #[prost(message, tag = "3")]
    Targets(TargetsResponse),
}

/// The targets, as the peer sees them.
#[derive(Clone, Message, PartialEq)]
pub struct TargetsResponse {
    /// A copy of the list, as JSON.
    #[prost(string, tag = "1")]
    pub list: String,
}

/// The configuration from an offset on.
#[derive(Clone, Message, PartialEq)]
pub struct ConfigResponse {
    /// The records from the requested offset on, if they are still kept.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<StreamRecord>,
    /// All the contracts as JSON, if they are not.
    #[prost(string, tag = "2")]
    pub contracts: String,
}

/// One record of the configuration stream.
#[derive(Clone, Message, PartialEq)]
pub struct StreamRecord {
    /// Its offset.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Its text.
    #[prost(string, tag = "2")]
    pub record: String,
}

/// An HTTP response to relay to the caller unchanged.
#[derive(Clone, Message, PartialEq)]
pub struct RelayedResponse {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The body.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
}
