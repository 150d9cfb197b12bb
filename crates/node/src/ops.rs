//! What operators and the platform's balancer see of a process.
//!
//! It has an address of its own, so that callers can't reach it.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Instant;

use cassia_follow::StateMachine;
use dropshot::ApiDescription;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::RequestContext;
use dropshot::endpoint;
use schemars::JsonSchema;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::Board;

/// Peers and targets that a dump lists at most.
const MOST_LISTED: usize = 500;

/// Shows a program's own state.
pub trait Dump: Debug + Send + Sync {
    /// Gives the state: bounded in size, and with no secret in it.
    fn dump(&self, now: Instant) -> Value;
}

/// What the endpoints work on.
#[derive(Debug)]
pub(crate) struct OpsContext {
    pub(crate) board: Arc<Board>,
    pub(crate) program: Arc<dyn Dump>,
}

/// A short answer to a probe.
#[derive(JsonSchema, Serialize)]
struct Probe {
    /// What the probe asked after.
    ok: bool,
}

/// The process runs.
#[endpoint { method = GET, path = "/health" }]
async fn health(_: RequestContext<Arc<OpsContext>>) -> Result<HttpResponseOk<Probe>, HttpError> {
    Ok(HttpResponseOk(Probe { ok: true }))
}

/// The process wants requests.
#[endpoint { method = GET, path = "/ready" }]
async fn ready(cx: RequestContext<Arc<OpsContext>>) -> Result<HttpResponseOk<Probe>, HttpError> {
    if cx.context().board.is_ready() {
        return Ok(HttpResponseOk(Probe { ok: true }));
    }
    Err(HttpError::for_unavail(None, "not ready".to_owned()))
}

/// The process's state.
#[endpoint { method = GET, path = "/state" }]
async fn state(cx: RequestContext<Arc<OpsContext>>) -> Result<HttpResponseOk<Value>, HttpError> {
    let OpsContext { board, program } = cx.context().as_ref();
    let now = Instant::now();
    Ok(HttpResponseOk(json!({
        "process": process(board),
        "config": config(board),
        "peers": peers(board),
        "targets": targets(board),
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

fn process(board: &Board) -> Value {
    json!({
        "id": board.id,
        "data_centre": board.data_centre,
        "link": board.link,
        "up_s": board.started.elapsed().as_secs(),
        "ready": board.is_ready(),
        "stopping": board.is_stopping(),
    })
}

fn config(board: &Board) -> Value {
    let config = board.config.load();
    let contracts: Vec<_> = config
        .fold
        .contracts()
        .take(MOST_LISTED)
        .map(|(customer, revision, c)| {
            json!({"customer": customer, "revision": revision, "share_percent": c.share_percent})
        })
        .collect();
    json!({"next": config.fold.next_offset(), "usable": config.usable, "contracts": contracts})
}

fn peers(board: &Board) -> Value {
    let peers = board.peers.load();
    let listed: Vec<_> = peers
        .iter()
        .take(MOST_LISTED)
        .map(|p| {
            json!({
                "id": p.id,
                "addr": p.addr,
                "data_centre": p.data_centre,
                "standing": format!("{:?}", p.standing),
                "config_next": p.config_next,
            })
        })
        .collect();
    json!({"count": peers.len(), "listed": listed})
}

fn targets(board: &Board) -> Value {
    let targets = board.targets.load();
    let listed: Vec<_> = targets
        .all()
        .take(MOST_LISTED)
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
