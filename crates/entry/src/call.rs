//! A caller's request, independent of the target that serves it.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use cassia_contract::Contract;
use cassia_contract::Route;
use cassia_contract::RouteKind;
use cassia_ids::ModelName;
use cassia_ids::RequestId;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_route::TargetKind;
use serde::Deserialize;
use smol_str::SmolStr;

/// The body of a generation request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GenerateBody {
    pub(crate) prompt: SmolStr,
    pub(crate) max_tokens: Option<u32>,
    /// Whether to stream the response.
    #[serde(default)]
    pub(crate) stream: bool,
}

/// A caller's request.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: RequestId,
    pub(crate) contract: Arc<Contract>,
    pub(crate) route: Route,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

impl Call {
    /// Returns the model of a generation route; empty for any other route.
    pub(crate) fn model(&self) -> ModelName {
        match &self.route.kind {
            RouteKind::Generate { model } => model.clone(),
            RouteKind::Call { .. } => ModelName::default(),
        }
    }

    /// Returns whether the caller asked for a streamed response.
    pub(crate) fn wants_stream(&self) -> bool {
        matches!(self.route.kind, RouteKind::Generate { .. })
            && self.generate_body().is_ok_and(|body| body.stream)
    }

    /// Returns the kind of target that serves the route.
    pub(crate) fn target_kind(&self) -> TargetKind {
        match &self.route.kind {
            RouteKind::Generate { model } => TargetKind::Engine { model: model.clone() },
            RouteKind::Call { service } => TargetKind::Service { name: service.clone() },
        }
    }

    /// Parses the body as that of a generation request.
    pub(crate) fn generate_body(&self) -> Result<GenerateBody, ApiError> {
        serde_json::from_slice(&self.body)
            .map_err(|e| ApiError::not_run(ApiErrorKind::BadRequest, "parse body", e.to_string()))
    }
}
