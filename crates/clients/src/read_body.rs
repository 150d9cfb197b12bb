//! Bodies of responses, whole or as far as they fit into memory.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::ErrorKind;
use crate::Reservation;

/// A body that was read as far as it fits into memory.
#[derive(Debug)]
pub enum ReadBody {
    /// The whole body.
    Whole(Bytes),
    /// A body of a stated length that is too large to be held.
    Part(PartialBody),
}

/// The start of a body, and the connection from which the rest comes.
#[derive(Debug)]
pub struct PartialBody {
    /// The start, with the memory that it takes, until it is taken.
    start: Option<(Bytes, Reservation)>,
    rest: Incoming,
}

impl PartialBody {
    pub(crate) fn new(start: Bytes, reservation: Reservation, rest: Incoming) -> Self {
        Self { start: Some((start, reservation)), rest }
    }

    /// Returns the next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The body ends early or does not arrive in time.
    pub async fn next_chunk(&mut self, deadline: Instant) -> Result<Option<Bytes>, ErrorKind> {
        if let Some((start, _)) = self.start.take().filter(|(start, _)| !start.is_empty()) {
            return Ok(Some(start));
        }
        loop {
            match timeout_at(deadline.into(), self.rest.frame()).await {
                Ok(Some(Ok(frame))) => {
                    // Trailers are not passed on.
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Ok(Some(Err(_))) => return Err(ErrorKind::Incomplete),
                Ok(None) => return Ok(None),
                Err(_) => return Err(ErrorKind::Timeout),
            }
        }
    }
}
