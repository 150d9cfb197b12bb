//! What this process knows of the batch jobs in the log.
//!
//! A partition is read when somebody asks for one of its jobs, up to its end
//! at that moment. So an answer is never older than the question, and a
//! process that is asked for nothing reads nothing.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_ids::Offset;
use cassia_jobs::ItemResult;
use cassia_jobs::JOBS_TOPIC;
use cassia_jobs::JobRecord;
use cassia_jobs::JobTable;
use cassia_jobs::Submission;
use cassia_jobs::partition;
use cassia_platform::Appended;
use cassia_platform::PartitionRef;
use cassia_platform::Records;
use cassia_platform::Store;
use cassia_platform::StoreError;
use cassia_platform::StoreErrorKind;

use crate::board::lock;
use crate::clock::wall_ms;

/// Most of a partition that one read gives, in kilobytes: what is read at once
/// is what a process needs memory for.
const READ_MAX_KB: u32 = 256;
/// How long after its acceptance a job is remembered, in milliseconds.
const REMEMBERED_MS: u64 = 240_000;

/// The jobs of all partitions, as far as they were read.
#[derive(Debug)]
pub(crate) struct Shelf {
    store: Arc<dyn Store>,
    folds: Vec<Mutex<JobTable>>,
}

impl Shelf {
    pub(crate) fn new(store: Arc<dyn Store>, parts: u32) -> Self {
        Self { store, folds: (0..parts).map(|_| Mutex::default()).collect() }
    }

    /// Tells the partition of a job.
    pub(crate) fn partition_of(&self, job: &str) -> u32 {
        partition(job, u32::try_from(self.folds.len()).unwrap_or(1))
    }

    /// Gives what is known of a partition's jobs.
    pub(crate) fn fold(&self, partition: u32) -> MutexGuard<'_, JobTable> {
        lock(&self.folds[partition as usize])
    }

    /// Reads a partition up to its end at this moment.
    pub(crate) async fn catch_up(
        &self,
        partition: u32,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        while !self.read_on(partition, Duration::ZERO, deadline).await? {}
        Ok(())
    }

    /// Reads what comes next in a partition, waiting for it for a while; says
    /// whether that was its end.
    pub(crate) async fn read_on(
        &self,
        partition: u32,
        wait: Duration,
        deadline: Instant,
    ) -> Result<bool, StoreError> {
        let from = self.fold(partition).next_offset();
        let place = PartitionRef { topic: JOBS_TOPIC, partition };
        match self.store.read(place, from, READ_MAX_KB, wait, deadline).await {
            Ok(records) => Ok(self.take(partition, records)),
            Err(StoreError { kind: StoreErrorKind::Expired { oldest }, .. }) => {
                self.fold(partition).skip_to(oldest);
                Ok(false)
            }
            Err(e) => Err(e),
        }
    }

    fn take(&self, partition: u32, records: Records) -> bool {
        let mut fold = self.fold(partition);
        for (offset, record) in (records.start..).zip(records.records) {
            fold.apply(offset, &JobRecord::decode(record));
        }
        fold.remove_accepted_before(wall_ms().saturating_sub(REMEMBERED_MS));
        fold.next_offset() >= records.end
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

    /// Reads a job as it was handed in, from the records that hold it.
    pub(crate) async fn submission(
        &self,
        partition: u32,
        first: Offset,
        parts: u32,
        deadline: Instant,
    ) -> Result<Submission, StoreError> {
        let mut data = Vec::new();
        while data.len() < parts as usize {
            let place = PartitionRef { topic: JOBS_TOPIC, partition };
            let from = first + data.len() as Offset;
            let max_kb = READ_MAX_KB;
            let read = self.store.read(place, from, max_kb, Duration::ZERO, deadline).await?;
            let part = |record| match JobRecord::decode(record) {
                JobRecord::Part { data, .. } => Some(data),
                _ => None,
            };
            let before = data.len();
            data.extend(read.records.into_iter().map_while(part));
            if data.len() == before {
                return Err(unreadable("the job's records are not there"));
            }
        }
        data.truncate(parts as usize);
        Submission::from_parts(&data).map_err(|e| unreadable(&e.to_string()))
    }

    /// Reads a job's results at some positions, given their offsets: at least
    /// the first, and what else one read gives.
    pub(crate) async fn results(
        &self,
        partition: u32,
        offsets: &[Offset],
        deadline: Instant,
    ) -> Result<Vec<ItemResult>, StoreError> {
        let Some(&from) = offsets.first() else {
            return Ok(Vec::new());
        };
        let place = PartitionRef { topic: JOBS_TOPIC, partition };
        let read = self.store.read(place, from, READ_MAX_KB, Duration::ZERO, deadline).await?;
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
            return Err(unreadable("the result's record is not there"));
        }
        Ok(results)
    }
}

fn unreadable(detail: &str) -> StoreError {
    StoreError { step: "read", kind: StoreErrorKind::Unknown, detail: detail.to_owned() }
}
