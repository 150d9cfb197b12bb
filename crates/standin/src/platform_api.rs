//! The platform's own API: reports of usage and orders for targets.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use serde_json::Value;
use serde_json::json;

use crate::Handler;
use crate::Reply;
use crate::Server;
use crate::server::lock;

/// The fault to inject into calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformApiFault {
    /// Nothing.
    #[default]
    None,
    /// The call has no effect and gets no response.
    HangBefore,
    /// The call takes effect and gets no response.
    HangAfter,
    /// The call takes effect, and the connection is closed without a response.
    ResetAfter,
    /// The call has no effect and is answered 503.
    Refuse,
}

/// A call that arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformCall {
    /// When it arrived.
    pub at: Instant,
    /// The path.
    pub path: String,
    /// The host that made it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
    /// The body.
    pub body: Value,
    /// Whether it took effect.
    pub took_effect: bool,
}

/// A service and a data centre.
type Subject = (String, String);

/// The platform's API. Like the platform, it does not reject calls because of their
/// fencing token; it records what they violate.
#[derive(Debug)]
pub struct PlatformApiStandin {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    /// Minimum time between calls of one holder before and after another's.
    lease: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    fault: PlatformApiFault,
    calls: Vec<PlatformCall>,
    violations: Vec<String>,
    reports: BTreeMap<u64, BTreeMap<String, u64>>,
    orders: BTreeMap<(Subject, bool), u64>,
    boot_time: Duration,
    /// Orders with the time from which they are in force.
    due: Vec<(Instant, (Subject, bool), u64)>,
    unavailable: Vec<(Subject, bool)>,
}

impl PlatformApiStandin {
    /// Starts the API, whose holders must not act in turns within a time.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(lease: Duration) -> io::Result<Self> {
        let shared = Arc::new(Shared { lease, state: Mutex::default() });
        let server = Server::start(Arc::clone(&shared) as _).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the fault to inject from now on.
    pub fn set_fault(&self, fault: PlatformApiFault) {
        lock(&self.shared.state).fault = fault;
    }

    /// Sets the time after which ordered targets are there.
    pub fn set_boot_time(&self, boot_time: Duration) {
        lock(&self.shared.state).boot_time = boot_time;
    }

    /// Sets whether targets of one kind are unavailable for a service in a data centre.
    pub fn set_unavailable(&self, service: &str, data_centre: &str, spot: bool, is: bool) {
        let key = ((service.to_owned(), data_centre.to_owned()), spot);
        let mut state = lock(&self.shared.state);
        state.unavailable.retain(|other| *other != key);
        if is {
            state.unavailable.push(key);
        }
    }

    /// Returns the calls that arrived, in order.
    #[must_use]
    pub fn calls(&self) -> Vec<PlatformCall> {
        lock(&self.shared.state).calls.clone()
    }

    /// Returns what the calls violated.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        lock(&self.shared.state).violations.clone()
    }

    /// Returns the first report of each window.
    #[must_use]
    pub fn reports(&self) -> BTreeMap<u64, BTreeMap<String, u64>> {
        lock(&self.shared.state).reports.clone()
    }

    /// Returns the ordered number of targets of a kind, once they are there.
    #[must_use]
    pub fn target_count(&self, service: &str, data_centre: &str, spot: bool) -> Option<u64> {
        let mut state = lock(&self.shared.state);
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut state.due).into_iter().partition(|d| d.0 <= now);
        state.due = later;
        let due: Vec<_> = due;
        state.orders.extend(due.into_iter().map(|(_, key, count)| (key, count)));
        let key = ((service.to_owned(), data_centre.to_owned()), spot);
        state.orders.get(&key).copied()
    }
}

impl State {
    /// Checks a call against the earlier ones on the same subject.
    fn check(&mut self, call: &PlatformCall, lease: Duration) {
        let subject = |call: &PlatformCall| match call.path.as_str() {
            "/scale" => format!("{} {}", call.body["service"], call.body["zone"]),
            path => path.to_owned(),
        };
        let name = subject(call);
        let before: Vec<_> = self.calls.iter().filter(|earlier| subject(earlier) == name).collect();
        let mut violations = Vec::new();
        if before.iter().any(|earlier| earlier.fence > call.fence) {
            violations.push(format!("{name}: fence fell to {}: {call:?}", call.fence));
        }
        if before.iter().any(|c| c.fence == call.fence && c.holder != call.holder) {
            violations.push(format!("{name}: two holders use fence {}: {call:?}", call.fence));
        }
        let other = before.iter().rposition(|earlier| earlier.holder != call.holder);
        let returned = other.and_then(|other| {
            before[..other].iter().rfind(|earlier| earlier.holder == call.holder)
        });
        if returned.is_some_and(|earlier| call.at - earlier.at < lease) {
            violations.push(format!("{name}: a holder acts again too soon: {call:?}"));
        }
        self.violations.extend(violations);
    }

    /// Carries out a call; returns the status of its response.
    fn apply(&mut self, path: &str, body: &Value, at: Instant) -> u16 {
        match path {
            "/usage" => self.report(body),
            "/scale" => self.order(body, at),
            _ => 404,
        }
    }

    fn report(&mut self, body: &Value) -> u16 {
        let counts = serde_json::from_value(body["alloc_counts"].clone());
        let (Some(window), Ok(counts)) = (body["window_no"].as_u64(), counts) else {
            return 400;
        };
        let known = self.reports.entry(window).or_insert_with(|| BTreeMap::clone(&counts));
        if *known != counts {
            self.violations.push(format!("two reports of window {window}: {known:?} {counts:?}"));
        }
        200
    }

    fn order(&mut self, body: &Value, at: Instant) -> u16 {
        let text = |key: &str| body[key].as_str().map(str::to_owned);
        let (Some(service), Some(zone), Some(count)) =
            (text("service"), text("zone"), body["group_count"].as_u64())
        else {
            return 400;
        };
        let key = ((service, zone), body["spot"].as_bool().unwrap_or(false));
        if self.unavailable.contains(&key) {
            return 409;
        }
        self.due.push((at + self.boot_time, key, count));
        200
    }
}

#[async_trait]
impl Handler for Shared {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        let mut state = lock(&self.state);
        let fault = state.fault;
        let mut call = PlatformCall {
            at: Instant::now(),
            path: request.uri().path().to_owned(),
            holder: header("duty-holder").to_owned(),
            fence: header("fence-token").parse().unwrap_or(0),
            body: serde_json::from_slice(request.body()).unwrap_or_default(),
            took_effect: !matches!(fault, PlatformApiFault::HangBefore | PlatformApiFault::Refuse),
        };
        state.check(&call, self.lease);
        let mut status = 503;
        if call.took_effect {
            status = state.apply(&call.path, &call.body, call.at);
            call.took_effect = status == 200;
        }
        state.calls.push(call);
        match fault {
            PlatformApiFault::HangBefore | PlatformApiFault::HangAfter => Reply::Hang,
            PlatformApiFault::ResetAfter => Reply::Reset,
            PlatformApiFault::None | PlatformApiFault::Refuse => Reply::Json(status, json!({})),
        }
    }
}
