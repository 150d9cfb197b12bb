//! A target of the platform: a model engine that streams events and takes
//! orders, or a plain service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::Request;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::Handler;
use crate::Reply;
use crate::Server;
use crate::StoreStandin;
use crate::server::lock;

/// The first event's number.
const FIRST_EVENT: u64 = 0;
/// How long a loaded version takes to be in use.
const LOAD_TIME: Duration = Duration::from_millis(80);

/// How a target answers requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ResponseFault {
    /// As it should.
    #[default]
    None,
    /// With its own failure, after it ran them.
    Error,
    /// By refusing them, and saying so.
    Busy,
    /// Not at all, after it ran them.
    Hang,
    /// With another request's id.
    WrongId,
}

/// What goes wrong with a target.
#[derive(Clone, Debug, Default)]
pub struct TargetFaults {
    /// How it answers.
    pub response: ResponseFault,
    /// Its streams break off after so many events.
    pub reset_after_events: Option<u64>,
    /// Requests whose id is here fail at each run.
    pub failing_ids: BTreeSet<String>,
    /// Orders get no answer and are carried out so much later.
    pub order_delay: Option<Duration>,
}

/// A request that reached a target and ran there.
#[derive(Clone, Debug)]
pub struct RequestRun {
    /// Its id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// When it began.
    pub started: Instant,
    /// How long its sender waits, as it said.
    pub timeout_ms: Option<u64>,
    /// After which event it went on.
    pub last_event_id: Option<u64>,
}

/// An order that reached an engine.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    /// Who gave it.
    pub holder: String,
    /// The holder's fencing number.
    pub fence: u64,
    /// The version.
    pub version: u64,
    /// When it came.
    pub received: Instant,
    /// The engine.
    pub engine: String,
}

/// A target.
#[derive(Debug)]
pub struct TargetStandin {
    server: Server,
    shared: Arc<Shared>,
}

/// What a target is.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// The model that it generates with; a plain service has none.
    pub model: Option<String>,
    /// Events of a generation.
    pub events: u64,
    /// Time for an event, or for a plain request.
    pub delay: Duration,
}

#[derive(Debug)]
struct Shared {
    spec: TargetSpec,
    born_ms: u64,
    beats: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: TargetFaults,
    delay: Duration,
    version: u64,
    loading: Option<(u64, Instant)>,
    orders: u64,
    seen: Vec<ReceivedOrder>,
    runs: Vec<RequestRun>,
    running: BTreeMap<u64, String>,
    next_run: u64,
    leaving: bool,
}

#[derive(Deserialize)]
struct Order {
    version: u64,
    holder: String,
    fence: u64,
    precondition: Option<u64>,
}

impl TargetStandin {
    /// Starts a target; it is listed with its first heartbeat.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start(spec: TargetSpec) -> io::Result<Self> {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born_ms = u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(0);
        let state = State {
            faults: TargetFaults::default(),
            delay: spec.delay,
            version: 1,
            loading: None,
            orders: 0,
            seen: Vec::new(),
            runs: Vec::new(),
            running: BTreeMap::new(),
            next_run: 0,
            leaving: false,
        };
        let beats = AtomicU64::new(0);
        let shared = Arc::new(Shared { spec, born_ms, beats, state: Mutex::new(state) });
        let server = Server::start(Arc::new(Arc::clone(&shared))).await?;
        Ok(Self { server, shared })
    }

    /// Tells where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Tells its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.shared.spec.id
    }

    /// Whether it generates with a model.
    #[must_use]
    pub fn is_engine(&self) -> bool {
        self.shared.spec.model.is_some()
    }

    /// Writes a heartbeat.
    pub fn send_heartbeat(&self, store: &StoreStandin) {
        store.put("keyed.servers", &self.shared.spec.id, Some(&self.heartbeat()));
    }

    /// Gives what a heartbeat says.
    #[must_use]
    pub fn heartbeat(&self) -> Value {
        let mut state = lock(&self.shared.state);
        state.settle();
        let models: Vec<_> = self.shared.models(&state);
        json!({
            "service": self.shared.spec.service, "address": self.addr().to_string(),
            "zone": "z1", "version": "v1", "slot_count": 8,
            "state": if state.leaving { "draining" } else { "ready" },
            "cold_left_ms": 0, "stage": "hybrid", "models": models,
            "sequence": self.shared.beats.fetch_add(1, Ordering::Relaxed),
            "born": self.shared.born_ms,
        })
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: TargetFaults) {
        lock(&self.shared.state).faults = faults;
    }

    /// Sets the time for an event, or for a plain request, from now on.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.state).delay = delay;
    }

    /// Says in its heartbeats from now on that it is about to go.
    pub fn set_leaving(&self) {
        lock(&self.shared.state).leaving = true;
    }

    /// Lists the requests that ran here.
    #[must_use]
    pub fn runs(&self) -> Vec<RequestRun> {
        lock(&self.shared.state).runs.clone()
    }

    /// Lists the orders that came.
    #[must_use]
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        lock(&self.shared.state).seen.clone()
    }

    /// Tells the version that it generates with.
    #[must_use]
    pub fn version(&self) -> u64 {
        let mut state = lock(&self.shared.state);
        state.settle();
        state.version
    }

    /// Lists the requests that run here now.
    #[must_use]
    pub fn running(&self) -> Vec<String> {
        lock(&self.shared.state).running.values().cloned().collect()
    }

    /// Counts the connections that were opened to it.
    #[must_use]
    pub fn connection_count(&self) -> u64 {
        self.server.connection_count()
    }

    /// Stops at once, with all of its connections.
    pub fn crash(&self) {
        self.server.crash();
    }
}

