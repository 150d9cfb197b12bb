//! The targets controller: reads the heartbeats that targets write.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_adapter::TARGET_TOPIC;
use cassia_adapter::decode_heartbeat;
use cassia_ids::Offset;
use cassia_ids::TargetId;
use cassia_node::ReadBackoff;
use cassia_platform::KeyedRecord;
use cassia_platform::StoreError;
use cassia_platform::StoreErrorKind;
use cassia_route::TargetRegistry;
use cassia_route::Update;

use crate::app::App;

/// How often the heartbeats are read. Each read has those of all targets, so
/// waiting for the next one would mean a read for every single heartbeat.
const EVERY: Duration = Duration::from_millis(300);
/// How long a read may take.
const PATIENCE: Duration = Duration::from_millis(700);
/// How long a read of the whole list may take once shorter ones have failed.
const MOST_PATIENCE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Reader {
    roster: TargetRegistry,
    next: Option<Offset>,
    away: bool,
    /// For the whole list: all hosts may be reading it.
    patience: ReadBackoff,
}

/// Runs until a planned stop ends the process.
pub(crate) async fn run(app: Arc<App>) {
    let mut reader = Reader {
        roster: TargetRegistry::default(),
        next: None,
        away: false,
        patience: ReadBackoff::new(PATIENCE, MOST_PATIENCE),
    };
    loop {
        let lapses = reader.roster.has_pending_removals(Instant::now());
        match reader.read(&app).await {
            Ok(change) => {
                if change == Update::Changed || lapses {
                    reader.publish(&app);
                }
            }
            Err(e) => reader.failed(&e),
        }
        app.board.pause(reader.patience.delay(EVERY, rand::random())).await;
        if app.board.is_stopping() {
            tokio::time::sleep(EVERY).await;
        }
    }
}

impl Reader {
    async fn read(&mut self, app: &App) -> Result<Update, StoreError> {
        let records = match self.next {
            None => {
                let deadline = Instant::now() + self.patience.timeout();
                let newest = app.store.snapshot(TARGET_TOPIC, deadline).await?;
                self.regained();
                self.next = Some(newest.next);
                let ids: Vec<TargetId> = newest.records.iter().map(|r| r.key.clone()).collect();
                let changed = self.roster.retain_only(&ids, Instant::now());
                let taken = self.take_all(&newest.records);
                return Ok(if changed == Update::Changed { changed } else { taken });
            }
            Some(from) => {
                let (store, deadline) = (&app.store, Instant::now() + PATIENCE);
                let (next, records) =
                    store.changes(TARGET_TOPIC, from, Duration::ZERO, deadline).await?;
                self.regained();
                self.next = Some(next);
                records
            }
        };
        Ok(self.take_all(&records))
    }

    fn take_all(&mut self, records: &[KeyedRecord]) -> Update {
        let changes = records.iter().map(|record| self.take(record));
        if changes.filter(|change| *change == Update::Changed).count() > 0 {
            return Update::Changed;
        }
        Update::Unchanged
    }

    fn take(&mut self, record: &KeyedRecord) -> Update {
        let Some(value) = &record.value else {
            let change = self.roster.remove(&record.key, Instant::now());
            if change == Update::Changed {
                log::info!(event = "target_removed", step = "targets", target = record.key.as_str(); "removed");
            }
            return change;
        };
        match decode_heartbeat(&record.key, value) {
            Ok(beat) => {
                let (id, leaving, seq) = (beat.id.clone(), beat.leaving, beat.seq);
                let change = self.roster.apply(beat);
                if change == Update::Changed {
                    log::info!(event = "target_changed", step = "targets", target = id.as_str(), leaving, seq; "changed");
                }
                change
            }
            // Somebody else wrote it: it names no target, and says nothing of
            // the one whose key it bears.
            Err(e) => {
                log::debug!(event = "record_unreadable", step = "targets"; "{e}");
                Update::Unchanged
            }
        }
    }

    /// Before the records of the first read after an outage are taken in: what
    /// they remove may have lapsed in it only.
    fn regained(&mut self) {
        self.patience.record_success();
        if std::mem::take(&mut self.away) {
            self.roster.list_reconnected(Instant::now());
            log::info!(event = "store_back", step = "targets"; "read again");
        }
    }

    fn failed(&mut self, e: &StoreError) {
        if matches!(e.kind, StoreErrorKind::Expired { .. }) {
            self.next = None;
        } else {
            self.patience.record_failure();
        }
        if !std::mem::replace(&mut self.away, true) {
            log::warn!(event = "store_away", step = e.step; "{e}");
        }
    }

    fn publish(&mut self, app: &App) {
        let now = Instant::now();
        self.roster.prune(now);
        let here: Vec<_> = self.roster.present(now).cloned().collect();
        for beat in &here {
            for (model, version) in &beat.versions {
                app.board.learn_version(&beat.id, beat.started_ms, model, *version);
            }
        }
        app.board.keep_versions(&here);
        let updated = app.board.targets.load().updated(&self.roster.targets(now));
        app.board.targets.store(Arc::new(updated));
        app.board.heartbeats.store(Arc::new(here));
        app.board.slot_freed.notify_waiters();
    }
}
