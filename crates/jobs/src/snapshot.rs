//! Snapshots of a partition's jobs.
//!
//! A snapshot holds what the records before an offset say of the jobs that
//! callers may still ask for, without contents. A reader that starts from one
//! reads only the records from that offset on, however long the log is.
//! Whoever has read the records can write it, and readers need not know who
//! did: two processes that read the same records write the same jobs.

use std::collections::BTreeMap;

use bytes::Bytes;
use cassia_ids::Offset;
use prost::Message;

use crate::Job;
use crate::JobTable;
use crate::ResultRef;
use crate::table::MAX_ITEMS;

/// Total size of the records after which the next snapshot is due, in bytes.
/// A reader reads about as much beside the snapshot itself.
const SNAPSHOT_INTERVAL_BYTES: u64 = 48 << 10;

/// A snapshot that can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are no encoded snapshot.
    #[error("not a snapshot of jobs: {0}")]
    Decode(#[from] prost::DecodeError),
    /// Fields of the snapshot contradict each other.
    #[error("snapshot of jobs is inconsistent: job {job}")]
    Inconsistent {
        /// The job.
        job: String,
    },
}

#[derive(Clone, Eq, Message, PartialEq)]
struct TableSnapshot {
    /// Offset of the first record that is not included.
    #[prost(uint64, tag = "1")]
    next_offset: Offset,
    /// Total size of the included records, in bytes.
    #[prost(uint64, tag = "2")]
    position: u64,
    #[prost(message, repeated, tag = "3")]
    jobs: Vec<JobSnapshot>,
}

#[derive(Clone, Eq, Message, PartialEq)]
struct JobSnapshot {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint64, tag = "2")]
    first_offset: Offset,
    #[prost(uint32, tag = "3")]
    part_count: u32,
    #[prost(uint64, tag = "4")]
    part_bytes: u64,
    #[prost(uint64, tag = "5")]
    accepted_ms: u64,
    #[prost(uint32, tag = "6")]
    item_count: u32,
    #[prost(bool, tag = "7")]
    ended: bool,
    /// Of each result: offset, relative to the result before.
    #[prost(uint64, repeated, tag = "8")]
    offset_deltas: Vec<u64>,
    /// Of each result: index of its item.
    #[prost(uint32, repeated, tag = "9")]
    indexes: Vec<u32>,
    /// Of each result: end position, relative to the result before.
    #[prost(uint64, repeated, tag = "10")]
    position_deltas: Vec<u64>,
    /// Of each item with progress and no result: its index.
    #[prost(uint32, repeated, tag = "11")]
    progress_indexes: Vec<u32>,
    /// Of the same items: offset of the newest record, relative to that of the
    /// job.
    #[prost(uint64, repeated, tag = "12")]
    progress_offsets: Vec<u64>,
    #[prost(string, tag = "13")]
    customer: String,
}

impl JobTable {
    /// Encodes the table as a snapshot.
    #[must_use]
    pub fn to_snapshot(&self) -> Bytes {
        let mut jobs: Vec<_> =
            self.jobs.iter().map(|(id, job)| JobSnapshot::new(id, job)).collect();
        jobs.sort_unstable_by_key(|job| job.first_offset);
        let snapshot =
            TableSnapshot { next_offset: self.next_offset, position: self.position, jobs };
        snapshot.encode_to_vec().into()
    }

    /// Decodes a table from a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes are no snapshot, or contradict themselves.
    pub fn from_snapshot(bytes: Bytes) -> Result<Self, SnapshotError> {
        let snapshot = TableSnapshot::decode(bytes)?;
        let mut table = Self {
            next_offset: snapshot.next_offset,
            position: snapshot.position,
            ..Self::default()
        };
        for job in snapshot.jobs {
            let id = job.id.as_str().into();
            let Some(state) = job.decode() else {
                return Err(SnapshotError::Inconsistent { job: job.id });
            };
            table.jobs.insert(id, state);
        }
        Ok(table)
    }

    /// Continues from a snapshot if it includes more records than were applied
    /// here. Returns whether it does.
    pub fn continue_from(&mut self, snapshot: Self) -> bool {
        let is_newer = snapshot.next_offset > self.next_offset;
        if is_newer {
            *self = snapshot;
        }
        is_newer
    }

    /// Returns whether a snapshot is due, if the last one was made at a
    /// position.
    #[must_use]
    pub fn snapshot_due(&self, last_position: u64) -> bool {
        self.position.abs_diff(last_position) >= SNAPSHOT_INTERVAL_BYTES
    }
}

impl JobSnapshot {
    fn new(id: &str, job: &Job) -> Self {
        let offsets = job.results.iter().map(|result| result.offset);
        let positions = job.results.iter().map(|result| result.end_position);
        Self {
            id: id.to_owned(),
            first_offset: job.first_offset,
            part_count: job.part_count,
            part_bytes: job.part_bytes,
            accepted_ms: job.accepted_ms,
            item_count: u32::try_from(job.item_count()).unwrap_or(u32::MAX),
            ended: job.ended,
            offset_deltas: to_deltas(offsets),
            indexes: job.results.iter().map(|result| result.index).collect(),
            position_deltas: to_deltas(positions),
            progress_indexes: job.progress.keys().copied().collect(),
            progress_offsets: job.progress.values().map(|o| o - job.first_offset).collect(),
            customer: job.customer.to_string(),
        }
    }

    /// Returns the job; `None` if the fields contradict each other.
    fn decode(&self) -> Option<Job> {
        if self.item_count > MAX_ITEMS
            || self.indexes.len() != self.offset_deltas.len()
            || self.indexes.len() != self.position_deltas.len()
            || self.progress_indexes.len() != self.progress_offsets.len()
        {
            return None;
        }
        let mut has_result = vec![false; self.item_count as usize];
        let mut results = Vec::with_capacity(self.indexes.len());
        let (mut offset, mut end_position) = (0_u64, 0_u64);
        let deltas = self.offset_deltas.iter().zip(&self.position_deltas);
        for (&index, (offset_delta, position_delta)) in self.indexes.iter().zip(deltas) {
            let has = has_result.get_mut(index as usize).filter(|has| !**has)?;
            *has = true;
            offset = offset.checked_add(*offset_delta)?;
            end_position = end_position.checked_add(*position_delta)?;
            results.push(ResultRef { offset, index, end_position });
        }
        let mut progress = BTreeMap::new();
        for (&index, offset) in self.progress_indexes.iter().zip(&self.progress_offsets) {
            has_result.get(index as usize).filter(|has| !**has)?;
            progress.insert(index, self.first_offset.checked_add(*offset)?);
        }
        Some(Job {
            first_offset: self.first_offset,
            part_count: self.part_count,
            part_bytes: self.part_bytes,
            accepted_ms: self.accepted_ms,
            customer: self.customer.as_str().into(),
            results,
            progress,
            ended: self.ended,
            has_result,
        })
    }
}

/// Returns each value relative to the one before, the first one to 0.
fn to_deltas(values: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut last = 0;
    let delta = |value: u64| value - std::mem::replace(&mut last, value);
    values.map(delta).collect()
}
