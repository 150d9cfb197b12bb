//! The store, with a record of which of its partitions answer, and the probes of those that
//! don't.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_clients::Appended;
use cassia_clients::Assignment;
use cassia_clients::KeyedRecord;
use cassia_clients::KeyedSnapshot;
use cassia_clients::PartitionRef;
use cassia_clients::Records;
use cassia_clients::Store;
use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_contact::NextProbe;
use cassia_contact::PROBE_TIMEOUT;
use cassia_contact::PartitionId;
use cassia_ids::Offset;
use tokio::time::timeout_at;

use crate::app::App;
use crate::lock::lock;
use crate::store_contact::StoreContact;

/// Limit of a probe's read, in kilobytes.
const PROBE_KB: u32 = 1;

/// A client of the store that records which partitions answer.
#[derive(Debug)]
pub(crate) struct WatchedStore {
    store: Arc<dyn Store>,
    contact: Arc<StoreContact>,
}

impl WatchedStore {
    pub(crate) fn new(store: Arc<dyn Store>, contact: Arc<StoreContact>) -> Self {
        Self { store, contact }
    }

    /// Records the result of a read that was sent at `sent`, and the partition's end if the
    /// result shows it.
    fn record<T>(
        &self,
        partition: PartitionRef<'_>,
        sent: Instant,
        result: &Result<T, StoreError>,
        end: impl Fn(&T) -> Offset,
    ) {
        match result {
            Ok(read) => self.contact.record_answer(partition, Some(end(read)), sent),
            Err(e) if is_answer(e.kind) => self.contact.record_answer(partition, None, sent),
            Err(_) => self.contact.record_failure(partition, sent),
        }
    }

    /// As `record`, for appends. Where the store is full, they fail and reads don't; a
    /// partition that is away is found out by its readers.
    fn record_append(
        &self,
        partition: PartitionRef<'_>,
        sent: Instant,
        result: &Result<Appended, StoreError>,
    ) {
        if let Ok(appended) = result {
            self.contact.record_answer(partition, Some(appended.end), sent);
        }
    }
}

/// Returns whether the partition answered a call that failed.
fn is_answer(kind: StoreErrorKind) -> bool {
    match kind {
        StoreErrorKind::Expired { .. } | StoreErrorKind::Conflict { .. } => true,
        StoreErrorKind::NotDone | StoreErrorKind::Unknown => false,
    }
}

#[async_trait]
impl Store for WatchedStore {
    async fn append(
        &self,
        partition: PartitionRef<'_>,
        records: &[Bytes],
        deadline: Instant,
    ) -> Result<Appended, StoreError> {
        let sent = Instant::now();
        let result = self.store.append(partition, records, deadline).await;
        self.record_append(partition, sent, &result);
        result
    }

    async fn read(
        &self,
        partition: PartitionRef<'_>,
        from: Offset,
        max_kb: u32,
        wait: Duration,
        deadline: Instant,
    ) -> Result<Records, StoreError> {
        let sent = Instant::now();
        let result = self.store.read(partition, from, max_kb, wait, deadline).await;
        self.record(partition, sent, &result, |records| records.end);
        result
    }

    async fn snapshot(
        &self,
        partition: PartitionRef<'_>,
        deadline: Instant,
    ) -> Result<KeyedSnapshot, StoreError> {
        let sent = Instant::now();
        let result = self.store.snapshot(partition, deadline).await;
        self.record(partition, sent, &result, |snapshot| snapshot.next);
        result
    }

    async fn put(
        &self,
        partition: PartitionRef<'_>,
        key: &str,
        value: &[u8],
        deadline: Instant,
    ) -> Result<Appended, StoreError> {
        let sent = Instant::now();
        let result = self.store.put(partition, key, value, deadline).await;
        self.record_append(partition, sent, &result);
        result
    }

    async fn changes(
        &self,
        topic: &str,
        from: Offset,
        wait: Duration,
        deadline: Instant,
    ) -> Result<(Offset, Vec<KeyedRecord>), StoreError> {
        let sent = Instant::now();
        let result = self.store.changes(topic, from, wait, deadline).await;
        self.record(PartitionRef { topic, partition: 0 }, sent, &result, |(next, _)| *next);
        result
    }

    async fn join(
        &self,
        group: &str,
        member: &str,
        topic: &str,
        ttl: Duration,
        generation: u64,
        deadline: Instant,
    ) -> Result<Assignment, StoreError> {
        self.store.join(group, member, topic, ttl, generation, deadline).await
    }

    async fn leave(&self, group: &str, member: &str, deadline: Instant) -> Result<(), StoreError> {
        self.store.leave(group, member, deadline).await
    }
}

/// Probes the partitions that don't answer until the process ends.
pub(crate) async fn probe_partitions(app: Arc<App>) {
    let contact = &app.state.store_contact;
    loop {
        let hosts = lock(&app.relay.hosts).len() + 1;
        match contact.next_probe(hosts) {
            NextProbe::Idle => contact.wait_for_probe().await,
            NextProbe::At(at) => {
                let _ = timeout_at(at.into(), contact.wait_for_probe()).await;
            }
            NextProbe::Send { partition, from } => {
                tokio::spawn(probe(Arc::clone(&app), partition, from));
            }
        }
    }
}

/// Reads from the end of a partition, which the store records if it answers.
async fn probe(app: Arc<App>, id: PartitionId, from: Offset) {
    let partition = PartitionRef { topic: &id.topic, partition: id.partition };
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let read = app.store.read(partition, from, PROBE_KB, Duration::ZERO, deadline).await;
    if let Err(e) = read
        && !is_answer(e.kind)
    {
        log::debug!(event = "partition_away", step = e.step, topic = id.topic.as_str(), partition = id.partition; "{e}");
        app.state.store_contact.record_failed_probe(&id);
    }
}
