//! The interface to the model engines.

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

/// A request to generate text.
#[derive(Clone, Debug, PartialEq)]
pub struct GenerateRequest {
    /// The request's id; the engine repeats it in every event.
    pub request_id: RequestId,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: SmolStr,
    /// Text that another engine has already generated for this request.
    pub generated_text: String,
    /// Number of tokens in `generated_text`.
    pub generated_tokens: u32,
    /// Maximum number of tokens, including `generated_tokens`.
    pub max_tokens: u32,
    /// Priority; the engine serves larger values first.
    pub priority: u32,
}

/// An event of a generation stream.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerationEvent {
    /// Generated tokens.
    Tokens {
        /// Text of the tokens.
        text: String,
        /// Number of tokens.
        count: u32,
        /// The version that generated them; `None` if the engine isn't sure.
        version: Option<Version>,
    },
    /// The engine built on cached state of this version.
    CacheHit {
        /// The version; `None` if the engine doesn't know it.
        version: Option<Version>,
    },
    /// The engine gave the slot to a request of higher priority.
    Preempted,
    /// The generation is complete.
    Done,
}

/// The stream of events that an engine sends for one request.
#[async_trait]
pub trait GenerationStream: Send {
    /// Waits for the next event. `Done` and `Preempted` are the last events.
    ///
    /// # Errors
    ///
    /// The stream ended early, sent nothing for too long, or carries the id of
    /// another request.
    async fn next(&mut self, deadline: Instant) -> Result<GenerationEvent, PlatformError>;
}

/// The load and the versions that an engine reports.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Number of requests that run or wait at the engine.
    pub requests: u32,
    /// Those of `requests` that come from interactive or internal callers.
    pub callers: u32,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// The version that the engine serves; `None` during a swap of the
    /// weights, or after one that failed partway.
    pub version: Option<Version>,
    /// The version whose weights are staged.
    pub staged: Option<Version>,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// An order to an engine to stage or activate a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// The fencing token of the lease under which the order is given.
    pub fence: Fence,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: Version,
    /// What to do with the version.
    pub kind: OrderKind,
}

/// The action that an order asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Fetch the version's weights and keep them ready to activate.
    Stage,
    /// Switch to the version.
    Activate,
}

/// Client of the model engines.
#[async_trait]
pub trait Engine: Debug + Send + Sync {
    /// Starts a generation.
    ///
    /// # Errors
    ///
    /// The engine can't be reached, or refuses the request.
    async fn generate(
        &self,
        addr: SocketAddr,
        req: &GenerateRequest,
        deadline: Instant,
    ) -> Result<Box<dyn GenerationStream>, PlatformError>;

    /// Returns the load and the versions of an engine.
    ///
    /// # Errors
    ///
    /// The engine can't be reached.
    async fn load_report(
        &self,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<LoadReport, PlatformError>;

    /// Sends an order and waits until the engine has carried it out.
    ///
    /// # Errors
    ///
    /// The engine can't be reached, refuses the fencing token (status 409),
    /// or failed to carry out the order.
    async fn send_order(
        &self,
        addr: SocketAddr,
        order: &Order,
        deadline: Instant,
    ) -> Result<(), PlatformError>;
}
