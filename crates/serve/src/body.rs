//! Reading the bodies of callers' requests, with limits on their size, their
//! time and the memory of all bodies together.
//!
//! A client that stops sending or sends slowly occupies its connection and the
//! memory of what it has sent. So each chunk must arrive within the
//! configuration's time limit for a header section, and the whole body within the
//! time that a connection may stay idle. A complete body is held for as long as it
//! may be sent to another target. So the bytes of all bodies are counted over all
//! clients until their requests are answered, and what is over the limit is refused
//! while it comes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use cassia_clients::BodyBuffer;
use cassia_route::CallerLimits;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::response::Refusal;

/// Bodies above this size are collected in one piece of memory, where their length is
/// stated: chunks would be copied at the end, and need twice the memory for a moment.
const LARGE_BYTES: usize = 64 << 10;

/// Limit on the small bodies that count apart, so that they are taken beside large ones.
const SMALL_BODIES_BYTES: usize = 4 << 20;

/// Unit in which the memory of bodies is counted.
const UNIT_BYTES: usize = 1 << 10;

/// The budgets of all bodies whose requests are not answered yet.
#[derive(Debug)]
pub(crate) struct BodyBudgets {
    all: Arc<Semaphore>,
    /// For bodies that are stated to be small, while there is room.
    small: Arc<Semaphore>,
}

/// A share of a budget, which is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct BodyShare {
    permit: OwnedSemaphorePermit,
}

impl BodyBudgets {
    /// Creates budgets of this many bytes, and some more for small bodies.
    pub(crate) fn new(bytes: usize) -> Self {
        let units = |bytes| Arc::new(Semaphore::new(units(bytes) as usize));
        Self { all: units(bytes), small: units(SMALL_BODIES_BYTES) }
    }

    /// Reserves memory for a body. One of a stated length is reserved whole, and waits for
    /// room until `deadline`: its connection is not read meanwhile. Small ones count apart
    /// while there is room. Without a stated length nothing is reserved yet.
    async fn reserve(&self, size: &SizeHint, deadline: Instant) -> Result<BodyShare, Refusal> {
        let len = size.exact().map(|len| usize::try_from(len).unwrap_or(usize::MAX));
        let units = units(len.unwrap_or(0));
        if len.is_some_and(|len| len <= LARGE_BYTES)
            && let Ok(permit) = Arc::clone(&self.small).try_acquire_many_owned(units)
        {
            return Ok(BodyShare { permit });
        }
        let acquired = Arc::clone(&self.all).acquire_many_owned(units);
        match timeout_at(deadline, acquired).await {
            // The semaphore is never closed.
            Ok(Ok(permit)) => Ok(BodyShare { permit }),
            _ => Err(Refusal::NoMemory),
        }
    }

    /// Adds memory to a share, without waiting: bodies that hold a part and wait for more
    /// could wait for each other.
    fn extend(&self, share: &mut BodyShare, bytes: usize) -> Result<(), Refusal> {
        let missing = units(bytes).saturating_sub(share.units());
        if missing > 0 {
            let more = Arc::clone(&self.all).try_acquire_many_owned(missing);
            share.permit.merge(more.map_err(|_| Refusal::NoMemory)?);
        }
        Ok(())
    }
}

impl BodyShare {
    fn units(&self) -> u32 {
        u32::try_from(self.permit.num_permits()).unwrap_or(u32::MAX)
    }
}

/// Returns how many units a body of this many bytes takes.
fn units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}

/// A complete body, which counts in the budget of all bodies until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    pub(crate) share: BodyShare,
}

/// What has come of a body.
enum Received {
    Chunks(BodyBuffer),
    Piece(BytesMut),
}

impl Received {
    fn new(size: &SizeHint) -> Self {
        let len = size.exact().and_then(|len| usize::try_from(len).ok());
        match len.filter(|len| *len > LARGE_BYTES) {
            Some(len) => Self::Piece(BytesMut::with_capacity(len)),
            None => Self::Chunks(BodyBuffer::default()),
        }
    }

    fn push(&mut self, data: Bytes) {
        match self {
            Self::Chunks(buf) => buf.push(data),
            Self::Piece(buf) => buf.extend_from_slice(&data),
        }
    }

    /// Returns the body; chunks of a large one count twice while they are copied together.
    fn finish(self, bytes: usize, budgets: &BodyBudgets) -> Result<Bytes, Refusal> {
        match self {
            Self::Piece(buf) => Ok(buf.freeze()),
            Self::Chunks(buf) if bytes <= LARGE_BYTES => Ok(buf.finish()),
            Self::Chunks(buf) => {
                let copy = Arc::clone(&budgets.all).try_acquire_many_owned(units(bytes));
                let _copy = copy.map_err(|_| Refusal::NoMemory)?;
                Ok(buf.finish())
            }
        }
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
    budgets: &BodyBudgets,
) -> Result<HeldBody, Refusal> {
    let max_bytes = u64::try_from(limits.max_body_bytes).unwrap_or(u64::MAX);
    if body.size_hint().lower() > max_bytes {
        return Err(Refusal::TooLarge { limit_bytes: max_bytes });
    }
    let chunk_limit = Duration::from_millis(limits.header_timeout_ms);
    let mut share = budgets.reserve(&body.size_hint(), Instant::now() + chunk_limit).await?;
    let mut bytes = 0;
    let body_deadline = Instant::now() + Duration::from_millis(limits.idle_timeout_ms);
    let mut received = Received::new(&body.size_hint());
    loop {
        let chunk_deadline = Instant::now() + chunk_limit;
        let next = timeout_at(chunk_deadline.min(body_deadline), body.frame()).await;
        let Some(frame) = next.map_err(|_| Refusal::BodyTimeout)? else {
            let bytes = received.finish(bytes, budgets)?;
            return Ok(HeldBody { bytes, share });
        };
        let Ok(data) = frame.map_err(|_| Refusal::BadRequest)?.into_data() else {
            continue;
        };
        bytes += data.len();
        if bytes > limits.max_body_bytes {
            return Err(Refusal::TooLarge { limit_bytes: max_bytes });
        }
        budgets.extend(&mut share, bytes)?;
        received.push(data);
    }
}
