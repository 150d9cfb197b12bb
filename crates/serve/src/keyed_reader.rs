//! Reads a keyed topic of the store: its newest records once, and then the changes.

use std::time::Duration;
use std::time::Instant;

use cassia_clients::KeyedRecord;
use cassia_clients::PartitionRef;
use cassia_clients::Store;
use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_ids::Offset;

/// How far a topic is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyedReader {
    topic: PartitionRef<'static>,
    /// Offset from which to read on; `None` to read a snapshot.
    next: Option<Offset>,
}

/// Records of a read.
#[derive(Debug)]
pub(crate) enum KeyedRead {
    /// The newest record of each key.
    Snapshot(Vec<KeyedRecord>),
    /// The records since the last read.
    Changes(Vec<KeyedRecord>),
}

impl KeyedRead {
    /// Returns the records.
    pub(crate) fn into_records(self) -> Vec<KeyedRecord> {
        match self {
            Self::Snapshot(records) | Self::Changes(records) => records,
        }
    }
}

impl KeyedReader {
    /// Creates a reader that begins with a snapshot of a topic.
    pub(crate) const fn new(topic: &'static str) -> Self {
        Self { topic: PartitionRef { topic, partition: 0 }, next: None }
    }

    /// Returns the offset from which it reads on; `None` if it reads a snapshot next.
    pub(crate) fn next(&self) -> Option<Offset> {
        self.next
    }

    /// Makes the next read one of a snapshot.
    pub(crate) fn restart(&mut self) {
        self.next = None;
    }

    /// Reads on. The store may hold a read of changes back for `wait`; each call takes
    /// no longer than `timeout` beyond that. If the store has dropped the changes, the
    /// snapshot is read at once.
    ///
    /// # Errors
    ///
    /// The store can't be read.
    pub(crate) async fn read(
        &mut self,
        store: &dyn Store,
        wait: Duration,
        timeout: Duration,
    ) -> Result<KeyedRead, StoreError> {
        if let Some(from) = self.next {
            let deadline = Instant::now() + wait + timeout;
            match store.changes(self.topic.topic, from, wait, deadline).await {
                Ok((next, records)) => {
                    self.next = Some(next);
                    return Ok(KeyedRead::Changes(records));
                }
                Err(StoreError { kind: StoreErrorKind::Expired { .. }, .. }) => self.next = None,
                Err(e) => return Err(e),
            }
        }
        let newest = store.snapshot(self.topic, Instant::now() + timeout).await?;
        self.next = Some(newest.next);
        Ok(KeyedRead::Snapshot(newest.records))
    }
}
