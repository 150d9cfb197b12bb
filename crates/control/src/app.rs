//! The shared state of the control program.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use cassia_clients::HttpPlatform;
use cassia_clients::LatestVersion;
use cassia_ids::Fence;
use cassia_ids::ModelName;
use cassia_node::Dump;
use cassia_node::NodeState;
use serde_json::Value;
use serde_json::json;

/// A lease that this process holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    /// The fencing token.
    pub(crate) fence: Fence,
    /// When this process acquired the lease.
    pub(crate) since: Instant,
    /// When the lease expires.
    pub(crate) until: Instant,
}

/// The shared state of the control program.
///
/// `latest_versions` is written by the order controller and `held_leases` by
/// the lease controller; each reads the other's field.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) node: Arc<NodeState>,
    pub(crate) platform: Arc<HttpPlatform>,
    pub(crate) latest_versions: ArcSwap<Vec<LatestVersion>>,
    pub(crate) held_leases: ArcSwap<BTreeMap<ModelName, HeldLease>>,
}

impl App {
    pub(crate) fn new(node: Arc<NodeState>, platform: Arc<HttpPlatform>) -> Self {
        Self {
            node,
            platform,
            latest_versions: ArcSwap::default(),
            held_leases: ArcSwap::default(),
        }
    }

    /// Returns the lease on a model's orders if this process holds it now.
    pub(crate) fn held_lease(&self, model: &str) -> Option<HeldLease> {
        let lease = self.held_leases.load().get(model).copied();
        lease.filter(|lease| Instant::now() < lease.until)
    }
}

impl Dump for App {
    fn dump(&self, now: Instant) -> Value {
        let held: BTreeMap<_, _> = self
            .held_leases
            .load()
            .iter()
            .map(|(model, lease)| {
                let left = lease.until.saturating_duration_since(now);
                (model.clone(), json!({"fence": lease.fence, "left_ms": left.as_millis()}))
            })
            .collect();
        json!({"latest": **self.latest_versions.load(), "held": held})
    }
}
