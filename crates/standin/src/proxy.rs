//! A way between two ends that can lose track of its connections.

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

/// How often a connection that was lost track of looks whether that is over.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A TCP proxy before one server; it stops when dropped.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    to: SocketAddr,
    /// Connections opened before this count are silent for good.
    silent_before: AtomicU64,
    connection_count: AtomicU64,
    /// Bytes passed on, both ways.
    bytes_forwarded: AtomicU64,
    block_to: AtomicBool,
    block_from: AtomicBool,
    delay_ms: AtomicU64,
    reset: Notify,
}

impl Proxy {
    /// Starts a proxy before a server.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            to,
            silent_before: AtomicU64::new(0),
            connection_count: AtomicU64::new(0),
            bytes_forwarded: AtomicU64::new(0),
            block_to: AtomicBool::new(false),
            block_from: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            reset: Notify::new(),
        });
        let task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { addr, shared, task })
    }

    /// Tells where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Lets all present connections go silent for good, with both ends open;
    /// new ones work.
    pub fn stall_connections(&self) {
        let opened = self.shared.connection_count.load(Ordering::Acquire);
        self.shared.silent_before.store(opened, Ordering::Release);
    }

    /// Cuts the way: nothing gets through, on old or new connections, until it
    /// is mended.
    pub fn set_blocked(&self, blocked: bool) {
        self.set_blocked_directions(blocked, blocked);
    }

    /// Cuts either way, to the server and from it, until it is mended.
    pub fn set_blocked_directions(&self, to_server: bool, from_server: bool) {
        self.shared.block_to.store(to_server, Ordering::Release);
        self.shared.block_from.store(from_server, Ordering::Release);
    }

    /// Holds up whatever passes by so many milliseconds, both ways.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::Release);
    }

    /// Ends all present connections.
    pub fn close_connections(&self) {
        self.shared.reset.notify_waiters();
    }

    /// Counts the bytes passed on, both ways.
    #[must_use]
    pub fn bytes_forwarded(&self) -> u64 {
        self.shared.bytes_forwarded.load(Ordering::Acquire)
    }

    /// Counts the connections that were opened.
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
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let number = shared.connection_count.fetch_add(1, Ordering::AcqRel);
        tokio::spawn(join(near, Arc::clone(&shared), number));
    }
}

async fn join(near: TcpStream, shared: Arc<Shared>, number: u64) {
    let Ok(far) = TcpStream::connect(shared.to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pass(near_read, far_write, &shared, &shared.block_to, number) => {}
        () = pass(far_read, near_write, &shared, &shared.block_from, number) => {}
        () = shared.reset.notified() => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    cut: &AtomicBool,
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
        while cut.load(Ordering::Acquire) {
            sleep(LOOK_EVERY).await;
        }
        if number < shared.silent_before.load(Ordering::Acquire) {
            std::future::pending::<()>().await;
        }
        shared.bytes_forwarded.fetch_add(count as u64, Ordering::AcqRel);
        if count == 0 || to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
