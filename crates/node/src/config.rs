//! The configuration controller: keeps the contracts in force.
//!
//! Two processes per data centre read the log. The others learn of changes
//! from the gossip of their peers and fetch them there, so that 360 processes
//! don't poll the log.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cassia_clients::ErrorKind;
use cassia_clients::Log;
use cassia_clients::LogPage;
use cassia_clients::PlatformError;
use cassia_config::Applied;
use cassia_config::CONFIG_STREAM;
use cassia_config::ConfigRecord;
use cassia_config::ContractTable;
use cassia_config::Snapshot;
use cassia_ids::Offset;
use cassia_replica::Replica;
use cassia_replica::StateMachine;
use cassia_route::rank;
use rand::Rng;
use tokio::time::sleep_until;

use crate::ConfigRequest;
use crate::ConfigState;
use crate::NodeState;
use crate::PeerRequest;
use crate::PeerResponse;
use crate::RateLimit;
use crate::call_peer;
use crate::state::NewerConfig;

/// Number of processes per data centre that read the log.
const READERS_PER_DATA_CENTRE: usize = 2;
/// How long the log may hold a read back until there are records.
const LONG_POLL: Duration = Duration::from_secs(2);
/// How often a process that isn't a reader polls the log, in case gossip
/// missed a change.
const NON_READER_INTERVAL: Duration = Duration::from_secs(30);
/// How long a response of the log may take beyond the long poll, at first and
/// at most.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay after a failure of the log; a random time up to as long is added.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long fetching the configuration from a peer may take.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of records after which a new snapshot is appended.
const RECORDS_PER_SNAPSHOT: u64 = 1_000;
/// Number of snapshots appended during the log's retention, at least.
const SNAPSHOTS_PER_RETENTION: u64 = 4;
/// Extra delay per rank, so that usually a single process appends a snapshot.
const SNAPSHOT_STAGGER: Duration = Duration::from_secs(2);
/// Time after the start without snapshots: the newest one in the log may not
/// have been read yet.
const SNAPSHOT_START_DELAY: Duration = Duration::from_secs(10);

/// The next action of the controller.
enum Action {
    ReadLog { from: Offset, wait: Duration },
    FetchFromPeer(NewerConfig),
    Wait { until: Instant },
}

pub(crate) struct ConfigController {
    state: Arc<NodeState>,
    log: Arc<dyn Log>,
    retention_s: u64,
    replica: Replica<ContractTable>,
    /// When the newest snapshot in the stream was written, in Unix seconds.
    snapshot_at: Option<u64>,
    next_read: Instant,
    /// Whether the last call of the log failed; the next one then waits until
    /// `next_read`.
    log_failed: bool,
    /// How long a response of the log may take beyond the long poll. Doubles
    /// while a slow log responds too late, and is reset once it responds, so
    /// that a dead connection is abandoned soon.
    read_timeout: Duration,
    log_limit: RateLimit,
}

impl ConfigController {
    pub(crate) fn new(state: Arc<NodeState>, log: Arc<dyn Log>, retention_s: u64) -> Self {
        Self {
            state,
            log,
            retention_s,
            replica: Replica::default(),
            snapshot_at: None,
            next_read: Instant::now(),
            log_failed: false,
            read_timeout: FIRST_READ_TIMEOUT,
            log_limit: RateLimit::default(),
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            match self.next_action() {
                Action::ReadLog { from, wait } => self.read_log(from, wait).await,
                Action::FetchFromPeer(newer) => self.fetch_from_peer(newer).await,
                Action::Wait { until } => {
                    let mut newer = self.state.newer_config.subscribe();
                    tokio::select! {
                        () = sleep_until(until.into()) => {}
                        _ = newer.changed() => {}
                    }
                }
            }
            self.append_snapshot_when_due().await;
        }
    }

    fn next_action(&self) -> Action {
        let newer = *self.state.newer_config.borrow();
        let have = self.replica.state().next_offset();
        if let Some(newer) = newer.filter(|newer| newer.next > have) {
            return Action::FetchFromPeer(newer);
        }
        let reads_log = self.is_reader() || !self.state.config.load().usable;
        let due = if reads_log && !self.log_failed { Instant::now() } else { self.next_read };
        if Instant::now() < due {
            return Action::Wait { until: due };
        }
        let wait = if reads_log { LONG_POLL } else { Duration::ZERO };
        Action::ReadLog { from: self.replica.next_read().offset(), wait }
    }

    fn is_reader(&self) -> bool {
        let peers = self.state.peers.load();
        let local = peers.iter().filter(|p| p.data_centre == self.state.data_centre);
        let ids: Vec<_> = local.map(|p| p.id.clone()).collect();
        rank("config readers", &self.state.id, &ids) < READERS_PER_DATA_CENTRE
    }

