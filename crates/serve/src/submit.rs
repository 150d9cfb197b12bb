//! Submission of a batch job, which is accepted once its records are in the
//! log.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::RequestHead;
use cassia_adapter::decode_submission;
use cassia_clients::StoreErrorKind;
use cassia_ids::Offset;
use cassia_route::Route;
use http::Response;
use http::StatusCode;
use http::request::Parts;

use crate::accounts::Requester;
use crate::app::App;
use crate::body::HeldBody;
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
    /// The log has a job of another customer with this id.
    Foreign,
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
            Self::Foreign => "Foreign",
            Self::NotAppended => "NotThere",
            Self::Unknown => "Unknown",
        }
    }
}

/// Returns how long a submission may take.
pub(crate) fn time_limit(head: &RequestHead, route: &Route) -> Duration {
    let caller_timeout = head.timeout.unwrap_or_else(|| route.timeout());
    RETRY_LIMIT.min(caller_timeout / 3)
}

/// Handles the submission of a batch job.
pub(crate) async fn handle(
    app: &App,
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: HeldBody,
    requester: &Requester,
) -> Response<Body> {
    let accepted_ms = unix_ms();
    let job = decode_submission(&head.id, &head.host, parts.uri.path(), accepted_ms, &body.bytes);
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
            let limit_bytes = u64::try_from(e.max_bytes).unwrap_or(u64::MAX);
            return Refusal::TooLarge { limit_bytes }.response("submit");
        }
    };
    drop(body);
    let started = Instant::now();
    let until = started + time_limit(head, route);
    let outcome = append_job(app, &job.id, requester, &records, until).await;
    let took_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let (id, items, step, fate) = (head.id.as_str(), job.items.len(), job.step, outcome.as_str());
    app.metrics.time("job.accept", &route.name, started.elapsed());
    log::info!(event = "job_submitted", step = "submit", id, items, trainer_step = step, fate, took_ms; "job submission handled");
    match outcome {
        AppendOutcome::Appended => json_response(StatusCode::ACCEPTED, Bytes::from_static(b"{}")),
        AppendOutcome::Foreign => Refusal::NoSuchJob.response("submit"),
        AppendOutcome::NotAppended => Refusal::StoreUnavailable.response("submit"),
        AppendOutcome::Unknown => Refusal::OutcomeUnknown.response("submit"),
    }
}

/// Appends a job unless it is in the log already. An append whose response is
/// lost may take effect later, so the outcome is `NotAppended` only if no
/// response was lost.
async fn append_job(
    app: &App,
    job: &str,
    requester: &Requester,
    records: &[Bytes],
    until: Instant,
) -> AppendOutcome {
    let partition = app.job_log.partition_of(job);
    let mut outcome = AppendOutcome::NotAppended;
    loop {
        let deadline = (Instant::now() + CALL_TIMEOUT).min(until);
        let read = app.job_log.read_to_end(partition, deadline).await;
        if let Some(found) = find_job(app, partition, job, requester) {
            return found;
        }
        if read.is_ok() {
            let deadline = (Instant::now() + CALL_TIMEOUT).min(until);
            match app.job_log.append(partition, records, deadline).await {
                Ok(offset) => {
                    log::info!(event = "job_accepted", step = "submit", id = job, partition, offset; "job appended to the log");
                    if is_first(app, partition, offset, job, requester) {
                        return AppendOutcome::Appended;
                    }
                    // The next read shows whose job came first.
                    outcome = AppendOutcome::Unknown;
                    if Instant::now() < until {
                        continue;
                    }
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

/// Returns whose job has this id, as far as the partition was read; `None` if there is
/// none.
fn find_job(app: &App, partition: u32, job: &str, requester: &Requester) -> Option<AppendOutcome> {
    let table = app.job_log.table(partition);
    let owned = requester.owns(&table.job(job)?.customer);
    Some(if owned { AppendOutcome::Appended } else { AppendOutcome::Foreign })
}

/// Returns whether a job that was appended at an offset is known to be the first with its
/// id: the records before it were read, and none is of such a job. Without accounts it
/// does not matter which is first.
fn is_first(app: &App, partition: u32, offset: Offset, job: &str, requester: &Requester) -> bool {
    let table = app.job_log.table(partition);
    *requester == Requester::Unidentified
        || (table.next_offset() == offset && table.job(job).is_none())
}
