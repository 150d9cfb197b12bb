//! What the lagging copies of the platform's list say of the targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cassia_ids::DataCentre;
use cassia_ids::ModelName;
use cassia_ids::TargetId;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// What a target is for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum TargetKind {
    /// An engine that generates with one model.
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

/// One target, as one copy of the list shows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetInfo {
    /// The target's name.
    pub id: TargetId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What it is for.
    #[serde(flatten)]
    pub kind: TargetKind,
    /// Larger with each restart of the target.
    pub incarnation: u64,
    /// Whether it is about to go: it gets no new work.
    pub leaving: bool,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fence: bool,
}

/// One copy of the list, as one of its replicas gave it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetSnapshot {
    /// Larger with each change; replicas lag by different amounts.
    pub seq: u64,
    /// The targets.
    pub targets: Vec<TargetInfo>,
    /// Where the processes of this project on live hosts listen for peers.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
}

/// What all copies so far add up to.
///
/// Invariant: once an incarnation of a target was seen leaving or gone, it is
/// never open again, whichever copy comes next.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    newest: u64,
    known: BTreeMap<TargetId, TargetInfo>,
}

impl TargetView {
    /// Takes a copy in and says whether anything changed.
    pub fn merge(&mut self, copy: TargetSnapshot) -> bool {
        let is_newest = copy.seq >= self.newest;
        let mut changed = false;
        if is_newest {
            self.newest = copy.seq;
            changed |= self.close_absent(&copy);
        }
        for listed in copy.targets {
            changed |= self.merge_one(listed, is_newest);
        }
        changed
    }

    /// Marks a target as leaving on the word of a peer or of the target.
    pub fn mark_leaving(&mut self, id: &str, incarnation: u64) -> bool {
        let known = self.known.get_mut(id).filter(|k| k.incarnation == incarnation && !k.leaving);
        known.map(|k| k.leaving = true).is_some()
    }

    /// Gives all that is known as a copy, for a peer that has none.
    #[must_use]
    pub fn snapshot(&self) -> TargetSnapshot {
        let targets = self.known.values().cloned().collect();
        TargetSnapshot { seq: self.newest, targets, peers: Vec::new() }
    }

    /// Lists the targets that may get new work.
    pub fn open(&self) -> impl Iterator<Item = &TargetInfo> {
        self.known.values().filter(|listed| !listed.leaving)
    }

    /// Lists all targets, also those that are leaving or gone.
    pub fn all(&self) -> impl Iterator<Item = &TargetInfo> {
        self.known.values()
    }

    /// A target that the newest copy no longer has is gone.
    fn close_absent(&mut self, copy: &TargetSnapshot) -> bool {
        let mut changed = false;
        for known in self.known.values_mut().filter(|known| !known.leaving) {
            if !copy.targets.iter().any(|listed| listed.id == known.id) {
                known.leaving = true;
                changed = true;
            }
        }
        changed
    }

    fn merge_one(&mut self, listed: TargetInfo, is_newest: bool) -> bool {
        match self.known.get_mut(&listed.id) {
            None => {
                // An old copy may show what a newer one has already removed
                // and we never saw: it isn't opened on that word alone.
                if is_newest {
                    self.known.insert(listed.id.clone(), listed);
                }
                is_newest
            }
            Some(known) if listed.incarnation > known.incarnation => {
                *known = listed;
                true
            }
            Some(known) if listed.incarnation == known.incarnation => {
                let closes = listed.leaving && !known.leaving;
                known.leaving |= listed.leaving;
                closes
            }
            Some(_) => false,
        }
    }
}
