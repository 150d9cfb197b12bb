//! The trainers' HTTP interface.

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

/// The parts of a pull's path.
#[derive(Deserialize, JsonSchema)]
struct PullPath {
    /// The customer.
    customer: String,
    /// A trainer of the customer's contract.
    trainer: String,
}

/// Pulls the next lot of samples.
///
/// The header `authorization: Bearer KEY` is needed. The body is a pull: the
/// cursor of the trainer's checkpoint, its version, the prompts from there on.
/// The answer is a lot: samples and the cursor after it. A pull may be
/// repeated, at any host: the same cursor leads to one lot in the end.
#[endpoint { method = POST, path = "/v1/{customer}/trainers/{trainer}/lots" }]
async fn pull(
    cx: RequestContext<Arc<App>>,
    path: Path<PullPath>,
    body: StreamingBody,
) -> Result<Response<Body>, ApiError> {
    let app = cx.context();
    let PullPath { customer, trainer } = path.into_inner();
    let contract = app.board.authorize(&customer, cx.request.headers())?;
    let body = read_body(body).await?;
    let served = app.pull(&contract, &trainer, &body).await?;
    let status = u16::try_from(served.status).unwrap_or(500);
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Body::from(served.body))
        .map_err(|e| ApiError::not_run(ApiErrorKind::Internal, "answer", e.to_string()))
}

/// Describes the interface.
pub(crate) fn api() -> anyhow::Result<ApiDescription<Arc<App>>> {
    let mut api = ApiDescription::new();
    api.register(pull)?;
    Ok(api)
}