    async fn read_log(&mut self, from: Offset, wait: Duration) {
        let jitter = rand::rng().random_range(0..=LOG_RETRY_DELAY.as_millis());
        let jitter = Duration::from_millis(u64::try_from(jitter).unwrap_or(0));
        let log = Arc::clone(&self.log);
        let mut newer = self.state.newer_config.subscribe();
        let have = self.replica.state().next_offset();
        // A read that hangs at the log must not delay fetching from a peer.
        let read = tokio::select! {
            read = log.read(CONFIG_STREAM, from, wait, self.read_timeout) => read,
            _ = newer.wait_for(|n| n.is_some_and(|n| n.next > have)) => return,
        };
        match read {
            Ok(page) => {
                self.log_failed = false;
                self.read_timeout = FIRST_READ_TIMEOUT;
                self.next_read = Instant::now() + NON_READER_INTERVAL + jitter;
                self.apply_page(page);
            }
            Err(e) => {
                self.log_failed = true;
                self.next_read = Instant::now() + LOG_RETRY_DELAY + jitter;
                if e.kind == ErrorKind::Timeout {
                    self.read_timeout = (self.read_timeout * 2).min(MAX_READ_TIMEOUT);
                }
                self.log_failure("log_unreachable", &e);
            }
        }
    }

    fn apply_page(&mut self, page: LogPage) {
        self.replica.set_bounds(page.oldest, page.end);
        let mut new_records = Vec::new();
        for r in page.records {
            let record = ConfigRecord::decode(&r.record);
            if let Some(ConfigRecord::Snapshot(snapshot)) = &record {
                self.snapshot_at = self.snapshot_at.max(Some(snapshot.written_at));
            }
            if let Some(applied) = self.replica.apply(page.oldest, r.offset, record.as_ref()) {
                log_applied(r.offset, &applied);
                new_records.push((r.offset, r.record));
            }
        }
        self.publish(new_records);
    }

    async fn fetch_from_peer(&mut self, newer: NewerConfig) {
        let next = self.replica.state().next_offset();
        let request = PeerRequest::Config(ConfigRequest { next });
        let deadline = Instant::now() + PEER_TIMEOUT;
        match call_peer("fetch configuration", newer.peer, request, deadline).await {
            Ok(PeerResponse::Config(response)) if response.contracts.is_empty() => {
                let records = response.records.into_iter();
                let records = records
                    .map(|r| cassia_clients::LogRecord { offset: r.offset, record: r.record })
                    .collect();
                self.apply_page(LogPage { oldest: next, end: newer.next, records });
            }
            Ok(PeerResponse::Config(response)) => {
                if let Ok(contracts) = serde_json::from_str(&response.contracts) {
                    self.replica.install(&contracts);
                    self.publish(Vec::new());
                }
            }
            Ok(PeerResponse::Relayed(_) | PeerResponse::Targets(_)) => {}
            Err(e) => self.log_failure("peer_unreachable", &e),
        }
        // The hint is cleared whether or not the fetch succeeded; the peers'
        // next datagrams set it again if something is still missing.
        self.state.newer_config.send_if_modified(|current| {
            let same = *current == Some(newer);
            if same {
                *current = None;
            }
            same
        });
    }

    fn publish(&self, new_records: Vec<(Offset, String)>) {
        let usable = !self.replica.has_gap();
        let current = self.state.config.load();
        // A process that fell behind the log's retention keeps using what it
        // has until it finds a snapshot or a peer.
        let usable = usable || current.usable;
        if current.usable == usable
            && current.contracts.next_offset() == self.replica.state().next_offset()
        {
            return;
        }
        drop(current);
        let contracts = self.replica.state().clone();
        self.state.set_config(ConfigState { contracts, usable }, new_records);
    }

    async fn append_snapshot_when_due(&mut self) {
        if self.log_failed || !self.is_snapshot_due() {
            return;
        }
        let snapshot = Snapshot { written_at: unix_seconds(), table: self.replica.state().clone() };
        let offset = snapshot.table.next_offset();
        match self.log.append(CONFIG_STREAM, ConfigRecord::Snapshot(snapshot).encode()).await {
            Ok(_) => {
                // Prevents a second snapshot before this one is read back.
                self.snapshot_at = Some(unix_seconds());
                log::info!(event = "snapshot_appended", step = "config", next = offset; "snapshot appended");
            }
            Err(e) => {
                self.log_failed = true;
                self.next_read = Instant::now() + LOG_RETRY_DELAY;
                self.log_failure("snapshot_failed", &e);
            }
        }
    }

    fn is_snapshot_due(&self) -> bool {
        let ids: Vec<_> = self.state.peers.load().iter().map(|p| p.id.clone()).collect();
        let rank = u32::try_from(rank("snapshot", &self.state.id, &ids)).unwrap_or(u32::MAX);
        let stagger = SNAPSHOT_STAGGER.saturating_mul(rank);
        if self.state.started.elapsed() < SNAPSHOT_START_DELAY + stagger {
            return false;
        }
        let every_s = self.retention_s / SNAPSHOTS_PER_RETENTION;
        let due_at = self.snapshot_at.map_or(0, |at| at + every_s + stagger.as_secs());
        self.replica.snapshot_due(RECORDS_PER_SNAPSHOT, unix_seconds() >= due_at)
    }

    fn log_failure(&self, event: &str, e: &PlatformError) {
        if let Some(held_back) = self.log_limit.due() {
            let peer = e.peer.as_str();
            log::warn!(event = event, step = e.step, peer, held_back; "{e}");
        }
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

fn log_applied(offset: Offset, applied: &Applied) {
    match applied {
        Applied::Accepted { revision } => {
            log::info!(event = "contract_in_force", step = "config", revision; "contract in force");
        }
        Applied::Refused(refusal) => {
            log::warn!(event = "publish_refused", step = "config", offset; "{refusal}");
        }
        Applied::Duplicate { .. } | Applied::Skipped => {}
    }
}
