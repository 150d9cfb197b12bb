//! A lease in the lease stream of the store.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_clients::PartitionRef;
use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_lease::Contender;
use cassia_lease::HeldLease;
use cassia_lease::LeaseClient;
use cassia_lease::LeaseRecord;
use cassia_lease::NextRecord;
use cassia_lease::STREAM;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::app::App;

/// How long a lease is valid after its last renewal was sent.
const TERM: Duration = Duration::from_millis(1_500);
/// Number of records after which the lease table is appended as a snapshot.
const RECORDS_PER_SNAPSHOT: u64 = 150;
/// How often a contender takes its next step.
pub(crate) const ROUND_INTERVAL: Duration = Duration::from_millis(150);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of ranks that contend for a lease. The higher the rank, the longer a
/// process waits before it does.
pub(crate) const MAX_CONTENDERS: u32 = 2;
/// Number of terms after which the lease stream is reset if its older records
/// are lost.
const RESET_AFTER_TERMS: u32 = 3;

const PARTITION: PartitionRef<'static> = PartitionRef { topic: STREAM, partition: 0 };

/// This process's replica of the lease stream, and its contender for one lease.
#[derive(Debug)]
pub(crate) struct LeaseStream {
    client: LeaseClient,
    /// When to reset the lease stream, if its older records are lost.
    reset_at: Option<Instant>,
}

impl LeaseStream {
    /// Creates a contender whose holders don't act within the quiet period of
    /// each other.
    pub(crate) fn new(app: &App, lease: &'static str, quiet_period: Duration) -> Self {
        // The address distinguishes successive hosts of the same name, and no
        // two processes can listen on it at once.
        let holder = format_smolstr!("{}@{}", app.state.host, app.settings.listen);
        let name = SmolStr::new_static(lease);
        let contender = Contender::new(name, holder, app.state.boot, TERM, app.clock.now());
        let client = LeaseClient::new(contender.sole_on_host(), RECORDS_PER_SNAPSHOT, quiet_period);
        Self { client, reset_at: None }
    }

    /// Sets the rank. Contenders of lower rank claim first.
    pub(crate) fn set_rank(&mut self, rank: u32) {
        self.client.set_rank(rank);
    }

    /// Returns whether an earlier process of this host still holds the lease.
    pub(crate) fn held_by_predecessor(&self) -> bool {
        self.client.held_by_predecessor()
    }

    /// Returns the lease if this process holds it now.
    pub(crate) fn held_lease(&self, now: Instant) -> Option<HeldLease> {
        self.client.held_lease(now)
    }

    /// Reads the stream once in every process: this one may take over at once
    /// from an earlier process of its host, while others must wait for a term.
    pub(crate) async fn read_at_start(&mut self, app: &App) {
        while !app.state.is_stopping() && self.read(app).await.is_err() {
            app.state.sleep_unless_stopping(ROUND_INTERVAL).await;
        }
    }

    /// Reads the lease stream and takes the next step in contending for the
    /// lease.
    pub(crate) async fn contend(&mut self, app: &App) -> Result<(), StoreError> {
        self.read(app).await?;
        let now = app.clock.now();
        if self.client.has_gap() {
            return self.reset_when_due(app, now).await;
        }
        self.reset_at = None;
        if let Some(NextRecord::Append(record)) = self.client.step(now) {
            append(app, &record).await?;
            // The record takes effect once it is read back.
            self.read(app).await?;
        }
        Ok(())
    }

    /// Hands the lease over. The next process of this host may act at once;
    /// those of other hosts not before `quiet_until`. Returns whether the lease
    /// was held.
    pub(crate) async fn hand_over(&mut self, app: &App, quiet_until: Option<Instant>) -> bool {
        let Some(op) = self.client.release(app.clock.now(), quiet_until) else {
            return false;
        };
        // If the append fails, the lease expires by itself.
        if let Err(e) = append(app, &LeaseRecord::Op(op)).await {
            log::info!(event = "release_failed", step = e.step; "{e}");
        }
        true
    }

    async fn read(&mut self, app: &App) -> Result<(), StoreError> {
        loop {
            let from = self.client.next_read();
            let deadline = Instant::now() + CALL_TIMEOUT;
            let read = app.store.read(PARTITION, from, 256, Duration::ZERO, deadline).await;
            let records = match read {
                Ok(records) => records,
                Err(StoreError { kind: StoreErrorKind::Expired { oldest }, .. }) => {
                    self.client.apply_records(oldest, oldest, &[], oldest, app.clock.now());
                    continue;
                }
                Err(e) => return Err(e),
            };
            let parsed: Vec<_> =
                records.records.iter().map(|r| serde_json::from_slice(r).ok()).collect();
            let next = records.start + parsed.len() as u64;
            self.client.apply_records(
                records.oldest,
                records.start,
                &parsed,
                records.end,
                app.clock.now(),
            );
            if next >= records.end {
                return Ok(());
            }
        }
    }

    async fn reset_when_due(&mut self, app: &App, now: Instant) -> Result<(), StoreError> {
        let reset_at = *self.reset_at.get_or_insert(now + TERM * RESET_AFTER_TERMS);
        if now < reset_at {
            return Ok(());
        }
        self.reset_at = None;
        log::warn!(event = "lease_reset", step = "lease"; "older records are lost; resetting the lease stream");
        append(app, &LeaseRecord::Reset).await
    }
}

async fn append(app: &App, record: &LeaseRecord) -> Result<(), StoreError> {
    let bytes = Bytes::from(serde_json::to_vec(record).unwrap_or_default());
    let deadline = Instant::now() + CALL_TIMEOUT;
    app.store.append(PARTITION, &[bytes], deadline).await.map(|_| ())
}
