//! Non-idempotent requests, which run at most once under a ticket, and calls to
//! plain services.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_contract::Contract;
use cassia_contract::Route;
use cassia_contract::RouteKind;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_node::PeerRequest;
use cassia_node::PeerResponse;
use cassia_node::RedeemRequest;
use cassia_node::call_peer;
use cassia_node::lock;
use cassia_tickets::Outcome;
use cassia_tickets::Redeemed;
use cassia_tickets::RunStatus;
use cassia_tickets::TargetResponse;
use cassia_tickets::Ticket;
use tokio::time::timeout_at;

use crate::app::App;
use crate::app::FAILURE_RETRY_AFTER;
use crate::call::Call;
use crate::response::Attempts;
use crate::response::CompleteResponse;
use crate::response::target_error;

const REDEEM: &str = "redeem ticket";

/// Records the outcome of a request under a ticket on drop, so that it is also
/// recorded, as unknown, if the request is cancelled.
struct OutcomeGuard<'a> {
    app: &'a App,
    seq: u64,
    outcome: Outcome,
}

impl Drop for OutcomeGuard<'_> {
    fn drop(&mut self) {
        lock(&self.app.tickets).record_outcome(self.seq, &self.outcome);
        self.app.running.end(self.seq);
    }
}

impl App {
    /// Serves a non-idempotent request: responds with a ticket if it has none,
    /// otherwise runs it at most once.
    pub(crate) async fn serve_once(
        &self,
        contract: Arc<Contract>,
        route: &str,
        body: Bytes,
        timeout: Option<Duration>,
        ticket: Option<&str>,
    ) -> Result<CompleteResponse, ApiError> {
        let Some(ticket) = ticket else {
            let now = Instant::now();
            let minted = lock(&self.tickets).mint(&contract.customer, route, now);
            let message = "send the request again with this ticket, and so on each retry";
            let e = ApiError::not_run(ApiErrorKind::TicketRequired, "admit", message);
            return Err(e.with_ticket(minted.to_string()).with_return_after(Duration::ZERO));
        };
        let parsed: Ticket = ticket.parse().map_err(|_| bad_ticket())?;
        if parsed.minter == self.node.link {
            return self.redeem_local(contract, route, body, timeout, ticket).await;
        }
        self.redeem_at_peer(&contract, route, body, timeout, &parsed).await
    }

    /// Redeems a ticket that was minted at this process's address.
    pub(crate) async fn redeem_local(
        &self,
        contract: Arc<Contract>,
        route: &str,
        body: Bytes,
        timeout: Option<Duration>,
        ticket: &str,
    ) -> Result<CompleteResponse, ApiError> {
        // A failure before the ticket store is queried says nothing about
        // earlier attempts under this ticket.
        let call =
            self.new_call(contract, route, body, timeout).map_err(ApiError::after_attempt)?;
        let parsed: Ticket = ticket.parse().map_err(|_| bad_ticket())?;
        loop {
            let now = Instant::now();
            let redeemed = lock(&self.tickets).redeem(&parsed, &call.contract.customer, route, now);
            match redeemed {
                Redeemed::Run(seq) => return self.run_once(&call, seq, ticket).await,
                Redeemed::Running(seq) => self.wait_for_end(&call, seq).await?,
                Redeemed::Answered(response) => return Ok(to_complete(&response)),
                Redeemed::Unknown => return Err(unknown_outcome("the request may have run")),
                Redeemed::MinterGone => {
                    return Err(unknown_outcome("the ticket's minter no longer runs"));
                }
                Redeemed::Expired => {
                    let message = "the ticket has expired and was never used";
                    return Err(ApiError::not_run(ApiErrorKind::TicketExpired, REDEEM, message));
                }
                Redeemed::Full => {
                    let e = ApiError::not_run(ApiErrorKind::Overloaded, REDEEM, "too many tickets");
                    return Err(e.with_return_after(FAILURE_RETRY_AFTER).with_ticket(ticket));
                }
                Redeemed::OtherProcess(_) | Redeemed::Invalid => return Err(bad_ticket()),
            }
        }
    }

