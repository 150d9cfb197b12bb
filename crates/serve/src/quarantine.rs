//! The quarantine controller: shares with the other hosts under which requests
//! targets crashed, through a topic of the store.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_clients::PartitionRef;
use cassia_quarantine::CrashReport;
use cassia_quarantine::CrashedTarget;
use cassia_quarantine::QuarantineRecord;
use cassia_quarantine::QuarantineTable;
use cassia_quarantine::RequestDigest;
use cassia_quarantine::RunDecision;
use cassia_quarantine::RunEvidence;
use cassia_quarantine::Work;
use cassia_route::Target;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::app::App;
use crate::clock::MAX_CLOCK_SKEW_MS;
use crate::clock::unix_ms;
use crate::lock::lock;
use crate::reports;
use crate::reports::ReportReader;

/// The topic of the reports.
const REPORTS: PartitionRef<'static> = PartitionRef { topic: "crashes", partition: 0 };
/// Limit of one read.
const READ_MAX_KB: u32 = 256;
/// How long the store may hold a read back until there are records. Short, so
/// that a dead connection is detected before a request crashes many more targets.
const LONG_POLL: Duration = Duration::from_secs(1);
/// How long reports are collected for one append.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of reports that wait to be appended. In an outage of the store
/// the connections to many targets may break too.
const MAX_QUEUED: usize = 256;

/// The requests under which targets crashed.
#[derive(Debug)]
pub(crate) struct Quarantine {
    table: Mutex<QuarantineTable>,
    /// Reports of this host that are not in the log yet.
    queue: Mutex<ReportQueue>,
    queued: Notify,
    /// Number of reports that the store has confirmed.
    confirmed: watch::Sender<u64>,
}

/// Reports that are not in the log yet.
#[derive(Debug, Default)]
struct ReportQueue {
    waiting: Vec<QuarantineRecord>,
    /// Number of reports that were ever queued.
    count: u64,
}

/// A run of a request at a target, and what was known when it began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WatchedRun {
    work: Work,
    evidence: RunEvidence,
}

impl WatchedRun {
    /// Returns the digest of what is asked for.
    pub(crate) fn content(&self) -> RequestDigest {
        self.work.content
    }
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            table: Mutex::new(QuarantineTable::new(rand::random())),
            queue: Mutex::default(),
            queued: Notify::default(),
            confirmed: watch::Sender::default(),
        }
    }
}

impl Quarantine {
    /// Decides whether a caller's request or a reward call may be sent.
    pub(crate) fn next_request(&self, content: RequestDigest) -> RunDecision {
        lock(&self.table).next_request(content, Instant::now())
    }

    /// Sends a caller's request or a reward call, if it may be sent.
    pub(crate) fn begin_request(&self, content: RequestDigest) -> RunDecision {
        lock(&self.table).begin_request(content, Instant::now())
    }

    /// Returns the targets that crashed under the request.
    pub(crate) fn suspected_crashes(&self, content: RequestDigest) -> Vec<CrashedTarget> {
        lock(&self.table).suspected_crashes(content, Instant::now()).to_vec()
    }

    /// Returns whether these targets may still be restarting.
    pub(crate) fn crashed_just_now(&self, content: RequestDigest) -> bool {
        lock(&self.table).crashed_just_now(content, Instant::now())
    }

    /// Decides whether an item may run.
    pub(crate) fn next_run(&self, work: Work) -> RunDecision {
        lock(&self.table).next_run(work, Instant::now())
    }

    /// Begins a run of an item; `None` if it must not run now.
    pub(crate) fn begin_run(&self, work: Work) -> Option<WatchedRun> {
        let decision = lock(&self.table).begin_run(work, Instant::now());
        (decision == RunDecision::Run).then(|| self.watch(work))
    }

    /// Records that a run ended that shows nothing of whether the item crashes targets.
    pub(crate) fn end_run(&self, run: &WatchedRun) {
        lock(&self.table).end_run(run.work);
    }

    /// Returns the run of a request that now begins.
    pub(crate) fn watch(&self, work: Work) -> WatchedRun {
        let known_crashes = lock(&self.table).known_crashes(work.content);
        let id = rand::random_range(1..=u64::MAX);
        WatchedRun { work, evidence: RunEvidence { id, known_crashes } }
    }

