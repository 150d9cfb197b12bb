//! The faults to inject into a target.

use std::collections::BTreeSet;
use std::time::Duration;

/// What is wrong with a target's responses to requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ResponseFault {
    /// Nothing.
    #[default]
    None,
    /// Status 500, after the request ran.
    Error,
    /// Status 503, with a header that says that the request did not run.
    Busy,
    /// No response, after the request ran.
    Hang,
    /// The id of another request, after the request ran.
    WrongId,
}

/// The faults to inject into a target.
#[derive(Clone, Debug, Default)]
pub struct TargetFaults {
    /// What is wrong with its responses.
    pub response: ResponseFault,
    /// Streams are reset after this many events.
    pub reset_after_events: Option<u64>,
    /// Ids of requests that always fail.
    pub failing_ids: BTreeSet<String>,
    /// Bodies of requests under which it crashes: it runs the request, closes the
    /// connection without a response, and starts again after a moment.
    pub crashing_bodies: BTreeSet<String>,
    /// Orders get no response and are executed after this delay.
    pub order_delay: Option<Duration>,
    /// No call gets a response.
    pub silent: bool,
    /// It states in its responses that it is leaving; its heartbeats don't.
    pub states_leaving: bool,
    /// One in this many requests is refused as not run, without a limit.
    pub refuse_every: Option<u64>,
    /// Requests a second that it states to accept from all hosts together.
    pub rate_limit: Option<f64>,
}
