//! The configuration controller: keeps the contracts in force.
//!
//! Two processes a data centre read the log; the others hear of news from
//! their peers and fetch it there, so that 360 processes don't poll the log.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cassia_fold::Applied;
use cassia_fold::CONFIG_STREAM;
use cassia_fold::ConfigRecord;
use cassia_fold::ContractTable;
use cassia_fold::Snapshot;
use cassia_follow::Replica;
use cassia_follow::StateMachine;
use cassia_ids::Offset;
use cassia_platform::ErrorKind;
use cassia_platform::Log;
use cassia_platform::LogPage;
use cassia_platform::PlatformError;
use cassia_route::rank;
use rand::Rng;
use tokio::time::sleep_until;

use crate::Ask;
use crate::Board;
use crate::ConfigAsk;
use crate::ConfigState;
use crate::RateLimit;
use crate::Reply;
use crate::ask;
use crate::board::Ahead;

/// Processes of a data centre that read the log.
const READERS: usize = 2;
/// How long a read waits at the log for news.
const LONG_POLL: Duration = Duration::from_secs(2);
/// How often a process that isn't a reader looks at the log all the same.
const BACKSTOP: Duration = Duration::from_secs(30);
/// How much longer than asked an answer of the log may take, at first and at
/// most.
const FIRST_PATIENCE: Duration = Duration::from_secs(2);
const MOST_PATIENCE: Duration = Duration::from_secs(20);
/// Pause after the log failed, with as much again at random.
const LOG_PAUSE: Duration = Duration::from_millis(500);
/// How long a peer has to send its configuration.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Records after which the state is appended again.
const RECORDS_PER_SNAPSHOT: u64 = 1_000;
/// Snapshots are renewed when this part of the retention has passed.
const SNAPSHOTS_PER_RETENTION: u64 = 4;
/// Each rank waits this much longer before it appends a snapshot.
const SNAPSHOT_STAGGER: Duration = Duration::from_secs(2);
/// No snapshot before this: the newest may not have been seen yet.
const SNAPSHOT_NOT_BEFORE: Duration = Duration::from_secs(10);

/// What the controller does next.
enum Next {
    ReadLog { from: Offset, wait: Duration },
    AskPeer(Ahead),
    Pause { until: Instant },
}

pub(crate) struct ConfigController {
    board: Arc<Board>,
    log: Arc<dyn Log>,
    retention_s: u64,
    follow: Replica<ContractTable>,
    /// When the newest snapshot in the stream was written, in Unix seconds.
    snapshot_at: Option<u64>,
    next_read: Instant,
    /// While the log answers nothing, the next read waits.
    log_failed: bool,
    /// How long an answer of the log may take.
    patience: Patience,
    complaints: RateLimit,
}

/// A length of time that grows while a slow log answers too late, and is short
/// again once it answers: a connection that is merely silent is left soon.
type Patience = Duration;

impl ConfigController {
    pub(crate) fn new(board: Arc<Board>, log: Arc<dyn Log>, retention_s: u64) -> Self {
        Self {
            board,
            log,
            retention_s,
            follow: Replica::default(),
            snapshot_at: None,
            next_read: Instant::now(),
            log_failed: false,
            patience: FIRST_PATIENCE,
            complaints: RateLimit::default(),
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            match self.next() {
                Next::ReadLog { from, wait } => self.read_log(from, wait).await,
                Next::AskPeer(ahead) => self.ask_peer(ahead).await,
                Next::Pause { until } => {
                    let mut ahead = self.board.ahead.subscribe();
                    tokio::select! {
                        () = sleep_until(until.into()) => {}
                        _ = ahead.changed() => {}
                    }
                }
            }
            self.append_snapshot_when_due().await;
        }
    }

    fn next(&self) -> Next {
        let ahead = *self.board.ahead.borrow();
        let have = self.follow.state().next_offset();
        if let Some(ahead) = ahead.filter(|ahead| ahead.next > have) {
            return Next::AskPeer(ahead);
        }
        let reads = self.is_reader() || !self.board.config.load().usable;
        let due = if reads && !self.log_failed { Instant::now() } else { self.next_read };
        if Instant::now() < due {
            return Next::Pause { until: due };
        }
        let wait = if reads { LONG_POLL } else { Duration::ZERO };
        Next::ReadLog { from: self.follow.next_read().offset(), wait }
    }

    fn is_reader(&self) -> bool {
        let peers = self.board.peers.load();
        let here = peers.iter().filter(|p| p.data_centre == self.board.data_centre);
        let ids: Vec<_> = here.map(|p| p.id.clone()).collect();
        rank("config readers", &self.board.id, &ids) < READERS
    }

