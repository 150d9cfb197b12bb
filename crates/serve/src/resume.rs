//! The stream controller: shares with the other hosts which version of the
//! software began which stream, through a topic of the store.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::RequestHead;
use cassia_clients::PartitionRef;
use cassia_ids::Software;
use cassia_resume::ResumeDecision;
use cassia_resume::StreamRecord;
use cassia_resume::StreamTable;
use cassia_resume::stream_digest;
use cassia_route::Route;
use cassia_route::Target;
use cassia_route::TargetKind;
use cassia_route::TargetSet;
use futures::FutureExt;
use futures::future::BoxFuture;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::app::App;
use crate::lock::lock;
use crate::reports;
use crate::reports::ReportReader;
use crate::response::Refusal;

/// The topic of the reports.
const REPORTS: PartitionRef<'static> = PartitionRef { topic: "streams", partition: 0 };
/// Limit of one read.
const READ_MAX_KB: u32 = 512;
/// How long the store may hold a read back until there are records.
const LONG_POLL: Duration = Duration::from_secs(2);
/// How long streams are collected for one append: the streams of a host that ends
/// within this time of their first event can't be resumed.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// How long the report of a version may take to be stored.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a resumption waits for the list of targets and the reports to be read again.
const CURRENT_TIMEOUT: Duration = Duration::from_millis(900);

/// Where a request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Origin {
    /// The service.
    pub(crate) service: SmolStr,
    /// The only version of its software; `None` for any.
    pub(crate) software: Option<Software>,
}

/// Which version of the software began which stream.
#[derive(Debug)]
pub(crate) struct Streams {
    table: Mutex<StreamTable>,
    queued: Notify,
    /// When the newest successful read of the list of targets began.
    list_read_at: watch::Sender<Option<Instant>>,
    /// When the newest read began that reached the end of all hosts' reports.
    reports_read_at: watch::Sender<Option<Instant>>,
    /// As of when somebody needs the reports.
    reports_needed_at: watch::Sender<Option<Instant>>,
    /// Number of reports that were read.
    read_count: watch::Sender<u64>,
}

impl Default for Streams {
    fn default() -> Self {
        Self {
            table: Mutex::new(StreamTable::new(rand::random())),
            queued: Notify::new(),
            list_read_at: watch::Sender::new(None),
            reports_read_at: watch::Sender::new(None),
            reports_needed_at: watch::Sender::new(None),
            read_count: watch::Sender::new(0),
        }
    }
}

impl Streams {
    /// Records which versions serve, by a read of the list that began at `read_at`.
    pub(crate) fn observe_targets(&self, targets: &TargetSet, read_at: Instant) {
        let now = Instant::now();
        let mut table = lock(&self.table);
        for target in targets.all() {
            let TargetKind::Service { name } = &target.info.kind else { continue };
            let software = &target.info.software;
            if table.observe(name, software, now) && table.is_mixed(name, now) {
                log::info!(event = "software_mixed", step = "targets", service = name.as_str(), software = software.as_str(); "another version of the software serves");
                self.queued.notify_one();
            }
        }
        drop(table);
        self.list_read_at.send_replace(Some(read_at));
    }

    /// Records that a target began a stream, or went on with one.
    pub(crate) fn begin(&self, head: &RequestHead, target: &Target) {
        let TargetKind::Service { name } = &target.info.kind else { return };
        let first = head.resumes.as_ref().filter(|first| !first.is_empty()).unwrap_or(&head.id);
        let (digest, now) = (stream_digest(first), Instant::now());
        if lock(&self.table).begin(digest, name, &target.info.software, now) {
            self.queued.notify_one();
        }
    }

    /// Waits, before the first streams of a version are passed on, until its report is
    /// stored: if all hosts end then, they know of it when they are back. Without the
    /// store none can, so the wait is short.
    pub(crate) async fn wait_until_announced(&self, app: &App, target: &Target) {
        let TargetKind::Service { name } = &target.info.kind else { return };
        if app.state.store_contact.is_failing() {
            return;
        }
        let mut read = self.read_count.subscribe();
        let is_announced = |_: &u64| lock(&self.table).is_announced(name, &target.info.software);
        let _ = timeout(ANNOUNCE_TIMEOUT, read.wait_for(is_announced)).await;
    }

