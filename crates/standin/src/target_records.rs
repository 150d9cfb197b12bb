//! What a target has received.

use std::time::Instant;

/// A request that ran on a target.
#[derive(Clone, Debug)]
pub struct RequestRun {
    /// Id of the attempt.
    pub id: String,
    /// Path, with the query.
    pub path: String,
    /// When it started.
    pub started: Instant,
    /// How long its sender waits, as its header says.
    pub timeout_ms: Option<u64>,
    /// Id of the event after which the stream resumed.
    pub last_event_id: Option<u64>,
}

/// An order that an engine received, whether it accepted it or not.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    /// The lease holder that sent it.
    pub holder: String,
    /// The holder's fencing token.
    pub fence: u64,
    /// The version to load.
    pub version: u64,
    /// When it arrived.
    pub received: Instant,
    /// Id of the engine.
    pub engine: String,
}
