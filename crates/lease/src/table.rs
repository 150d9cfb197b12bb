//! The table of leases, built from the records of the lease stream.

use std::borrow::Cow;
use std::collections::BTreeMap;

use cassia_ids::BootId;
use cassia_ids::Fence;
use cassia_ids::HostId;
use cassia_ids::Offset;
use cassia_replica::StateMachine;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// One record of the lease stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum LeaseRecord {
    /// A process operates on a lease.
    #[serde(rename = "act")]
    Op(LeaseOp),
    /// A copy of the table, written so that it outlives retention.
    Snapshot {
        /// The table.
        table: LeaseTable,
    },
    /// Ends all leases, for every process alike, because earlier records are
    /// lost to retention for some processes.
    Reset,
}

/// An operation of a process on a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseOp {
    /// The lease's name.
    pub resource: SmolStr,
    /// The host of the process.
    pub holder: HostId,
    /// The boot id of the process.
    pub boot: BootId,
    /// Sequence number among the process's operations, by which it recognises
    /// its own.
    pub nonce: u64,
    /// The kind of operation.
    #[serde(rename = "verb")]
    pub kind: OpKind,
    /// On a renewal: the holder has waited for a quiet period, so no process
    /// on another host can have acted on the lease recently.
    #[serde(default, rename = "clear", skip_serializing_if = "std::ops::Not::not")]
    pub quiesced: bool,
    /// On a renewal: the holder hands the lease over and acts no more. A process
    /// of another host must wait this long before it acts, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
}

/// The kinds of operations.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OpKind {
    /// Claims the lease.
    Claim {
        /// Offset of the last accepted record of the lease that the claimer
        /// saw, if any. The claim is refused if a later one was accepted.
        supersedes: Option<Offset>,
    },
    /// Renews the lease.
    Renew {
        /// The holder's fencing token.
        fence: Fence,
    },
    /// Releases the lease immediately.
    Release {
        /// The holder's fencing token.
        fence: Fence,
    },
}

/// A lease.
#[expect(clippy::struct_excessive_bools, reason = "each is a field of the stored table")]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Lease {
    /// The holder's host.
    pub holder: HostId,
    /// The holder's boot id.
    pub boot: BootId,
    /// The offset of the accepted claim.
    pub fence: Fence,
    /// The offset of the last accepted record.
    pub last: Offset,
    /// The nonce of the last accepted record.
    pub nonce: u64,
    /// Whether the holder released it.
    pub released: bool,
    /// Whether no process on another host can have acted on it recently: the
    /// previous holder released it, or this one has waited for a quiet period.
    #[serde(default, rename = "clear")]
    pub quiesced: bool,
    /// How long a holder on another host than the previous one must wait before
    /// it acts, in milliseconds, if the previous one handed the lease over. While
    /// that one is still listed as the holder, the lease is free.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
    /// Whether the listed holder has handed the lease over.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub handed_over: bool,
    /// Whether the listed holder took it over from an earlier process of its host. What that
    /// one did, or had stated that others must wait, is not known to this one.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub inherited: bool,
}

/// The outcome of applying a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpOutcome {
    /// The operation was accepted.
    Accepted,
    /// The operation came too late, or its sender is not the holder.
    Refused,
    /// The record is not an operation.
    Ignored,
}

/// All leases, as of an offset.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LeaseTable {
    next: Offset,
    leases: BTreeMap<SmolStr, Lease>,
    /// Whether leases were ended because earlier records are lost.
    #[serde(default)]
    reset: bool,
}

impl LeaseTable {
    /// Returns the lease with this name.
    #[must_use]
    pub fn get(&self, resource: &str) -> Option<&Lease> {
        self.leases.get(resource)
    }

    fn apply_op(&mut self, offset: Offset, op: &LeaseOp) -> OpOutcome {
        let current = self.leases.get_mut(&op.resource);
        match (op.kind, current) {
            (OpKind::Claim { supersedes }, current) => {
                if supersedes != current.as_ref().map(|l| l.last) {
                    return OpOutcome::Refused;
                }
                let inherited = current
                    .as_ref()
                    .is_some_and(|lease| !lease.released && lease.holder == op.holder);
                let (quiesced, wait_ms) = match &current {
                    // No record means no earlier holder, unless records are
                    // lost.
                    None => (!self.reset, None),
                    Some(lease) if lease.released => (true, None),
                    Some(lease) if lease.quiesced && lease.holder == op.holder => (true, None),
                    Some(lease) if lease.handed_over => (false, lease.wait_ms),
                    Some(_) => (false, None),
                };
                let lease = Lease { quiesced, wait_ms, inherited, ..Lease::from_claim(offset, op) };
                self.leases.insert(op.resource.clone(), lease);
                OpOutcome::Accepted
            }
            (OpKind::Renew { fence }, Some(lease)) => lease.update(offset, op, fence, false),
            (OpKind::Release { fence }, Some(lease)) => lease.update(offset, op, fence, true),
            (_, None) => OpOutcome::Refused,
        }
    }
}

impl Lease {
    /// Returns whether the listed holder may still act on the lease.
    pub(crate) fn is_held(&self) -> bool {
        !self.released && !self.handed_over
    }

    fn from_claim(offset: Offset, op: &LeaseOp) -> Self {
        Self {
            holder: op.holder.clone(),
            boot: op.boot,
            fence: offset,
            last: offset,
            nonce: op.nonce,
            released: false,
            quiesced: false,
            wait_ms: None,
            handed_over: false,
            inherited: false,
        }
    }

    fn update(&mut self, offset: Offset, op: &LeaseOp, fence: Fence, released: bool) -> OpOutcome {
        if self.fence != fence || self.boot != op.boot || !self.is_held() {
            return OpOutcome::Refused;
        }
        self.last = offset;
        self.nonce = op.nonce;
        self.released = released;
        self.quiesced |= op.quiesced;
        if op.wait_ms.is_some() {
            self.wait_ms = op.wait_ms;
            self.handed_over = true;
        }
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
            Some(LeaseRecord::Op(op)) => self.apply_op(offset, op),
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