    /// Waits until this host knows every version that served when the call was made: those
    /// that are listed, and those of which the other hosts' reports say that they began
    /// streams. They may be gone from the list.
    async fn wait_until_current(&self, app: &App) -> Result<(), Refusal> {
        let now = Instant::now();
        if app.state.store_contact.is_failing() {
            return Err(Refusal::UnknownSoftware);
        }
        self.reports_needed_at.send_modify(|needed| *needed = (*needed).max(Some(now)));
        let (mut list, mut reports) =
            (self.list_read_at.subscribe(), self.reports_read_at.subscribe());
        let is_current = |read_at: &Option<Instant>| read_at.is_some_and(|at| at >= now);
        let both = async {
            // The senders live as long as `self`.
            let _ = list.wait_for(is_current).await;
            let _ = reports.wait_for(is_current).await;
        };
        timeout(CURRENT_TIMEOUT, both).await.map_err(|_| Refusal::UnknownSoftware)
    }

    fn decide(&self, first: &str, services: &[SmolStr]) -> ResumeDecision {
        lock(&self.table).decide(stream_digest(first), services, Instant::now())
    }
}

/// Finds where a caller's request may run: anywhere, or if it resumes a stream, only
/// at the version of the software that began it.
///
/// # Errors
///
/// The route has no service, or that version is not known.
pub(crate) async fn find_origin(
    app: &App,
    head: &RequestHead,
    route: &Route,
) -> Result<Origin, Refusal> {
    let service = route.pick_service(rand::random()).cloned().ok_or(Refusal::NoTarget)?;
    let Some(first) = &head.resumes else {
        return Ok(Origin { service, software: None });
    };
    let services: Vec<_> = route.split.iter().map(|(service, _)| service.clone()).collect();
    let mut decision = app.streams.decide(first, &services);
    if decision == ResumeDecision::Single {
        // Another host may have seen a version that this one has not.
        app.streams.wait_until_current(app).await?;
        decision = app.streams.decide(first, &services);
    }
    match decision {
        ResumeDecision::At { service, software } if services.contains(&service) => {
            Ok(Origin { service, software: Some(software) })
        }
        ResumeDecision::Single => {
            let software = lock(&app.streams.table).sole_version(&service, Instant::now());
            let software = software.ok_or(Refusal::NoTarget)?;
            Ok(Origin { service, software: Some(software) })
        }
        ResumeDecision::At { .. } | ResumeDecision::Unknown => Err(Refusal::UnknownSoftware),
    }
}

impl ReportReader for Streams {
    fn topic(&self) -> PartitionRef<'static> {
        REPORTS
    }

    fn max_kb(&self) -> u32 {
        READ_MAX_KB
    }

    fn wait(&self) -> Duration {
        // The first reads must end although there are no records.
        let read_at = *self.reports_read_at.borrow();
        let is_needed = read_at.is_none() || read_at < *self.reports_needed_at.borrow();
        if is_needed { Duration::ZERO } else { LONG_POLL }
    }

    fn apply(&self, record: Bytes) {
        match StreamRecord::decode(record) {
            Ok(record) => {
                if lock(&self.table).apply(&record, Instant::now()) {
                    self.queued.notify_one();
                }
                self.read_count.send_modify(|count| *count += 1);
            }
            Err(e) => {
                log::warn!(event = "record_unreadable", step = "resume"; "{e}");
            }
        }
    }

    fn reached_end(&self, began: Instant) {
        self.reports_read_at.send_replace(Some(began));
    }

    fn wait_until_needed(&self) -> BoxFuture<'_, ()> {
        let mut needed = self.reports_needed_at.subscribe();
        async move {
            let is_later = |at: &Option<Instant>| *at > *self.reports_read_at.borrow();
            // The sender lives as long as `self`.
            let _ = needed.wait_for(is_later).await;
        }
        .boxed()
    }
}

/// Reads the reports of all hosts until the process ends.
pub(crate) async fn read_reports(app: Arc<App>) {
    reports::read_all(app.store.as_ref(), &app.state.store_contact, &app.streams).await;
}

/// Appends this host's reports until the process ends.
pub(crate) async fn append_reports(app: Arc<App>) {
    loop {
        app.streams.queued.notified().await;
        if !lock(&app.streams.table).has_new_version() {
            sleep(BATCH_DELAY).await;
        }
        let reports = lock(&app.streams.table).take_reports(Instant::now());
        let records: Vec<_> = reports.iter().map(StreamRecord::to_record).collect();
        if records.is_empty() {
            continue;
        }
        reports::append(app.store.as_ref(), REPORTS, &records).await;
    }
}
