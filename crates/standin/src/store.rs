//! The platform's store: topics with partitions, keyed records and consumer
//! groups.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use crate::store_view::StoreView;

/// Maximum number of records in a page of the newest ones.
const MAX_PAGE_ITEMS: usize = 500;

/// The faults to inject into the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Every call gets status 503.
    pub busy: bool,
    /// No call gets a response.
    pub hang: bool,
    /// The partitions of which no call gets a response, by topic and number.
    pub silent_partitions: BTreeSet<(String, u32)>,
    /// Number of appends that take effect and get no response.
    pub drop_append_responses: u32,
    /// Number of appends that get no response and take effect only after the
    /// delay.
    pub delayed_appends: Option<(u32, Duration)>,
}

/// A running store.
#[derive(Debug)]
pub struct StoreStandin {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    appended: Notify,
    partitions_per_topic: u32,
}

#[derive(Debug, Default)]
struct State {
    partitions: BTreeMap<(String, u32), Partition>,
    groups: HashMap<String, Group>,
    faults: StoreFaults,
}

#[derive(Debug, Default)]
struct Partition {
    /// Offset of the oldest record kept.
    oldest: u64,
    records: Vec<Bytes>,
    /// Newest value of each key, with its offset.
    newest: BTreeMap<String, (u64, Bytes)>,
}

#[derive(Debug, Default)]
struct Group {
    generation: u64,
    /// Members by name, with the end of their time to live.
    members: BTreeMap<String, Instant>,
    /// Number of members by which the assignment is rotated.
    shift: usize,
}

#[derive(Deserialize)]
struct JoinRequest {
    group_id: String,
    member_id: String,
    topics: Vec<String>,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct LeaveRequest {
    group_id: String,
    member_id: String,
}

impl StoreStandin {
    /// Starts a store with this many partitions per topic.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(partitions_per_topic: u32) -> io::Result<Self> {
        let shared = Arc::new(Shared { partitions_per_topic, ..Shared::default() });
        let server = Server::start(Arc::new(Arc::clone(&shared))).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the faults to inject from now on.
    pub fn set_faults(&self, faults: StoreFaults) {
        lock(&self.shared.state).faults = faults;
    }

    /// Writes the value of a key, or deletes the key if there is none, as the
    /// platform does.
    pub fn put(&self, topic: &str, key: &str, value: Option<&Value>) {
        let value = value.map(Value::to_string).unwrap_or_default();
        self.put_bytes(topic, key, value.as_bytes());
    }

    /// Writes raw bytes as the value of a key.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        self.put_bytes_in(topic, 0, key, value);
    }

    /// Writes raw bytes as the value of a key in a partition.
    pub fn put_bytes_in(&self, topic: &str, partition: u32, key: &str, value: &[u8]) {
        let mut record = BytesMut::new();
        record.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        let records = vec![record.freeze()];
        lock(&self.shared.state).append(topic, partition, &records);
        self.shared.appended.notify_waiters();
    }

    /// Appends a record, as another process would.
    pub fn append(&self, topic: &str, partition: u32, record: Bytes) {
        lock(&self.shared.state).append(topic, partition, &[record]);
        self.shared.appended.notify_waiters();
    }

    /// Returns the records of a partition that are kept.
    #[must_use]
    pub fn records(&self, topic: &str, partition: u32) -> Vec<Bytes> {
        let state = lock(&self.shared.state);
        let partition = state.partitions.get(&(topic.to_owned(), partition));
        partition.map(|partition| partition.records.clone()).unwrap_or_default()
    }

    /// Removes the records of a partition before an offset.
    pub fn expire_before(&self, topic: &str, partition: u32, offset: u64) {
        let mut state = lock(&self.shared.state);
        let partition = state.partitions.entry((topic.to_owned(), partition)).or_default();
        let count = offset.saturating_sub(partition.oldest).min(partition.records.len() as u64);
        partition.records.drain(..usize::try_from(count).unwrap_or(usize::MAX));
        partition.oldest += count;
    }

    /// Reassigns the partitions of all groups.
    pub fn rebalance(&self) {
        for group in lock(&self.shared.state).groups.values_mut() {
            group.shift += 1;
            group.generation += 1;
        }
    }

    /// Starts a server of the same store, whose list of targets has these addresses
    /// by the targets' ids.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start_view(&self, addrs: BTreeMap<String, SocketAddr>) -> io::Result<Server> {
        let view = StoreView::new(Arc::new(Arc::clone(&self.shared)), addrs);
        Server::start(Arc::new(view)).await
    }

    /// Returns the group member that owns a partition.
    #[must_use]
    pub fn owner(&self, group: &str, partition: u32) -> Option<String> {
        let mut state = lock(&self.shared.state);
        let group = state.groups.get_mut(group)?;
        group.remove_expired();
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
                partition.update_newest(record.clone());
            }
            partition.records.push(record.clone());
        }
        (offset, partition.end())
    }
}

