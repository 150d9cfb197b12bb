//! A plain service that sends a second copy of each answer on the same
//! connection.

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
        heartbeat(service, self.addr, None, self.heartbeats.fetch_add(1, Ordering::Relaxed))
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
        let id = read_request(&mut stream).await?.id;
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
