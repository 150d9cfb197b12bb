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
use cassia_member::Me;
use cassia_member::Membership;
use cassia_platform::HttpPlatform;
use cassia_platform::Log;
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
use crate::Board;
use crate::Dump;
use crate::LinkHandler;
use crate::Metrics;
use crate::NodeSettings;
use crate::Role;
use crate::config::ConfigController;
use crate::gossip;
use crate::link;
use crate::ops;
use crate::ops::OpsContext;
use crate::targets;

/// The largest body that a caller may send, in bytes.
const MOST_BODY_BYTES: usize = 8 << 20;
/// How long the farewells to peers may take.
const FAREWELL: Duration = Duration::from_millis(50);
/// A body that makes no progress for this long is given up.
const BODY_GAP: Duration = Duration::from_secs(5);

/// A process: its blackboard and its ways to the platform.
#[derive(Debug)]
pub struct Node {
    /// The blackboard.
    pub board: Arc<Board>,
    /// The platform's systems.
    pub platform: Arc<HttpPlatform>,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    settings: NodeSettings,
    leave: Option<oneshot::Sender<()>>,
}

impl Node {
    /// Builds the blackboard and the ways to the platform; starts nothing.
    ///
    /// # Errors
    ///
    /// No socket for metrics can be had.
    pub fn new(settings: NodeSettings, role: Role) -> anyhow::Result<Self> {
        let metrics = Metrics::new(settings.statsd)?;
        let platform = HttpPlatform::default()
            .with_list(settings.list.clone())
            .with_weights(settings.weights)
            .with_scorer(settings.scorer);
        let log = Arc::new(platform.log(settings.log));
        let board = Board::new(&settings, role, rand::random(), metrics);
        let (board, platform) = (Arc::new(board), Arc::new(platform));
        Ok(Self { board, platform, log, settings, leave: None })
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
        let (leave, left) = oneshot::channel();
        self.leave = Some(leave);
        tokio::spawn(gossip::run(Arc::clone(&self.board), self.membership(), socket, left));
        tokio::spawn(link::serve(listener, Arc::clone(&self.board), handler));
        tokio::spawn(targets::run(Arc::clone(&self.board), Arc::clone(&self.platform) as _));
        let log = Arc::clone(&self.log);
        let retention_s = self.settings.log_retention_s;
        tokio::spawn(ConfigController::new(Arc::clone(&self.board), log, retention_s).run());
        let cx = Arc::new(OpsContext { board: Arc::clone(&self.board), program });
        let server = api_server(ops::api()?, cx, self.settings.ops)?;
        // It answers until the process ends, also during a planned stop.
        tokio::spawn(server);
        let id = self.board.id.as_str();
        log::info!(event = "started", step = "start", id; "started");
        Ok(())
    }

    /// Waits for the order to stop, and until the balancer has noticed that
    /// this process is no longer ready.
    ///
    /// # Errors
    ///
    /// Signals can't be listened for.
    pub async fn until_drained(&self) -> anyhow::Result<()> {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        self.board.begin_stop();
        log::info!(event = "stopping", step = "stop"; "no longer ready");
        sleep(Duration::from_millis(self.settings.drain_lag_ms)).await;
        Ok(())
    }

    /// Closes a server once its requests in flight have ended, and tells the
    /// peers that this process leaves.
    pub async fn stop<C: ServerContext>(mut self, server: HttpServer<C>) {
        let limit = Duration::from_millis(self.settings.stop_limit_ms);
        let closed = timeout(limit, server.close()).await;
        self.leave().await;
        match closed {
            Ok(Ok(())) => log::info!(event = "stopped", step = "stop"; "stopped"),
            Ok(Err(e)) => log::warn!(event = "stopped", step = "stop"; "{e}"),
            Err(_) => log::warn!(event = "cut_off", step = "stop"; "requests were cut off"),
        }
    }

    /// Tells the peers that this process leaves.
    pub async fn leave(&mut self) {
        if let Some(leave) = self.leave.take() {
            let _ = leave.send(());
            sleep(FAREWELL).await;
        }
    }

    fn membership(&self) -> Membership {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let me = Me {
            id: self.board.id.clone(),
            addr: self.settings.link,
            data_centre: self.settings.data_centre.clone(),
            incarnation: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
        };
        let mut membership = Membership::new(me, self.board.boot, Instant::now());
        membership.set_seeds(self.settings.seeds.clone());
        membership
    }
}

/// Starts an HTTP server.
///
/// # Errors
///
/// The address can't be bound.
pub fn api_server<C: ServerContext>(
    api: ApiDescription<C>,
    cx: C,
    addr: SocketAddr,
) -> anyhow::Result<HttpServer<C>> {
    let config = ConfigDropshot {
        bind_address: addr,
        default_request_body_max_bytes: MOST_BODY_BYTES,
        // A caller that hangs up doesn't stop its request halfway: what became
        // of it must be known for its retry.
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    // The library's own log lines would double ours.
    let quiet = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api, cx, quiet).config(config).start();
    server.with_context(|| format!("serve {addr}"))
}

/// Reads a caller's body whole, as long as it makes progress.
///
/// # Errors
///
/// The body is too large, ends early or stalls.
pub async fn read_body(body: StreamingBody) -> Result<Bytes, ApiError> {
    let bad = |message: String| ApiError::not_run(ApiErrorKind::BadRequest, "read body", message);
    let mut stream = std::pin::pin!(body.into_stream());
    let mut buf = BytesMut::new();
    loop {
        match timeout(BODY_GAP, stream.next()).await {
            Ok(Some(Ok(chunk))) => buf.extend_from_slice(&chunk),
            Ok(Some(Err(e))) => return Err(bad(e.external_message)),
            Ok(None) => return Ok(buf.freeze()),
            Err(_) => return Err(bad("the body stalled".to_owned())),
        }
    }
}
