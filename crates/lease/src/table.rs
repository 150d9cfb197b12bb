//! The leases, as the records of their stream leave them.

use std::borrow::Cow;
use std::collections::BTreeMap;

use cassia_follow::StateMachine;
use cassia_ids::BootId;
use cassia_ids::Fence;
use cassia_ids::HostId;
use cassia_ids::Offset;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// One record of the lease stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum LeaseRecord {
    /// A process acts on a lease.
    #[serde(rename = "act")]
    Op(LeaseOp),
    /// A process repeats the table, so that it outlives the retention.
    Snapshot {
        /// The table.
        table: LeaseTable,
    },
    /// All leases end here, for every process alike: what came before is lost
    /// to retention for some of them.
    Reset,
}

/// What a process does to a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseOp {
    /// The lease's name.
    pub resource: SmolStr,
    /// The process's host.
    pub holder: HostId,
    /// The run of the process.
    pub boot: BootId,
    /// Counts the process's acts, so that it knows its own again.
    pub nonce: u64,
    /// What it does.
    #[serde(rename = "verb")]
    pub kind: OpKind,
    /// With a renewal: the holder has waited until nobody else can have acted
    /// on the lease lately.
    #[serde(default, rename = "clear", skip_serializing_if = "std::ops::Not::not")]
    pub quiesced: bool,
}

/// The kinds of acts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OpKind {
    /// Take the lease over from the record at this offset, or from nobody.
    Claim {
        /// The last accepted record of the lease that the claimer saw.
        supersedes: Option<Offset>,
    },
    /// Keep the lease.
    Renew {
        /// The holder's fencing number.
        fence: Fence,
    },
    /// Let the lease go at once.
    Release {
        /// The holder's fencing number.
        fence: Fence,
    },
}

/// One lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Lease {
    /// The holder's host.
    pub holder: HostId,
    /// The holder's run.
    pub boot: BootId,
    /// The offset of the accepted claim.
    pub fence: Fence,
    /// The offset of the last accepted record.
    pub last: Offset,
    /// The nonce of the last accepted record.
    pub nonce: u64,
    /// Whether the holder let it go.
    pub released: bool,
    /// Whether nobody on another host can have acted on it lately: the holder
    /// before had let it go, or this one has waited long enough.
    #[serde(default, rename = "clear")]
    pub quiesced: bool,
}

/// What became of an act.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpOutcome {
    /// The act counts.
    Accepted,
    /// The act came too late or from one who is not the holder.
    Refused,
    /// The record was no act.
    Ignored,
}

/// All leases, as of one offset.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LeaseTable {
    next: Offset,
    leases: BTreeMap<SmolStr, Lease>,
    /// Whether leases were ended because older records are lost.
    #[serde(default)]
    reset: bool,
}

impl LeaseTable {
    /// Finds a lease.
    #[must_use]
    pub fn get(&self, resource: &str) -> Option<&Lease> {
        self.leases.get(resource)
    }

    fn judge(&mut self, offset: Offset, act: &LeaseOp) -> OpOutcome {
        let current = self.leases.get_mut(&act.resource);
        match (act.kind, current) {
            (OpKind::Claim { supersedes }, current) => {
                if supersedes != current.as_ref().map(|l| l.last) {
                    return OpOutcome::Refused;
                }
                let quiesced = match &current {
                    // Nobody ever held it, unless what was known is lost.
                    None => !self.reset,
                    Some(lease) => lease.released || (lease.quiesced && lease.holder == act.holder),
                };
                let lease = Lease::claimed(offset, act, quiesced);
                self.leases.insert(act.resource.clone(), lease);
                OpOutcome::Accepted
            }
            (OpKind::Renew { fence }, Some(lease)) => lease.keep(offset, act, fence, false),
            (OpKind::Release { fence }, Some(lease)) => lease.keep(offset, act, fence, true),
            (_, None) => OpOutcome::Refused,
        }
    }
}

impl Lease {
    fn claimed(offset: Offset, act: &LeaseOp, quiesced: bool) -> Self {
        Self {
            holder: act.holder.clone(),
            boot: act.boot,
            fence: offset,
            last: offset,
            nonce: act.nonce,
            released: false,
            quiesced,
        }
    }

    fn keep(&mut self, offset: Offset, act: &LeaseOp, fence: Fence, released: bool) -> OpOutcome {
        if self.fence != fence || self.boot != act.boot || self.released {
            return OpOutcome::Refused;
        }
        self.last = offset;
        self.nonce = act.nonce;
        self.released = released;
        self.quiesced |= act.quiesced;
        OpOutcome::Accepted
    }
}

impl StateMachine for LeaseTable {
    type Output = OpOutcome;
    type Record = LeaseRecord;

    fn next_offset(&self) -> Offset {
        self.next
    }

    fn apply(&mut self, offset: Offset, record: Option<&LeaseRecord>) -> OpOutcome {
        self.next = offset + 1;
        match record {
            Some(LeaseRecord::Op(act)) => self.judge(offset, act),
            Some(LeaseRecord::Reset) => {
                self.leases.clear();
                self.reset = true;
                OpOutcome::Ignored
            }
            Some(LeaseRecord::Snapshot { .. }) | None => OpOutcome::Ignored,
        }
    }

    fn snapshot_in(offset: Offset, record: &LeaseRecord) -> Option<Cow<'_, Self>> {
        match record {
            LeaseRecord::Snapshot { table } => Some(Cow::Borrowed(table)),
            LeaseRecord::Reset => {
                Some(Cow::Owned(Self { next: offset + 1, leases: BTreeMap::new(), reset: true }))
            }
            LeaseRecord::Op(_) => None,
        }
    }
}
