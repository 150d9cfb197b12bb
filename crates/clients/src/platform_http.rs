//! HTTP clients of the list of targets, the weight store, the plain services
//! and the scorer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use cassia_route::TargetSnapshot;
use cassia_tickets::TargetResponse;
use http::Request;
use http::StatusCode;
use http::header::ETAG;
use http::header::IF_NONE_MATCH;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::ErrorKind;
use crate::HttpClient;
use crate::HttpLog;
use crate::LatestVersion;
use crate::PlainService;
use crate::PlatformError;
use crate::Scorer;
use crate::TargetList;
use crate::WeightStore;

/// HTTP client of the engines, the list of targets, the weight store, the
/// plain services and the scorer.
#[derive(Debug, Default)]
pub struct HttpPlatform {
    client: Arc<HttpClient>,
    list_replicas: Vec<Replica>,
    next_replica: AtomicUsize,
    weights: Option<SocketAddr>,
    scorer: Option<SocketAddr>,
}

/// A replica of the list of targets.
#[derive(Debug)]
struct Replica {
    addr: SocketAddr,
    /// Entity tag of the last copy that it sent.
    etag: ArcSwapOption<SmolStr>,
}

#[derive(Serialize)]
struct ScoreRequest<'a> {
    prompt: &'a str,
    text: &'a str,
}

#[derive(Deserialize)]
struct ScoreResponse {
    score: f64,
}

impl HttpPlatform {
    /// Sets the replicas of the list of targets.
    #[must_use]
    pub fn with_target_list(mut self, replicas: Vec<SocketAddr>) -> Self {
        let replica = |addr| Replica { addr, etag: ArcSwapOption::empty() };
        self.list_replicas = replicas.into_iter().map(replica).collect();
        self
    }

    /// Sets the address of the weight store.
    #[must_use]
    pub fn with_weight_store(mut self, addr: Option<SocketAddr>) -> Self {
        self.weights = addr;
        self
    }

    /// Sets the address of the scorer.
    #[must_use]
    pub fn with_scorer(mut self, addr: Option<SocketAddr>) -> Self {
        self.scorer = addr;
        self
    }

    /// Returns whether a scorer is set.
    #[must_use]
    pub fn has_scorer(&self) -> bool {
        self.scorer.is_some()
    }

    /// Creates a client of a log that shares this client's connections.
    #[must_use]
    pub fn log(&self, addr: SocketAddr) -> HttpLog {
        HttpLog::new(Arc::clone(&self.client), addr)
    }

    pub(crate) fn client(&self) -> &Arc<HttpClient> {
        &self.client
    }
}

fn not_configured(step: &'static str) -> PlatformError {
    PlatformError {
        step,
        peer: SmolStr::new_static("none"),
        kind: ErrorKind::Connect,
        detail: "no address configured".to_owned(),
    }
}

#[async_trait]
impl TargetList for HttpPlatform {
    async fn fetch(&self, deadline: Instant) -> Result<Option<TargetSnapshot>, PlatformError> {
        let step = "list of targets";
        // Each fetch uses the next replica, so that one that hangs or lags is
        // not the only source.
        let index = self.next_replica.fetch_add(1, Ordering::Relaxed);
        let Some(replica) = self.list_replicas.get(index % self.list_replicas.len().max(1)) else {
            return Err(not_configured(step));
        };
        let invalid = |e: String| PlatformError {
            step,
            peer: format_smolstr!("{}", replica.addr),
            kind: ErrorKind::InvalidResponse,
            detail: e,
        };
        // A list of 600 targets is about 120 KB, so the replica sends it only
        // when its copy has changed.
        let etag = replica.etag.load_full();
        let mut request = Request::get(format!("http://{}/targets", replica.addr));
        if let Some(etag) = &etag {
            request = request.header(IF_NONE_MATCH, etag.as_str());
        }
        let request = request.body(Full::default()).map_err(|e| invalid(e.to_string()))?;
        let response = self.client.fetch_non_5xx(step, replica.addr, request, deadline).await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let copy = serde_json::from_slice(response.body()).map_err(|e| invalid(e.to_string()))?;
        let etag = response.headers().get(ETAG).and_then(|etag| etag.to_str().ok());
        replica.etag.store(etag.map(|etag| Arc::new(etag.into())));
        Ok(Some(copy))
    }
}

#[async_trait]
impl WeightStore for HttpPlatform {
    async fn latest_versions(
        &self,
        deadline: Instant,
    ) -> Result<Vec<LatestVersion>, PlatformError> {
        let step = "latest weights";
        let addr = self.weights.ok_or_else(|| not_configured(step))?;
        self.client.fetch_json::<(), _>(step, addr, "/latest", None, deadline).await
    }
}

#[async_trait]
impl PlainService for HttpPlatform {
    async fn call(
        &self,
        addr: SocketAddr,
        request_id: &str,
        body: Bytes,
        deadline: Instant,
    ) -> Result<TargetResponse, PlatformError> {
        let step = "call";
        let error = |detail: String| PlatformError {
            step,
            peer: format_smolstr!("{addr}"),
            kind: ErrorKind::Connect,
            detail,
        };
        let request = Request::post(format!("http://{addr}/call"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header("cassia-request-id", request_id)
            .body(Full::new(body))
            .map_err(|e| error(e.to_string()))?;
        let response = self.client.fetch_non_5xx(step, addr, request, deadline).await?;
        let echoed = response.headers().get("cassia-request-id");
        if echoed.is_some_and(|echoed| echoed.as_bytes() != request_id.as_bytes()) {
            let detail = "response belongs to another request".to_owned();
            return Err(PlatformError { kind: ErrorKind::InvalidResponse, ..error(detail) });
        }
        Ok(TargetResponse { status: response.status().as_u16(), body: response.into_body().into() })
    }
}

#[async_trait]
impl Scorer for HttpPlatform {
    async fn score(
        &self,
        prompt: &str,
        text: &str,
        deadline: Instant,
    ) -> Result<f64, PlatformError> {
        let step = "score";
        let addr = self.scorer.ok_or_else(|| not_configured(step))?;
        let body = ScoreRequest { prompt, text };
        let response: ScoreResponse =
            self.client.fetch_json(step, addr, "/score", Some(&body), deadline).await?;
        Ok(response.score)
    }
}
