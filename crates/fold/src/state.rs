//! The contracts in force, as of one offset of the stream.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use cassia_contract::Contract;
use cassia_contract::check;
use cassia_follow::Replayed;
use cassia_ids::CustomerId;
use cassia_ids::Offset;
use cassia_ids::Revision;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Publish;
use crate::Record;

/// How many accepted publish ids are kept a customer, to answer retries.
const KEPT_PUBLISH_IDS: usize = 8;
/// How many refused publish ids are kept in all.
const KEPT_REFUSED_IDS: usize = 64;
/// The sum of all customers' shares, in percent.
const WHOLE_PERCENT: u32 = 100;

/// The state that the records before `next` lead to.
///
/// Invariant: two folds with the same `next` are equal, whichever mixture of
/// records, snapshots and peers' states they were built from.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Fold {
    next: Offset,
    customers: BTreeMap<CustomerId, InForce>,
    /// The last refused publish ids, oldest first: an operator that was told
    /// of a refusal must not find the change in force later.
    refused: VecDeque<SmolStr>,
}

/// What is in force for one customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InForce {
    /// One more than the offset of the record that put it in force.
    pub revision: Revision,
    /// The contract; none after a withdrawal.
    pub contract: Option<Arc<Contract>>,
    /// The last accepted changes, oldest first.
    accepted: VecDeque<Accepted>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Accepted {
    publish_id: SmolStr,
    revision: Revision,
}

/// What became of one record.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The change is in force.
    InForce {
        /// The change's revision.
        revision: Revision,
    },
    /// The same publish was accepted before; it counts once.
    Repeated {
        /// The revision under which it was accepted.
        revision: Revision,
    },
    /// The change was refused, by every process alike.
    Refused(Refusal),
    /// A snapshot, or a record that this release can't read.
    Passed,
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// Another change came first.
    BeatenBy {
        /// The revision that was in force instead.
        revision: Revision,
    },
    /// The same publish was refused before.
    Before,
    /// The contract fails its checks.
    Faulty {
        /// The faults, in one line.
        faults: String,
    },
    /// The customers' shares would exceed the whole.
    SharesExceed {
        /// The sum, in percent.
        percent: u32,
    },
}

impl Replayed for Fold {
    type Applied = Applied;
    type Record = Record;

    fn next(&self) -> Offset {
        self.next
    }

    fn apply(&mut self, offset: Offset, record: Option<&Record>) -> Applied {
        self.next = offset + 1;
        match record {
            Some(Record::Publish(publish)) => self.publish(offset, publish),
            Some(Record::Snapshot(_)) | None => Applied::Passed,
        }
    }

    fn snapshot_in(_: Offset, record: &Record) -> Option<Cow<'_, Self>> {
        match record {
            Record::Snapshot(snapshot) => Some(Cow::Borrowed(&snapshot.fold)),
            Record::Publish(_) => None,
        }
    }
}

impl Fold {
    /// Finds what is in force for a customer.
    #[must_use]
    pub fn in_force(&self, customer: &str) -> Option<&InForce> {
        self.customers.get(customer)
    }

    /// Lists the contracts in force.
    pub fn contracts(&self) -> impl Iterator<Item = (&CustomerId, Revision, &Arc<Contract>)> {
        self.customers.iter().filter_map(|(id, f)| f.contract.as_ref().map(|c| (id, f.revision, c)))
    }

    /// Finds the revision under which a publish was accepted.
    #[must_use]
    pub fn accepted(&self, customer: &str, publish_id: &str) -> Option<Revision> {
        let entry = self.customers.get(customer)?;
        entry.accepted.iter().find(|a| a.publish_id == publish_id).map(|a| a.revision)
    }

    fn publish(&mut self, offset: Offset, publish: &Publish) -> Applied {
        if let Some(revision) = self.accepted(&publish.customer, &publish.publish_id) {
            return Applied::Repeated { revision };
        }
        if let Some(refusal) = self.refuse(publish) {
            self.refused.push_back(publish.publish_id.clone());
            if self.refused.len() > KEPT_REFUSED_IDS {
                self.refused.pop_front();
            }
            return Applied::Refused(refusal);
        }
        let entry = self.customers.entry(publish.customer.clone()).or_insert(InForce {
            revision: 0,
            contract: None,
            accepted: VecDeque::new(),
        });
        // Counted from 1, since an operator writes 0 for "none in force".
        let revision = offset + 1;
        entry.revision = revision;
        entry.contract.clone_from(&publish.contract);
        entry.accepted.push_back(Accepted { publish_id: publish.publish_id.clone(), revision });
        if entry.accepted.len() > KEPT_PUBLISH_IDS {
            entry.accepted.pop_front();
        }
        Applied::InForce { revision }
    }

    fn refuse(&self, publish: &Publish) -> Option<Refusal> {
        if self.refused.contains(&publish.publish_id) {
            return Some(Refusal::Before);
        }
        let revision = self.customers.get(&publish.customer).map_or(0, |f| f.revision);
        if publish.amends != revision {
            return Some(Refusal::BeatenBy { revision });
        }
        let contract = publish.contract.as_ref()?;
        let faults = faults_of(publish, contract);
        if !faults.is_empty() {
            return Some(Refusal::Faulty { faults: faults.join("; ") });
        }
        let others: u32 = self
            .contracts()
            .filter(|(id, ..)| **id != publish.customer)
            .map(|(.., c)| c.share_percent)
            .sum();
        let percent = others + contract.share_percent;
        (percent > WHOLE_PERCENT).then_some(Refusal::SharesExceed { percent })
    }
}

fn faults_of(publish: &Publish, contract: &Contract) -> Vec<String> {
    let mut faults: Vec<String> = check(contract).iter().map(ToString::to_string).collect();
    if contract.customer != publish.customer {
        faults.push(format!("customer is {}; accepted: {}", contract.customer, publish.customer));
    }
    faults
}
