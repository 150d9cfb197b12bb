//! The interface to the store: an append-only log with partitions, keyed
//! topics and consumer groups.

use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_ids::Offset;
use smol_str::SmolStr;

/// A partition of a topic.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartitionRef<'a> {
    /// The topic.
    pub topic: &'a str,
    /// Number of the partition, from 0.
    pub partition: u32,
}

/// Error of a call to the store.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at the store: {kind}{}{detail}", if detail.is_empty() { "" } else { ": " })]
pub struct StoreError {
    /// The step that failed.
    pub step: &'static str,
    /// Kind of the failure.
    pub kind: StoreErrorKind,
    /// Details for the reader of a log.
    pub detail: String,
}

/// Kinds of failures, as far as callers treat them differently.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum StoreErrorKind {
    /// The call had no effect: the store said so, or there was no connection.
    #[error("not done")]
    NotDone,
    /// The call may have taken effect, or may do so later.
    #[error("unknown")]
    Unknown,
    /// The store no longer has the requested records.
    #[error("records before offset {oldest} have been deleted")]
    Expired {
        /// The oldest offset that the partition still has.
        oldest: Offset,
    },
    /// The condition of an append does not hold; nothing was appended.
    #[error("the partition ends at offset {end}")]
    Conflict {
        /// The offset that the next record will get.
        end: Offset,
    },
}

/// The offsets of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Appended {
    /// The offset of the first appended record.
    pub offset: Offset,
    /// The offset that the next record will get.
    pub end: Offset,
}

/// Consecutive records of a partition.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The offset of the first of `records`.
    pub start: Offset,
    /// The oldest offset that the partition still has.
    pub oldest: Offset,
    /// The offset that the partition's next record will get.
    pub end: Offset,
    /// The records.
    pub records: Vec<Bytes>,
}

/// A record of a keyed topic, which keeps the newest record of each key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Its key.
    pub key: SmolStr,
    /// Its value; `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// The newest record of each key of a topic.
#[derive(Clone, Debug, Default)]
pub struct KeyedSnapshot {
    /// Offset from which to read the changes since the snapshot.
    pub next: Offset,
    /// The records.
    pub records: Vec<KeyedRecord>,
}

/// The partitions that a group assigns to one member.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// Generation of the group; it grows with each change of the group.
    pub generation: u64,
    /// Partitions assigned to the member.
    pub partitions: Vec<u32>,
}

/// Client of the store.
#[async_trait]
pub trait Store: Debug + Send + Sync {
    /// Appends records to one partition, all or none.
    ///
    /// # Errors
    ///
    /// The append failed; the error's kind says whether the records may have
    /// been appended.
    async fn append(
        &self,
        partition: PartitionRef<'_>,
        records: &[Bytes],
        deadline: Instant,
    ) -> Result<Appended, StoreError>;

    /// Reads records from an offset on, up to about `max_kb` kilobytes, and
    /// waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// The store can't be reached, or no longer has the records.
    async fn read(
        &self,
        partition: PartitionRef<'_>,
        from: Offset,
        max_kb: u32,
        wait: Duration,
        deadline: Instant,
    ) -> Result<Records, StoreError>;

    /// Reads the newest record of each key of a partition of a keyed topic.
    ///
    /// # Errors
    ///
    /// The store can't be reached.
    async fn snapshot(
        &self,
        partition: PartitionRef<'_>,
        deadline: Instant,
    ) -> Result<KeyedSnapshot, StoreError>;

    /// Appends the newest record of a key to a partition of a keyed topic.
    ///
    /// # Errors
    ///
    /// As `append`.
    async fn put(
        &self,
        partition: PartitionRef<'_>,
        key: &str,
        value: &[u8],
        deadline: Instant,
    ) -> Result<Appended, StoreError>;

    /// Reads the records of a keyed topic from an offset on, and returns them
    /// with the offset from which to read on.
    ///
    /// # Errors
    ///
    /// As `read`.
    async fn changes(
        &self,
        topic: &str,
        from: Offset,
        wait: Duration,
        deadline: Instant,
    ) -> Result<(Offset, Vec<KeyedRecord>), StoreError>;

    /// Joins a consumer group of a topic, or renews the membership.
    ///
    /// `generation` is the last one that the member was given.
    ///
    /// # Errors
    ///
    /// The store can't be reached; the member may have joined nevertheless.
    async fn join(
        &self,
        group: &str,
        member: &str,
        topic: &str,
        ttl: Duration,
        generation: u64,
        deadline: Instant,
    ) -> Result<Assignment, StoreError>;

    /// Leaves a group, so that the member's partitions are reassigned at once.
    ///
    /// # Errors
    ///
    /// The store can't be reached; the partitions are reassigned when the
    /// membership expires.
    async fn leave(&self, group: &str, member: &str, deadline: Instant) -> Result<(), StoreError>;
}
