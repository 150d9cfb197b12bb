//! Registry of the targets, from the heartbeats that they write.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::DataCentre;
use cassia_ids::ModelName;
use cassia_ids::Software;
use cassia_ids::TargetId;
use cassia_ids::Version;
use smol_str::SmolStr;

use crate::TargetInfo;
use crate::TargetKind;

/// After an outage of the list, live targets write entries that expired during
/// it again within two seconds. A removal in that time takes effect at the end of
/// this grace period.
const REMOVAL_GRACE: Duration = Duration::from_millis(1_700);
/// How long a removed target is kept, so that an old heartbeat that is read
/// again does not add it back.
const REMOVED_RETENTION: Duration = Duration::from_mins(2);

/// Heartbeat of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// The target's name.
    pub id: TargetId,
    /// Service that it provides.
    pub service: SmolStr,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Version of its software.
    pub software: Software,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it may be reclaimed at any time.
    pub spot: bool,
    /// How long it still runs, in milliseconds, if it is shutting down and says so.
    pub leaves_ms: Option<u64>,
    /// When it started, in milliseconds of wall-clock time; identifies its
    /// incarnation.
    pub started_ms: u64,
    /// Sequence number of the heartbeat since then.
    pub seq: u64,
    /// Weight versions that it has loaded, by model.
    pub versions: Vec<(ModelName, Version)>,
}

#[derive(Clone, Debug)]
enum Presence {
    Present,
    /// Its entry was removed from the list; the target counts as removed from
    /// this time on.
    RemovedAt(Instant),
}

#[derive(Clone, Debug)]
struct Entry {
    heartbeat: Heartbeat,
    presence: Presence,
}

/// Effect of a heartbeat or removal. Of several, the greatest counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Update {
    /// No change: the heartbeat is old, or only its sequence number differs.
    Unchanged,
    /// Only the weight versions that the target has loaded changed.
    VersionsChanged,
    /// Another change that matters to the choice of a target.
    Changed,
}

/// All targets, after applying their heartbeats in log order.
///
/// Invariant: an incarnation that was seen as leaving is never open again, and
/// a heartbeat that is older than the newest one seen changes nothing.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    entries: BTreeMap<TargetId, Entry>,
    /// Until then, a removed entry may be that of a live target, expired
    /// during an outage of the list.
    grace_until: Option<Instant>,
}

impl TargetRegistry {
    /// Applies a heartbeat.
    pub fn apply(&mut self, mut heartbeat: Heartbeat) -> Update {
        let Some(entry) = self.entries.get_mut(&heartbeat.id) else {
            self.entries
                .insert(heartbeat.id.clone(), Entry { heartbeat, presence: Presence::Present });
            return Update::Changed;
        };
        let old = &entry.heartbeat;
        if (heartbeat.started_ms, heartbeat.seq) <= (old.started_ms, old.seq) {
            return Update::Unchanged;
        }
        heartbeat.leaving |= old.leaving && old.started_ms == heartbeat.started_ms;
        let was_present = matches!(entry.presence, Presence::Present);
        let has_same_versions = heartbeat.versions == old.versions;
        // The time that is left shrinks with each heartbeat.
        let expected = Heartbeat {
            seq: heartbeat.seq,
            versions: heartbeat.versions.clone(),
            leaves_ms: heartbeat.leaves_ms,
            ..old.clone()
        };
        let has_same_rest = heartbeat == expected;
        *entry = Entry { heartbeat, presence: Presence::Present };
        match (was_present, has_same_versions, has_same_rest) {
            (true, true, true) => Update::Unchanged,
            (true, false, true) => Update::VersionsChanged,
            _ => Update::Changed,
        }
    }

    /// Marks an incarnation of a target as leaving, as the target has stated elsewhere than
    /// in its heartbeats.
    pub fn mark_leaving(&mut self, id: &str, incarnation: u64) -> Update {
        match self.entries.get_mut(id).map(|entry| &mut entry.heartbeat) {
            Some(heartbeat) if heartbeat.started_ms == incarnation && !heartbeat.leaving => {
                heartbeat.leaving = true;
                Update::Changed
            }
            _ => Update::Unchanged,
        }
    }

    /// Marks a target as removed because its entry was removed from the list.
    pub fn remove(&mut self, id: &str, now: Instant) -> Update {
        let removed_at = self.grace_until.map_or(now, |until| until.max(now));
        let Some(entry) = self.entries.get_mut(id) else {
            return Update::Unchanged;
        };
        if matches!(entry.presence, Presence::RemovedAt(_)) {
            return Update::Unchanged;
        }
        entry.presence = Presence::RemovedAt(removed_at);
        Update::Changed
    }

    /// Removes all targets that are not in a complete new copy of the list.
    pub fn retain_only(&mut self, ids: &[TargetId], now: Instant) -> Update {
        let ids: BTreeSet<_> = ids.iter().collect();
        let missing: Vec<_> = self.entries.keys().filter(|id| !ids.contains(id)).cloned().collect();
        let changes = missing.iter().map(|id| self.remove(id, now));
        changes.max().unwrap_or(Update::Unchanged)
    }

    /// Starts the grace period for removals, after an outage of the list.
    pub fn list_reconnected(&mut self, now: Instant) {
        self.grace_until = Some(now + REMOVAL_GRACE);
    }

    /// Deletes targets that were removed longer than `REMOVED_RETENTION` ago.
    pub fn prune(&mut self, now: Instant) {
        self.entries.retain(|_, entry| match entry.presence {
            Presence::Present => true,
            Presence::RemovedAt(at) => now < at + REMOVED_RETENTION,
        });
    }

    /// Iterates over the last heartbeats of all targets that are present.
    pub fn present(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        let is_present = move |entry: &&Entry| match entry.presence {
            Presence::Present => true,
            Presence::RemovedAt(at) => now < at,
        };
        self.entries.values().filter(is_present).map(|entry| &entry.heartbeat)
    }

    /// Returns whether some target counts as removed only after `now`.
    #[must_use]
    pub fn has_pending_removals(&self, now: Instant) -> bool {
        self.next_removal(now).is_some()
    }

    /// Returns when the next target counts as removed, if that is after `now`.
    #[must_use]
    pub fn next_removal(&self, now: Instant) -> Option<Instant> {
        let removals = self.entries.values().filter_map(|entry| match entry.presence {
            Presence::Present => None,
            Presence::RemovedAt(at) => Some(at),
        });
        removals.filter(|at| now < *at).min()
    }

    /// Returns the present targets, for `TargetSet::updated`.
    #[must_use]
    pub fn targets(&self, now: Instant) -> Vec<TargetInfo> {
        let to_info = |heartbeat: &Heartbeat| TargetInfo {
            id: heartbeat.id.clone(),
            addr: heartbeat.addr,
            data_centre: heartbeat.data_centre.clone(),
            software: heartbeat.software.clone(),
            kind: TargetKind::Service { name: heartbeat.service.clone() },
            incarnation: heartbeat.started_ms,
            leaving: heartbeat.leaving,
            slots: heartbeat.slots,
            checks_fence: false,
        };
        self.present(now).map(to_info).collect()
    }
}
