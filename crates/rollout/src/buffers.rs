//! The sample buffers of this process, one for each trainer that pulls here.

use std::collections::BTreeMap;
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
use cassia_sample::Counts;
use cassia_sample::Handoff;
use cassia_sample::LotSpec;
use cassia_sample::Pull;
use cassia_sample::PullOutcome;
use cassia_sample::Sample;
use cassia_sample::SampleBuffer;
use cassia_sample::SampleTask;
use tokio::sync::Notify;

/// A buffer is removed if its trainer hasn't pulled for this long. The next
/// pull needs only the trainer's cursor.
const IDLE_TIMEOUT: Duration = Duration::from_mins(30);

/// Identifies a trainer, and so its buffer.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct TrainerKey {
    pub(crate) customer: CustomerId,
    pub(crate) trainer: TrainerId,
}

/// Parameters for generating a trainer's samples.
#[derive(Clone, Debug)]
pub(crate) struct SampleParams {
    pub(crate) key: TrainerKey,
    pub(crate) model: ModelName,
    pub(crate) priority: u32,
    pub(crate) share_percent: u32,
    pub(crate) idle_weight_percent: u32,
    pub(crate) max_tokens: u32,
}

impl SampleParams {
    /// Derives the parameters for a trainer from the customer's contract.
    pub(crate) fn new(contract: &Contract, trainer: &Trainer, max_tokens: u32) -> Self {
        Self {
            key: TrainerKey { customer: contract.customer.clone(), trainer: trainer.name.clone() },
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
    buffer: SampleBuffer,
    params: SampleParams,
    remove_at: Instant,
    /// When the trainer began to wait for its lot.
    waiting_since: Option<Instant>,
}

impl Entry {
    fn pull(&mut self, pull: &Pull) -> PullOutcome {
        let outcome = self.buffer.pull(pull);
        self.waiting_since = match outcome {
            PullOutcome::Wait { .. } => self.waiting_since.or_else(|| Some(Instant::now())),
            PullOutcome::Lot(_) | PullOutcome::TooFewPrompts { .. } => None,
        };
        outcome
    }
}

/// All sample buffers of this process.
#[derive(Debug, Default)]
pub(crate) struct SampleBuffers {
    entries: Mutex<BTreeMap<TrainerKey, Entry>>,
    next_buffer_id: AtomicU64,
    /// Wakes pulls that wait for samples.
    pub(crate) samples_changed: Notify,
    /// Wakes the generator when there may be samples to start.
    pub(crate) tasks_available: Notify,
}

/// State of a buffer, for a state dump.
#[derive(Debug, serde::Serialize)]
pub(crate) struct BufferState {
    pub(crate) customer: CustomerId,
    pub(crate) trainer: TrainerId,
    /// Number of finished samples.
    #[serde(rename = "done")]
    pub(crate) finished: u64,
    /// Number of running samples.
    pub(crate) running: usize,
    /// How long the trainer has waited for its lot.
    #[serde(rename = "waits_ms")]
    pub(crate) wait_ms: u64,
    groups_ahead: usize,
    counts: Counts,
}

impl SampleBuffers {
    /// Serves a pull from the trainer's buffer.
    pub(crate) fn pull(
        &self,
        boot: BootId,
        contract: &Contract,
        params: SampleParams,
        pull: &Pull,
    ) -> PullOutcome {
        let mut entries = self.lock();
        let outcome = self.entry(&mut entries, boot, contract, params).pull(pull);
        drop(entries);
        self.tasks_available.notify_one();
        outcome
    }

    /// Adds the samples that another process handed off.
    pub(crate) fn import(
        &self,
        boot: BootId,
        contract: &Contract,
        params: SampleParams,
        handoff: Handoff,
    ) {
        let mut entries = self.lock();
        self.entry(&mut entries, boot, contract, params).buffer.import(handoff);
        drop(entries);
        self.samples_changed.notify_waiters();
    }

    /// Removes all buffers and returns their finished samples, which are no
    /// longer delivered here.
    pub(crate) fn drain(&self) -> Vec<(SampleParams, Handoff)> {
        let entries = std::mem::take(&mut *self.lock());
        entries.into_values().map(|mut e| (e.params, e.buffer.drain())).collect()
    }

    /// Returns the number of running samples in all buffers.
    pub(crate) fn running_samples(&self) -> usize {
        self.lock().values().map(|e| e.buffer.running_samples()).sum()
    }

    /// Returns a trainer's entry, created if there is none, and removes idle
    /// ones.
    fn entry<'a>(
        &self,
        entries: &'a mut BTreeMap<TrainerKey, Entry>,
        boot: BootId,
        contract: &Contract,
        params: SampleParams,
    ) -> &'a mut Entry {
        let now = Instant::now();
        entries.retain(|_, entry| now < entry.remove_at);
        let spec = lot_spec(contract);
        let remove_at = now + IDLE_TIMEOUT;
        let entry = entries.entry(params.key.clone()).or_insert_with(|| Entry {
            buffer: SampleBuffer::new(
                boot,
                self.next_buffer_id.fetch_add(1, Ordering::Relaxed),
                spec,
            ),
            params: params.clone(),
            remove_at,
            waiting_since: None,
        });
        entry.buffer.set_spec(spec);
        entry.params = params;
        entry.remove_at = remove_at;
        entry
    }

    /// Returns the parameters of each buffer and the number of its running
    /// samples.
    pub(crate) fn params(&self) -> Vec<(SampleParams, usize)> {
        let entries = self.lock();
        entries.values().map(|e| (e.params.clone(), e.buffer.running_samples())).collect()
    }

    /// Returns up to `max` samples to start, and marks them as running.
    pub(crate) fn next_tasks(&self, key: &TrainerKey, max: usize) -> Vec<SampleTask> {
        self.lock().get_mut(key).map_or_else(Vec::new, |e| e.buffer.next_tasks(max))
    }

    /// Returns whether the outcome of a running sample is still expected.
    pub(crate) fn expects(&self, key: &TrainerKey, task: &SampleTask) -> bool {
        self.lock().get(key).is_some_and(|e| e.buffer.expects(task.prompt, &task.id))
    }

    /// Records that a running sample finished, or failed if `sample` is `None`.
    pub(crate) fn record_end(&self, key: &TrainerKey, task: &SampleTask, sample: Option<Sample>) {
        if let Some(entry) = self.lock().get_mut(key) {
            match sample {
                Some(sample) => entry.buffer.finish(sample),
                None => entry.buffer.fail(task.prompt, &task.id),
            }
        }
        self.samples_changed.notify_waiters();
        self.tasks_available.notify_one();
    }

    /// Returns the state of each buffer.
    pub(crate) fn state(&self) -> Vec<BufferState> {
        let entries = self.lock();
        entries
            .iter()
            .map(|(key, e)| BufferState {
                customer: key.customer.clone(),
                trainer: key.trainer.clone(),
                finished: e.buffer.finished_samples(),
                running: e.buffer.running_samples(),
                wait_ms: e.waiting_since.map_or(0, |since| {
                    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
                }),
                groups_ahead: e.buffer.groups_ahead(),
                counts: e.buffer.counts(),
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<TrainerKey, Entry>> {
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
