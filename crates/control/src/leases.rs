//! The lease controller: contends for the lease on the orders of each model.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::Log;
use cassia_clients::LogPage;
use cassia_clients::PlatformError;
use cassia_ids::HostId;
use cassia_ids::ModelName;
use cassia_lease::Contender;
use cassia_lease::LeaseRecord;
use cassia_lease::LeaseTable;
use cassia_lease::NextOp;
use cassia_lease::STREAM;
use cassia_node::NodeState;
use cassia_node::RateLimit;
use cassia_replica::Replica;
use cassia_route::rank;
use smol_str::format_smolstr;
use tokio::time::sleep;

use crate::app::App;
use crate::app::HeldLease;

/// Maximum time that a read of the log waits for new records.
const MAX_READ_WAIT: Duration = Duration::from_millis(500);
const MIN_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Number of records after which the table is appended as a snapshot.
const RECORDS_PER_SNAPSHOT: u64 = 1_000;
/// Number of terms after which a reset is appended if older records stay
/// missing.
const TERMS_BEFORE_RESET: u32 = 3;

/// Replays the lease stream and contends for a lease per model.
#[derive(Debug)]
pub(crate) struct LeaseController {
    app: Arc<App>,
    log: Arc<dyn Log>,
    host: HostId,
    term: Duration,
    replica: Replica<LeaseTable>,
    contenders: BTreeMap<ModelName, Contender>,
    /// When the replica was first found to lack records.
    gap_since: Option<Instant>,
    log_limit: RateLimit,
}

impl LeaseController {
    pub(crate) fn new(app: Arc<App>, log: Arc<dyn Log>, host: HostId, term: Duration) -> Self {
        Self {
            app,
            log,
            host,
            term,
            replica: Replica::default(),
            contenders: BTreeMap::new(),
            gap_since: None,
            log_limit: RateLimit::default(),
        }
    }

    /// Runs until a planned stop, then releases the held leases.
    pub(crate) async fn run(mut self) {
        let mut synced = false;
        while !self.app.node.is_stopping() {
            let from = self.replica.next_read().offset();
            match self.log.read(STREAM, from, self.read_wait(), self.read_timeout()).await {
                Ok(page) => {
                    synced = page.records.is_empty() || synced;
                    self.apply_page(page);
                }
                Err(e) => {
                    self.warn_unreachable(&e);
                    sleep(READ_RETRY_DELAY).await;
                }
            }
            // In a table that hasn't caught up yet, leases may look free.
            if synced && !self.replica.has_gap() {
                self.contend().await;
            }
            self.maintain_stream().await;
        }
        self.release().await;
    }

    fn read_wait(&self) -> Duration {
        (self.term / 10).min(MAX_READ_WAIT)
    }

    /// Returns the timeout of a read. If reads took longer, a holder would see
    /// its renewals too late.
    fn read_timeout(&self) -> Duration {
        (self.term / 3).max(MIN_READ_TIMEOUT)
    }

    fn apply_page(&mut self, page: LogPage) {
        self.replica.set_bounds(page.oldest, page.end);
        for r in page.records {
            let record = serde_json::from_str(&r.record).ok();
            self.replica.apply(page.oldest, r.offset, record.as_ref());
        }
    }

    async fn contend(&mut self) {
        let now = Instant::now();
        for latest in self.app.latest_versions.load().iter() {
            self.contenders.entry(latest.model.clone()).or_insert_with(|| {
                let resource = format_smolstr!("orders/{}", latest.model);
                let boot = self.app.node.boot;
                Contender::new(resource, self.host.clone(), boot, self.term, now)
            });
        }
        let peers = control_peers(&self.app.node);
        let mut ops = Vec::new();
        for (model, contender) in &mut self.contenders {
            let rank = rank(model, &self.app.node.id, &peers);
            contender.set_rank(u32::try_from(rank).unwrap_or(u32::MAX));
            if let NextOp::Append(op) = contender.step(Instant::now(), self.replica.state()) {
                ops.push(op);
            }
        }
        self.update_held();
        for op in ops {
            self.append(LeaseRecord::Op(op)).await;
        }
    }

    /// Updates the held leases in the shared state.
    fn update_held(&self) {
        let before = self.app.held_leases.load();
        let now = Instant::now();
        let to_held = |(model, contender): (&ModelName, &Contender)| {
            let (fence, until) = contender.held()?;
            let unchanged = before.get(model).filter(|lease| lease.fence == fence);
            let since = unchanged.map_or(now, |lease| lease.since);
            Some((model.clone(), HeldLease { fence, since, until }))
        };
        let held = self.contenders.iter().filter_map(to_held).collect();
        self.app.held_leases.store(Arc::new(held));
    }

    async fn append(&self, record: LeaseRecord) {
        let text = serde_json::to_string(&record).unwrap_or_default();
        // Reading the stream shows whether the record took effect.
        if let Err(e) = self.log.append(STREAM, text).await {
            self.warn_unreachable(&e);
        }
    }

    /// Appends a snapshot when one is due, and a reset if older records have
    /// been missing for several terms.
    async fn maintain_stream(&mut self) {
        if !self.replica.has_gap() {
            self.gap_since = None;
            let is_holder = !self.app.held_leases.load().is_empty();
            if is_holder && self.replica.snapshot_due(RECORDS_PER_SNAPSHOT, false) {
                let table = self.replica.state().clone();
                self.append(LeaseRecord::Snapshot { table }).await;
            }
            return;
        }
        let since = *self.gap_since.get_or_insert_with(Instant::now);
        if since.elapsed() > self.term * TERMS_BEFORE_RESET {
            log::warn!(event = "lease_reset", step = "lease"; "older records are lost; resetting the lease stream");
            self.append(LeaseRecord::Reset).await;
            self.gap_since = None;
        }
    }

    async fn release(&mut self) {
        let now = Instant::now();
        let ops: Vec<_> = self.contenders.values_mut().filter_map(|c| c.release(now)).collect();
        self.update_held();
        for op in ops {
            self.append(LeaseRecord::Op(op)).await;
        }
    }

    fn warn_unreachable(&self, e: &PlatformError) {
        if let Some(held_back) = self.log_limit.due() {
            let peer = e.peer.as_str();
            log::warn!(event = "log_unreachable", step = e.step, peer, held_back; "{e}");
        }
    }
}

/// Returns the ids of the peers with the control role that are believed to be
/// alive.
fn control_peers(node: &NodeState) -> Vec<HostId> {
    let suffix = format!("/{}", node.role);
    let peers = node.peers.load();
    peers.iter().filter(|p| p.id.ends_with(&suffix)).map(|p| p.id.clone()).collect()
}
