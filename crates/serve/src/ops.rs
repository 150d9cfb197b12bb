//! What operators read of this process: health, state and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use cassia_node::start_server;
use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::HttpServer;
use dropshot::RequestContext;
use dropshot::endpoint;
use http::Response;
use schemars::JsonSchema;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::app::App;

/// Targets that a dump lists at most.
const MOST_LISTED: usize = 500;

/// A short answer to a probe.
#[derive(JsonSchema, Serialize)]
struct Probe {
    /// What the probe asked after.
    ok: bool,
}

/// The process runs.
#[endpoint { method = GET, path = "/health" }]
async fn health(_: RequestContext<Arc<App>>) -> Result<HttpResponseOk<Probe>, HttpError> {
    Ok(HttpResponseOk(Probe { ok: true }))
}

/// The process's counters and histograms, as text.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(cx: RequestContext<Arc<App>>) -> Result<Response<Body>, HttpError> {
    let app = cx.context();
    for target in app.board.targets.load().all().take(MOST_LISTED) {
        app.metrics.gauge("target.in_flight", &target.info.id, u64::from(target.in_flight()));
    }
    app.metrics.gauge("config.version", "all", app.board.config_version());
    let text = app.page.render();
    Ok(Response::builder().header("content-type", "text/plain").body(text.into())?)
}

/// The process's state.
#[endpoint { method = GET, path = "/state" }]
async fn state(cx: RequestContext<Arc<App>>) -> Result<HttpResponseOk<Value>, HttpError> {
    Ok(HttpResponseOk(dump(cx.context(), Instant::now())))
}

/// Starts the operators' server.
pub(crate) fn start(app: &Arc<App>, addr: SocketAddr) -> anyhow::Result<HttpServer<Arc<App>>> {
    let mut api = ApiDescription::new();
    api.register(health)?;
    api.register(metrics)?;
    api.register(state)?;
    start_server(api, Arc::clone(app), addr)
}

fn dump(app: &App, now: Instant) -> Value {
    let board = &app.board;
    let targets = board.targets.load();
    let listed: Vec<_> = targets
        .all()
        .take(MOST_LISTED)
        .map(|t| {
            let (others, age) = targets.last_report(t, now);
            json!({
                "id": t.info.id, "addr": t.info.addr, "open": t.is_open(),
                "slots": t.info.slots, "in_flight": t.in_flight(), "others": others,
                "report_age_ms": age.as_millis(), "slow": t.is_slow(),
            })
        })
        .collect();
    let jobs: Vec<_> = (0..app.settings.store_parts).filter_map(|p| partition(app, p)).collect();
    json!({
        "process": {
            "host": board.host, "data_centre": board.data_centre, "boot": board.boot,
            "stopping": board.is_stopping(),
        },
        "config_version": board.config_version(),
        "wanted": **board.wanted.load(),
        "owned": *board.owned.borrow(),
        "targets": listed,
        "jobs": jobs,
    })
}

/// The jobs of a partition, as far as this process has read it.
fn partition(app: &App, partition: u32) -> Option<Value> {
    let fold = app.shelf.fold(partition);
    if fold.next_offset() == 0 {
        return None;
    }
    let open = fold
        .jobs()
        .filter(|(_, job)| job.is_open())
        .map(|(id, job)| json!({"id": id, "items": job.item_count(), "listed": job.results.len()}));
    let open: Vec<_> = open.take(MOST_LISTED).collect();
    Some(json!({"partition": partition, "next": fold.next_offset(), "open": open}))
}
