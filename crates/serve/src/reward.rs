//! The reward calls of a batch job's items.

use std::sync::atomic::AtomicBool;
use std::time::Duration;
use std::time::Instant;

use cassia_adapter::reward_request;
use cassia_jobs::Item;
use cassia_jobs::RetryDecision;
use cassia_jobs::RetryState;
use cassia_jobs::Reward;
use cassia_quarantine::request_digest;
use cassia_route::Route;
use http::Method;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::accounts::Requester;
use crate::call::Call;
use crate::call::CallOutcome;
use crate::call::OutgoingRequest;
use crate::item::ItemOutcome;
use crate::item::JobContext;
use crate::item::NO_ROUTE_DELAY;
use crate::item::POST;

impl JobContext {
    /// Fetches the score of an item's text, or returns why there is none.
    pub(crate) async fn fetch_score(
        &self,
        item: &Item,
        reward: &Reward,
    ) -> Result<SmolStr, ItemOutcome> {
        let id = item.id.as_str();
        let mut attempts = RetryState::default();
        loop {
            self.requests.wait_until_may_begin().await;
            let item_route = self.find_route(&self.submission.host, &item.path);
            if item_route.is_some_and(|route| self.is_past_retention(&route)) {
                return Err(ItemOutcome::PastRetention);
            }
            let Some(route) = self.find_route(&reward.host, &reward.path) else {
                sleep(NO_ROUTE_DELAY).await;
                continue;
            };
            let Some(service) = route.pick_service(rand::random()).cloned() else {
                sleep(NO_ROUTE_DELAY).await;
                continue;
            };
            let Some(outcome) = self.call_scorer(reward, &route, service).await else {
                return Err(ItemOutcome::RewardFailed);
            };
            match outcome {
                CallOutcome::Response(resp) => {
                    let is_success = resp.response.status().is_success();
                    if let Some(score) = resp.head.signature.filter(|_| is_success) {
                        return Ok(score);
                    }
                    attempts.record_interruption();
                }
                CallOutcome::Failed(_, failures) => {
                    let call = reward.id.as_str();
                    log::info!(event = "reward_failed", step = "score", id, call, failures; "all targets that ran it failed");
                    for _ in 0..failures {
                        if attempts.record_failure(route.max_attempts) == RetryDecision::GiveUp {
                            return Err(ItemOutcome::RewardFailed);
                        }
                    }
                    attempts.record_interruption();
                }
                CallOutcome::Refused(refusal) => {
                    let (call, kind) = (reward.id.as_str(), refusal.kind());
                    log::info!(event = "reward_refused", step = "score", id, call, kind; "no response of a target");
                    attempts.record_interruption();
                }
            }
            sleep(Duration::from_millis(attempts.delay_ms())).await;
        }
    }

    /// Makes a reward call; `None` if the call is not valid.
    async fn call_scorer(
        &self,
        reward: &Reward,
        route: &Route,
        service: SmolStr,
    ) -> Option<CallOutcome> {
        let (uri, headers) = match reward_request(reward) {
            Ok(request) => request,
            Err(e) => {
                log::warn!(event = "reward_impossible", step = "score", id = reward.id.as_str(); "{e}");
                return None;
            }
        };
        let digest = request_digest(&reward.host, POST, &reward.path, &reward.body);
        let deadline = Instant::now() + route.timeout();
        let id = SmolStr::new(&reward.id);
        let outgoing = OutgoingRequest {
            method: Method::POST,
            uri,
            headers,
            body: reward.body.clone(),
            held: None,
            requester: Requester::of_job(&self.submission.customer),
        };
        let call = Call {
            app: &self.app,
            id: &id,
            route,
            service,
            outgoing,
            digest: Some(digest),
            job: Some(&self.requests),
            is_counted: AtomicBool::new(false),
            deadline,
            caller_deadline: deadline,
        };
        Some(call.run().await)
    }
}
