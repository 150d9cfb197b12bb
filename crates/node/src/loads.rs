//! The load controller: asks the engines for their load.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_platform::Engine;
use cassia_route::Target;
use cassia_route::TargetKind;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::Board;

/// One engine is asked in this time, the one with the oldest report first: a
/// process's cost is the same before 26 engines and before 600.
const EVERY: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_millis(500);
/// Questions that may be open at once; one that hangs must not stop the rest.
const OPEN_AT_ONCE: usize = 8;

/// Runs until the process ends.
pub async fn poll_loads(board: Arc<Board>, engine: Arc<dyn Engine>) {
    let mut open = JoinSet::new();
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        while open.try_join_next().is_some() {}
        let targets = board.targets.load_full();
        let oldest = targets
            .all()
            .filter(|t| matches!(t.info.kind, TargetKind::Engine { .. }) && t.is_open())
            .min_by_key(|t| t.polled_ms());
        if let Some(target) = oldest.filter(|_| open.len() < OPEN_AT_ONCE) {
            targets.record_poll(target, Instant::now());
            let (board, engine) = (Arc::clone(&board), Arc::clone(&engine));
            let target = Arc::clone(target);
            open.spawn(async move { poll_one(&board, engine.as_ref(), target).await });
        }
    }
}

async fn poll_one(board: &Board, engine: &dyn Engine, target: Arc<Target>) {
    let load = engine.load(target.info.addr, Instant::now() + TIMEOUT).await;
    let targets = board.targets.load();
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
