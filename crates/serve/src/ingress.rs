//! Connections of callers, the balancer's probe, and the planned stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use cassia_adapter::READY_PATH;
use cassia_adapter::decode_job_call;
use cassia_adapter::decode_request_head;
use cassia_route::CallerLimits;
use cassia_route::RouteKind;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
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
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use crate::app::App;
use crate::body;
use crate::call;
use crate::job_calls;
use crate::reply::Body;
use crate::reply::Refusal;
use crate::reply::whole;
use crate::stream;
use crate::submit;

/// How long the balancer may still send connections after readiness is gone:
/// two probes a second apart, and some.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The connections of callers.
#[derive(Debug)]
pub(crate) struct Serving {
    connections: TaskTracker,
}

/// Starts to take connections.
pub(crate) async fn start(
    settings: &crate::flags::ServeSettings,
    app: &Arc<App>,
) -> anyhow::Result<Serving> {
    let connections = TaskTracker::new();
    let callers = bind(settings.listen).await?;
    let ready = bind(settings.ready).await?;
    tokio::spawn(accept(callers, Arc::clone(app), connections.clone(), Door::Callers));
    tokio::spawn(accept(ready, Arc::clone(app), TaskTracker::new(), Door::Balancer));
    Ok(Serving { connections })
}

/// Waits for the order to stop.
pub(crate) async fn until_stop(app: &App) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => {
                log::info!(event = "reload", step = "reload"; "settings are read at the start only");
            }
        }
    }
    app.board.stopping.send_replace(true);
    log::info!(event = "stopping", step = "stop"; "no longer ready");
    Ok(())
}

impl Serving {
    /// Waits out the balancer's lag, then ends the connections once their
    /// requests are answered.
    pub(crate) async fn stop(self, limit: Duration) {
        // Also when no connection is open now: the balancer still sends some.
        sleep(BALANCER_LAG).await;
        self.connections.close();
        let left = limit.saturating_sub(BALANCER_LAG);
        if timeout(left, self.connections.wait()).await.is_err() {
            let left = self.connections.len();
            log::warn!(event = "cut_off", step = "stop", left; "requests were cut off");
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Door {
    Callers,
    Balancer,
}

async fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("bind {addr}"))
}

async fn accept(listener: TcpListener, app: Arc<App>, connections: TaskTracker, door: Door) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve(stream, Arc::clone(&app), door));
            }
            Err(e) => {
                log::warn!(event = "accept_failed", step = "accept"; "{e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, app: Arc<App>, door: Door) {
    // Without this small answers wait for the peer's acknowledgements; what
    // else could go wrong here shows at the first read.
    let _ = stream.set_nodelay(true);
    let limits = app.board.routes.load().as_ref().map_or_else(CallerLimits::default, |t| t.limits);
    let cx = Arc::clone(&app);
    let service = service_fn(move |req| {
        let app = Arc::clone(&cx);
        async move {
            let answer = match door {
                Door::Callers => answer(&app, req).await,
                Door::Balancer => probe(&app, &req),
            };
            Ok::<_, Infallible>(answer)
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
        app.board.until_stopping().await;
        sleep(BALANCER_LAG).await;
    };
    // A caller that goes away ends its connection with an error; its requests
    // are dropped with it.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = stop => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

fn probe(app: &App, req: &Request<Incoming>) -> Response<Body> {
    let ready = app.board.routes.load().is_some() && !app.board.is_stopping();
    let status = match (req.uri().path(), ready) {
        (READY_PATH, true) => StatusCode::OK,
        (READY_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut answer = Response::new(whole(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Answers one request of a caller.
async fn answer(app: &Arc<App>, req: Request<Incoming>) -> Response<Body> {
    let head = decode_request_head(req.uri(), req.headers());
    let Some(table) = app.board.routes.load_full() else {
        return refuse(app, &head.id, Refusal::NotConfigured);
    };
    if let Some(call) = decode_job_call(req.method(), req.uri(), req.headers()) {
        return job_calls::answer(app, call).await;
    }
    let Some(route) = table.find(&head.host, req.uri().path()).cloned() else {
        return refuse(app, &head.id, Refusal::NoRoute);
    };
    let (parts, incoming) = req.into_parts();
    let body = match body::read(incoming, &table.limits, &app.held).await {
        Ok(body) => body,
        Err(refusal) => return refuse(app, &head.id, refusal),
    };
    match route.kind {
        RouteKind::Job if parts.method == Method::POST => {
            submit::answer(app, &head, &route, &parts, body).await
        }
        RouteKind::Job => Refusal::BadRequest.answer("submit"),
        RouteKind::Stream { .. } => stream::answer(app, &head, &route, &parts, body).await,
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            call::answer(app, &head, &route, outgoing(parts, body)).await
        }
    }
}

/// Answers a request that no route or limit lets through.
fn refuse(app: &App, id: &str, refusal: Refusal) -> Response<Body> {
    let (kind, ran, config) = (refusal.kind(), refusal.ran(), app.board.config_version());
    log::info!(event = "request_refused", step = "route", id, kind, ran, config; "not passed on");
    app.metrics.count("request.refused", "none");
    refusal.answer("route")
}

fn outgoing(parts: Parts, body: Bytes) -> call::Outgoing {
    call::Outgoing { method: parts.method, uri: parts.uri, headers: parts.headers, body }
}
