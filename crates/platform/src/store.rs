//! The platform's append-only log where it has partitions, keys and groups.

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
    /// The partition's number, from 0.
    pub partition: u32,
}

/// Why a call to the store has no result.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at the store: {kind}{}{detail}", if detail.is_empty() { "" } else { ": " })]
pub struct StoreError {
    /// What was being done.
    pub step: &'static str,
    /// What went wrong.
    pub kind: StoreErrorKind,
    /// More, for people.
    pub detail: String,
}

/// Why a call to the store has no result, as far as it matters.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum StoreErrorKind {
    /// Nothing was done, by the store's own word or for want of a connection.
    #[error("not done")]
    NotDone,
    /// It may have been done, or may yet be.
    #[error("unknown")]
    Unknown,
    /// The records asked for are gone.
    #[error("the records before offset {first} are gone")]
    Expired {
        /// The oldest offset that is kept.
        first: Offset,
    },
    /// The condition of an append does not hold; nothing was done.
    #[error("the partition ends at offset {end}")]
    Conflict {
        /// The offset that the next record will get.
        end: Offset,
    },
}

/// What an append did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Appended {
    /// The offset of the first record.
    pub offset: Offset,
    /// The offset that the next record will get.
    pub end: Offset,
}

/// Records of one partition, in the order of their offsets.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The offset of the first record here.
    pub from: Offset,
    /// The oldest offset that the partition keeps.
    pub first: Offset,
    /// The offset that the partition's next record will get.
    pub end: Offset,
    /// The records.
    pub records: Vec<Bytes>,
}

/// One entry of a topic that keeps the newest record of each key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Its key.
    pub key: SmolStr,
    /// Its value; none if the key was dropped.
    pub value: Option<Bytes>,
}

/// The newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct KeyedSnapshot {
    /// From which offset on to read what changes after this.
    pub next: Offset,
    /// The records.
    pub records: Vec<KeyedRecord>,
}

/// A member's part of a group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// Larger with each change of the group.
    pub generation: u64,
    /// The partitions that are this member's.
    pub partitions: Vec<u32>,
}

/// The platform's store.
#[async_trait]
pub trait Store: Debug + Send + Sync {
    /// Appends records to one partition, all or none.
    ///
    /// # Errors
    ///
    /// Says whether the records may be there all the same.
    async fn append(
        &self,
        to: PartitionRef<'_>,
        records: &[Bytes],
        deadline: Instant,
    ) -> Result<Appended, StoreError>;

    /// Reads records from an offset on, at most about `max_kb` kilobytes, and
    /// waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// The store can't be asked, or has dropped the records.
    async fn read(
        &self,
        partition: PartitionRef<'_>,
        from: Offset,
        max_kb: u32,
        wait: Duration,
        deadline: Instant,
    ) -> Result<Records, StoreError>;

    /// Reads the newest record of each key of a topic that keeps them.
    ///
    /// # Errors
    ///
    /// The store can't be asked.
    async fn snapshot(&self, topic: &str, deadline: Instant) -> Result<KeyedSnapshot, StoreError>;

    /// Reads what was written to such a topic from an offset on.
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

    /// Joins a group that shares a topic's partitions out, or stays in it.
    ///
    /// # Errors
    ///
    /// The store can't be asked; the member may be in the group all the same.
    async fn join(
        &self,
        group: &str,
        member: &str,
        topic: &str,
        ttl: Duration,
        generation: u64,
        deadline: Instant,
    ) -> Result<Assignment, StoreError>;

    /// Leaves a group, so that others get the member's partitions at once.
    ///
    /// # Errors
    ///
    /// The store can't be asked; the partitions move after the member's time.
    async fn leave(&self, group: &str, member: &str, deadline: Instant) -> Result<(), StoreError>;
}
