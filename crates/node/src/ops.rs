//! HTTP endpoints for operators and the platform's load balancer.
//!
//! They are served on a separate address, so that callers can't reach them.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Instant;

use cassia_replica::StateMachine;
use dropshot::ApiDescription;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::RequestContext;
use dropshot::endpoint;
use schemars::JsonSchema;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::NodeState;

/// Limit for each list in the state dump.
const MAX_LISTED: usize = 500;

/// Dumps the state that is specific to a program.
pub trait Dump: Debug + Send + Sync {
    /// Returns the state, limited in size and without secrets.
    fn dump(&self, now: Instant) -> Value;
}

/// The context of the endpoints.
#[derive(Debug)]
pub(crate) struct OpsContext {
    pub(crate) node: Arc<NodeState>,
    pub(crate) program: Arc<dyn Dump>,
}

/// The response to a probe.
#[derive(JsonSchema, Serialize)]
struct Probe {
    /// Whether the process is healthy, or ready.
    ok: bool,
}

/// Reports that the process is running.
#[endpoint { method = GET, path = "/health" }]
async fn health(_: RequestContext<Arc<OpsContext>>) -> Result<HttpResponseOk<Probe>, HttpError> {
    Ok(HttpResponseOk(Probe { ok: true }))
}

/// Reports whether the process is ready for requests.
#[endpoint { method = GET, path = "/ready" }]
async fn ready(cx: RequestContext<Arc<OpsContext>>) -> Result<HttpResponseOk<Probe>, HttpError> {
    if cx.context().node.is_ready() {
        return Ok(HttpResponseOk(Probe { ok: true }));
    }
    Err(HttpError::for_unavail(None, "not ready".to_owned()))
}

/// Dumps the process's state.
#[endpoint { method = GET, path = "/state" }]
async fn state(cx: RequestContext<Arc<OpsContext>>) -> Result<HttpResponseOk<Value>, HttpError> {
    let OpsContext { node, program } = cx.context().as_ref();
    let now = Instant::now();
    Ok(HttpResponseOk(json!({
        "process": process(node),
        "config": config(node),
        "peers": peers(node),
        "targets": targets(node),
        "program": program.dump(now),
    })))
}

pub(crate) fn api() -> Result<ApiDescription<Arc<OpsContext>>, anyhow::Error> {
    let mut api = ApiDescription::new();
    api.register(health)?;
    api.register(ready)?;
    api.register(state)?;
    Ok(api)
}

fn process(node: &NodeState) -> Value {
    json!({
        "id": node.id,
        "data_centre": node.data_centre,
        "link": node.link,
        "up_s": node.started.elapsed().as_secs(),
        "ready": node.is_ready(),
        "stopping": node.is_stopping(),
    })
}

fn config(node: &NodeState) -> Value {
    let config = node.config.load();
    let contracts: Vec<_> = config
        .contracts
        .contracts()
        .take(MAX_LISTED)
        .map(|(customer, revision, c)| {
            json!({"customer": customer, "revision": revision, "share_percent": c.share_percent})
        })
        .collect();
    json!({"next": config.contracts.next_offset(), "usable": config.usable, "contracts": contracts})
}

fn peers(node: &NodeState) -> Value {
    let peers = node.peers.load();
    let listed: Vec<_> = peers
        .iter()
        .take(MAX_LISTED)
        .map(|p| {
            json!({
                "id": p.id,
                "addr": p.addr,
                "data_centre": p.data_centre,
                "standing": format!("{:?}", p.status),
                "config_next": p.config_next,
            })
        })
        .collect();
    json!({"count": peers.len(), "listed": listed})
}

fn targets(node: &NodeState) -> Value {
    let targets = node.targets.load();
    let listed: Vec<_> = targets
        .all()
        .take(MAX_LISTED)
        .map(|t| {
            json!({
                "id": t.info.id,
                "addr": t.info.addr,
                "open": t.is_open(),
                "slots": t.info.slots,
                "in_flight": t.in_flight(),
            })
        })
        .collect();
    json!({"count": targets.all().count(), "listed": listed})
}
