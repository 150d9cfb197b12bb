//! The usage controller: counts the requests of each customer, shares the counts
//! with the other hosts through a topic of the store, and reports them.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_clients::PartitionRef;
use cassia_clients::PlatformApiErrorKind;
use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_clients::UsageReport;
use cassia_ids::CustomerId;
use cassia_ids::Offset;
use cassia_usage::Applied;
use cassia_usage::TrueTime;
use cassia_usage::UsageAction;
use cassia_usage::UsageCounter;
use cassia_usage::UsageLedger;
use cassia_usage::UsageRecord;
use cassia_usage::WindowCounts;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::accounts::Requester;
use crate::app::App;
use crate::clock::Clock;
use crate::clock::unix_ms;
use crate::duties::CallFailure;
use crate::duties::Duty;
use crate::duties::DutyContext;
use crate::duties::DutyOutcome;
use crate::duties::DutyTurn;
use crate::lock::lock;

/// The topic of counts, decisions and reports.
const USAGE: PartitionRef<'static> = PartitionRef { topic: "usage", partition: 0 };
/// How often new counts are appended. A host that crashes loses what it counted since.
const APPEND_INTERVAL: Duration = Duration::from_millis(500);
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay after a failed append in a planned stop.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Timeout of a read, and of an append of a decision.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit of one read, in kilobytes. A new contender reads all records that the store
/// keeps, and decoding a larger read would hold up requests.
const READ_MAX_KB: u32 = 64;
/// Maximum number of decisions and reports of one turn.
const MAX_ACTIONS: usize = 16;

/// This host's counts.
#[derive(Debug)]
pub(crate) struct Usage {
    window_ms: u64,
    counter: Mutex<UsageCounter>,
    time: Mutex<TrueTime>,
    /// The windows that are decided and not reported, as far as this process knows.
    unreported: Mutex<Vec<u64>>,
}

impl Usage {
    pub(crate) fn new(window_ms: u64, clock: &dyn Clock) -> Self {
        Self {
            window_ms,
            counter: Mutex::default(),
            time: Mutex::new(TrueTime::new(clock.now(), unix_ms())),
            unreported: Mutex::default(),
        }
    }

    /// Returns the windows that are decided and not reported.
    pub(crate) fn unreported(&self) -> Vec<u64> {
        lock(&self.unreported).clone()
    }

    /// Returns the true time in Unix milliseconds.
    fn now_ms(&self, clock: &dyn Clock) -> u64 {
        let now = clock.now();
        let mut time = lock(&self.time);
        time.record(now, unix_ms());
        time.unix_ms(now)
    }

    fn count(&self, clock: &dyn Clock, customer: &CustomerId, age: Duration) {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let began_ms = self.now_ms(clock).saturating_sub(age_ms);
        lock(&self.counter).count(began_ms / self.window_ms, customer);
    }
}

/// Counts a request that began to run at this time, if it is a customer's.
pub(crate) fn count(app: &App, requester: &Requester, began: Instant) {
    if let (Some(usage), Requester::Caller(customer)) = (&app.usage, requester) {
        usage.count(app.clock.as_ref(), customer, began.elapsed());
    }
}

/// Starts to append this host's counts; returns `None` if nothing is counted.
pub(crate) fn start(app: &Arc<App>) -> Option<UsageAppends> {
    let usage = Arc::clone(app.usage.as_ref()?);
    let task = tokio::spawn(append_counts(Arc::clone(app), Arc::clone(&usage)));
    Some(UsageAppends { usage, task })
}

/// The appends of this host's counts.
#[derive(Debug)]
pub(crate) struct UsageAppends {
    usage: Arc<Usage>,
    task: JoinHandle<()>,
}

impl UsageAppends {
    /// Appends what is left in a planned stop that has answered its last request, unless
    /// that takes until the deadline.
    pub(crate) async fn finish(self, app: &App, deadline: Instant) {
        self.task.abort();
        let append = async {
            while !append_new(app, &self.usage).await {
                sleep(RETRY_DELAY).await;
            }
        };
        if timeout_at(deadline.into(), append).await.is_err() {
            log::warn!(event = "cut_off", step = "usage"; "aborted at the stop limit");
        }
    }
}

/// Appends this host's counts until it is aborted.
async fn append_counts(app: Arc<App>, usage: Arc<Usage>) {
    loop {
        append_new(&app, &usage).await;
        sleep(APPEND_INTERVAL).await;
    }
}

/// Appends the counts that are not in the log; returns whether it succeeded.
async fn append_new(app: &App, usage: &Usage) -> bool {
    // The samples of the clocks are taken at regular intervals, without requests, too.
    usage.now_ms(app.clock.as_ref());
    let (new, dropped) = {
        let mut counter = lock(&usage.counter);
        (counter.new_counts(), counter.take_dropped())
    };
    if dropped > 0 {
        log::warn!(event = "usage_dropped", step = "usage", requests = dropped; "too many windows or customers are not in the log yet");
    }
    if new.is_empty() {
        return true;
    }
    let record = |counts: &WindowCounts| {
        let record = UsageRecord::Counts {
            host: app.state.host.clone(),
            boot: app.state.boot,
            window: counts.window,
            counts: counts.counts.clone(),
        };
        record.to_record()
    };
    let records: Vec<_> = new.iter().map(record).collect();
    match app.store.append(USAGE, &records, Instant::now() + APPEND_TIMEOUT).await {
        Ok(_) => {
            lock(&usage.counter).record_appended(&new);
            true
        }
        Err(e) => {
            log::info!(event = "append_failed", step = e.step; "{e}");
            false
        }
    }
}

