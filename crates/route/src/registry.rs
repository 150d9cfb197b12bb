//! Which targets there are, by the heartbeats that they write themselves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::DataCentre;
use cassia_ids::ModelName;
use cassia_ids::TargetId;
use cassia_ids::Version;
use smol_str::SmolStr;

use crate::TargetInfo;
use crate::TargetKind;

/// After the list was away, entries that lapsed meanwhile are written again
/// within two seconds; until then a removal is not believed.
const LAPSED_GRACE: Duration = Duration::from_millis(1_700);
/// How long a removed target is remembered, so that an old heartbeat that is
/// read again does not bring it back.
const REMEMBERED: Duration = Duration::from_mins(2);

/// What a target last wrote about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Its name.
    pub id: TargetId,
    /// What it serves.
    pub service: SmolStr,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to go.
    pub leaving: bool,
    /// When it started, in milliseconds of the time of day; tells its
    /// incarnations apart.
    pub started_ms: u64,
    /// Counts its heartbeats since then.
    pub seq: u64,
    /// The weights that it has.
    pub versions: Vec<(ModelName, Version)>,
}

#[derive(Clone, Debug)]
enum Presence {
    Here,
    /// Its entry was removed; it counts as gone from this moment on.
    GoneFrom(Instant),
}

#[derive(Clone, Debug)]
struct Entry {
    beat: Heartbeat,
    presence: Presence,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Update {
    /// Nothing: the heartbeat is an old one, or says the same again.
    Unchanged,
    /// Something that matters to the choice of a target.
    Changed,
}

/// All targets, as their heartbeats in the order of the log leave them.
///
/// Invariant: an incarnation that was seen leaving is never open again, and a
/// heartbeat that is older than the newest one seen changes nothing.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    known: BTreeMap<TargetId, Entry>,
    /// Until then removals may be lapses of live targets.
    doubt_until: Option<Instant>,
}

impl TargetRegistry {
    /// Takes a heartbeat in.
    pub fn apply(&mut self, beat: Heartbeat) -> Update {
        let Some(entry) = self.known.get_mut(&beat.id) else {
            self.known.insert(beat.id.clone(), Entry { beat, presence: Presence::Here });
            return Update::Changed;
        };
        let old = &entry.beat;
        if (beat.started_ms, beat.seq) <= (old.started_ms, old.seq) {
            return Update::Unchanged;
        }
        let mut beat = beat;
        beat.leaving |= old.leaving && old.started_ms == beat.started_ms;
        let was_here = matches!(entry.presence, Presence::Here);
        let same = Heartbeat { seq: old.seq, ..beat.clone() } == *old;
        *entry = Entry { beat, presence: Presence::Here };
        if was_here && same { Update::Unchanged } else { Update::Changed }
    }

    /// Takes in that a target's entry was removed.
    pub fn remove(&mut self, id: &str, now: Instant) -> Update {
        let in_doubt = self.doubt_until.is_some_and(|until| now < until);
        let Some(entry) = self.known.get_mut(id) else {
            return Update::Unchanged;
        };
        if matches!(entry.presence, Presence::GoneFrom(_)) {
            return Update::Unchanged;
        }
        let grace = if in_doubt { LAPSED_GRACE } else { Duration::ZERO };
        entry.presence = Presence::GoneFrom(now + grace);
        Update::Changed
    }

    /// Takes in that a whole new copy of the list holds just these.
    pub fn retain_only(&mut self, ids: &[TargetId], now: Instant) -> Update {
        let ids: BTreeSet<_> = ids.iter().collect();
        let missing: Vec<_> = self.known.keys().filter(|id| !ids.contains(id)).cloned().collect();
        let changes = missing.iter().map(|id| self.remove(id, now));
        if changes.filter(|c| *c == Update::Changed).count() > 0 {
            return Update::Changed;
        }
        Update::Unchanged
    }

    /// Takes in that the list is back after it could not be reached.
    pub fn list_reconnected(&mut self, now: Instant) {
        self.doubt_until = Some(now + LAPSED_GRACE);
    }

    /// Forgets what has been gone for long.
    pub fn prune(&mut self, now: Instant) {
        self.known.retain(|_, entry| match entry.presence {
            Presence::Here => true,
            Presence::GoneFrom(since) => now < since + REMEMBERED,
        });
    }

    /// Lists the heartbeats of all targets that are not gone at this moment.
    pub fn present(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        let is_here = move |entry: &&Entry| match entry.presence {
            Presence::Here => true,
            Presence::GoneFrom(since) => now < since,
        };
        self.known.values().filter(is_here).map(|entry| &entry.beat)
    }

    /// Says whether some target goes at a moment that is yet to come.
    #[must_use]
    pub fn has_pending_removals(&self, now: Instant) -> bool {
        let lapses = |e: &Entry| matches!(e.presence, Presence::GoneFrom(since) if now < since);
        self.known.values().any(lapses)
    }

    /// Lists the targets in the form that the choice of a target takes.
    #[must_use]
    pub fn targets(&self, now: Instant) -> Vec<TargetInfo> {
        let listed = |beat: &Heartbeat| TargetInfo {
            id: beat.id.clone(),
            addr: beat.addr,
            data_centre: beat.data_centre.clone(),
            kind: TargetKind::Service { name: beat.service.clone() },
            incarnation: beat.started_ms,
            leaving: beat.leaving,
            slots: beat.slots,
            checks_fence: false,
        };
        self.present(now).map(listed).collect()
    }
}
