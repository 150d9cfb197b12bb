//! Runs one batch job: selects and starts its items.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassia_ids::TargetId;
use cassia_jobs::ItemProgress;
use cassia_jobs::ItemQueue;
use cassia_jobs::Job;
use cassia_jobs::PendingItem;
use cassia_jobs::Submission;
use tokio::sync::mpsc;
use tokio::task::JoinError;
use tokio::task::JoinSet;

use crate::app::App;
use crate::clock::unix_ms;
use crate::item::JobContext;
use crate::item::JobOutput;

/// Until items are completed, the mean item of a job is estimated to take the
/// time until the job is due, divided by this.
const INITIAL_ITEM_TIME_DIVISOR: u32 = 5;
/// Weight of that estimate, as a number of completed items.
const INITIAL_ESTIMATE_WEIGHT: u64 = 8;

/// How a job's run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum JobOutcome {
    /// All items have run.
    Finished,
    /// Another process owns the partition, and items are left.
    PartitionLost,
}

/// The run of one job.
#[derive(Debug)]
pub(crate) struct JobRun {
    cx: Arc<JobContext>,
    queue: ItemQueue,
    /// Items that must be started again.
    requeued: Vec<u32>,
    /// The engine at which the last item of each group started.
    engine_by_group: HashMap<String, TargetId>,
}

impl JobRun {
    /// Creates the run of the items that have no result yet.
    pub(crate) fn new(
        app: Arc<App>,
        partition: u32,
        submission: Submission,
        job: &Job,
        progress: Vec<ItemProgress>,
        tx: mpsc::UnboundedSender<JobOutput>,
    ) -> Self {
        let wanted = usize::try_from(submission.groups_wanted).unwrap_or(usize::MAX);
        let required = required_groups(&submission, wanted / 2);
        let items = submission.items.iter().zip(0_u32..);
        let pending = items.filter(|(_, index)| !job.has_result(*index));
        let pending = pending.map(|(item, index)| PendingItem {
            index,
            group: &item.group,
            tokens: item.expected_output.max(1),
            required: required.contains(item.group.as_str()),
        });
        let missing = wanted.saturating_sub(complete_group_count(&submission, job));
        // 0 would stand for all groups. If the trainer waits for no more, the
        // other groups stay optional.
        let queue = ItemQueue::new(pending, if wanted == 0 { 0 } else { missing.max(1) });
        let cx = Arc::new(JobContext::new(app, partition, submission, progress, tx));
        Self { cx, queue, requeued: Vec::new(), engine_by_group: HashMap::new() }
    }

    /// Runs the items as slots become free. While another process owns the
    /// partition, started items continue and no others start. If the partition
    /// comes back before they are done, the other items start here again.
    pub(crate) async fn run(mut self) -> JobOutcome {
        let mut running = JoinSet::new();
        loop {
            self.start_items(&mut running).await;
            let has_pending = self.has_pending();
            tokio::select! {
                finished = running.join_next() => match finished {
                    Some(finished) => self.handle_finished(finished),
                    None if !has_pending => return JobOutcome::Finished,
                    None if !self.cx.is_owned() => return JobOutcome::PartitionLost,
                    None => {}
                },
                () = self.cx.wait_until_owned(), if has_pending => {}
            }
        }
    }

    /// Starts items until all have started or the partition is lost.
    async fn start_items(&mut self, running: &mut JoinSet<Option<u32>>) {
        while let Some(index) = self.next_item(running.len()) {
            // Another process may have run it in the meantime.
            if self.cx.has_result(index) {
                continue;
            }
            let group = self.cx.item(index).group.clone();
            let preferred = self.engine_by_group.get(&group).cloned();
            let Some(slot) = self.cx.wait_for_slot(index, preferred.as_deref(), &[], None).await
            else {
                self.requeued.push(index);
                return;
            };
            if let Some(engine) = &slot.engine {
                self.engine_by_group.insert(group, engine.target().info.id.clone());
            }
            running.spawn(Arc::clone(&self.cx).run_item(index, slot));
            while let Some(finished) = running.try_join_next() {
                self.handle_finished(finished);
            }
        }
    }

    fn next_item(&mut self, running: usize) -> Option<u32> {
        let token_budget = self.token_budget(running);
        self.requeued.pop().or_else(|| self.queue.pop(token_budget))
    }

    fn has_pending(&self) -> bool {
        !self.requeued.is_empty() || !self.queue.is_empty()
    }

    fn handle_finished(&mut self, finished: Result<Option<u32>, JoinError>) {
        match finished {
            Ok(unfinished) => self.requeued.extend(unfinished),
            Err(e) => {
                log::warn!(event = "item_failed", step = "run", id = self.cx.submission.id.as_str(); "{e}");
            }
        }
    }

    /// Estimates how many tokens can be generated for the job before it is
    /// due, with its slots and the free ones.
    fn token_budget(&self, running: usize) -> u64 {
        let (submission, Some(first)) = (&self.cx.submission, self.cx.submission.items.first())
        else {
            return 0;
        };
        let Some(route) = self.cx.find_route(&submission.host, &first.path) else {
            return 0;
        };
        let due = Duration::from_millis(route.job.due_ms);
        let left_ms = (submission.accepted_ms + route.job.due_ms).saturating_sub(unix_ms());
        let slots = u64::from(self.cx.free_slots(0)) + u64::try_from(running).unwrap_or(0);
        let prior = (due / INITIAL_ITEM_TIME_DIVISOR, self.cx.mean_tokens);
        let micros_per_token = self.cx.token_time.micros_per_token(prior, INITIAL_ESTIMATE_WEIGHT);
        slots.saturating_mul(left_ms * 1_000) / micros_per_token.max(1)
    }
}

/// Returns the first `max` groups of a job. They include the groups that are
/// resubmitted from an earlier job, which are at most half of those that the
/// trainer waits for.
fn required_groups(submission: &Submission, max: usize) -> BTreeSet<&str> {
    let mut groups = BTreeSet::new();
    for item in &submission.items {
        if groups.len() >= max && !groups.contains(item.group.as_str()) {
            break;
        }
        groups.insert(item.group.as_str());
    }
    groups
}

/// Returns the number of groups of which all items have results.
fn complete_group_count(submission: &Submission, job: &Job) -> usize {
    let mut is_complete: BTreeMap<&str, bool> = BTreeMap::new();
    for (item, index) in submission.items.iter().zip(0_u32..) {
        *is_complete.entry(&item.group).or_insert(true) &= job.has_result(index);
    }
    is_complete.values().filter(|complete| **complete).count()
}
