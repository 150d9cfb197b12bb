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
use cassia_adapter::RequestHead;
use cassia_adapter::decode_job_call;
use cassia_adapter::decode_request_head;
use cassia_admission::PlannedStop;
use cassia_route::CallerLimits;
use cassia_route::Route;
use cassia_route::RouteKind;
use futures::FutureExt;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONNECTION;
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
use tokio::time::sleep_until;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::accounts::Requester;
use crate::accounts::identify;
use crate::accounts::identify_again;
use crate::app::App;
use crate::body;
use crate::body::HeldBody;
use crate::call;
use crate::job_calls;
use crate::key_reads;
use crate::response::Body;
use crate::response::Refusal;
use crate::response::full_body;
use crate::stream;
use crate::submit;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

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
pub(crate) async fn wait_for_stop_signal(app: &App) -> anyhow::Result<PlannedStop> {
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
    let stop = PlannedStop::new(Instant::now(), app.settings.stop_limit());
    app.state.stopping.send_replace(Some(stop));
    log::info!(event = "stopping", step = "stop"; "no longer ready");
    Ok(stop)
}

impl Server {
    /// Goes on serving for as long as the load balancer may open connections, and
    /// longer if it takes this process longer to end: where few hosts are ready, the
    /// load balancer uses all. Returns when `other_work` has ended, or when new
    /// connections could only be refused.
    pub(crate) async fn serve_while(
        &self,
        other_work: impl Future<Output = ()>,
        stop: PlannedStop,
    ) {
        // Also if no connection is open: the load balancer may open some.
        sleep_until(stop.drains_at().into()).await;
        let _ = timeout_at(stop.accepts_until().into(), other_work).await;
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
    let accepted_at = Instant::now();
    let limits = app.state.routes.load().as_ref().map_or_else(CallerLimits::default, |t| t.limits);
    let cx = Arc::clone(&app);
    let service = service_fn(move |req| {
        let app = Arc::clone(&cx);
        async move {
            let response = match kind {
                ListenerKind::Callers => handle_until_stop(&app, req).await,
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
        let stop = app.state.wait_for_stop().await;
        sleep_until(stop.closes_at(accepted_at).into()).await;
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

/// Handles one request of a caller. Once connections are to be closed in a planned stop,
/// the caller is told so with the response, as it could send the next request just when
/// its connection is closed.
async fn handle_until_stop(app: &Arc<App>, req: Request<Incoming>) -> Response<Body> {
    let mut response = handle(app, req).await;
    if app.state.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
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
            Ok(requester) => {
                let latest_end = Instant::now() + job_calls::time_limit(&call);
                let response = job_calls::handle(app, call, &requester);
                answer_before_stop(app, &head.id, Some(latest_end), response).await
            }
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
    let body = tokio::select! {
        body = body::read(incoming, &table.limits, &app.body_budgets) => body,
        () = app.state.wait_for_last_answers() => Err(Refusal::Stopping),
    };
    let body = match body {
        Ok(body) => body,
        Err(refusal) => return refuse(app, &head.id, refusal),
    };
    let (path, key) = (parts.uri.path(), head.key.as_ref());
    let requester = match identify_again(app, &table, &route, path, key, requester).await {
        Ok(requester) => requester,
        Err(refusal) => return refuse(app, &head.id, refusal),
    };
    let latest_end = latest_end(&head, &route);
    let response = async {
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
    };
    answer_before_stop(app, &head.id, latest_end, response).await
}

/// Returns when a request has ended at the latest; `None` if it may take any time.
fn latest_end(head: &RequestHead, route: &Route) -> Option<Instant> {
    let limit = match route.kind {
        RouteKind::Job => Some(submit::time_limit(head, route)),
        // A sound stream may last longer than its route's time limit.
        RouteKind::Stream { .. } => head.timeout,
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            Some(head.timeout.map_or(route.timeout(), |limit| limit.min(route.timeout())))
        }
    };
    limit.map(|limit| Instant::now() + limit)
}

/// Refuses a request at once if a planned stop could end before it does. One that was
/// taken is answered before the process ends, whether its target has answered or not.
async fn answer_before_stop(
    app: &Arc<App>,
    id: &str,
    latest_end: Option<Instant>,
    response: impl Future<Output = Response<Body>>,
) -> Response<Body> {
    if !app.state.takes_request(latest_end) {
        return refuse(app, id, Refusal::Stopping);
    }
    tokio::select! {
        response = response => response,
        () = app.state.wait_for_last_answers() => {
            let refusal = Refusal::OutcomeUnknown;
            let (kind, ran, config) = (refusal.kind(), refusal.ran(), app.state.config_version());
            log::warn!(event = "request_refused", step = "stop", id, kind, ran, config; "not answered by the stop limit");
            refusal.response("stop")
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

fn outgoing_request(
    mut parts: Parts,
    body: HeldBody,
    requester: Requester,
) -> call::OutgoingRequest {
    // A key must not appear where the headers are printed.
    if let Some(key) = parts.headers.get_mut(AUTHORIZATION) {
        key.set_sensitive(true);
    }
    call::OutgoingRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: body.bytes,
        held: Some(Arc::new(body.share)),
        requester,
    }
}
