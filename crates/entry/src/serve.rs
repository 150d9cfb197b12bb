//! Which way a call takes, by what it asks for and where it came from.

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

use crate::answer::Finished;
use crate::app::App;
use crate::call::Call;

impl App {
    /// Serves a call that may be repeated, and counts how it ended.
    pub(crate) async fn serve(&self, call: &Call) -> Result<Finished, ApiError> {
        let began = Instant::now();
        let served = match &call.route.kind {
            RouteKind::Generate { .. } => self.generate(call).await,
            RouteKind::Call { .. } => self.call_service(call).await,
        };
        self.count(call, &served, began);
        served
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
        let contract = self.board.contract(&customer);
        let finished = match contract {
            Some(contract) => {
                let within = Some(Duration::from_millis(remaining_ms));
                self.redeem_here(contract, &route, body.into(), within, &ticket).await
            }
            // Nothing of ours ran it; whether the minter's earlier run of this
            // ticket did is not known without the contract.
            None => Err(ApiError::unknown(ApiErrorKind::NotFound, "redeem", "no contract")),
        };
        Some(PeerResponse::Relayed(finished.unwrap_or_else(Finished::from).into()))
    }
}
