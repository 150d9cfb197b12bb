//! Dispatch of calls by the kind of their route, and of requests that peers
//! forward.

use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use cassia_contract::RouteKind;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_node::LinkHandler;
use cassia_node::PeerRequest;
use cassia_node::PeerResponse;
use cassia_node::RedeemRequest;

use crate::app::App;
use crate::call::Call;
use crate::response::CompleteResponse;

impl App {
    /// Serves an idempotent call and records its result.
    pub(crate) async fn serve(&self, call: &Call) -> Result<CompleteResponse, ApiError> {
        let started = Instant::now();
        let result = match &call.route.kind {
            RouteKind::Generate { .. } => self.generate(call).await,
            RouteKind::Call { .. } => self.call_service(call).await,
        };
        self.record_result(call, &result, started);
        result
    }
}

#[async_trait]
impl LinkHandler for App {
    async fn handle(&self, request: PeerRequest) -> Option<PeerResponse> {
        let PeerRequest::Redeem(RedeemRequest { ticket, customer, route, body, remaining_ms }) =
            request
        else {
            return None;
        };
        let result = match self.node.contract(&customer) {
            Some(contract) => {
                let timeout = Some(Duration::from_millis(remaining_ms));
                self.redeem_local(contract, &route, body.into(), timeout, &ticket).await
            }
            // This attempt did not run. Without the contract it isn't known
            // whether an earlier one under this ticket did.
            None => Err(ApiError::unknown(
                ApiErrorKind::NotFound,
                "redeem",
                "the customer has no contract",
            )),
        };
        Some(PeerResponse::Relayed(result.unwrap_or_else(CompleteResponse::from).into()))
    }
}
