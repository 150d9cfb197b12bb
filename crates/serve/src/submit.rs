//! Taking a batch job in: it is accepted once its record is in the log.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::RequestHead;
use cassia_adapter::decode_submission;
use cassia_platform::StoreErrorKind;
use cassia_route::Route;
use http::Response;
use http::StatusCode;
use http::request::Parts;

use crate::app::App;
use crate::clock::wall_ms;
use crate::reply::Body;
use crate::reply::Refusal;
use crate::reply::json_answer;

/// How long the log is tried before the caller is told to come back.
const TRY_FOR: Duration = Duration::from_millis(3_500);
/// How long one call to the log may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after the log refused a call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What is known of a job that is being taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Taken {
    /// It is in the log.
    InTheLog,
    /// It is not, and won't be by what was sent so far.
    NotThere,
    /// It may be, or may yet be.
    Unknown,
}

/// Answers a batch job that is handed in.
pub(crate) async fn answer(
    app: &App,
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: Bytes,
) -> Response<Body> {
    let accepted_ms = wall_ms();
    let job = decode_submission(&head.id, &head.host, parts.uri.path(), accepted_ms, &body);
    let job = match job {
        Ok(job) if !head.id.is_empty() => job,
        Ok(_) => return Refusal::BadRequest.answer("submit"),
        Err(e) => {
            log::info!(event = "job_unreadable", step = "submit", id = head.id.as_str(); "{e}");
            return Refusal::BadRequest.answer("submit");
        }
    };
    let records = match job.to_records(app.settings.record_bytes, app.settings.append_bytes) {
        Ok(records) => records,
        Err(e) => {
            log::warn!(event = "job_too_large", step = "submit", id = head.id.as_str(); "{e}");
            return Refusal::TooLarge.answer("submit");
        }
    };
    drop(body);
    let begun = Instant::now();
    let patience = head.timeout.unwrap_or_else(|| route.timeout());
    let until = begun + TRY_FOR.min(patience / 3);
    let taken = take_in(app, &job.id, &records, until).await;
    let took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
    let (id, items, step, fate) =
        (head.id.as_str(), job.items.len(), job.step, format!("{taken:?}"));
    app.metrics.time("job.accept", &route.name, begun.elapsed());
    log::info!(event = "job_submitted", step = "submit", id, items, trainer_step = step, fate, took_ms; "submitted");
    match taken {
        Taken::InTheLog => json_answer(StatusCode::ACCEPTED, Bytes::from_static(b"{}")),
        Taken::NotThere => Refusal::StoreAway.answer("submit"),
        Taken::Unknown => Refusal::Lost.answer("submit"),
    }
}

/// Appends a job, unless it is in the log already. An append whose answer is
/// lost may take effect later: the job is refused only if none was.
async fn take_in(app: &App, job: &str, records: &[Bytes], until: Instant) -> Taken {
    let partition = app.shelf.partition_of(job);
    let mut taken = Taken::NotThere;
    loop {
        let deadline = (Instant::now() + CALL_TIMEOUT).min(until);
        let read = app.shelf.catch_up(partition, deadline).await;
        if app.shelf.fold(partition).job(job).is_some() {
            return Taken::InTheLog;
        }
        if read.is_ok() {
            let deadline = (Instant::now() + CALL_TIMEOUT).min(until);
            match app.shelf.append(partition, records, deadline).await {
                Ok(appended) => {
                    log::info!(event = "job_accepted", step = "submit", id = job, partition, offset = appended.offset; "in the log");
                    return Taken::InTheLog;
                }
                Err(e) if e.kind == StoreErrorKind::NotDone => {}
                Err(e) => {
                    taken = Taken::Unknown;
                    log::info!(event = "append_unknown", step = e.step, id = job; "{e}");
                }
            }
        }
        if Instant::now() + RETRY_PAUSE >= until {
            return taken;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
