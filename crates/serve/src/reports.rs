//! Reports that the hosts share through a topic of the store: each reads those of all
//! hosts and appends its own.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_clients::PartitionRef;
use cassia_clients::Store;
use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_ids::Offset;
use cassia_node::ReadBackoff;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::pending;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::store_contact::StoreContact;
use crate::store_contact::record_return;

/// How long a response of the store may take beyond the time that it waits for
/// records.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum timeout of a read, which grows while reads fail.
const MAX_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay after a failed call; the backoff lengthens that of reads.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// What reads the reports of one topic.
pub(crate) trait ReportReader: Send + Sync {
    /// The topic.
    fn topic(&self) -> PartitionRef<'static>;

    /// Limit of one read, in kilobytes.
    fn max_kb(&self) -> u32;

    /// How long the store may hold the next read back until there are records.
    fn wait(&self) -> Duration;

    /// Applies a report. It must have the same effect if it comes again.
    fn apply(&self, record: Bytes);

    /// Records that the reports have been read to their end, by a read that began at
    /// this time.
    fn reached_end(&self, _began: Instant) {}

    /// Waits until somebody needs the reports sooner than a read that waits for records
    /// may return them.
    fn wait_until_needed(&self) -> BoxFuture<'_, ()> {
        pending().boxed()
    }
}

/// Reads the reports of all hosts until the process ends.
pub(crate) async fn read_all(store: &dyn Store, contact: &StoreContact, reader: &dyn ReportReader) {
    let (mut next, mut is_behind) = (0, false);
    let mut backoff = ReadBackoff::new(READ_TIMEOUT, MAX_READ_TIMEOUT);
    let mut store_back = contact.subscribe(reader.topic());
    loop {
        let wait = if is_behind { Duration::ZERO } else { reader.wait() };
        let read = tokio::select! {
            read = read(store, reader, next, wait, backoff.timeout()) => read,
            // A read that was sent before the store was back may never end.
            kind = store_back.changed() => {
                record_return(&mut backoff, kind);
                is_behind = true;
                continue;
            }
            () = reader.wait_until_needed(), if !wait.is_zero() => continue,
        };
        match read {
            Ok(offset) => {
                next = offset;
                is_behind = false;
                backoff.record_success();
            }
            // The store answers: the oldest records are read at once.
            Err(StoreError { kind: StoreErrorKind::Expired { oldest }, .. }) => next = oldest,
            Err(e) => {
                backoff.record_failure();
                is_behind = true;
                log::debug!(event = "store_away", step = e.step; "{e}");
                let delay = backoff.delay(RETRY_DELAY, rand::random());
                if let Ok(kind) = timeout(delay, store_back.changed()).await {
                    record_return(&mut backoff, kind);
                }
            }
        }
    }
}

/// Reads the reports from an offset on, and returns the offset from which to read on.
async fn read(
    store: &dyn Store,
    reader: &dyn ReportReader,
    from: Offset,
    wait: Duration,
    limit: Duration,
) -> Result<Offset, StoreError> {
    let began = Instant::now();
    let deadline = began + wait + limit;
    let read = store.read(reader.topic(), from, reader.max_kb(), wait, deadline).await?;
    let next = read.start + read.records.len() as u64;
    for record in read.records {
        reader.apply(record);
    }
    if next >= read.end {
        reader.reached_end(began);
    }
    Ok(next)
}

/// Appends this host's reports, however long that takes. Appended twice, a report
/// counts once.
pub(crate) async fn append(store: &dyn Store, topic: PartitionRef<'_>, records: &[Bytes]) {
    while let Err(e) = store.append(topic, records, Instant::now() + APPEND_TIMEOUT).await {
        log::info!(event = "append_failed", step = e.step; "{e}");
        sleep(RETRY_DELAY).await;
    }
}
