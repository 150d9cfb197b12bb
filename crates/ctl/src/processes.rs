//! The commands that inspect processes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::HttpClient;
use serde_json::Value;
use serde_json::json;

use crate::Outcome;
use crate::Printer;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

async fn fetch_state(ops: SocketAddr) -> Result<Value, String> {
    let client = HttpClient::default();
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let state = client.fetch_json::<(), Value>("read state", ops, "/state", None, deadline).await;
    state.map_err(|e| e.to_string())
}

pub(crate) async fn dump(out: &Printer, ops: SocketAddr) -> Outcome {
    match fetch_state(ops).await {
        Ok(state) => {
            out.result(&serde_json::to_string_pretty(&state).unwrap_or_default(), &state);
            Outcome::Done
        }
        Err(e) => {
            out.error(&e);
            Outcome::Unreachable
        }
    }
}

pub(crate) async fn status(out: &Printer, ops: &[SocketAddr]) -> Outcome {
    let mut outcome = Outcome::Done;
    for &addr in ops {
        match fetch_state(addr).await {
            Ok(state) => {
                let (process, config) = (&state["process"], &state["config"]);
                let text = format!(
                    "{} ready={} config={} peers={} targets={}",
                    process["id"].as_str().unwrap_or("?"),
                    process["ready"],
                    config["next"],
                    state["peers"]["count"],
                    state["targets"]["count"],
                );
                let value = json!({
                    "id": process["id"],
                    "ready": process["ready"],
                    "config_next": config["next"],
                    "peers": state["peers"]["count"],
                    "targets": state["targets"]["count"],
                });
                out.result(&text, &value);
            }
            Err(e) => {
                out.error(&e);
                outcome = Outcome::Unreachable;
            }
        }
    }
    outcome
}
