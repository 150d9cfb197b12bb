//! The HTTP interface for callers.

use std::sync::Arc;
use std::time::Duration;

use cassia_node::ApiError;
use cassia_node::read_body;
use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::StreamingBody;
use dropshot::endpoint;
use http::HeaderMap;
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::app::App;

/// Milliseconds until the caller's deadline; a longer time than the route's
/// deadline has no effect.
const DEADLINE_HEADER: &str = "cassia-deadline-ms";
/// The ticket of a non-idempotent request.
const TICKET_HEADER: &str = "cassia-ticket";
/// Present if the caller has sent the same request before.
const RETRY_HEADER: &str = "cassia-retry";

/// The path parameters of a request.
#[derive(Deserialize, JsonSchema)]
struct RequestPath {
    /// The customer.
    customer: String,
    /// A route of the customer's contract.
    route: String,
}

/// Sends a request to a route of the customer's contract.
///
/// The header `authorization: Bearer KEY` is required. A generation request
/// has the body `{"prompt": TEXT, "max_tokens": N, "stream": BOOL}`. A stream
/// is complete only if it ends with `data: [DONE]`. A non-idempotent route
/// responds to a request without a ticket with status 428 and a ticket; the
/// request and each retry of it must then carry that ticket in the header
/// `cassia-ticket`.
#[endpoint { method = POST, path = "/v1/{customer}/{route}" }]
async fn request(
    cx: RequestContext<Arc<App>>,
    path: Path<RequestPath>,
    body: StreamingBody,
) -> Result<Response<Body>, ApiError> {
    let app = cx.context();
    let RequestPath { customer, route } = path.into_inner();
    let headers = cx.request.headers();
    let ticket = header(headers, TICKET_HEADER);
    let is_retry = ticket.is_some() || headers.contains_key(RETRY_HEADER);
    // A failure of this attempt says nothing about earlier ones. Only the
    // process that minted a ticket knows whether one of them ran.
    let mark_unknown = |e: ApiError| if is_retry { e.after_attempt() } else { e };
    let contract = app.node.authorize(&customer, headers).map_err(mark_unknown)?;
    let body = read_body(body).await.map_err(mark_unknown)?;
    let timeout_ms = header(headers, DEADLINE_HEADER).and_then(|ms| ms.parse().ok());
    let timeout = timeout_ms.map(Duration::from_millis);
    let idempotent = contract.route(&route).is_none_or(|route| route.idempotent);
    let response = if idempotent {
        let call = app.new_call(contract, &route, body, timeout).map_err(mark_unknown)?;
        if call.wants_stream() {
            return app.stream(call).await.map_err(mark_unknown);
        }
        app.serve(&call).await.map_err(mark_unknown)?
    } else {
        app.serve_once(contract, &route, body, timeout, ticket).await?
    };
    response.into_http()
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Builds the description of the interface.
pub(crate) fn api() -> anyhow::Result<ApiDescription<Arc<App>>> {
    let mut api = ApiDescription::new();
    api.register(request)?;
    Ok(api)
}
