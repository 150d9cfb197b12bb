//! The callers' connections, the load balancer's readiness checks, and the
//! planned stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use cassia_adapter::READY_PATH;
use cassia_adapter::decode_job_call;
use cassia_adapter::decode_request_head;
use cassia_route::CallerLimits;
use cassia_route::RouteKind;
use futures::FutureExt;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::request::Parts;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::accounts::Requester;
use crate::accounts::identify;
use crate::accounts::identify_again;
use crate::app::App;
use crate::body;
use crate::call;
use crate::job_calls;
use crate::key_reads;
use crate::response::Body;
use crate::response::Refusal;
use crate::response::full_body;
use crate::stream;
use crate::submit;

/// How long the load balancer may still open connections after readiness is
/// gone: two checks, one second apart, and a margin.
pub(crate) const DRAIN_DELAY: Duration = Duration::from_millis(2_300);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The least time that is left for the requests that have come when no more
/// connections are accepted.
const MIN_CLOSE_TIME: Duration = Duration::from_millis(1_500);

/// The server for callers, with their open connections.
#[derive(Debug)]
pub(crate) struct Server {
    connections: TaskTracker,
    /// Cancelled when no more connections are accepted.
    closing: CancellationToken,
}

/// Starts to accept connections.
pub(crate) async fn start(
    settings: &crate::flags::ServeSettings,
    app: &Arc<App>,
) -> anyhow::Result<Server> {
    let server = Server { connections: TaskTracker::new(), closing: CancellationToken::new() };
    let callers = bind(settings.listen).await?;
    let ready = bind(settings.ready).await?;
    // Until it is closed, the listener counts as a connection.
    server.connections.spawn(accept_callers(
        callers,
        Arc::clone(app),
        server.connections.clone(),
        server.closing.clone(),
    ));
    let probes = TaskTracker::new();
    let app = Arc::clone(app);
    tokio::spawn(async move { accept(&ready, &app, &probes, ListenerKind::LoadBalancer).await });
    Ok(server)
}

/// Waits for a signal to stop, then sets `stopping`.
pub(crate) async fn wait_for_stop_signal(app: &App) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => {
                log::info!(event = "reload", step = "reload"; "ignored: settings are only read at the start");
            }
        }
    }
    app.state.stopping.send_replace(true);
    log::info!(event = "stopping", step = "stop"; "no longer ready");
    Ok(())
}

impl Server {
    /// Goes on serving for as long as the load balancer may open connections, and
    /// longer if it takes this process longer to end: where few hosts are ready, the
    /// load balancer uses all. Returns at `deadline`, less the time that the requests
    /// of the last connections may take, or when `other_work` has ended.
    pub(crate) async fn serve_while(
        &self,
        app: &App,
        other_work: impl Future<Output = ()>,
        deadline: Instant,
    ) {
        // Also if no connection is open: the load balancer may open some.
        sleep(DRAIN_DELAY).await;
        let close_at = deadline.checked_sub(close_time(app)).unwrap_or_else(Instant::now);
        let _ = timeout_at(close_at.into(), other_work).await;
    }

    /// Accepts no more connections, and waits for the open ones to finish their
    /// requests.
    pub(crate) async fn close(self, deadline: Instant) {
        self.closing.cancel();
        self.connections.close();
        if timeout_at(deadline.into(), self.connections.wait()).await.is_err() {
            let left = self.connections.len();
            log::warn!(event = "cut_off", step = "stop", left; "connections were aborted at the stop limit");
        }
    }
}

/// Returns how long the requests of the last connections may take: the longest time
/// limit of a route.
fn close_time(app: &App) -> Duration {
    let table = app.state.routes.load();
    let routes = table.iter().flat_map(|table| table.routes());
    let answered = routes.filter(|route| route.kind != RouteKind::Job);
    answered.map(|route| route.timeout()).max().unwrap_or_default().max(MIN_CLOSE_TIME)
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ListenerKind {
    Callers,
    LoadBalancer,
}

async fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("bind {addr}"))
}

/// Accepts callers' connections until the server is closing, also those that have
/// come by then: their requests may be on the way.
async fn accept_callers(
    listener: TcpListener,
    app: Arc<App>,
    connections: TaskTracker,
    closing: CancellationToken,
) {
    let kind = ListenerKind::Callers;
    tokio::select! {
        () = accept(&listener, &app, &connections, kind) => {}
        () = closing.cancelled() => {
            let _ = accept(&listener, &app, &connections, kind).now_or_never();
        }
    }
}