    /// Records that a target broke off in a run. That of one which has said that it leaves
    /// has a cause of its own.
    pub(crate) fn record_crash(&self, run: &WatchedRun, target: &Target) {
        if target.has_stated_leaving() {
            return;
        }
        let crash = CrashReport {
            work: run.work,
            target: target.info.id.clone(),
            incarnation: target.info.incarnation,
            run: Some(run.evidence),
            crashed_ms: unix_ms(),
        };
        self.report(QuarantineRecord::Crash(crash));
    }

    /// Records that a run of an item or a reward call shows that it does not crash targets.
    /// Others than suspects are not remembered, since there are so many.
    pub(crate) fn record_run(&self, work: Work) {
        if lock(&self.table).clear(work) {
            self.report(QuarantineRecord::Cleared { work });
        }
    }

    /// Records that a target ran a caller's request to its end.
    pub(crate) fn record_success(&self, content: RequestDigest) {
        if lock(&self.table).record_success(content) {
            self.report(QuarantineRecord::Cleared { work: Work::of_request(content) });
        }
    }

    fn report(&self, record: QuarantineRecord) {
        self.apply_record(&record);
        let mut queue = lock(&self.queue);
        if queue.waiting.len() < MAX_QUEUED {
            queue.waiting.push(record);
            queue.count += 1;
            self.queued.notify_one();
        }
    }

    /// Waits until the store has confirmed the reports that were queued.
    pub(crate) async fn wait_until_reported(&self) {
        let count = lock(&self.queue).count;
        let mut confirmed = self.confirmed.subscribe();
        // The sender lives as long as `self`.
        let _ = confirmed.wait_for(|confirmed| *confirmed >= count).await;
    }

    fn apply_record(&self, record: &QuarantineRecord) {
        let content = record.work().content;
        let now = Instant::now();
        let (was_held, is_held, crashes) = {
            let mut table = lock(&self.table);
            let was_held = table.next_request(content, now) != RunDecision::Run;
            table.apply(record, crashed_at(record, now), now);
            let is_held = table.next_request(content, now) != RunDecision::Run;
            (was_held, is_held, table.crash_count(content))
        };
        if is_held != was_held {
            let digest = format!("{content:032x}");
            log::info!(event = "quarantine", step = "quarantine", digest, held = is_held, crashes; "a request that crashes targets is held back or released");
        }
    }
}

/// Returns when the crash of a report happened. Its time is that of another host's clock, so
/// a crash that happened shortly before counts as happening now.
fn crashed_at(record: &QuarantineRecord, now: Instant) -> Instant {
    let QuarantineRecord::Crash(crash) = record else { return now };
    if crash.crashed_ms == 0 {
        return now;
    }
    let age_ms = unix_ms().saturating_sub(crash.crashed_ms).saturating_sub(MAX_CLOCK_SKEW_MS);
    now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now)
}

impl ReportReader for Quarantine {
    fn topic(&self) -> PartitionRef<'static> {
        REPORTS
    }

    fn max_kb(&self) -> u32 {
        READ_MAX_KB
    }

    fn wait(&self) -> Duration {
        LONG_POLL
    }

    fn apply(&self, record: Bytes) {
        match QuarantineRecord::decode(record) {
            Ok(record) => self.apply_record(&record),
            Err(e) => {
                log::warn!(event = "record_unreadable", step = "quarantine"; "{e}");
            }
        }
    }
}

/// Reads the reports of all hosts until the process ends.
pub(crate) async fn read_reports(app: Arc<App>) {
    reports::read_all(app.store.as_ref(), &app.state.store_contact, &app.quarantine).await;
}

/// Appends this host's reports until the process ends.
pub(crate) async fn append_reports(app: Arc<App>) {
    loop {
        app.quarantine.queued.notified().await;
        sleep(BATCH_DELAY).await;
        let (batch, count) = {
            let mut queue = lock(&app.quarantine.queue);
            (std::mem::take(&mut queue.waiting), queue.count)
        };
        let records: Vec<_> = batch.iter().map(QuarantineRecord::to_record).collect();
        if records.is_empty() {
            continue;
        }
        reports::append(app.store.as_ref(), REPORTS, &records).await;
        app.quarantine.confirmed.send_replace(count);
    }
}
