//! Connections to targets that this host makes for other hosts.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_clients::Relay;
use cassia_clients::reset_on_drop;
use cassia_relay::RelayReply;
use cassia_relay::RelayRequest;
use cassia_route::Target;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use crate::app::App;
use crate::forward::Forwarder;
use crate::forward::Framing;
use crate::hosts;
use crate::lock::lock;
use crate::relay::frames;
use crate::relay::into_stream;
use crate::relay::prepare;

/// Maximum number of connections that are forwarded at once.
const MAX_FORWARDED: usize = 512;
/// Time within which a host that has connected must send its request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Starts to accept other hosts' requests. The connections that are forwarded count in
/// the tracker that is returned.
pub(crate) async fn start(app: &Arc<App>, addr: SocketAddr) -> anyhow::Result<TaskTracker> {
    let listener = TcpListener::bind(addr).await.with_context(|| format!("bind {addr}"))?;
    let connections = TaskTracker::new();
    tokio::spawn(accept(listener, Arc::clone(app), connections.clone()));
    Ok(connections)
}

async fn accept(listener: TcpListener, app: Arc<App>, connections: TaskTracker) {
    let permits = Arc::new(Semaphore::new(MAX_FORWARDED));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (app, permits) = (Arc::clone(&app), Arc::clone(&permits));
                connections.spawn(async move {
                    if let Err(e) = serve(&app, stream, peer, &permits).await {
                        log::debug!(event = "relay_ended", step = "relay"; "{e}");
                    }
                });
            }
            Err(e) => {
                log::warn!(event = "accept_failed", step = "relay"; "{e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection of another host.
async fn serve(
    app: &App,
    stream: TcpStream,
    peer: SocketAddr,
    permits: &Semaphore,
) -> io::Result<()> {
    prepare(&stream)?;
    let mut frames = frames(stream);
    let frame = timeout(REQUEST_TIMEOUT, frames.next()).await?;
    let frame = frame.transpose()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let request = RelayRequest::decode(frame).map_err(io::Error::other)?;
    let permit = permits.try_acquire();
    let connected = match permit {
        _ if !is_host(app, peer.ip()).await => Err(RelayReply::UnknownHost),
        Ok(_) if !app.state.is_stopping() => connect(app, &request).await,
        _ => Err(RelayReply::Busy),
    };
    let framing = if request.accepts_chunks { Framing::Chunks } else { Framing::Plain };
    let (reply, connected) = match connected {
        Ok(connected) => (connected_reply(framing), Some(connected)),
        Err(reply) => (reply, None),
    };
    let replied_at = Instant::now();
    frames.send(reply.to_bytes()).await?;
    let Some((target, mut target_stream)) = connected else {
        let (origin, target) = (peer.ip().to_string(), request.target.as_str());
        log::info!(event = "relay_refused", step = "relay", origin, target; "{reply:?}");
        return Ok(());
    };
    // If the connection breaks off, or this process ends, the other host sees a reset
    // and not an end, also one that knows no chunks.
    let mut origin = into_stream(frames)?;
    let send_within = Duration::from_millis(request.send_within_ms.into());
    let send_until = (!send_within.is_zero()).then(|| replied_at + send_within);
    let forwarder = Forwarder::new(app, &target, framing, send_until);
    forwarder.run(&mut origin, &mut target_stream).await?;
    SockRef::from(&origin).set_linger(None)
}

fn connected_reply(framing: Framing) -> RelayReply {
    match framing {
        Framing::Chunks => RelayReply::ConnectedInChunks,
        Framing::Plain => RelayReply::Connected,
    }
}

/// Returns whether a host that announced itself has this address. One that has just
/// started may not have been read yet.
async fn is_host(app: &App, addr: IpAddr) -> bool {
    if lock(&app.relay.hosts).has_addr(addr) {
        return true;
    }
    hosts::refresh(app).await;
    lock(&app.relay.hosts).has_addr(addr)
}

/// Connects to a target over this host's own link.
async fn connect(
    app: &App,
    request: &RelayRequest,
) -> Result<(Arc<Target>, TcpStream), RelayReply> {
    let target = find_target(app, request).ok_or(RelayReply::NotListed)?;
    // Hosts that know no chunks send items of jobs that may have ended, however old what
    // they know is.
    if !request.accepts_chunks && is_engine(app, &target) {
        return Err(RelayReply::Busy);
    }
    let addr = target.info.addr;
    // A lost link is tried again by its checks.
    if app.relay.is_lost(addr) {
        return Err(RelayReply::Unreachable);
    }
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => {
            app.relay.record_direct(addr);
            prepare(&stream).map_err(|_| RelayReply::Unreachable)?;
            reset_on_drop(&stream);
            Ok((target, stream))
        }
        _ => Err(RelayReply::Unreachable),
    }
}

fn is_engine(app: &App, target: &Target) -> bool {
    let heartbeats = app.state.heartbeats.load();
    heartbeats.iter().any(|known| known.id == target.info.id && !known.versions.is_empty())
}

fn find_target(app: &App, request: &RelayRequest) -> Option<Arc<Target>> {
    let targets = app.state.targets.load();
    let is_asked = |target: &&Arc<Target>| {
        target.info.id == request.target
            && target.info.incarnation == request.incarnation
            && target.is_open()
    };
    targets.all().find(is_asked).cloned()
}
