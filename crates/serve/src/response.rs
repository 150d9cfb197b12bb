//! Responses that this process creates itself.

use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::RETRY_AFTER;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use serde_json::json;

/// The body of a response: in memory, or a stream that may fail.
pub(crate) type Body = UnsyncBoxBody<Bytes, anyhow::Error>;

/// The reason why a request gets no response of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// No configuration has been read yet.
    NotConfigured,
    /// No route matches the request.
    NoRoute,
    /// No account has the caller's key.
    UnknownKey,
    /// This host does not know the caller's key, and can't find out whether there is such
    /// an account; the request did not run.
    KeyUnconfirmed,
    /// The request is invalid.
    BadRequest,
    /// The body is larger than allowed.
    TooLarge {
        /// The most bytes that it may have. Of a batch job, in the form in which it is stored.
        limit_bytes: u64,
    },
    /// The body did not arrive in time; the request did not run.
    BodyTimeout,
    /// There is no memory for the body; the request did not run.
    NoMemory,
    /// There is no target, or all are full; the request did not run.
    NoTarget,
    /// Targets have crashed under the request before; it did not run.
    Quarantined {
        /// After which time it is tried again, in milliseconds.
        retry_after_ms: u32,
    },
    /// A target has crashed under the request, and the last one of its service is
    /// kept from it; it did not run.
    LastTarget,
    /// This host has used its share of the rate that the targets accept; the
    /// request did not run.
    RateLimited,
    /// It is not known which version of the software began the stream that the
    /// request resumes; it did not run.
    UnknownSoftware,
    /// The service has more requests than it can serve in time; the request did not
    /// run.
    Overloaded {
        /// After which time to retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// The store is unavailable; the request did not run.
    StoreUnavailable,
    /// This host is being stopped, and could end before the request does; it did not
    /// run.
    Stopping,
    /// The request may have run, but there is no response.
    OutcomeUnknown,
    /// The deadline has passed; the request may have run.
    DeadlinePassed,
    /// There is no such batch job or item.
    NoSuchJob,
}

/// `retry-after` of what other hosts serve at once, in seconds.
const NO_RETRY_AFTER: &str = "0";
/// `retry-after` while targets, memory or another host's report are missing, in seconds.
const SHORT_RETRY_AFTER: &str = "0.25";
/// `retry-after` while the configuration, the store, a share of a limited rate or
/// targets that crashed are missing, in seconds.
const LONG_RETRY_AFTER: &str = "1";

impl Refusal {
    /// The refusal of a request under which targets crashed, and which is tried again at a
    /// time.
    pub(crate) fn quarantined_until(at: Instant) -> Self {
        let wait = at.saturating_duration_since(Instant::now());
        Self::Quarantined { retry_after_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX) }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NoMemory
            | Self::NoTarget
            | Self::NotConfigured
            | Self::KeyUnconfirmed
            | Self::Overloaded { .. }
            | Self::Quarantined { .. }
            | Self::LastTarget
            | Self::RateLimited
            | Self::Stopping
            | Self::StoreUnavailable
            | Self::UnknownSoftware => StatusCode::SERVICE_UNAVAILABLE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute | Self::NoSuchJob => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns its machine-readable name.
    pub(crate) fn kind(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::KeyUnconfirmed => "key_unconfirmed",
            Self::BadRequest => "bad_request",
            Self::TooLarge { .. } => "too_large",
            Self::BodyTimeout => "too_slow",
            Self::NoMemory => "no_room",
            Self::NoTarget => "no_target",
            Self::Quarantined { .. } => "quarantined",
            Self::LastTarget => "last_target",
            Self::RateLimited => "rate_limited",
            Self::Overloaded { .. } => "overloaded",
            Self::Stopping => "stopping",
            Self::StoreUnavailable => "store_away",
            Self::UnknownSoftware => "unknown_software",
            Self::OutcomeUnknown => "target_failed",
            Self::DeadlinePassed => "deadline_passed",
            Self::NoSuchJob => "no_such_job",
        }
    }

    /// Returns whether the request may have run.
    pub(crate) fn ran(self) -> &'static str {
        match self {
            Self::OutcomeUnknown | Self::DeadlinePassed => "unknown",
            _ => "not_run",
        }
    }

    fn retry_after(self) -> Option<HeaderValue> {
        let seconds = match self {
            Self::Overloaded { retry_after_ms } | Self::Quarantined { retry_after_ms } => {
                let (seconds, millis) = (retry_after_ms / 1_000, retry_after_ms % 1_000);
                return HeaderValue::try_from(format!("{seconds}.{millis:03}")).ok();
            }
            Self::KeyUnconfirmed
            | Self::LastTarget
            | Self::NotConfigured
            | Self::RateLimited
            | Self::StoreUnavailable => LONG_RETRY_AFTER,
            Self::Stopping => NO_RETRY_AFTER,
            Self::NoMemory | Self::NoTarget | Self::UnknownSoftware => SHORT_RETRY_AFTER,
            _ => return None,
        };
        Some(HeaderValue::from_static(seconds))
    }

    /// Returns whether the connection must be closed: the rest of the request's body
    /// may still arrive on it, or this host takes no more requests.
    fn closes_connection(self) -> bool {
        matches!(self, Self::NoMemory | Self::TooLarge { .. } | Self::BodyTimeout | Self::Stopping)
    }

    /// Builds the response; `step` is the step that failed.
    pub(crate) fn response(self, step: &str) -> Response<Body> {
        let mut body = json!({"kind": self.kind(), "step": step, "ran": self.ran()});
        if let Self::TooLarge { limit_bytes } = self {
            body["limit_bytes"] = limit_bytes.into();
        }
        let mut response = json_response(self.status(), body.to_string().into());
        if let Some(seconds) = self.retry_after() {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        if self.closes_connection() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Builds a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

/// Creates a body from bytes in memory.
pub(crate) fn full_body(body: Bytes) -> Body {
    Full::new(body).map_err(|never| match never {}).boxed_unsync()
}
