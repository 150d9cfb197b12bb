//! One partition of the batch jobs' log, as far as this process has read it.
//!
//! Calls that need the partition up to its end share one reader. It goes on
//! when the callers have left, so that the next one finds it further.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_clients::KeyedSnapshot;
use cassia_clients::PartitionRef;
use cassia_clients::Records;
use cassia_clients::Store;
use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_contact::Return;
use cassia_ids::Offset;
use cassia_jobs::JOBS_TOPIC;
use cassia_jobs::JobRecord;
use cassia_jobs::JobTable;
use cassia_jobs::MAX_PAGE_KB;
use cassia_jobs::NextRead;
use cassia_jobs::ReadOutcome;
use cassia_jobs::ReadPlan;
use cassia_jobs::SNAPSHOT_KEY;
use cassia_jobs::SNAPSHOT_TOPIC;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::clock::unix_ms;
use crate::lock::lock;
use crate::store_contact::StoreContact;

/// How long a job is kept in memory after it was accepted, in milliseconds.
const JOB_RETENTION_MS: u64 = 240_000;
/// Delay after a read that failed, on average.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long the reader goes on after the last call that needed it.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// How long writing a snapshot may take.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// One partition, as far as it was read.
#[derive(Debug)]
pub(crate) struct PartitionLog {
    store: Arc<dyn Store>,
    store_contact: Arc<StoreContact>,
    partition: u32,
    table: Mutex<JobTable>,
    reader: Mutex<Reader>,
    /// Notified when the reader has made a step.
    stepped: Notify,
    /// Position in the table of the newest snapshot that is known.
    snapshot_position: AtomicU64,
}

/// State of the reader that calls share.
#[derive(Debug, Default)]
struct Reader {
    plan: ReadPlan,
    is_running: bool,
    /// When the newest call that needs the end arrived.
    asked: Option<Instant>,
    /// Start of the newest read that reached the end.
    current_as_of: Option<Instant>,
    /// The newest refusal of the store, with the start of that read.
    refused: Option<(Instant, StoreError)>,
}

/// What the reader does next.
enum Step {
    Read(NextRead, Duration),
    Stop,
}

/// Whether a call can go on.
enum Progress {
    Current,
    Refused(StoreError),
    Waiting,
}

impl Reader {
    /// Returns the next step of the running reader.
    fn next_step(&mut self, now: Instant) -> Step {
        let is_needed = self
            .asked
            .is_some_and(|asked| self.current_as_of < Some(asked) && now < asked + IDLE_LIMIT);
        if !is_needed {
            self.is_running = false;
            return Step::Stop;
        }
        Step::Read(self.plan.next(now), self.plan.timeout())
    }

    fn progress(&self, asked: Instant) -> Progress {
        if self.current_as_of >= Some(asked) {
            return Progress::Current;
        }
        match &self.refused {
            Some((began, e)) if *began >= asked => Progress::Refused(e.clone()),
            _ => Progress::Waiting,
        }
    }

    /// Records that a read that began at `began` reached the end.
    fn record_end(&mut self, began: Instant) {
        self.current_as_of = self.current_as_of.max(Some(began));
    }

    /// Records the outcome of a read that began at `began`.
    fn record(&mut self, began: Instant, result: Result<ReadOutcome, StoreError>) -> ReadOutcome {
        let outcome = match result {
            Ok(outcome) => outcome,
            Err(e) if e.kind == StoreErrorKind::Unknown => ReadOutcome::TimedOut,
            Err(e) => {
                self.refused = Some((began, e));
                ReadOutcome::Refused
            }
        };
        self.plan.record(outcome, Instant::now());
        if outcome == (ReadOutcome::RecordsRead { at_end: true }) {
            self.record_end(began);
        }
        outcome
    }
}

impl PartitionLog {
    pub(crate) fn new(
        store: Arc<dyn Store>,
        store_contact: Arc<StoreContact>,
        partition: u32,
    ) -> Self {
        Self {
            store,
            store_contact,
            partition,
            table: Mutex::default(),
            reader: Mutex::default(),
            stepped: Notify::new(),
            snapshot_position: AtomicU64::new(0),
        }
    }

