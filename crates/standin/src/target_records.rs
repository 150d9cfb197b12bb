//! What a target has received, and what it writes of itself.

use std::net::SocketAddr;
use std::time::Instant;

use http::HeaderMap;
use serde_json::Value;
use serde_json::json;

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
    /// All its headers, as received.
    pub headers: HeaderMap,
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

/// Returns the heartbeat of a target that is ready, in its first incarnation.
pub(crate) fn heartbeat(
    service: &str,
    addr: SocketAddr,
    model: Option<&str>,
    sequence: u64,
) -> Value {
    let models: Vec<_> =
        model.iter().map(|name| json!({"name": name, "version": 1, "adapters": []})).collect();
    json!({
        "service": service, "address": addr.to_string(), "zone": "z1", "version": "v1",
        "slot_count": 8, "state": "ready", "cold_left_ms": 0, "stage": "hybrid",
        "models": models, "born": 1, "sequence": sequence,
    })
}
