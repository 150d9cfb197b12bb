//! The error body that all HTTP interfaces share.

use std::fmt;
use std::time::Duration;

use cassia_tickets::RunStatus;
use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The kind of an error, for programs.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ApiErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The key is missing or is none of the customer's keys.
    WrongKey,
    /// The contracts in force don't define what the request names.
    NotFound,
    /// A non-idempotent request needs a ticket; the error carries one.
    TicketRequired,
    /// The ticket wasn't issued by this system for this route.
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
    /// The process that issued the ticket can't be reached or no longer runs.
    MinterGone,
    /// The trainer's lot isn't complete yet.
    LotNotReady,
    /// The trainer's cursor wasn't issued by this system.
    BadCursor,
    /// This process has no configuration yet.
    NotConfigured,
    /// The caller disconnected before its answer was complete.
    CallerGone,
    /// An internal error.
    Internal,
}

/// The body of every unsuccessful response.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ApiError {
    /// The kind of the error, for programs.
    pub kind: ApiErrorKind,
    /// A description of the error, for people.
    pub message: String,
    /// The step that failed.
    pub step: String,
    /// The other side of that step; empty if there is none.
    pub peer: String,
    /// Whether the request ran.
    pub ran: RunStatus,
    /// Delay after which a retry is worthwhile, in milliseconds.
    pub return_after_ms: Option<u64>,
    /// The ticket to retry with.
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

    /// Changes "not run" to "unknown": for a request with an earlier attempt
    /// whose outcome isn't known.
    #[must_use]
    pub fn after_attempt(mut self) -> Self {
        if self.ran == RunStatus::NotRun {
            self.ran = RunStatus::Unknown;
        }
        self
    }

    /// Sets the other side.
    #[must_use]
    pub fn with_peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = peer.into();
        self
    }

    /// Sets the delay after which a retry is worthwhile.
    #[must_use]
    pub fn with_return_after(mut self, after: Duration) -> Self {
        self.return_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Adds the ticket to retry with.
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