/// Decides and reports the usage of all hosts.
#[derive(Debug)]
pub(crate) struct UsageDuty {
    usage: Arc<Usage>,
    context: Arc<DutyContext>,
    ledger: UsageLedger,
    next: Offset,
    /// Reported windows whose record is not in the log yet.
    reported: Vec<u64>,
}

impl UsageDuty {
    pub(crate) fn new(usage: Arc<Usage>, context: Arc<DutyContext>) -> Self {
        let ledger = UsageLedger::new(usage.window_ms);
        Self { usage, context, ledger, next: 0, reported: Vec::new() }
    }

    /// Reads the topic to its end.
    async fn read(&mut self, app: &App) -> Result<(), StoreError> {
        let began_ms = self.usage.now_ms(app.clock.as_ref());
        if self.ledger.is_ahead(began_ms) {
            log::warn!(event = "usage_read_again", step = "usage"; "the wall clock was wrong; reading the counts again");
            (self.ledger, self.next) = (UsageLedger::new(self.usage.window_ms), 0);
        }
        loop {
            let deadline = Instant::now() + CALL_TIMEOUT;
            let read =
                app.store.read(USAGE, self.next, READ_MAX_KB, Duration::ZERO, deadline).await;
            let records = match read {
                Ok(records) => records,
                Err(StoreError { kind: StoreErrorKind::Expired { oldest }, .. }) => {
                    self.next = oldest;
                    continue;
                }
                Err(e) => return Err(e),
            };
            self.next = records.start + records.records.len() as u64;
            for record in records.records {
                self.apply(app, record);
            }
            if self.next >= records.end {
                self.ledger.record_read(began_ms);
                *lock(&self.usage.unreported) = self.ledger.unreported();
                return Ok(());
            }
        }
    }

    fn apply(&mut self, app: &App, record: Bytes) {
        let record = match UsageRecord::decode(record) {
            Ok(record) => record,
            Err(e) => {
                log::warn!(event = "record_unreadable", step = "usage"; "{e}");
                return;
            }
        };
        match self.ledger.apply(&record) {
            Applied::AsExpected => {}
            Applied::Decided { window, requests } => {
                log::info!(event = "usage_decided", step = "usage", window, requests; "the usage of a window is decided");
            }
            Applied::Late { window, requests } => {
                app.metrics.count("usage.late", "all");
                log::info!(event = "usage_late", step = "usage", window, requests; "counts came after their window was decided");
            }
        }
    }

    /// Appends a record and reads the topic to its end.
    async fn append(&mut self, app: &App, records: &[Bytes]) -> Result<(), StoreError> {
        app.store.append(USAGE, records, Instant::now() + CALL_TIMEOUT).await?;
        self.read(app).await
    }

    /// Appends that windows were reported. If that fails, it is tried again in the next
    /// turn; without the record, the next holder reports them again.
    async fn append_reported(&mut self, app: &App) -> Result<(), StoreError> {
        if self.reported.is_empty() {
            return Ok(());
        }
        let record = |window: &u64| UsageRecord::Reported { window: *window }.to_record();
        let records: Vec<_> = self.reported.iter().map(record).collect();
        self.append(app, &records).await?;
        self.reported.clear();
        Ok(())
    }

    async fn report(
        &mut self,
        app: &App,
        turn: &DutyTurn,
        report: UsageReport,
    ) -> Option<DutyOutcome> {
        let context = Arc::clone(&self.context);
        let deadline = Instant::now() + crate::duties::CALL_TIMEOUT;
        let call = context.api().report_usage(&turn.holder, &report, deadline);
        let (window, fence) = (report.window, turn.holder.fence);
        match turn.send(app, &context, call).await {
            Ok(()) => {
                self.ledger.apply(&UsageRecord::Reported { window });
                self.reported.push(window);
                app.metrics.count("usage.reported", "all");
                log::info!(event = "usage_reported", step = "usage", window, fence; "reported");
                None
            }
            Err(CallFailure::NotSent) => Some(DutyOutcome::Done),
            Err(CallFailure::Failed(e)) if e.kind == PlatformApiErrorKind::Refused => {
                log::warn!(event = "usage_refused", step = "usage", window, fence; "{e}");
                self.ledger.record_refused(window);
                None
            }
            Err(CallFailure::Failed(_)) => Some(DutyOutcome::PlatformUnavailable),
        }
    }

    /// Decides and reports the windows that are due.
    async fn take_steps(&mut self, app: &App, turn: &DutyTurn) -> Result<DutyOutcome, StoreError> {
        for _ in 0..MAX_ACTIONS {
            match self.ledger.next(self.usage.now_ms(app.clock.as_ref())) {
                UsageAction::Wait => return Ok(DutyOutcome::Done),
                UsageAction::Decide { window, counts } => {
                    let fence = turn.holder.fence;
                    let decision = UsageRecord::Decision { window, counts, fence };
                    self.append(app, &[decision.to_record()]).await?;
                }
                UsageAction::Report { window, counts } => {
                    let report = UsageReport { window, requests: counts };
                    if let Some(outcome) = self.report(app, turn, report).await {
                        return Ok(outcome);
                    }
                }
            }
        }
        Ok(DutyOutcome::Done)
    }
}

#[async_trait]
impl Duty for UsageDuty {
    async fn observe(&mut self, app: &Arc<App>) {
        if let Err(e) = self.read(app).await {
            log::debug!(event = "store_away", step = e.step; "{e}");
        }
    }

    async fn act(&mut self, app: &Arc<App>, turn: &DutyTurn) -> DutyOutcome {
        let outcome = self.take_steps(app, turn).await;
        let appended = self.append_reported(app).await;
        *lock(&self.usage.unreported) = self.ledger.unreported();
        appended.and(outcome).unwrap_or_else(|e| {
            log::info!(event = "usage_waits", step = e.step; "{e}");
            DutyOutcome::Done
        })
    }
}