    async fn read_log(&mut self, from: Offset, wait: Duration) {
        let jitter = rand::rng().random_range(0..=LOG_PAUSE.as_millis());
        let jitter = Duration::from_millis(u64::try_from(jitter).unwrap_or(0));
        let log = Arc::clone(&self.log);
        let mut ahead = self.board.ahead.subscribe();
        let have = self.follow.state().next_offset();
        // A read that hangs at the log must not keep news of peers out.
        let read = tokio::select! {
            read = log.read(CONFIG_STREAM, from, wait, self.patience) => read,
            _ = ahead.wait_for(|a| a.is_some_and(|a| a.next > have)) => return,
        };
        match read {
            Ok(page) => {
                self.log_failed = false;
                self.patience = FIRST_PATIENCE;
                self.next_read = Instant::now() + BACKSTOP + jitter;
                self.take_page(page);
            }
            Err(e) => {
                self.log_failed = true;
                self.next_read = Instant::now() + LOG_PAUSE + jitter;
                if e.kind == ErrorKind::Silent {
                    self.patience = (self.patience * 2).min(MOST_PATIENCE);
                }
                self.complain("log_unreachable", &e);
            }
        }
    }

    fn take_page(&mut self, page: LogPage) {
        self.follow.set_bounds(page.first, page.end);
        let mut taken = Vec::new();
        for r in page.records {
            let record = ConfigRecord::decode(&r.record);
            if let Some(ConfigRecord::Snapshot(snapshot)) = &record {
                self.snapshot_at = self.snapshot_at.max(Some(snapshot.written_at));
            }
            if let Some(applied) = self.follow.apply(page.first, r.offset, record.as_ref()) {
                log_applied(r.offset, &applied);
                taken.push((r.offset, r.record));
            }
        }
        self.publish(taken);
    }

    async fn ask_peer(&mut self, ahead: Ahead) {
        let next = self.follow.state().next_offset();
        let question = Ask::Config(ConfigAsk { next });
        let deadline = Instant::now() + PEER_TIMEOUT;
        match ask("fetch configuration", ahead.peer, question, deadline).await {
            Ok(Reply::Config(reply)) if reply.fold.is_empty() => {
                let records = reply.records.into_iter();
                let records = records
                    .map(|r| cassia_platform::LogRecord { offset: r.offset, record: r.record })
                    .collect();
                self.take_page(LogPage { first: next, end: ahead.next, records });
            }
            Ok(Reply::Config(reply)) => {
                if let Ok(fold) = serde_json::from_str(&reply.fold) {
                    self.follow.install(&fold);
                    self.publish(Vec::new());
                }
            }
            Ok(Reply::Served(_) | Reply::Targets(_)) => {}
            Err(e) => self.complain("peer_unreachable", &e),
        }
        // Whatever came of it, this hint is used up; the peers' next datagrams
        // bring another if something is still missing.
        self.board.ahead.send_if_modified(|a| {
            let same = *a == Some(ahead);
            if same {
                *a = None;
            }
            same
        });
    }

    fn publish(&self, taken: Vec<(Offset, String)>) {
        let usable = !self.follow.has_gap();
        let was = self.board.config.load();
        // A process that fell behind the log's retention goes on with what it
        // has until it finds a snapshot or a peer.
        let usable = usable || was.usable;
        if was.usable == usable && was.fold.next_offset() == self.follow.state().next_offset() {
            return;
        }
        drop(was);
        self.board.set_config(ConfigState { fold: self.follow.state().clone(), usable }, taken);
    }

    async fn append_snapshot_when_due(&mut self) {
        if self.log_failed || !self.is_snapshot_due() {
            return;
        }
        let snapshot = Snapshot { written_at: unix_seconds(), table: self.follow.state().clone() };
        let offset = snapshot.table.next_offset();
        match self.log.append(CONFIG_STREAM, ConfigRecord::Snapshot(snapshot).encode()).await {
            Ok(_) => {
                // Seen when it is read back; until then no second one.
                self.snapshot_at = Some(unix_seconds());
                log::info!(event = "snapshot_appended", step = "config", next = offset; "snapshot");
            }
            Err(e) => {
                self.log_failed = true;
                self.next_read = Instant::now() + LOG_PAUSE;
                self.complain("snapshot_failed", &e);
            }
        }
    }

    fn is_snapshot_due(&self) -> bool {
        let ids: Vec<_> = self.board.peers.load().iter().map(|p| p.id.clone()).collect();
        let rank = u32::try_from(rank("snapshot", &self.board.id, &ids)).unwrap_or(u32::MAX);
        let stagger = SNAPSHOT_STAGGER.saturating_mul(rank);
        if self.board.started.elapsed() < SNAPSHOT_NOT_BEFORE + stagger {
            return false;
        }
        let every_s = self.retention_s / SNAPSHOTS_PER_RETENTION;
        let due_at = self.snapshot_at.map_or(0, |at| at + every_s + stagger.as_secs());
        self.follow.snapshot_due(RECORDS_PER_SNAPSHOT, unix_seconds() >= due_at)
    }

    fn complain(&self, event: &str, e: &PlatformError) {
        if let Some(held_back) = self.complaints.due() {
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
            log::info!(event = "contract_in_force", step = "config", revision; "in force");
        }
        Applied::Refused(refusal) => {
            log::warn!(event = "publish_refused", step = "config", offset; "{refusal}");
        }
        Applied::Duplicate { .. } | Applied::Skipped => {}
    }
}
