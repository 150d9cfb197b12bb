//! A TCP proxy that delays, blocks, stalls and closes connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How often a blocked connection checks whether it is still blocked.
const BLOCK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A TCP proxy in front of one server; it stops when dropped.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    upstream: SocketAddr,
    /// Connections with a number below this one are stalled for good.
    stalled_before: AtomicU64,
    connection_count: AtomicU64,
    /// In both directions together.
    bytes_forwarded: AtomicU64,
    block_to_server: AtomicBool,
    block_from_server: AtomicBool,
    delay_ms: AtomicU64,
    close: Notify,
}

impl Proxy {
    /// Starts a proxy in front of a server.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            upstream,
            stalled_before: AtomicU64::new(0),
            connection_count: AtomicU64::new(0),
            bytes_forwarded: AtomicU64::new(0),
            block_to_server: AtomicBool::new(false),
            block_from_server: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            close: Notify::new(),
        });
        let task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { addr, shared, task })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops forwarding on all present connections for good, and leaves both
    /// ends open; new connections work.
    pub fn stall_connections(&self) {
        let count = self.shared.connection_count.load(Ordering::Acquire);
        self.shared.stalled_before.store(count, Ordering::Release);
    }

    /// Blocks or unblocks both directions: while blocked, nothing is forwarded
    /// on old or new connections.
    pub fn set_blocked(&self, blocked: bool) {
        self.set_blocked_directions(blocked, blocked);
    }

    /// Blocks or unblocks each direction on its own.
    pub fn set_blocked_directions(&self, to_server: bool, from_server: bool) {
        self.shared.block_to_server.store(to_server, Ordering::Release);
        self.shared.block_from_server.store(from_server, Ordering::Release);
    }

    /// Delays what is forwarded, in both directions, by this many milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::Release);
    }

    /// Closes all present connections.
    pub fn close_connections(&self) {
        self.shared.close.notify_waiters();
    }

    /// Number of bytes forwarded so far, in both directions together.
    #[must_use]
    pub fn bytes_forwarded(&self) -> u64 {
        self.shared.bytes_forwarded.load(Ordering::Acquire)
    }

    /// Number of connections opened so far.
    #[must_use]
    pub fn connection_count(&self) -> u64 {
        self.shared.connection_count.load(Ordering::Acquire)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let number = shared.connection_count.fetch_add(1, Ordering::AcqRel);
        tokio::spawn(forward(client, Arc::clone(&shared), number));
    }
}

/// Forwards one connection, both directions, until either end closes it.
async fn forward(client: TcpStream, shared: Arc<Shared>, number: u64) {
    let Ok(server) = TcpStream::connect(shared.upstream).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = copy(client_read, server_write, &shared, &shared.block_to_server, number) => {}
        () = copy(server_read, client_write, &shared, &shared.block_from_server, number) => {}
        () = shared.close.notified() => {}
    }
}

/// Copies one direction of a connection.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    blocked: &AtomicBool,
    number: u64,
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buf).await else {
            return;
        };
        let delay_ms = shared.delay_ms.load(Ordering::Acquire);
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        while blocked.load(Ordering::Acquire) {
            sleep(BLOCK_POLL_INTERVAL).await;
        }
        if number < shared.stalled_before.load(Ordering::Acquire) {
            std::future::pending::<()>().await;
        }
        shared.bytes_forwarded.fetch_add(count as u64, Ordering::AcqRel);
        if count == 0 || to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
