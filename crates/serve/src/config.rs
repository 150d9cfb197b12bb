//! The configuration controller: reads the configuration and the wanted
//! versions that operators and trainers write to the store.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_adapter::OPERATOR_TOPIC;
use cassia_adapter::OperatorRecord;
use cassia_adapter::decode_operator_record;
use cassia_clients::KeyedRecord;
use cassia_clients::PartitionRef;
use cassia_clients::StoreError;
use cassia_ids::ModelName;
use cassia_ids::Version;
use cassia_node::ReadBackoff;
use cassia_route::RouteTable;
use tokio::time::timeout;

use crate::accounts;
use crate::app::App;
use crate::keyed_reader::KeyedRead;
use crate::keyed_reader::KeyedReader;
use crate::lock::lock;
use crate::store_contact::record_return;

/// Where operators and trainers write.
const OPERATOR: PartitionRef<'static> = PartitionRef { topic: OPERATOR_TOPIC, partition: 0 };
/// How long the store may hold a read back until there are records. Short, so
/// that a dead connection is detected within the time in which a change must
/// take effect.
const LONG_POLL: Duration = Duration::from_secs(1);
/// The least of that time, where keys are refused soon after the last read.
const MIN_LONG_POLL: Duration = Duration::from_millis(100);
/// How long a response of the store may take beyond the long poll.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum of that time, which grows while reads fail.
const MAX_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed read; the backoff lengthens it.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Runs until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    let mut reader = KeyedReader::new(OPERATOR_TOPIC);
    let long_poll = long_poll(app.settings.revoke_ms);
    let (mut store_failed, mut is_behind) = (false, false);
    let mut backoff = ReadBackoff::new(READ_TIMEOUT, MAX_READ_TIMEOUT);
    let mut store_back = app.state.store_contact.subscribe(OPERATOR);
    loop {
        let began = Instant::now();
        // A read that waits for records would end late if the store is lost again.
        let wait = if is_behind { Duration::ZERO } else { long_poll };
        let read = tokio::select! {
            read = reader.read(app.store.as_ref(), wait, backoff.timeout()) => read,
            // A read that was sent before the store was back may never end.
            kind = store_back.changed() => {
                record_return(&mut backoff, kind);
                is_behind = true;
                continue;
            }
        };
        match read {
            Ok(read) => {
                let at_end = shows_all(&read);
                apply_all(&app, &read.into_records());
                if at_end {
                    accounts::record_read(&app, began);
                }
                app.key_reads.set_position(reader);
                backoff.record_success();
                is_behind = false;
                if std::mem::take(&mut store_failed) {
                    log::info!(event = "store_back", step = "configuration"; "the store can be read again");
                }
            }
            Err(e) => {
                backoff.record_failure();
                is_behind = true;
                if !std::mem::replace(&mut store_failed, true) {
                    log::warn!(event = "store_away", step = e.step; "{e}");
                }
                // Not shortened by a planned stop, in which the reads go on.
                let delay = backoff.delay(RETRY_DELAY, rand::random());
                if let Ok(kind) = timeout(delay, store_back.changed()).await {
                    record_return(&mut backoff, kind);
                }
            }
        }
    }
}

/// Returns how long the store may hold a read back. The last read that ended began up to
/// two such times ago, so keys would be refused for no reason if they were longer.
fn long_poll(revoke_ms: Option<u64>) -> Duration {
    let limit = revoke_ms.map(|ms| (Duration::from_millis(ms) / 4).max(MIN_LONG_POLL));
    limit.map_or(LONG_POLL, |limit| limit.min(LONG_POLL))
}

/// Reads all changes from a position on, without waiting for more, and applies them.
pub(crate) async fn read_to_end(app: &App, mut position: KeyedReader) -> Result<(), StoreError> {
    let began = Instant::now();
    loop {
        let before = position.next();
        let read = position.read(app.store.as_ref(), Duration::ZERO, READ_TIMEOUT).await?;
        let at_end = shows_all(&read) || position.next() == before;
        apply_all(app, &read.into_records());
        if at_end {
            accounts::record_read(app, began);
            return Ok(());
        }
    }
}

/// Returns whether a read shows all records: one of changes is limited in size, so only
/// an empty one is the last.
fn shows_all(read: &KeyedRead) -> bool {
    match read {
        KeyedRead::Snapshot(_) => true,
        KeyedRead::Changes(records) => records.is_empty(),
    }
}

/// Applies records. The controller and reads for unknown keys may do so at the same time;
/// without the lock, the older of two configurations could be installed last.
fn apply_all(app: &App, records: &[KeyedRecord]) {
    let _guard = lock(&app.state.config_writes);
    for record in records {
        apply(app, record);
    }
}

fn apply(app: &App, record: &KeyedRecord) {
    match decode_operator_record(record) {
        Ok(OperatorRecord::Config(table)) => install(app, table),
        Ok(OperatorRecord::Version { model, version }) => set_wanted(app, &model, version),
        Ok(OperatorRecord::Other) => {}
        Err(e) => {
            // The error's own text may quote a part of the record, such as a caller's key.
            let (key, line, column) = (record.key.as_str(), e.line(), e.column());
            let kind = format!("{:?}", e.classify());
            log::warn!(event = "record_unreadable", step = "configuration", key, kind, line, column; "can't be decoded");
        }
    }
}

/// Installs a configuration unless it is older than the one in force: an
/// accepted version is never reverted.
fn install(app: &App, table: RouteTable) {
    let previous = app.state.routes.load().as_ref().map(|table| table.version);
    let version = table.version;
    if previous.is_some_and(|previous| version <= previous) {
        return;
    }
    app.state.routes.store(Some(Arc::new(table)));
    log::info!(event = "config_in_force", step = "configuration", version, before = previous; "configuration installed");
}

/// Records a model's wanted version unless it is older than the current one.
fn set_wanted(app: &App, model: &ModelName, version: Version) {
    let mut wanted = app.state.wanted.load().as_ref().clone();
    let newest = wanted.entry(model.clone()).or_default();
    if version > *newest {
        *newest = version;
        app.state.wanted.store(Arc::new(wanted));
        log::info!(event = "version_named", step = "configuration", model = model.as_str(), version; "wanted version changed");
    }
}
