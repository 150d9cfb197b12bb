//! Runs one batch job: which item begins when.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassia_ids::TargetId;
use cassia_jobs::ItemQueue;
use cassia_jobs::ItemResult;
use cassia_jobs::Job;
use cassia_jobs::PendingItem;
use cassia_jobs::Submission;
use tokio::sync::mpsc;
use tokio::task::JoinError;
use tokio::task::JoinSet;

use crate::app::App;
use crate::clock::wall_ms;
use crate::item::JobCx;

/// Before any item of a job is done, an average one is taken to need this part
/// of the time until the job is due.
const DUE_PARTS: u32 = 5;
/// So many items' worth that guess weighs against what was seen.
const GUESS_WEIGHT: u64 = 8;

/// How a job's run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ran {
    /// Nothing is left to do.
    Whole,
    /// The partition is another process's, and items are left.
    Left,
}

/// One job that is being run.
#[derive(Debug)]
pub(crate) struct JobRun {
    cx: Arc<JobCx>,
    agenda: ItemQueue,
    /// Items that must begin again.
    again: Vec<u32>,
    /// The engine that the last item of a group went to.
    homes: HashMap<String, TargetId>,
}

impl JobRun {
    /// Prepares the run of what isn't listed yet.
    pub(crate) fn new(
        app: Arc<App>,
        partition: u32,
        submission: Submission,
        job: &Job,
        tx: mpsc::UnboundedSender<ItemResult>,
    ) -> Self {
        let wanted = usize::try_from(submission.groups_wanted).unwrap_or(usize::MAX);
        let first = first_groups(&submission, wanted / 2);
        let items = submission.items.iter().zip(0_u32..);
        let pending = items.filter(|(_, index)| !job.has_result(*index));
        let pending = pending.map(|(item, index)| PendingItem {
            index,
            group: &item.group,
            tokens: item.expected_output.max(1),
            required: first.contains(item.group.as_str()),
        });
        let missing = wanted.saturating_sub(whole_groups(&submission, job));
        // All that the trainer waits for is there: what is left is for nobody.
        let agenda = ItemQueue::new(pending, if wanted == 0 { 0 } else { missing.max(1) });
        let cx = Arc::new(JobCx::new(app, partition, submission, tx));
        Self { cx, agenda, again: Vec::new(), homes: HashMap::new() }
    }

    /// Runs the items as slots become free. While the partition is another
    /// process's, what has begun goes on and nothing else begins; if it comes
    /// back before that is over, the rest begins here again.
    pub(crate) async fn run(mut self) -> Ran {
        let mut running = JoinSet::new();
        loop {
            self.begin_items(&mut running).await;
            let has_left = self.has_left();
            tokio::select! {
                ended = running.join_next() => match ended {
                    Some(ended) => self.note_ended(ended),
                    None if !has_left => return Ran::Whole,
                    None if !self.cx.is_owned() => return Ran::Left,
                    None => {}
                },
                () = self.cx.until_owned(), if has_left => {}
            }
        }
    }

    /// Begins items until all have begun or the partition is lost.
    async fn begin_items(&mut self, running: &mut JoinSet<Option<u32>>) {
        while let Some(index) = self.next(running.len()) {
            // Another process may have run it meanwhile.
            if self.cx.is_listed(index) {
                continue;
            }
            let group = self.cx.item(index).group.clone();
            let home = self.homes.get(&group).cloned();
            let Some(slot) = self.cx.slot(index, home.as_deref(), &[]).await else {
                self.again.push(index);
                return;
            };
            if let Some(engine) = &slot.engine {
                self.homes.insert(group, engine.target().info.id.clone());
            }
            running.spawn(Arc::clone(&self.cx).run_item(index, slot));
            while let Some(ended) = running.try_join_next() {
                self.note_ended(ended);
            }
        }
    }

    fn next(&mut self, running: usize) -> Option<u32> {
        let room = self.room(running);
        self.again.pop().or_else(|| self.agenda.pop(room))
    }

    fn has_left(&self) -> bool {
        !self.again.is_empty() || !self.agenda.is_empty()
    }

    fn note_ended(&mut self, ended: Result<Option<u32>, JoinError>) {
        match ended {
            Ok(left) => self.again.extend(left),
            Err(e) => {
                log::warn!(event = "item_failed", step = "run", id = self.cx.job.id.as_str(); "{e}");
            }
        }
    }

    /// Estimates how many tokens can be generated for the job until it is due,
    /// on the slots that it has and those that are free.
    fn room(&self, running: usize) -> u64 {
        let (job, Some(first)) = (&self.cx.job, self.cx.job.items.first()) else {
            return 0;
        };
        let Some(route) = self.cx.route(&job.host, &first.path) else {
            return 0;
        };
        let due = Duration::from_millis(route.job.due_ms);
        let left_ms = (job.accepted_ms + route.job.due_ms).saturating_sub(wall_ms());
        let slots = u64::from(self.cx.free_slots(0)) + u64::try_from(running).unwrap_or(0);
        let guess = (due / DUE_PARTS, self.cx.mean_tokens);
        let per_token = self.cx.pace.micros_per_token(guess, GUESS_WEIGHT);
        slots.saturating_mul(left_ms * 1_000) / per_token.max(1)
    }
}

/// Lists the first groups of a job: those that come again from an earlier one
/// are among them, and make up at most half of those that are waited for.
fn first_groups(submission: &Submission, most: usize) -> BTreeSet<&str> {
    let mut first = BTreeSet::new();
    for item in &submission.items {
        if first.len() >= most && !first.contains(item.group.as_str()) {
            break;
        }
        first.insert(item.group.as_str());
    }
    first
}

/// Counts the groups of which all items are listed.
fn whole_groups(submission: &Submission, job: &Job) -> usize {
    let mut whole: BTreeMap<&str, bool> = BTreeMap::new();
    for (item, index) in submission.items.iter().zip(0_u32..) {
        *whole.entry(&item.group).or_insert(true) &= job.has_result(index);
    }
    whole.values().filter(|whole| **whole).count()
}
