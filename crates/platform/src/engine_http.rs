//! The engines' adapter over HTTP.
//!
//! Generation follows the field's convention: `POST /v1/completions` with
//! `stream: true`, answered by server-sent events and `data: [DONE]`. Past that
//! goes one extension object, `cassia`: on the request `priority`,
//! `tokens_so_far` and `so_far`; on each event `tokens`, `version`, `cached`
//! and `preempted`. `GET /load` and `POST /orders` are extensions as well.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::BytesMut;
use cassia_ids::RequestId;
use cassia_ids::Version;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::timeout_at;

use crate::Engine;
use crate::ErrorKind;
use crate::GenerateRequest;
use crate::GenerationEvent;
use crate::GenerationStream;
use crate::HttpClient;
use crate::HttpPlatform;
use crate::LoadReport;
use crate::Order;
use crate::PlatformError;
use crate::http_client::request;

/// A stream without a piece for this long is taken for silent.
const MOST_GAP: Duration = Duration::from_secs(2);
/// The largest event, in bytes.
const MOST_EVENT_BYTES: usize = 1 << 20;
const STEP: &str = "generate";

/// The body of `POST /v1/completions`.
#[derive(Debug, Deserialize, Serialize)]
struct Completion<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    cassia: CompletionExtension<'a>,
}

#[derive(Debug, Deserialize, Serialize)]
struct CompletionExtension<'a> {
    request_id: &'a str,
    priority: u32,
    tokens_so_far: u32,
    so_far: &'a str,
}

/// One server-sent event.
#[derive(Debug, Deserialize)]
struct Event {
    id: RequestId,
    #[serde(default)]
    choices: Vec<EventChoice>,
    #[serde(default)]
    cassia: EventExtension,
}

#[derive(Debug, Deserialize)]
struct EventChoice {
    text: String,
}

#[derive(Debug, Default, Deserialize)]
struct EventExtension {
    #[serde(default)]
    tokens: u32,
    version: Option<Version>,
    #[serde(default)]
    built_on_cache: bool,
    #[serde(default)]
    preempted: bool,
}

#[async_trait]
impl Engine for HttpPlatform {
    async fn generate(
        &self,
        at: SocketAddr,
        req: &GenerateRequest,
        deadline: Instant,
    ) -> Result<Box<dyn GenerationStream>, PlatformError> {
        let body = Completion {
            model: &req.model,
            prompt: &req.prompt,
            max_tokens: req.max_tokens,
            stream: true,
            cassia: CompletionExtension {
                request_id: &req.request_id,
                priority: req.priority,
                tokens_so_far: req.generated_tokens,
                so_far: &req.generated_text,
            },
        };
        let peer = format_smolstr!("{at}");
        let post = request(at, "/v1/completions", Some(&body)).map_err(|e| PlatformError {
            step: STEP,
            peer: peer.clone(),
            kind: ErrorKind::Connect,
            detail: e.to_string(),
        })?;
        let head_by = deadline.min(Instant::now() + MOST_GAP);
        let response = self.client().send(STEP, at, post, head_by).await?;
        Ok(Box::new(EventStream {
            client: Arc::clone(self.client()),
            at,
            peer,
            request_id: req.request_id.clone(),
            body: response.into_body(),
            buf: BytesMut::new(),
            whole: false,
        }))
    }

    async fn load(&self, at: SocketAddr, deadline: Instant) -> Result<LoadReport, PlatformError> {
        self.client().fetch_json::<(), _>("load report", at, "/load", None, deadline).await
    }

    async fn order(
        &self,
        at: SocketAddr,
        order: &Order,
        deadline: Instant,
    ) -> Result<(), PlatformError> {
        let _: serde_json::Value =
            self.client().fetch_json("order", at, "/orders", Some(order), deadline).await?;
        Ok(())
    }
}

struct EventStream {
    client: Arc<HttpClient>,
    at: SocketAddr,
    peer: SmolStr,
    request_id: RequestId,
    body: Incoming,
    buf: BytesMut,
    whole: bool,
}

impl EventStream {
    fn error(&self, kind: ErrorKind, detail: impl Into<String>) -> PlatformError {
        PlatformError { step: STEP, peer: self.peer.clone(), kind, detail: detail.into() }
    }

    /// Reads until a whole event stands in the buffer, and takes it out.
    async fn event(&mut self, deadline: Instant) -> Result<BytesMut, PlatformError> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\n\n") {
                let mut event = self.buf.split_to(end + 2);
                event.truncate(end);
                return Ok(event);
            }
            if self.buf.len() > MOST_EVENT_BYTES {
                return Err(self.error(ErrorKind::InvalidResponse, "an event is too large"));
            }
            let by = deadline.min(Instant::now() + MOST_GAP);
            match timeout_at(by.into(), self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
                Ok(Some(Err(e))) => return Err(self.error(ErrorKind::Incomplete, e.to_string())),
                Ok(None) => return Err(self.error(ErrorKind::Incomplete, "ended without [DONE]")),
                Err(_) => {
                    self.client.drop_pool(self.at);
                    return Err(self.error(ErrorKind::Timeout, String::new()));
                }
            }
        }
    }

    fn piece(&self, data: &[u8]) -> Result<GenerationEvent, PlatformError> {
        let garbled = |detail: String| self.error(ErrorKind::InvalidResponse, detail);
        let event: Event = serde_json::from_slice(data).map_err(|e| garbled(e.to_string()))?;
        if event.id != self.request_id {
            return Err(garbled(format!("an event of request {}", event.id)));
        }
        let EventExtension { tokens, version, built_on_cache, preempted } = event.cassia;
        if preempted {
            return Ok(GenerationEvent::Preempted);
        }
        if built_on_cache {
            return Ok(GenerationEvent::CacheHit { version });
        }
        let text = event.choices.into_iter().map(|choice| choice.text).collect();
        Ok(GenerationEvent::Tokens { text, count: tokens, version })
    }
}

#[async_trait]
impl GenerationStream for EventStream {
    async fn next(&mut self, deadline: Instant) -> Result<GenerationEvent, PlatformError> {
        if self.whole {
            return Ok(GenerationEvent::Done);
        }
        let event = self.event(deadline).await?;
        let Some(data) = event.strip_prefix(b"data: ") else {
            return Err(self.error(ErrorKind::InvalidResponse, "not a data event"));
        };
        if data == b"[DONE]" {
            self.whole = true;
            return Ok(GenerationEvent::Done);
        }
        self.piece(data)
    }
}