impl Partition {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    /// Stores the value of a keyed record; an empty value deletes the key.
    fn update_newest(&mut self, mut record: Bytes) {
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
    /// Removes the members whose time to live is over.
    fn remove_expired(&mut self) {
        let before = self.members.len();
        let now = Instant::now();
        self.members.retain(|_, expires| now < *expires);
        if self.members.len() != before {
            self.generation += 1;
        }
    }

    fn owner(&self, partition: u32) -> Option<&String> {
        let count = self.members.len();
        let index = (partition as usize + self.shift).checked_rem(count)?;
        self.members.keys().nth(index)
    }
}

impl Shared {
    /// Returns a query parameter.
    fn query<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
        let pairs = request.uri().query().unwrap_or("").split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns a query parameter as a number; 0 without a valid one.
    fn query_number(request: &Request<Bytes>, name: &str) -> u64 {
        Self::query(request, name).and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Returns the topic and the partition that a request names.
    fn partition_of(request: &Request<Bytes>) -> (String, u32) {
        let topic = Self::query(request, "topic").unwrap_or_default().to_owned();
        (topic, u32::try_from(Self::query_number(request, "part")).unwrap_or(u32::MAX))
    }

    fn append(self: &Arc<Self>, request: &Request<Bytes>) -> Reply {
        let (topic, partition) = Self::partition_of(request);
        let Some(records) = decode_records(request.body().clone()) else {
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
                lock(&shared.state).append(&topic, partition, &records);
                shared.appended.notify_waiters();
            });
            return Reply::Hang;
        }
        let (offset, end_offset) = state.append(&topic, partition, &records);
        self.appended.notify_waiters();
        if state.faults.drop_append_responses > 0 {
            state.faults.drop_append_responses -= 1;
            return Reply::Hang;
        }
        Reply::Json(200, json!({"offset": offset, "end_offset": end_offset}))
    }

    async fn read(&self, request: &Request<Bytes>) -> Reply {
        let wait = Duration::from_millis(Self::query_number(request, "wait_ms"));
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let mut appended = std::pin::pin!(appended);
            appended.as_mut().enable();
            if let Some(reply) = self.try_read(request, Instant::now() >= deadline) {
                return reply;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let _ = timeout(left, appended).await;
        }
    }

    /// Reads the available records; `None` if there are none, unless an empty
    /// response is allowed.
    fn try_read(&self, request: &Request<Bytes>, allow_empty: bool) -> Option<Reply> {
        let from = Self::query_number(request, "from");
        let max_bytes = Self::query_number(request, "max_kb").max(1) * 1_024;
        let mut state = lock(&self.state);
        let partition = state.partitions.entry(Self::partition_of(request)).or_default();
        if from < partition.oldest {
            return Some(Reply::Json(410, json!({"first_offset": partition.oldest})));
        }
        let skip = usize::try_from(from - partition.oldest).unwrap_or(usize::MAX);
        let mut body = BytesMut::new();
        body.put_u64(partition.end());
        body.put_u64(partition.oldest);
        let mut has_records = false;
        for record in partition.records.iter().skip(skip) {
            if has_records && (body.len() + record.len()) as u64 > max_bytes {
                break;
            }
            has_records = true;
            body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
            body.put_slice(record);
        }
        (has_records || allow_empty).then(|| Reply::Bytes(200, Vec::new(), body.freeze()))
    }

    fn newest(&self, request: &Request<Bytes>) -> Reply {
        let mut state = lock(&self.state);
        let partition = state.partitions.entry(Self::partition_of(request)).or_default();
        let item = |(key, (offset, value)): (&String, &(u64, Bytes))| {
            let value = STANDARD.encode(value);
            json!({"key": key, "value": value, "offset": offset})
        };
        let after = after_key(request);
        let is_next = |(key, _): &(&String, _)| after.as_ref().is_none_or(|after| *key > after);
        let mut next = partition.newest.iter().filter(is_next);
        let items: Vec<_> = next.by_ref().take(MAX_PAGE_ITEMS).map(item).collect();
        let has_more = next.next().is_some();
        let end = partition.end();
        Reply::Json(200, json!({"items": items, "has_more": has_more, "end_offset": end}))
    }

    fn join(&self, request: &Request<Bytes>) -> Reply {
        let Ok(join) = serde_json::from_slice::<JoinRequest>(request.body()) else {
            return Reply::Json(400, json!({"error": "no join"}));
        };
        let mut state = lock(&self.state);
        let group = state.groups.entry(join.group_id).or_default();
        group.remove_expired();
        let expires = Instant::now() + Duration::from_millis(join.ttl_ms);
        if group.members.insert(join.member_id.clone(), expires).is_none() {
            group.generation += 1;
        }
        let is_owned = |partition: &u32| group.owner(*partition) == Some(&join.member_id);
        let topic = join.topics.first().cloned().unwrap_or_default();
        let partitions = (0..self.partitions_per_topic).filter(is_owned);
        let parts: Vec<_> = partitions.map(|p| json!([topic, p, 0])).collect();
        Reply::Json(200, json!({"gen": group.generation, "ttl_ms": join.ttl_ms, "parts": parts}))
    }

    fn leave(&self, request: &Request<Bytes>) -> Reply {
        let Ok(leave) = serde_json::from_slice::<LeaveRequest>(request.body()) else {
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

/// Returns the key, which is percent-encoded, after which a page of the newest records
/// begins.
fn after_key(request: &Request<Bytes>) -> Option<String> {
    let mut fields = request.uri().query().unwrap_or_default().split('&');
    let key = fields.find_map(|field| field.strip_prefix("after="))?;
    let mut parts = key.split('%');
    let mut bytes = parts.next()?.as_bytes().to_vec();
    for part in parts {
        let (code, rest) = part.split_at_checked(2)?;
        bytes.push(u8::from_str_radix(code, 16).ok()?);
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8(bytes).ok()
}

/// Splits a body into its records, each after its length; `None` if the last
/// one is incomplete.
fn decode_records(mut body: Bytes) -> Option<Vec<Bytes>> {
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
        let is_silent = faults.silent_partitions.contains(&Shared::partition_of(&request));
        if faults.hang || is_silent {
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
