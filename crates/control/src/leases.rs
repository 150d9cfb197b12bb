//! The lease controller: contends for the lease on each model's orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_follow::Replica;
use cassia_ids::HostId;
use cassia_ids::ModelName;
use cassia_lease::Contender;
use cassia_lease::LeaseOp;
use cassia_lease::LeaseRecord;
use cassia_lease::LeaseTable;
use cassia_lease::NextOp;
use cassia_lease::STREAM;
use cassia_node::NodeState;
use cassia_node::RateLimit;
use cassia_platform::Log;
use cassia_platform::LogPage;
use cassia_route::rank;
use smol_str::format_smolstr;
use tokio::time::sleep;

use crate::app::App;
use crate::app::Held;

/// How long a read waits at the log for news, at most.
const LONG_POLL: Duration = Duration::from_millis(500);
const LEAST_PATIENCE: Duration = Duration::from_secs(1);
/// Pause after the log failed.
const LOG_PAUSE: Duration = Duration::from_millis(250);
/// Records after which the table is appended again.
const RECORDS_PER_SNAPSHOT: u64 = 1_000;
/// Without the older records, a reset is appended after this many terms.
const TERMS_BEFORE_RESET: u32 = 3;

#[derive(Debug)]
pub(crate) struct LeaseController {
    app: Arc<App>,
    log: Arc<dyn Log>,
    host: HostId,
    term: Duration,
    follow: Replica<LeaseTable>,
    contenders: BTreeMap<ModelName, Contender>,
    stranded_since: Option<Instant>,
    complaints: RateLimit,
}

impl LeaseController {
    pub(crate) fn new(app: Arc<App>, log: Arc<dyn Log>, host: HostId, term: Duration) -> Self {
        Self {
            app,
            log,
            host,
            term,
            follow: Replica::default(),
            contenders: BTreeMap::new(),
            stranded_since: None,
            complaints: RateLimit::default(),
        }
    }

    /// Runs until a planned stop, and lets the leases go then.
    pub(crate) async fn run(mut self) {
        let mut synced = false;
        while !self.app.board.is_stopping() {
            let from = self.follow.next_read().offset();
            match self.log.read(STREAM, from, self.wait(), self.patience()).await {
                Ok(page) => {
                    synced = page.records.is_empty() || synced;
                    self.take_page(page);
                }
                Err(e) => {
                    self.complain(&e);
                    sleep(LOG_PAUSE).await;
                }
            }
            // A table that isn't caught up yet would show leases as free.
            if synced && !self.follow.has_gap() {
                self.contend().await;
            }
            self.mend_stream().await;
        }
        self.release().await;
    }

    fn wait(&self) -> Duration {
        (self.term / 10).min(LONG_POLL)
    }

    /// A read that takes longer shows the holder its renewals too late.
    fn patience(&self) -> Duration {
        (self.term / 3).max(LEAST_PATIENCE)
    }

    fn take_page(&mut self, page: LogPage) {
        self.follow.set_bounds(page.oldest, page.end);
        for r in page.records {
            let record = serde_json::from_str(&r.record).ok();
            self.follow.apply(page.oldest, r.offset, record.as_ref());
        }
    }

    async fn contend(&mut self) {
        let now = Instant::now();
        for latest in self.app.latest.load().iter() {
            self.contenders.entry(latest.model.clone()).or_insert_with(|| {
                let resource = format_smolstr!("orders/{}", latest.model);
                let boot = self.app.board.boot;
                Contender::new(resource, self.host.clone(), boot, self.term, now)
            });
        }
        let ids = control_ids(&self.app.board);
        let mut acts = Vec::new();
        for (model, contender) in &mut self.contenders {
            let rank = rank(model, &self.app.board.id, &ids);
            contender.set_rank(u32::try_from(rank).unwrap_or(u32::MAX));
            if let NextOp::Append(act) = contender.step(Instant::now(), self.follow.state()) {
                acts.push(act);
            }
        }
        self.show_held();
        for act in acts {
            self.append(act).await;
        }
    }

    /// Puts on the board what is ours, with since when.
    fn show_held(&self) {
        let before = self.app.held.load();
        let now = Instant::now();
        let held = |(model, contender): (&ModelName, &Contender)| {
            let (fence, until) = contender.held()?;
            let same = before.get(model).filter(|held| held.fence == fence);
            let since = same.map_or(now, |held| held.since);
            Some((model.clone(), Held { fence, since, until }))
        };
        let held = self.contenders.iter().filter_map(held).collect();
        self.app.held.store(Arc::new(held));
    }

    async fn append(&self, act: LeaseOp) {
        let record = LeaseRecord::Op(act);
        self.append_record(&record).await;
    }

    async fn append_record(&self, record: &LeaseRecord) {
        let text = serde_json::to_string(record).unwrap_or_default();
        // Whether it took effect shows when the stream is read.
        if let Err(e) = self.log.append(STREAM, text).await {
            self.complain(&e);
        }
    }

    async fn mend_stream(&mut self) {
        if !self.follow.has_gap() {
            self.stranded_since = None;
            let holds = !self.app.held.load().is_empty();
            if holds && self.follow.snapshot_due(RECORDS_PER_SNAPSHOT, false) {
                let table = self.follow.state().clone();
                self.append_record(&LeaseRecord::Snapshot { table }).await;
            }
            return;
        }
        let since = *self.stranded_since.get_or_insert_with(Instant::now);
        if since.elapsed() > self.term * TERMS_BEFORE_RESET {
            log::warn!(event = "lease_reset", step = "lease"; "older records are lost");
            self.append_record(&LeaseRecord::Reset).await;
            self.stranded_since = None;
        }
    }

    async fn release(&mut self) {
        let now = Instant::now();
        let acts: Vec<_> = self.contenders.values_mut().filter_map(|c| c.release(now)).collect();
        self.show_held();
        for act in acts {
            self.append(act).await;
        }
    }

    fn complain(&self, e: &cassia_platform::PlatformError) {
        if let Some(held_back) = self.complaints.due() {
            let peer = e.peer.as_str();
            log::warn!(event = "log_unreachable", step = e.step, peer, held_back; "{e}");
        }
    }
}

/// Names the control processes that are alive, as far as is known.
fn control_ids(board: &NodeState) -> Vec<HostId> {
    let suffix = format!("/{}", board.role);
    let peers = board.peers.load();
    peers.iter().filter(|p| p.id.ends_with(&suffix)).map(|p| p.id.clone()).collect()
}
