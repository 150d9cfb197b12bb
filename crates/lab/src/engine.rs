//! Model of an engine in virtual time: slots, a queue, and preemption.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::load::Micros;

/// Index of a job in the simulation.
pub(crate) type JobId = usize;

/// Time that a normal engine takes for one token, whatever the number of
/// running jobs.
pub(crate) const TOKEN_TIME: Micros = 10_000;

/// A job that occupies a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) job: JobId,
    pub(crate) priority: u32,
    pub(crate) since: Micros,
}

/// Outcome of submitting a job to an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Placement {
    /// The job runs.
    Runs,
    /// The job runs, and preempts this one.
    Preempts(Running),
    /// The job waits in the queue.
    Queued,
}

/// A model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    slots: usize,
    /// Whether jobs run by priority; otherwise first in, first out.
    by_priority: bool,
    /// Time for one token.
    pub(crate) token_time: Micros,
    /// Version of the loaded weights.
    pub(crate) version: u64,
    pub(crate) running: Vec<Running>,
    /// Waiting jobs with their priority, in the order in which they will run.
    queue: BTreeMap<(Reverse<u32>, u64), (JobId, u32)>,
    /// Number of jobs queued so far; orders those of the same priority.
    queued: u64,
}

impl Engine {
    pub(crate) fn new(slots: usize, by_priority: bool, token_time: Micros) -> Self {
        Self {
            slots,
            by_priority,
            token_time,
            version: 1,
            running: Vec::new(),
            queue: BTreeMap::new(),
            queued: 0,
        }
    }

    /// Returns the number of jobs that run or wait.
    pub(crate) fn load(&self) -> u32 {
        u32::try_from(self.running.len() + self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of jobs that run or wait with at least a priority.
    pub(crate) fn load_with_priority(&self, min: u32) -> u32 {
        let running = self.running.iter().filter(|r| r.priority >= min).count();
        let waiting = self.queue.values().filter(|(_, priority)| *priority >= min).count();
        u32::try_from(running + waiting).unwrap_or(u32::MAX)
    }

    /// Adds a job: it runs if a slot is free or if it may preempt a job of
    /// lower priority, and is queued otherwise.
    pub(crate) fn submit(&mut self, job: JobId, priority: u32, now: Micros) -> Placement {
        let running = Running { job, priority, since: now };
        if self.running.len() < self.slots {
            self.running.push(running);
            return Placement::Runs;
        }
        let lowest =
            self.running.iter().enumerate().min_by_key(|(_, r)| (r.priority, Reverse(r.since)));
        if let Some((i, lowest)) = lowest.map(|(i, r)| (i, *r))
            && self.by_priority
            && lowest.priority < priority
        {
            self.running[i] = running;
            return Placement::Preempts(lowest);
        }
        let queue_priority = if self.by_priority { priority } else { 0 };
        self.queued += 1;
        self.queue.insert((Reverse(queue_priority), self.queued), (job, priority));
        Placement::Queued
    }

    /// Removes a finished job, and returns the queued one that runs in its
    /// place.
    pub(crate) fn finish(&mut self, job: JobId, now: Micros) -> Option<JobId> {
        self.running.retain(|r| r.job != job);
        let (_, (next, priority)) = self.queue.pop_first()?;
        self.running.push(Running { job: next, priority, since: now });
        Some(next)
    }
}
