//! Connections to targets through other hosts, for targets that this host's own
//! link doesn't reach.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::Bytes;
use cassia_clients::PeerStream;
use cassia_clients::Relay;
use cassia_clients::reset_on_drop;
use cassia_ids::HostId;
use cassia_relay::ConnectPlan;
use cassia_relay::HostTable;
use cassia_relay::PathTable;
use cassia_relay::RelayReply;
use cassia_relay::RelayRequest;
use cassia_relay::SendPlan;
use cassia_relay::Ways;
use cassia_route::Target;
use cassia_route::TargetSet;
use futures::SinkExt;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use prost::Message;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::closed_targets::ClosedTargets;
use crate::flags::ServeSettings;
use crate::lock::lock;
use crate::relayed_stream;
use crate::store_contact::StoreContact;

/// Maximum number of hosts that are asked for one connection.
const MAX_ASKED: usize = 8;
/// How long a host has to answer before the next one is asked too.
const ASK_INTERVAL: Duration = Duration::from_millis(40);
/// How long a host that forwards passes on the bytes of a job's request.
const JOB_SEND_TIME: Duration = Duration::from_millis(500);
/// How long all of it may take.
const OPEN_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum number of lost links that are checked at once.
const MAX_CHECKED: usize = 16;
/// How long a check of a link may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of a target's bytes in one message between hosts.
pub(crate) const MAX_CHUNK_BYTES: usize = 4 << 10;
/// Size of a message between hosts: a chunk and its encoding.
const MAX_FRAME_BYTES: usize = MAX_CHUNK_BYTES + (1 << 10);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which unacknowledged data or probes end a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection between hosts before it is forwarded.
pub(crate) type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// The other hosts and the links to the targets.
#[derive(Debug)]
pub(crate) struct HostRelay {
    pub(crate) hosts: Mutex<HostTable>,
    paths: Arc<Mutex<PathTable>>,
    targets: ArcSwap<TargetSet>,
    store_contact: Arc<StoreContact>,
    closed_targets: Arc<ClosedTargets>,
    /// Notified when a link is lost.
    link_lost: Notify,
    /// Whether the other hosts may be asked: only a host that announces itself is
    /// answered.
    is_enabled: bool,
}

impl HostRelay {
    pub(crate) fn new(
        settings: &ServeSettings,
        store_contact: &Arc<StoreContact>,
        closed_targets: &Arc<ClosedTargets>,
    ) -> Self {
        let hosts = HostTable::new(settings.host.clone(), settings.data_centre.clone());
        Self {
            hosts: Mutex::new(hosts),
            paths: Arc::default(),
            targets: ArcSwap::from_pointee(TargetSet::empty(Instant::now())),
            store_contact: Arc::clone(store_contact),
            closed_targets: Arc::clone(closed_targets),
            link_lost: Notify::new(),
            is_enabled: settings.relay.is_some(),
        }
    }

    /// Takes over the list of targets.
    pub(crate) fn set_targets(&self, targets: &Arc<TargetSet>) {
        self.targets.store(Arc::clone(targets));
        let listed: HashSet<_> = targets.all().map(|target| target.info.addr).collect();
        lock(&self.paths).retain(|addr| listed.contains(&addr));
    }

    /// Returns what to do before a request is sent to a target.
    pub(crate) fn plan_send(&self, addr: SocketAddr) -> SendPlan {
        lock(&self.paths).plan_send(addr, self.ways(), Instant::now())
    }

    /// Returns the ways that callers' requests may take. A host that has lost the store
    /// may act on what is no longer so: what it sends through others would come from
    /// hosts that are held to know better.
    fn ways(&self) -> Ways {
        if self.store_contact.has_lost() { Ways::OwnLink } else { Ways::All }
    }

    /// Records that a target has answered.
    pub(crate) fn record_heard(&self, addr: SocketAddr) {
        lock(&self.paths).record_heard(addr, Instant::now());
    }

    /// Returns whether this host's own link to a target is lost.
    pub(crate) fn is_lost(&self, addr: SocketAddr) -> bool {
        lock(&self.paths).is_lost(addr)
    }

    /// Returns whether this host has lost at least half of the links that it uses,
    /// while other hosts reach these targets.
    pub(crate) fn is_cut_off(&self) -> bool {
        lock(&self.paths).is_cut_off(Instant::now())
    }

