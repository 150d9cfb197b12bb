//! A model engine: slots, priorities with preemption, a version reported with
//! each span of tokens, orders under fencing numbers, and swaps that fail.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_ids::Fence;
use cassia_ids::ModelName;
use cassia_ids::Version;
use cassia_platform::LoadReport;
use cassia_platform::Order;
use cassia_platform::OrderKind;
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
use crate::server::Part;
use crate::server::lock;

/// Tokens in one event.
const TOKENS_PER_EVENT: u64 = 4;
/// Requests of at least this priority count as callers'.
const CALLERS_PRIORITY: u64 = 101;

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// The model that it serves.
    pub model: ModelName,
    /// The version that it begins with.
    pub version: Version,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Time for one token, in microseconds.
    pub token_us: u64,
    /// Time in which an activation keeps it from generating, in milliseconds.
    pub activation_ms: u64,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fence: bool,
    /// Where it fetches weights.
    pub weight_store: Option<SocketAddr>,
}

/// What goes wrong with an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineFaults {
    /// Streams are cut off after this many tokens.
    pub reset_after_tokens: Option<u64>,
    /// Streams fall silent after this many tokens.
    pub hang_after_tokens: Option<u64>,
    /// Streams carry another request's id.
    pub wrong_id: bool,
    /// Activations fail partway: the version is unsure until the next one.
    pub activation_fails: bool,
    /// Orders take effect and their answers are lost.
    pub drop_order_responses: bool,
}

/// An engine.
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
    /// None in the middle of a swap, or after one that failed.
    version: Option<Version>,
    staged: Option<Version>,
    swapping: bool,
    fence: Fence,
    next_ticket: u64,
    running: Vec<Slot>,
    waiting: Vec<Slot>,
    /// Every order that took effect.
    orders: Vec<Order>,
    request_count: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Slot {
    ticket: u64,
    priority: u64,
}

impl EngineStandin {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start(spec: EngineSpec) -> io::Result<Self> {
        let state = State { version: Some(spec.version), ..State::default() };
        let shared = Arc::new(Shared { spec, state: Mutex::new(state), changed: Notify::new() });
        let handler = Arc::new(Front(Arc::clone(&shared)));
        Ok(Self { server: Server::start(handler).await?, shared })
    }

    /// Tells where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: EngineFaults) {
        lock(&self.shared.state).faults = faults;
    }

    /// Stops at once, with all of its connections.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Tells the version; none in the middle of a swap or after a failed one.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        lock(&self.shared.state).version
    }

    /// Gives the orders that took effect, in their order.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        lock(&self.shared.state).orders.clone()
    }

    /// Counts the requests that began.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        lock(&self.shared.state).request_count
    }
}

#[derive(Debug)]
struct Front(Arc<Shared>);

#[async_trait]
impl Handler for Front {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        match request.uri().path() {
            "/load" => self.0.load(),
            "/orders" => self.0.order(request.body()).await,
            "/v1/completions" => self.generate(request.body()),
            _ => Reply::Json(404, json!({"error": "no such path"})),
        }
    }
}

impl Front {
    fn generate(&self, body: &Bytes) -> Reply {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        if body["model"].as_str() != Some(self.0.spec.model.as_str()) {
            let refusal = json!({"error": "no such model"}).to_string();
            let not_run = vec![("cassia-not-run", "1".to_owned())];
            return Reply::Bytes(404, not_run, Bytes::from(refusal));
        }
        let (tx, rx) = mpsc::channel(1);
        let shared = Arc::clone(&self.0);
        tokio::spawn(async move { shared.stream(&body, &tx).await });
        Reply::Stream(rx)
    }
}

