//! The batch jobs in the store's log, as far as this process has read them.
//!
//! A partition is read when a call or a runner needs its jobs, up to its end
//! at that time. So a response is never older than its request, and a process
//! that needs no jobs reads nothing.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Instant;

use bytes::Bytes;
use cassia_clients::Store;
use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_ids::Offset;
use cassia_jobs::ItemProgress;
use cassia_jobs::ItemResult;
use cassia_jobs::Job;
use cassia_jobs::JobRecord;
use cassia_jobs::JobTable;
use cassia_jobs::ResultRef;
use cassia_jobs::Submission;
use cassia_jobs::partition;
use futures::StreamExt;
use futures::future::ready;
use futures::stream;

use crate::partition_log::PartitionLog;
use crate::store_contact::StoreContact;

/// The store's overhead of a record in a read, in bytes.
const RECORD_OVERHEAD_BYTES: u64 = 4;
/// Assumed size of the first of several results, in bytes. If it is larger, a
/// read may return one result less.
const FIRST_RESULT_BYTES: u64 = 4 << 10;
/// Size of a read of one record, in bytes; a larger record is returned whole.
const MIN_READ_BYTES: u64 = 1 << 10;
/// Number of items whose progress is read at once.
const MAX_PROGRESS_READS: usize = 16;

/// The jobs of all partitions, as far as they were read.
#[derive(Debug)]
pub(crate) struct JobLog {
    partitions: Vec<Arc<PartitionLog>>,
}

/// Where the records of a job's submission are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SubmissionRef {
    first_offset: Offset,
    part_count: u32,
    part_bytes: u64,
}

impl From<&Job> for SubmissionRef {
    fn from(job: &Job) -> Self {
        let Job { first_offset, part_count, part_bytes, .. } = *job;
        Self { first_offset, part_count, part_bytes }
    }
}

impl JobLog {
    pub(crate) fn new(
        store: &Arc<dyn Store>,
        store_contact: &Arc<StoreContact>,
        partition_count: u32,
    ) -> Self {
        let log = |partition| {
            let (store, store_contact) = (Arc::clone(store), Arc::clone(store_contact));
            Arc::new(PartitionLog::new(store, store_contact, partition))
        };
        Self { partitions: (0..partition_count).map(log).collect() }
    }

    /// Returns the partition of a job.
    pub(crate) fn partition_of(&self, job: &str) -> u32 {
        partition(job, u32::try_from(self.partitions.len()).unwrap_or(1))
    }

    /// Returns a partition's log.
    pub(crate) fn partition(&self, partition: u32) -> &Arc<PartitionLog> {
        &self.partitions[partition as usize]
    }

    /// Returns the jobs of a partition, as far as it was read.
    pub(crate) fn table(&self, partition: u32) -> MutexGuard<'_, JobTable> {
        self.partition(partition).table()
    }

    /// Waits until a partition was read up to its end at the time of this call
    /// or later.
    pub(crate) async fn read_to_end(
        &self,
        partition: u32,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        self.partition(partition).read_to_end(deadline).await
    }

    /// Appends records to a partition.
    pub(crate) async fn append(
        &self,
        partition: u32,
        records: &[Bytes],
        deadline: Instant,
    ) -> Result<Offset, StoreError> {
        self.partition(partition).append(records, deadline).await
    }

    /// Reads a job's submission.
    pub(crate) async fn submission(
        &self,
        partition: u32,
        job: SubmissionRef,
        deadline: Instant,
    ) -> Result<Submission, StoreError> {
        let part_count = job.part_count as usize;
        let max_bytes = job.part_bytes + RECORD_OVERHEAD_BYTES * u64::from(job.part_count);
        let mut data = Vec::new();
        while data.len() < part_count {
            let from = job.first_offset + data.len() as Offset;
            let read = self.partition(partition).records(from, max_bytes, deadline).await?;
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
        data.truncate(part_count);
        Submission::from_parts(&data).map_err(|e| unreadable(&e.to_string()))
    }

    /// Reads the progress of a job's items. An item whose record can't be read
    /// starts from the beginning.
    pub(crate) async fn progress(
        &self,
        partition: u32,
        job: &Job,
        deadline: Instant,
    ) -> Vec<ItemProgress> {
        let read = |offset: Offset| async move {
            let read = self.partition(partition).records(offset, MIN_READ_BYTES, deadline).await;
            let record = read.ok()?.records.into_iter().next()?;
            match JobRecord::decode(record) {
                JobRecord::Progress(progress) => Some(progress),
                _ => None,
            }
        };
        let reads = stream::iter(job.progress.values().copied().map(read));
        reads.buffer_unordered(MAX_PROGRESS_READS).filter_map(ready).collect().await
    }

    /// Reads the given results: at least the first one, and those that the
    /// same read returns.
    pub(crate) async fn results(
        &self,
        partition: u32,
        results: &[ResultRef],
        deadline: Instant,
    ) -> Result<Vec<ItemResult>, StoreError> {
        let (Some(first), Some(last)) = (results.first(), results.last()) else {
            return Ok(Vec::new());
        };
        let read = self.partition(partition);
        let read = read.records(first.offset, span_bytes(first, last), deadline).await?;
        let mut wanted = results.iter().map(|result| result.offset).peekable();
        let mut found = Vec::new();
        for (offset, record) in (read.start..).zip(read.records) {
            if wanted.peek() != Some(&offset) {
                continue;
            }
            wanted.next();
            if let JobRecord::Result(result) = JobRecord::decode(record) {
                found.push(result);
            }
        }
        if found.is_empty() {
            return Err(unreadable("the result's record is missing"));
        }
        Ok(found)
    }
}

/// Returns how many bytes a read from one result to another returns. The size
/// of the first result is not known; the store returns at least one record.
fn span_bytes(first: &ResultRef, last: &ResultRef) -> u64 {
    let records = last.offset - first.offset + 1;
    last.end_position.saturating_sub(first.end_position)
        + FIRST_RESULT_BYTES
        + RECORD_OVERHEAD_BYTES * records
}

fn unreadable(detail: &str) -> StoreError {
    StoreError { step: "read", kind: StoreErrorKind::Unknown, detail: detail.to_owned() }
}