async fn accept(
    listener: &TcpListener,
    app: &Arc<App>,
    connections: &TaskTracker,
    kind: ListenerKind,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve(stream, Arc::clone(app), kind));
            }
            Err(e) => {
                log::warn!(event = "accept_failed", step = "accept"; "{e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, app: Arc<App>, kind: ListenerKind) {
    // Without this option, small responses wait for the peer's
    // acknowledgements. If setting it fails because the connection is broken,
    // the first read fails too.
    let _ = stream.set_nodelay(true);
    let limits = app.state.routes.load().as_ref().map_or_else(CallerLimits::default, |t| t.limits);
    let cx = Arc::clone(&app);
    let service = service_fn(move |req| {
        let app = Arc::clone(&cx);
        async move {
            let response = match kind {
                ListenerKind::Callers => handle(&app, req).await,
                ListenerKind::LoadBalancer => probe(&app, &req),
            };
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(
            limits.idle_timeout_ms.max(limits.header_timeout_ms),
        ))
        .max_buf_size(limits.max_header_bytes.max(8 << 10) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let stop = async {
        app.state.wait_for_stop().await;
        sleep(DRAIN_DELAY).await;
    };
    // If a caller disconnects, its connection ends with an error and its
    // requests are dropped.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = stop => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

fn probe(app: &App, req: &Request<Incoming>) -> Response<Body> {
    // A host that has lost the store serves plain requests only. Others, in
    // other data centres if need be, serve the callers better meanwhile.
    let state = &app.state;
    let ready =
        state.routes.load().is_some() && !state.is_stopping() && !state.store_contact.has_lost();
    let status = match (req.uri().path(), ready) {
        (READY_PATH, true) => StatusCode::OK,
        (READY_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Handles one request of a caller.
async fn handle(app: &Arc<App>, req: Request<Incoming>) -> Response<Body> {
    let head = decode_request_head(req.uri(), req.headers());
    let Some(table) = app.state.routes.load_full() else {
        return refuse(app, &head.id, Refusal::NotConfigured);
    };
    if let Some(call) = decode_job_call(req.method(), req.uri(), req.headers()) {
        return match identify(app, &table, None, head.key.as_ref()).await {
            Ok(requester) => job_calls::handle(app, call, &requester).await,
            Err(refusal) => refuse(app, &head.id, refusal),
        };
    }
    let Some(route) = table.find(&head.host, req.uri().path()).cloned() else {
        return refuse(app, &head.id, Refusal::NoRoute);
    };
    let requester = match identify(app, &table, Some(&route), head.key.as_ref()).await {
        Ok(requester) => requester,
        Err(refusal) => return refuse(app, &head.id, refusal),
    };
    let (parts, incoming) = req.into_parts();
    let body = match body::read(incoming, &table.limits, &app.body_budget).await {
        Ok(body) => body,
        Err(refusal) => return refuse(app, &head.id, refusal),
    };
    let (path, key) = (parts.uri.path(), head.key.as_ref());
    let requester = match identify_again(app, &table, &route, path, key, requester).await {
        Ok(requester) => requester,
        Err(refusal) => return refuse(app, &head.id, refusal),
    };
    match route.kind {
        RouteKind::Job if parts.method == Method::POST => {
            submit::handle(app, &head, &route, &parts, body, &requester).await
        }
        RouteKind::Job => Refusal::BadRequest.response("submit"),
        RouteKind::Stream { .. } => {
            stream::handle(app, &head, &route, &outgoing_request(parts, body, requester)).await
        }
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            call::handle(app, &head, &route, outgoing_request(parts, body, requester)).await
        }
    }
}

/// Refuses a request before it is sent to any target.
fn refuse(app: &Arc<App>, id: &str, refusal: Refusal) -> Response<Body> {
    if matches!(refusal, Refusal::UnknownKey | Refusal::KeyUnconfirmed) {
        key_reads::record_refusal(app, refusal);
        return refusal.response("route");
    }
    let (kind, ran, config) = (refusal.kind(), refusal.ran(), app.state.config_version());
    log::info!(event = "request_refused", step = "route", id, kind, ran, config; "not forwarded");
    app.metrics.count("request.refused", "none");
    refusal.response("route")
}

fn outgoing_request(mut parts: Parts, body: Bytes, requester: Requester) -> call::OutgoingRequest {
    // A key must not appear where the headers are printed.
    if let Some(key) = parts.headers.get_mut(AUTHORIZATION) {
        key.set_sensitive(true);
    }
    call::OutgoingRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        requester,
    }
}
