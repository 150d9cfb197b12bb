//! HTTP client of the model engines.
//!
//! Generation uses the common completions API: `POST /v1/completions` with
//! `stream: true`, answered with server-sent events and a final `data:
//! [DONE]`. An extension object, `cassia`, adds `request_id`, `priority`,
//! `tokens_so_far` and `so_far` to the request, and `tokens`, `version`,
//! `built_on_cache` and `preempted` to each event. `GET /load` and `POST
//! /orders` are extensions as well.

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
use crate::http_client::json_request;

/// Time without data after which a stream has failed.
const MAX_EVENT_GAP: Duration = Duration::from_secs(2);
/// Size of the largest event that is accepted.
const MAX_EVENT_BYTES: usize = 1 << 20;
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

/// The data of a server-sent event.
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
        addr: SocketAddr,
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
        let peer = format_smolstr!("{addr}");
        let post =
            json_request(addr, "/v1/completions", Some(&body)).map_err(|e| PlatformError {
                step: STEP,
                peer: peer.clone(),
                kind: ErrorKind::Connect,
                detail: e.to_string(),
            })?;
        let head_deadline = deadline.min(Instant::now() + MAX_EVENT_GAP);
        let response = self.client().send(STEP, addr, post, head_deadline).await?;
        Ok(Box::new(EventStream {
            client: Arc::clone(self.client()),
            addr,
            peer,
            request_id: req.request_id.clone(),
            body: response.into_body(),
            buf: BytesMut::new(),
            done: false,
        }))
    }

    async fn load_report(
        &self,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<LoadReport, PlatformError> {
        self.client().fetch_json::<(), _>("load report", addr, "/load", None, deadline).await
    }

    async fn send_order(
        &self,
        addr: SocketAddr,
        order: &Order,
        deadline: Instant,
    ) -> Result<(), PlatformError> {
        let _: serde_json::Value =
            self.client().fetch_json("order", addr, "/orders", Some(order), deadline).await?;
        Ok(())
    }
}

struct EventStream {
    client: Arc<HttpClient>,
    addr: SocketAddr,
    peer: SmolStr,
    request_id: RequestId,
    body: Incoming,
    buf: BytesMut,
    done: bool,
}

impl EventStream {
    fn error(&self, kind: ErrorKind, detail: impl Into<String>) -> PlatformError {
        PlatformError { step: STEP, peer: self.peer.clone(), kind, detail: detail.into() }
    }

    /// Reads until the buffer holds a whole event, and removes and returns it.
    async fn read_event(&mut self, deadline: Instant) -> Result<BytesMut, PlatformError> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\n\n") {
                let mut event = self.buf.split_to(end + 2);
                event.truncate(end);
                return Ok(event);
            }
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(self.error(ErrorKind::InvalidResponse, "event too large"));
            }
            let read_deadline = deadline.min(Instant::now() + MAX_EVENT_GAP);
            match timeout_at(read_deadline.into(), self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
                Ok(Some(Err(e))) => return Err(self.error(ErrorKind::Incomplete, e.to_string())),
                Ok(None) => {
                    return Err(self.error(ErrorKind::Incomplete, "stream ended without [DONE]"));
                }
                Err(_) => {
                    self.client.drop_pool(self.addr);
                    return Err(self.error(ErrorKind::Timeout, String::new()));
                }
            }
        }
    }

    fn decode_event(&self, data: &[u8]) -> Result<GenerationEvent, PlatformError> {
        let invalid = |detail: String| self.error(ErrorKind::InvalidResponse, detail);
        let event: Event = serde_json::from_slice(data).map_err(|e| invalid(e.to_string()))?;
        if event.id != self.request_id {
            return Err(invalid(format!("event belongs to request {}", event.id)));
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
        if self.done {
            return Ok(GenerationEvent::Done);
        }
        let event = self.read_event(deadline).await?;
        let Some(data) = event.strip_prefix(b"data: ") else {
            return Err(self.error(ErrorKind::InvalidResponse, "event without data"));
        };
        if data == b"[DONE]" {
            self.done = true;
            return Ok(GenerationEvent::Done);
        }
        self.decode_event(data)
    }
}
