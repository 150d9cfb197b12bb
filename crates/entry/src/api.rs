//! The callers' HTTP interface.

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

/// A caller's deadline, in milliseconds; never later than the route's.
const DEADLINE_HEADER: &str = "cassia-deadline-ms";
/// The ticket of a non-idempotent request.
const TICKET_HEADER: &str = "cassia-ticket";

/// With this header a caller says that it has sent the request before.
const RETRY_HEADER: &str = "cassia-retry";

/// The parts of a request's path.
#[derive(Deserialize, JsonSchema)]
struct RequestPath {
    /// The customer.
    customer: String,
    /// A route of the customer's contract.
    route: String,
}

/// Sends a request over one of the contract's routes.
///
/// The header `authorization: Bearer KEY` is needed. A request to generate has
/// the body `{"prompt": TEXT, "max_tokens": N, "stream": BOOL}`. A stream is
/// whole only if it ends with `data: [DONE]`. A route that is not
/// idempotent answers 428 with a ticket at first; the request is then sent
/// with the header `cassia-ticket`, and so is each retry.
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
    // What goes wrong with this attempt says nothing of earlier ones. Only
    // the desk that minted a ticket knows that none of them ran.
    let blind = |e: ApiError| if is_retry { e.after_attempt() } else { e };
    let contract = app.board.authorize(&customer, headers).map_err(blind)?;
    let body = read_body(body).await.map_err(blind)?;
    let within = header(headers, DEADLINE_HEADER).and_then(|ms| ms.parse().ok());
    let within = within.map(Duration::from_millis);
    let idempotent = contract.route(&route).is_none_or(|route| route.idempotent);
    let finished = if idempotent {
        let call = app.call(contract, &route, body, within).map_err(blind)?;
        if call.wants_stream() {
            return app.stream(call).await.map_err(blind);
        }
        app.serve(&call).await.map_err(blind)?
    } else {
        app.serve_once(contract, &route, body, within, ticket).await?
    };
    finished.into_response()
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Describes the interface.
pub(crate) fn api() -> anyhow::Result<ApiDescription<Arc<App>>> {
    let mut api = ApiDescription::new();
    api.register(request)?;
    Ok(api)
}
