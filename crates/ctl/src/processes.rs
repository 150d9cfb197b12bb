//! The commands that look at processes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_platform::HttpClient;
use serde_json::Value;
use serde_json::json;

use crate::Ended;
use crate::Printer;

const TIMEOUT: Duration = Duration::from_secs(3);

async fn state(ops: SocketAddr) -> Result<Value, String> {
    let client = HttpClient::default();
    let deadline = Instant::now() + TIMEOUT;
    let state = client.fetch_json::<(), Value>("read state", ops, "/state", None, deadline).await;
    state.map_err(|e| e.to_string())
}

pub(crate) async fn dump(out: &Printer, ops: SocketAddr) -> Ended {
    match state(ops).await {
        Ok(state) => {
            out.result(&serde_json::to_string_pretty(&state).unwrap_or_default(), &state);
            Ended::Done
        }
        Err(e) => {
            out.failure(&e);
            Ended::Unreachable
        }
    }
}

pub(crate) async fn status(out: &Printer, ops: &[SocketAddr]) -> Ended {
    let mut ended = Ended::Done;
    for &addr in ops {
        match state(addr).await {
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
                out.failure(&e);
                ended = Ended::Unreachable;
            }
        }
    }
    ended
}
