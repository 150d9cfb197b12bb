//! The list controller: follows the platform's list of targets.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_platform::PlatformError;
use cassia_platform::TargetList;
use cassia_route::TargetSnapshot;
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use crate::Ask;
use crate::Board;
use crate::RateLimit;
use crate::Reply;
use crate::TargetsAsk;
use crate::ask;

const EVERY_MS: u64 = 1_000;
const JITTER_MS: u64 = 200;
const TIMEOUT: Duration = Duration::from_millis(800);

/// Runs until the process ends.
pub(crate) async fn run(board: Arc<Board>, list: Arc<dyn TargetList>) {
    let complaints = RateLimit::default();
    let mut has_copy = false;
    loop {
        match list.fetch(Instant::now() + TIMEOUT).await {
            Ok(None) => {}
            Ok(Some(copy)) => {
                has_copy = true;
                board.listed_peers.store(Arc::new(copy.peers.clone()));
                board.change_targets(|view| (view.merge(copy), ()));
            }
            Err(e) => {
                complain(&complaints, &e);
                // One that has had a copy goes on with it: what leaves in the
                // meantime it hears of by gossip.
                if !has_copy {
                    has_copy = ask_a_peer(&board).await;
                }
            }
        }
        let jitter = rand::rng().random_range(0..JITTER_MS);
        sleep(Duration::from_millis(EVERY_MS + jitter)).await;
    }
}

async fn ask_a_peer(board: &Board) -> bool {
    let peers = board.peers.load_full();
    let Some(peer) = peers.choose(&mut rand::rng()) else {
        return false;
    };
    let deadline = Instant::now() + TIMEOUT;
    let Ok(Reply::Targets(reply)) =
        ask("fetch targets", peer.addr, Ask::Targets(TargetsAsk {}), deadline).await
    else {
        return false;
    };
    let Ok(copy) = serde_json::from_str::<TargetSnapshot>(&reply.copy) else {
        return false;
    };
    let has_any = !copy.targets.is_empty();
    board.change_targets(|view| (view.merge(copy), ()));
    has_any
}

fn complain(complaints: &RateLimit, e: &PlatformError) {
    if let Some(held_back) = complaints.due() {
        let peer = e.peer.as_str();
        log::warn!(event = "list_unreachable", step = e.step, peer, held_back; "{e}");
    }
}
