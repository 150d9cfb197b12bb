//! The load controller: polls the engines' load.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::Engine;
use cassia_route::Target;
use cassia_route::TargetKind;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::NodeState;

/// One engine is polled per interval, starting with the one polled longest
/// ago, so a process's cost is the same with 26 engines and with 600.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_millis(500);
/// More than one, so that a poll that hangs doesn't stop the others.
const MAX_POLLS_IN_FLIGHT: usize = 8;

/// Runs until the process ends.
pub async fn poll_loads(state: Arc<NodeState>, engine: Arc<dyn Engine>) {
    let mut polls = JoinSet::new();
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        while polls.try_join_next().is_some() {}
        let targets = state.targets.load_full();
        let oldest = targets
            .all()
            .filter(|t| matches!(t.info.kind, TargetKind::Engine { .. }) && t.is_open())
            .min_by_key(|t| t.polled_ms());
        if let Some(target) = oldest.filter(|_| polls.len() < MAX_POLLS_IN_FLIGHT) {
            targets.record_poll(target, Instant::now());
            let (state, engine) = (Arc::clone(&state), Arc::clone(&engine));
            let target = Arc::clone(target);
            polls.spawn(async move { poll_one(&state, engine.as_ref(), target).await });
        }
    }
}

async fn poll_one(state: &NodeState, engine: &dyn Engine, target: Arc<Target>) {
    let load = engine.load_report(target.info.addr, Instant::now() + TIMEOUT).await;
    let targets = state.targets.load();
    let now = Instant::now();
    match load {
        Ok(load) => {
            let age = Duration::from_millis(load.age_ms);
            targets.record_report(&target, load.requests, load.callers, age, now);
            targets.set_reachable(&target, true);
        }
        Err(_) => targets.set_reachable(&target, false),
    }
}
