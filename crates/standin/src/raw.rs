//! A target that answers with given bytes and ends the connection in a given way.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::target_records::heartbeat;

/// Time from the last bytes of an answer to a reset: they have arrived by then.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// What a target learns of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RawRequest {
    /// Id of the attempt.
    pub id: String,
    /// Id of the event after which a stream is to go on.
    pub last_event_id: Option<u64>,
}

/// How a connection ends after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RawEnd {
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// It stays open until the peer closes it.
    Hold,
}

/// Returns the bytes of the answer to a request, and how the connection ends.
pub type RawScript = dyn Fn(&RawRequest) -> (String, RawEnd) + Send + Sync;

/// A running target.
pub struct RawTarget {
    addr: SocketAddr,
    id: String,
    service: String,
    model: Option<String>,
    requests: Arc<AtomicU64>,
    heartbeats: AtomicU64,
    task: JoinHandle<()>,
}

impl fmt::Debug for RawTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RawTarget").field("id", &self.id).finish_non_exhaustive()
    }
}

impl RawTarget {
    /// Starts a target of a service, or an engine of a model.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(
        id: &str,
        service: &str,
        model: Option<&str>,
        script: Arc<RawScript>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let requests = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, script, Arc::clone(&requests)));
        let (id, service) = (id.to_owned(), service.to_owned());
        let (model, heartbeats) = (model.map(str::to_owned), AtomicU64::new(0));
        Ok(Self { addr, id, service, model, requests, heartbeats, task })
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
        let count = self.heartbeats.fetch_add(1, Ordering::Relaxed);
        heartbeat(&self.service, self.addr, self.model.as_deref(), count)
    }

    /// Number of requests received so far.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, script: Arc<RawScript>, requests: Arc<AtomicU64>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let (script, requests) = (Arc::clone(&script), Arc::clone(&requests));
        tokio::spawn(async move {
            // The peer may close the connection at any time.
            let _ = serve(stream, script.as_ref(), &requests).await;
        });
    }
}

async fn serve(mut stream: TcpStream, script: &RawScript, requests: &AtomicU64) -> io::Result<()> {
    let request = read_request(&mut stream).await?;
    let (answer, end) = script(&request);
    stream.write_all(answer.as_bytes()).await?;
    // Whoever sees the request counted sees the answer sent.
    requests.fetch_add(1, Ordering::Relaxed);
    match end {
        RawEnd::Close => stream.shutdown().await,
        RawEnd::Reset => {
            sleep(RESET_DELAY).await;
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))
        }
        RawEnd::Hold => stream.read_u8().await.map(|_| ()),
    }
}

/// Reads one request.
pub(crate) async fn read_request(stream: &mut TcpStream) -> io::Result<RawRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let field = |name: &str| {
        let fields = head.lines().filter_map(|line| line.split_once(": "));
        let mut fields = fields.filter(|(found, _)| found.eq_ignore_ascii_case(name));
        fields.next().map(|(_, value)| value.to_owned())
    };
    let len = field("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await?;
    let last_event_id = field("last-event-id").and_then(|id| id.parse().ok());
    Ok(RawRequest { id: field("attempt-id").unwrap_or_default(), last_event_id })
}
