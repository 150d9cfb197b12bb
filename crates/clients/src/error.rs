//! Errors of calls to external systems.

use cassia_tickets::RunStatus;
use smol_str::SmolStr;

/// Error of a call to an external system.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at {peer}: {kind}{}{detail}", if detail.is_empty() { "" } else { ": " })]
pub struct PlatformError {
    /// The step that failed.
    pub step: &'static str,
    /// The address or name of the peer.
    pub peer: SmolStr,
    /// Kind of the failure.
    pub kind: ErrorKind,
    /// Details for the reader of a log.
    pub detail: String,
}

/// Kinds of failures, as far as callers treat them differently.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum ErrorKind {
    /// No connection was established, so nothing was sent.
    #[error("no connection")]
    Connect,
    /// The response, or a part of it, did not arrive in time.
    #[error("silent")]
    Timeout,
    /// The connection failed, or the response ended early.
    #[error("cut off")]
    Incomplete,
    /// The response is too large to be held.
    #[error("too large")]
    TooLarge,
    /// The peer answered with this status and stated that it did not run the
    /// request.
    #[error("refused before it ran (status {0})")]
    NotRun(u16),
    /// The peer answered with an error status.
    #[error("status {0}")]
    Status(u16),
    /// The peer's response can't be decoded.
    #[error("invalid response")]
    InvalidResponse,
}

impl PlatformError {
    /// Returns whether the peer may have run the request.
    ///
    /// Once a byte may have been sent, only the peer's own statement gives
    /// `NotRun`.
    #[must_use]
    pub fn run_status(&self) -> RunStatus {
        match self.kind {
            ErrorKind::Connect | ErrorKind::NotRun(_) => RunStatus::NotRun,
            ErrorKind::Timeout
            | ErrorKind::Incomplete
            | ErrorKind::TooLarge
            | ErrorKind::Status(_)
            | ErrorKind::InvalidResponse => RunStatus::Unknown,
        }
    }

    /// Returns whether the failure suggests a fault of the peer, and not only
    /// of the call.
    #[must_use]
    pub fn is_peer_fault(&self) -> bool {
        !matches!(self.kind, ErrorKind::Status(status) if status < 500)
    }
}
