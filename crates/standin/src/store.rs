//! The platform's store: topics with partitions, keys, conditions and groups.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use http::Request;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::Handler;
use crate::Reply;
use crate::Server;
use crate::server::lock;

/// What goes wrong with the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// It answers every call with 503.
    pub busy: bool,
    /// It answers no call.
    pub hang: bool,
    /// So many appends are done and not answered.
    pub drop_append_responses: u32,
    /// So many appends are not answered, and done so much later.
    pub delayed_appends: Option<(u32, Duration)>,
}

/// The store.
#[derive(Debug)]
pub struct StoreStandin {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    appended: Notify,
    parts: u32,
}

#[derive(Debug, Default)]
struct State {
    partitions: BTreeMap<(String, u32), Partition>,
    groups: HashMap<String, Group>,
    faults: StoreFaults,
}

#[derive(Debug, Default)]
struct Partition {
    first: u64,
    records: Vec<Bytes>,
    /// The newest record of each key, with its offset.
    newest: BTreeMap<String, (u64, Bytes)>,
}

#[derive(Debug, Default)]
struct Group {
    generation: u64,
    /// Members with the end of their time, in the order of their names.
    members: BTreeMap<String, Instant>,
    /// Moves every partition by so many members.
    shift: usize,
}

#[derive(Deserialize)]
struct Join {
    group_id: String,
    member_id: String,
    topics: Vec<String>,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct Leave {
    group_id: String,
    member_id: String,
}

impl StoreStandin {
    /// Starts a store with so many partitions a topic.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start(parts: u32) -> io::Result<Self> {
        let shared = Arc::new(Shared { parts, ..Shared::default() });
        let server = Server::start(Arc::new(Arc::clone(&shared))).await?;
        Ok(Self { server, shared })
    }

    /// Tells where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: StoreFaults) {
        lock(&self.shared.state).faults = faults;
    }

    /// Writes a key, or drops it without a value, as the platform does itself.
    pub fn put(&self, topic: &str, key: &str, value: Option<&Value>) {
        let value = value.map(Value::to_string).unwrap_or_default();
        self.put_bytes(topic, key, value.as_bytes());
    }

    /// Writes any bytes under a key.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = BytesMut::new();
        record.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        let records = vec![record.freeze()];
        lock(&self.shared.state).append(topic, 0, &records);
        self.shared.appended.notify_waiters();
    }

    /// Appends a record, as another process does.
    pub fn append(&self, topic: &str, partition: u32, record: Bytes) {
        lock(&self.shared.state).append(topic, partition, &[record]);
        self.shared.appended.notify_waiters();
    }

    /// Gives the records of a partition that are still kept.
    #[must_use]
    pub fn records(&self, topic: &str, partition: u32) -> Vec<Bytes> {
        let state = lock(&self.shared.state);
        let found = state.partitions.get(&(topic.to_owned(), partition));
        found.map(|partition| partition.records.clone()).unwrap_or_default()
    }

    /// Drops the records of a partition before an offset.
    pub fn expire_before(&self, topic: &str, partition: u32, offset: u64) {
        let mut state = lock(&self.shared.state);
        let partition = state.partitions.entry((topic.to_owned(), partition)).or_default();
        let gone = offset.saturating_sub(partition.first).min(partition.records.len() as u64);
        partition.records.drain(..usize::try_from(gone).unwrap_or(usize::MAX));
        partition.first += gone;
    }

    /// Deals the partitions of all groups out anew.
    pub fn rebalance(&self) {
        for group in lock(&self.shared.state).groups.values_mut() {
            group.shift += 1;
            group.generation += 1;
        }
    }

    /// Tells which member a partition belongs to.
    #[must_use]
    pub fn owner(&self, group: &str, partition: u32) -> Option<String> {
        let mut state = lock(&self.shared.state);
        let group = state.groups.get_mut(group)?;
        group.drop_silent();
        group.owner(partition).cloned()
    }
}

impl State {
    fn append(&mut self, topic: &str, partition: u32, records: &[Bytes]) -> (u64, u64) {
        let keyed = topic.starts_with("keyed.");
        let partition = self.partitions.entry((topic.to_owned(), partition)).or_default();
        let offset = partition.end();
        for record in records {
            if keyed {
                partition.keep_newest(record.clone());
            }
            partition.records.push(record.clone());
        }
        (offset, partition.end())
    }
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn keep_newest(&mut self, mut record: Bytes) {
        let offset = self.end();
        let len = usize::from(record.get_u8()).min(record.len());
        let key = String::from_utf8_lossy(&record.split_to(len)).into_owned();
        if record.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (offset, record));
        }
    }
}

impl Group {
    fn drop_silent(&mut self) {
        let before = self.members.len();
        let now = Instant::now();
        self.members.retain(|_, until| now < *until);
        if self.members.len() != before {
            self.generation += 1;
        }
    }

    fn owner(&self, partition: u32) -> Option<&String> {
        let count = self.members.len();
        let place = (partition as usize + self.shift).checked_rem(count)?;
        self.members.keys().nth(place)
    }
}

