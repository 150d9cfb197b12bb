//! A client of the platform's callers and trainers.

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

/// How long an answer is waited for.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// An answer: its status (0 for none), headers and body.
#[derive(Clone, Debug)]
pub struct PlatformResponse {
    /// The HTTP status; 0 if there was no whole answer.
    pub status: u16,
    /// When to come back, if it says so.
    pub retry_after: Option<String>,
    /// The target's signature, if it bears one.
    pub signature: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl PlatformResponse {
    /// Gives the body as JSON; null if it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Whether connections are used again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connections {
    /// Each request has one of its own.
    PerRequest,
    /// They are kept open until the other end closes them.
    KeepAlive,
}

/// A client.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformClient {
    /// Sets a client up.
    #[must_use]
    pub fn new(connections: Connections) -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        if connections == Connections::PerRequest {
            builder.pool_max_idle_per_host(0);
        }
        Self { client: builder.build_http() }
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
        let text = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        PlatformResponse {
            status: head.status.as_u16(),
            retry_after: text("retry-after"),
            signature: text("response-stamp"),
            body: body.to_bytes(),
        }
    }
}
