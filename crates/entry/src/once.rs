//! Calls of plain services, and requests that must run at most once.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_contract::Contract;
use cassia_contract::RouteKind;
use cassia_node::ApiError;
use cassia_node::ApiErrorKind;
use cassia_node::PeerRequest;
use cassia_node::PeerResponse;
use cassia_node::RedeemRequest;
use cassia_node::call_peer;
use cassia_node::lock;
use cassia_once::Outcome;
use cassia_once::Redeemed;
use cassia_once::RunStatus;
use cassia_once::TargetResponse;
use cassia_once::Ticket;
use tokio::time::timeout_at;

use crate::answer::Attempts;
use crate::answer::Finished;
use crate::answer::target_failed;
use crate::app::App;
use crate::app::RETURN_AFTER_FAILURE;
use crate::call::Call;

const REDEEM: &str = "redeem ticket";

/// A request that was started under a ticket. If it is dropped without an end,
/// its end is unknown.
struct Started<'a> {
    app: &'a App,
    seq: u64,
    outcome: Outcome,
}

impl Drop for Started<'_> {
    fn drop(&mut self) {
        lock(&self.app.desk).record_outcome(self.seq, &self.outcome);
        self.app.ends.end(self.seq);
    }
}

impl App {
    /// Serves a non-idempotent request: without a ticket it is given one, and
    /// with one it runs at most once.
    pub(crate) async fn serve_once(
        &self,
        contract: Arc<Contract>,
        route: &str,
        body: Bytes,
        within: Option<Duration>,
        ticket: Option<&str>,
    ) -> Result<Finished, ApiError> {
        let Some(ticket) = ticket else {
            let now = Instant::now();
            let minted = lock(&self.desk).mint(&contract.customer, route, now);
            let message = "send the request again with this ticket, and so on each retry";
            let e = ApiError::not_run(ApiErrorKind::TicketRequired, "admit", message);
            return Err(e.with_ticket(minted.to_string()).with_return_after(Duration::ZERO));
        };
        let parsed: Ticket = ticket.parse().map_err(|_| bad_ticket())?;
        if parsed.minter == self.board.link {
            return self.redeem_here(contract, route, body, within, ticket).await;
        }
        self.redeem_elsewhere(&contract, route, body, within, &parsed).await
    }

    /// Redeems a ticket that names this process's address.
    pub(crate) async fn redeem_here(
        &self,
        contract: Arc<Contract>,
        route: &str,
        body: Bytes,
        within: Option<Duration>,
        ticket: &str,
    ) -> Result<Finished, ApiError> {
        // What goes wrong before the desk is asked says nothing of the ticket's
        // earlier attempts.
        let call = self.call(contract, route, body, within).map_err(ApiError::after_attempt)?;
        let parsed: Ticket = ticket.parse().map_err(|_| bad_ticket())?;
        loop {
            let now = Instant::now();
            let redeemed = lock(&self.desk).redeem(&parsed, &call.contract.customer, route, now);
            match redeemed {
                Redeemed::Run(seq) => return self.run_once(&call, seq, ticket).await,
                Redeemed::Running(seq) => self.await_end(&call, seq).await?,
                Redeemed::Answered(answer) => return Ok(finished(&answer)),
                Redeemed::Unknown => return Err(unknown("it may have run")),
                Redeemed::MinterGone => {
                    return Err(unknown("the process that minted the ticket is gone"));
                }
                Redeemed::Expired => {
                    let message = "the ticket is too old and was never used";
                    return Err(ApiError::not_run(ApiErrorKind::TicketExpired, REDEEM, message));
                }
                Redeemed::Full => {
                    let e = ApiError::not_run(ApiErrorKind::Overloaded, REDEEM, "too many tickets");
                    return Err(e.with_return_after(RETURN_AFTER_FAILURE).with_ticket(ticket));
                }
                Redeemed::OtherProcess(_) | Redeemed::Invalid => return Err(bad_ticket()),
            }
        }
    }

