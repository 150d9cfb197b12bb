//! The platform's model engines.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Instant;

use async_trait::async_trait;
use cassia_ids::Fence;
use cassia_ids::ModelName;
use cassia_ids::RequestId;
use cassia_ids::Version;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::PlatformError;

/// A request to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct GenerateRequest {
    /// The request's id; the engine repeats it on every piece.
    pub request_id: RequestId,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: SmolStr,
    /// Text that another engine has generated for it already.
    pub generated_text: String,
    /// The tokens in `so_far`.
    pub generated_tokens: u32,
    /// The most tokens to generate in all.
    pub max_tokens: u32,
    /// The engine serves a larger priority first.
    pub priority: u32,
}

/// A piece of an engine's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerationEvent {
    /// Some tokens.
    Tokens {
        /// Their text.
        text: String,
        /// How many.
        count: u32,
        /// The version that produced them; none if the engine isn't sure.
        version: Option<Version>,
    },
    /// Cached state of this version was built upon.
    CacheHit {
        /// The version; none if the engine doesn't know.
        version: Option<Version>,
    },
    /// The engine gave the slot to a request of larger priority.
    Preempted,
    /// The answer is whole.
    Done,
}

/// An engine's answer, piece by piece.
#[async_trait]
pub trait GenerationStream: Send {
    /// Waits for the next piece. None comes after `Done` or `Preempted`.
    ///
    /// # Errors
    ///
    /// The stream was cut off, went silent or carries another request's id.
    async fn next(&mut self, deadline: Instant) -> Result<GenerationEvent, PlatformError>;
}

/// An engine's report of its load and versions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests that run or wait there.
    pub requests: u32,
    /// Of those, the ones of interactive or internal callers.
    pub callers: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// The version that it serves; none in the middle of a swap or after one
    /// that failed partway.
    pub version: Option<Version>,
    /// The version that is staged.
    pub staged: Option<Version>,
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// The fencing number of the lease under which it is given.
    pub fence: Fence,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: Version,
    /// What to do with it.
    pub kind: OrderKind,
}

/// What an engine is to do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Fetch the version's weights and keep them ready.
    Stage,
    /// Serve the version from now on.
    Activate,
}

/// The model engines.
#[async_trait]
pub trait Engine: Debug + Send + Sync {
    /// Starts to generate.
    ///
    /// # Errors
    ///
    /// The engine can't be reached or refuses the request.
    async fn generate(
        &self,
        at: SocketAddr,
        request: &GenerateRequest,
        deadline: Instant,
    ) -> Result<Box<dyn GenerationStream>, PlatformError>;

    /// Asks for the load and versions.
    ///
    /// # Errors
    ///
    /// The engine can't be reached.
    async fn load(&self, at: SocketAddr, deadline: Instant) -> Result<LoadReport, PlatformError>;

    /// Gives an order and waits until it is carried out.
    ///
    /// # Errors
    ///
    /// The engine can't be reached, refuses the fencing number (status 409) or
    /// failed to carry the order out.
    async fn order(
        &self,
        at: SocketAddr,
        order: &Order,
        deadline: Instant,
    ) -> Result<(), PlatformError>;
}