    /// Finds out whether another host reaches a target that this one does not.
    pub(crate) async fn confirm_lost(&self, addr: SocketAddr) -> bool {
        if self.check(addr).await {
            return false;
        }
        self.confirm_unreached(addr).await
    }

    /// Finds out whether another host reaches a target to which this one just could not
    /// connect.
    pub(crate) async fn confirm_unreached(&self, addr: SocketAddr) -> bool {
        let is_reached = self.open(addr).await.is_ok();
        if is_reached {
            self.record_relayed(addr);
        }
        is_reached
    }

    /// Checks which of the lost links are back; waits for one if there is none.
    pub(crate) async fn check_lost_links(&self) {
        if !lock(&self.paths).has_lost() {
            self.link_lost.notified().await;
        }
        let due = lock(&self.paths).take_due_checks(MAX_CHECKED, Instant::now());
        join_all(due.into_iter().map(|addr| self.check(addr))).await;
    }

    /// Returns whether this host reaches a target over its own link.
    async fn check(&self, addr: SocketAddr) -> bool {
        let is_reached =
            matches!(timeout(CHECK_TIMEOUT, TcpStream::connect(addr)).await, Ok(Ok(_)));
        if is_reached {
            self.record_direct(addr);
        }
        is_reached
    }

    /// Returns whether a target accepts connections, over whichever way.
    pub(crate) async fn accepts_connections(&self, addr: SocketAddr, limit: Duration) -> bool {
        let direct = timeout(limit, TcpStream::connect(addr)).await;
        matches!(direct, Ok(Ok(_))) || matches!(timeout(limit, self.open(addr)).await, Ok(Ok(_)))
    }

    fn find_target(&self, addr: SocketAddr) -> Option<Arc<Target>> {
        let targets = self.targets.load();
        targets.all().find(|target| target.info.addr == addr && target.is_open()).cloned()
    }

    fn candidates(&self) -> Vec<(HostId, SocketAddr)> {
        if !self.is_enabled {
            return Vec::new();
        }
        lock(&self.hosts).candidates(MAX_ASKED, &mut rand::rng(), Instant::now())
    }
}

#[async_trait]
impl Relay for HostRelay {
    fn plan(&self, peer: SocketAddr) -> ConnectPlan {
        lock(&self.paths).plan(peer, self.ways(), Instant::now())
    }

    async fn open(&self, peer: SocketAddr) -> io::Result<Box<dyn PeerStream>> {
        let stream = self.open_for(peer, SendLimit::None).await?;
        lock(&self.paths).record_opened(peer);
        Ok(stream)
    }

    fn record_direct(&self, peer: SocketAddr) {
        if lock(&self.paths).record_direct(peer, Instant::now()) {
            log::info!(event = "link_back", step = "relay", target = self.name(peer); "this host reaches the target itself again");
        }
    }

    fn record_relayed(&self, peer: SocketAddr) {
        if lock(&self.paths).record_relayed(peer, Instant::now()) {
            self.link_lost.notify_one();
            log::info!(event = "link_lost", step = "relay", target = self.name(peer); "another host reaches the target, this one does not");
        }
    }
}

/// Until when the other host passes on what this one sends on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SendLimit {
    /// For as long as the connection lasts.
    None,
    /// For `JOB_SEND_TIME`.
    JobRequest,
}

