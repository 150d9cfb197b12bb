//! Submission of a batch job, which is accepted once its records are in the
//! log.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::RequestHead;
use cassia_adapter::decode_submission;
use cassia_clients::StoreErrorKind;
use cassia_route::Route;
use http::Response;
use http::StatusCode;
use http::request::Parts;

use crate::accounts::Requester;
use crate::app::App;
use crate::clock::unix_ms;
use crate::response::Body;
use crate::response::Refusal;
use crate::response::json_response;

/// How long appending a job is retried before it is refused.
const RETRY_LIMIT: Duration = Duration::from_millis(3_500);
/// How long one call of the store may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The outcome of appending a job to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AppendOutcome {
    /// The job is in the log.
    Appended,
    /// The job is not in the log, and no append of it is pending.
    NotAppended,
    /// The job may be in the log, or a pending append may add it later.
    Unknown,
}

impl AppendOutcome {
    /// Returns the value that is logged.
    fn as_str(self) -> &'static str {
        match self {
            Self::Appended => "InTheLog",
            Self::NotAppended => "NotThere",
            Self::Unknown => "Unknown",
        }
    }
}

/// Handles the submission of a batch job.
pub(crate) async fn handle(
    app: &App,
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: Bytes,
    requester: &Requester,
) -> Response<Body> {
    let accepted_ms = unix_ms();
    let job = decode_submission(&head.id, &head.host, parts.uri.path(), accepted_ms, &body);
    let mut job = match job {
        Ok(job) if !head.id.is_empty() => job,
        Ok(_) => return Refusal::BadRequest.response("submit"),
        Err(e) => {
            log::info!(event = "job_unreadable", step = "submit", id = head.id.as_str(); "{e}");
            return Refusal::BadRequest.response("submit");
        }
    };
    job.customer = requester.customer().map(ToString::to_string).unwrap_or_default();
    let records = match job.to_records(app.settings.record_bytes, app.settings.append_bytes) {
        Ok(records) => records,
        Err(e) => {
            log::warn!(event = "job_too_large", step = "submit", id = head.id.as_str(); "{e}");
            return Refusal::TooLarge.response("submit");
        }
    };
    drop(body);
    let started = Instant::now();
    let caller_timeout = head.timeout.unwrap_or_else(|| route.timeout());
    let until = started + RETRY_LIMIT.min(caller_timeout / 3);
    let outcome = append_job(app, &job.id, &records, until).await;
    let took_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let (id, items, step, fate) = (head.id.as_str(), job.items.len(), job.step, outcome.as_str());
    app.metrics.time("job.accept", &route.name, started.elapsed());
    log::info!(event = "job_submitted", step = "submit", id, items, trainer_step = step, fate, took_ms; "job submission handled");
    match outcome {
        AppendOutcome::Appended => json_response(StatusCode::ACCEPTED, Bytes::from_static(b"{}")),
        AppendOutcome::NotAppended => Refusal::StoreUnavailable.response("submit"),
        AppendOutcome::Unknown => Refusal::OutcomeUnknown.response("submit"),
    }
}

/// Appends a job unless it is in the log already. An append whose response is
/// lost may take effect later, so the outcome is `NotAppended` only if no
/// response was lost.
async fn append_job(app: &App, job: &str, records: &[Bytes], until: Instant) -> AppendOutcome {
    let partition = app.job_log.partition_of(job);
    let mut outcome = AppendOutcome::NotAppended;
    loop {
        let deadline = (Instant::now() + CALL_TIMEOUT).min(until);
        let read = app.job_log.read_to_end(partition, deadline).await;
        if app.job_log.table(partition).job(job).is_some() {
            return AppendOutcome::Appended;
        }
        if read.is_ok() {
            let deadline = (Instant::now() + CALL_TIMEOUT).min(until);
            match app.job_log.append(partition, records, deadline).await {
                Ok(offset) => {
                    log::info!(event = "job_accepted", step = "submit", id = job, partition, offset; "job appended to the log");
                    return AppendOutcome::Appended;
                }
                Err(e) if e.kind == StoreErrorKind::NotDone => {}
                Err(e) => {
                    outcome = AppendOutcome::Unknown;
                    log::info!(event = "append_unknown", step = e.step, id = job; "{e}");
                }
            }
        }
        if Instant::now() + RETRY_DELAY >= until {
            return outcome;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
