//! The jobs of one partition, as derived from its records.

use std::collections::BTreeMap;
use std::collections::HashMap;

use cassia_ids::Offset;
use smol_str::SmolStr;

use crate::JobId;
use crate::JobRecord;

/// Most items that a job may have; a record that claims more is ignored.
pub(crate) const MAX_ITEMS: u32 = 1 << 20;

/// Where the result of an item is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResultRef {
    /// Offset of its record.
    pub offset: Offset,
    /// Index of the item in the job.
    pub index: u32,
    /// Number of bytes of the partition's records up to the end of this one.
    /// Only differences between positions have a meaning.
    pub end_position: u64,
}

/// State of one job after the records applied so far.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Offset of the job's first record.
    pub first_offset: Offset,
    /// Number of records that hold the submission, from `first_offset` on.
    pub part_count: u32,
    /// Upper bound on the total size of those records, in bytes.
    pub part_bytes: u64,
    /// When the job was accepted, in Unix milliseconds.
    pub accepted_ms: u64,
    /// Customer that owns the job; empty for none.
    pub customer: SmolStr,
    /// The result at each position.
    pub results: Vec<ResultRef>,
    /// Offset of the newest record of the progress of each item that has no
    /// result, by the item's index.
    pub progress: BTreeMap<u32, Offset>,
    /// Whether the job was ended.
    pub ended: bool,
    /// Whether the item at each index has a result.
    pub(crate) has_result: Vec<bool>,
}

impl Job {
    /// Number of items.
    #[must_use]
    pub fn item_count(&self) -> usize {
        self.has_result.len()
    }

    /// Returns whether the item at an index has a result; true if the job has
    /// no such item.
    #[must_use]
    pub fn has_result(&self, index: u32) -> bool {
        self.has_result.get(index as usize).copied().unwrap_or(true)
    }

    /// Returns whether any item is still to be run.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.ended && self.results.len() < self.has_result.len()
    }
}

/// Effect of applying a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The job was accepted.
    Accepted(JobId),
    /// A result was added at the job's next position.
    ResultAdded {
        /// The job.
        job: JobId,
        /// Index of the item in the job.
        index: u32,
    },
    /// An item of the job has made progress.
    Progressed {
        /// The job.
        job: JobId,
        /// Index of the item in the job.
        index: u32,
    },
    /// The job was ended.
    Ended(JobId),
    /// Nothing changed: the record is a duplicate or can't be decoded.
    Unchanged,
}

/// The jobs of one partition.
///
/// Invariant: two tables to which the same records were applied are equal, in
/// all processes. So the state must not depend on time or on the process.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobTable {
    pub(crate) next_offset: Offset,
    /// Total size of the records applied so far, in bytes.
    pub(crate) position: u64,
    pub(crate) jobs: HashMap<JobId, Job>,
}

impl JobTable {
    /// Returns the offset of the next record to apply.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the total size of the records applied so far, in bytes.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Skips records that the log no longer retains.
    pub fn skip_to(&mut self, offset: Offset) {
        self.next_offset = self.next_offset.max(offset);
    }

    /// Returns the job with this id.
    #[must_use]
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Iterates over all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Removes jobs that were accepted before a time in Unix milliseconds.
    /// Callers no longer ask for them.
    pub fn remove_accepted_before(&mut self, accepted_ms: u64) {
        self.jobs.retain(|_, job| job.accepted_ms >= accepted_ms);
    }

    /// Applies a record of `size` bytes. Records must arrive in the order of
    /// their offsets; one that was already applied is ignored.
    pub fn apply(&mut self, offset: Offset, size: usize, record: &JobRecord) -> Applied {
        if offset < self.next_offset {
            return Applied::Unchanged;
        }
        self.next_offset = offset + 1;
        self.position += size as u64;
        match record {
            JobRecord::Part {
                job, part: 0, part_count, item_count, accepted_ms, customer, ..
            } if *item_count <= MAX_ITEMS => {
                let job_state = Job {
                    first_offset: offset,
                    part_count: *part_count,
                    // All parts but the last are as large as the first.
                    part_bytes: u64::from(*part_count) * size as u64,
                    accepted_ms: *accepted_ms,
                    customer: customer.into(),
                    results: Vec::new(),
                    progress: BTreeMap::new(),
                    ended: false,
                    has_result: vec![false; *item_count as usize],
                };
                self.accept(job, job_state)
            }
            JobRecord::Result(result) => self.add_result(offset, &result.job, result.index),
            JobRecord::Progress(progress) => {
                self.add_progress(offset, &progress.job, progress.index)
            }
            JobRecord::End { job } => self.end(job),
            JobRecord::Part { .. } | JobRecord::Unknown => Applied::Unchanged,
        }
    }

    /// Accepts a job on its first part: the parts of a job are appended
    /// atomically, so the others are in the log too. A job that is submitted
    /// again changes nothing.
    fn accept(&mut self, id: &str, job: Job) -> Applied {
        if self.jobs.contains_key(id) {
            return Applied::Unchanged;
        }
        self.jobs.insert(id.into(), job);
        Applied::Accepted(id.into())
    }

    /// Adds an item's first result. Later results of the item, and results
    /// after the end of the job, are ignored.
    fn add_result(&mut self, offset: Offset, id: &str, index: u32) -> Applied {
        let end_position = self.position;
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.ended) else {
            return Applied::Unchanged;
        };
        let Some(has_result) = job.has_result.get_mut(index as usize).filter(|has| !**has) else {
            return Applied::Unchanged;
        };
        *has_result = true;
        job.progress.remove(&index);
        job.results.push(ResultRef { offset, index, end_position });
        Applied::ResultAdded { job: id.into(), index }
    }

    fn add_progress(&mut self, offset: Offset, id: &str, index: u32) -> Applied {
        let job = self.jobs.get_mut(id).filter(|job| !job.ended && !job.has_result(index));
        let Some(job) = job else {
            return Applied::Unchanged;
        };
        job.progress.insert(index, offset);
        Applied::Progressed { job: id.into(), index }
    }

    fn end(&mut self, id: &str) -> Applied {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.ended) else {
            return Applied::Unchanged;
        };
        job.ended = true;
        job.progress.clear();
        Applied::Ended(id.into())
    }
}
