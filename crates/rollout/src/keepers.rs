//! The keepers of this process, one for each trainer that pulls here.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cassia_contract::Class;
use cassia_contract::Contract;
use cassia_contract::Trainer;
use cassia_ids::BootId;
use cassia_ids::CustomerId;
use cassia_ids::ModelName;
use cassia_ids::TrainerId;
use cassia_node::lock;
use cassia_sample::Handoff;
use cassia_sample::LotSpec;
use cassia_sample::Pull;
use cassia_sample::PullOutcome;
use cassia_sample::Sample;
use cassia_sample::SampleBuffer;
use cassia_sample::SampleTask;
use tokio::sync::Notify;

/// A keeper whose trainer hasn't pulled for this long is let go; the trainer's
/// cursor is all that its next pull needs.
const FORGET_AFTER: Duration = Duration::from_mins(30);

/// Names a keeper.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct KeeperId {
    pub(crate) customer: CustomerId,
    pub(crate) trainer: TrainerId,
}

/// What the generation for one keeper needs to know.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: KeeperId,
    pub(crate) model: ModelName,
    pub(crate) priority: u32,
    pub(crate) share_percent: u32,
    pub(crate) idle_weight_percent: u32,
    pub(crate) max_tokens: u32,
}

impl Job {
    /// Works out from the contract what a trainer's samples need.
    pub(crate) fn new(contract: &Contract, trainer: &Trainer, max_tokens: u32) -> Self {
        Self {
            id: KeeperId { customer: contract.customer.clone(), trainer: trainer.name.clone() },
            model: trainer.model.clone(),
            priority: Class::Rollout.engine_priority(contract.priority),
            share_percent: contract.share_percent,
            idle_weight_percent: contract.idle_weight_percent,
            max_tokens,
        }
    }
}

#[derive(Debug)]
struct Entry {
    keeper: SampleBuffer,
    job: Job,
    forget_at: Instant,
    /// Since when the trainer has waited for a lot.
    waits_since: Option<Instant>,
}

impl Entry {
    fn pull(&mut self, pull: &Pull) -> PullOutcome {
        let pulled = self.keeper.pull(pull);
        self.waits_since = match pulled {
            PullOutcome::Wait { .. } => self.waits_since.or_else(|| Some(Instant::now())),
            PullOutcome::Lot(_) | PullOutcome::TooFewPrompts { .. } => None,
        };
        pulled
    }
}

/// All keepers of this process.
#[derive(Debug, Default)]
pub(crate) struct Keepers {
    entries: Mutex<BTreeMap<KeeperId, Entry>>,
    next_number: AtomicU64,
    /// Wakes pulls that wait for samples.
    pub(crate) finished: Notify,
    /// Wakes the pump when there may be samples to start.
    pub(crate) wanted: Notify,
}

/// What a dump shows of a keeper.
#[derive(Debug, serde::Serialize)]
pub(crate) struct KeeperState {
    pub(crate) customer: CustomerId,
    pub(crate) trainer: TrainerId,
    pub(crate) done: u64,
    pub(crate) running: usize,
    /// How long the trainer has waited for a lot.
    pub(crate) waits_ms: u64,
    groups_ahead: usize,
    counts: cassia_sample::Counts,
}

impl Keepers {
    /// Answers a pull from what is kept.
    pub(crate) fn pull(
        &self,
        boot: BootId,
        contract: &Contract,
        job: Job,
        pull: &Pull,
    ) -> PullOutcome {
        let mut entries = self.lock();
        let pulled = self.entry(&mut entries, boot, contract, job).pull(pull);
        drop(entries);
        self.wanted.notify_one();
        pulled
    }

    /// Takes over what another process kept for a trainer.
    pub(crate) fn take_over(&self, boot: BootId, contract: &Contract, job: Job, kept: Handoff) {
        let mut entries = self.lock();
        self.entry(&mut entries, boot, contract, job).keeper.import(kept);
        drop(entries);
        self.finished.notify_waiters();
    }

    /// Gives everything away; nothing of it is handed out here any more.
    pub(crate) fn give_away(&self) -> Vec<(Job, Handoff)> {
        let entries = std::mem::take(&mut *self.lock());
        entries.into_values().map(|mut e| (e.job, e.keeper.drain())).collect()
    }

    /// Counts the samples on their way.
    pub(crate) fn running(&self) -> usize {
        self.lock().values().map(|e| e.keeper.running_samples()).sum()
    }

    fn entry<'a>(
        &self,
        entries: &'a mut BTreeMap<KeeperId, Entry>,
        boot: BootId,
        contract: &Contract,
        job: Job,
    ) -> &'a mut Entry {
        let now = Instant::now();
        entries.retain(|_, entry| now < entry.forget_at);
        let spec = lot_spec(contract);
        let forget_at = now + FORGET_AFTER;
        let entry = entries.entry(job.id.clone()).or_insert_with(|| Entry {
            keeper: SampleBuffer::new(boot, self.next_number.fetch_add(1, Ordering::Relaxed), spec),
            job: job.clone(),
            forget_at,
            waits_since: None,
        });
        entry.keeper.set_spec(spec);
        entry.job = job;
        entry.forget_at = forget_at;
        entry
    }

    /// Lists what is to be generated, with the samples running already.
    pub(crate) fn jobs(&self) -> Vec<(Job, usize)> {
        let entries = self.lock();
        entries.values().map(|e| (e.job.clone(), e.keeper.running_samples())).collect()
    }

    pub(crate) fn start(&self, id: &KeeperId, room: usize) -> Vec<SampleTask> {
        self.lock().get_mut(id).map_or_else(Vec::new, |e| e.keeper.next_tasks(room))
    }

    pub(crate) fn wants(&self, id: &KeeperId, start: &SampleTask) -> bool {
        self.lock().get(id).is_some_and(|e| e.keeper.expects(start.prompt, &start.id))
    }

    pub(crate) fn end(&self, id: &KeeperId, start: &SampleTask, sample: Option<Sample>) {
        if let Some(entry) = self.lock().get_mut(id) {
            match sample {
                Some(sample) => entry.keeper.finish(sample),
                None => entry.keeper.fail(start.prompt, &start.id),
            }
        }
        self.finished.notify_waiters();
        self.wanted.notify_one();
    }

    pub(crate) fn state(&self) -> Vec<KeeperState> {
        let entries = self.lock();
        entries
            .iter()
            .map(|(id, e)| KeeperState {
                customer: id.customer.clone(),
                trainer: id.trainer.clone(),
                done: e.keeper.finished_samples(),
                running: e.keeper.running_samples(),
                waits_ms: e.waits_since.map_or(0, |since| {
                    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
                }),
                groups_ahead: e.keeper.groups_ahead(),
                counts: e.keeper.counts(),
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<KeeperId, Entry>> {
        lock(&self.entries)
    }
}

fn lot_spec(contract: &Contract) -> LotSpec {
    let size = |n: u32| usize::try_from(n).unwrap_or(usize::MAX);
    LotSpec {
        groups: size(contract.lot.groups),
        group_size: size(contract.lot.group_size),
        staleness_bound: contract.staleness_bound,
        idle_weight_percent: contract.idle_weight_percent,
    }
}

/// Shares the keepers between the interface and the pump.
pub(crate) type SharedKeepers = Arc<Keepers>;
