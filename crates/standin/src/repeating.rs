//! A plain service that sends a second copy of each answer on the same
//! connection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Delay of a late copy: the connection may be in use again by then.
const LATE: Duration = Duration::from_millis(3);

/// When the second copy is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SecondCopy {
    /// Together with the first.
    AtOnce,
    /// A moment after the first.
    Late,
    /// In place of the answer to the next request.
    InPlaceOfNext,
    /// As `InPlaceOfNext`, without the id of the request that it answers.
    WithoutId,
}

/// A running service.
#[derive(Debug)]
pub struct RepeatingTarget {
    addr: SocketAddr,
    heartbeats: AtomicU64,
    copies: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl RepeatingTarget {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(kind: SecondCopy) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let copies = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, kind, Arc::clone(&copies)));
        Ok(Self { addr, heartbeats: AtomicU64::new(0), copies, task })
    }

    /// Returns the next heartbeat, as an instance of a service.
    #[must_use]
    pub fn heartbeat(&self, service: &str) -> Value {
        json!({
            "service": service, "address": self.addr.to_string(), "zone": "z1", "version": "v1",
            "slot_count": 8, "state": "ready", "cold_left_ms": 0, "stage": "hybrid",
            "models": [], "born": 1, "sequence": self.heartbeats.fetch_add(1, Ordering::Relaxed),
        })
    }

    /// Number of second copies sent so far.
    #[must_use]
    pub fn copy_count(&self) -> u64 {
        self.copies.load(Ordering::Relaxed)
    }
}

impl Drop for RepeatingTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, kind: SecondCopy, copies: Arc<AtomicU64>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let copies = Arc::clone(&copies);
        tokio::spawn(async move {
            // The peer closes the connection.
            let _ = serve(stream, kind, &copies).await;
        });
    }
}

async fn serve(mut stream: TcpStream, kind: SecondCopy, copies: &AtomicU64) -> io::Result<()> {
    let mut last: Option<String> = None;
    loop {
        let id = read_request(&mut stream).await?;
        if let Some(last) = last.take() {
            copies.fetch_add(1, Ordering::Relaxed);
            stream.write_all(answer(&last, kind != SecondCopy::WithoutId).as_bytes()).await?;
            continue;
        }
        let first = answer(&id, true);
        match kind {
            SecondCopy::AtOnce => {
                copies.fetch_add(1, Ordering::Relaxed);
                stream.write_all(first.repeat(2).as_bytes()).await?;
            }
            SecondCopy::Late => {
                stream.write_all(first.as_bytes()).await?;
                sleep(LATE).await;
                copies.fetch_add(1, Ordering::Relaxed);
                stream.write_all(first.as_bytes()).await?;
            }
            SecondCopy::InPlaceOfNext | SecondCopy::WithoutId => {
                stream.write_all(first.as_bytes()).await?;
                last = Some(id);
            }
        }
    }
}

fn answer(id: &str, with_id: bool) -> String {
    let body = format!("done {id}");
    let id_field = if with_id { format!("attempt-id: {id}\r\n") } else { String::new() };
    let len = body.len();
    format!(
        "HTTP/1.1 200 OK\r\n{id_field}response-stamp: s-{id}\r\ncontent-length: {len}\r\n\r\n{body}"
    )
}

/// Reads one request and returns its id.
pub(crate) async fn read_request(stream: &mut TcpStream) -> io::Result<String> {
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
    Ok(field("attempt-id").unwrap_or_default())
}
