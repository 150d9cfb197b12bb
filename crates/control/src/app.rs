//! What the control program works on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use cassia_ids::Fence;
use cassia_ids::ModelName;
use cassia_node::Dump;
use cassia_node::NodeState;
use cassia_platform::HttpPlatform;
use cassia_platform::LatestVersion;
use serde_json::Value;
use serde_json::json;

/// A lease that this process holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) fence: Fence,
    pub(crate) since: Instant,
    pub(crate) until: Instant,
}

/// What the control program works on.
///
/// `latest` is written by the orders controller, `held` by the lease
/// controller; each reads the other's.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) board: Arc<NodeState>,
    pub(crate) platform: Arc<HttpPlatform>,
    pub(crate) latest: ArcSwap<Vec<LatestVersion>>,
    pub(crate) held: ArcSwap<BTreeMap<ModelName, Held>>,
}

impl App {
    pub(crate) fn new(board: Arc<NodeState>, platform: Arc<HttpPlatform>) -> Self {
        Self { board, platform, latest: ArcSwap::default(), held: ArcSwap::default() }
    }

    /// Gives the lease on a model's orders, if it is ours at this moment.
    pub(crate) fn held(&self, model: &str) -> Option<Held> {
        let held = self.held.load().get(model).copied();
        held.filter(|held| Instant::now() < held.until)
    }
}

impl Dump for App {
    fn dump(&self, now: Instant) -> Value {
        let held: BTreeMap<_, _> = self
            .held
            .load()
            .iter()
            .map(|(model, held)| {
                let left = held.until.saturating_duration_since(now);
                (model.clone(), json!({"fence": held.fence, "left_ms": left.as_millis()}))
            })
            .collect();
        json!({"latest": **self.latest.load(), "held": held})
    }
}
