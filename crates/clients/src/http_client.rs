//! An HTTP client with one connection pool per peer.

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
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEPALIVE_RETRIES: u32 = 3;
/// Time after which unacknowledged data ends a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Header by which a target states that it did not run the request.
const NOT_RUN_HEADER: &str = "cassia-not-run";

type Pool = Client<HttpConnector, Full<Bytes>>;

/// Sends requests over pooled connections.
///
/// Each pool belongs to one peer. When a request on one of its connections
/// times out, the whole pool is dropped: the usual cause (a middlebox that
/// lost the connection's state) mostly affects the other connections too.
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
    /// Sends a request and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// There is no response, or its status is not a success.
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
        let not_run = has_not_run_header(&response);
        let body = read_limited(response.into_body(), deadline).await.unwrap_or_default();
        let detail = String::from_utf8_lossy(&body[..body.len().min(256)]).into_owned();
        let kind = if not_run { ErrorKind::NotRun } else { ErrorKind::Status };
        let peer = format_smolstr!("{peer}");
        Err(PlatformError { step, peer, kind: kind(status.as_u16()), detail })
    }

    /// Sends a request and returns the response once its head has arrived,
    /// whatever its status.
    ///
    /// # Errors
    ///
    /// There is no response.
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
                self.drop_pool_if_current(peer, &pool);
                Err(error(ErrorKind::Timeout, String::new()))
            }
        }
    }

    /// Sends a request and reads the whole response, of any status below 500.
    ///
    /// # Errors
    ///
    /// There is no response, it ends early, its status is a server error, or
    /// it states that the request did not run.
    pub async fn fetch_non_5xx(
        &self,
        step: &'static str,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, PlatformError> {
        let response = self.send_any_status(step, peer, request, deadline).await?;
        let not_run = has_not_run_header(&response);
        let status = response.status();
        let response = self.read_body(step, peer, response, deadline).await?;
        let kind = match (not_run, status.is_server_error()) {
            (true, _) => ErrorKind::NotRun(status.as_u16()),
            (false, true) => ErrorKind::Status(status.as_u16()),
            (false, false) => return Ok(response),
        };
        Err(PlatformError { step, peer: format_smolstr!("{peer}"), kind, detail: String::new() })
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// As `send`; also if the response ends early.
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

    /// Reads the whole body of a response.
    ///
    /// # Errors
    ///
    /// The body ends early, is too large or does not arrive in time.
    pub async fn read_body(
        &self,
        step: &'static str,
        peer: SocketAddr,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, PlatformError> {
        let (head, body) = response.into_parts();
        match read_limited(body, deadline).await {
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

    /// Sends a POST of a JSON body, or a GET without one, and decodes the JSON
    /// response.
    ///
    /// # Errors
    ///
    /// As `fetch`; also if the response can't be decoded.
    pub async fn fetch_json<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
        body: Option<&B>,
        deadline: Instant,
    ) -> Result<T, PlatformError> {
        let invalid = |detail: String| PlatformError {
            step,
            peer: format_smolstr!("{peer}"),
            kind: ErrorKind::InvalidResponse,
            detail,
        };
        let request = json_request(peer, path, body).map_err(|e| invalid(e.to_string()))?;
        let response = self.fetch(step, peer, request, deadline).await?;
        serde_json::from_slice(response.body()).map_err(|e| invalid(e.to_string()))
    }

    /// Drops a peer's pool, so that the next request opens a new connection.
    pub fn drop_pool(&self, peer: SocketAddr) {
        self.pools.rcu(|pools| {
            let mut pools = HashMap::clone(pools);
            pools.remove(&peer);
            pools
        });
    }

    fn drop_pool_if_current(&self, peer: SocketAddr, pool: &Arc<Pool>) {
        let current = self.pools.load().get(&peer).cloned();
        if current.is_some_and(|current| Arc::ptr_eq(&current, pool)) {
            self.drop_pool(peer);
        }
    }

    fn pool(&self, peer: SocketAddr) -> Arc<Pool> {
        if let Some(pool) = self.pools.load().get(&peer) {
            return Arc::clone(pool);
        }
        let new = Arc::new(new_pool());
        self.pools.rcu(|pools| {
            let mut pools = HashMap::clone(pools);
            pools.entry(peer).or_insert_with(|| Arc::clone(&new));
            pools
        });
        self.pools.load().get(&peer).map_or(new, Arc::clone)
    }
}

fn new_pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    // If a pooled connection closes before the request is sent, the client
    // sends it on a new one; it never repeats a request that was sent.
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

/// Builds a POST of a JSON body, or a GET without one.
pub(crate) fn json_request<B: Serialize>(
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

fn has_not_run_header(response: &Response<Incoming>) -> bool {
    response.headers().contains_key(NOT_RUN_HEADER)
}

async fn read_limited(body: Incoming, deadline: Instant) -> Result<Bytes, ErrorKind> {
    let limited = Limited::new(body, MAX_RESPONSE_BYTES);
    match timeout_at(deadline.into(), limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(ErrorKind::Incomplete),
        Err(_) => Err(ErrorKind::Timeout),
    }
}
