//! Calls about submitted batch jobs: read results, read a body, end a job.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::JobCall;
use cassia_adapter::encode_results;
use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_jobs::JobRecord;
use cassia_jobs::MAX_PAGE_KB;
use cassia_jobs::ResultRef;
use http::Response;
use http::StatusCode;
use tokio::time::sleep;

use crate::accounts::Requester;
use crate::app::App;
use crate::job_log::SubmissionRef;
use crate::response::Body;
use crate::response::Refusal;
use crate::response::full_body;
use crate::response::json_response;

/// How long a caller waits for a response, beyond the time that it lets a read
/// wait for a result.
const CALLER_PATIENCE: Duration = Duration::from_millis(1_300);
/// The part of it in which the partition must have been read to its end; the
/// rest is for reading contents.
const READ_PATIENCE: Duration = Duration::from_secs(1);
/// How long one append may take.
const APPEND_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum time that a read waits for a result.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// How long ending a job is retried before the call is refused.
const END_RETRY_LIMIT: Duration = Duration::from_millis(2_500);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The results of a job from a position on, as far as its partition was read.
enum AvailableResults {
    NoSuchJob,
    Found {
        refs: Vec<ResultRef>,
        item_count: usize,
    },
    /// There are none yet.
    Empty {
        is_open: bool,
        item_count: usize,
    },
}

/// Returns how long a call may take.
pub(crate) fn time_limit(call: &JobCall) -> Duration {
    match call {
        JobCall::Read { wait, .. } => (*wait).min(MAX_WAIT) + CALLER_PATIENCE,
        JobCall::Body { .. } => CALLER_PATIENCE,
        JobCall::End { .. } => END_RETRY_LIMIT + APPEND_TIMEOUT,
    }
}

/// Handles a call about a submitted batch job.
pub(crate) async fn handle(app: &App, call: JobCall, requester: &Requester) -> Response<Body> {
    let (step, response) = match &call {
        JobCall::Read { job, after, wait } => {
            ("read results", read_results(app, job, requester, *after, (*wait).min(MAX_WAIT)).await)
        }
        JobCall::Body { job, item } => ("read a body", read_body(app, job, requester, item).await),
        JobCall::End { job } => ("end", end_job(app, job, requester).await),
    };
    response.unwrap_or_else(|e| {
        log::info!(event = "job_call_refused", step, call:? = call; "{e}");
        Refusal::StoreUnavailable.response(step)
    })
}

async fn read_results(
    app: &App,
    job: &str,
    requester: &Requester,
    after: usize,
    wait: Duration,
) -> Result<Response<Body>, StoreError> {
    check_store(app)?;
    let partition = app.job_log.partition_of(job);
    let wait_until = Instant::now() + wait;
    let (read_until, deadline) = (wait_until + READ_PATIENCE, wait_until + CALLER_PATIENCE);
    app.job_log.read_to_end(partition, read_until).await?;
    loop {
        match available_results(app, partition, job, requester, after) {
            AvailableResults::NoSuchJob => return Ok(Refusal::NoSuchJob.response("read results")),
            AvailableResults::Found { refs, item_count } => {
                let results = app.job_log.results(partition, &refs, deadline).await?;
                return Ok(json_response(
                    StatusCode::OK,
                    encode_results(item_count, after, &results),
                ));
            }
            AvailableResults::Empty { is_open, item_count } => {
                let left = wait_until.saturating_duration_since(Instant::now());
                if !is_open || left.is_zero() {
                    return Ok(json_response(
                        StatusCode::OK,
                        encode_results(item_count, after, &[]),
                    ));
                }
                app.job_log.partition(partition).read_next(MAX_PAGE_KB, left, read_until).await?;
            }
        }
    }
}

fn available_results(
    app: &App,
    partition: u32,
    job: &str,
    requester: &Requester,
    after: usize,
) -> AvailableResults {
    let table = app.job_log.table(partition);
    let Some(job) = table.job(job).filter(|job| requester.owns(&job.customer)) else {
        return AvailableResults::NoSuchJob;
    };
    let item_count = job.item_count();
    let refs = job.results.get(after..).unwrap_or_default().to_vec();
    if refs.is_empty() {
        return AvailableResults::Empty { is_open: job.is_open(), item_count };
    }
    AvailableResults::Found { refs, item_count }
}

async fn read_body(
    app: &App,
    job: &str,
    requester: &Requester,
    item: &str,
) -> Result<Response<Body>, StoreError> {
    check_store(app)?;
    let partition = app.job_log.partition_of(job);
    let now = Instant::now();
    let (read_until, deadline) = (now + READ_PATIENCE, now + CALLER_PATIENCE);
    app.job_log.read_to_end(partition, read_until).await?;
    let submission = {
        let table = app.job_log.table(partition);
        table
            .job(job)
            .filter(|job| !job.ended && requester.owns(&job.customer))
            .map(SubmissionRef::from)
    };
    let Some(submission) = submission else {
        return Ok(Refusal::NoSuchJob.response("read a body"));
    };
    let submission = app.job_log.submission(partition, submission, deadline).await?;
    let found = submission.items.into_iter().find(|i| i.id == item);
    Ok(found.map_or_else(
        || Refusal::NoSuchJob.response("read a body"),
        |item| Response::new(full_body(item.body)),
    ))
}

/// Refuses a read at once where the store is known to be out of reach: another
/// host may answer it.
fn check_store(app: &App) -> Result<(), StoreError> {
    if app.state.store_contact.has_lost() {
        let (kind, detail) = (StoreErrorKind::NotDone, "this host has lost the store".to_owned());
        return Err(StoreError { step: "read", kind, detail });
    }
    Ok(())
}

async fn end_job(
    app: &App,
    job: &str,
    requester: &Requester,
) -> Result<Response<Body>, StoreError> {
    let partition = app.job_log.partition_of(job);
    let until = Instant::now() + END_RETRY_LIMIT;
    loop {
        match try_end_job(app, partition, job, requester, until).await {
            Ok(response) => return Ok(response),
            Err(e) if Instant::now() + RETRY_DELAY >= until => return Err(e),
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

async fn try_end_job(
    app: &App,
    partition: u32,
    job: &str,
    requester: &Requester,
    deadline: Instant,
) -> Result<Response<Body>, StoreError> {
    app.job_log.read_to_end(partition, deadline).await?;
    let ended = {
        let table = app.job_log.table(partition);
        table.job(job).filter(|job| requester.owns(&job.customer)).map(|job| job.ended)
    };
    match ended {
        None => return Ok(Refusal::NoSuchJob.response("end")),
        Some(true) => {}
        Some(false) => {
            let record = [JobRecord::encode_end(job)];
            app.job_log.append(partition, &record, Instant::now() + APPEND_TIMEOUT).await?;
            log::info!(event = "job_ended", step = "end", id = job; "job ended");
        }
    }
    Ok(json_response(StatusCode::OK, Bytes::from_static(b"{}")))
}
