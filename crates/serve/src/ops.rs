//! The operators' endpoints: health, metrics and a state dump.

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

use crate::accounts;
use crate::app::App;
use crate::lock::lock;

/// Maximum number of targets, of accounts, and of jobs of each partition, in a dump.
const MAX_LISTED: usize = 500;

/// The response to a probe.
#[derive(JsonSchema, Serialize)]
struct Probe {
    /// Whether the process is healthy.
    ok: bool,
}

/// Reports that the process is running.
#[endpoint { method = GET, path = "/health" }]
async fn health(_: RequestContext<Arc<App>>) -> Result<HttpResponseOk<Probe>, HttpError> {
    Ok(HttpResponseOk(Probe { ok: true }))
}

/// Returns the process's metrics as text.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(cx: RequestContext<Arc<App>>) -> Result<Response<Body>, HttpError> {
    let app = cx.context();
    for target in app.state.targets.load().all().take(MAX_LISTED) {
        app.metrics.gauge("target.in_flight", &target.info.id, u64::from(target.in_flight()));
    }
    app.metrics.gauge("config.version", "all", app.state.config_version());
    if accounts::has_accounts(app) {
        app.metrics.gauge("key.waiting", "all", app.key_reads.waiting() as u64);
    }
    let text = app.page.render();
    Ok(Response::builder().header("content-type", "text/plain").body(text.into())?)
}

/// Returns a dump of the process's state.
#[endpoint { method = GET, path = "/state" }]
async fn state(cx: RequestContext<Arc<App>>) -> Result<HttpResponseOk<Value>, HttpError> {
    Ok(HttpResponseOk(dump(cx.context(), Instant::now())))
}

/// Starts the server for operators.
pub(crate) fn start(app: &Arc<App>, addr: SocketAddr) -> anyhow::Result<HttpServer<Arc<App>>> {
    let mut api = ApiDescription::new();
    api.register(health)?;
    api.register(metrics)?;
    api.register(state)?;
    start_server(api, Arc::clone(app), addr)
}

fn dump(app: &App, now: Instant) -> Value {
    let shared = &app.state;
    let targets = shared.targets.load();
    let targets_json: Vec<_> = targets
        .all()
        .take(MAX_LISTED)
        .map(|t| {
            let (others, age) = targets.last_report(t, now);
            json!({
                "id": t.info.id, "addr": t.info.addr, "open": t.is_open(),
                "slots": t.info.slots, "in_flight": t.in_flight(), "others": others,
                "report_age_ms": age.as_millis(), "slow": t.is_slow(),
                "link_lost": app.relay.is_lost(t.info.addr),
            })
        })
        .collect();
    let jobs: Vec<_> =
        (0..app.settings.store_parts).filter_map(|p| dump_partition(app, p)).collect();
    let mut dump = json!({
        "process": {
            "host": shared.host, "data_centre": shared.data_centre, "boot": shared.boot,
            "stopping": shared.is_stopping(),
        },
        "config_version": shared.config_version(),
        "wanted": **shared.wanted.load(),
        "owned": *shared.owned.borrow(),
        "known_hosts": lock(&app.relay.hosts).len(),
        "cut_off": app.relay.is_cut_off(),
        "partitions_away": away_partitions(app),
        "targets": targets_json,
        "jobs": jobs,
        "admission": app.admission.state(),
        "duties": dump_duties(app),
    });
    if let Some(accounts) = dump_accounts(app) {
        dump["accounts"] = accounts;
    }
    dump
}

/// Dumps the number of keys of each account; `None` if there are no accounts.
fn dump_accounts(app: &App) -> Option<Value> {
    let routes = app.state.routes.load();
    let accounts = routes.as_ref()?.accounts.as_ref()?;
    let listed = accounts.iter().take(MAX_LISTED);
    Some(listed.map(|a| json!({"customer": a.customer, "keys": a.keys.len()})).collect())
}

/// Dumps the lease and the state of the duties; `None` without any.
fn dump_duties(app: &App) -> Option<Value> {
    let fence = app.duties.as_ref()?.held_fence();
    let unreported = app.usage.as_ref().map(|usage| usage.unreported());
    Some(json!({"fence": fence, "unreported_windows": unreported}))
}

/// Returns the partitions of the store that don't answer.
fn away_partitions(app: &App) -> Vec<String> {
    let away = app.state.store_contact.away();
    away.iter().map(|id| format!("{}/{}", id.topic, id.partition)).collect()
}

/// Dumps the open jobs of a partition; `None` if it has not been read.
fn dump_partition(app: &App, partition: u32) -> Option<Value> {
    let table = app.job_log.table(partition);
    if table.next_offset() == 0 {
        return None;
    }
    let open = table
        .jobs()
        .filter(|(_, job)| job.is_open())
        .map(|(id, job)| json!({"id": id, "items": job.item_count(), "listed": job.results.len()}));
    let open: Vec<_> = open.take(MAX_LISTED).collect();
    Some(json!({"partition": partition, "next": table.next_offset(), "open": open}))
}
