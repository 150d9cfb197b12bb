//! What the records of one partition add up to.

use std::collections::HashMap;

use cassia_ids::Offset;

use crate::JobId;
use crate::JobRecord;

/// One job, as far as its records are folded in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Where its first record is.
    pub first: Offset,
    /// Records that its submission takes, from `first` on.
    pub parts: u32,
    /// When it was accepted, in milliseconds of the time of day.
    pub accepted_ms: u64,
    /// Where the result at each position is, with its item's place in the job.
    pub listed: Vec<(Offset, u32)>,
    /// Whether it was ended.
    pub ended: bool,
    /// Which items are listed, by their place in the job.
    is_listed: Vec<bool>,
}

impl Job {
    /// Counts its items.
    #[must_use]
    pub fn items(&self) -> usize {
        self.is_listed.len()
    }

    /// Says whether the item at a place is listed.
    #[must_use]
    pub fn is_listed(&self, index: u32) -> bool {
        self.is_listed.get(index as usize).copied().unwrap_or(true)
    }

    /// Says whether an item is still to be run.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.ended && self.listed.len() < self.is_listed.len()
    }
}

/// What a record did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Folded {
    /// The job is accepted.
    Accepted(JobId),
    /// A result stands at the job's next position.
    Listed {
        /// The job.
        job: JobId,
        /// The item's place in it.
        index: u32,
    },
    /// The job is ended.
    Ended(JobId),
    /// Nothing: the record repeats what holds already, or can't be read.
    Nothing,
}

/// The jobs of one partition.
///
/// Invariant: two folds of the same records are equal, whoever made them. So
/// nothing here may depend on the time or on the process.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobFold {
    next: Offset,
    jobs: HashMap<JobId, Job>,
}

impl JobFold {
    /// Tells the first offset that is not folded in yet.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Goes on behind records that the log no longer has.
    pub fn skip_to(&mut self, offset: Offset) {
        self.next = self.next.max(offset);
    }

    /// Finds a job.
    #[must_use]
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Lists the jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Forgets jobs that were accepted before a moment, in milliseconds of the
    /// time of day. Callers no longer ask for them.
    pub fn forget_before(&mut self, accepted_ms: u64) {
        self.jobs.retain(|_, job| job.accepted_ms >= accepted_ms);
    }

    /// Folds a record in. Records come in the order of their offsets; one that
    /// was folded in already does nothing.
    pub fn apply(&mut self, offset: Offset, record: &JobRecord) -> Folded {
        if offset < self.next {
            return Folded::Nothing;
        }
        self.next = offset + 1;
        match record {
            JobRecord::Part { job, part: 0, parts, items, accepted_ms, .. } => {
                self.accept(offset, job, *parts, *items, *accepted_ms)
            }
            JobRecord::Result(result) => self.list(offset, &result.job, result.index),
            JobRecord::End { job } => self.end(job),
            JobRecord::Part { .. } | JobRecord::Unknown => Folded::Nothing,
        }
    }

    /// The parts of a job are appended all or nothing, so the first one says
    /// that all are there. A job that is handed in again changes nothing.
    fn accept(
        &mut self,
        first: Offset,
        id: &str,
        parts: u32,
        items: u32,
        accepted_ms: u64,
    ) -> Folded {
        if self.jobs.contains_key(id) {
            return Folded::Nothing;
        }
        let is_listed = vec![false; items as usize];
        let job = Job { first, parts, accepted_ms, listed: Vec::new(), ended: false, is_listed };
        self.jobs.insert(id.into(), job);
        Folded::Accepted(id.into())
    }

    /// The first result of an item stands; later ones and those after the end
    /// of the job count for nothing.
    fn list(&mut self, offset: Offset, id: &str, index: u32) -> Folded {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.ended) else {
            return Folded::Nothing;
        };
        let Some(is_listed) = job.is_listed.get_mut(index as usize).filter(|listed| !**listed)
        else {
            return Folded::Nothing;
        };
        *is_listed = true;
        job.listed.push((offset, index));
        Folded::Listed { job: id.into(), index }
    }

    fn end(&mut self, id: &str) -> Folded {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.ended) else {
            return Folded::Nothing;
        };
        job.ended = true;
        Folded::Ended(id.into())
    }
}