    async fn run_once(
        &self,
        call: &Call,
        seq: u64,
        ticket: &str,
    ) -> Result<CompleteResponse, ApiError> {
        let started = Instant::now();
        self.running.start(seq);
        let mut guard = OutcomeGuard { app: self, seq, outcome: Outcome::Unknown };
        let result = match call.route.kind {
            RouteKind::Generate { .. } => self.generate(call).await,
            RouteKind::Call { .. } => self.call_service(call).await,
        };
        guard.outcome = match &result {
            Ok(response) => {
                let response =
                    TargetResponse { status: response.status, body: response.body.clone() };
                Outcome::Answered(Arc::new(response))
            }
            Err(e) if e.ran == RunStatus::NotRun => Outcome::NotRun,
            Err(_) => Outcome::Unknown,
        };
        drop(guard);
        self.record_result(call, &result, started);
        result.map_err(|e| if e.ran == RunStatus::NotRun { e.with_ticket(ticket) } else { e })
    }

    /// Waits for the end of a request that an earlier attempt started.
    async fn wait_for_end(&self, call: &Call, seq: u64) -> Result<(), ApiError> {
        let Some(mut rx) = self.running.subscribe(seq) else {
            return Ok(());
        };
        let ended = timeout_at(call.deadline.into(), rx.wait_for(|ended| *ended)).await;
        // A receive error means the same: the sender is dropped at the end.
        ended.map(drop).map_err(|_| {
            let message = "an earlier attempt is still running";
            ApiError::unknown(ApiErrorKind::DeadlinePassed, REDEEM, message)
                .with_return_after(FAILURE_RETRY_AFTER)
        })
    }

    /// Forwards a request to the process that minted its ticket.
    async fn redeem_at_peer(
        &self,
        contract: &Contract,
        route: &str,
        body: Bytes,
        timeout: Option<Duration>,
        ticket: &Ticket,
    ) -> Result<CompleteResponse, ApiError> {
        let Some(max_timeout) = contract.route(route).map(Route::timeout) else {
            let message = format!("the contract has no route {route:?}");
            return Err(ApiError::unknown(ApiErrorKind::NotFound, "find route", message));
        };
        let timeout = timeout.map_or(max_timeout, |timeout| timeout.min(max_timeout));
        let req = RedeemRequest {
            ticket: ticket.to_string(),
            customer: contract.customer.to_string(),
            route: route.to_owned(),
            body: body.into(),
            remaining_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
        };
        let deadline = Instant::now() + timeout;
        match call_peer(REDEEM, ticket.minter, PeerRequest::Redeem(req), deadline).await {
            Ok(PeerResponse::Relayed(response)) => Ok(response.into()),
            Ok(PeerResponse::Config(_) | PeerResponse::Targets(_)) => {
                Err(unknown_outcome("unexpected kind of response from the minter"))
            }
            // Even after a failure to connect the request may have run: an
            // earlier attempt may have reached the minter.
            Err(e) => {
                let e = ApiError::unknown(ApiErrorKind::MinterGone, REDEEM, e.to_string())
                    .with_peer(ticket.minter.to_string());
                Err(e.with_return_after(FAILURE_RETRY_AFTER))
            }
        }
    }

    /// Calls a plain service. On a non-idempotent route a failed attempt is
    /// retried only if it certainly did not run.
    pub(crate) async fn call_service(&self, call: &Call) -> Result<CompleteResponse, ApiError> {
        let _permit = self.admit(call).await?;
        let mut attempts = Attempts::default();
        loop {
            let in_flight = self
                .choose_target(call, None, attempts.last_failed.as_ref())
                .map_err(|e| attempts.correct_error(e))?;
            let addr = in_flight.target().info.addr;
            let body = call.body.clone();
            let e = match self.service.call(addr, &call.id, body, call.deadline).await {
                Ok(response) => {
                    self.record_success(call, &in_flight);
                    return Ok(to_complete(&response));
                }
                Err(e) => e,
            };
            attempts.record_failure(&in_flight.target().info.id, &e);
            if !self.try_retry(call, &in_flight, &e, &attempts) {
                return Err(attempts.correct_error(target_error(&e, call.deadline)));
            }
        }
    }
}

fn to_complete(response: &TargetResponse) -> CompleteResponse {
    CompleteResponse { status: response.status, body: response.body.clone() }
}

fn bad_ticket() -> ApiError {
    let message = "not a ticket for this customer and route";
    // Unknown, since a valid ticket may have been corrupted in this attempt
    // only.
    ApiError::unknown(ApiErrorKind::BadTicket, REDEEM, message)
}

fn unknown_outcome(message: &str) -> ApiError {
    ApiError::unknown(ApiErrorKind::MinterGone, REDEEM, message)
}
