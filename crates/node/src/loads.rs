//! The load controller: asks the engines for their load.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_platform::Engine;
use cassia_route::Target;
use cassia_route::TargetKind;
use futures::StreamExt;
use futures::stream;
use tokio::time::sleep;

use crate::Board;

const EVERY: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_millis(500);
const AT_ONCE: usize = 8;
/// A target whose report fails is avoided until the next but one is due.
const AVOID: Duration = Duration::from_millis(1_500);

/// Runs until the process ends.
pub async fn poll_loads(board: Arc<Board>, engine: Arc<dyn Engine>) {
    loop {
        let targets = board.targets.load_full();
        let engines: Vec<_> = targets
            .all()
            .filter(|t| matches!(t.listed.what, TargetKind::Engine { .. }) && t.is_open())
            .cloned()
            .collect();
        stream::iter(engines)
            .for_each_concurrent(AT_ONCE, |target| poll_one(&board, engine.as_ref(), target))
            .await;
        sleep(EVERY).await;
    }
}

async fn poll_one(board: &Board, engine: &dyn Engine, target: Arc<Target>) {
    let load = engine.load(target.listed.addr, Instant::now() + TIMEOUT).await;
    let targets = board.targets.load();
    let now = Instant::now();
    match load {
        Ok(load) => {
            let age = Duration::from_millis(load.age_ms);
            targets.reported(&target, load.requests, load.callers, age, now);
        }
        Err(_) => targets.avoid(&target, now + AVOID),
    }
}
