//! Helpers shared by the tests.

use std::sync::Arc;

use cassia_config::ConfigRecord;
use cassia_config::Publish;
use cassia_contract::Contract;
use cassia_contract::FORMAT;
use cassia_contract::LotSize;

/// Returns a record that publishes a contract with the given share.
pub fn publish(id: &str, customer: &str, base_revision: u64, share_percent: u32) -> ConfigRecord {
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
    ConfigRecord::Publish(Publish {
        publish_id: id.into(),
        customer: customer.into(),
        base_revision,
        contract: Some(Arc::new(contract)),
    })
}
