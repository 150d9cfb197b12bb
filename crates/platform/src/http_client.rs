//! The HTTP client side, with one connection pool for each peer.

use std::collections::HashMap;
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::format_smolstr;
use tokio::time::timeout_at;

use crate::ErrorKind;
use crate::PlatformError;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const KEEPALIVE_AFTER: Duration = Duration::from_secs(5);
const KEEPALIVE_EVERY: Duration = Duration::from_secs(2);
const KEEPALIVE_PROBES: u32 = 3;
/// Bytes sent and not acknowledged for this long end a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest answer that is read whole, in bytes.
const MOST_ANSWER_BYTES: usize = 16 << 20;
/// With this header a target says that it did not run a request.
const NOT_RUN_HEADER: &str = "cassia-not-run";

type Pool = Client<HttpConnector, Full<Bytes>>;

/// Sends requests over pooled connections.
///
/// A pool belongs to one peer. When a connection of it goes silent, the whole
/// pool is replaced: what made one connection silent (a middlebox that forgot
/// it) has mostly made its siblings silent too.
#[derive(Default)]
pub struct HttpClient {
    pools: ArcSwap<HashMap<SocketAddr, Arc<Pool>>>,
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpClient").field("pools", &self.pools.load().len()).finish()
    }
}

impl HttpClient {
    /// Sends a request and waits for the head of a successful answer.
    ///
    /// # Errors
    ///
    /// Names the step and the peer; an answer that is not a success is an
    /// error too.
    pub async fn send(
        &self,
        step: &'static str,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, PlatformError> {
        let response = self.send_any_status(step, peer, request, deadline).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let not_run = says_not_run(&response);
        let body = collect(response.into_body(), deadline).await.unwrap_or_default();
        let detail = String::from_utf8_lossy(&body[..body.len().min(256)]).into_owned();
        let kind = if not_run { ErrorKind::NotRun } else { ErrorKind::Status };
        let peer = format_smolstr!("{peer}");
        Err(PlatformError { step, peer, kind: kind(status.as_u16()), detail })
    }

    /// Sends a request and waits for the head of an answer of any status.
    ///
    /// # Errors
    ///
    /// No answer came; names the step and the peer.
    pub async fn send_any_status(
        &self,
        step: &'static str,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, PlatformError> {
        let pool = self.pool(peer);
        let error = |kind, detail| {
            let peer = format_smolstr!("{peer}");
            PlatformError { step, peer, kind, detail }
        };
        match timeout_at(deadline.into(), pool.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) if e.is_connect() => Err(error(ErrorKind::Connect, e.to_string())),
            Ok(Err(e)) => Err(error(ErrorKind::Incomplete, e.to_string())),
            Err(_) => {
                self.suspect(peer, &pool);
                Err(error(ErrorKind::Timeout, String::new()))
            }
        }
    }

    /// Sends a request and reads the whole answer, unless it is a failure of
    /// the peer (status 500 and up) or says that the request did not run.
    ///
    /// # Errors
    ///
    /// As `send`; an answer that ends early is never returned.
    pub async fn fetch_non_5xx(
        &self,
        step: &'static str,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, PlatformError> {
        let response = self.send_any_status(step, peer, request, deadline).await?;
        let not_run = says_not_run(&response);
        let status = response.status();
        let response = self.read_body(step, peer, response, deadline).await?;
        let kind = match (not_run, status.is_server_error()) {
            (true, _) => ErrorKind::NotRun(status.as_u16()),
            (false, true) => ErrorKind::Status(status.as_u16()),
            (false, false) => return Ok(response),
        };
        Err(PlatformError { step, peer: format_smolstr!("{peer}"), kind, detail: String::new() })
    }

    /// Sends a request and reads the whole of a successful answer.
    ///
    /// # Errors
    ///
    /// As `send`; an answer that ends early is never returned.
    pub async fn fetch(
        &self,
        step: &'static str,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, PlatformError> {
        let response = self.send(step, peer, request, deadline).await?;
        self.read_body(step, peer, response, deadline).await
    }

    /// Reads the whole body of an answer.
    ///
    /// # Errors
    ///
    /// It ended early, or not in time.
    pub async fn read_body(
        &self,
        step: &'static str,
        peer: SocketAddr,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, PlatformError> {
        let (head, body) = response.into_parts();
        match collect(body, deadline).await {
            Ok(bytes) => Ok(Response::from_parts(head, bytes)),
            Err(kind) => {
                if kind == ErrorKind::Timeout {
                    self.drop_pool(peer);
                }
                let detail = "while reading the body".to_owned();
                Err(PlatformError { step, peer: format_smolstr!("{peer}"), kind, detail })
            }
        }
    }

    /// Sends a JSON body, or none, and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// As `whole`; an answer of another form is garbled.
    pub async fn fetch_json<B: Serialize + Sync, A: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
        body: Option<&B>,
        deadline: Instant,
    ) -> Result<A, PlatformError> {
        let error = |detail: String| PlatformError {
            step,
            peer: format_smolstr!("{peer}"),
            kind: ErrorKind::InvalidResponse,
            detail,
        };
        let request = request(peer, path, body).map_err(|e| error(e.to_string()))?;
        let response = self.fetch(step, peer, request, deadline).await?;
        serde_json::from_slice(response.body()).map_err(|e| error(e.to_string()))
    }

    /// Replaces a peer's pool, so that its next request opens a connection.
    pub fn drop_pool(&self, peer: SocketAddr) {
        self.pools.rcu(|pools| {
            let mut pools = HashMap::clone(pools);
            pools.remove(&peer);
            pools
        });
    }

    fn suspect(&self, peer: SocketAddr, pool: &Arc<Pool>) {
        let current = self.pools.load().get(&peer).cloned();
        if current.is_some_and(|current| Arc::ptr_eq(&current, pool)) {
            self.drop_pool(peer);
        }
    }

    fn pool(&self, peer: SocketAddr) -> Arc<Pool> {
        if let Some(pool) = self.pools.load().get(&peer) {
            return Arc::clone(pool);
        }
        let fresh = Arc::new(new_pool());
        self.pools.rcu(|pools| {
            let mut pools = HashMap::clone(pools);
            pools.entry(peer).or_insert_with(|| Arc::clone(&fresh));
            pools
        });
        self.pools.load().get(&peer).map_or(fresh, Arc::clone)
    }
}

fn new_pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_AFTER));
    connector.set_keepalive_interval(Some(KEEPALIVE_EVERY));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    // A request that the library takes back unsent from a connection that had
    // just closed is sent on a new one; it never repeats one that went out.
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

/// Builds a POST of a JSON body, or a GET without one.
pub(crate) fn request<B: Serialize>(
    peer: SocketAddr,
    path: &str,
    body: Option<&B>,
) -> Result<Request<Full<Bytes>>, Box<dyn Error + Send + Sync>> {
    let uri = format!("http://{peer}{path}");
    let (method, bytes) = match body {
        Some(body) => (http::Method::POST, Bytes::from(serde_json::to_vec(body)?)),
        None => (http::Method::GET, Bytes::new()),
    };
    let request = Request::builder()
        .method(method)
        .uri(uri)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(bytes))?;
    Ok(request)
}

fn says_not_run(response: &Response<Incoming>) -> bool {
    response.headers().contains_key(NOT_RUN_HEADER)
}

async fn collect(body: Incoming, deadline: Instant) -> Result<Bytes, ErrorKind> {
    let limited = Limited::new(body, MOST_ANSWER_BYTES);
    match timeout_at(deadline.into(), limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(ErrorKind::Incomplete),
        Err(_) => Err(ErrorKind::Timeout),
    }
}