    async fn run_once(&self, call: &Call, seq: u64, ticket: &str) -> Result<Finished, ApiError> {
        let began = Instant::now();
        self.ends.begin(seq);
        let mut started = Started { app: self, seq, outcome: Outcome::Unknown };
        let served = match call.route.kind {
            RouteKind::Generate { .. } => self.generate(call).await,
            RouteKind::Call { .. } => self.call_service(call).await,
        };
        started.outcome = match &served {
            Ok(done) => {
                let answer = TargetResponse { status: done.status, body: done.body.clone() };
                Outcome::Answered(Arc::new(answer))
            }
            Err(e) if e.ran == RunStatus::NotRun => Outcome::NotRun,
            Err(_) => Outcome::Unknown,
        };
        drop(started);
        self.count(call, &served, began);
        served.map_err(|e| if e.ran == RunStatus::NotRun { e.with_ticket(ticket) } else { e })
    }

    /// Waits for the end of a request that another attempt has started.
    async fn await_end(&self, call: &Call, seq: u64) -> Result<(), ApiError> {
        let Some(mut rx) = self.ends.watch(seq) else {
            return Ok(());
        };
        let ended = timeout_at(call.deadline.into(), rx.wait_for(|ended| *ended)).await;
        // Its sender goes away just after the end was noted.
        ended.map(drop).map_err(|_| {
            let message = "an earlier attempt is still running";
            ApiError::unknown(ApiErrorKind::DeadlinePassed, REDEEM, message)
                .with_return_after(RETURN_AFTER_FAILURE)
        })
    }

    async fn redeem_elsewhere(
        &self,
        contract: &Contract,
        route: &str,
        body: Bytes,
        within: Option<Duration>,
        ticket: &Ticket,
    ) -> Result<Finished, ApiError> {
        let Some(found) = contract.route(route) else {
            let message = format!("the contract has no route {route:?}");
            return Err(ApiError::unknown(ApiErrorKind::NotFound, "find route", message));
        };
        let limit = found.timeout();
        let left = within.map_or(limit, |within| within.min(limit));
        let question = RedeemRequest {
            ticket: ticket.to_string(),
            customer: contract.customer.to_string(),
            route: route.to_owned(),
            body: body.into(),
            remaining_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        let deadline = Instant::now() + left;
        match call_peer(REDEEM, ticket.minter, PeerRequest::Redeem(question), deadline).await {
            Ok(PeerResponse::Relayed(served)) => Ok(served.into()),
            Ok(PeerResponse::Config(_) | PeerResponse::Targets(_)) => {
                Err(unknown("the minter's reply makes no sense"))
            }
            // Not even a failure to connect means that it did not run: an
            // earlier attempt may have reached the minter.
            Err(e) => {
                let e = ApiError::unknown(ApiErrorKind::MinterGone, REDEEM, e.to_string())
                    .with_peer(ticket.minter.to_string());
                Err(e.with_return_after(RETURN_AFTER_FAILURE))
            }
        }
    }

    /// Calls a plain service. Only a failure that truly did not run the call
    /// leads to another attempt, unless the route is idempotent.
    pub(crate) async fn call_service(&self, call: &Call) -> Result<Finished, ApiError> {
        let _pass = self.pass(call).await?;
        let mut attempts = Attempts::default();
        loop {
            let used = self
                .choose(call, None, attempts.failed_at.as_ref())
                .map_err(|e| attempts.error(e))?;
            let at = used.target().info.addr;
            let body = call.body.clone();
            let e = match self.service.call(at, &call.id, body, call.deadline).await {
                Ok(answer) => {
                    self.succeeded(call, &used);
                    return Ok(finished(&answer));
                }
                Err(e) => e,
            };
            attempts.failed(&used.target().info.id, &e);
            if !self.may_retry(call, &used, &e, &attempts) {
                return Err(attempts.error(target_failed(&e, call.deadline)));
            }
        }
    }
}

fn finished(answer: &TargetResponse) -> Finished {
    Finished { status: answer.status, body: answer.body.clone() }
}

fn bad_ticket() -> ApiError {
    let message = "not a ticket for this customer and route";
    // The ticket may be a true one that was garbled on this attempt only.
    ApiError::unknown(ApiErrorKind::BadTicket, REDEEM, message)
}

fn unknown(message: &str) -> ApiError {
    ApiError::unknown(ApiErrorKind::MinterGone, REDEEM, message)
}
