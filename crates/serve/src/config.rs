//! The configuration controller: reads what operators and trainers write.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_adapter::OPERATOR_TOPIC;
use cassia_adapter::OperatorRecord;
use cassia_adapter::decode_operator_record;
use cassia_ids::ModelName;
use cassia_ids::Offset;
use cassia_ids::Version;
use cassia_node::ReadBackoff;
use cassia_platform::KeyedRecord;
use cassia_platform::StoreError;
use cassia_platform::StoreErrorKind;
use cassia_route::RouteTable;

use crate::app::App;

/// How long a read waits at the store for news. Short, so that a connection
/// that went silent is noticed within the time a change has.
const LONG_POLL: Duration = Duration::from_secs(1);
/// How much longer than that an answer may take.
const PATIENCE: Duration = Duration::from_millis(500);
/// How long a read of all that is there may take once shorter ones have failed.
const MOST_PATIENCE: Duration = Duration::from_secs(3);
/// Pause after a read failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Runs until a planned stop ends the process.
pub(crate) async fn run(app: Arc<App>) {
    let mut next = None;
    let mut away = false;
    let mut patience = ReadBackoff::new(PATIENCE, MOST_PATIENCE);
    loop {
        match read(&app, next, patience.timeout()).await {
            Ok(offset) => {
                next = Some(offset);
                patience.record_success();
                if std::mem::take(&mut away) {
                    log::info!(event = "store_back", step = "configuration"; "read again");
                }
            }
            Err(e) => {
                if matches!(e.kind, StoreErrorKind::Expired { .. }) {
                    next = None;
                } else {
                    patience.record_failure();
                }
                if !std::mem::replace(&mut away, true) {
                    log::warn!(event = "store_away", step = e.step; "{e}");
                }
                app.board.pause(patience.delay(RETRY_PAUSE, rand::random())).await;
            }
        }
    }
}

/// Reads the newest records, or what came since; tells where to go on.
async fn read(app: &App, next: Option<Offset>, patience: Duration) -> Result<Offset, StoreError> {
    let (next, records) = match next {
        None => {
            let newest = app.store.snapshot(OPERATOR_TOPIC, Instant::now() + patience).await?;
            (newest.next, newest.records)
        }
        Some(from) => {
            let deadline = Instant::now() + LONG_POLL + PATIENCE;
            app.store.changes(OPERATOR_TOPIC, from, LONG_POLL, deadline).await?
        }
    };
    for record in &records {
        take(app, record);
    }
    Ok(next)
}

fn take(app: &App, record: &KeyedRecord) {
    match decode_operator_record(record) {
        Ok(OperatorRecord::Config(table)) => install(app, table),
        Ok(OperatorRecord::Version { model, version }) => want(app, &model, version),
        Ok(OperatorRecord::Other) => {}
        Err(e) => {
            let key = record.key.as_str();
            log::warn!(event = "record_unreadable", step = "configuration", key; "{e}");
        }
    }
}

/// A version that is older than the one in force changes nothing: nothing
/// that was accepted ever reverts.
fn install(app: &App, table: RouteTable) {
    let before = app.board.routes.load().as_ref().map(|table| table.version);
    let version = table.version;
    if before.is_some_and(|before| version <= before) {
        return;
    }
    app.board.routes.store(Some(Arc::new(table)));
    log::info!(event = "config_in_force", step = "configuration", version, before; "in force");
}

fn want(app: &App, model: &ModelName, version: Version) {
    let mut wanted = app.board.wanted.load().as_ref().clone();
    let newest = wanted.entry(model.clone()).or_default();
    if version > *newest {
        *newest = version;
        app.board.wanted.store(Arc::new(wanted));
        log::info!(event = "version_named", step = "configuration", model = model.as_str(), version; "named");
    }
}
