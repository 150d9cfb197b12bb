//! A model engine: slots, priorities with preemption, a version reported with
//! each span of tokens, orders with fencing tokens, and failing activations.

use std::cmp::Reverse;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_clients::LoadReport;
use cassia_clients::Order;
use cassia_clients::OrderKind;
use cassia_ids::Fence;
use cassia_ids::ModelName;
use cassia_ids::Version;
use http::Request;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::Handler;
use crate::Reply;
use crate::Server;
use crate::server::Chunk;
use crate::server::lock;

/// Number of tokens in one event.
const TOKENS_PER_EVENT: u64 = 4;
/// Requests of at least this priority are reported as callers' requests.
const MIN_CALLER_PRIORITY: u64 = 101;

/// The configuration of an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// The model that it serves.
    pub model: ModelName,
    /// The version that is active at its start.
    pub version: Version,
    /// Number of requests that it runs at once.
    pub slots: usize,
    /// Time taken by one token, in microseconds.
    pub token_us: u64,
    /// How long an activation stops it from generating, in milliseconds.
    pub activation_ms: u64,
    /// Whether it refuses an order with an outdated fencing token.
    pub checks_fence: bool,
    /// Address of the weight store; without one, staging fetches nothing.
    pub weight_store: Option<SocketAddr>,
}

/// The faults to inject into an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineFaults {
    /// Streams are reset after this many tokens.
    pub reset_after_tokens: Option<u64>,
    /// Streams send nothing more after this many tokens, and stay open.
    pub hang_after_tokens: Option<u64>,
    /// Streams carry the id of another request.
    pub wrong_id: bool,
    /// Activations fail partway: the version is unknown until the next one.
    pub activation_fails: bool,
    /// Orders take effect, but the connection is reset instead of a response.
    pub drop_order_responses: bool,
}

/// A running engine.
#[derive(Debug)]
pub struct EngineStandin {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    spec: EngineSpec,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    faults: EngineFaults,
    /// `None` after an activation that failed.
    version: Option<Version>,
    staged: Option<Version>,
    activating: bool,
    fence: Fence,
    next_seq: u64,
    running: Vec<QueuedRequest>,
    waiting: Vec<QueuedRequest>,
    /// All accepted orders, in order of arrival.
    orders: Vec<Order>,
    request_count: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct QueuedRequest {
    /// Order of arrival.
    seq: u64,
    priority: u64,
}

impl EngineStandin {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(spec: EngineSpec) -> io::Result<Self> {
        let state = State { version: Some(spec.version), ..State::default() };
        let shared = Arc::new(Shared { spec, state: Mutex::new(state), changed: Notify::new() });
        let handler = Arc::new(EngineHandler(Arc::clone(&shared)));
        Ok(Self { server: Server::start(handler).await?, shared })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the faults to inject from now on.
    pub fn set_faults(&self, faults: EngineFaults) {
        lock(&self.shared.state).faults = faults;
    }

    /// Stops the server at once and drops all of its connections.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Returns the active version; `None` after an activation that failed.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        lock(&self.shared.state).version
    }

    /// Returns the accepted orders, in order of arrival.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        lock(&self.shared.state).orders.clone()
    }

    /// Number of generation requests that arrived.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        lock(&self.shared.state).request_count
    }
}

#[derive(Debug)]
struct EngineHandler(Arc<Shared>);

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        match request.uri().path() {
            "/load" => self.0.report_load(),
            "/orders" => self.0.handle_order(request.body()).await,
            "/v1/completions" => self.generate(request.body()),
            _ => Reply::Json(404, json!({"error": "no such path"})),
        }
    }
}

impl EngineHandler {
    fn generate(&self, body: &Bytes) -> Reply {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        if body["model"].as_str() != Some(self.0.spec.model.as_str()) {
            let error = json!({"error": "no such model"}).to_string();
            let not_run = vec![("cassia-not-run", "1".to_owned())];
            return Reply::Bytes(404, not_run, Bytes::from(error));
        }
        let (tx, rx) = mpsc::channel(1);
        let shared = Arc::clone(&self.0);
        tokio::spawn(async move { shared.generate(&body, &tx).await });
        Reply::Stream(rx)
    }
}

impl Shared {
    fn report_load(&self) -> Reply {
        let state = lock(&self.state);
        let all = || state.running.iter().chain(&state.waiting);
        let callers = all().filter(|req| req.priority >= MIN_CALLER_PRIORITY).count();
        let load = LoadReport {
            requests: u32::try_from(all().count()).unwrap_or(u32::MAX),
            callers: u32::try_from(callers).unwrap_or(u32::MAX),
            slots: u32::try_from(self.spec.slots).unwrap_or(u32::MAX),
            version: state.version.filter(|_| !state.activating),
            staged: state.staged,
            age_ms: 0,
        };
        Reply::Json(200, serde_json::to_value(load).unwrap_or_default())
    }