impl Shared {
    fn load(&self) -> Reply {
        let state = lock(&self.state);
        let all = || state.running.iter().chain(&state.waiting);
        let callers = all().filter(|s| s.priority >= CALLERS_PRIORITY).count();
        let load = LoadReport {
            requests: u32::try_from(all().count()).unwrap_or(u32::MAX),
            callers: u32::try_from(callers).unwrap_or(u32::MAX),
            slots: u32::try_from(self.spec.slots).unwrap_or(u32::MAX),
            version: state.version.filter(|_| !state.swapping),
            staged: state.staged,
            age_ms: 0,
        };
        Reply::Json(200, serde_json::to_value(load).unwrap_or_default())
    }

    async fn order(&self, body: &Bytes) -> Reply {
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
        let done = match order.kind {
            OrderKind::Stage => self.stage(order.version).await,
            OrderKind::Activate => self.activate(order.version).await,
        };
        let lost = lock(&self.state).faults.drop_order_responses;
        match (done, lost) {
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
            state.swapping = true;
        }
        sleep(Duration::from_millis(self.spec.activation_ms)).await;
        let mut state = lock(&self.state);
        state.swapping = false;
        if state.faults.activation_fails {
            state.version = None;
            return false;
        }
        state.version = Some(version);
        self.changed.notify_waiters();
        true
    }

    async fn stream(&self, body: &Value, tx: &mpsc::Sender<Part>) {
        let extension = &body["cassia"];
        let priority = extension["priority"].as_u64().unwrap_or(0);
        let so_far = extension["tokens_so_far"].as_u64().unwrap_or(0);
        let most = body["max_tokens"].as_u64().unwrap_or(0);
        let Some(slot) = self.enter(priority, tx).await else {
            return;
        };
        self.emit(body, slot, so_far, most, tx).await;
        lock(&self.state).running.retain(|s| *s != slot);
        self.changed.notify_waiters();
    }

    /// Waits for a slot; a request of larger priority takes one from a smaller.
    async fn enter(&self, priority: u64, tx: &mpsc::Sender<Part>) -> Option<Slot> {
        let slot = {
            let mut state = lock(&self.state);
            let slot = Slot { ticket: state.next_ticket, priority };
            state.next_ticket += 1;
            state.request_count += 1;
            state.waiting.push(slot);
            slot
        };
        loop {
            let changed = self.changed.notified();
            if lock(&self.state).admit(slot, self.spec.slots) {
                return Some(slot);
            }
            tokio::select! {
                () = changed => {}
                () = tx.closed() => {
                    lock(&self.state).waiting.retain(|s| *s != slot);
                    return None;
                }
            }
        }
    }

    async fn emit(
        &self,
        body: &Value,
        slot: Slot,
        so_far: u64,
        most: u64,
        tx: &mpsc::Sender<Part>,
    ) {
        let id = body["cassia"]["request_id"].as_str().unwrap_or_default();
        let mut done = so_far;
        while done < most {
            let count = TOKENS_PER_EVENT.min(most - done);
            // The timer's own step is a millisecond.
            if self.spec.token_us > 0 {
                sleep(Duration::from_micros(self.spec.token_us * count)).await;
            }
            let (faults, version, swapping, preempted) = {
                let state = lock(&self.state);
                let kept = state.running.contains(&slot);
                (state.faults, state.version, state.swapping, !kept)
            };
            if swapping {
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
    fn admit(&mut self, slot: Slot, slots: usize) -> bool {
        let order = |s: &Slot| (std::cmp::Reverse(s.priority), s.ticket);
        if self.waiting.iter().min_by_key(|s| order(s)) != Some(&slot) {
            return false;
        }
        if self.running.len() >= slots {
            let lowest = self.running.iter().copied().max_by_key(order);
            let Some(lowest) = lowest.filter(|s| s.priority < slot.priority) else {
                return false;
            };
            self.running.retain(|s| *s != lowest);
        }
        self.waiting.retain(|s| *s != slot);
        self.running.push(slot);
        true
    }
}

fn event(id: &str, text: &str, extension: &Value) -> Bytes {
    let data = json!({"id": id, "choices": [{"text": text}], "cassia": extension});
    Bytes::from(format!("data: {data}\n\n"))
}
