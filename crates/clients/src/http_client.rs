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
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::format_smolstr;
use tokio::time::timeout_at;

use crate::ByteBudget;
use crate::ErrorKind;
use crate::PartialBody;
use crate::PlatformError;
use crate::ReadBody;
use crate::Relay;
use crate::Reservation;
use crate::limited_stream::HeadLimit;
use crate::limited_stream::LimitedConnector;
use crate::path_connector::PathConnector;
use crate::reuse::Attribution;
use crate::reuse::Reuse;
use crate::reuse::ReuseDecision;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEPALIVE_RETRIES: u32 = 3;
/// Time after which unacknowledged data ends a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit on the bodies of all responses that are being read, unless one is
/// set.
const DEFAULT_RESPONSE_BUDGET_BYTES: usize = 16 << 20;
/// One body may take this part of the limit on all of them.
const MAX_RESPONSE_DIVISOR: usize = 8;
/// Chunks of a body below this size are copied together.
const SMALL_CHUNK_BYTES: usize = 4 << 10;
/// Size of the buffer for small chunks.
const TAIL_BYTES: usize = 16 << 10;
/// Size of the largest head of a response, and of the buffer of a connection.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// How many bytes a connection reads until a head is known: informational
/// responses and the head. The start of the body may come with the head.
const MAX_BYTES_TO_HEAD: usize = MAX_INFORMATIONAL_BYTES + MAX_HEAD_BYTES;
/// Size of all informational responses before a head. A target that sends them
/// without end costs processor time for each byte of them.
const MAX_INFORMATIONAL_BYTES: usize = 4 << 10;
/// Header by which a target states that it did not run the request.
const NOT_RUN_HEADER: &str = "cassia-not-run";

type Pool = Client<LimitedConnector, Full<Bytes>>;

/// Sends requests over pooled connections.
///
/// Each pool belongs to one peer. When a request on one of its connections
/// times out, the whole pool is dropped: the usual cause (a middlebox that
/// lost the connection's state) mostly affects the other connections too.
///
/// A peer may send a head or a body without end. So the size of a head, of a
/// body and of all bodies together is limited, and a connection on which a
/// response exceeds a limit is closed.
pub struct HttpClient {
    pools: ArcSwap<HashMap<SocketAddr, Arc<Pool>>>,
    budget: Arc<ByteBudget>,
    reuse: Reuse,
    relay: Option<Arc<dyn Relay>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(Arc::new(ByteBudget::new(DEFAULT_RESPONSE_BUDGET_BYTES)))
    }
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpClient")
            .field("pools", &self.pools.load().len())
            .field("budget", &self.budget)
            .field("reuse", &self.reuse)
            .field("relay", &self.relay)
            .finish()
    }
}

impl HttpClient {
    /// Creates a client that buffers the bodies of responses within a budget,
    /// which several clients may share.
    #[must_use]
    pub fn new(budget: Arc<ByteBudget>) -> Self {
        Self { pools: ArcSwap::default(), budget, reuse: Reuse::default(), relay: None }
    }

    /// Sets whether connections are used again.
    #[must_use]
    pub fn with_reuse(mut self, reuse: Reuse) -> Self {
        self.reuse = reuse;
        self
    }

    /// Sets the way to peers that this host's own link doesn't reach.
    #[must_use]
    pub fn with_relay(mut self, relay: Arc<dyn Relay>) -> Self {
        self.relay = Some(relay);
        self
    }

    /// Returns the size of the largest body that is read, in bytes.
    fn max_response_bytes(&self) -> usize {
        self.budget.limit() / MAX_RESPONSE_DIVISOR
    }

