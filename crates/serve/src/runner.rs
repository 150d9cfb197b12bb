//! Runs the batch jobs of one partition while this process owns it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_clients::StoreErrorKind;
use cassia_jobs::JOBS_TOPIC;
use cassia_jobs::Job;
use cassia_jobs::JobId;
use cassia_jobs::Submission;
use futures::FutureExt;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::accounts::may_run_items;
use crate::app::App;
use crate::follow::Follower;
use crate::item::JobOutput;
use crate::job::JobOutcome;
use crate::job::JobRun;

const RETRY_DELAY: Duration = Duration::from_millis(100);
/// After how long reading a partition to its end is begun again.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// How long reading a job's submission may take.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long results are collected for one append.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// Size of an append from which on no more results are added to it.
const FULL_APPEND_BYTES: usize = 512 << 10;
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A job that this process runs.
#[derive(Debug)]
struct RunningJob {
    /// `None` once the run has finished.
    task: Option<JoinHandle<JobOutcome>>,
}

impl RunningJob {
    fn is_running(&self) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }
}

/// Runs the jobs of a partition until this process no longer owns it and the
/// running items are done.
pub(crate) async fn run(app: Arc<App>, partition: u32) {
    let (tx, rx) = mpsc::unbounded_channel();
    let appender = tokio::spawn(append_results(Arc::clone(&app), partition, rx));
    let mut jobs: HashMap<JobId, RunningJob> = HashMap::new();
    let mut snapshots = SnapshotWriter::new(Arc::clone(&app), partition);
    let mut follower = Follower::default();
    let log = app.job_log.partition(partition);
    let mut store_back = app.state.store_contact.subscribe(log.in_topic(JOBS_TOPIC));
    // From here on every record is read as it is appended.
    if read_from_snapshot(&app, partition).await {
        start_jobs(&app, partition, &mut jobs, &tx).await;
    }
    while is_owned(&app, partition) || jobs.values().any(RunningJob::is_running) {
        let waits_for_records = follower.waits_for_records();
        let read = tokio::select! {
            read = follower.read(app.job_log.partition(partition)) => read,
            _ = store_back.changed(), if waits_for_records => {
                follower.read_at_once();
                continue;
            }
            // Without jobs there is no reason to wait for the read.
            () = wait_until_lost(&app, partition), if jobs.is_empty() => continue,
        };
        let at_end = match read {
            Ok(at_end) => at_end,
            Err(e) => {
                log::debug!(event = "store_away", step = e.step, partition; "{e}");
                sleep(RETRY_DELAY).await;
                false
            }
        };
        abort_ended_jobs(&app, partition, &mut jobs);
        remove_interrupted(&mut jobs);
        // Until the partition has been read to its end, a job that has already
        // been ended may still seem open.
        if at_end && is_owned(&app, partition) {
            start_jobs(&app, partition, &mut jobs, &tx).await;
            snapshots.write_if_due();
        }
    }
    drop(tx);
    if let Err(e) = appender.await {
        log::warn!(event = "lister_failed", step = "list", partition; "{e}");
    }
}

/// Reads the partition to its end, from the newest snapshot on. Returns false
/// if this process loses the partition before.
async fn read_from_snapshot(app: &App, partition: u32) -> bool {
    while is_owned(app, partition) {
        let deadline = Instant::now() + FIRST_READ_TIMEOUT;
        let read = tokio::select! {
            read = app.job_log.read_to_end(partition, deadline) => read,
            () = wait_until_lost(app, partition) => return false,
        };
        let Err(e) = read else { return true };
        log::debug!(event = "store_away", step = e.step, partition; "{e}");
        sleep(RETRY_DELAY).await;
    }
    false
}

/// Writes the snapshots of a partition, one at a time.
#[derive(Debug)]
struct SnapshotWriter {
    app: Arc<App>,
    partition: u32,
    running: Option<JoinHandle<()>>,
}

impl SnapshotWriter {
    fn new(app: Arc<App>, partition: u32) -> Self {
        Self { app, partition, running: None }
    }

    fn write_if_due(&mut self) {
        if self.running.as_ref().is_some_and(|task| !task.is_finished()) {
            return;
        }
        let partition = Arc::clone(self.app.job_log.partition(self.partition));
        let max_bytes = self.app.settings.record_bytes;
        self.running = partition.has_due_snapshot().then(|| {
            tokio::spawn(async move {
                if let Err(e) = partition.write_snapshot(max_bytes).await {
                    log::info!(event = "snapshot_failed", step = e.step; "{e}");
                }
            })
        });
    }
}

fn is_owned(app: &App, partition: u32) -> bool {
    app.state.owned.borrow().contains(&partition)
}

async fn wait_until_lost(app: &App, partition: u32) {
    let mut owned = app.state.owned.subscribe();
    // The sender lives as long as the shared state.
    let _ = owned.wait_for(|owned| !owned.contains(&partition)).await;
}

