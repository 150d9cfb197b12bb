//! The log's adapter over HTTP.
//!
//! `POST /streams/S/records {"record": TEXT}` gives `{"offset": N}`;
//! `GET /streams/S/records?from=N&wait_ms=M` gives a `LogPage`.

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

/// An append may take this long; a slow log is slow for its readers first.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// The log, as one address serves it.
#[derive(Debug)]
pub struct HttpLog {
    client: Arc<HttpClient>,
    addr: SocketAddr,
}

#[derive(Serialize)]
struct Append {
    record: String,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

impl HttpLog {
    /// Sets the adapter up.
    #[must_use]
    pub fn new(client: Arc<HttpClient>, addr: SocketAddr) -> Self {
        Self { client, addr }
    }
}

#[async_trait]
impl Log for HttpLog {
    async fn append(&self, stream: &str, record: String) -> Result<Offset, PlatformError> {
        let path = format!("/streams/{stream}/records");
        let body = Append { record };
        let deadline = Instant::now() + APPEND_TIMEOUT;
        let answer: Appended =
            self.client.fetch_json("log append", self.addr, &path, Some(&body), deadline).await?;
        Ok(answer.offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
        patience: Duration,
    ) -> Result<LogPage, PlatformError> {
        let path = format!("/streams/{stream}/records?from={from}&wait_ms={}", wait.as_millis());
        let deadline = Instant::now() + wait + patience;
        self.client.fetch_json::<(), _>("log read", self.addr, &path, None, deadline).await
    }
}
