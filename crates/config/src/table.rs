//! The contracts in force as of an offset of the configuration stream.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use cassia_contract::Contract;
use cassia_contract::check;
use cassia_ids::CustomerId;
use cassia_ids::Offset;
use cassia_ids::Revision;
use cassia_replica::StateMachine;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ConfigRecord;
use crate::Publish;

/// Number of accepted publish ids kept per customer, to recognise retries.
const MAX_ACCEPTED_IDS: usize = 8;
/// Number of refused publish ids kept, over all customers.
const MAX_REFUSED_IDS: usize = 64;
/// Limit on the sum of all customers' shares.
const MAX_SHARES_PERCENT: u32 = 100;

/// The contracts in force after the records before `next`.
///
/// Invariant: two tables with the same `next` are equal, whichever mixture of
/// records, snapshots and peers' states they were built from.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ContractTable {
    next: Offset,
    customers: BTreeMap<CustomerId, ContractEntry>,
    /// The last refused publish ids, oldest first. A change that was reported
    /// to its operator as refused must not come into force later.
    refused: VecDeque<SmolStr>,
}

/// The contract in force for a customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ContractEntry {
    /// One more than the offset of the record that set this contract.
    pub revision: Revision,
    /// The contract; `None` after a withdrawal.
    pub contract: Option<Arc<Contract>>,
    /// The last accepted publishes, oldest first.
    accepted: VecDeque<AcceptedPublish>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct AcceptedPublish {
    publish_id: SmolStr,
    revision: Revision,
}

/// Effect of applying a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The change is in force.
    Accepted {
        /// The change's revision.
        revision: Revision,
    },
    /// The same publish was accepted before and is not applied again.
    Duplicate {
        /// The revision under which it was accepted.
        revision: Revision,
    },
    /// The change was refused; every process refuses it alike.
    Refused(Refusal),
    /// Nothing changed: the record is a snapshot, or this release can't decode
    /// it.
    Skipped,
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// The change is not based on the revision in force.
    RevisionConflict {
        /// The revision in force.
        revision: Revision,
    },
    /// The same publish was refused before.
    AlreadyRefused,
    /// The contract fails its checks.
    Invalid {
        /// All faults, in one line.
        faults: String,
    },
    /// The sum of all customers' shares would exceed its limit.
    SharesExceeded {
        /// The sum, in percent.
        percent: u32,
    },
}

/// Writes the text that appears in logs, which doesn't follow the names of the
/// variants.
impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RevisionConflict { revision } => {
                f.debug_struct("BeatenBy").field("revision", revision).finish()
            }
            Self::AlreadyRefused => f.write_str("Before"),
            Self::Invalid { faults } => f.debug_struct("Faulty").field("faults", faults).finish(),
            Self::SharesExceeded { percent } => {
                f.debug_struct("SharesExceed").field("percent", percent).finish()
            }
        }
    }
}

impl StateMachine for ContractTable {
    type Output = Applied;
    type Record = ConfigRecord;

    fn next_offset(&self) -> Offset {
        self.next
    }

    fn apply(&mut self, offset: Offset, record: Option<&ConfigRecord>) -> Applied {
        self.next = offset + 1;
        match record {
            Some(ConfigRecord::Publish(publish)) => self.publish(offset, publish),
            Some(ConfigRecord::Snapshot(_)) | None => Applied::Skipped,
        }
    }

    fn snapshot_in(_: Offset, record: &ConfigRecord) -> Option<Cow<'_, Self>> {
        match record {
            ConfigRecord::Snapshot(snapshot) => Some(Cow::Borrowed(&snapshot.table)),
            ConfigRecord::Publish(_) => None,
        }
    }
}

impl ContractTable {
    /// Returns the contract entry of a customer.
    #[must_use]
    pub fn get(&self, customer: &str) -> Option<&ContractEntry> {
        self.customers.get(customer)
    }

    /// Iterates over the contracts in force.
    pub fn contracts(&self) -> impl Iterator<Item = (&CustomerId, Revision, &Arc<Contract>)> {
        self.customers.iter().filter_map(|(id, e)| e.contract.as_ref().map(|c| (id, e.revision, c)))
    }

    /// Returns the revision under which a publish was accepted.
    #[must_use]
    pub fn accepted_revision(&self, customer: &str, publish_id: &str) -> Option<Revision> {
        let entry = self.customers.get(customer)?;
        entry.accepted.iter().find(|a| a.publish_id == publish_id).map(|a| a.revision)
    }

    fn publish(&mut self, offset: Offset, publish: &Publish) -> Applied {
        if let Some(revision) = self.accepted_revision(&publish.customer, &publish.publish_id) {
            return Applied::Duplicate { revision };
        }
        if let Some(refusal) = self.check_publish(publish) {
            self.refused.push_back(publish.publish_id.clone());
            if self.refused.len() > MAX_REFUSED_IDS {
                self.refused.pop_front();
            }
            return Applied::Refused(refusal);
        }
        let entry = self.customers.entry(publish.customer.clone()).or_insert(ContractEntry {
            revision: 0,
            contract: None,
            accepted: VecDeque::new(),
        });
        // Revisions start at 1: a base revision of 0 stands for none in force.
        let revision = offset + 1;
        entry.revision = revision;
        entry.contract.clone_from(&publish.contract);
        entry
            .accepted
            .push_back(AcceptedPublish { publish_id: publish.publish_id.clone(), revision });
        if entry.accepted.len() > MAX_ACCEPTED_IDS {
            entry.accepted.pop_front();
        }
        Applied::Accepted { revision }
    }

    /// Returns why a change must be refused, or `None` if it is acceptable.
    fn check_publish(&self, publish: &Publish) -> Option<Refusal> {
        if self.refused.contains(&publish.publish_id) {
            return Some(Refusal::AlreadyRefused);
        }
        let revision = self.customers.get(&publish.customer).map_or(0, |e| e.revision);
        if publish.base_revision != revision {
            return Some(Refusal::RevisionConflict { revision });
        }
        let contract = publish.contract.as_ref()?;
        let faults = find_faults(publish, contract);
        if !faults.is_empty() {
            return Some(Refusal::Invalid { faults: faults.join("; ") });
        }
        let others: u32 = self
            .contracts()
            .filter(|(id, ..)| **id != publish.customer)
            .map(|(.., c)| c.share_percent)
            .sum();
        let percent = others + contract.share_percent;
        (percent > MAX_SHARES_PERCENT).then_some(Refusal::SharesExceeded { percent })
    }
}

fn find_faults(publish: &Publish, contract: &Contract) -> Vec<String> {
    let mut faults: Vec<String> = check(contract).iter().map(ToString::to_string).collect();
    if contract.customer != publish.customer {
        faults.push(format!("customer is {}; accepted: {}", contract.customer, publish.customer));
    }
    faults
}
