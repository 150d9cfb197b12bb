//! A small HTTP server whose responses can be withheld or reset.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Time between two attempts to listen on a port again.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// One chunk of a streamed response; an error resets the connection.
pub(crate) type Chunk = Result<Bytes, io::Error>;

/// The response of a stand-in to one request.
#[derive(Debug)]
pub enum Reply {
    /// A status with a JSON body.
    Json(u16, Value),
    /// A status with headers and a body.
    Bytes(u16, Vec<(&'static str, String)>, Bytes),
    /// Server-sent events.
    Stream(mpsc::Receiver<Chunk>),
    /// A stream with headers.
    StreamWith(Vec<(&'static str, String)>, mpsc::Receiver<Chunk>),
    /// No response; the connection stays open.
    Hang,
    /// No response; the connection is closed.
    Reset,
    /// No response; the server ends with all of its connections, and starts again
    /// on the same port after this time.
    Crash(Duration),
    /// A reply that is sent again in place of the next one on the connection.
    /// Those after it are then late by one. Streams are not sent again.
    Twice(Box<Reply>),
}

impl Reply {
    /// Returns a copy of a reply with a complete body.
    fn copy(&self) -> Option<Self> {
        match self {
            Self::Json(status, value) => Some(Self::Json(*status, value.clone())),
            Self::Bytes(status, headers, bytes) => {
                Some(Self::Bytes(*status, headers.clone(), bytes.clone()))
            }
            _ => None,
        }
    }
}

/// The replies that are still to be sent on a connection.
#[derive(Debug, Default)]
struct PendingReplies(Mutex<VecDeque<Reply>>);

impl PendingReplies {
    /// Adds the reply to the request that has arrived, and returns the one that
    /// is sent now.
    fn exchange(&self, reply: Reply) -> Reply {
        let mut pending = lock(&self.0);
        match reply {
            Reply::Twice(reply) => {
                let copy = reply.copy();
                pending.push_back(*reply);
                pending.extend(copy);
            }
            reply => pending.push_back(reply),
        }
        pending.pop_front().unwrap_or(Reply::Reset)
    }
}

/// Handles the requests of one server.
#[async_trait]
pub trait Handler: Debug + Send + Sync + 'static {
    /// Handles one request.
    async fn handle(&self, request: Request<Bytes>) -> Reply;
}

/// A server on a loopback port; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    connection_count: Arc<AtomicU64>,
    crashes: mpsc::Sender<Duration>,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        Self::with_listener(listener, handler)
    }

    /// Starts a server on a port that is already bound.
    ///
    /// # Errors
    ///
    /// Fails if the listener's address can't be read.
    pub fn with_listener(listener: TcpListener, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let addr = listener.local_addr()?;
        let connection_count = Arc::new(AtomicU64::new(0));
        let (crashes, crashes_rx) = mpsc::channel(1);
        let count = Arc::clone(&connection_count);
        let task = tokio::spawn(accept(listener, handler, count, crashes.clone(), crashes_rx));
        Ok(Self { addr, connection_count, crashes, task })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of connections opened so far.
    #[must_use]
    pub fn connection_count(&self) -> u64 {
        self.connection_count.load(Ordering::Relaxed)
    }

    /// Stops the server at once and drops all of its connections.
    pub fn crash(&self) {
        self.task.abort();
    }

    /// Drops all of its connections, and starts again on the same port after this time.
    pub fn restart_after(&self, restart_time: Duration) {
        // Another one that waits to be carried out does the same.
        let _ = self.crashes.try_send(restart_time);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    mut listener: TcpListener,
    handler: Arc<dyn Handler>,
    connection_count: Arc<AtomicU64>,
    crashes_tx: mpsc::Sender<Duration>,
    mut crashes_rx: mpsc::Receiver<Duration>,
) {
    let mut connections = JoinSet::new();
    let addr = listener.local_addr();
    loop {
        tokio::select! {
            Some(restart_time) = crashes_rx.recv() => {
                drop(listener);
                connections.shutdown().await;
                sleep(restart_time).await;
                listener = rebind(&addr).await;
                while crashes_rx.try_recv().is_ok() {}
            }
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connection_count.fetch_add(1, Ordering::Relaxed);
                let _ = stream.set_nodelay(true);
                let handler = Arc::clone(&handler);
                let pending = Arc::new(PendingReplies::default());
                let crashes = crashes_tx.clone();
                let service = service_fn(move |request| {
                    respond(Arc::clone(&handler), Arc::clone(&pending), crashes.clone(), request)
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                connections.spawn(async move {
                    let _ = connection.await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Listens on a port again; another process may have it for a moment.
async fn rebind(addr: &io::Result<SocketAddr>) -> TcpListener {
    loop {
        if let Ok(addr) = addr
            && let Ok(listener) = TcpListener::bind(addr).await
        {
            return listener;
        }
        sleep(REBIND_INTERVAL).await;
    }
}

type Body = UnsyncBoxBody<Bytes, io::Error>;

async fn respond(
    handler: Arc<dyn Handler>,
    pending: Arc<PendingReplies>,
    crashes: mpsc::Sender<Duration>,
    request: Request<Incoming>,
) -> Result<Response<Body>, io::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let reply = handler.handle(Request::from_parts(head, body)).await;
    match pending.exchange(reply) {
        Reply::Json(status, value) => {
            let bytes = Bytes::from(value.to_string());
            response(status, &[("content-type", "application/json".to_owned())], full_body(bytes))
        }
        Reply::Bytes(status, headers, bytes) => response(status, &headers, full_body(bytes)),
        Reply::Stream(rx) => {
            let headers = [("content-type", "text/event-stream".to_owned())];
            response(200, &headers, stream_body(rx))
        }
        Reply::StreamWith(headers, rx) => response(200, &headers, stream_body(rx)),
        Reply::Hang => std::future::pending().await,
        Reply::Reset | Reply::Twice(_) => Err(io::ErrorKind::ConnectionReset.into()),
        Reply::Crash(restart_time) => {
            let _ = crashes.send(restart_time).await;
            // The connection ends with the others.
            std::future::pending().await
        }
    }
}

fn stream_body(rx: mpsc::Receiver<Chunk>) -> Body {
    let chunks =
        futures::stream::unfold(
            rx,
            |mut rx| async move { rx.recv().await.map(|chunk| (chunk, rx)) },
        );
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|e: Infallible| match e {}).boxed_unsync()
}

fn response(
    status: u16,
    headers: &[(&'static str, String)],
    body: Body,
) -> Result<Response<Body>, io::Error> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    builder.body(body).map_err(io::Error::other)
}

/// Locks a mutex, also a poisoned one.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
