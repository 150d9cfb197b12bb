//! Calls about submitted batch jobs: read results, read a body, end a job.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::JobCall;
use cassia_adapter::encode_results;
use cassia_clients::StoreError;
use cassia_ids::Offset;
use cassia_jobs::JobRecord;
use http::Response;
use http::StatusCode;
use tokio::time::sleep;

use crate::app::App;
use crate::response::Body;
use crate::response::Refusal;
use crate::response::full_body;
use crate::response::json_response;

/// How long one call of the store may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum time that a read waits for a result.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// How long ending a job is retried before the call is refused.
const END_RETRY_LIMIT: Duration = Duration::from_millis(2_500);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The results of a job from a position on, as far as its partition was read.
enum AvailableResults {
    NoSuchJob,
    /// There are results, at these offsets.
    Found {
        offsets: Vec<Offset>,
        item_count: usize,
    },
    /// There are none yet.
    Empty {
        is_open: bool,
        item_count: usize,
    },
}

/// Handles a call about a submitted batch job.
pub(crate) async fn handle(app: &App, call: JobCall) -> Response<Body> {
    let (step, response) = match &call {
        JobCall::Read { job, after, wait } => {
            ("read results", read_results(app, job, *after, (*wait).min(MAX_WAIT)).await)
        }
        JobCall::Body { job, item } => ("read a body", read_body(app, job, item).await),
        JobCall::End { job } => ("end", end_job(app, job).await),
    };
    response.unwrap_or_else(|e| {
        log::info!(event = "job_call_refused", step, call:? = call; "{e}");
        Refusal::StoreUnavailable.response(step)
    })
}

async fn read_results(
    app: &App,
    job: &str,
    after: usize,
    wait: Duration,
) -> Result<Response<Body>, StoreError> {
    let partition = app.job_log.partition_of(job);
    let wait_until = Instant::now() + wait;
    app.job_log.read_to_end(partition, Instant::now() + CALL_TIMEOUT).await?;
    loop {
        match available_results(app, partition, job, after) {
            AvailableResults::NoSuchJob => return Ok(Refusal::NoSuchJob.response("read results")),
            AvailableResults::Found { offsets, item_count } => {
                let deadline = Instant::now() + CALL_TIMEOUT;
                let results = app.job_log.results(partition, &offsets, deadline).await?;
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
                let deadline = Instant::now() + left + CALL_TIMEOUT;
                app.job_log.read_next(partition, left, deadline).await?;
            }
        }
    }
}

fn available_results(app: &App, partition: u32, job: &str, after: usize) -> AvailableResults {
    let table = app.job_log.table(partition);
    let Some(job) = table.job(job) else {
        return AvailableResults::NoSuchJob;
    };
    let item_count = job.item_count();
    let offsets: Vec<_> = job.results.iter().skip(after).map(|(offset, _)| *offset).collect();
    if offsets.is_empty() {
        return AvailableResults::Empty { is_open: job.is_open(), item_count };
    }
    AvailableResults::Found { offsets, item_count }
}

async fn read_body(app: &App, job: &str, item: &str) -> Result<Response<Body>, StoreError> {
    let partition = app.job_log.partition_of(job);
    let deadline = Instant::now() + CALL_TIMEOUT;
    app.job_log.read_to_end(partition, deadline).await?;
    let parts = {
        let table = app.job_log.table(partition);
        table.job(job).filter(|job| !job.ended).map(|job| (job.first_offset, job.part_count))
    };
    let Some((first_offset, part_count)) = parts else {
        return Ok(Refusal::NoSuchJob.response("read a body"));
    };
    let submission = app.job_log.submission(partition, first_offset, part_count, deadline).await?;
    let found = submission.items.into_iter().find(|i| i.id == item);
    Ok(found.map_or_else(
        || Refusal::NoSuchJob.response("read a body"),
        |item| Response::new(full_body(item.body)),
    ))
}

async fn end_job(app: &App, job: &str) -> Result<Response<Body>, StoreError> {
    let partition = app.job_log.partition_of(job);
    let until = Instant::now() + END_RETRY_LIMIT;
    loop {
        match try_end_job(app, partition, job).await {
            Ok(response) => return Ok(response),
            Err(e) if Instant::now() + RETRY_DELAY >= until => return Err(e),
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

async fn try_end_job(app: &App, partition: u32, job: &str) -> Result<Response<Body>, StoreError> {
    app.job_log.read_to_end(partition, Instant::now() + CALL_TIMEOUT).await?;
    let ended = app.job_log.table(partition).job(job).map(|job| job.ended);
    match ended {
        None => return Ok(Refusal::NoSuchJob.response("end")),
        Some(true) => {}
        Some(false) => {
            let record = [JobRecord::encode_end(job)];
            app.job_log.append(partition, &record, Instant::now() + CALL_TIMEOUT).await?;
            log::info!(event = "job_ended", step = "end", id = job; "job ended");
        }
    }
    Ok(json_response(StatusCode::OK, Bytes::from_static(b"{}")))
}
