//! A model engine in virtual time: slots, a queue, and preemption.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::load::Micros;

/// Names a job.
pub(crate) type JobId = usize;

/// Time for one token of a sound engine, which the batch's size doesn't change.
pub(crate) const TOKEN: Micros = 10_000;

/// A job in a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) job: JobId,
    pub(crate) priority: u32,
    pub(crate) since: Micros,
}

/// What became of a job that came to an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Came {
    /// It runs.
    Runs,
    /// It runs in the place of this one.
    Preempts(Running),
    /// It waits.
    Waits,
}

/// A model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    slots: usize,
    /// Whether it honours priorities; otherwise first in, first out.
    priorities: bool,
    /// Time for one token.
    pub(crate) token: Micros,
    pub(crate) version: u64,
    pub(crate) running: Vec<Running>,
    queue: BTreeMap<(Reverse<u32>, u64), (JobId, u32)>,
    arrivals: u64,
}

impl Engine {
    pub(crate) fn new(slots: usize, priorities: bool, token: Micros) -> Self {
        Self {
            slots,
            priorities,
            token,
            version: 1,
            running: Vec::new(),
            queue: BTreeMap::new(),
            arrivals: 0,
        }
    }

    /// Counts the jobs that run or wait.
    pub(crate) fn load(&self) -> u32 {
        u32::try_from(self.running.len() + self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Counts those of at least a priority.
    pub(crate) fn load_from(&self, least: u32) -> u32 {
        let running = self.running.iter().filter(|r| r.priority >= least).count();
        let waiting = self.queue.values().filter(|(_, priority)| *priority >= least).count();
        u32::try_from(running + waiting).unwrap_or(u32::MAX)
    }

    pub(crate) fn come(&mut self, job: JobId, priority: u32, now: Micros) -> Came {
        let running = Running { job, priority, since: now };
        if self.running.len() < self.slots {
            self.running.push(running);
            return Came::Runs;
        }
        let lowest =
            self.running.iter().enumerate().min_by_key(|(_, r)| (r.priority, Reverse(r.since)));
        if let Some((i, lowest)) = lowest.map(|(i, r)| (i, *r))
            && self.priorities
            && lowest.priority < priority
        {
            self.running[i] = running;
            return Came::Preempts(lowest);
        }
        let order = if self.priorities { priority } else { 0 };
        self.arrivals += 1;
        self.queue.insert((Reverse(order), self.arrivals), (job, priority));
        Came::Waits
    }

    /// Takes a job out that is done, and gives the one that runs now instead.
    pub(crate) fn done(&mut self, job: JobId, now: Micros) -> Option<JobId> {
        self.running.retain(|r| r.job != job);
        let (_, (next, priority)) = self.queue.pop_first()?;
        self.running.push(Running { job: next, priority, since: now });
        Some(next)
    }
}
