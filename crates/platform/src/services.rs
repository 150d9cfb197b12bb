//! The platform's other systems: the list of targets, the weight store, the
//! plain services and the scorer.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_ids::ModelName;
use cassia_ids::Version;
use cassia_once::TargetResponse;
use cassia_route::TargetSnapshot;
use serde::Deserialize;
use serde::Serialize;

use crate::PlatformError;

/// The lagging list of live and leaving targets.
#[async_trait]
pub trait TargetList: Debug + Send + Sync {
    /// Fetches the copy of the next replica; none if that one still has the
    /// copy that it gave last.
    ///
    /// # Errors
    ///
    /// The replica can't be reached.
    async fn fetch(&self, deadline: Instant) -> Result<Option<TargetSnapshot>, PlatformError>;
}

/// The newest version of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LatestVersion {
    /// The model.
    pub model: ModelName,
    /// Its newest version whose weights are whole.
    pub version: Version,
}

/// The rate-limited weight store.
#[async_trait]
pub trait WeightStore: Debug + Send + Sync {
    /// Lists the newest versions.
    ///
    /// # Errors
    ///
    /// The store can't be reached.
    async fn latest(&self, deadline: Instant) -> Result<Vec<LatestVersion>, PlatformError>;
}

/// A plain service, one of whose calls may not be repeatable.
#[async_trait]
pub trait PlainService: Debug + Send + Sync {
    /// Calls the service once; nothing is sent twice, whatever happens.
    ///
    /// # Errors
    ///
    /// The error's `ran()` says whether the call may have run.
    async fn call(
        &self,
        at: SocketAddr,
        request_id: &str,
        body: Bytes,
        deadline: Instant,
    ) -> Result<TargetResponse, PlatformError>;
}

/// The service that scores rollouts.
#[async_trait]
pub trait Scorer: Debug + Send + Sync {
    /// Scores a text.
    ///
    /// # Errors
    ///
    /// The scorer can't be reached.
    async fn score(
        &self,
        prompt: &str,
        text: &str,
        deadline: Instant,
    ) -> Result<f64, PlatformError>;
}
