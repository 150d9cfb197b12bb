//! Answers on their way to a caller.

use std::time::Instant;

use cassia_ids::TargetId;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_node::RelayedResponse;
use cassia_once::RunStatus;
use cassia_platform::ErrorKind;
use cassia_platform::PlatformError;
use cassia_sample::Span;
use dropshot::Body;
use dropshot::HttpResponseError;
use http::Response;
use schemars::JsonSchema;
use serde::Serialize;
use smol_str::SmolStr;

/// A generated answer, whole.
#[derive(Debug, JsonSchema, Serialize)]
pub(crate) struct Generated {
    /// The request's id.
    #[schemars(with = "String")]
    pub(crate) request_id: SmolStr,
    /// The text.
    pub(crate) text: String,
    /// The versions behind the text, span by span.
    pub(crate) spans: Vec<Span>,
}

/// A finished answer of any status.
#[derive(Clone, Debug)]
pub(crate) struct Finished {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Finished {
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        Self { status: 200, body: serde_json::to_vec(value).unwrap_or_default() }
    }

    pub(crate) fn into_response(self) -> Result<Response<Body>, ApiError> {
        Response::builder()
            .status(self.status)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Body::from(self.body))
            .map_err(|e| ApiError::unknown(ApiErrorKind::Internal, "answer", e.to_string()))
    }
}

impl From<ApiError> for Finished {
    fn from(e: ApiError) -> Self {
        let status = e.status_code().as_u16();
        Self { status, body: serde_json::to_vec(&e).unwrap_or_default() }
    }
}

impl From<RelayedResponse> for Finished {
    fn from(served: RelayedResponse) -> Self {
        let status = u16::try_from(served.status).unwrap_or(500);
        Self { status, body: served.body }
    }
}

impl From<Finished> for RelayedResponse {
    fn from(finished: Finished) -> Self {
        Self { status: finished.status.into(), body: finished.body }
    }
}

/// What is known of a request over all of its attempts.
///
/// "Not run" is only said of a request none of whose attempts may have run.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) begun: u32,
    may_have_run: bool,
    /// Where the last attempt failed.
    pub(crate) failed_at: Option<TargetId>,
}

impl Attempts {
    pub(crate) fn failed(&mut self, at: &TargetId, e: &PlatformError) {
        self.begun += 1;
        self.may_have_run |= e.run_status() != RunStatus::NotRun;
        self.failed_at = Some(at.clone());
    }

    pub(crate) fn preempted(&mut self) {
        self.may_have_run = true;
    }

    pub(crate) fn error(&self, e: ApiError) -> ApiError {
        if self.may_have_run { e.after_attempt() } else { e }
    }
}

/// Tells a caller of a failure at a target.
pub(crate) fn target_failed(e: &PlatformError, deadline: Instant) -> ApiError {
    let late = e.kind == ErrorKind::Timeout && Instant::now() >= deadline;
    let kind = if late { ApiErrorKind::DeadlinePassed } else { ApiErrorKind::TargetFailed };
    let error = match e.run_status() {
        RunStatus::NotRun => ApiError::not_run(kind, e.step, e.to_string()),
        RunStatus::Unknown | RunStatus::Ran => ApiError::unknown(kind, e.step, e.to_string()),
    };
    error.with_peer(e.peer.as_str()).with_return_after(crate::app::RETURN_AFTER_FAILURE)
}