    /// Starts a reservation for a body that the caller of this function reads
    /// itself.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        self.budget.reserve()
    }

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
        let body = match self.read_limited(response.into_body(), deadline).await {
            Ok(ReadBody::Whole(body)) => body,
            Ok(ReadBody::Part(_)) | Err(_) => Bytes::new(),
        };
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
    /// There is no response, or its status is that of no final response.
    pub async fn send_any_status(
        &self,
        step: &'static str,
        peer: SocketAddr,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, PlatformError> {
        let pool = self.pool(peer);
        let decision = ReuseDecision::new(self.reuse, &mut request);
        let error = |kind, detail| {
            let peer = format_smolstr!("{peer}");
            PlatformError { step, peer, kind, detail }
        };
        match timeout_at(deadline.into(), pool.request(request)).await {
            Ok(Ok(response)) => {
                if let Some(limit) = response.extensions().get::<HeadLimit>() {
                    limit.head_received();
                }
                match decision.decide(&response) {
                    _ if !is_final(response.status()) => {
                        self.drop_pool_if_current(peer, &pool);
                        let detail = format!("{} is no status of a response", response.status());
                        Err(error(ErrorKind::InvalidResponse, detail))
                    }
                    Attribution::Certain => Ok(response),
                    Attribution::Uncertain => {
                        let detail = "it may be the response to another request".to_owned();
                        Err(error(ErrorKind::InvalidResponse, detail))
                    }
                }
            }
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
        let (head, body) = self.read_start(step, peer, response, deadline).await?.into_parts();
        match body {
            ReadBody::Whole(bytes) => Ok(Response::from_parts(head, bytes)),
            ReadBody::Part(_) => Err(body_error(step, peer, ErrorKind::TooLarge)),
        }
    }

    /// Reads the body of a response as far as it fits into memory. One whose stated length
    /// is above the limit is not read at all.
    ///
    /// # Errors
    ///
    /// The body ends early, does not arrive in time, or is too large without a stated length.
    pub async fn read_start(
        &self,
        step: &'static str,
        peer: SocketAddr,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<Response<ReadBody>, PlatformError> {
        let (head, body) = response.into_parts();
        match self.read_limited(body, deadline).await {
            Ok(body) => Ok(Response::from_parts(head, body)),
            Err(kind) => {
                if kind == ErrorKind::Timeout {
                    self.drop_pool(peer);
                }
                Err(body_error(step, peer, kind))
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

    async fn read_limited(
        &self,
        mut body: Incoming,
        deadline: Instant,
    ) -> Result<ReadBody, ErrorKind> {
        let mut reservation = self.reserve();
        let max_bytes = self.max_response_bytes();
        let mut buf = BodyBuffer::default();
        let stated_bytes = body.size_hint().exact();
        let mut is_too_large = stated_bytes
            .is_some_and(|bytes| usize::try_from(bytes).map_or(true, |bytes| bytes > max_bytes));
        while !is_too_large {
            match timeout_at(deadline.into(), body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let is_over_budget = reservation.add(data.len()).is_err();
                    is_too_large = is_over_budget || reservation.bytes() > max_bytes;
                    buf.push(data);
                }
                Ok(Some(Err(_))) => return Err(ErrorKind::Incomplete),
                Ok(None) => return Ok(ReadBody::Whole(buf.finish())),
                Err(_) => return Err(ErrorKind::Timeout),
            }
        }
        // Without a stated length it may have no end.
        stated_bytes.ok_or(ErrorKind::TooLarge)?;
        Ok(ReadBody::Part(PartialBody::new(buf.finish(), reservation, body)))
    }

    fn pool(&self, peer: SocketAddr) -> Arc<Pool> {
        if let Some(pool) = self.pools.load().get(&peer) {
            return Arc::clone(pool);
        }
        let new = new_pool(self.max_response_bytes(), self.reuse, self.relay.clone());
        let new = Arc::new(new);
        self.pools.rcu(|pools| {
            let mut pools = HashMap::clone(pools);
            pools.entry(peer).or_insert_with(|| Arc::clone(&new));
            pools
        });
        self.pools.load().get(&peer).map_or(new, Arc::clone)
    }
}

fn body_error(step: &'static str, peer: SocketAddr, kind: ErrorKind) -> PlatformError {
    let detail = "while reading the body".to_owned();
    PlatformError { step, peer: format_smolstr!("{peer}"), kind, detail }
}

fn new_pool(max_response_bytes: usize, reuse: Reuse, relay: Option<Arc<dyn Relay>>) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let connector = PathConnector::new(connector, relay);
    // If a pooled connection closes before the request is sent, the client
    // sends it on a new one; it never repeats a request that was sent.
    let mut builder = Client::builder(TokioExecutor::new());
    if matches!(reuse, Reuse::Never) {
        builder.pool_max_idle_per_host(0);
    }
    builder
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .build(LimitedConnector::new(connector, MAX_BYTES_TO_HEAD, max_response_bytes))
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

/// Returns whether a final response may have this status. The HTTP library takes any
/// number from 100 to 999, and 101 for the end of the protocol that was asked for.
fn is_final(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..=599)
}

fn has_not_run_header(response: &Response<Incoming>) -> bool {
    response.headers().contains_key(NOT_RUN_HEADER)
}

/// The chunks of a body that were received. Small chunks are copied together,
/// so that they need little more memory than their bytes.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    chunks: Vec<Bytes>,
    /// Small chunks after those in `chunks`.
    tail: BytesMut,
}

impl BodyBuffer {
    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        let is_first = self.chunks.is_empty() && self.tail.is_empty();
        if is_first || chunk.len() >= SMALL_CHUNK_BYTES {
            self.close_tail();
            self.chunks.push(chunk);
            return;
        }
        if self.tail.len() + chunk.len() > self.tail.capacity() {
            self.close_tail();
            self.tail.reserve(TAIL_BYTES);
        }
        self.tail.extend_from_slice(&chunk);
    }

    /// Returns the body; a single chunk is not copied.
    #[must_use]
    pub fn finish(mut self) -> Bytes {
        self.close_tail();
        if self.chunks.len() <= 1 {
            return self.chunks.pop().unwrap_or_default();
        }
        self.chunks.concat().into()
    }

    fn close_tail(&mut self) {
        if !self.tail.is_empty() {
            self.chunks.push(self.tail.split().freeze());
        }
    }
}