impl State {
    /// Puts a loaded version in use when its time has come.
    fn settle(&mut self) {
        if let Some((version, _)) = self.loading.filter(|(_, at)| Instant::now() >= *at) {
            self.version = version;
            self.loading = None;
        }
    }
}

impl Shared {
    fn models(&self, state: &State) -> Vec<Value> {
        let model = |name: &String| json!({"name": name, "version": state.version, "adapters": []});
        self.spec.model.iter().map(model).collect()
    }

    fn report(&self) -> Reply {
        let mut state = lock(&self.state);
        state.settle();
        let busy = state.loading.is_some();
        Reply::Json(
            200,
            json!({
                "stage": "hybrid", "models": self.models(&state), "busy": busy,
                "sequence": state.orders, "num_waiting": 0, "num_running": state.running.len(),
                "kv_used": 0, "kv_total": 1, "handle_count": 0,
            }),
        )
    }

    fn order(self: &Arc<Self>, request: &Request<Bytes>) -> Reply {
        let Ok(order) = serde_json::from_slice::<Order>(request.body()) else {
            return Reply::Json(400, json!({}));
        };
        let late = lock(&self.state).faults.order_delay;
        let seen = ReceivedOrder {
            holder: order.holder.clone(),
            fence: order.fence,
            version: order.version,
            received: Instant::now(),
            engine: self.spec.id.clone(),
        };
        lock(&self.state).seen.push(seen);
        let Some(late) = late else {
            return Reply::Json(self.carry_out(&order), json!({}));
        };
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            sleep(late).await;
            shared.carry_out(&order);
        });
        Reply::Hang
    }

    fn carry_out(&self, order: &Order) -> u16 {
        let mut state = lock(&self.state);
        state.settle();
        if order.precondition.is_some_and(|orders| orders != state.orders) {
            return 409;
        }
        if state.loading.is_some() {
            return 409;
        }
        if state.version == order.version {
            return 200;
        }
        state.orders += 1;
        state.loading = Some((order.version, Instant::now() + LOAD_TIME));
        202
    }

    async fn run(self: &Arc<Self>, request: Request<Bytes>) -> Reply {
        let text = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let number = |name: &str| text(name).and_then(|value| value.parse::<u64>().ok());
        let id = text("attempt-id").unwrap_or_default();
        if text("expect-instance").is_some_and(|expected| expected != self.spec.id) {
            let headers = vec![("instance-id", self.spec.id.clone())];
            return Reply::Bytes(421, headers, Bytes::new());
        }
        let faults = lock(&self.state).faults.clone();
        if faults.response == ResponseFault::Busy {
            return Reply::Bytes(503, vec![("not-run", "1".to_owned())], Bytes::new());
        }
        let after = number("last-event-id");
        let run = self.begin(RequestRun {
            id: id.clone(),
            path: request.uri().to_string(),
            started: Instant::now(),
            timeout_ms: number("deadline-ms"),
            last_event_id: after,
        });
        let echoed = if faults.response == ResponseFault::WrongId {
            "another".to_owned()
        } else {
            id.clone()
        };
        let mut headers = vec![
            ("attempt-id", echoed.clone()),
            ("response-stamp", format!("stamp-{echoed}")),
            ("server-load", format!("{},0,8", lock(&self.state).running.len())),
        ];
        if faults.response == ResponseFault::Hang {
            return Reply::Hang;
        }
        self.sleep_delay().await;
        if faults.response == ResponseFault::Error || faults.failing_ids.contains(&id) {
            return Reply::Bytes(500, headers, Bytes::from_static(b"failed"));
        }
        if self.spec.model.is_none() {
            drop(run);
            return Reply::Bytes(200, headers, Bytes::from(format!("done {echoed}")));
        }
        headers.push(("weight-versions", lock(&self.state).version.to_string()));
        headers.push(("content-type", "text/event-stream".to_owned()));
        let (tx, rx) = mpsc::channel(4);
        let first = after.map_or(FIRST_EVENT, |after| after + 1);
        tokio::spawn(Arc::clone(self).stream(run, first, faults.reset_after_events, tx));
        Reply::StreamWith(headers, rx)
    }

    async fn stream(
        self: Arc<Self>,
        run: Running,
        first: u64,
        reset_after_events: Option<u64>,
        tx: mpsc::Sender<io::Result<Bytes>>,
    ) {
        for (sent, number) in (first..self.spec.events).enumerate() {
            if reset_after_events.is_some_and(|most| sent as u64 >= most) {
                let _ = tx.send(Err(io::ErrorKind::ConnectionReset.into())).await;
                return;
            }
            self.sleep_delay().await;
            let event = format!("id: {number}\ndata: piece {number} of {}\n\n", run.id);
            if tx.send(Ok(event.into())).await.is_err() {
                return;
            }
        }
    }

    async fn sleep_delay(&self) {
        let delay = lock(&self.state).delay;
        sleep(delay).await;
    }

    fn begin(self: &Arc<Self>, ran: RequestRun) -> Running {
        let mut state = lock(&self.state);
        state.settle();
        let (number, id) = (state.next_run, ran.id.clone());
        state.next_run += 1;
        state.running.insert(number, id.clone());
        state.runs.push(ran);
        Running { shared: Arc::clone(self), number, id }
    }
}

/// A request that runs; it ends when dropped.
#[derive(Debug)]
struct Running {
    shared: Arc<Shared>,
    number: u64,
    id: String,
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.shared.state).running.remove(&self.number);
    }
}

#[async_trait]
impl Handler for Arc<Shared> {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/report") => self.report(),
            (&Method::POST, "/v1/order") => self.order(&request),
            _ => self.run(request).await,
        }
    }
}
