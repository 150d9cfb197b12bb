//! The list controller: follows the platform's list of targets.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_platform::TargetList;
use rand::Rng;
use tokio::time::sleep;

use crate::Board;
use crate::RateLimit;

const EVERY_MS: u64 = 1_000;
const JITTER_MS: u64 = 200;
const TIMEOUT: Duration = Duration::from_millis(800);

/// Runs until the process ends.
pub(crate) async fn run(board: Arc<Board>, list: Arc<dyn TargetList>) {
    let complaints = RateLimit::default();
    loop {
        match list.fetch(Instant::now() + TIMEOUT).await {
            Ok(None) => {}
            Ok(Some(copy)) => {
                board.listed_peers.store(Arc::new(copy.peers.clone()));
                board.change_targets(|view| (view.merge(copy), ()));
            }
            Err(e) => {
                if let Some(held_back) = complaints.due() {
                    let peer = e.peer.as_str();
                    log::warn!(event = "list_unreachable", step = e.step, peer, held_back; "{e}");
                }
            }
        }
        let jitter = rand::rng().random_range(0..JITTER_MS);
        sleep(Duration::from_millis(EVERY_MS + jitter)).await;
    }
}
