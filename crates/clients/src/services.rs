//! The interfaces to the list of targets, the weight store, the plain services
//! and the scorer.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_ids::ModelName;
use cassia_ids::Version;
use cassia_route::TargetSnapshot;
use cassia_tickets::TargetResponse;
use serde::Deserialize;
use serde::Serialize;

use crate::PlatformError;

/// Client of the list of live and leaving targets, which lags behind their
/// actual state.
#[async_trait]
pub trait TargetList: Debug + Send + Sync {
    /// Fetches the copy of the next replica; `None` if it has not changed
    /// since the replica last sent it.
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
    /// Its newest version with complete weights.
    pub version: Version,
}

/// Client of the weight store, which is rate-limited.
#[async_trait]
pub trait WeightStore: Debug + Send + Sync {
    /// Returns the newest version of each model.
    ///
    /// # Errors
    ///
    /// The store can't be reached.
    async fn latest_versions(&self, deadline: Instant)
    -> Result<Vec<LatestVersion>, PlatformError>;
}

/// Client of the plain services, which are not engines; their calls may not
/// be idempotent.
#[async_trait]
pub trait PlainService: Debug + Send + Sync {
    /// Calls a service once; the request is never sent twice.
    ///
    /// # Errors
    ///
    /// The call failed; the error's `run_status()` says whether it may have
    /// run.
    async fn call(
        &self,
        addr: SocketAddr,
        request_id: &str,
        body: Bytes,
        deadline: Instant,
    ) -> Result<TargetResponse, PlatformError>;
}

/// Client of the service that scores rollouts.
#[async_trait]
pub trait Scorer: Debug + Send + Sync {
    /// Returns the score of a text.
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
