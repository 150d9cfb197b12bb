//! What is known of a request that was sent to a target.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran at its target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Ran")]
pub enum RunStatus {
    /// It truly did not run, and nothing of it is on its way.
    NotRun,
    /// It may have run, or may run yet.
    Unknown,
    /// It ran.
    Ran,
}

/// A target's answer, whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// How a request that was started ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Answered(Arc<TargetResponse>),
    /// Nothing reached the target, or it says itself that it did not run.
    NotRun,
    /// A byte went out and no whole answer came back.
    Unknown,
}
