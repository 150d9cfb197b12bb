//! Forwards the bytes of a connection in both directions.

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use cassia_adapter::decode_response_head;
use cassia_heads::ResponseHeads;
use cassia_relay::RelayChunk;
use cassia_route::Target;
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

use crate::app::App;
use crate::lock::lock;
use crate::relay::MAX_CHUNK_BYTES;
use crate::relay::codec;

/// A connection without bytes for this long has no request under way in a planned
/// stop: longer than the pause after which a run at an engine is broken off.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// How long requests are still passed on to a target after this host has learnt that it
/// gets no new work: the other host has sent them before it was told.
const LAST_REQUESTS_TIME: Duration = Duration::from_secs(1);

/// How the target's bytes are sent to the host that asked for the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// In chunks, the last of which says that it is.
    Chunks,
    /// As they are, to hosts that know no chunks.
    Plain,
}

/// What has passed on a connection.
#[derive(Debug)]
struct Traffic {
    last_bytes: Instant,
    /// Until when bytes are passed on to the target; `None` for no limit.
    send_until: Option<Instant>,
    heads: ResponseHeads,
}

/// A connection of another host to a target, which this host forwards.
#[derive(Debug)]
pub(crate) struct Forwarder<'a> {
    app: &'a App,
    /// The target, as this host knows it.
    target: &'a Target,
    framing: Framing,
    traffic: Mutex<Traffic>,
}

impl<'a> Forwarder<'a> {
    /// Creates the forwarder of a connection. Bytes for the target that come after
    /// `send_until` end the connection.
    pub(crate) fn new(
        app: &'a App,
        target: &'a Target,
        framing: Framing,
        send_until: Option<Instant>,
    ) -> Self {
        let traffic =
            Traffic { last_bytes: Instant::now(), send_until, heads: ResponseHeads::default() };
        Self { app, target, framing, traffic: Mutex::new(traffic) }
    }

    /// Forwards until both directions have ended.
    ///
    /// In a planned stop, and when the target gets no new work, the other host is told at
    /// once to send no further request. Once the stop drains, the connection is closed as
    /// soon as it has been quiet for a while: no request is under way on it then. What comes
    /// late for a target that gets no new work ends the connection, whatever the other host
    /// knows; responses before that may take as long as they like.
    ///
    /// # Errors
    ///
    /// One direction failed, bytes for the target came too late, or the connection was
    /// closed. There may be more that the target would have sent.
    pub(crate) async fn run(
        &self,
        origin: &mut TcpStream,
        target: &mut TcpStream,
    ) -> io::Result<()> {
        let (from_origin, to_origin) = origin.split();
        let (from_target, to_target) = target.split();
        let responses = async {
            match self.framing {
                Framing::Chunks => self.send_chunks(from_target, to_origin).await,
                Framing::Plain => self.send_plain(from_target, to_origin).await,
            }
        };
        let requests = self.send_requests(from_origin, to_target);
        let both = async { tokio::try_join!(requests, responses).map(|_| ()) };
        tokio::select! {
            ended = both => ended,
            () = self.wait_until_stopped() => Err(io::ErrorKind::ConnectionAborted.into()),
            never = self.end_requests_when_closed() => match never {},
        }
    }

    /// Limits the time of further requests once the target gets no new work. Returns never.
    async fn end_requests_when_closed(&self) -> Infallible {
        self.app.state.closed_targets.wait_until_closed(self.target).await;
        lock(&self.traffic).end_requests(Instant::now() + LAST_REQUESTS_TIME);
        pending().await
    }

    /// Waits until a planned stop drains and the connection is quiet.
    async fn wait_until_stopped(&self) {
        let stop = self.app.state.wait_for_stop().await;
        sleep_until(stop.drains_at().into()).await;
        loop {
            let quiet_at = lock(&self.traffic).last_bytes + QUIET_TIME;
            if Instant::now() >= quiet_at {
                return;
            }
            sleep_until(quiet_at.into()).await;
        }
    }

