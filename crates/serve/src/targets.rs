//! The targets controller: reads the heartbeats that targets write.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_adapter::TARGET_TOPIC;
use cassia_adapter::decode_heartbeat;
use cassia_clients::KeyedRecord;
use cassia_clients::PartitionRef;
use cassia_clients::StoreError;
use cassia_ids::TargetId;
use cassia_node::ReadBackoff;
use cassia_route::TargetRegistry;
use cassia_route::Update;

use crate::app::App;
use crate::keyed_reader::KeyedRead;
use crate::keyed_reader::KeyedReader;
use crate::store_contact::record_return;

/// Where the heartbeats are.
const TARGETS: PartitionRef<'static> = PartitionRef { topic: TARGET_TOPIC, partition: 0 };
/// How often the heartbeats are read. A read returns those of all targets;
/// with long polling there would be a read for every single heartbeat.
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// Time since the last read after which a snapshot is read rather than the
/// changes. Targets repeat their heartbeats, so the changes of a longer time are
/// larger than the snapshot.
const MAX_CHANGES_AGE: Duration = Duration::from_secs(2);
/// How long before the first read the store may have been back, for the removals
/// in it to be counted from then on.
const MAX_STORE_BACK_AGE: Duration = Duration::from_secs(1);
/// Timeout of a read after none failed.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// How often the number of changed weight versions is logged.
const VERSION_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum timeout of a read, which grows while reads fail.
const MAX_READ_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct TargetsController {
    registry: TargetRegistry,
    reader: KeyedReader,
    /// Until when the changes from there on are read rather than a snapshot.
    recent_until: Instant,
    /// Whether the last read failed.
    store_failed: bool,
    /// Whether the shared state still has targets whose removal takes effect
    /// later.
    has_pending_removals: bool,
    /// Backoff and timeout of the reads, which all hosts may be making.
    backoff: ReadBackoff,
    /// Number of heartbeats with other weight versions since they were logged.
    version_changes: u32,
    /// When to log their number next.
    log_versions_at: Instant,
}

/// Runs until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    let mut controller = TargetsController {
        registry: TargetRegistry::default(),
        reader: KeyedReader::new(TARGET_TOPIC),
        recent_until: Instant::now(),
        store_failed: false,
        has_pending_removals: false,
        backoff: ReadBackoff::new(READ_TIMEOUT, MAX_READ_TIMEOUT),
        version_changes: 0,
        log_versions_at: Instant::now(),
    };
    let mut store_back = app.state.store_contact.subscribe(TARGETS);
    loop {
        let began = Instant::now();
        let store_failed = controller.store_failed;
        let read = tokio::select! {
            read = controller.read(&app) => read,
            // A read that was sent before the store was back may never end.
            kind = store_back.changed(), if store_failed => {
                record_return(&mut controller.backoff, kind);
                continue;
            }
        };
        match read {
            Ok(change) => {
                if change > Update::Unchanged || controller.has_pending_removals {
                    controller.publish(&app);
                }
                app.streams.observe_targets(&app.state.targets.load(), began);
            }
            Err(e) => controller.record_failure(&app, &e, began),
        }
        controller.log_versions();
        let store_failed = controller.store_failed;
        tokio::select! {
            () = app.state.sleep_unless_stopping(controller.delay(Instant::now())) => {}
            kind = store_back.changed(), if store_failed => record_return(&mut controller.backoff, kind),
        }
        if app.state.is_stopping() {
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }
}

impl TargetsController {
    /// Returns the delay before the next read: not beyond the time at which a
    /// removed target counts as removed.
    fn delay(&self, now: Instant) -> Duration {
        let delay = self.backoff.delay(READ_INTERVAL, rand::random());
        let removal = self.registry.next_removal(now);
        removal.map_or(delay, |at| delay.min(at.saturating_duration_since(now)))
    }

    async fn read(&mut self, app: &App) -> Result<Update, StoreError> {
        if Instant::now() >= self.recent_until {
            self.reader.restart();
        }
        let timeout = self.backoff.timeout();
        let read = self.reader.read(app.store.as_ref(), Duration::ZERO, timeout).await?;
        self.record_success(app);
        let stated = self.apply_stated_leaving(app);
        let listed = match read {
            KeyedRead::Snapshot(records) => {
                let ids: Vec<TargetId> = records.iter().map(|r| r.key.clone()).collect();
                let changed = self.registry.retain_only(&ids, Instant::now());
                changed.max(self.apply_all(&records))
            }
            KeyedRead::Changes(records) => self.apply_all(&records),
        };
        Ok(stated.max(listed))
    }

