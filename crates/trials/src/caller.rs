//! A client of the programs' HTTP interfaces.

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

const DEFAULT_TIMEOUT_S: u64 = 30;

/// An HTTP client that sends a customer's key.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    key: String,
    /// How long it waits for a complete response, in seconds.
    timeout_s: u64,
}

/// A response with a JSON body.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonResponse {
    /// The HTTP status; 0 if there was no complete response.
    pub status: u16,
    /// The body; null if it is not JSON.
    pub body: Value,
}

impl JsonResponse {
    /// Returns a string field of the body; empty if there is none.
    #[must_use]
    pub fn text(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or_default()
    }
}

impl Caller {
    /// Creates a caller with a key.
    #[must_use]
    pub fn new(key: &str) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, key: key.to_owned(), timeout_s: DEFAULT_TIMEOUT_S }
    }

    /// Sets how long it waits for a complete response, in seconds.
    #[must_use]
    pub fn with_timeout_s(mut self, timeout_s: u64) -> Self {
        self.timeout_s = timeout_s;
        self
    }

    /// Sends a GET.
    pub async fn get(&self, to: SocketAddr, path: &str) -> JsonResponse {
        let request = Request::get(format!("http://{to}{path}")).body(Full::default());
        self.send(request).await
    }

    /// Sends a POST with a JSON body and more headers.
    pub async fn post(
        &self,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> JsonResponse {
        let mut builder = Request::post(format!("http://{to}{path}"))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        self.send(builder.body(Full::new(Bytes::from(body.to_string())))).await
    }

    /// Sends a POST, and returns the body as far as it arrived and whether it
    /// is complete.
    pub async fn post_stream(&self, to: SocketAddr, path: &str, body: &Value) -> (String, bool) {
        let request = Request::post(format!("http://{to}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .body(Full::new(Bytes::from(body.to_string())));
        let Ok(request) = request else {
            return (String::new(), false);
        };
        let mut text = Vec::new();
        let read = async {
            let mut body = self.client.request(request).await.ok()?.into_body();
            while let Some(frame) = body.frame().await {
                text.extend_from_slice(frame.ok()?.data_ref()?);
            }
            Some(())
        };
        let limit = Duration::from_secs(self.timeout_s);
        let complete = timeout(limit, read).await.ok().flatten().is_some();
        (String::from_utf8_lossy(&text).into_owned(), complete)
    }

    /// Requests a ticket for a non-idempotent route; empty if it gets none.
    pub async fn fetch_ticket(&self, to: SocketAddr, path: &str) -> String {
        let response = self.post(to, path, &[], &serde_json::json!({})).await;
        response.text("ticket").to_owned()
    }

    /// Sends a request with a ticket.
    pub async fn redeem(
        &self,
        to: SocketAddr,
        path: &str,
        ticket: &str,
        body: &Value,
    ) -> JsonResponse {
        self.post(to, path, &[("cassia-ticket", ticket)], body).await
    }

    async fn send(&self, request: http::Result<Request<Full<Bytes>>>) -> JsonResponse {
        let none = JsonResponse { status: 0, body: Value::Null };
        let Ok(request) = request else {
            return none;
        };
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let bytes = response.into_body().collect().await.ok()?.to_bytes();
            let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
            Some(JsonResponse { status, body })
        };
        let limit = Duration::from_secs(self.timeout_s);
        timeout(limit, exchange).await.ok().flatten().unwrap_or(none)
    }
}
