//! Calls about batch jobs that are in: read, read a body, end.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::JobCall;
use cassia_adapter::encode_results;
use cassia_ids::Offset;
use cassia_jobs::JobRecord;
use cassia_platform::StoreError;
use http::Response;
use http::StatusCode;
use tokio::time::sleep;

use crate::app::App;
use crate::reply::Body;
use crate::reply::Refusal;
use crate::reply::json_answer;
use crate::reply::whole;

/// How long the store may take for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest that a read is kept waiting for a result.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// How long the end of a job is tried before the caller is told to come back.
const END_FOR: Duration = Duration::from_millis(2_500);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What is known of a job's results from a position on.
enum Listed {
    NoSuchJob,
    /// The offsets of some results.
    Some(Vec<Offset>, usize),
    /// None yet; whether more may come.
    None(bool, usize),
}

/// Answers a call about a batch job.
pub(crate) async fn answer(app: &App, call: JobCall) -> Response<Body> {
    let (step, answer) = match &call {
        JobCall::Read { job, after, wait } => {
            ("read results", read(app, job, *after, (*wait).min(LONGEST_WAIT)).await)
        }
        JobCall::Body { job, item } => ("read a body", body(app, job, item).await),
        JobCall::End { job } => ("end", end(app, job).await),
    };
    answer.unwrap_or_else(|e| {
        log::info!(event = "job_call_refused", step, call:? = call; "{e}");
        Refusal::StoreAway.answer(step)
    })
}

async fn read(
    app: &App,
    job: &str,
    after: usize,
    wait: Duration,
) -> Result<Response<Body>, StoreError> {
    let partition = app.shelf.partition_of(job);
    let wait_until = Instant::now() + wait;
    app.shelf.catch_up(partition, Instant::now() + CALL_TIMEOUT).await?;
    loop {
        match listed(app, partition, job, after) {
            Listed::NoSuchJob => return Ok(Refusal::NoSuchJob.answer("read results")),
            Listed::Some(offsets, total) => {
                let deadline = Instant::now() + CALL_TIMEOUT;
                let results = app.shelf.results(partition, &offsets, deadline).await?;
                return Ok(json_answer(StatusCode::OK, encode_results(total, after, &results)));
            }
            Listed::None(more, total) => {
                let left = wait_until.saturating_duration_since(Instant::now());
                if !more || left.is_zero() {
                    return Ok(json_answer(StatusCode::OK, encode_results(total, after, &[])));
                }
                let deadline = Instant::now() + left + CALL_TIMEOUT;
                app.shelf.read_on(partition, left, deadline).await?;
            }
        }
    }
}

fn listed(app: &App, partition: u32, job: &str, after: usize) -> Listed {
    let fold = app.shelf.fold(partition);
    let Some(job) = fold.job(job) else {
        return Listed::NoSuchJob;
    };
    let offsets: Vec<_> = job.results.iter().skip(after).map(|(offset, _)| *offset).collect();
    if offsets.is_empty() {
        return Listed::None(job.is_open(), job.item_count());
    }
    Listed::Some(offsets, job.item_count())
}

async fn body(app: &App, job: &str, item: &str) -> Result<Response<Body>, StoreError> {
    let partition = app.shelf.partition_of(job);
    let deadline = Instant::now() + CALL_TIMEOUT;
    app.shelf.catch_up(partition, deadline).await?;
    let place = {
        let fold = app.shelf.fold(partition);
        fold.job(job).filter(|job| !job.ended).map(|job| (job.first_offset, job.part_count))
    };
    let Some((first, parts)) = place else {
        return Ok(Refusal::NoSuchJob.answer("read a body"));
    };
    let submission = app.shelf.submission(partition, first, parts, deadline).await?;
    let found = submission.items.into_iter().find(|i| i.id == item);
    Ok(found.map_or_else(
        || Refusal::NoSuchJob.answer("read a body"),
        |item| Response::new(whole(item.body)),
    ))
}

async fn end(app: &App, job: &str) -> Result<Response<Body>, StoreError> {
    let partition = app.shelf.partition_of(job);
    let until = Instant::now() + END_FOR;
    loop {
        match try_end(app, partition, job).await {
            Ok(answer) => return Ok(answer),
            Err(e) if Instant::now() + RETRY_PAUSE >= until => return Err(e),
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

async fn try_end(app: &App, partition: u32, job: &str) -> Result<Response<Body>, StoreError> {
    app.shelf.catch_up(partition, Instant::now() + CALL_TIMEOUT).await?;
    let ended = app.shelf.fold(partition).job(job).map(|job| job.ended);
    match ended {
        None => return Ok(Refusal::NoSuchJob.answer("end")),
        Some(true) => {}
        Some(false) => {
            let record = [JobRecord::encode_end(job)];
            app.shelf.append(partition, &record, Instant::now() + CALL_TIMEOUT).await?;
            log::info!(event = "job_ended", step = "end", id = job; "ended");
        }
    }
    Ok(json_answer(StatusCode::OK, Bytes::from_static(b"{}")))
}
