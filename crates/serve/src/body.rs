//! Bodies of callers' requests: each within its size and its time, and all
//! that are still coming within one budget of memory.
//!
//! A sender that stops or drips holds its connection and what it has sent.
//! Both are bounded: the pieces follow each other within the time that the
//! configuration gives for a head, the whole comes within the time that a
//! connection may stay idle, and the bytes that wait for their rest are
//! counted over all senders.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use cassia_route::CallerLimits;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::reply::Refusal;

/// Bytes of all bodies that are still coming: what a small machine can spare.
const BUDGET_BYTES: usize = 32 << 20;

/// Bytes of bodies that are still coming, in this process.
#[derive(Debug, Default)]
pub(crate) struct Held(AtomicUsize);

/// What one body adds to it; given back when this is dropped.
struct Part<'a> {
    held: &'a Held,
    bytes: usize,
}

impl Part<'_> {
    /// Adds bytes; tells whether the budget has room for them.
    fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        self.held.0.fetch_add(bytes, Ordering::Relaxed) + bytes <= BUDGET_BYTES
    }
}

impl Drop for Part<'_> {
    fn drop(&mut self) {
        self.held.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// It is too large, does not come in time, breaks off, or does not fit beside
/// those that are coming already. In none of these cases anything ran.
pub(crate) async fn read(
    mut body: Incoming,
    limits: &CallerLimits,
    held: &Held,
) -> Result<Bytes, Refusal> {
    let most = u64::try_from(limits.max_body_bytes).unwrap_or(u64::MAX);
    if body.size_hint().lower() > most {
        return Err(Refusal::TooLarge);
    }
    let mut part = Part { held, bytes: 0 };
    let whole = Instant::now() + Duration::from_millis(limits.idle_timeout_ms);
    let mut pieces: Vec<Bytes> = Vec::new();
    loop {
        let piece = Instant::now() + Duration::from_millis(limits.header_timeout_ms);
        let next = timeout_at(piece.min(whole), body.frame()).await;
        let Some(frame) = next.map_err(|_| Refusal::TooSlow)? else {
            return Ok(joined(pieces));
        };
        let Ok(data) = frame.map_err(|_| Refusal::BadRequest)?.into_data() else {
            continue;
        };
        if part.bytes + data.len() > limits.max_body_bytes {
            return Err(Refusal::TooLarge);
        }
        if !part.add(data.len()) {
            return Err(Refusal::NoRoom);
        }
        pieces.push(data);
    }
}

/// Joins the pieces; one alone, which is the most frequent, is not copied.
fn joined(mut pieces: Vec<Bytes>) -> Bytes {
    if pieces.len() <= 1 {
        return pieces.pop().unwrap_or_default();
    }
    let mut buf = BytesMut::with_capacity(pieces.iter().map(Bytes::len).sum());
    for piece in &pieces {
        buf.extend_from_slice(piece);
    }
    buf.freeze()
}
