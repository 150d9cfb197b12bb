//! Responses to callers.

use std::time::Instant;

use cassia_clients::ErrorKind;
use cassia_clients::PlatformError;
use cassia_ids::TargetId;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_node::RelayedResponse;
use cassia_sample::Span;
use cassia_tickets::RunStatus;
use dropshot::Body;
use dropshot::HttpResponseError;
use http::Response;
use schemars::JsonSchema;
use serde::Serialize;
use smol_str::SmolStr;

/// The response to a generation request.
#[derive(Debug, JsonSchema, Serialize)]
#[schemars(rename = "Generated")]
pub(crate) struct GenerateResponse {
    /// The request's id.
    #[schemars(with = "String")]
    pub(crate) request_id: SmolStr,
    /// The generated text.
    pub(crate) text: String,
    /// The weight versions that generated the text, span by span.
    pub(crate) spans: Vec<Span>,
}

/// A complete response with any status.
#[derive(Clone, Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl CompleteResponse {
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        Self { status: 200, body: serde_json::to_vec(value).unwrap_or_default() }
    }

    pub(crate) fn into_http(self) -> Result<Response<Body>, ApiError> {
        Response::builder()
            .status(self.status)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Body::from(self.body))
            .map_err(|e| ApiError::unknown(ApiErrorKind::Internal, "answer", e.to_string()))
    }
}

impl From<ApiError> for CompleteResponse {
    fn from(e: ApiError) -> Self {
        let status = e.status_code().as_u16();
        Self { status, body: serde_json::to_vec(&e).unwrap_or_default() }
    }
}

impl From<RelayedResponse> for CompleteResponse {
    fn from(response: RelayedResponse) -> Self {
        let status = u16::try_from(response.status).unwrap_or(500);
        Self { status, body: response.body }
    }
}

impl From<CompleteResponse> for RelayedResponse {
    fn from(response: CompleteResponse) -> Self {
        Self { status: response.status.into(), body: response.body }
    }
}

/// The attempts to serve one request.
///
/// A request is reported as not run only if none of its attempts may have run.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    /// Number of failed attempts; preempted ones don't count.
    pub(crate) failures: u32,
    /// The target of the last failed attempt.
    pub(crate) last_failed: Option<TargetId>,
    may_have_run: bool,
}

impl Attempts {
    /// Records an attempt that failed at `target`.
    pub(crate) fn record_failure(&mut self, target: &TargetId, e: &PlatformError) {
        self.failures += 1;
        self.last_failed = Some(target.clone());
        self.may_have_run |= e.run_status() != RunStatus::NotRun;
    }

    /// Records an attempt that an engine preempted.
    pub(crate) fn record_preemption(&mut self) {
        self.may_have_run = true;
    }

    /// Corrects the error of the last attempt, which doesn't know of the
    /// earlier ones.
    pub(crate) fn correct_error(&self, e: ApiError) -> ApiError {
        if self.may_have_run { e.after_attempt() } else { e }
    }
}

/// Builds the error for a caller whose request failed at a target.
pub(crate) fn target_error(e: &PlatformError, deadline: Instant) -> ApiError {
    let late = e.kind == ErrorKind::Timeout && Instant::now() >= deadline;
    let kind = if late { ApiErrorKind::DeadlinePassed } else { ApiErrorKind::TargetFailed };
    let error = match e.run_status() {
        RunStatus::NotRun => ApiError::not_run(kind, e.step, e.to_string()),
        RunStatus::Unknown | RunStatus::Ran => ApiError::unknown(kind, e.step, e.to_string()),
    };
    error.with_peer(e.peer.as_str()).with_return_after(crate::app::FAILURE_RETRY_AFTER)
}
