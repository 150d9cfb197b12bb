//! The HTTP interface for trainers.

use std::sync::Arc;

use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_node::read_body;
use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::StreamingBody;
use dropshot::endpoint;
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::app::App;

/// The path parameters of a pull.
#[derive(Deserialize, JsonSchema)]
struct PullPath {
    /// The customer.
    customer: String,
    /// A trainer of the customer's contract.
    trainer: String,
}

/// Returns a trainer's next lot of samples.
///
/// The header `authorization: Bearer KEY` is required. The body is a pull: the
/// cursor in the trainer's checkpoint, the trainer's version and the prompts
/// from the cursor on. The response is a lot: its samples and the cursor after
/// it. A pull can be repeated, at any host: the cursor ensures that each lot is
/// used only once.
#[endpoint { method = POST, path = "/v1/{customer}/trainers/{trainer}/lots" }]
async fn pull(
    cx: RequestContext<Arc<App>>,
    path: Path<PullPath>,
    body: StreamingBody,
) -> Result<Response<Body>, ApiError> {
    let app = cx.context();
    let PullPath { customer, trainer } = path.into_inner();
    let contract = app.node.authorize(&customer, cx.request.headers())?;
    let body = read_body(body).await?;
    let response = app.pull(&contract, &trainer, &body).await?;
    let status = u16::try_from(response.status).unwrap_or(500);
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Body::from(response.body))
        .map_err(|e| ApiError::not_run(ApiErrorKind::Internal, "answer", e.to_string()))
}

/// Builds the description of the interface.
pub(crate) fn api() -> anyhow::Result<ApiDescription<Arc<App>>> {
    let mut api = ApiDescription::new();
    api.register(pull)?;
    Ok(api)
}
