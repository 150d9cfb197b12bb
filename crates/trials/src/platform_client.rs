//! An HTTP client that sends what the platform's callers and trainers send.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::timeout;

use crate::ROUTE_HOST;

/// How long the client waits for a response head, and then for its body.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A response.
#[derive(Clone, Debug)]
pub struct PlatformResponse {
    /// The HTTP status; 0 if there was no complete response.
    pub status: u16,
    /// Value of its `retry-after` header.
    pub retry_after: Option<String>,
    /// The target's signature, its `response-stamp` header.
    pub signature: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl PlatformResponse {
    /// Returns the body as JSON; null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Whether connections are reused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connections {
    /// Each request has its own connection.
    PerRequest,
    /// Connections are kept open until the server closes them.
    KeepAlive,
}

/// An HTTP client of the platform's interface.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformClient {
    /// Creates a client.
    #[must_use]
    pub fn new(connections: Connections) -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        if connections == Connections::PerRequest {
            builder.pool_max_idle_per_host(0);
        }
        Self { client: builder.build_http() }
    }

    /// Sends one request and returns what comes of the body until it ends, breaks off or
    /// makes no progress for `pause`.
    pub async fn send_for_part(
        &self,
        to: SocketAddr,
        path: &str,
        id: &str,
        pause: Duration,
    ) -> Bytes {
        let request = Request::post(format!("http://{to}{path}"))
            .header("host", ROUTE_HOST)
            .header("attempt-id", id)
            .header("deadline-ms", "3000")
            .body(Full::from("ask"));
        let Ok(request) = request else { return Bytes::new() };
        let Ok(Ok(response)) = timeout(RESPONSE_TIMEOUT, self.client.request(request)).await else {
            return Bytes::new();
        };
        let (mut body, mut received) = (response.into_body(), Vec::new());
        while let Ok(Some(Ok(frame))) = timeout(pause, body.frame()).await {
            received.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        received.into()
    }

    /// Sends one request.
    pub async fn send(
        &self,
        method: &str,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> PlatformResponse {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header("host", ROUTE_HOST);
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let none = || PlatformResponse {
            status: 0,
            retry_after: None,
            signature: None,
            body: Bytes::new(),
        };
        let Ok(request) = builder.body(Full::new(body.into())) else {
            return none();
        };
        let Ok(Ok(response)) = timeout(RESPONSE_TIMEOUT, self.client.request(request)).await else {
            return none();
        };
        let (head, body) = response.into_parts();
        let Ok(Ok(body)) = timeout(RESPONSE_TIMEOUT, body.collect()).await else {
            return none();
        };
        let header = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        PlatformResponse {
            status: head.status.as_u16(),
            retry_after: header("retry-after"),
            signature: header("response-stamp"),
            body: body.to_bytes(),
        }
    }
}
