//! The attempts of one caller's request, and what they add up to.

use cassia_clients::ReadBody;
use cassia_ids::TargetId;
use http::Response;
use http::StatusCode;

use crate::call::AttemptOutcome;
use crate::call::CallOutcome;
use crate::response::Refusal;

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) sent: u32,
    pub(crate) refusals: u32,
    /// Whether a target may have run it, as far as is known.
    pub(crate) may_have_run: bool,
    pub(crate) start_another: bool,
    pub(crate) last_refused: bool,
    /// Why no target was found, if not for want of one.
    pub(crate) no_target: Option<Refusal>,
    /// Targets that the request was sent to.
    pub(crate) tried: Vec<TargetId>,
    /// The targets among them that could not be reached.
    pub(crate) unreachable: Vec<TargetId>,
    /// The last error response, forwarded if no attempt succeeds.
    last_failure: Option<Response<ReadBody>>,
    /// Number of targets that ran it and failed.
    failures: u32,
}

impl Attempts {
    /// Records the outcome of an attempt; returns the outcome of the request
    /// if it is final.
    pub(crate) fn record(&mut self, outcome: AttemptOutcome) -> Option<CallOutcome> {
        self.last_refused = matches!(outcome, AttemptOutcome::NotRun);
        match outcome {
            AttemptOutcome::Response(resp) if !is_target_failure(resp.response.status()) => {
                Some(CallOutcome::Response(resp))
            }
            AttemptOutcome::Response(resp) => {
                self.may_have_run = true;
                self.failures += u32::from(is_failed_run(resp.response.status()));
                self.last_failure = Some(resp.response);
                None
            }
            AttemptOutcome::NotRun => {
                self.sent = self.sent.saturating_sub(1);
                self.refusals += 1;
                None
            }
            AttemptOutcome::Unreachable(target) => {
                self.sent = self.sent.saturating_sub(1);
                self.unreachable.push(target);
                None
            }
            AttemptOutcome::Unknown => {
                self.may_have_run = true;
                None
            }
        }
    }

    pub(crate) fn into_outcome(self) -> CallOutcome {
        match self.last_failure {
            Some(response) => CallOutcome::Failed(Box::new(response), self.failures),
            None if self.may_have_run => CallOutcome::Refused(Refusal::OutcomeUnknown),
            None => CallOutcome::Refused(self.no_target.unwrap_or(Refusal::NoTarget)),
        }
    }

    pub(crate) fn into_timeout(self) -> CallOutcome {
        match self.last_failure {
            Some(response) => CallOutcome::Failed(Box::new(response), self.failures),
            None => CallOutcome::Refused(Refusal::DeadlinePassed),
        }
    }
}

/// Returns whether another target may succeed.
pub(crate) fn is_target_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Returns whether the target ran the request and failed. Other server errors
/// say that the target gave up, for instance at the deadline, and nothing about
/// the request.
pub(crate) fn is_failed_run(status: StatusCode) -> bool {
    status == StatusCode::INTERNAL_SERVER_ERROR
}
