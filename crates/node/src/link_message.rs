//! The messages between processes over TCP: one question and one reply a
//! connection, each a length-delimited frame.

use prost::Message;
use prost::Oneof;

/// A question.
#[derive(Clone, Message, PartialEq)]
pub struct LinkRequest {
    /// What is asked.
    #[prost(oneof = "Ask", tags = "1, 2, 3, 4, 5")]
    pub ask: Option<Ask>,
}

/// What is asked.
#[derive(Clone, Oneof, PartialEq)]
pub enum Ask {
    /// For the configuration.
    #[prost(message, tag = "1")]
    Config(ConfigAsk),
    /// To run a non-idempotent request whose ticket the asked process minted.
    #[prost(message, tag = "2")]
    Redeem(RedeemAsk),
    /// To serve a trainer's pull.
    #[prost(message, tag = "3")]
    Pull(PullAsk),
    /// To take a trainer's samples over.
    #[prost(message, tag = "4")]
    TakeOver(TakeOverAsk),
    /// For the targets, by one whom the platform's list doesn't answer.
    #[prost(message, tag = "5")]
    Targets(TargetsAsk),
}

/// Asks for what the configuration has past an offset.
#[derive(Clone, Message, PartialEq)]
pub struct ConfigAsk {
    /// The first offset that the asker lacks.
    #[prost(uint64, tag = "1")]
    pub next: u64,
}

/// Asks to run a request under a ticket.
#[derive(Clone, Message, PartialEq)]
pub struct RedeemAsk {
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
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub left_ms: u64,
}

/// Asks for a trainer's next lot.
#[derive(Clone, Message, PartialEq)]
pub struct PullAsk {
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

/// Asks to take a trainer's samples over before a planned stop.
#[derive(Clone, Message, PartialEq)]
pub struct TakeOverAsk {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The trainer.
    #[prost(string, tag = "2")]
    pub trainer: String,
    /// The most tokens of one sample.
    #[prost(uint32, tag = "3")]
    pub max_tokens: u32,
    /// What was kept, as JSON.
    #[prost(bytes = "vec", tag = "4")]
    pub kept: Vec<u8>,
}

/// Asks for the targets.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct TargetsAsk {}

/// A reply.
#[derive(Clone, Message, PartialEq)]
pub struct LinkReply {
    /// What is replied.
    #[prost(oneof = "Reply", tags = "1, 2, 3")]
    pub reply: Option<Reply>,
}

/// What is replied.
#[derive(Clone, Oneof, PartialEq)]
pub enum Reply {
    /// The configuration.
    #[prost(message, tag = "1")]
    Config(ConfigReply),
    /// The answer to hand to the caller.
    #[prost(message, tag = "2")]
    Served(Served),
    /// The targets.
    #[prost(message, tag = "3")]
    Targets(TargetsReply),
}

/// The targets, as the asked process sees them.
#[derive(Clone, Message, PartialEq)]
pub struct TargetsReply {
    /// A copy of the list, as JSON.
    #[prost(string, tag = "1")]
    pub copy: String,
}

/// The configuration past an offset.
#[derive(Clone, Message, PartialEq)]
pub struct ConfigReply {
    /// The records from the asked-for offset on, if they are still kept.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<ConfigRecord>,
    /// Otherwise the whole state, as JSON.
    #[prost(string, tag = "2")]
    pub fold: String,
}

/// One record of the configuration stream.
#[derive(Clone, Message, PartialEq)]
pub struct ConfigRecord {
    /// Its offset.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Its text.
    #[prost(string, tag = "2")]
    pub record: String,
}

/// An answer to hand to the caller as it is.
#[derive(Clone, Message, PartialEq)]
pub struct Served {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The body.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
}
