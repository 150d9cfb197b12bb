//! The faults of a target.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::Reply;

/// What is wrong with a target's responses to requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ResponseFault {
    /// Nothing.
    #[default]
    None,
    /// Status 500, after the request ran.
    Error,
    /// Another status, after the request ran.
    Status(u16),
    /// Status 503, with a header that says that the request did not run.
    Busy,
    /// No response, after the request ran.
    Hang,
    /// No response and a closed connection, after the request ran.
    Reset,
    /// The id of another request, after the request ran.
    WrongId,
}

/// The body of a large answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LargeBody {
    /// Its size.
    pub bytes: usize,
    /// Whether its length is stated, or it comes in chunks.
    pub is_stated: bool,
    /// What comes after it.
    pub end: LargeEnd,
}

/// What comes after the bytes of a large answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LargeEnd {
    /// Its end.
    #[default]
    Whole,
    /// The connection breaks off after half of them.
    BreaksOff,
    /// Nothing, and the connection stays open.
    Stalls,
}

impl LargeBody {
    /// Returns a successful reply with such a body, whose chunks are sent by a task of their own.
    pub(crate) fn reply(self, headers: Vec<(&'static str, String)>) -> Reply {
        const CHUNK_BYTES: usize = 64 << 10;
        let length = self.is_stated.then(|| ("content-length", self.bytes.to_string()));
        let headers = headers.into_iter().chain(length).collect();
        let (tx, rx) = mpsc::channel(4);
        tokio::spawn(async move {
            let chunk = Bytes::from(vec![b'x'; CHUNK_BYTES]);
            let sent = if self.end == LargeEnd::BreaksOff { self.bytes / 2 } else { self.bytes };
            for from in (0..sent).step_by(CHUNK_BYTES) {
                let len = CHUNK_BYTES.min(sent - from);
                if tx.send(Ok(chunk.slice(..len))).await.is_err() {
                    return;
                }
            }
            match self.end {
                LargeEnd::Whole => {}
                LargeEnd::BreaksOff => {
                    let _ = tx.send(Err(io::ErrorKind::ConnectionReset.into())).await;
                }
                LargeEnd::Stalls => tx.closed().await,
            }
        });
        Reply::StreamWith(headers, rx)
    }
}

/// How a target states that it did not run a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RefusalKind {
    /// Status 503, without the id of the request.
    #[default]
    Full,
    /// Status 503, with the id of the request.
    FullWithId,
    /// Status 421, without the id of the request.
    OtherTarget,
}

impl RefusalKind {
    /// Returns the reply to a request with this id.
    pub(crate) fn reply(self, id: String) -> Reply {
        let not_run = ("not-run", "1".to_owned());
        match self {
            Self::Full => Reply::Bytes(503, vec![not_run], Bytes::new()),
            Self::FullWithId => Reply::Bytes(503, vec![not_run, ("attempt-id", id)], Bytes::new()),
            Self::OtherTarget => {
                Reply::Bytes(421, vec![("instance-id", "another".to_owned())], Bytes::new())
            }
        }
    }
}

/// The replies that a target repeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatedReply {
    /// Those to requests that ran.
    Answers,
    /// Those to requests that did not run.
    Refusals,
    /// Reports.
    Reports,
}

/// The faults to inject into a target.
#[derive(Clone, Debug, Default)]
pub struct TargetFaults {
    /// What is wrong with its responses.
    pub response: ResponseFault,
    /// Streams are reset after this many events.
    pub reset_after_events: Option<u64>,
    /// Ids of requests that always fail.
    pub failing_ids: BTreeSet<String>,
    /// Bodies of requests under which it crashes: it runs the request, ends with all
    /// of its connections, and starts again after a moment.
    pub crashing_bodies: BTreeSet<String>,
    /// Ids of requests under which it crashes.
    pub crashing_ids: BTreeSet<String>,
    /// Orders get no response and are executed after this delay.
    pub order_delay: Option<Duration>,
    /// No call gets a response.
    pub silent: bool,
    /// It states in its responses that it is leaving; its heartbeats don't.
    pub states_leaving: bool,
    /// One in this many requests is refused as not run, without a limit.
    pub refuse_every: Option<u64>,
    /// How requests are refused.
    pub refusal: RefusalKind,
    /// The first orders up to this number are refused.
    pub refused_orders: usize,
    /// Replies that are sent a second time, in place of the next one on the
    /// connection.
    pub repeated: Option<RepeatedReply>,
    /// The answers of a plain service are large.
    pub large_body: Option<LargeBody>,
    /// Requests a second that it states to accept from all hosts together.
    pub rate_limit: Option<f64>,
}
