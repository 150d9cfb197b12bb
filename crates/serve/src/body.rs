//! Reading the bodies of callers' requests, with limits on their size, their
//! time and the memory of all incomplete bodies together.
//!
//! A client that stops sending or sends slowly occupies its connection and the
//! memory of what it has sent. So each chunk must arrive within the
//! configuration's time limit for a header section, the whole body within the
//! time that a connection may stay idle, and the bytes of incomplete bodies
//! are counted over all clients.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cassia_clients::BodyBuffer;
use cassia_clients::ByteBudget;
use cassia_route::CallerLimits;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::response::Refusal;

/// Maximum size of all incomplete bodies together: what a small host can
/// spare.
pub(crate) const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// Reads a body to its end.
///
/// # Errors
///
/// The body is too large, too slow or incomplete, or there is no memory left
/// for it. The request has not run in any of these cases.
pub(crate) async fn read(
    mut body: Incoming,
    limits: &CallerLimits,
    budget: &Arc<ByteBudget>,
) -> Result<Bytes, Refusal> {
    let max_bytes = u64::try_from(limits.max_body_bytes).unwrap_or(u64::MAX);
    if body.size_hint().lower() > max_bytes {
        return Err(Refusal::TooLarge);
    }
    let mut reservation = budget.reserve();
    let body_deadline = Instant::now() + Duration::from_millis(limits.idle_timeout_ms);
    let mut buf = BodyBuffer::default();
    loop {
        let chunk_deadline = Instant::now() + Duration::from_millis(limits.header_timeout_ms);
        let next = timeout_at(chunk_deadline.min(body_deadline), body.frame()).await;
        let Some(frame) = next.map_err(|_| Refusal::BodyTimeout)? else {
            return Ok(buf.finish());
        };
        let Ok(data) = frame.map_err(|_| Refusal::BadRequest)?.into_data() else {
            continue;
        };
        if reservation.bytes() + data.len() > limits.max_body_bytes {
            return Err(Refusal::TooLarge);
        }
        reservation.add(data.len()).map_err(|_| Refusal::NoMemory)?;
        buf.push(data);
    }
}
