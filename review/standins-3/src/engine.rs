//! An engine: a plain service, or one that generates texts and takes orders.
//!
//! It crashes when it is told to: its connections are reset, and it refuses new ones
//! until it starts again under its id.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cassia_standin::StoreStandin;
use serde_json::Value;
use serde_json::json;
use socket2::SockRef;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::http::Head;
use crate::http::read_body;
use crate::http::read_head;
use crate::record::Recorder;

/// How often an engine writes its entry (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// After this silence its entry is removed.
const ENTRY_TTL: Duration = Duration::from_millis(3_600);

/// How long the other end may take to close a connection that is to be closed.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// What an engine does.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    pub id: String,
    pub service: String,
    /// The model; `None` for a plain service.
    pub model: Option<String>,
    pub slots: u32,
    /// Time to the first event, or of a plain request.
    pub first: Duration,
    /// Time of each further event.
    pub event: Duration,
    pub events: u64,
    /// Time that a change of the version takes.
    pub load: Duration,
}

/// An order as it arrived.
#[derive(Clone, Debug)]
pub struct OrderSeen {
    pub at: Instant,
    pub engine: String,
    pub holder: String,
    pub fence: u64,
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct RunSeen {
    pub id: String,
    pub began: Instant,
    /// When the engine was done with it, or it broke off.
    pub ended: Option<Instant>,
    /// Whether the last event, or the whole answer, was sent.
    pub is_complete: bool,
}

#[derive(Debug)]
struct State {
    is_down: bool,
    /// Whether it is about to stop, and says so in its answers.
    is_leaving: bool,
    /// Whether it is partitioned from the store.
    is_cut: bool,
    born_ms: u64,
    beats: u64,
    version: u64,
    loading: Option<(u64, Instant)>,
    order_count: u64,
    orders: Vec<OrderSeen>,
    runs: Vec<RunSeen>,
    running: BTreeMap<usize, String>,
}

/// A running engine; it ends with the program.
#[derive(Debug)]
pub struct Engine {
    pub spec: EngineSpec,
    pub addr: SocketAddr,
    state: Mutex<State>,
    /// Number of crashes.
    crashes: watch::Sender<u64>,
    recorder: Recorder,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

impl Engine {
    /// Starts an engine, which registers itself in the store.
    pub async fn start(
        spec: EngineSpec,
        store: &Arc<StoreStandin>,
        recorder: &Recorder,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = State {
            is_down: false,
            is_leaving: false,
            is_cut: false,
            born_ms: unix_ms(),
            beats: 0,
            version: 1,
            loading: None,
            order_count: 0,
            orders: Vec::new(),
            runs: Vec::new(),
            running: BTreeMap::new(),
        };
        let engine = Arc::new(Self {
            spec,
            addr: listener.local_addr()?,
            state: Mutex::new(state),
            crashes: watch::Sender::new(0),
            recorder: recorder.clone(),
        });
        tokio::spawn(Arc::clone(&engine).accept(listener));
        tokio::spawn(Arc::clone(&engine).register(Arc::clone(store)));
        Ok(engine)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Crashes, and starts again after this time.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        {
            let mut state = self.state();
            state.is_down = true;
            for run in std::mem::take(&mut state.running).into_keys() {
                state.runs[run].ended = Some(Instant::now());
            }
        }
        self.recorder.line(format!("engine {} crashes", self.spec.id));
        self.crashes.send_modify(|count| *count += 1);
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            sleep(down).await;
            let mut state = engine.state();
            state.is_down = false;
            state.born_ms = unix_ms();
            state.beats = 0;
            state.order_count = 0;
            engine.recorder.line(format!("engine {} starts again", engine.spec.id));
        });
    }

    /// Begins to leave. If it is partitioned from the store, it can't report that it drains.
    pub fn leave(&self, is_cut: bool) {
        let mut state = self.state();
        (state.is_leaving, state.is_cut) = (true, is_cut);
        let id = &self.spec.id;
        self.recorder
            .line(format!("engine {id} begins to leave; cut off from the store: {is_cut}"));
    }

    /// Returns the requests that began to run.
    pub fn runs(&self) -> Vec<RunSeen> {
        self.state().runs.clone()
    }

    /// Returns the orders that arrived.
    pub fn orders(&self) -> Vec<OrderSeen> {
        self.state().orders.clone()
    }

    /// Returns the ids of the requests that are running.
    pub fn running(&self) -> Vec<String> {
        self.state().running.values().cloned().collect()
    }

    /// Returns the version of its weights.
    pub fn version(&self) -> u64 {
        let mut state = self.state();
        state.finish_load();
        state.version
    }

