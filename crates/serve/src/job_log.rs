//! The batch jobs in the store's log, as far as this process has read them.
//!
//! A partition is read when a call or a runner needs its jobs, up to its end
//! at that time. So a response is never older than its request, and a process
//! that needs no jobs reads nothing.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_clients::Appended;
use cassia_clients::PartitionRef;
use cassia_clients::Records;
use cassia_clients::Store;
use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_ids::Offset;
use cassia_jobs::ItemResult;
use cassia_jobs::JOBS_TOPIC;
use cassia_jobs::JobRecord;
use cassia_jobs::JobTable;
use cassia_jobs::Submission;
use cassia_jobs::partition;

use crate::clock::unix_ms;
use crate::state::lock;

/// Maximum size of one read, in kilobytes; it bounds the memory that a read
/// needs.
const READ_MAX_KB: u32 = 256;
/// How long a job is kept in memory after it was accepted, in milliseconds.
const JOB_RETENTION_MS: u64 = 240_000;

/// The jobs of all partitions, as far as they were read.
#[derive(Debug)]
pub(crate) struct JobLog {
    store: Arc<dyn Store>,
    tables: Vec<Mutex<JobTable>>,
}

impl JobLog {
    pub(crate) fn new(store: Arc<dyn Store>, partition_count: u32) -> Self {
        Self { store, tables: (0..partition_count).map(|_| Mutex::default()).collect() }
    }

    /// Returns the partition of a job.
    pub(crate) fn partition_of(&self, job: &str) -> u32 {
        partition(job, u32::try_from(self.tables.len()).unwrap_or(1))
    }

    /// Returns the jobs of a partition, as far as it was read.
    pub(crate) fn table(&self, partition: u32) -> MutexGuard<'_, JobTable> {
        lock(&self.tables[partition as usize])
    }

    /// Reads a partition up to its current end.
    pub(crate) async fn read_to_end(
        &self,
        partition: u32,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        while !self.read_next(partition, Duration::ZERO, deadline).await? {}
        Ok(())
    }

    /// Reads the next records of a partition, and waits up to `wait` for the
    /// first one. Returns whether the partition was read up to its end.
    pub(crate) async fn read_next(
        &self,
        partition: u32,
        wait: Duration,
        deadline: Instant,
    ) -> Result<bool, StoreError> {
        let from = self.table(partition).next_offset();
        let partition_ref = PartitionRef { topic: JOBS_TOPIC, partition };
        match self.store.read(partition_ref, from, READ_MAX_KB, wait, deadline).await {
            Ok(records) => Ok(self.apply(partition, records)),
            Err(StoreError { kind: StoreErrorKind::Expired { oldest }, .. }) => {
                self.table(partition).skip_to(oldest);
                Ok(false)
            }
            Err(e) => Err(e),
        }
    }

    fn apply(&self, partition: u32, records: Records) -> bool {
        let mut table = self.table(partition);
        for (offset, record) in (records.start..).zip(records.records) {
            table.apply(offset, &JobRecord::decode(record));
        }
        table.remove_accepted_before(unix_ms().saturating_sub(JOB_RETENTION_MS));
        table.next_offset() >= records.end
    }

    /// Appends records to a partition.
    pub(crate) async fn append(
        &self,
        partition: u32,
        records: &[Bytes],
        deadline: Instant,
    ) -> Result<Appended, StoreError> {
        self.store.append(PartitionRef { topic: JOBS_TOPIC, partition }, records, deadline).await
    }

    /// Reads a job's submission from the `part_count` records that hold it.
    pub(crate) async fn submission(
        &self,
        partition: u32,
        first_offset: Offset,
        part_count: u32,
        deadline: Instant,
    ) -> Result<Submission, StoreError> {
        let mut data = Vec::new();
        while data.len() < part_count as usize {
            let partition_ref = PartitionRef { topic: JOBS_TOPIC, partition };
            let from = first_offset + data.len() as Offset;
            let max_kb = READ_MAX_KB;
            let read =
                self.store.read(partition_ref, from, max_kb, Duration::ZERO, deadline).await?;
            let part = |record| match JobRecord::decode(record) {
                JobRecord::Part { data, .. } => Some(data),
                _ => None,
            };
            let before = data.len();
            data.extend(read.records.into_iter().map_while(part));
            if data.len() == before {
                return Err(unreadable("the job's records are missing"));
            }
        }
        data.truncate(part_count as usize);
        Submission::from_parts(&data).map_err(|e| unreadable(&e.to_string()))
    }

    /// Reads the results at the given offsets: at least the first one, and
    /// those that the same read returns.
    pub(crate) async fn results(
        &self,
        partition: u32,
        offsets: &[Offset],
        deadline: Instant,
    ) -> Result<Vec<ItemResult>, StoreError> {
        let Some(&from) = offsets.first() else {
            return Ok(Vec::new());
        };
        let partition_ref = PartitionRef { topic: JOBS_TOPIC, partition };
        let read =
            self.store.read(partition_ref, from, READ_MAX_KB, Duration::ZERO, deadline).await?;
        let mut wanted = offsets.iter().peekable();
        let mut results = Vec::new();
        for (offset, record) in (read.start..).zip(read.records) {
            if wanted.peek() != Some(&&offset) {
                continue;
            }
            wanted.next();
            if let JobRecord::Result(result) = JobRecord::decode(record) {
                results.push(result);
            }
        }
        if results.is_empty() {
            return Err(unreadable("the result's record is missing"));
        }
        Ok(results)
    }
}

fn unreadable(detail: &str) -> StoreError {
    StoreError { step: "read", kind: StoreErrorKind::Unknown, detail: detail.to_owned() }
}
