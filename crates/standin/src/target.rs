//! A target of the platform: a model engine that streams events and receives
//! orders, or a plain service.

use std::collections::BTreeMap;
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
use crate::ReceivedOrder;
use crate::RepeatedReply;
use crate::Reply;
use crate::RequestRun;
use crate::ResponseFault;
use crate::Server;
use crate::StoreStandin;
use crate::TargetFaults;
use crate::server::lock;

const FIRST_EVENT_ID: u64 = 0;
/// Version of the software of a target for which none was set. Events of others
/// name theirs.
const FIRST_SOFTWARE: &str = "v1";
/// How long a target that crashed takes to start again.
const RESTART_TIME: Duration = Duration::from_millis(400);
/// Time from an accepted order until its version is active.
const LOAD_TIME: Duration = Duration::from_millis(80);

/// A running target.
#[derive(Debug)]
pub struct TargetStandin {
    server: Server,
    shared: Arc<Shared>,
}

/// The configuration of a target.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Id of the target.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// The model of an engine; `None` for a plain service.
    pub model: Option<String>,
    /// Number of events in one generation.
    pub events: u64,
    /// Time taken by an event of an engine, or by a request to a plain service.
    pub delay: Duration,
}

#[derive(Debug)]
struct Shared {
    spec: TargetSpec,
    heartbeat_count: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: TargetFaults,
    /// When it started, in milliseconds of wall-clock time.
    started_ms: u64,
    /// Until when it is down after a crash.
    down_until: Option<Instant>,
    delay: Duration,
    /// Version of its software, which its events name.
    software: String,
    version: u64,
    pending_load: Option<(u64, Instant)>,
    /// Number of accepted orders.
    order_count: u64,
    received_orders: Vec<ReceivedOrder>,
    runs: Vec<RequestRun>,
    /// Ids of the running requests, by the number of the run.
    running: BTreeMap<u64, String>,
    next_run: u64,
    /// Number of requests that arrived.
    arrivals: u64,
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
    /// Starts a target; it is listed from its first heartbeat on.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(spec: TargetSpec) -> io::Result<Self> {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let started_ms = u64::try_from(since_epoch.unwrap_or_default().as_millis()).unwrap_or(0);
        let state = State {
            faults: TargetFaults::default(),
            started_ms,
            down_until: None,
            delay: spec.delay,
            software: FIRST_SOFTWARE.to_owned(),
            version: 1,
            pending_load: None,
            order_count: 0,
            received_orders: Vec::new(),
            runs: Vec::new(),
            running: BTreeMap::new(),
            next_run: 0,
            arrivals: 0,
            leaving: false,
        };
        let heartbeat_count = AtomicU64::new(0);
        let shared = Arc::new(Shared { spec, heartbeat_count, state: Mutex::new(state) });
        let server = Server::start(Arc::new(Arc::clone(&shared))).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.shared.spec.id
    }

    /// Returns whether it is an engine, not a plain service.
    #[must_use]
    pub fn is_engine(&self) -> bool {
        self.shared.spec.model.is_some()
    }

    /// Writes a heartbeat to the store.
    pub fn send_heartbeat(&self, store: &StoreStandin) {
        if !lock(&self.shared.state).is_down() {
            store.put("keyed.servers", &self.shared.spec.id, Some(&self.heartbeat()));
        }
    }

    /// Returns the next heartbeat.
    #[must_use]
    pub fn heartbeat(&self) -> Value {
        let mut state = lock(&self.shared.state);
        state.finish_load();
        let models: Vec<_> = self.shared.models(&state);
        json!({
            "service": self.shared.spec.service, "address": self.addr().to_string(),
            "zone": "z1", "version": state.software, "slot_count": 8,
            "state": if state.leaving { "draining" } else { "ready" },
            "cold_left_ms": 0, "stage": "hybrid", "models": models,
            "sequence": self.shared.heartbeat_count.fetch_add(1, Ordering::Relaxed),
            "born": state.started_ms,
        })
    }

    /// Returns whether it has crashed and not started again yet.
    #[must_use]
    pub fn is_down(&self) -> bool {
        lock(&self.shared.state).is_down()
    }

    /// Sets the faults to inject from now on.
    pub fn set_faults(&self, faults: TargetFaults) {
        lock(&self.shared.state).faults = faults;
    }

    /// Sets the time taken by an event, or by a request to a plain service.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.state).delay = delay;
    }

    /// Starts again at once, under the same id, with this version of its
    /// software. Its streams break off.
    pub fn restart_with_software(&self, software: &str) {
        let mut state = lock(&self.shared.state);
        state.started_ms += 1;
        software.clone_into(&mut state.software);
        self.shared.heartbeat_count.store(0, Ordering::Relaxed);
    }

    /// Makes its heartbeats report it as draining from now on.
    pub fn set_leaving(&self) {
        lock(&self.shared.state).leaving = true;
    }

    /// Returns the requests that ran here, in order of arrival.
    #[must_use]
    pub fn runs(&self) -> Vec<RequestRun> {
        lock(&self.shared.state).runs.clone()
    }

    /// Returns the orders that arrived, in order of arrival.
    #[must_use]
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        lock(&self.shared.state).received_orders.clone()
    }

    /// Returns the active version.
    #[must_use]
    pub fn version(&self) -> u64 {
        let mut state = lock(&self.shared.state);
        state.finish_load();
        state.version
    }

    /// Returns the ids of the requests that are running.
    #[must_use]
    pub fn running(&self) -> Vec<String> {
        lock(&self.shared.state).running.values().cloned().collect()
    }

    /// Number of connections opened to it so far.
    #[must_use]
    pub fn connection_count(&self) -> u64 {
        self.server.connection_count()
    }

    /// Stops the server at once and drops all of its connections.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Ends it with all of its connections; it is back after a moment, as a new incarnation.
    pub fn crash_and_restart(&self) {
        lock(&self.shared.state).crash();
        self.shared.heartbeat_count.store(0, Ordering::Relaxed);
        self.server.restart_after(RESTART_TIME);
    }
}

