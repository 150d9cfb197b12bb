//! Replication of a state machine from a log stream with limited retention.
//!
//! The state is built by applying the records of the stream. Since old records
//! expire, processes append the state as snapshots, and a process that starts
//! late begins from one. The crate decides where to read next and when to
//! write a snapshot; it does no I/O.
//!
//! ```
//! use std::borrow::Cow;
//!
//! use cassia_replica::{Replica, NextRead, StateMachine};
//!
//! #[derive(Clone, Debug, Default)]
//! struct Count(u64);
//! impl StateMachine for Count {
//!     type Record = ();
//!     type Output = ();
//!     fn next_offset(&self) -> u64 { self.0 }
//!     fn apply(&mut self, offset: u64, _: Option<&()>) { self.0 = offset + 1 }
//!     fn snapshot_in(_: u64, _: &()) -> Option<Cow<'_, Self>> { None }
//! }
//! let mut replica = Replica::<Count>::default();
//! replica.apply(0, 0, None);
//! assert_eq!(replica.next_read(), NextRead::From(1));
//! ```

use std::borrow::Cow;
use std::fmt::Debug;

use cassia_ids::Offset;

/// A state built by applying the records of one stream in order.
///
/// Two states with the same `next_offset` must be equal, whether built from
/// records or from a snapshot; the rest of this crate relies on that.
pub trait StateMachine: Clone + Debug + Default {
    /// A record of the stream.
    type Record;
    /// The result of applying a record.
    type Output;

    /// Returns the first offset that has not been applied.
    fn next_offset(&self) -> Offset;

    /// Applies the record at `offset`, which must be `next_offset`.
    ///
    /// `None` is a record that this release cannot parse.
    fn apply(&mut self, offset: Offset, record: Option<&Self::Record>) -> Self::Output;

    /// Returns the state in the record at `offset` if it is a snapshot.
    fn snapshot_in(offset: Offset, record: &Self::Record) -> Option<Cow<'_, Self>>;
}

/// Where to read next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRead {
    /// Read from this offset.
    From(Offset),
    /// Records are lost to retention: search for a snapshot from this offset,
    /// and request the state from peers.
    Gap(Offset),
}

impl NextRead {
    /// Returns the offset to read from in either case.
    #[must_use]
    pub fn offset(self) -> Offset {
        match self {
            Self::From(offset) | Self::Gap(offset) => offset,
        }
    }
}

/// A local copy of a state machine and its position in the stream.
#[derive(Clone, Debug, Default)]
pub struct Replica<S> {
    state: S,
    /// While records are missing, the offset at which the search for a
    /// snapshot continues.
    search_from: Option<Offset>,
    /// The `next_offset` of the newest usable snapshot seen in the stream.
    last_snapshot: Option<Offset>,
}

impl<S: StateMachine> Replica<S> {
    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Returns whether records are known to be missing.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.search_from.is_some()
    }

    /// Returns whether every record before `end` has been applied.
    #[must_use]
    pub fn has_applied(&self, end: Offset) -> bool {
        self.state.next_offset() >= end
    }

    /// Returns where to read next.
    #[must_use]
    pub fn next_read(&self) -> NextRead {
        match self.search_from {
            Some(from) => NextRead::Gap(from),
            None => NextRead::From(self.state.next_offset()),
        }
    }

    /// Replaces the state by a peer's if that is newer; returns whether it
    /// was.
    ///
    /// An older state is never installed, so the replica never goes backwards.
    pub fn install(&mut self, other: &S) -> bool {
        let newer = other.next_offset() > self.state.next_offset();
        if newer {
            self.state.clone_from(other);
            self.search_from = None;
        }
        newer
    }

    /// Updates the bounds of the log: the oldest offset kept and the next one
    /// to be assigned.
    pub fn set_bounds(&mut self, first: Offset, _end: Offset) {
        if self.state.next_offset() >= first {
            self.search_from = None;
        } else if self.search_from.is_none_or(|from| from < first) {
            self.search_from = Some(first);
        }
    }

    /// Applies one record; returns `None` if it is not the next one.
    ///
    /// `first` is the oldest offset kept by the log.
    pub fn apply(
        &mut self,
        first: Offset,
        offset: Offset,
        record: Option<&S::Record>,
    ) -> Option<S::Output> {
        if let Some(snapshot) = record.and_then(|record| S::snapshot_in(offset, record)) {
            self.observe_snapshot(first, &snapshot);
        }
        if self.state.next_offset() < first {
            self.search_from = Some(offset + 1);
            return None;
        }
        self.search_from = None;
        if offset == self.state.next_offset() {
            Some(self.state.apply(offset, record))
        } else {
            None
        }
    }

    /// Returns whether the state should be appended as a snapshot.
    ///
    /// That is the case once more than `max_records` records follow the newest
    /// snapshot, or if that snapshot is about to expire (`expiring`).
    #[must_use]
    pub fn snapshot_due(&self, max_records: u64, expiring: bool) -> bool {
        if self.has_gap() || self.state.next_offset() == 0 {
            return false;
        }
        let since = self.state.next_offset().saturating_sub(self.last_snapshot.unwrap_or(0));
        since > max_records || expiring
    }

    fn observe_snapshot(&mut self, first: Offset, snapshot: &S) {
        let is_usable = snapshot.next_offset() >= first;
        if !is_usable {
            return;
        }
        self.last_snapshot = self.last_snapshot.max(Some(snapshot.next_offset()));
        // A replica without missing records installs no snapshot: one written
        // late by a slow process must not undo the records in between.
        if self.state.next_offset() < first {
            self.install(snapshot);
        }
    }
}
