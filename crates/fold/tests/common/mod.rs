//! What the fold's tests share.

use std::sync::Arc;

use cassia_contract::Contract;
use cassia_contract::FORMAT;
use cassia_contract::LotSize;
use cassia_fold::Publish;
use cassia_fold::Record;

/// A publish of a contract with a share.
pub fn publish(id: &str, customer: &str, amends: u64, share_percent: u32) -> Record {
    let contract = Contract {
        format: FORMAT,
        customer: customer.into(),
        key_hashes: Vec::new(),
        share_percent,
        priority: 1,
        staleness_bound: 2,
        idle_weight_percent: 50,
        lot: LotSize { groups: 1, group_size: 1 },
        routes: Vec::new(),
        trainers: Vec::new(),
    };
    Record::Publish(Publish {
        publish_id: id.into(),
        customer: customer.into(),
        amends,
        contract: Some(Arc::new(contract)),
    })
}
