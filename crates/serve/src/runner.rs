//! Runs the batch jobs of one partition, as long as it is this process's.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_jobs::ItemResult;
use cassia_jobs::Job;
use cassia_jobs::JobId;
use cassia_jobs::Submission;
use cassia_platform::StoreErrorKind;
use futures::FutureExt;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::app::App;
use crate::job::JobRun;
use crate::job::Ran;

/// How long a read waits for news.
const LONG_POLL: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_millis(600);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long a job's records may take to be read.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long results are gathered into one append.
const GATHER: Duration = Duration::from_millis(4);
/// Bytes of results that one append takes.
const MOST_APPENDED: usize = 512 << 10;
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A job that this process runs.
#[derive(Debug)]
struct Running {
    /// None once nothing is left to do.
    task: Option<JoinHandle<Ran>>,
}

impl Running {
    fn is_under_way(&self) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }
}

/// Runs the jobs of a partition until it is no longer this process's and what
/// had begun is over.
pub(crate) async fn run(app: Arc<App>, partition: u32) {
    let (tx, rx) = mpsc::unbounded_channel();
    let lister = tokio::spawn(list(Arc::clone(&app), partition, rx));
    let mut jobs: HashMap<JobId, Running> = HashMap::new();
    while is_owned(&app, partition) || jobs.values().any(Running::is_under_way) {
        let deadline = Instant::now() + LONG_POLL + PATIENCE;
        let read = app.shelf.read_on(partition, LONG_POLL, deadline);
        let read = tokio::select! {
            read = read => read,
            // What runs is over before the next news: nothing holds this.
            () = until_lost(&app, partition), if jobs.is_empty() => continue,
        };
        let at_end = match read {
            Ok(at_end) => at_end,
            Err(e) => {
                log::debug!(event = "store_away", step = e.step, partition; "{e}");
                sleep(RETRY_PAUSE).await;
                false
            }
        };
        end_jobs(&app, partition, &mut jobs);
        forget_left(&mut jobs);
        // Before the end of the partition was read, a job may look open whose
        // end is in what is still to come.
        if at_end && is_owned(&app, partition) {
            begin_jobs(&app, partition, &mut jobs, &tx).await;
        }
    }
    drop(tx);
    if let Err(e) = lister.await {
        log::warn!(event = "lister_failed", step = "list", partition; "{e}");
    }
}

fn is_owned(app: &App, partition: u32) -> bool {
    app.board.owned.borrow().contains(&partition)
}

async fn until_lost(app: &App, partition: u32) {
    let mut owned = app.board.owned.subscribe();
    // The sender lives as long as the board does.
    let _ = owned.wait_for(|owned| !owned.contains(&partition)).await;
}

/// Drops the runs of jobs that are ended, with their requests at engines.
fn end_jobs(app: &App, partition: u32, jobs: &mut HashMap<JobId, Running>) {
    let fold = app.shelf.fold(partition);
    jobs.retain(|id, running| {
        let open = fold.job(id).is_some_and(Job::is_open);
        if let Some(task) = running.task.as_ref().filter(|task| !open && !task.is_finished()) {
            log::info!(event = "job_over", step = "run", id = id.as_str(); "over");
            task.abort();
        }
        open
    });
}

/// Forgets the jobs whose run was left because the partition was lost: they
/// begin anew if it comes back.
fn forget_left(jobs: &mut HashMap<JobId, Running>) {
    jobs.retain(|_, running| {
        match running.task.as_mut().and_then(FutureExt::now_or_never) {
            Some(Ok(Ran::Left)) => false,
            // One that failed would fail again.
            Some(Ok(Ran::Whole) | Err(_)) => {
                running.task = None;
                true
            }
            None => true,
        }
    });
}

async fn begin_jobs(
    app: &Arc<App>,
    partition: u32,
    jobs: &mut HashMap<JobId, Running>,
    tx: &mpsc::UnboundedSender<ItemResult>,
) {
    let open: Vec<_> = {
        let fold = app.shelf.fold(partition);
        let open = fold.jobs().filter(|(id, job)| job.is_open() && !jobs.contains_key(*id));
        open.map(|(id, job)| (id.clone(), job.clone())).collect()
    };
    for (id, job) in open {
        let deadline = Instant::now() + LOAD_TIMEOUT;
        match app.shelf.submission(partition, job.first_offset, job.part_count, deadline).await {
            Ok(submission) => {
                tell_begun(app, &submission, &job);
                let run = JobRun::new(Arc::clone(app), partition, submission, &job, tx.clone());
                jobs.insert(id, Running { task: Some(tokio::spawn(run.run())) });
            }
            // It stays open in the fold, so the next round tries again.
            Err(e) => {
                log::warn!(event = "job_unread", step = e.step, id = id.as_str(); "{e}");
            }
        }
    }
}

fn tell_begun(app: &App, submission: &Submission, job: &Job) {
    let (id, model, groups_wanted) =
        (submission.id.as_str(), submission.model.as_str(), submission.groups_wanted);
    let (items, listed, min_version) =
        (submission.items.len(), job.results.len(), submission.min_version);
    let table = app.board.routes.load();
    let route = table.as_ref().and_then(|table| table.find(&submission.host, &submission.path));
    let due_ms = route.map(|route| route.job.due_ms);
    log::info!(event = "job_begun", step = "run", id, model, min_version, items, listed, groups_wanted, due_ms, offset = job.first_offset; "begun");
}

/// Appends results until all who may send some are gone and all are in.
async fn list(app: Arc<App>, partition: u32, mut rx: mpsc::UnboundedReceiver<ItemResult>) {
    while let Some(first) = rx.recv().await {
        sleep(GATHER).await;
        let mut records = vec![first.to_record()];
        let mut size = records[0].len();
        while size < MOST_APPENDED {
            let Ok(result) = rx.try_recv() else { break };
            let record = result.to_record();
            size += record.len();
            records.push(record);
        }
        append(&app, partition, &records).await;
    }
}

/// Appends until the store says that the records are in. Results that are in
/// twice count once, so an answer that is lost costs a repetition.
async fn append(app: &App, partition: u32, records: &[Bytes]) {
    loop {
        let deadline = Instant::now() + APPEND_TIMEOUT;
        match app.shelf.append(partition, records, deadline).await {
            Ok(appended) => {
                let (offset, count) = (appended.offset, records.len());
                log::info!(event = "results_listed", step = "list", partition, offset, count; "listed");
                return;
            }
            Err(e) => {
                let sure = e.kind == StoreErrorKind::NotDone;
                log::info!(event = "append_failed", step = e.step, partition, sure; "{e}");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