    async fn handle_order(&self, body: &Bytes) -> Reply {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return Reply::Json(400, json!({"error": "not an order"}));
        };
        {
            let mut state = lock(&self.state);
            if self.spec.checks_fence && order.fence < state.fence {
                return Reply::Json(409, json!({"error": "old fence", "fence": state.fence}));
            }
            state.fence = state.fence.max(order.fence);
            state.orders.push(order.clone());
        }
        let succeeded = match order.kind {
            OrderKind::Stage => self.stage(order.version).await,
            OrderKind::Activate => self.activate(order.version).await,
        };
        let drop_response = lock(&self.state).faults.drop_order_responses;
        match (succeeded, drop_response) {
            (_, true) => Reply::Reset,
            (true, false) => Reply::Json(200, json!({})),
            (false, false) => Reply::Json(500, json!({"error": "failed partway"})),
        }
    }

    async fn stage(&self, version: Version) -> bool {
        if let Some(addr) = self.spec.weight_store {
            let client: Client<_, Empty<Bytes>> =
                Client::builder(TokioExecutor::new()).build_http();
            let Ok(uri) = format!("http://{addr}/fetch").parse() else {
                return false;
            };
            if client.get(uri).await.is_err() {
                return false;
            }
        }
        lock(&self.state).staged = Some(version);
        true
    }

    async fn activate(&self, version: Version) -> bool {
        {
            let mut state = lock(&self.state);
            if state.staged != Some(version) {
                return false;
            }
            state.activating = true;
        }
        sleep(Duration::from_millis(self.spec.activation_ms)).await;
        let mut state = lock(&self.state);
        state.activating = false;
        if state.faults.activation_fails {
            state.version = None;
            return false;
        }
        state.version = Some(version);
        self.changed.notify_waiters();
        true
    }

    async fn generate(&self, body: &Value, tx: &mpsc::Sender<Chunk>) {
        let extension = &body["cassia"];
        let priority = extension["priority"].as_u64().unwrap_or(0);
        let generated = extension["tokens_so_far"].as_u64().unwrap_or(0);
        let max_tokens = body["max_tokens"].as_u64().unwrap_or(0);
        let Some(req) = self.wait_for_slot(priority, tx).await else {
            return;
        };
        self.send_events(body, req, generated..max_tokens, tx).await;
        lock(&self.state).running.retain(|r| *r != req);
        self.changed.notify_waiters();
    }

    /// Waits for a slot; a request may preempt one of lower priority. Returns
    /// `None` if the caller goes away first.
    async fn wait_for_slot(
        &self,
        priority: u64,
        tx: &mpsc::Sender<Chunk>,
    ) -> Option<QueuedRequest> {
        let req = {
            let mut state = lock(&self.state);
            let req = QueuedRequest { seq: state.next_seq, priority };
            state.next_seq += 1;
            state.request_count += 1;
            state.waiting.push(req);
            req
        };
        loop {
            let changed = self.changed.notified();
            if lock(&self.state).admit(req, self.spec.slots) {
                return Some(req);
            }
            tokio::select! {
                () = changed => {}
                () = tx.closed() => {
                    lock(&self.state).waiting.retain(|r| *r != req);
                    return None;
                }
            }
        }
    }

    /// Sends the tokens with these indices as events, then the end marker.
    async fn send_events(
        &self,
        body: &Value,
        req: QueuedRequest,
        tokens: Range<u64>,
        tx: &mpsc::Sender<Chunk>,
    ) {
        let id = body["cassia"]["request_id"].as_str().unwrap_or_default();
        let mut done = tokens.start;
        while done < tokens.end {
            let count = TOKENS_PER_EVENT.min(tokens.end - done);
            // The timer has a resolution of a millisecond: without a token
            // time, don't sleep at all.
            if self.spec.token_us > 0 {
                sleep(Duration::from_micros(self.spec.token_us * count)).await;
            }
            let (faults, version, activating, preempted) = {
                let state = lock(&self.state);
                let preempted = !state.running.contains(&req);
                (state.faults, state.version, state.activating, preempted)
            };
            if activating {
                continue;
            }
            if preempted {
                let _ = tx.send(Ok(event(id, "", &json!({"preempted": true})))).await;
                return;
            }
            if faults.reset_after_tokens.is_some_and(|after| done >= after) {
                let _ = tx.send(Err(io::ErrorKind::ConnectionReset.into())).await;
                return;
            }
            if faults.hang_after_tokens.is_some_and(|after| done >= after) {
                tx.closed().await;
                return;
            }
            let id = if faults.wrong_id { "another" } else { id };
            let words: Vec<_> = (done..done + count).map(|i| format!("t{i}")).collect();
            let text = words.join(" ") + " ";
            let extension = json!({"tokens": count, "version": version});
            if tx.send(Ok(event(id, &text, &extension))).await.is_err() {
                return;
            }
            done += count;
        }
        let _ = tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
    }
}

impl State {
    /// Moves a waiting request into a slot if it is first in the queue and a
    /// slot is free or held by a request of lower priority, which it preempts.
    fn admit(&mut self, req: QueuedRequest, slots: usize) -> bool {
        let rank = |r: &QueuedRequest| (Reverse(r.priority), r.seq);
        if self.waiting.iter().min_by_key(|r| rank(r)) != Some(&req) {
            return false;
        }
        if self.running.len() >= slots {
            let last = self.running.iter().copied().max_by_key(rank);
            let Some(victim) = last.filter(|r| r.priority < req.priority) else {
                return false;
            };
            self.running.retain(|r| *r != victim);
        }
        self.waiting.retain(|r| *r != req);
        self.running.push(req);
        true
    }
}

fn event(id: &str, text: &str, extension: &Value) -> Bytes {
    let data = json!({"id": id, "choices": [{"text": text}], "cassia": extension});
    Bytes::from(format!("data: {data}\n\n"))
}
