//! A target's stream on its way to the caller.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use cassia_adapter::RequestHead;
use cassia_adapter::VERSION_FIELD;
use cassia_adapter::strip_hop_by_hop;
use cassia_ids::RequestId;
use cassia_jobs::Event;
use cassia_jobs::EventError;
use cassia_jobs::EventParser;
use cassia_route::InFlight;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::accounts::Requester;
use crate::app::App;
use crate::quarantine::WatchedRun;
use crate::response::Body;
use crate::usage;

/// Time without an event after which a stream that has lasted for its route's time limit
/// is broken off.
const MAX_EVENT_GAP: Duration = Duration::from_millis(700);

/// The request to which a stream is the response.
pub(crate) struct StreamContext<'a> {
    pub(crate) app: &'a Arc<App>,
    pub(crate) head: &'a RequestHead,
    pub(crate) watched: WatchedRun,
    pub(crate) requester: &'a Requester,
    pub(crate) in_flight: InFlight,
    /// When the time limit of the request's route ends.
    pub(crate) route_deadline: Instant,
}

/// Why a stream is broken off.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
enum StreamError {
    #[error(transparent)]
    Event(#[from] EventError),
    /// Bytes of another response, perhaps.
    #[error("an event without an id, or not after the one before")]
    OutOfOrder,
    #[error("stream without events")]
    Empty,
    #[error("no event for too long, and the time limit of the route is over")]
    Stalled,
}

/// Forwards a response, event by event; the request counts as in flight until it ends.
/// The response to a failure has no events.
pub(crate) fn forward(cx: StreamContext<'_>, response: Response<Incoming>) -> Response<Body> {
    let (parts, body) = response.into_parts();
    let forwarded = ForwardedStream {
        app: Arc::clone(cx.app),
        id: cx.head.id.clone(),
        watched: cx.watched,
        // A stream that goes on under the id of its first attempt is counted already.
        uncounted: (cx.head.resumes.as_ref() != Some(&cx.head.id)).then(|| cx.requester.clone()),
        body,
        in_flight: cx.in_flight,
        route_deadline: cx.route_deadline,
        progress_at: Instant::now(),
        events: parts.status.is_success().then(|| Events::new(cx.head)),
    };
    let frames = futures::stream::try_unfold(forwarded, ForwardedStream::next_frame);
    let mut forwarded = Response::new(StreamBody::new(frames).boxed_unsync());
    *forwarded.status_mut() = parts.status;
    *forwarded.headers_mut() = strip_hop_by_hop(&parts.headers);
    forwarded
}

/// The events of a stream. Only whole ones are passed on, so that bytes that belong to
/// none never reach the caller.
struct Events {
    parser: EventParser,
    last_id: Option<u64>,
    /// Whether the stream goes on after an event that the caller has.
    is_resumed: bool,
    /// Whether the target has sent an event.
    has_event: bool,
}

impl Events {
    fn new(head: &RequestHead) -> Self {
        Self {
            parser: EventParser::new(VERSION_FIELD),
            last_id: head.last_event_id,
            is_resumed: head.resumes.is_some(),
            has_event: false,
        }
    }

    /// Adds bytes; returns those of the events that are whole.
    fn push(&mut self, bytes: &[u8]) -> Result<Bytes, StreamError> {
        self.parser.push(bytes);
        let mut whole = BytesMut::new();
        while let Some(block) = self.parser.next_block()? {
            block.event.as_ref().map_or(Ok(()), |event| self.check(event))?;
            whole.extend_from_slice(&block.bytes);
        }
        Ok(whole.freeze())
    }

    fn check(&mut self, event: &Event) -> Result<(), StreamError> {
        let is_next = event.id.is_some() && event.id > self.last_id;
        self.last_id = event.id;
        self.has_event |= is_next;
        if is_next { Ok(()) } else { Err(StreamError::OutOfOrder) }
    }

    /// Checks that the stream may end here. One that goes on after an event may have had
    /// no further one.
    fn finish(&self) -> Result<(), StreamError> {
        self.parser.finish()?;
        if self.last_id.is_none() && !self.is_resumed {
            return Err(StreamError::Empty);
        }
        Ok(())
    }
}

/// A stream that is being forwarded.
struct ForwardedStream {
    app: Arc<App>,
    id: RequestId,
    watched: WatchedRun,
    /// For whom the stream is, until its first event is counted.
    uncounted: Option<Requester>,
    body: Incoming,
    in_flight: InFlight,
    route_deadline: Instant,
    /// When the last whole event came.
    progress_at: Instant,
    /// `None` for the response to a failure.
    events: Option<Events>,
}

impl ForwardedStream {
    /// Returns the next bytes to pass on; an error breaks the caller's stream off, so that
    /// it doesn't look complete.
    async fn next_frame(mut self) -> anyhow::Result<Option<(Frame<Bytes>, Self)>> {
        loop {
            // A sound stream may last longer than its route's time limit. One whose target
            // is silent must not.
            let stalled_at = self.route_deadline.max(self.progress_at + MAX_EVENT_GAP);
            let Ok(frame) = timeout_at(stalled_at.into(), self.body.frame()).await else {
                return Err(self.broken_off(StreamError::Stalled).into());
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                Some(Err(e)) => {
                    self.app.quarantine.record_crash(&self.watched, self.in_flight.target());
                    return Err(e.into());
                }
                None => {
                    let ended = self.events.as_ref().map_or(Ok(()), Events::finish);
                    ended.map_err(|e| self.broken_off(e))?;
                    self.app.quarantine.record_success(self.watched.content());
                    return Ok(None);
                }
            };
            let Ok(data) = frame.into_data() else { continue };
            let whole = match &mut self.events {
                Some(events) => events.push(&data).map_err(|e| self.broken_off(e))?,
                None => data,
            };
            if !whole.is_empty() {
                self.progress_at = Instant::now();
                self.count_first_event();
                return Ok(Some((Frame::data(whole), self)));
            }
        }
    }

    /// Counts the request if its target has sent an event.
    fn count_first_event(&mut self) {
        if self.events.as_ref().is_some_and(|events| events.has_event)
            && let Some(requester) = self.uncounted.take()
        {
            usage::count(&self.app, &requester, self.progress_at);
        }
    }

    /// Records that the target's stream is no stream of events, or none any more.
    fn broken_off(&self, e: StreamError) -> StreamError {
        let target = self.in_flight.target();
        self.app.state.targets.load().record_failure(target, Instant::now());
        let (id, peer) = (self.id.as_str(), target.info.id.as_str());
        log::info!(event = "stream_invalid", step = "stream", id, peer; "{e}");
        e
    }
}