/// Aborts the runs of jobs that are no longer open, or whose items must not run, with
/// their requests at engines.
fn abort_ended_jobs(app: &App, partition: u32, jobs: &mut HashMap<JobId, RunningJob>) {
    let table = app.job_log.table(partition);
    jobs.retain(|id, running| {
        let open = table.job(id).is_some_and(|job| may_run(app, job));
        if let Some(task) = running.task.as_ref().filter(|task| !open && !task.is_finished()) {
            log::info!(event = "job_over", step = "run", id = id.as_str(); "job is no longer open");
            task.abort();
        }
        open
    });
}

/// Removes the jobs whose run ended because the partition was lost; they start
/// again if it comes back.
fn remove_interrupted(jobs: &mut HashMap<JobId, RunningJob>) {
    jobs.retain(|_, running| {
        match running.task.as_mut().and_then(FutureExt::now_or_never) {
            Some(Ok(JobOutcome::PartitionLost)) => false,
            // A run that failed would fail again.
            Some(Ok(JobOutcome::Finished) | Err(_)) => {
                running.task = None;
                true
            }
            None => true,
        }
    });
}

/// Returns whether a job has items to run, and may run them.
fn may_run(app: &App, job: &Job) -> bool {
    job.is_open() && may_run_items(app, &job.customer)
}

async fn start_jobs(
    app: &Arc<App>,
    partition: u32,
    jobs: &mut HashMap<JobId, RunningJob>,
    tx: &mpsc::UnboundedSender<JobOutput>,
) {
    let open: Vec<_> = {
        let table = app.job_log.table(partition);
        let open = table.jobs().filter(|(id, job)| may_run(app, job) && !jobs.contains_key(*id));
        open.map(|(id, job)| (id.clone(), job.clone())).collect()
    };
    for (id, job) in open {
        let deadline = Instant::now() + LOAD_TIMEOUT;
        match app.job_log.submission(partition, (&job).into(), deadline).await {
            Ok(submission) => {
                log_job_started(app, &submission, &job);
                record_demand(app, partition, &submission);
                let progress = app.job_log.progress(partition, &job, deadline).await;
                let (app, tx) = (Arc::clone(app), tx.clone());
                let run = JobRun::new(app, partition, submission, &job, progress, tx);
                jobs.insert(id, RunningJob { task: Some(tokio::spawn(run.run())) });
            }
            // The job stays open in the table, so the next round tries again.
            Err(e) => {
                log::warn!(event = "job_unread", step = e.step, id = id.as_str(); "{e}");
            }
        }
    }
}

/// Records what a job needs, where hosts report it: there old jobs are removed, too.
fn record_demand(app: &App, partition: u32, submission: &Submission) {
    let scales = app.settings.duties.as_ref().is_some_and(|duties| duties.scales);
    let table = app.state.routes.load();
    if let Some(table) = table.as_deref().filter(|_| scales) {
        app.demand.record_job(table, partition, submission);
    }
}

fn log_job_started(app: &App, submission: &Submission, job: &Job) {
    let (id, model, groups_wanted) =
        (submission.id.as_str(), submission.model.as_str(), submission.groups_wanted);
    let (items, results, min_version) =
        (submission.items.len(), job.results.len(), submission.min_version);
    let table = app.state.routes.load();
    let route = table.as_ref().and_then(|table| table.find(&submission.host, &submission.path));
    let due_ms = route.map(|route| route.job.due_ms);
    log::info!(event = "job_begun", step = "run", id, model, min_version, items, listed = results, groups_wanted, due_ms, offset = job.first_offset; "job started");
}

/// Appends the results and the progress received from `rx` until all senders
/// are gone.
async fn append_results(app: Arc<App>, partition: u32, mut rx: mpsc::UnboundedReceiver<JobOutput>) {
    while let Some(first) = rx.recv().await {
        sleep(BATCH_DELAY).await;
        let mut batch = Batch::default();
        batch.add(&first);
        while batch.bytes < FULL_APPEND_BYTES {
            let Ok(output) = rx.try_recv() else { break };
            batch.add(&output);
        }
        append(&app, partition, &batch).await;
    }
}

/// The records of one append.
#[derive(Debug, Default)]
struct Batch {
    records: Vec<Bytes>,
    bytes: usize,
    /// Number of results among the records.
    results: usize,
}

impl Batch {
    fn add(&mut self, output: &JobOutput) {
        let record = output.to_record();
        self.bytes += record.len();
        self.records.push(record);
        self.results += usize::from(matches!(output, JobOutput::Result(_)));
    }
}

/// Appends records until the store confirms it. If a confirmation is lost,
/// they are appended twice; the job table ignores duplicate results.
async fn append(app: &App, partition: u32, batch: &Batch) {
    loop {
        let deadline = Instant::now() + APPEND_TIMEOUT;
        match app.job_log.append(partition, &batch.records, deadline).await {
            Ok(offset) => {
                let (count, records) = (batch.results, batch.records.len());
                if count > 0 {
                    log::info!(event = "results_listed", step = "list", partition, offset, count, records; "results appended");
                }
                return;
            }
            Err(e) => {
                let sure = e.kind == StoreErrorKind::NotDone;
                log::info!(event = "append_failed", step = e.step, partition, sure; "{e}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
