//! The list controller: polls the platform's list of targets.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::PlatformError;
use cassia_clients::TargetList;
use cassia_route::TargetSnapshot;
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use crate::NodeState;
use crate::PeerRequest;
use crate::PeerResponse;
use crate::RateLimit;
use crate::TargetsRequest;
use crate::call_peer;

const POLL_INTERVAL_MS: u64 = 1_000;
const JITTER_MS: u64 = 200;
const TIMEOUT: Duration = Duration::from_millis(800);

/// Runs until the process ends.
pub(crate) async fn run(state: Arc<NodeState>, list: Arc<dyn TargetList>) {
    let log_limit = RateLimit::default();
    let mut has_copy = false;
    loop {
        match list.fetch(Instant::now() + TIMEOUT).await {
            Ok(None) => {}
            Ok(Some(copy)) => {
                has_copy = true;
                state.listed_peers.store(Arc::new(copy.peers.clone()));
                state.change_targets(|view| (view.merge(copy), ()));
            }
            Err(e) => {
                log_failure(&log_limit, &e);
                // A process that has a copy keeps using it: gossip reports the
                // targets that leave in the meantime.
                if !has_copy {
                    has_copy = fetch_from_peer(&state).await;
                }
            }
        }
        let jitter = rand::rng().random_range(0..JITTER_MS);
        sleep(Duration::from_millis(POLL_INTERVAL_MS + jitter)).await;
    }
}

async fn fetch_from_peer(state: &NodeState) -> bool {
    let peers = state.peers.load_full();
    let Some(peer) = peers.choose(&mut rand::rng()) else {
        return false;
    };
    let deadline = Instant::now() + TIMEOUT;
    let Ok(PeerResponse::Targets(response)) =
        call_peer("fetch targets", peer.addr, PeerRequest::Targets(TargetsRequest {}), deadline)
            .await
    else {
        return false;
    };
    let Ok(copy) = serde_json::from_str::<TargetSnapshot>(&response.list) else {
        return false;
    };
    let has_any = !copy.targets.is_empty();
    state.change_targets(|view| (view.merge(copy), ()));
    has_any
}

fn log_failure(log_limit: &RateLimit, e: &PlatformError) {
    if let Some(held_back) = log_limit.due() {
        let peer = e.peer.as_str();
        log::warn!(event = "list_unreachable", step = e.step, peer, held_back; "{e}");
    }
}
