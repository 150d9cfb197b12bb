//! A target that answers each request twice: the second copy comes late, just
//! before the answer to the next request on the same connection.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
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
use crate::server::lock;
use crate::target_records::heartbeat;

/// Time from a late copy to the answer that is due: the caller may have sent its
/// next request by then.
const ANSWER_DELAY: Duration = Duration::from_millis(5);
/// Number of events in an answer that is a stream.
const EVENTS: u64 = 6;

/// What a target that repeats its answers is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RepeatedAnswers {
    /// A plain service, which fails this many runs of each request at first.
    Plain {
        /// Number of runs that fail.
        failures: u64,
    },
    /// An engine of this model, whose answers are streams.
    Engine {
        /// The model.
        model: String,
    },
}

/// A running target.
#[derive(Debug)]
pub struct LateCopyTarget {
    addr: SocketAddr,
    heartbeats: AtomicU64,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    kind: RepeatedAnswers,
    copies: AtomicU64,
    /// Number of runs by the request's id.
    runs: Mutex<BTreeMap<String, u64>>,
}

impl LateCopyTarget {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(kind: RepeatedAnswers) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared { kind, copies: AtomicU64::new(0), runs: Mutex::default() });
        let task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { addr, heartbeats: AtomicU64::new(0), shared, task })
    }

    /// Returns the next heartbeat, as an instance of a service.
    #[must_use]
    pub fn heartbeat(&self, service: &str) -> Value {
        let model = match &self.shared.kind {
            RepeatedAnswers::Plain { .. } => None,
            RepeatedAnswers::Engine { model } => Some(model.as_str()),
        };
        heartbeat(service, self.addr, model, self.heartbeats.fetch_add(1, Ordering::Relaxed))
    }

    /// Number of second copies sent so far.
    #[must_use]
    pub fn copy_count(&self) -> u64 {
        self.shared.copies.load(Ordering::Relaxed)
    }

    /// Number of runs of the request with this id.
    #[must_use]
    pub fn run_count(&self, id: &str) -> u64 {
        lock(&self.shared.runs).get(id).copied().unwrap_or(0)
    }
}

impl Drop for LateCopyTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            // The peer closes the connection.
            let _ = shared.serve(stream).await;
        });
    }
}

impl Shared {
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut last: Option<String> = None;
        loop {
            let id = read_request(&mut stream).await?.id;
            let answer = self.answer(&id);
            if let Some(last) = last.replace(answer.clone()) {
                self.copies.fetch_add(1, Ordering::Relaxed);
                stream.write_all(last.as_bytes()).await?;
                sleep(ANSWER_DELAY).await;
            }
            stream.write_all(answer.as_bytes()).await?;
        }
    }

    /// Runs a request; the answer names the run.
    fn answer(&self, id: &str) -> String {
        let run = {
            let mut runs = lock(&self.runs);
            let run = runs.entry(id.to_owned()).or_default();
            *run += 1;
            *run
        };
        let (status, kind, body) = match &self.kind {
            RepeatedAnswers::Plain { failures } if run <= *failures => {
                ("500 Internal Server Error", "text/plain", format!("failed run {run}"))
            }
            RepeatedAnswers::Plain { .. } => ("200 OK", "text/plain", format!("run {run} of {id}")),
            RepeatedAnswers::Engine { .. } => {
                let event = |n| format!("id: {n}\ndata: piece {n} of run {run}\n\n");
                ("200 OK", "text/event-stream", (0..EVENTS).map(event).collect())
            }
        };
        let len = body.len();
        format!(
            "HTTP/1.1 {status}\r\nattempt-id: {id}\r\nresponse-stamp: {id}-{run}\r\n\
             weight-versions: 1\r\ncontent-type: {kind}\r\ncontent-length: {len}\r\n\r\n{body}"
        )
    }
}
