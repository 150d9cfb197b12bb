//! HTTP client of the append-only log.
//!
//! `POST /streams/S/records {"record": TEXT}` returns `{"offset": N}`;
//! `GET /streams/S/records?from=N&wait_ms=M` returns a `LogPage`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use cassia_ids::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::HttpClient;
use crate::Log;
use crate::LogPage;
use crate::PlatformError;

/// Long, since a slow log affects its readers before it affects appends.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the log at one address.
#[derive(Debug)]
pub struct HttpLog {
    client: Arc<HttpClient>,
    addr: SocketAddr,
}

#[derive(Serialize)]
struct AppendRequest {
    record: String,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

impl HttpLog {
    /// Creates a client.
    #[must_use]
    pub fn new(client: Arc<HttpClient>, addr: SocketAddr) -> Self {
        Self { client, addr }
    }
}

#[async_trait]
impl Log for HttpLog {
    async fn append(&self, stream: &str, record: String) -> Result<Offset, PlatformError> {
        let path = format!("/streams/{stream}/records");
        let body = AppendRequest { record };
        let deadline = Instant::now() + APPEND_TIMEOUT;
        let response: AppendResponse =
            self.client.fetch_json("log append", self.addr, &path, Some(&body), deadline).await?;
        Ok(response.offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
        timeout: Duration,
    ) -> Result<LogPage, PlatformError> {
        let path = format!("/streams/{stream}/records?from={from}&wait_ms={}", wait.as_millis());
        let deadline = Instant::now() + wait + timeout;
        self.client.fetch_json::<(), _>("log read", self.addr, &path, None, deadline).await
    }
}