impl State {
    /// What its events end with.
    fn software_suffix(&self) -> String {
        if self.software == FIRST_SOFTWARE {
            return String::new();
        }
        format!(" by {}", self.software)
    }

    fn count_arrival(&mut self) -> u64 {
        self.arrivals += 1;
        self.arrivals
    }

    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Crashes; the next heartbeat is that of a new incarnation.
    fn crash(&mut self) {
        self.started_ms += 1;
        self.down_until = Some(Instant::now() + RESTART_TIME);
    }

    /// Activates the version of a pending load once its time is over.
    fn finish_load(&mut self) {
        if let Some((version, _)) = self.pending_load.filter(|(_, done)| Instant::now() >= *done) {
            self.version = version;
            self.pending_load = None;
        }
    }
}

impl Shared {
    fn models(&self, state: &State) -> Vec<Value> {
        let model = |name: &String| json!({"name": name, "version": state.version, "adapters": []});
        self.spec.model.iter().map(model).collect()
    }

    fn report_load(&self) -> Reply {
        let mut state = lock(&self.state);
        state.finish_load();
        let busy = state.pending_load.is_some();
        Reply::Json(
            200,
            json!({
                "stage": "hybrid", "models": self.models(&state), "busy": busy,
                "sequence": state.order_count, "num_waiting": 0, "num_running": state.running.len(),
                "kv_used": 0, "kv_total": 1, "handle_count": 0, "born": state.started_ms,
            }),
        )
    }

