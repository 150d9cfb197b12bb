//! What is known about a request that was sent to a target.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran at its target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Ran")]
pub enum RunStatus {
    /// It did not run, and no part of it is still in flight.
    NotRun,
    /// It may have run, or may still run.
    Unknown,
    /// It ran.
    Ran,
}

/// The complete response of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// How a started request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target returned a complete response.
    Answered(Arc<TargetResponse>),
    /// Nothing reached the target, or the target reported that the request did
    /// not run.
    NotRun,
    /// At least one byte was sent and no complete response was received.
    Unknown,
}
