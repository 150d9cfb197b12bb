//! Connections over this host's own link or through another host, whichever is
//! established first.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_trait::async_trait;
use cassia_relay::ConnectPlan;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tower_service::Service;

/// How long the preferred way has before the other one is begun too.
const HEAD_START: Duration = Duration::from_millis(40);

/// A connection to a peer, whichever way it takes.
///
/// A read returns no bytes only if the peer itself closed its side. If the connection
/// broke off on the way, it fails.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for T {}

/// Opens connections through other hosts.
#[async_trait]
pub trait Relay: Debug + Send + Sync {
    /// Returns how to begin a new connection.
    fn plan(&self, peer: SocketAddr) -> ConnectPlan;

    /// Opens a connection through another host.
    ///
    /// # Errors
    ///
    /// No host that was asked made the connection in time.
    async fn open(&self, peer: SocketAddr) -> io::Result<Box<dyn PeerStream>>;

    /// Records that a connection over this host's own link was established.
    fn record_direct(&self, peer: SocketAddr);

    /// Records that a connection through another host was established, and one over
    /// the own link was not.
    fn record_relayed(&self, peer: SocketAddr);
}

type ConnectError = <HttpConnector as Service<Uri>>::Error;

/// Opens connections over the own link, or with a relay whichever way works.
#[derive(Clone, Debug)]
pub(crate) struct PathConnector {
    connector: HttpConnector,
    relay: Option<Arc<dyn Relay>>,
}

impl PathConnector {
    pub(crate) fn new(connector: HttpConnector, relay: Option<Arc<dyn Relay>>) -> Self {
        Self { connector, relay }
    }

    pub(crate) fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        Service::<Uri>::poll_ready(&mut self.connector, cx)
    }

    /// Opens a connection to the address in a URI.
    pub(crate) fn connect(
        &mut self,
        uri: Uri,
    ) -> BoxFuture<'static, Result<Box<dyn PeerStream>, ConnectError>> {
        let peer = uri.authority().and_then(|authority| authority.as_str().parse().ok());
        let connecting = self.connector.call(uri);
        let direct = async move {
            let stream = connecting.await?.into_inner();
            reset_on_drop(&stream);
            let stream: Box<dyn PeerStream> = Box::new(stream);
            Ok(stream)
        };
        match (self.relay.clone(), peer) {
            (Some(relay), Some(peer)) => race(direct.boxed(), relay, peer).boxed(),
            _ => direct.boxed(),
        }
    }
}

/// Makes a connection end with a reset when it is dropped. A request that is given up is
/// dropped with its connection; closed in the ordinary way, it would go on to deliver what is
/// held up of the request on the way.
pub fn reset_on_drop(stream: &TcpStream) {
    // Fails only for what is no socket.
    let _ = stream.set_zero_linger();
}

/// Returns the first connection that is established. Nothing is sent on the other.
async fn race(
    direct: BoxFuture<'static, Result<Box<dyn PeerStream>, ConnectError>>,
    relay: Arc<dyn Relay>,
    peer: SocketAddr,
) -> Result<Box<dyn PeerStream>, ConnectError> {
    let plan = relay.plan(peer);
    if plan == ConnectPlan::OwnLink {
        let stream = direct.await?;
        relay.record_direct(peer);
        return Ok(stream);
    }
    let mut direct = async move {
        if plan == ConnectPlan::RelayFirst {
            sleep(HEAD_START).await;
        }
        direct.await
    }
    .boxed();
    let mut relayed = relay.open(peer);
    let mut relay_delay =
        if plan == ConnectPlan::DirectFirst { HEAD_START } else { Duration::ZERO };
    let mut direct_error = None;
    let mut relay_failed = false;
    loop {
        tokio::select! {
            connected = direct.as_mut(), if direct_error.is_none() => match connected {
                Ok(stream) => {
                    relay.record_direct(peer);
                    return Ok(stream);
                }
                Err(e) if relay_failed => return Err(e),
                Err(e) => {
                    relay_delay = Duration::ZERO;
                    direct_error = Some(e);
                }
            },
            () = sleep(relay_delay), if !relay_delay.is_zero() => relay_delay = Duration::ZERO,
            opened = relayed.as_mut(), if relay_delay.is_zero() && !relay_failed => {
                match (opened, direct_error.take()) {
                    (Ok(stream), None) if plan == ConnectPlan::DirectFirst => {
                        tokio::spawn(record_outcome(direct, Arc::clone(&relay), peer));
                        return Ok(stream);
                    }
                    (Ok(stream), _) => {
                        relay.record_relayed(peer);
                        return Ok(stream);
                    }
                    (Err(_), Some(e)) => return Err(e),
                    (Err(_), None) => relay_failed = true,
                }
            }
        }
    }
}

/// Records how a connection over the own link ended that took longer than one through
/// another host. It may only be slow.
async fn record_outcome(
    direct: BoxFuture<'static, Result<Box<dyn PeerStream>, ConnectError>>,
    relay: Arc<dyn Relay>,
    peer: SocketAddr,
) {
    match direct.await {
        Ok(_) => relay.record_direct(peer),
        Err(_) => relay.record_relayed(peer),
    }
}