    fn handle_order(self: &Arc<Self>, request: &Request<Bytes>) -> Reply {
        let Ok(order) = serde_json::from_slice::<Order>(request.body()) else {
            return Reply::Json(400, json!({}));
        };
        let (delay, refused_orders) = {
            let faults = &lock(&self.state).faults;
            (faults.order_delay, faults.refused_orders)
        };
        let received = ReceivedOrder {
            holder: order.holder.clone(),
            fence: order.fence,
            version: order.version,
            received: Instant::now(),
            engine: self.spec.id.clone(),
        };
        let order_count = {
            let mut state = lock(&self.state);
            state.received_orders.push(received);
            state.received_orders.len()
        };
        if order_count <= refused_orders {
            return Reply::Json(409, json!({}));
        }
        let Some(delay) = delay else {
            return Reply::Json(self.execute(&order), json!({}));
        };
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            sleep(delay).await;
            shared.execute(&order);
        });
        Reply::Hang
    }

    /// Executes an order and returns the response status.
    fn execute(&self, order: &Order) -> u16 {
        let mut state = lock(&self.state);
        state.finish_load();
        if order.precondition.is_some_and(|count| count != state.order_count) {
            return 409;
        }
        if state.pending_load.is_some() {
            return 409;
        }
        if state.version == order.version {
            return 200;
        }
        state.order_count += 1;
        state.pending_load = Some((order.version, Instant::now() + LOAD_TIME));
        202
    }

    async fn handle_request(self: &Arc<Self>, request: Request<Bytes>) -> Reply {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let number = |name: &str| header(name).and_then(|value| value.parse::<u64>().ok());
        let id = header("attempt-id").unwrap_or_default();
        if header("expect-instance").is_some_and(|expected| expected != self.spec.id) {
            let headers = vec![("instance-id", self.spec.id.clone())];
            return Reply::Bytes(421, headers, Bytes::new());
        }
        let faults = lock(&self.state).faults.clone();
        let arrived = lock(&self.state).count_arrival();
        let refused = faults.refuse_every.is_some_and(|every| arrived.is_multiple_of(every));
        if refused || faults.response == ResponseFault::Busy {
            return faults.refusal.reply(id);
        }
        let run = self.start_run(RequestRun {
            id: id.clone(),
            path: request.uri().to_string(),
            started: Instant::now(),
            timeout_ms: number("deadline-ms"),
            last_event_id: number("last-event-id"),
            headers: request.headers().clone(),
        });
        let crashes = faults.crashing_bodies.iter().any(|body| body.as_bytes() == request.body());
        if crashes || faults.crashing_ids.contains(&id) {
            self.sleep_delay().await;
            lock(&self.state).crash();
            self.heartbeat_count.store(0, Ordering::Relaxed);
            return Reply::Crash(RESTART_TIME);
        }
        let echoed = if faults.response == ResponseFault::WrongId {
            "another".to_owned()
        } else {
            id.clone()
        };
        if faults.response == ResponseFault::Reset {
            return Reply::Reset;
        }
        let mut headers = vec![
            ("attempt-id", echoed.clone()),
            ("response-stamp", format!("stamp-{echoed}")),
            ("server-load", format!("{},0,8", lock(&self.state).running.len())),
        ];
        if faults.states_leaving {
            headers.push(("server-leaving", "1".to_owned()));
        }
        headers.extend(faults.rate_limit.map(|rate| ("server-limit", rate.to_string())));
        if faults.response == ResponseFault::Hang {
            return Reply::Hang;
        }
        self.sleep_delay().await;
        if faults.response == ResponseFault::Error || faults.failing_ids.contains(&id) {
            return Reply::Bytes(500, headers, Bytes::from_static(b"failed"));
        }
        if let ResponseFault::Status(status) = faults.response {
            return Reply::Bytes(status, headers, Bytes::from_static(b"no result"));
        }
        if self.spec.model.is_none() {
            drop(run);
            return match faults.large_body {
                Some(large) => large.reply(headers),
                None => Reply::Bytes(200, headers, Bytes::from(format!("done {echoed}"))),
            };
        }
        headers.push(("weight-versions", lock(&self.state).version.to_string()));
        headers.push(("content-type", "text/event-stream".to_owned()));
        let (tx, rx) = mpsc::channel(4);
        let first = number("last-event-id").map_or(FIRST_EVENT_ID, |id| id + 1);
        tokio::spawn(Arc::clone(self).stream(run, first, faults.reset_after_events, tx));
        Reply::StreamWith(headers, rx)
    }

    async fn stream(
        self: Arc<Self>,
        run: ActiveRun,
        first: u64,
        reset_after_events: Option<u64>,
        tx: mpsc::Sender<io::Result<Bytes>>,
    ) {
        let (incarnation, suffix) = {
            let state = lock(&self.state);
            (state.started_ms, state.software_suffix())
        };
        for (sent, number) in (first..self.spec.events).enumerate() {
            if reset_after_events.is_some_and(|limit| sent as u64 >= limit) {
                let _ = tx.send(Err(io::ErrorKind::ConnectionReset.into())).await;
                return;
            }
            self.sleep_delay().await;
            if lock(&self.state).started_ms != incarnation {
                let _ = tx.send(Err(io::ErrorKind::ConnectionReset.into())).await;
                return;
            }
            let event = format!("id: {number}\ndata: piece {number} of {}{suffix}\n\n", run.id);
            if tx.send(Ok(event.into())).await.is_err() {
                return;
            }
        }
    }

    /// Waits for the time taken by an event or a request.
    async fn sleep_delay(&self) {
        let delay = lock(&self.state).delay;
        sleep(delay).await;
    }

    fn start_run(self: &Arc<Self>, run: RequestRun) -> ActiveRun {
        let mut state = lock(&self.state);
        state.finish_load();
        let (number, id) = (state.next_run, run.id.clone());
        state.next_run += 1;
        state.running.insert(number, id.clone());
        state.runs.push(run);
        ActiveRun { shared: Arc::clone(self), number, id }
    }
}

/// A running request; it ends when dropped.
#[derive(Debug)]
struct ActiveRun {
    shared: Arc<Shared>,
    number: u64,
    id: String,
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        lock(&self.shared.state).running.remove(&self.number);
    }
}

#[async_trait]
impl Handler for Arc<Shared> {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        if lock(&self.state).faults.silent {
            return Reply::Hang;
        }
        if lock(&self.state).is_down() {
            return Reply::Reset;
        }
        let repeated = lock(&self.state).faults.repeated;
        let (kind, reply) = match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/report") => (RepeatedReply::Reports, self.report_load()),
            (&Method::POST, "/v1/order") => return self.handle_order(&request),
            _ => match self.handle_request(request).await {
                reply @ Reply::Bytes(421 | 503, ..) => (RepeatedReply::Refusals, reply),
                reply => (RepeatedReply::Answers, reply),
            },
        };
        if repeated == Some(kind) { Reply::Twice(Box::new(reply)) } else { reply }
    }
}
