//! The records of the configuration stream.

use std::sync::Arc;

use cassia_contract::Contract;
use cassia_ids::CustomerId;
use cassia_ids::Revision;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Fold;

/// One record of the configuration stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum Record {
    /// An operator publishes, amends or withdraws a contract.
    Publish(Publish),
    /// A process repeats the state, so that it outlives the log's retention.
    Snapshot(Snapshot),
}

/// An operator's change of one customer's contract.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Publish {
    /// Drawn by the operator's program; a retry repeats it.
    pub publish_id: SmolStr,
    /// The customer whose contract changes.
    pub customer: CustomerId,
    /// The revision that the operator saw in force; 0 for none.
    pub amends: Revision,
    /// The new contract; none withdraws the customer's contract.
    pub contract: Option<Arc<Contract>>,
}

/// The whole state before one offset.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// When it was written, in Unix seconds by the writer's clock. It only
    /// tells when the next one is due.
    pub written_at: u64,
    /// The state; its `next` is the first offset that it doesn't include.
    pub fold: Fold,
}

impl Record {
    /// Writes the record as the log keeps it.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a record; none if the text is not a record of this release.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
