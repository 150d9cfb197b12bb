//! This host's end of a connection to a target that another host forwards.

use std::io;

use bytes::Bytes;
use cassia_clients::PeerStream;
use cassia_relay::RelayChunk;
use futures::Stream;
use futures::StreamExt;
use futures::stream::once;
use futures::stream::try_unfold;
use prost::Message;
use tokio::io::join;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::ReaderStream;
use tokio_util::io::StreamReader;

use crate::relay::codec;

type Chunks = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Wraps a connection on which the target's bytes come in chunks. It ends only after
/// the last one. `on_draining` is called when the other host says that the connection takes
/// no further request, with whether the target is leaving.
pub(crate) fn from_chunks(
    stream: TcpStream,
    on_draining: impl Fn(bool) + Clone + Send + 'static,
) -> Box<dyn PeerStream> {
    let (from, to) = stream.into_split();
    let chunks = try_unfold(Some(FramedRead::new(from, codec())), move |chunks| {
        next_chunk(chunks, on_draining.clone())
    });
    with_reader(chunks, to)
}

/// Wraps a connection on which the target's bytes come as they are, from a host of an
/// earlier release. It never ends: that the target closed its side looks no different
/// from the end of the process that forwards.
pub(crate) fn from_plain(stream: TcpStream) -> Box<dyn PeerStream> {
    let (from, to) = stream.into_split();
    let end = once(async { Err(io::ErrorKind::UnexpectedEof.into()) });
    with_reader(ReaderStream::new(from).chain(end), to)
}

fn with_reader(
    chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
    to: OwnedWriteHalf,
) -> Box<dyn PeerStream> {
    Box::new(join(StreamReader::new(Box::pin(chunks)), to))
}

/// Returns the next bytes, and the connection unless they are the last ones.
async fn next_chunk(
    chunks: Option<Chunks>,
    on_draining: impl Fn(bool),
) -> io::Result<Option<(Bytes, Option<Chunks>)>> {
    let Some(mut chunks) = chunks else { return Ok(None) };
    let frame = chunks.next().await.transpose()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let chunk = RelayChunk::decode(frame.freeze()).map_err(io::Error::other)?;
    if chunk.is_draining {
        on_draining(chunk.is_leaving);
    }
    Ok(Some((chunk.data, (!chunk.is_last).then_some(chunks))))
}