    /// Returns the jobs, as far as the partition was read.
    pub(crate) fn table(&self) -> MutexGuard<'_, JobTable> {
        lock(&self.table)
    }

    /// Returns the number of the partition.
    pub(crate) fn partition(&self) -> u32 {
        self.partition
    }

    /// Returns whether the partition was read up to its end as of a time, or
    /// later.
    pub(crate) fn is_current_as_of(&self, time: Instant) -> bool {
        lock(&self.reader).current_as_of >= Some(time)
    }

    /// Waits until a condition on what was read holds.
    pub(crate) async fn wait_until(&self, condition: impl Fn() -> bool) {
        loop {
            let stepped = self.stepped.notified();
            let mut stepped = std::pin::pin!(stepped);
            stepped.as_mut().enable();
            if condition() {
                return;
            }
            stepped.await;
        }
    }

    pub(crate) fn in_topic<'a>(&self, topic: &'a str) -> PartitionRef<'a> {
        PartitionRef { topic, partition: self.partition }
    }

    /// Waits until the partition was read up to its end at the time of this
    /// call or later.
    pub(crate) async fn read_to_end(self: &Arc<Self>, deadline: Instant) -> Result<(), StoreError> {
        let asked = Instant::now();
        self.ensure_reader(asked);
        loop {
            let stepped = self.stepped.notified();
            let mut stepped = std::pin::pin!(stepped);
            stepped.as_mut().enable();
            let progress = lock(&self.reader).progress(asked);
            match progress {
                Progress::Current => return Ok(()),
                Progress::Refused(e) => return Err(e),
                Progress::Waiting => {}
            }
            if timeout_at(deadline.into(), stepped).await.is_err() {
                let (kind, detail) =
                    (StoreErrorKind::Unknown, "the end was not reached in time".to_owned());
                return Err(StoreError { step: "read", kind, detail });
            }
        }
    }

    fn ensure_reader(self: &Arc<Self>, asked: Instant) {
        let mut reader = lock(&self.reader);
        reader.asked = Some(asked);
        if !std::mem::replace(&mut reader.is_running, true) {
            tokio::spawn(Arc::clone(self).run_reader());
        }
    }

    async fn run_reader(self: Arc<Self>) {
        let (started, mut reads) = (Instant::now(), 0_u32);
        let mut jobs_back = self.store_contact.subscribe(self.in_topic(JOBS_TOPIC));
        let mut snapshots_back = self.store_contact.subscribe(self.in_topic(SNAPSHOT_TOPIC));
        loop {
            let began = Instant::now();
            let step = lock(&self.reader).next_step(began);
            let (read, limit) = match step {
                Step::Read(read, limit) => (read, limit),
                Step::Stop => break,
            };
            reads += 1;
            let result = tokio::select! {
                result = self.execute(read, began + limit) => Ok(result),
                // A read that was sent before the store was back may never end.
                kind = jobs_back.changed() => Err(kind),
                kind = snapshots_back.changed() => Err(kind),
            };
            let result = match result {
                Ok(result) => result,
                Err(Return::First) => {
                    lock(&self.reader).plan.record_back();
                    continue;
                }
                Err(Return::Repeated) => continue,
            };
            let outcome = lock(&self.reader).record(began, result);
            self.stepped.notify_waiters();
            if matches!(outcome, ReadOutcome::TimedOut | ReadOutcome::Refused) {
                sleep(RETRY_DELAY.mul_f64(2.0 * rand::random::<f64>())).await;
            }
        }
        if reads > 1 {
            let took_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            let (partition, next_offset) = (self.partition, self.table().next_offset());
            log::info!(event = "jobs_read", step = "read", partition, reads, next_offset, took_ms; "partition read");
        }
    }

    async fn execute(&self, read: NextRead, deadline: Instant) -> Result<ReadOutcome, StoreError> {
        match read {
            NextRead::Snapshot => {
                let partition = self.in_topic(SNAPSHOT_TOPIC);
                let snapshot = self.store.snapshot(partition, deadline).await?;
                self.apply_snapshot(snapshot);
                Ok(ReadOutcome::SnapshotRead)
            }
            NextRead::Records { max_kb } => {
                let at_end = self.read_page(max_kb, Duration::ZERO, deadline).await?;
                Ok(ReadOutcome::RecordsRead { at_end })
            }
        }
    }

    /// Reads up to `max_kb` kilobytes of the next records, and waits up to
    /// `wait` for the first one. Returns whether the partition was read up to
    /// its end.
    pub(crate) async fn read_next(
        &self,
        max_kb: u32,
        wait: Duration,
        deadline: Instant,
    ) -> Result<bool, StoreError> {
        let began = Instant::now();
        let at_end = self.read_page(max_kb, wait, deadline).await?;
        if at_end {
            lock(&self.reader).record_end(began);
            self.stepped.notify_waiters();
        }
        Ok(at_end)
    }

    async fn read_page(
        &self,
        max_kb: u32,
        wait: Duration,
        deadline: Instant,
    ) -> Result<bool, StoreError> {
        let from = self.table().next_offset();
        match self.store.read(self.in_topic(JOBS_TOPIC), from, max_kb, wait, deadline).await {
            Ok(records) => Ok(self.apply(records)),
            Err(StoreError { kind: StoreErrorKind::Expired { oldest }, .. }) => {
                self.table().skip_to(oldest);
                Ok(false)
            }
            Err(e) => Err(e),
        }
    }

    fn apply(&self, records: Records) -> bool {
        let mut table = self.table();
        for (offset, record) in (records.start..).zip(records.records) {
            table.apply(offset, record.len(), &JobRecord::decode(record));
        }
        table.remove_accepted_before(unix_ms().saturating_sub(JOB_RETENTION_MS));
        table.next_offset() >= records.end
    }

    /// Continues from the newest snapshot. One that can't be decoded is
    /// ignored: the log holds everything that a snapshot does.
    fn apply_snapshot(&self, snapshot: KeyedSnapshot) {
        let newest = snapshot.records.into_iter().find(|record| record.key == SNAPSHOT_KEY);
        let Some(value) = newest.and_then(|record| record.value) else {
            return;
        };
        match JobTable::from_snapshot(value) {
            Ok(snapshot) => {
                self.snapshot_position.store(snapshot.position(), Ordering::Relaxed);
                self.table().continue_from(snapshot);
            }
            Err(e) => {
                log::warn!(event = "snapshot_unreadable", step = "read", partition = self.partition; "{e}");
            }
        }
    }

    /// Returns whether a snapshot of the table is due.
    pub(crate) fn has_due_snapshot(&self) -> bool {
        self.table().snapshot_due(self.snapshot_position.load(Ordering::Relaxed))
    }

    /// Writes a snapshot of the table.
    ///
    /// # Errors
    ///
    /// The store did not confirm it. Another one is written later.
    pub(crate) async fn write_snapshot(&self, max_bytes: usize) -> Result<(), StoreError> {
        let (position, snapshot) = {
            let table = self.table();
            (table.position(), table.to_snapshot())
        };
        let (partition, size) = (self.partition, snapshot.len());
        if size + SNAPSHOT_KEY.len() + 1 > max_bytes {
            // Readers go on from an older snapshot, or read the log.
            log::warn!(event = "snapshot_too_large", step = "snapshot", partition, size; "snapshot exceeds the store's limit");
        } else {
            let deadline = Instant::now() + SNAPSHOT_TIMEOUT;
            let in_topic = self.in_topic(SNAPSHOT_TOPIC);
            self.store.put(in_topic, SNAPSHOT_KEY, &snapshot, deadline).await?;
            log::info!(event = "snapshot_written", step = "snapshot", partition, position, size; "snapshot written");
        }
        self.snapshot_position.store(position, Ordering::Relaxed);
        Ok(())
    }

    /// Appends records.
    pub(crate) async fn append(
        &self,
        records: &[Bytes],
        deadline: Instant,
    ) -> Result<Offset, StoreError> {
        let appended = self.store.append(self.in_topic(JOBS_TOPIC), records, deadline).await?;
        Ok(appended.offset)
    }

    /// Reads up to `max_bytes` of records from an offset on.
    pub(crate) async fn records(
        &self,
        from: Offset,
        max_bytes: u64,
        deadline: Instant,
    ) -> Result<Records, StoreError> {
        let max_kb = u32::try_from(max_bytes.div_ceil(1_024)).unwrap_or(MAX_PAGE_KB);
        let max_kb = max_kb.clamp(1, MAX_PAGE_KB);
        self.store.read(self.in_topic(JOBS_TOPIC), from, max_kb, Duration::ZERO, deadline).await
    }
}
