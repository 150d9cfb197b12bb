//! The hosts controller: announces this host to the others in a keyed topic of the
//! store, and reads their announcements.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::KeyedRecord;
use cassia_clients::PartitionRef;
use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_ids::Offset;
use cassia_node::ReadBackoff;
use cassia_relay::HostEntry;
use prost::Message;
use tokio::time::sleep;

use crate::app::App;
use crate::state::lock;

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
#[derive(Debug, Default)]
pub(crate) struct ReadPosition {
    /// Offset from which to read on; `None` to read a snapshot.
    next: Option<Offset>,
    /// Until when no read is made for the sake of a host that is not known.
    refreshed_until: Option<Instant>,
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
    loop {
        match read(&app, backoff.timeout()).await {
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
        sleep(backoff.delay(interval, rand::random())).await;
    }
}

/// Announces this host until a planned stop, then withdraws it.
pub(crate) async fn announce(app: Arc<App>) {
    let Some(addr) = app.settings.relay else { return };
    let entry =
        HostEntry { addr: addr.to_string(), data_centre: app.state.data_centre.to_string() };
    while !app.state.is_stopping() {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let put = app.store.put(HOSTS, &app.state.host, &entry.encode_to_vec(), deadline).await;
        let delay = if put.is_ok() { ANNOUNCE_INTERVAL } else { RETRY_DELAY };
        app.state.sleep_unless_stopping(delay).await;
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
    let deadline = Instant::now() + timeout;
    let next = lock(&app.hosts_position).next;
    let read = match next {
        None => {
            let newest = app.store.snapshot(HOSTS, deadline).await;
            newest.map(|newest| (newest.next, newest.records))
        }
        Some(from) => app.store.changes(HOSTS.topic, from, Duration::ZERO, deadline).await,
    };
    let (next, records) = match read {
        Ok(read) => read,
        Err(e) => {
            if matches!(e.kind, StoreErrorKind::Expired { .. }) {
                lock(&app.hosts_position).next = None;
            }
            return Err(e);
        }
    };
    let now = Instant::now();
    let mut hosts = lock(&app.relay.hosts);
    let mut new = NewHosts::None;
    for KeyedRecord { key, value } in records {
        let entry = value.and_then(|value| HostEntry::decode(value).ok());
        if hosts.apply(&key, entry.as_ref(), now) {
            new = NewHosts::Some;
        }
    }
    hosts.record_read(now);
    lock(&app.hosts_position).next = Some(next);
    Ok(new)
}