    /// Waits until the other host must send no further request.
    async fn wait_for_last_request(&self) {
        tokio::select! {
            _ = self.app.state.wait_for_stop() => {}
            () = self.app.state.closed_targets.wait_until_closed(self.target) => {}
        }
    }

    /// Sends the other host's bytes to the target until they end, or come too late.
    async fn send_requests(&self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> io::Result<()> {
        let mut buf = vec![0; MAX_CHUNK_BYTES];
        loop {
            let count = from.read(&mut buf).await?;
            if count == 0 {
                lock(&self.traffic).last_bytes = Instant::now();
                return to.shutdown().await;
            }
            lock(&self.traffic).record_request_bytes(Instant::now())?;
            to.write_all(&buf[..count]).await?;
        }
    }

    /// Sends the target's bytes to the other host until they end.
    async fn send_plain(&self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> io::Result<()> {
        let mut buf = vec![0; MAX_CHUNK_BYTES];
        loop {
            let count = from.read(&mut buf).await?;
            if count == 0 {
                lock(&self.traffic).last_bytes = Instant::now();
                return to.shutdown().await;
            }
            self.record_response_bytes(&buf[..count]);
            to.write_all(&buf[..count]).await?;
        }
    }

    /// Sends the target's bytes to the other host in chunks until they end. A chunk of its
    /// own says when to send no further request.
    async fn send_chunks(&self, mut from: ReadHalf<'_>, to: WriteHalf<'_>) -> io::Result<()> {
        let mut frames = FramedWrite::new(to, codec());
        let mut buf = BytesMut::new();
        let mut last_request = std::pin::pin!(self.wait_for_last_request().fuse());
        loop {
            buf.reserve(MAX_CHUNK_BYTES);
            let mut limited = (&mut buf).limit(MAX_CHUNK_BYTES);
            let chunk = tokio::select! {
                count = from.read_buf(&mut limited) => {
                    let is_last = count? == 0;
                    let data = buf.split().freeze();
                    self.record_response_bytes(&data);
                    RelayChunk { data, is_last, ..RelayChunk::default() }
                }
                () = &mut last_request, if !last_request.is_terminated() => {
                    let is_leaving = self.target.has_stated_leaving();
                    RelayChunk { is_draining: true, is_leaving, ..RelayChunk::default() }
                }
            };
            frames.send(Bytes::from(chunk.encode_to_vec())).await?;
            if chunk.is_last {
                return frames.into_inner().shutdown().await;
            }
        }
    }

    /// Records bytes of the target. What they state about it is this host's knowledge too
    /// from the moment at which it passes them on.
    fn record_response_bytes(&self, bytes: &[u8]) {
        let states_leaving = lock(&self.traffic).record_response_bytes(bytes, Instant::now());
        if states_leaving {
            self.app.state.closed_targets.record_leaving(self.target, "relay");
        }
    }
}

impl Traffic {
    /// Records bytes for the target, which are to be passed on.
    ///
    /// # Errors
    ///
    /// They came too late.
    fn record_request_bytes(&mut self, now: Instant) -> io::Result<()> {
        self.last_bytes = now;
        if self.send_until.is_some_and(|until| now >= until) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.heads.expect_response();
        Ok(())
    }

    /// Records bytes of the target; returns whether they state that it is leaving.
    fn record_response_bytes(&mut self, bytes: &[u8], now: Instant) -> bool {
        self.last_bytes = now;
        let head = self.heads.push(bytes);
        let head = head.map(|head| decode_response_head(head.status(), head.headers()));
        head.is_some_and(|head| head.leaving && !head.wrong_target)
    }

    /// Passes nothing on to the target after `until`.
    fn end_requests(&mut self, until: Instant) {
        let until = self.send_until.map_or(until, |limit| limit.min(until));
        self.send_until = Some(until);
    }
}
