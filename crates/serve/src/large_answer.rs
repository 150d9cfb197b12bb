//! Answers that are too large to be held: they are passed on as they come. One that breaks off
//! breaks off for the caller, too.

use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::strip_hop_by_hop;
use cassia_clients::ErrorKind;
use cassia_clients::ReadBody;
use cassia_route::InFlight;
use futures::TryStreamExt;
use futures::stream::try_unfold;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;

use crate::response::Body;
use crate::response::full_body;

/// Turns a target's response into the caller's, without the hop-by-hop
/// headers. While the rest of its body comes, the request counts as in flight at its target.
pub(crate) fn forward_response(
    response: Response<ReadBody>,
    in_flight: Option<InFlight>,
    deadline: Instant,
) -> Response<Body> {
    let (parts, body) = response.into_parts();
    let mut forwarded = Response::new(forwarded_body(body, in_flight, deadline));
    *forwarded.status_mut() = parts.status;
    *forwarded.headers_mut() = strip_hop_by_hop(&parts.headers);
    forwarded
}

fn forwarded_body(read: ReadBody, in_flight: Option<InFlight>, deadline: Instant) -> Body {
    let part = match read {
        ReadBody::Whole(bytes) => return full_body(bytes),
        ReadBody::Part(part) => part,
    };
    let chunks = try_unfold((part, in_flight), move |(mut part, in_flight)| async move {
        let chunk: Option<Bytes> = part.next_chunk(deadline).await?;
        Ok::<_, ErrorKind>(chunk.map(|chunk| (Frame::data(chunk), (part, in_flight))))
    });
    StreamBody::new(chunks.map_err(anyhow::Error::from)).boxed_unsync()
}
