//! Responses that are streamed as server-sent events.
//!
//! A response is complete if and only if it ends with `data: [DONE]`. If the
//! request fails after the response's head was sent, an `error` event is sent
//! and the connection is closed in the middle of the body, so that no HTTP
//! library or proxy mistakes the response for a complete one.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_ids::Version;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use dropshot::Body;
use futures::StreamExt;
use futures::stream::unfold;
use http::Response;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::app::App;
use crate::call::Call;
use crate::generate::ChunkSink;
use crate::generate::Generation;
use crate::response::CompleteResponse;

/// Number of events that are queued for a slow caller; beyond it, the engine's
/// stream isn't read.
const MAX_QUEUED_EVENTS: usize = 32;
/// A caller that receives no event for this long is treated as disconnected.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time allowed for sending the last event before the connection is closed.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// An encoded event, or an error that closes the connection.
type Event = Result<Bytes, io::Error>;

/// Sends chunks as server-sent events.
struct EventSink(mpsc::Sender<Event>);

impl EventSink {
    /// Sends an event; returns false if the caller doesn't receive it.
    async fn send_event(&self, data: &str) -> bool {
        let event = Bytes::from(format!("data: {data}\n\n"));
        matches!(timeout(CALLER_STALL_TIMEOUT, self.0.send(Ok(event))).await, Ok(Ok(())))
    }
}

#[async_trait]
impl ChunkSink for EventSink {
    async fn send(&mut self, text: &str, tokens: u32, version: Option<Version>) -> bool {
        let chunk = json!({"text": text, "tokens": tokens, "version": version});
        self.send_event(&chunk.to_string()).await
    }
}

impl App {
    /// Starts a streamed response once the request is admitted. A failure
    /// before that is returned as an error with its own status.
    pub(crate) async fn stream(self: &Arc<Self>, call: Call) -> Result<Response<Body>, ApiError> {
        let body = call.generate_body()?;
        let generation = self.start_generation(&call, body).await?;
        let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
        tokio::spawn(Arc::clone(self).send_events(call, generation, EventSink(tx)));
        let events = unfold(rx, |mut rx| async move { rx.recv().await.map(|event| (event, rx)) });
        let body = StreamBody::new(events.map(|event| event.map(Frame::data)));
        Response::builder()
            .header(http::header::CONTENT_TYPE, "text/event-stream")
            .body(Body::wrap(body))
            .map_err(|e| ApiError::unknown(ApiErrorKind::Internal, "answer", e.to_string()))
    }

    async fn send_events(self: Arc<Self>, call: Call, generation: Generation, mut sink: EventSink) {
        let started = Instant::now();
        let result = self.run_generation(&call, generation, &mut sink).await;
        let recorded = match &result {
            Ok(_) => Ok(CompleteResponse { status: 200, body: Vec::new() }),
            Err(e) => Err(e.clone()),
        };
        self.record_result(&call, &recorded, started);
        match result {
            Ok(_) => {
                sink.send_event("[DONE]").await;
            }
            Err(e) => {
                sink.send_event(&json!({"error": e}).to_string()).await;
                // The HTTP library closes the connection at once on an error
                // and would drop the event unsent.
                sleep(FLUSH_DELAY).await;
                let _ = sink.0.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
            }
        }
    }
}
