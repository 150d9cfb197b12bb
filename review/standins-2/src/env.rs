//! The store, with a configuration.

use std::io;
use std::sync::Arc;

use cassia_standin::StoreStandin;
use serde_json::Value;
use serde_json::json;

use crate::client::ROUTE_HOST;

/// Number of partitions of a topic, as in the small deployments.
pub const PARTITIONS: u32 = 12;
/// The model of the engines.
pub const MODEL: &str = "m";

/// Starts a store with a configuration.
pub async fn start_store(config: &Value) -> io::Result<Arc<StoreStandin>> {
    let store = Arc::new(StoreStandin::start(PARTITIONS).await?);
    store.put("keyed.op", "config", Some(config));
    Ok(store)
}

/// Returns a route.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64) -> Value {
    json!({
        "name": name, "host": ROUTE_HOST, "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": timeout_ms, "slo_ms": 400, "priority": 2, "service": service,
        "max_attempts": 3,
    })
}

/// Returns a configuration with the limits of the small deployments.
pub fn config(version: u64, routes: Vec<Value>) -> Value {
    json!({"version": version, "routes": routes, "services": [], "limits": {
        "max_header_bytes": 16_384, "max_body_bytes": 32 << 20,
        "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}})
}