impl SendLimit {
    fn as_millis(self) -> u32 {
        match self {
            Self::None => 0,
            Self::JobRequest => u32::try_from(JOB_SEND_TIME.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Connections of which each is for one request of a job: if that is held up on the way,
/// the job may have ended before it gets there.
#[derive(Debug)]
pub(crate) struct JobRelay(pub(crate) Arc<HostRelay>);

#[async_trait]
impl Relay for JobRelay {
    fn plan(&self, peer: SocketAddr) -> ConnectPlan {
        self.0.plan(peer)
    }

    async fn open(&self, peer: SocketAddr) -> io::Result<Box<dyn PeerStream>> {
        self.0.open_for(peer, SendLimit::JobRequest).await
    }

    fn record_direct(&self, peer: SocketAddr) {
        self.0.record_direct(peer);
    }

    fn record_relayed(&self, peer: SocketAddr) {
        self.0.record_relayed(peer);
    }
}

impl HostRelay {
    /// Asks other hosts, one after the other without waiting long for any, and
    /// returns the first connection.
    async fn open_for(
        &self,
        peer: SocketAddr,
        limit: SendLimit,
    ) -> io::Result<Box<dyn PeerStream>> {
        let target = self.find_target(peer).ok_or(io::ErrorKind::NotFound)?;
        let request = RelayRequest {
            target: target.info.id.to_string(),
            incarnation: target.info.incarnation,
            accepts_chunks: true,
            send_within_ms: limit.as_millis(),
        };
        let deadline = Instant::now() + OPEN_TIMEOUT;
        let mut candidates = self.candidates().into_iter();
        let mut asked = FuturesUnordered::new();
        loop {
            match candidates.next() {
                Some((host, addr)) => asked.push(self.ask(host, addr, &target, request.clone())),
                None if asked.is_empty() => return Err(io::ErrorKind::NotConnected.into()),
                None => {}
            }
            let next_at = (Instant::now() + ASK_INTERVAL).min(deadline);
            let has_more = candidates.len() > 0;
            tokio::select! {
                Some((host, answer)) = asked.next() => match answer {
                    Ok(stream) => {
                        lock(&self.hosts).record_success(&host);
                        return Ok(stream);
                    }
                    Err(e) => {
                        lock(&self.hosts).record_failure(&host, Instant::now());
                        log::debug!(event = "relay_failed", step = "relay", host = host.as_str(); "{e}");
                    }
                },
                () = sleep_until(next_at.into()), if has_more => {}
                () = sleep_until(deadline.into()) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }

    /// Asks one host for a connection to a target. When that host says so, the next request
    /// to the target takes another connection, or none if the target is leaving.
    async fn ask(
        &self,
        host: HostId,
        addr: SocketAddr,
        target: &Arc<Target>,
        request: RelayRequest,
    ) -> (HostId, io::Result<Box<dyn PeerStream>>) {
        let (paths, target) = (Arc::clone(&self.paths), Arc::clone(target));
        let closed_targets = Arc::clone(&self.closed_targets);
        let on_draining = move |is_leaving| {
            lock(&paths).record_draining(target.info.addr);
            if is_leaving {
                closed_targets.record_leaving(&target, "relay");
            }
        };
        (host, try_ask(addr, request, on_draining).await)
    }

    /// Returns a target's id, for logs.
    fn name(&self, addr: SocketAddr) -> String {
        self.find_target(addr).map_or_else(|| addr.to_string(), |target| target.info.id.to_string())
    }
}

/// Asks one host for a connection; `on_draining` is called when it takes no further
/// request, with whether the target is leaving.
async fn try_ask(
    addr: SocketAddr,
    request: RelayRequest,
    on_draining: impl Fn(bool) + Clone + Send + 'static,
) -> io::Result<Box<dyn PeerStream>> {
    let stream = TcpStream::connect(addr).await?;
    prepare(&stream)?;
    let mut frames = frames(stream);
    let is_limited = request.send_within_ms > 0;
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let frame = frames.next().await.transpose()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    match RelayReply::decode(frame.freeze()) {
        Ok(RelayReply::ConnectedInChunks) => {
            into_stream(frames).map(|stream| relayed_stream::from_chunks(stream, on_draining))
        }
        Ok(RelayReply::Connected) if is_limited => {
            Err(io::Error::other("the host is of an earlier release and keeps no limit"))
        }
        Ok(RelayReply::Connected) => into_stream(frames).map(relayed_stream::from_plain),
        Ok(reply) => Err(io::Error::other(format!("{reply:?}"))),
        Err(e) => Err(io::Error::other(e)),
    }
}

/// Creates the framing of the messages before a connection is forwarded.
pub(crate) fn frames(stream: TcpStream) -> Frames {
    Framed::new(stream, codec())
}

/// Creates the codec of all messages between hosts.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Returns the connection after the first messages, which ends with a reset when it is
/// dropped. No more may have come with them: the target's bytes answer a request that is
/// still to be sent.
pub(crate) fn into_stream(frames: Frames) -> io::Result<TcpStream> {
    let parts = frames.into_parts();
    reset_on_drop(&parts.io);
    if parts.read_buf.is_empty() { Ok(parts.io) } else { Err(io::ErrorKind::InvalidData.into()) }
}

/// Sets the options by which a connection to a lost peer ends.
pub(crate) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
