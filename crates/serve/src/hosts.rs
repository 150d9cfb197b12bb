//! The hosts controller: announces this host to the others in a keyed topic of the
//! store, and reads their announcements.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::KeyedRecord;
use cassia_clients::PartitionRef;
use cassia_clients::StoreError;
use cassia_node::ReadBackoff;
use cassia_relay::HostEntry;
use prost::Message;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::app::App;
use crate::keyed_reader::KeyedReader;
use crate::lock::lock;
use crate::store_contact::record_return;

/// The topic of the announcements, by host.
const HOSTS: PartitionRef<'static> = PartitionRef { topic: "keyed.hosts", partition: 0 };
/// How often the announcements are read while there are new hosts, as when all
/// start at once.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(700);
/// How often they are read at least.
const READ_INTERVAL: Duration = Duration::from_secs(5);
/// How often this host announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(30);
/// Delay before an announcement is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum timeout of a read, which grows while reads fail.
const MAX_READ_TIMEOUT: Duration = Duration::from_secs(4);
/// How often it is looked which lost links are to be checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Least time between two reads for the sake of hosts that are not known.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// How far the announcements are read.
#[derive(Debug)]
pub(crate) struct ReadPosition {
    reader: KeyedReader,
    /// Until when no read is made for the sake of a host that is not known.
    refreshed_until: Option<Instant>,
}

impl Default for ReadPosition {
    fn default() -> Self {
        Self { reader: KeyedReader::new(HOSTS.topic), refreshed_until: None }
    }
}

/// Whether a read found hosts that were not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NewHosts {
    None,
    Some,
}

/// Reads the announcements until the process ends.
pub(crate) async fn read_hosts(app: Arc<App>) {
    let mut backoff = ReadBackoff::new(CALL_TIMEOUT, MAX_READ_TIMEOUT);
    let mut interval = MIN_READ_INTERVAL;
    let mut store_back = app.state.store_contact.subscribe(HOSTS);
    loop {
        let read = tokio::select! {
            read = read(&app, backoff.timeout()) => read,
            // A read that was sent before the store was back may never end.
            kind = store_back.changed() => {
                record_return(&mut backoff, kind);
                continue;
            }
        };
        match read {
            Ok(NewHosts::Some) => {
                backoff.record_success();
                interval = MIN_READ_INTERVAL;
            }
            Ok(NewHosts::None) => {
                backoff.record_success();
                interval = (2 * interval).min(READ_INTERVAL);
            }
            Err(e) => {
                backoff.record_failure();
                log::debug!(event = "store_away", step = e.step; "{e}");
            }
        }
        let delay = backoff.delay(interval, rand::random());
        if let Ok(kind) = timeout(delay, store_back.changed()).await {
            record_return(&mut backoff, kind);
        }
    }
}

/// Announces this host until a planned stop, then withdraws it.
pub(crate) async fn announce(app: Arc<App>) {
    let Some(addr) = app.settings.relay else { return };
    let entry =
        HostEntry { addr: addr.to_string(), data_centre: app.state.data_centre.to_string() };
    let mut store_back = app.state.store_contact.subscribe(HOSTS);
    while !app.state.is_stopping() {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let put = app.store.put(HOSTS, &app.state.host, &entry.encode_to_vec(), deadline).await;
        let has_failed = put.is_err();
        let delay = if has_failed { RETRY_DELAY } else { ANNOUNCE_INTERVAL };
        tokio::select! {
            () = app.state.sleep_unless_stopping(delay) => {}
            _ = store_back.changed(), if has_failed => {}
        }
    }
    // The host's next process announces itself again.
    let deadline = Instant::now() + CALL_TIMEOUT;
    if let Err(e) = app.store.put(HOSTS, &app.state.host, &[], deadline).await {
        log::debug!(event = "withdraw_failed", step = e.step; "{e}");
    }
}

/// Checks whether lost links are back until the process ends.
pub(crate) async fn check_links(app: Arc<App>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        app.relay.check_lost_links().await;
    }
}

/// Reads the announcements now, if that was not done just before.
pub(crate) async fn refresh(app: &App) {
    let now = Instant::now();
    {
        let mut position = lock(&app.hosts_position);
        if position.refreshed_until.is_some_and(|until| now < until) {
            return;
        }
        position.refreshed_until = Some(now + MIN_REFRESH_INTERVAL);
    }
    if let Err(e) = read(app, CALL_TIMEOUT).await {
        log::debug!(event = "store_away", step = e.step; "{e}");
    }
}

async fn read(app: &App, timeout: Duration) -> Result<NewHosts, StoreError> {
    let mut reader = lock(&app.hosts_position).reader;
    let read = reader.read(app.store.as_ref(), Duration::ZERO, timeout).await;
    lock(&app.hosts_position).reader = reader;
    let now = Instant::now();
    let mut hosts = lock(&app.relay.hosts);
    let mut new = NewHosts::None;
    for KeyedRecord { key, value } in read?.into_records() {
        let entry = value.and_then(|value| HostEntry::decode(value).ok());
        if hosts.apply(&key, entry.as_ref(), now) {
            new = NewHosts::Some;
        }
    }
    hosts.record_read(now);
    Ok(new)
}
