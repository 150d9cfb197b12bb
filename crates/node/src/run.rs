//! Starting and stopping a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use anyhow::Context;
use bytes::Bytes;
use bytes::BytesMut;
use cassia_clients::HttpPlatform;
use cassia_clients::Log;
use cassia_membership::LocalMember;
use cassia_membership::Membership;
use dropshot::ApiDescription;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use dropshot::ServerContext;
use dropshot::StreamingBody;
use futures::StreamExt;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::ApiError;
use crate::ApiErrorKind;
use crate::Dump;
use crate::LinkHandler;
use crate::Metrics;
use crate::NodeSettings;
use crate::NodeState;
use crate::Role;
use crate::config::ConfigController;
use crate::gossip;
use crate::link;
use crate::ops;
use crate::ops::OpsContext;
use crate::targets;

/// The largest body that a caller may send.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Time allowed for sending the departure to peers.
const LEAVE_DELAY: Duration = Duration::from_millis(50);
/// A body that makes no progress for this long is rejected.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A process: its shared state and its clients of the platform.
#[derive(Debug)]
pub struct Node {
    /// The shared state.
    pub state: Arc<NodeState>,
    /// The client of the platform's systems.
    pub platform: Arc<HttpPlatform>,
    /// The client of the platform's log.
    pub log: Arc<dyn Log>,
    settings: NodeSettings,
    leave_tx: Option<oneshot::Sender<()>>,
}

impl Node {
    /// Creates the shared state and the platform's clients; starts nothing.
    ///
    /// # Errors
    ///
    /// The socket for metrics can't be opened.
    pub fn new(settings: NodeSettings, role: Role) -> anyhow::Result<Self> {
        let metrics = Metrics::new(settings.statsd)?;
        let platform = HttpPlatform::default()
            .with_target_list(settings.list.clone())
            .with_weight_store(settings.weights)
            .with_scorer(settings.scorer);
        let log = Arc::new(platform.log(settings.log));
        let state = NodeState::new(&settings, role, rand::random(), metrics);
        let (state, platform) = (Arc::new(state), Arc::new(platform));
        Ok(Self { state, platform, log, settings, leave_tx: None })
    }

    /// Starts the controllers, the link to peers and the operators' endpoints.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub async fn start(
        &mut self,
        handler: Arc<dyn LinkHandler>,
        program: Arc<dyn Dump>,
    ) -> anyhow::Result<()> {
        let link = self.settings.link;
        let listener = TcpListener::bind(link).await.with_context(|| format!("bind {link}"))?;
        let socket = UdpSocket::bind(link).await.with_context(|| format!("bind udp {link}"))?;
        let (leave_tx, leave_rx) = oneshot::channel();
        self.leave_tx = Some(leave_tx);
        tokio::spawn(gossip::run(Arc::clone(&self.state), self.membership(), socket, leave_rx));
        tokio::spawn(link::serve(listener, Arc::clone(&self.state), handler));
        tokio::spawn(targets::run(Arc::clone(&self.state), Arc::clone(&self.platform) as _));
        let log = Arc::clone(&self.log);
        let retention_s = self.settings.log_retention_s;
        tokio::spawn(ConfigController::new(Arc::clone(&self.state), log, retention_s).run());
        let cx = Arc::new(OpsContext { node: Arc::clone(&self.state), program });
        let server = start_server(ops::api()?, cx, self.settings.ops)?;
        // It serves until the process ends, also during a planned stop.
        tokio::spawn(server);
        let id = self.state.id.as_str();
        log::info!(event = "started", step = "start", id; "started");
        Ok(())
    }

    /// Waits for SIGTERM or SIGINT, and then until the load balancer has
    /// noticed that this process is no longer ready.
    ///
    /// # Errors
    ///
    /// The signal handlers can't be installed.
    pub async fn wait_until_drained(&self) -> anyhow::Result<()> {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        self.state.begin_stop();
        log::info!(event = "stopping", step = "stop"; "no longer ready");
        sleep(Duration::from_millis(self.settings.drain_lag_ms)).await;
        Ok(())
    }

    /// Closes a server once its requests in flight have ended, or when the stop
    /// limit has passed, and announces the departure to the peers.
    pub async fn stop<C: ServerContext>(mut self, server: HttpServer<C>) {
        let limit = Duration::from_millis(self.settings.stop_limit_ms);
        let closed = timeout(limit, server.close()).await;
        self.leave().await;
        match closed {
            Ok(Ok(())) => log::info!(event = "stopped", step = "stop"; "stopped"),
            Ok(Err(e)) => log::warn!(event = "stopped", step = "stop"; "{e}"),
            Err(_) => {
                log::warn!(event = "cut_off", step = "stop"; "requests were aborted at the stop limit");
            }
        }
    }

    /// Announces to the peers that this process leaves.
    pub async fn leave(&mut self) {
        if let Some(tx) = self.leave_tx.take() {
            let _ = tx.send(());
            sleep(LEAVE_DELAY).await;
        }
    }

    fn membership(&self) -> Membership {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let local = LocalMember {
            id: self.state.id.clone(),
            addr: self.settings.link,
            data_centre: self.settings.data_centre.clone(),
            incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        };
        let mut membership = Membership::new(local, self.state.boot, Instant::now());
        membership.set_seeds(self.settings.seeds.clone());
        membership
    }
}

/// Starts an HTTP server.
///
/// # Errors
///
/// The address can't be bound.
pub fn start_server<C: ServerContext>(
    api: ApiDescription<C>,
    cx: C,
    addr: SocketAddr,
) -> anyhow::Result<HttpServer<C>> {
    let config = ConfigDropshot {
        bind_address: addr,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        // A request continues when its caller disconnects: its outcome must
        // be known if the caller retries.
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    // The library's log lines would duplicate ours.
    let quiet = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api, cx, quiet).config(config).start();
    server.with_context(|| format!("serve {addr}"))
}

/// Reads a caller's whole body, as long as it makes progress.
///
/// # Errors
///
/// The body is too large, ends early or stalls.
pub async fn read_body(body: StreamingBody) -> Result<Bytes, ApiError> {
    let bad = |message: String| ApiError::not_run(ApiErrorKind::BadRequest, "read body", message);
    let mut stream = std::pin::pin!(body.into_stream());
    let mut buf = BytesMut::new();
    loop {
        match timeout(BODY_STALL_TIMEOUT, stream.next()).await {
            Ok(Some(Ok(chunk))) => buf.extend_from_slice(&chunk),
            Ok(Some(Err(e))) => return Err(bad(e.external_message)),
            Ok(None) => return Ok(buf.freeze()),
            Err(_) => return Err(bad("the body stalled".to_owned())),
        }
    }
}
