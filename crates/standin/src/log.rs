//! The log service: offsets, an append rate limit, limited retention, outages,
//! and responses that are lost after the append took effect.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_clients::LogPage;
use cassia_clients::LogRecord;
use cassia_ids::Offset;
use http::Method;
use http::Request;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use crate::Handler;
use crate::Reply;
use crate::Server;
use crate::server::lock;

/// Limit of records in the response to one read.
const MAX_RECORDS_PER_READ: usize = 500;
/// Limit of appends per second; more get status 429.
const MAX_APPENDS_PER_SECOND: u32 = 300;

/// A running log service.
#[derive(Debug)]
pub struct LogStandin {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    appended: Notify,
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    down: bool,
    /// Delay of each response, in milliseconds.
    delay_ms: u64,
    /// Number of appends whose responses are still to be dropped.
    drop_append_responses: u32,
    append_count: u64,
    read_count: u64,
    /// Start of the rate limit's current second, and its appends so far.
    rate_window: Option<(Instant, u32)>,
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset of the oldest record kept.
    oldest: Offset,
    records: VecDeque<String>,
}

impl LogStandin {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(Arc::clone(&shared) as _).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Starts or ends an outage, during which requests get no response.
    pub fn set_down(&self, down: bool) {
        lock(&self.shared.state).down = down;
    }

    /// Delays each response by this many milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        lock(&self.shared.state).delay_ms = delay_ms;
    }

    /// Resets the connection instead of responding to the next `count` appends,
    /// which take effect.
    pub fn drop_append_responses(&self, count: u32) {
        lock(&self.shared.state).drop_append_responses = count;
    }

    /// Removes the records of a stream before an offset, as retention does.
    pub fn expire_before(&self, stream: &str, offset: Offset) {
        if let Some(stream) = lock(&self.shared.state).streams.get_mut(stream) {
            while stream.oldest < offset && stream.records.pop_front().is_some() {
                stream.oldest += 1;
            }
        }
    }

    /// Returns the records of a stream that are kept.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<String> {
        let state = lock(&self.shared.state);
        state.streams.get(stream).map_or_else(Vec::new, |s| s.records.iter().cloned().collect())
    }

    /// Number of appends that took effect.
    #[must_use]
    pub fn append_count(&self) -> u64 {
        lock(&self.shared.state).append_count
    }

    /// Number of reads.
    #[must_use]
    pub fn read_count(&self) -> u64 {
        lock(&self.shared.state).read_count
    }
}

impl Shared {
    fn append(&self, stream: &str, body: &Bytes) -> Reply {
        let Ok(Value::Object(body)) = serde_json::from_slice(body) else {
            return Reply::Json(400, json!({"error": "not an object"}));
        };
        let Some(record) = body.get("record").and_then(Value::as_str) else {
            return Reply::Json(400, json!({"error": "no record"}));
        };
        let mut state = lock(&self.state);
        if !state.is_within_rate() {
            return Reply::Json(429, json!({"error": "too many appends"}));
        }
        state.append_count += 1;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        stream.records.push_back(record.to_owned());
        let offset = stream.end() - 1;
        self.appended.notify_waiters();
        if state.drop_append_responses > 0 {
            state.drop_append_responses -= 1;
            return Reply::Reset;
        }
        Reply::Json(200, json!({"offset": offset}))
    }

    async fn read(&self, stream: &str, query: &str) -> Reply {
        let from = query_number(query, "from");
        let deadline = Instant::now() + Duration::from_millis(query_number(query, "wait_ms"));
        lock(&self.state).read_count += 1;
        loop {
            let appended = self.appended.notified();
            let page = lock(&self.state).page(stream, from);
            if !page.records.is_empty() || Instant::now() >= deadline {
                return Reply::Json(200, serde_json::to_value(page).unwrap_or_default());
            }
            tokio::select! {
                () = appended => {}
                () = tokio::time::sleep_until(deadline.into()) => {}
            }
        }
    }
}

impl State {
    /// Counts an append, and returns whether it is within the rate limit.
    fn is_within_rate(&mut self) -> bool {
        let now = Instant::now();
        let (start, count) = self.rate_window.unwrap_or((now, 0));
        let (start, count) =
            if now >= start + Duration::from_secs(1) { (now, 0) } else { (start, count) };
        self.rate_window = Some((start, count + 1));
        count < MAX_APPENDS_PER_SECOND
    }

    fn page(&self, stream: &str, from: Offset) -> LogPage {
        let Some(stream) = self.streams.get(stream) else {
            return LogPage::default();
        };
        let skip = usize::try_from(from.saturating_sub(stream.oldest)).unwrap_or(usize::MAX);
        let offsets = stream.oldest..;
        let records = offsets
            .zip(&stream.records)
            .skip(skip)
            .take(MAX_RECORDS_PER_READ)
            .map(|(offset, record)| LogRecord { offset, record: record.clone() })
            .collect();
        LogPage { oldest: stream.oldest, end: stream.end(), records }
    }
}

impl Stream {
    fn end(&self) -> Offset {
        self.oldest + self.records.len() as Offset
    }
}

/// Returns a query parameter; 0 without a valid one.
fn query_number(query: &str, name: &str) -> u64 {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, v)| v.parse().ok()).unwrap_or(0)
}

#[async_trait]
impl Handler for Shared {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        if lock(&self.state).down {
            return Reply::Hang;
        }
        let delay_ms = lock(&self.state).delay_ms;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let path = request.uri().path();
        let Some(stream) =
            path.strip_prefix("/streams/").and_then(|rest| rest.strip_suffix("/records"))
        else {
            return Reply::Json(404, json!({"error": "no such path"}));
        };
        if request.method() == Method::POST {
            return self.append(stream, request.body());
        }
        self.read(stream, request.uri().query().unwrap_or_default()).await
    }
}
