//! Catching up with a log stream that keeps its records for a limited time.
//!
//! A state is folded from the stream's records. Since old records expire, the
//! processes repeat the state as snapshots, and whoever comes late starts from
//! one. The crate decides what to read and when to repeat the state; it reads
//! no log itself.
//!
//! ```
//! use std::borrow::Cow;
//!
//! use cassia_follow::{Replica, NextRead, StateMachine};
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
//! let mut follow = Replica::<Count>::default();
//! follow.apply(0, 0, None);
//! assert_eq!(follow.next_read(), NextRead::From(1));
//! ```

use std::borrow::Cow;
use std::fmt::Debug;

use cassia_ids::Offset;

/// A state that is folded from the records of one stream.
///
/// Two states with the same `next` must be equal, whatever they were built
/// from; everything else in this crate rests on that.
pub trait StateMachine: Clone + Debug + Default {
    /// A record of the stream.
    type Record;
    /// What became of a record.
    type Output;

    /// Tells the first offset that is not folded in yet.
    fn next_offset(&self) -> Offset;

    /// Folds the record at `offset` in; the caller passes just `next`.
    ///
    /// None stands for a record that this release can't read.
    fn apply(&mut self, offset: Offset, record: Option<&Self::Record>) -> Self::Output;

    /// Gives the state in the record at `offset`, if that is a snapshot.
    fn snapshot_in(offset: Offset, record: &Self::Record) -> Option<Cow<'_, Self>>;
}

/// Where to read on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRead {
    /// Read on from this offset.
    From(Offset),
    /// Records are lost to retention: look for a snapshot from here on, and
    /// ask peers for their state.
    Gap(Offset),
}

impl NextRead {
    /// Tells the offset to read from in either case.
    #[must_use]
    pub fn offset(self) -> Offset {
        match self {
            Self::From(offset) | Self::Gap(offset) => offset,
        }
    }
}

/// A state and its place in the stream.
#[derive(Clone, Debug, Default)]
pub struct Replica<S> {
    state: S,
    /// While records are missing: where the search for a snapshot goes on.
    searching: Option<Offset>,
    /// The `next` of the newest usable snapshot seen in the stream.
    last_snapshot: Option<Offset>,
}

impl<S: StateMachine> Replica<S> {
    /// Gives the state folded so far.
    #[must_use]
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Says whether records are known to be missing.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.searching.is_some()
    }

    /// Says whether everything before an offset is folded in.
    #[must_use]
    pub fn has_applied(&self, end: Offset) -> bool {
        self.state.next_offset() >= end
    }

    /// Tells where to read next.
    #[must_use]
    pub fn next_read(&self) -> NextRead {
        match self.searching {
            Some(from) => NextRead::Gap(from),
            None => NextRead::From(self.state.next_offset()),
        }
    }

    /// Takes a peer's state over, if it is further on.
    ///
    /// One that is not further on is never taken, so that nothing reverts.
    pub fn install(&mut self, other: &S) -> bool {
        let newer = other.next_offset() > self.state.next_offset();
        if newer {
            self.state.clone_from(other);
            self.searching = None;
        }
        newer
    }

    /// Notes the log's bounds: the oldest offset kept and the next to be given.
    pub fn set_bounds(&mut self, first: Offset, _end: Offset) {
        if self.state.next_offset() >= first {
            self.searching = None;
        } else if self.searching.is_none_or(|from| from < first) {
            self.searching = Some(first);
        }
    }

    /// Takes one record in; none if it was not the next one.
    ///
    /// `first` is the oldest offset that the log still keeps.
    pub fn apply(
        &mut self,
        first: Offset,
        offset: Offset,
        record: Option<&S::Record>,
    ) -> Option<S::Output> {
        if let Some(snapshot) = record.and_then(|record| S::snapshot_in(offset, record)) {
            self.see_snapshot(first, &snapshot);
        }
        if self.state.next_offset() < first {
            self.searching = Some(offset + 1);
            return None;
        }
        self.searching = None;
        if offset == self.state.next_offset() {
            Some(self.state.apply(offset, record))
        } else {
            None
        }
    }

    /// Says whether the state should be appended again as a snapshot.
    ///
    /// True once more than `most` records came since the newest one, or if
    /// the newest is about to fall out of retention (`expiring`).
    #[must_use]
    pub fn snapshot_due(&self, most: u64, expiring: bool) -> bool {
        if self.has_gap() || self.state.next_offset() == 0 {
            return false;
        }
        let since = self.state.next_offset().saturating_sub(self.last_snapshot.unwrap_or(0));
        since > most || expiring
    }

    fn see_snapshot(&mut self, first: Offset, snapshot: &S) {
        let bridges = snapshot.next_offset() >= first;
        if !bridges {
            return;
        }
        self.last_snapshot = self.last_snapshot.max(Some(snapshot.next_offset()));
        // Whoever still has every record needs none: a snapshot that a slow
        // process wrote late must not undo the records between.
        if self.state.next_offset() < first {
            self.install(snapshot);
        }
    }
}
