//! A target that sends bytes without end, and no answer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::raw::read_request;
use crate::target_records::heartbeat;

/// Size of one write.
const CHUNK_BYTES: usize = 64 << 10;
/// Time between two bytes of a response that stalls.
const STALL_INTERVAL: Duration = Duration::from_millis(300);

/// What a target sends without end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// A head without a line end.
    Head,
    /// Header fields.
    HeaderFields,
    /// Informational responses.
    Informational,
    /// A body without a length.
    Body,
    /// Chunks of a body.
    Chunks,
    /// One event of a stream.
    Event,
    /// Small events of a stream.
    Events,
    /// A byte of an event of a stream now and then.
    Stall,
}

/// A running target.
#[derive(Debug)]
pub struct EndlessTarget {
    addr: SocketAddr,
    id: String,
    service: String,
    model: Option<String>,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: AtomicU64,
    /// Connections that the peer has not closed.
    open: AtomicU64,
    heartbeats: AtomicU64,
}

impl EndlessTarget {
    /// Starts a target of a service, or an engine of a model.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(
        id: &str,
        service: &str,
        model: Option<&str>,
        kind: Endless,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let counts = Arc::new(Counts::default());
        let task = tokio::spawn(accept(listener, kind, Arc::clone(&counts)));
        let (id, service) = (id.to_owned(), service.to_owned());
        Ok(Self { addr, id, service, model: model.map(str::to_owned), counts, task })
    }

    /// Returns its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the next heartbeat.
    #[must_use]
    pub fn heartbeat(&self) -> Value {
        let count = self.counts.heartbeats.fetch_add(1, Ordering::Relaxed);
        heartbeat(&self.service, self.addr, self.model.as_deref(), count)
    }

    /// Number of requests received so far.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.counts.requests.load(Ordering::Relaxed)
    }

    /// Number of connections on which it is sending.
    #[must_use]
    pub fn open_count(&self) -> u64 {
        self.counts.open.load(Ordering::Relaxed)
    }
}

impl Drop for EndlessTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, kind: Endless, counts: Arc<Counts>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let counts = Arc::clone(&counts);
        tokio::spawn(async move {
            counts.open.fetch_add(1, Ordering::Relaxed);
            // The peer closes the connection.
            let _ = send(stream, kind, &counts).await;
            counts.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Reads one request and sends until the peer closes the connection.
async fn send(mut stream: TcpStream, kind: Endless, counts: &Counts) -> io::Result<()> {
    let request = read_request(&mut stream).await?;
    counts.requests.fetch_add(1, Ordering::Relaxed);
    let (start, repeated) = response(kind, &request.id);
    stream.write_all(start.as_bytes()).await?;
    if kind == Endless::Stall {
        loop {
            sleep(STALL_INTERVAL).await;
            stream.write_all(b"x").await?;
        }
    }
    let mut number = 1_u64;
    let mut chunk = String::new();
    loop {
        // Only numbered pieces differ from one chunk to the next.
        if chunk.is_empty() || repeated.contains('#') {
            chunk.clear();
            while chunk.len() < CHUNK_BYTES {
                chunk.push_str(&repeated.replace('#', &number.to_string()));
                number += 1;
            }
        }
        stream.write_all(chunk.as_bytes()).await?;
    }
}

/// Returns the start of a response, and what follows it without end; `#` stands
/// for a number.
fn response(kind: Endless, id: &str) -> (String, &'static str) {
    let ok = format!("HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-stamp: s\r\n");
    let stream = format!("{ok}weight-versions: 1\r\ncontent-type: text/event-stream\r\n\r\n");
    match kind {
        Endless::Head => ("HTTP/1.1 200 ".to_owned(), "xxxxxxxxxxxxxxxx"),
        Endless::HeaderFields => (ok, "field-#: value\r\n"),
        Endless::Informational => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
        Endless::Body => (format!("{ok}\r\n"), "xxxxxxxxxxxxxxxx"),
        Endless::Chunks => {
            (format!("{ok}transfer-encoding: chunked\r\n\r\n"), "10\r\nxxxxxxxxxxxxxxxx\r\n")
        }
        Endless::Event => (format!("{stream}id: 0\ndata: "), "xxxxxxxxxxxxxxxx"),
        Endless::Events => (format!("{stream}id: 0\ndata: x\n\n"), "id: #\ndata: x\n\n"),
        Endless::Stall => (format!("{stream}id: 0\ndata: "), "x"),
    }
}
