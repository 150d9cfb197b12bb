//! The quarantine controller: shares with the other hosts under which requests
//! targets crashed, through a topic of the store.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_clients::PartitionRef;
use cassia_quarantine::CrashedTarget;
use cassia_quarantine::QuarantineRecord;
use cassia_quarantine::QuarantineTable;
use cassia_quarantine::RequestDigest;
use cassia_quarantine::RunDecision;
use cassia_route::Target;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::app::App;
use crate::reports;
use crate::reports::ReportReader;
use crate::state::lock;

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
#[derive(Debug, Default)]
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

impl Quarantine {
    /// Returns whether the request must not be sent.
    pub(crate) fn holds(&self, digest: RequestDigest) -> bool {
        lock(&self.table).is_quarantined(digest, Instant::now())
    }

    /// Returns the targets that crashed under the request.
    pub(crate) fn suspected_crashes(&self, digest: RequestDigest) -> Vec<CrashedTarget> {
        lock(&self.table).suspected_crashes(digest, Instant::now()).to_vec()
    }

    /// Returns whether these targets may still be restarting.
    pub(crate) fn crashed_just_now(&self, digest: RequestDigest) -> bool {
        lock(&self.table).crashed_just_now(digest, Instant::now())
    }

    /// Records that a target broke off while it ran the request.
    pub(crate) fn record_crash(&self, digest: RequestDigest, target: &Target) {
        let (target, incarnation) = (target.info.id.clone(), target.info.incarnation);
        self.report(QuarantineRecord::Crash { digest, target, incarnation });
    }

    /// Decides whether an item may run that may crash `max_runs` targets.
    pub(crate) fn next_run(&self, digest: RequestDigest, max_runs: usize) -> RunDecision {
        lock(&self.table).next_run(digest, max_runs, Instant::now())
    }

    /// Records that a run of an item or a reward call shows that it does not crash targets.
    /// Others than suspects are not remembered, since there are so many.
    pub(crate) fn record_run(&self, digest: RequestDigest) {
        if lock(&self.table).is_suspected(digest) {
            self.record_success(digest);
        }
    }

    /// Records that a target ran the request to its end.
    pub(crate) fn record_success(&self, digest: RequestDigest) {
        if lock(&self.table).record_success(digest) {
            self.report(QuarantineRecord::Cleared { digest });
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
        let (QuarantineRecord::Crash { digest, .. } | QuarantineRecord::Cleared { digest }) =
            record;
        let now = Instant::now();
        let (was_held, is_held, crashes) = {
            let mut table = lock(&self.table);
            let was_held = table.is_quarantined(*digest, now);
            table.apply(record, now);
            (was_held, table.is_quarantined(*digest, now), table.crash_count(*digest))
        };
        if is_held != was_held {
            let digest = format!("{digest:032x}");
            log::info!(event = "quarantine", step = "quarantine", digest, held = is_held, crashes; "a request that crashes targets is held back or released");
        }
    }
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
