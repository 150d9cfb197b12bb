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
use cassia_clients::StoreErrorKind;
use cassia_ids::ModelName;
use cassia_ids::Offset;
use cassia_ids::Version;
use cassia_node::ReadBackoff;
use cassia_route::RouteTable;
use tokio::time::sleep;

use crate::app::App;

/// How long the store may hold a read back until there are records. Short, so
/// that a dead connection is detected within the time in which a change must
/// take effect.
const LONG_POLL: Duration = Duration::from_secs(1);
/// How long a response of the store may take beyond the long poll.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum timeout of reading the snapshot, which grows while reads fail.
const MAX_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed read; the backoff lengthens it.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Runs until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    let mut next = None;
    let mut store_failed = false;
    let mut backoff = ReadBackoff::new(READ_TIMEOUT, MAX_READ_TIMEOUT);
    loop {
        match read(&app, next, backoff.timeout()).await {
            Ok(offset) => {
                next = Some(offset);
                backoff.record_success();
                if std::mem::take(&mut store_failed) {
                    log::info!(event = "store_back", step = "configuration"; "the store can be read again");
                }
            }
            Err(e) => {
                if matches!(e.kind, StoreErrorKind::Expired { .. }) {
                    next = None;
                } else {
                    backoff.record_failure();
                }
                if !std::mem::replace(&mut store_failed, true) {
                    log::warn!(event = "store_away", step = e.step; "{e}");
                }
                // Not shortened by a planned stop, in which the reads go on.
                sleep(backoff.delay(RETRY_DELAY, rand::random())).await;
            }
        }
    }
}

/// Reads the snapshot, or the changes from `next` on, and returns the offset
/// from which to read on.
async fn read(app: &App, next: Option<Offset>, timeout: Duration) -> Result<Offset, StoreError> {
    let (next, records) = match next {
        None => {
            let newest = app
                .store
                .snapshot(
                    PartitionRef { topic: OPERATOR_TOPIC, partition: 0 },
                    Instant::now() + timeout,
                )
                .await?;
            (newest.next, newest.records)
        }
        Some(from) => {
            let deadline = Instant::now() + LONG_POLL + READ_TIMEOUT;
            app.store.changes(OPERATOR_TOPIC, from, LONG_POLL, deadline).await?
        }
    };
    for record in &records {
        apply(app, record);
    }
    Ok(next)
}

fn apply(app: &App, record: &KeyedRecord) {
    match decode_operator_record(record) {
        Ok(OperatorRecord::Config(table)) => install(app, table),
        Ok(OperatorRecord::Version { model, version }) => set_wanted(app, &model, version),
        Ok(OperatorRecord::Other) => {}
        Err(e) => {
            let key = record.key.as_str();
            log::warn!(event = "record_unreadable", step = "configuration", key; "{e}");
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
