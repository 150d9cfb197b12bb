//! The one error body of all HTTP interfaces.

use std::fmt;
use std::time::Duration;

use cassia_once::RunStatus;
use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// What went wrong, for programs.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ApiErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The key is missing or not one of the customer's.
    WrongKey,
    /// No contract in force names this.
    NotFound,
    /// A non-idempotent request needs a ticket; the error carries one.
    TicketRequired,
    /// The ticket is not one of ours for this route.
    BadTicket,
    /// The ticket is too old to start its request.
    TicketExpired,
    /// The request could not be served before its deadline.
    Overloaded,
    /// No target is open for the route.
    NoTarget,
    /// The target failed.
    TargetFailed,
    /// The deadline passed while the request was at the target.
    DeadlinePassed,
    /// The process that minted the ticket can't be reached or is gone.
    MinterGone,
    /// The trainer's lot isn't whole yet.
    LotNotReady,
    /// The trainer's cursor is not one of ours.
    BadCursor,
    /// This process has no configuration yet.
    NotConfigured,
    /// The caller went away before its answer was whole.
    CallerGone,
    /// A fault of this project.
    Internal,
}

/// The body of every answer that is not a success.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ApiError {
    /// What went wrong, for programs.
    pub kind: ApiErrorKind,
    /// What went wrong, for people.
    pub message: String,
    /// What was being done.
    pub step: String,
    /// Whom it was done with.
    pub peer: String,
    /// Whether the request ran.
    pub ran: RunStatus,
    /// When it is worth coming back, in milliseconds from now.
    pub return_after_ms: Option<u64>,
    /// A ticket to come back with.
    pub ticket: Option<String>,
}

impl ApiError {
    /// Builds an error for a request that did not run.
    pub fn not_run(kind: ApiErrorKind, step: &str, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            step: step.to_owned(),
            peer: String::new(),
            ran: RunStatus::NotRun,
            return_after_ms: None,
            ticket: None,
        }
    }

    /// Builds an error for a request that may have run.
    pub fn unknown(kind: ApiErrorKind, step: &str, message: impl Into<String>) -> Self {
        Self { ran: RunStatus::Unknown, ..Self::not_run(kind, step, message) }
    }

    /// Raises what is said of the run to "unknown", unless it is known to have
    /// run: for a request that has had an attempt whose end isn't known.
    #[must_use]
    pub fn after_attempt(mut self) -> Self {
        if self.ran == RunStatus::NotRun {
            self.ran = RunStatus::Unknown;
        }
        self
    }

    /// Names the other side.
    #[must_use]
    pub fn with_peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = peer.into();
        self
    }

    /// Says when it is worth coming back.
    #[must_use]
    pub fn with_return_after(mut self, after: Duration) -> Self {
        self.return_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Hands a ticket over.
    #[must_use]
    pub fn with_ticket(mut self, ticket: impl Into<String>) -> Self {
        self.ticket = Some(ticket.into());
        self
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.step, self.message)?;
        if self.peer.is_empty() { Ok(()) } else { write!(f, " (at {})", self.peer) }
    }
}

impl From<HttpError> for ApiError {
    fn from(e: HttpError) -> Self {
        let kind = match e.status_code.as_u16() {
            404 | 405 => ApiErrorKind::NotFound,
            400..=499 => ApiErrorKind::BadRequest,
            _ => ApiErrorKind::Internal,
        };
        Self::not_run(kind, "read the request", e.external_message)
    }
}

impl HttpResponseError for ApiError {
    fn status_code(&self) -> ErrorStatusCode {
        match self.kind {
            ApiErrorKind::BadRequest | ApiErrorKind::BadCursor | ApiErrorKind::BadTicket => {
                ErrorStatusCode::BAD_REQUEST
            }
            ApiErrorKind::WrongKey => ErrorStatusCode::UNAUTHORIZED,
            ApiErrorKind::NotFound => ErrorStatusCode::NOT_FOUND,
            ApiErrorKind::TicketRequired => ErrorStatusCode::PRECONDITION_REQUIRED,
            ApiErrorKind::TicketExpired => ErrorStatusCode::GONE,
            ApiErrorKind::Overloaded => ErrorStatusCode::TOO_MANY_REQUESTS,
            ApiErrorKind::NoTarget | ApiErrorKind::LotNotReady | ApiErrorKind::NotConfigured => {
                ErrorStatusCode::SERVICE_UNAVAILABLE
            }
            ApiErrorKind::TargetFailed | ApiErrorKind::MinterGone => ErrorStatusCode::BAD_GATEWAY,
            ApiErrorKind::CallerGone => ErrorStatusCode::BAD_REQUEST,
            ApiErrorKind::DeadlinePassed => ErrorStatusCode::GATEWAY_TIMEOUT,
            ApiErrorKind::Internal => ErrorStatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}
