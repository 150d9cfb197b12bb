//! What can go wrong between this project and an outside system.

use cassia_once::RunStatus;
use smol_str::SmolStr;

/// A call to an outside system that failed.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at {peer}: {kind}{}{detail}", if detail.is_empty() { "" } else { ": " })]
pub struct PlatformError {
    /// What was being done.
    pub step: &'static str,
    /// Whom it was done with.
    pub peer: SmolStr,
    /// What went wrong.
    pub kind: ErrorKind,
    /// More, for people.
    pub detail: String,
}

/// What went wrong, as far as it matters for what to do next.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum ErrorKind {
    /// No connection came about, so nothing was sent.
    #[error("no connection")]
    Connect,
    /// No answer came in time, or none of its parts.
    #[error("silent")]
    Timeout,
    /// The answer was cut off.
    #[error("cut off")]
    Incomplete,
    /// The peer answered that it did not do it, and says so in our terms.
    #[error("refused before it ran (status {0})")]
    NotRun(u16),
    /// The peer answered with an error.
    #[error("status {0}")]
    Status(u16),
    /// The peer's answer makes no sense.
    #[error("garbled answer")]
    InvalidResponse,
}

impl PlatformError {
    /// Says whether the thing was done all the same.
    ///
    /// Once a byte may have gone out, only the peer's own word makes it
    /// `NotRun`.
    #[must_use]
    pub fn ran(&self) -> RunStatus {
        match self.kind {
            ErrorKind::Connect | ErrorKind::NotRun(_) => RunStatus::NotRun,
            ErrorKind::Timeout
            | ErrorKind::Incomplete
            | ErrorKind::Status(_)
            | ErrorKind::InvalidResponse => RunStatus::Unknown,
        }
    }

    /// Says whether the target itself is in doubt, and not only the call.
    #[must_use]
    pub fn is_peer_fault(&self) -> bool {
        !matches!(self.kind, ErrorKind::Status(status) if status < 500)
    }
}