    /// Marks the targets that have stated in responses that they are leaving, so that they
    /// stay so if their entries go and come back.
    fn apply_stated_leaving(&mut self, app: &App) -> Update {
        let leaving = app.state.closed_targets.take_stated();
        let changes = leaving.iter().map(|t| self.registry.mark_leaving(&t.id, t.incarnation));
        changes.max().unwrap_or(Update::Unchanged)
    }

    fn apply_all(&mut self, records: &[KeyedRecord]) -> Update {
        let changes = records.iter().map(|record| self.apply(record));
        changes.max().unwrap_or(Update::Unchanged)
    }

    fn apply(&mut self, record: &KeyedRecord) -> Update {
        let Some(value) = &record.value else {
            let change = self.registry.remove(&record.key, Instant::now());
            if change == Update::Changed {
                log::info!(event = "target_removed", step = "targets", target = record.key.as_str(); "target removed");
            }
            return change;
        };
        match decode_heartbeat(&record.key, value) {
            Ok(heartbeat) => {
                let (id, leaving, seq) = (heartbeat.id.clone(), heartbeat.leaving, heartbeat.seq);
                let software = heartbeat.software.clone();
                let change = self.registry.apply(heartbeat);
                match change {
                    Update::Unchanged => {}
                    Update::VersionsChanged => self.version_changes += 1,
                    Update::Changed => {
                        log::info!(event = "target_changed", step = "targets", target = id.as_str(), software = software.as_str(), leaving, seq; "target changed");
                    }
                }
                change
            }
            // Not written by a target, so the state of the target with this
            // id is unchanged.
            Err(e) => {
                log::debug!(event = "record_unreadable", step = "targets"; "{e}");
                Update::Unchanged
            }
        }
    }

    /// Logs how many engines have other weight versions. Every host sees each of
    /// these changes, so they have no line each; the orders that cause them do.
    fn log_versions(&mut self) {
        let now = Instant::now();
        if self.version_changes == 0 || now < self.log_versions_at {
            return;
        }
        self.log_versions_at = now + VERSION_LOG_INTERVAL;
        let count = std::mem::take(&mut self.version_changes);
        log::info!(event = "versions_changed", step = "targets", count; "engines have other versions");
    }

    /// Records a successful read, before its records are applied: after an
    /// outage of the store, the removals among them may be entries that
    /// expired in it.
    fn record_success(&mut self, app: &App) {
        self.recent_until = Instant::now() + MAX_CHANGES_AGE;
        self.backoff.record_success();
        if std::mem::take(&mut self.store_failed) {
            app.state.store_contact.record_read();
            let now = Instant::now();
            // If other calls have succeeded for long, it was this topic that
            // was away.
            let store_back_at = app.state.store_contact.back_at(TARGETS);
            let is_recent = |at: &Instant| now < *at + MAX_STORE_BACK_AGE;
            self.registry.list_reconnected(store_back_at.filter(is_recent).unwrap_or(now));
            log::info!(event = "store_back", step = "targets"; "the store can be read again");
        }
    }

    fn record_failure(&mut self, app: &App, e: &StoreError, began: Instant) {
        self.backoff.record_failure();
        if !std::mem::replace(&mut self.store_failed, true) {
            app.state.store_contact.record_lost(began);
            log::warn!(event = "store_away", step = e.step; "{e}");
        }
    }

    /// Updates the shared state from the registry.
    fn publish(&mut self, app: &App) {
        let now = Instant::now();
        self.registry.prune(now);
        self.has_pending_removals = self.registry.has_pending_removals(now);
        let present: Vec<_> = self.registry.present(now).cloned().collect();
        for heartbeat in &present {
            for (model, version) in &heartbeat.versions {
                app.state.record_version(&heartbeat.id, heartbeat.started_ms, model, *version);
            }
        }
        app.state.retain_versions(&present);
        let updated = app.state.targets.load().updated(&self.registry.targets(now));
        let updated = Arc::new(updated);
        app.relay.set_targets(&updated);
        app.admission.targets_changed(&updated);
        app.state.set_targets(updated);
        app.state.heartbeats.store(Arc::new(present));
        app.state.slot_freed.notify_waiters();
    }
}