impl Shared {
    fn query<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
        let pairs = request.uri().query().unwrap_or("").split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    fn number(request: &Request<Bytes>, name: &str) -> u64 {
        Self::query(request, name).and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    fn place(request: &Request<Bytes>) -> (String, u32) {
        let topic = Self::query(request, "topic").unwrap_or_default().to_owned();
        (topic, u32::try_from(Self::number(request, "part")).unwrap_or(u32::MAX))
    }

    fn append(self: &Arc<Self>, request: &Request<Bytes>) -> Reply {
        let (topic, part) = Self::place(request);
        let Some(records) = split(request.body().clone()) else {
            return Reply::Json(400, json!({"error": "no records"}));
        };
        let mut state = lock(&self.state);
        if let Some((left, delay)) =
            state.faults.delayed_appends.as_mut().filter(|(left, _)| *left > 0)
        {
            *left -= 1;
            let (delay, shared) = (*delay, Arc::clone(self));
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                lock(&shared.state).append(&topic, part, &records);
                shared.appended.notify_waiters();
            });
            return Reply::Hang;
        }
        let (offset, end_offset) = state.append(&topic, part, &records);
        self.appended.notify_waiters();
        if state.faults.drop_append_responses > 0 {
            state.faults.drop_append_responses -= 1;
            return Reply::Hang;
        }
        Reply::Json(200, json!({"offset": offset, "end_offset": end_offset}))
    }

    async fn read(&self, request: &Request<Bytes>) -> Reply {
        let wait = Duration::from_millis(Self::number(request, "wait_ms"));
        let until = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let mut appended = std::pin::pin!(appended);
            appended.as_mut().enable();
            if let Some(reply) = self.read_now(request, Instant::now() >= until) {
                return reply;
            }
            let left = until.saturating_duration_since(Instant::now());
            let _ = timeout(left, appended).await;
        }
    }

    /// Reads; none if there is nothing yet and the call may wait.
    fn read_now(&self, request: &Request<Bytes>, also_nothing: bool) -> Option<Reply> {
        let from = Self::number(request, "from");
        let most = Self::number(request, "max_kb").max(1) * 1_024;
        let mut state = lock(&self.state);
        let partition = state.partitions.entry(Self::place(request)).or_default();
        if from < partition.first {
            return Some(Reply::Json(410, json!({"first_offset": partition.first})));
        }
        let skip = usize::try_from(from - partition.first).unwrap_or(usize::MAX);
        let mut body = BytesMut::new();
        body.put_u64(partition.end());
        body.put_u64(partition.first);
        let mut some = false;
        for record in partition.records.iter().skip(skip) {
            if some && (body.len() + record.len()) as u64 > most {
                break;
            }
            some = true;
            body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
            body.put_slice(record);
        }
        (some || also_nothing).then(|| Reply::Bytes(200, Vec::new(), body.freeze()))
    }

    fn newest(&self, request: &Request<Bytes>) -> Reply {
        let mut state = lock(&self.state);
        let partition = state.partitions.entry(Self::place(request)).or_default();
        let item = |(key, (offset, value)): (&String, &(u64, Bytes))| json!({"key": key, "value": STANDARD.encode(value), "offset": offset});
        let items: Vec<_> = partition.newest.iter().map(item).collect();
        let end = partition.end();
        Reply::Json(200, json!({"items": items, "has_more": false, "end_offset": end}))
    }

    fn join(&self, request: &Request<Bytes>) -> Reply {
        let Ok(join) = serde_json::from_slice::<Join>(request.body()) else {
            return Reply::Json(400, json!({"error": "no join"}));
        };
        let mut state = lock(&self.state);
        let group = state.groups.entry(join.group_id).or_default();
        group.drop_silent();
        let until = Instant::now() + Duration::from_millis(join.ttl_ms);
        if group.members.insert(join.member_id.clone(), until).is_none() {
            group.generation += 1;
        }
        let own = |partition: &u32| group.owner(*partition) == Some(&join.member_id);
        let topic = join.topics.first().cloned().unwrap_or_default();
        let parts: Vec<_> = (0..self.parts).filter(own).map(|p| json!([topic, p, 0])).collect();
        Reply::Json(200, json!({"gen": group.generation, "ttl_ms": join.ttl_ms, "parts": parts}))
    }

    fn leave(&self, request: &Request<Bytes>) -> Reply {
        let Ok(leave) = serde_json::from_slice::<Leave>(request.body()) else {
            return Reply::Json(400, json!({"error": "no leave"}));
        };
        let mut state = lock(&self.state);
        let group = state.groups.entry(leave.group_id).or_default();
        if group.members.remove(&leave.member_id).is_some() {
            group.generation += 1;
        }
        Reply::Json(200, json!({}))
    }
}

fn split(mut body: Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while body.remaining() >= 4 {
        let len = body.get_u32() as usize;
        if body.remaining() < len {
            return None;
        }
        records.push(body.split_to(len));
    }
    (!body.has_remaining()).then_some(records)
}

#[async_trait]
impl Handler for Arc<Shared> {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let faults = lock(&self.state).faults.clone();
        if faults.hang {
            return Reply::Hang;
        }
        if faults.busy {
            return Reply::Json(503, json!({"error": "busy"}));
        }
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/log-append") => self.append(&request),
            (&Method::GET, "/v1/log-read") => self.read(&request).await,
            (&Method::GET, "/v1/log-newest") => self.newest(&request),
            (&Method::POST, "/v1/log-join") => self.join(&request),
            (&Method::POST, "/v1/log-leave") => self.leave(&request),
            _ => Reply::Json(404, json!({"error": "no such call"})),
        }
    }
}
