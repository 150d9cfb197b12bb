//! Reading the bodies of callers' requests, with limits on their size, their
//! time and the memory of all incomplete bodies together.
//!
//! A client that stops sending or sends slowly occupies its connection and the
//! memory of what it has sent. So each chunk must arrive within the
//! configuration's time limit for a header section, the whole body within the
//! time that a connection may stay idle, and the bytes of incomplete bodies
//! are counted over all clients.

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

use crate::response::Refusal;

/// Maximum size of all incomplete bodies together: what a small host can
/// spare.
const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// Number of bytes of incomplete bodies in this process.
#[derive(Debug, Default)]
pub(crate) struct BodyBudget(AtomicUsize);

/// The bytes of one body, released when this is dropped.
struct Reservation<'a> {
    budget: &'a BodyBudget,
    bytes: usize,
}

impl Reservation<'_> {
    /// Adds bytes; returns whether the budget allows them.
    fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        self.budget.0.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_BUFFERED_BYTES
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// The body is too large, too slow or incomplete, or there is no memory left
/// for it. The request has not run in any of these cases.
pub(crate) async fn read(
    mut body: Incoming,
    limits: &CallerLimits,
    budget: &BodyBudget,
) -> Result<Bytes, Refusal> {
    let max_bytes = u64::try_from(limits.max_body_bytes).unwrap_or(u64::MAX);
    if body.size_hint().lower() > max_bytes {
        return Err(Refusal::TooLarge);
    }
    let mut reservation = Reservation { budget, bytes: 0 };
    let body_deadline = Instant::now() + Duration::from_millis(limits.idle_timeout_ms);
    let mut chunks: Vec<Bytes> = Vec::new();
    loop {
        let chunk_deadline = Instant::now() + Duration::from_millis(limits.header_timeout_ms);
        let next = timeout_at(chunk_deadline.min(body_deadline), body.frame()).await;
        let Some(frame) = next.map_err(|_| Refusal::BodyTimeout)? else {
            return Ok(concat(chunks));
        };
        let Ok(data) = frame.map_err(|_| Refusal::BadRequest)?.into_data() else {
            continue;
        };
        if reservation.bytes + data.len() > limits.max_body_bytes {
            return Err(Refusal::TooLarge);
        }
        if !reservation.add(data.len()) {
            return Err(Refusal::NoMemory);
        }
        chunks.push(data);
    }
}

/// Concatenates the chunks; a single one, the most frequent case, is not
/// copied.
fn concat(mut chunks: Vec<Bytes>) -> Bytes {
    if chunks.len() <= 1 {
        return chunks.pop().unwrap_or_default();
    }
    let mut buf = BytesMut::with_capacity(chunks.iter().map(Bytes::len).sum());
    for chunk in &chunks {
        buf.extend_from_slice(chunk);
    }
    buf.freeze()
}
