//! Merged view of the targets, from snapshots of the platform's list.
//!
//! The snapshots come from replicas that lag by different amounts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cassia_ids::DataCentre;
use cassia_ids::ModelName;
use cassia_ids::Software;
use cassia_ids::TargetId;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// What a target provides.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum TargetKind {
    /// An engine that generates text with one model.
    Engine {
        /// The model.
        model: ModelName,
    },
    /// An instance of a plain service.
    Service {
        /// The service.
        name: SmolStr,
    },
}

/// Entry of one target in a snapshot of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetInfo {
    /// The target's name.
    pub id: TargetId,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Version of its software; empty where only one serves.
    #[serde(default)]
    pub software: Software,
    /// What it provides.
    #[serde(flatten)]
    pub kind: TargetKind,
    /// Increases with each restart of the target.
    pub incarnation: u64,
    /// Whether it is shutting down and must get no new work.
    pub leaving: bool,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it refuses an order with an old fencing token.
    pub checks_fence: bool,
}

/// Snapshot of the list, from one of its replicas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetSnapshot {
    /// Sequence number; increases with each change.
    pub seq: u64,
    /// The targets.
    pub targets: Vec<TargetInfo>,
    /// Addresses at which the processes of this project on live hosts listen
    /// for peers.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
}

/// Result of merging all snapshots so far.
///
/// Invariant: once an incarnation of a target was seen as leaving or removed,
/// it is never open again, whatever later snapshots contain.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    newest_seq: u64,
    known: BTreeMap<TargetId, TargetInfo>,
}

impl TargetView {
    /// Merges a snapshot and returns whether anything changed.
    pub fn merge(&mut self, snapshot: TargetSnapshot) -> bool {
        let is_newest = snapshot.seq >= self.newest_seq;
        let mut changed = false;
        if is_newest {
            self.newest_seq = snapshot.seq;
            changed |= self.mark_absent_leaving(&snapshot);
        }
        for info in snapshot.targets {
            changed |= self.merge_one(info, is_newest);
        }
        changed
    }

    /// Marks a target as leaving, as reported by a peer or by the target.
    pub fn mark_leaving(&mut self, id: &str, incarnation: u64) -> bool {
        let known = self.known.get_mut(id).filter(|k| k.incarnation == incarnation && !k.leaving);
        known.map(|k| k.leaving = true).is_some()
    }

    /// Returns all known targets as a snapshot, for a peer that has none.
    #[must_use]
    pub fn snapshot(&self) -> TargetSnapshot {
        let targets = self.known.values().cloned().collect();
        TargetSnapshot { seq: self.newest_seq, targets, peers: Vec::new() }
    }

    /// Iterates over the targets that may get new work.
    pub fn open_targets(&self) -> impl Iterator<Item = &TargetInfo> {
        self.known.values().filter(|t| !t.leaving)
    }

    /// Iterates over all targets, also those that are leaving or removed.
    pub fn all(&self) -> impl Iterator<Item = &TargetInfo> {
        self.known.values()
    }

    /// Marks the targets that are not in the newest snapshot as leaving.
    fn mark_absent_leaving(&mut self, snapshot: &TargetSnapshot) -> bool {
        let mut changed = false;
        for known in self.known.values_mut().filter(|known| !known.leaving) {
            if !snapshot.targets.iter().any(|t| t.id == known.id) {
                known.leaving = true;
                changed = true;
            }
        }
        changed
    }

    fn merge_one(&mut self, info: TargetInfo, is_newest: bool) -> bool {
        match self.known.get_mut(&info.id) {
            None => {
                // An old snapshot may contain a target that a newer one has
                // removed before it was known here: don't open it.
                if is_newest {
                    self.known.insert(info.id.clone(), info);
                }
                is_newest
            }
            Some(known) if info.incarnation > known.incarnation => {
                *known = info;
                true
            }
            Some(known) if info.incarnation == known.incarnation => {
                let closes = info.leaving && !known.leaving;
                known.leaving |= info.leaving;
                closes
            }
            Some(_) => false,
        }
    }
}