    /// Writes the engine's entry at intervals, and removes it after a long silence.
    async fn register(self: Arc<Self>, store: Arc<StoreStandin>) {
        let mut crashes = self.crashes.subscribe();
        let mut silent_since = None;
        loop {
            let entry = self.entry();
            match entry {
                Some(entry) => {
                    store.put("keyed.servers", &self.spec.id, Some(&entry));
                    silent_since = None;
                    let _ = tokio::time::timeout(HEARTBEAT, crashes.changed()).await;
                }
                None => {
                    let since = *silent_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= ENTRY_TTL && since.elapsed() < ENTRY_TTL + HEARTBEAT {
                        store.put("keyed.servers", &self.spec.id, None);
                    }
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Returns its next entry; `None` while it is down.
    fn entry(&self) -> Option<Value> {
        let mut state = self.state();
        if state.is_down || state.is_cut {
            return None;
        }
        state.finish_load();
        state.beats += 1;
        let presence = if state.is_leaving { "draining" } else { "ready" };
        Some(json!({
            "service": self.spec.service, "address": self.addr.to_string(), "zone": "z1",
            "version": "v1", "slot_count": self.spec.slots, "state": presence, "cold_left_ms": 0,
            "stage": "hybrid", "models": self.models(&state), "sequence": state.beats,
            "born": state.born_ms,
        }))
    }

    fn models(&self, state: &State) -> Vec<Value> {
        let model = |name: &String| json!({"name": name, "version": state.version, "adapters": []});
        self.spec.model.iter().map(model).collect()
    }

    async fn accept(self: Arc<Self>, first: TcpListener) {
        let mut listener = Some(first);
        let mut crashes = self.crashes.subscribe();
        loop {
            if self.state().is_down {
                listener = None;
                sleep(Duration::from_millis(5)).await;
                continue;
            }
            let Some(up) = &listener else {
                match TcpListener::bind(self.addr).await {
                    Ok(bound) => listener = Some(bound),
                    Err(_) => sleep(Duration::from_millis(5)).await,
                }
                continue;
            };
            tokio::select! {
                accepted = up.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(Arc::clone(&self).connection(stream));
                    }
                }
                _ = crashes.changed() => {}
            }
        }
    }

    /// Serves a connection until either end closes it or the engine crashes.
    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let mut crashes = self.crashes.subscribe();
        crashes.mark_unchanged();
        let _ = stream.set_nodelay(true);
        tokio::select! {
            () = self.requests(stream) => {}
            _ = crashes.changed() => {}
        }
    }

    async fn requests(&self, stream: TcpStream) {
        // A connection that this end closes is reset, as by a crash.
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        while let Some(head) = read_head(&mut reader).await {
            let Some(body) = read_body(&mut reader, &head).await else { return };
            if !self.request(&mut reader, &mut writer, &head, &body).await {
                return;
            }
        }
    }

    /// Answers one request; false if the connection is to be closed.
    async fn request(
        &self,
        reader: &mut BufReader<OwnedReadHalf>,
        writer: &mut OwnedWriteHalf,
        head: &Head,
        body: &[u8],
    ) -> bool {
        let mut words = head.first.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        if (method, path) == ("GET", "/v1/report") {
            return send_json(writer, 200, &self.report()).await;
        }
        if head.header("expect-instance").is_some_and(|expected| expected != self.spec.id) {
            return send(writer, 421, &[("Instance-Id", self.spec.id.clone())], b"").await;
        }
        if (method, path) == ("POST", "/v1/order") {
            let status = self.order(body);
            return send_json(writer, status, &json!({})).await;
        }
        let id = head.header("attempt-id").unwrap_or_default().to_owned();
        let Some(run) = self.begin(&id, path) else {
            let headers = [("Attempt-Id", id), ("Not-Run", "1".to_owned())];
            return send(writer, 503, &headers, b"").await;
        };
        let is_done = match &self.spec.model {
            None => self.answer(reader, writer, &id).await,
            Some(_) => self.generate(reader, writer, head, &id).await,
        };
        self.end(run, is_done);
        is_done
    }

    /// Counts a request as running; `None` if all slots are taken.
    fn begin(&self, id: &str, path: &str) -> Option<usize> {
        let mut state = self.state();
        if state.running.len() >= self.spec.slots as usize {
            return None;
        }
        let run = state.runs.len();
        let engine = self.spec.id.clone();
        self.recorder.line(format!("engine {engine} runs {id} {path}"));
        let id = id.to_owned();
        state.running.insert(run, id.clone());
        state.runs.push(RunSeen { id, began: Instant::now(), ended: None, is_complete: false });
        Some(run)
    }

    fn end(&self, run: usize, is_complete: bool) {
        let mut state = self.state();
        state.running.remove(&run);
        let seen = &mut state.runs[run];
        (seen.ended, seen.is_complete) = (Some(Instant::now()), is_complete);
    }

    async fn answer(
        &self,
        reader: &mut BufReader<OwnedReadHalf>,
        writer: &mut OwnedWriteHalf,
        id: &str,
    ) -> bool {
        if !wait(reader, self.spec.first).await {
            return false;
        }
        let mut headers =
            vec![("Attempt-Id", id.to_owned()), ("Response-Stamp", format!("stamp-{id}"))];
        let is_leaving = self.state().is_leaving;
        if is_leaving {
            headers.push(("Server-Leaving", "1".to_owned()));
            headers.push(("Connection", "close".to_owned()));
        }
        let is_sent = send(writer, 200, &headers, format!("done {id}").as_bytes()).await;
        if is_leaving && is_sent {
            // The other end closes the connection once it has read the answer.
            let _ = writer.shutdown().await;
            wait(reader, CLOSE_TIME).await;
        }
        is_sent
    }

    async fn generate(
        &self,
        reader: &mut BufReader<OwnedReadHalf>,
        writer: &mut OwnedWriteHalf,
        head: &Head,
        id: &str,
    ) -> bool {
        let from = head.header("last-event-id").and_then(|last| last.parse::<u64>().ok());
        let version = self.version();
        for number in from.map_or(0, |last| last + 1)..self.spec.events {
            let is_first = number == from.map_or(0, |last| last + 1);
            let pause = if is_first { self.spec.first } else { self.spec.event };
            if !wait(reader, pause).await {
                return false;
            }
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            let mut bytes = Vec::new();
            if is_first {
                bytes.extend_from_slice(
                    format!(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: stamp-{id}\r\n\
                         Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\n\
                         Transfer-Encoding: chunked\r\n\r\n"
                    )
                    .as_bytes(),
                );
            }
            bytes.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            if writer.write_all(&bytes).await.is_err() {
                return false;
            }
        }
        writer.write_all(b"0\r\n\r\n").await.is_ok()
    }

    fn report(&self) -> Value {
        let mut state = self.state();
        state.finish_load();
        json!({
            "stage": "hybrid", "models": self.models(&state), "busy": state.loading.is_some(),
            "sequence": state.order_count, "num_waiting": 0, "num_running": state.running.len(),
            "kv_used": 0, "kv_total": 1, "handle_count": 0, "born": state.born_ms,
        })
    }

    /// Takes an order; returns the status of the answer.
    fn order(&self, body: &[u8]) -> u16 {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let (Some(version), Some(fence)) = (order["version"].as_u64(), order["fence"].as_u64())
        else {
            return 400;
        };
        let holder = order["holder"].as_str().unwrap_or_default().to_owned();
        let mut state = self.state();
        state.finish_load();
        let is_outdated = order["precondition"].as_u64().is_some_and(|n| n != state.order_count);
        let status = match () {
            () if is_outdated || state.loading.is_some() => 409,
            () if state.version == version => 200,
            () => {
                state.order_count += 1;
                state.loading = Some((version, Instant::now() + self.spec.load));
                202
            }
        };
        let engine = self.spec.id.clone();
        self.recorder.line(format!(
            "engine {engine} gets an order of {holder}, fence {fence}: version {version}; {status}"
        ));
        let at = Instant::now();
        state.orders.push(OrderSeen { at, engine, holder, fence });
        status
    }
}

impl State {
    fn finish_load(&mut self) {
        if let Some((version, _)) = self.loading.filter(|(_, done)| Instant::now() >= *done) {
            self.version = version;
            self.loading = None;
        }
    }
}

/// Waits; false if the other end closes the connection meanwhile.
async fn wait(reader: &mut BufReader<OwnedReadHalf>, time: Duration) -> bool {
    tokio::select! {
        () = sleep(time) => true,
        read = reader.fill_buf() => {
            // No request comes before the answer to the one before.
            !matches!(read, Ok([]) | Err(_))
        }
    }
}

async fn send_json(writer: &mut OwnedWriteHalf, status: u16, value: &Value) -> bool {
    let headers = [("Content-Type", "application/json".to_owned())];
    send(writer, status, &headers, value.to_string().as_bytes()).await
}

async fn send(
    writer: &mut OwnedWriteHalf,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> bool {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    bytes += "\r\n";
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes).await.is_ok()
}
