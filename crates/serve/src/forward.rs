//! Forwards the bytes of a connection in both directions.

use std::io;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use cassia_admission::PlannedStop;
use cassia_relay::RelayChunk;
use futures::FutureExt;
use futures::SinkExt;
use futures::future::FusedFuture;
use prost::Message;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::time::sleep_until;
use tokio_util::codec::FramedWrite;

use crate::relay::MAX_CHUNK_BYTES;
use crate::relay::codec;
use crate::state::lock;

/// How the target's bytes are sent to the host that asked for the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// In chunks, the last of which says that it is.
    Chunks,
    /// As they are, to hosts that know no chunks.
    Plain,
}

/// Limits on a forwarded connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardLimits {
    /// Until when bytes are passed on to the target; `None` for no limit.
    pub(crate) send_until: Option<Instant>,
    /// How long a connection must be without bytes to be closed in a planned stop.
    pub(crate) quiet: Duration,
}

/// Forwards until both directions have ended. In a planned stop, which `stop` waits for,
/// the other host is told at once to send no further request. Once the stop drains, the
/// connection is closed as soon as it has been quiet for a while: no request is under way
/// on it then.
///
/// # Errors
///
/// One direction failed, bytes for the target came too late, or the connection was
/// closed in a stop. There may be more that the target would have sent.
pub(crate) async fn forward(
    origin: &mut TcpStream,
    target: &mut TcpStream,
    framing: Framing,
    stop: impl Future<Output = PlannedStop>,
    limits: ForwardLimits,
) -> io::Result<()> {
    let last_bytes = Mutex::new(Instant::now());
    let stop = stop.shared();
    let (from_origin, to_origin) = origin.split();
    let (from_target, to_target) = target.split();
    let responses = async {
        match framing {
            Framing::Chunks => {
                copy_in_chunks(from_target, to_origin, stop.clone(), &last_bytes).await
            }
            Framing::Plain => copy(from_target, to_origin, None, &last_bytes).await,
        }
    };
    let requests = copy(from_origin, to_target, limits.send_until, &last_bytes);
    let both = async { tokio::try_join!(requests, responses).map(|_| ()) };
    let quiet_after_stop = async {
        sleep_until(stop.clone().await.drains_at().into()).await;
        loop {
            let quiet_at = *lock(&last_bytes) + limits.quiet;
            if Instant::now() >= quiet_at {
                return;
            }
            sleep_until(quiet_at.into()).await;
        }
    };
    tokio::select! {
        ended = both => ended,
        () = quiet_after_stop => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// Copies one direction until it ends; fails if bytes come after `until`.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    until: Option<Instant>,
    last_bytes: &Mutex<Instant>,
) -> io::Result<()> {
    let mut buf = vec![0; MAX_CHUNK_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        *lock(last_bytes) = Instant::now();
        if count == 0 {
            return to.shutdown().await;
        }
        if until.is_some_and(|until| Instant::now() >= until) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        to.write_all(&buf[..count]).await?;
    }
}

/// Copies one direction in chunks until it ends. Once a planned stop begins, a chunk of its
/// own says so.
async fn copy_in_chunks(
    mut from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    stop: impl Future<Output = PlannedStop>,
    last_bytes: &Mutex<Instant>,
) -> io::Result<()> {
    let mut frames = FramedWrite::new(to, codec());
    let mut buf = BytesMut::new();
    let mut stop = std::pin::pin!(stop.fuse());
    loop {
        buf.reserve(MAX_CHUNK_BYTES);
        let mut limited = (&mut buf).limit(MAX_CHUNK_BYTES);
        let chunk = tokio::select! {
            count = from.read_buf(&mut limited) => {
                let is_last = count? == 0;
                *lock(last_bytes) = Instant::now();
                RelayChunk { data: buf.split().freeze(), is_last, is_draining: false }
            }
            _ = &mut stop, if !stop.is_terminated() => {
                RelayChunk { is_draining: true, ..RelayChunk::default() }
            }
        };
        frames.send(Bytes::from(chunk.encode_to_vec())).await?;
        if chunk.is_last {
            return frames.into_inner().shutdown().await;
        }
    }
}
