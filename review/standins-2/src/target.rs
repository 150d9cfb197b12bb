//! A target of the platform that does what the path of a request says.
//!
//! `/ROUTE/w250/...` works for 250 ms and answers with a length; `/ROUTE/e16x250/...`
//! streams 16 events, 250 ms apart. Under `/ROUTE/deadly/...` the target ends with all of
//! its connections, and starts again after a moment as another incarnation.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cassia_standin::StoreStandin;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::client::find;
use crate::record::Record;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// How long a request runs under which the target ends.
const TIME_TO_CRASH: Duration = Duration::from_millis(50);
/// How long a target that ended takes to start again.
const RESTART_TIME: Duration = Duration::from_millis(1_000);

/// How a run at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It is not over.
    Running,
    /// The whole answer was written.
    Answered,
    /// The connection ended before.
    Dropped,
    /// The target ended under it, or beside it.
    Crashed,
}

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub end: RunEnd,
}

/// A target that is listed in the store until it is dropped.
#[derive(Debug)]
pub struct Target {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

/// What the connections of a target share.
#[derive(Debug)]
pub struct Shared {
    name: String,
    addr: SocketAddr,
    service: String,
    model: Option<String>,
    slots: u32,
    record: Record,
    running: AtomicU64,
    sequence: AtomicU64,
    /// Number of times that it has ended.
    crashes: watch::Sender<u64>,
    is_down: AtomicBool,
    /// When it started, in milliseconds of wall-clock time.
    born: AtomicU64,
    runs: Mutex<Vec<Run>>,
}

impl Target {
    /// Starts a target of a service; with a model it is an engine.
    pub async fn start(
        id: &str,
        service: &str,
        model: Option<&str>,
        slots: u32,
        store: Arc<StoreStandin>,
        record: Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let shared = Arc::new(Shared {
            name: id.to_owned(),
            addr: listener.local_addr()?,
            service: service.to_owned(),
            model: model.map(str::to_owned),
            slots,
            record,
            running: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            crashes: watch::Sender::new(0),
            is_down: AtomicBool::new(false),
            born: AtomicU64::new(unix_ms()),
            runs: Mutex::default(),
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        let sender = Arc::clone(&shared);
        let listing = tokio::spawn(async move {
            loop {
                sender.list(&store);
                let mut crashes = sender.crashes.subscribe();
                tokio::select! {
                    () = sleep(HEARTBEAT_INTERVAL) => {}
                    _ = crashes.changed() => sender.restart(&store).await,
                }
            }
        });
        Ok(Self { shared, tasks: vec![accepting, listing] })
    }

    /// Number of times that it has ended.
    pub fn crash_count(&self) -> u64 {
        *self.shared.crashes.borrow()
    }

    /// Returns the requests that ran.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("no holder panics").clone()
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Shared {
    /// Returns the id of the present incarnation.
    fn id(&self) -> String {
        format!("{}-{}", self.name, *self.crashes.borrow())
    }

    fn list(&self, store: &StoreStandin) {
        store.put("keyed.servers", &self.id(), Some(&self.heartbeat()));
    }

    /// Starts again after a crash. The entry of the incarnation before is gone by then.
    async fn restart(&self, store: &StoreStandin) {
        let before = format!("{}-{}", self.name, *self.crashes.borrow() - 1);
        sleep(RESTART_TIME).await;
        store.put("keyed.servers", &before, None);
        self.sequence.store(0, Ordering::Relaxed);
        self.born.store(unix_ms(), Ordering::Relaxed);
        self.is_down.store(false, Ordering::Relaxed);
        self.record.line(format!("{} starts as {}", self.name, self.id()));
    }

    fn crash(&self) {
        self.record.line(format!("{} ends", self.name));
        self.is_down.store(true, Ordering::Relaxed);
        self.crashes.send_modify(|count| *count += 1);
    }

    fn heartbeat(&self) -> Value {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        json!({
            "service": self.service, "address": self.addr.to_string(), "zone": "z1",
            "version": "v1", "slot_count": self.slots, "state": "ready", "cold_left_ms": 0,
            "stage": "hybrid", "models": self.models(), "sequence": sequence,
            "born": self.born.load(Ordering::Relaxed),
        })
    }

    fn models(&self) -> Vec<Value> {
        let model = |name: &String| json!({"name": name, "version": 1, "adapters": []});
        self.model.iter().map(model).collect()
    }

    fn begin(&self, id: &str, path: &str, body_len: usize) -> usize {
        let run = Run { id: id.to_owned(), end: RunEnd::Running };
        self.record.line(format!("{} runs {id} {path} with {body_len} bytes", self.name));
        self.running.fetch_add(1, Ordering::Relaxed);
        let mut runs = self.runs.lock().expect("no holder panics");
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, run: usize, end: RunEnd) {
        self.running.fetch_sub(1, Ordering::Relaxed);
        let mut runs = self.runs.lock().expect("no holder panics");
        runs[run].end = end;
        self.record.line(format!("{} ended {}: {end:?}", self.name, runs[run].id));
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        if shared.is_down.load(Ordering::Relaxed) {
            // A port without a listener resets the connection.
            let _ = stream.set_zero_linger();
            continue;
        }
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let _ = serve(stream, shared).await;
        });
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buf = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = find(&buf, b"\r\n\r\n") {
                break at + 4;
            }
            if fill(&mut stream, &mut buf).await? == 0 {
                return Ok(());
            }
        };
        let head = String::from_utf8_lossy(&buf[..end]).into_owned();
        buf.drain(..end);
        let header = |name: &str| header(&head, name);
        let length: usize = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while buf.len() < length {
            if fill(&mut stream, &mut buf).await? == 0 {
                return Ok(());
            }
        }
        buf.drain(..length);
        let path = head.split(' ').nth(1).unwrap_or("/").to_owned();
        if path == "/v1/report" {
            let report = json!({
                "stage": "hybrid", "models": shared.models(), "busy": false, "sequence": 0,
                "num_waiting": 0, "num_running": shared.running.load(Ordering::Relaxed),
                "kv_used": 0, "kv_total": 1, "handle_count": 0,
                "born": shared.born.load(Ordering::Relaxed),
            });
            write_answer(&mut stream, 200, "", &report.to_string()).await?;
            continue;
        }
        let id = header("attempt-id").unwrap_or_default();
        if header("expect-instance").is_some_and(|expected| expected != shared.id()) {
            write_answer(&mut stream, 421, "", "").await?;
            continue;
        }
        let run = shared.begin(&id, &path, length);
        let mut crashes = shared.crashes.subscribe();
        let answered = tokio::select! {
            answered = answer(&mut stream, &shared, &id, &path) => answered,
            _ = crashes.changed() => {
                shared.end(run, RunEnd::Crashed);
                return stream.set_zero_linger();
            }
        };
        let end = if answered.is_ok() { RunEnd::Answered } else { RunEnd::Dropped };
        shared.end(run, end);
        answered?;
    }
}

/// Does what the path says, unless the connection ends before.
async fn answer(stream: &mut TcpStream, shared: &Shared, id: &str, path: &str) -> io::Result<()> {
    let word = path.split('/').nth(2).unwrap_or_default();
    if word == "deadly" {
        sleep(TIME_TO_CRASH).await;
        shared.crash();
        // Ends with the other connections.
        std::future::pending::<()>().await;
    }
    let load = shared.running.load(Ordering::Relaxed);
    let mut headers = format!(
        "Attempt-Id: {id}\r\nResponse-Stamp: stamp-{id}\r\nServer-Load: {load},0,{}\r\n",
        shared.slots
    );
    if let Some((count, pause)) = word.strip_prefix('e').and_then(|word| word.split_once('x')) {
        let count: u64 = count.parse().map_err(io::Error::other)?;
        let pause = Duration::from_millis(pause.parse().map_err(io::Error::other)?);
        headers.push_str("Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n");
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        for number in 0..count {
            wait(stream, pause).await?;
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
        }
        return stream.write_all(b"0\r\n\r\n").await;
    }
    let work = word.strip_prefix('w').and_then(|ms| ms.parse().ok()).unwrap_or(5);
    wait(stream, Duration::from_millis(work)).await?;
    write_answer(stream, 200, &headers, &format!("done {id}")).await
}

/// Waits; fails if the connection ends meanwhile, as a target drops such requests.
async fn wait(stream: &mut TcpStream, pause: Duration) -> io::Result<()> {
    let mut byte = [0];
    tokio::select! {
        () = sleep(pause) => Ok(()),
        read = stream.peek(&mut byte) => match read {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => Err(io::ErrorKind::InvalidData.into()),
            Err(e) => Err(e),
        },
    }
}

async fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let length = body.len();
    let answer =
        format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(answer.as_bytes()).await
}

async fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = vec![0; 64 << 10];
    let count = stream.read(&mut chunk).await?;
    buf.extend_from_slice(&chunk[..count]);
    Ok(count)
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(0)
}

fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.split("\r\n").filter_map(|line| line.split_once(':'));
    let mut lines = lines.filter(|(known, _)| known.eq_ignore_ascii_case(name));
    lines.next().map(|(_, value)| value.trim().to_owned())
}
