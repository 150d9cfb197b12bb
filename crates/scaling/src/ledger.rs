//! The records of the orders, from which another holder continues.

use std::collections::BTreeMap;

use cassia_clients::CapacityOrder;
use cassia_ids::Fence;
use prost::Message;

/// What is known of an order's outcome.
#[derive(Clone, Copy, Debug, prost::Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum OrderState {
    /// It is about to be sent, or its answer was lost.
    Ordered = 0,
    /// It was accepted.
    Accepted = 1,
    /// It was refused.
    Refused = 2,
}

/// Record of an order, or of the answer to it.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct ScalingRecord {
    /// Number of the order; increases with each order.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// The number of engines of the kind that there are to be.
    #[prost(uint32, tag = "4")]
    pub count: u32,
    /// Whether the order is for spot engines.
    #[prost(bool, tag = "5")]
    pub spot: bool,
    /// What is known of its outcome.
    #[prost(enumeration = "OrderState", tag = "6")]
    pub state: i32,
    /// Fencing token of the host that wrote the record.
    #[prost(uint64, tag = "7")]
    pub fence: Fence,
}

impl ScalingRecord {
    /// Creates the record of an order.
    #[must_use]
    pub fn new(number: u64, order: &CapacityOrder, state: OrderState, fence: Fence) -> Self {
        Self {
            number,
            service: order.service.to_string(),
            data_centre: order.data_centre.to_string(),
            count: order.count,
            spot: order.spot,
            state: state.into(),
            fence,
        }
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> CapacityOrder {
        CapacityOrder {
            service: self.service.as_str().into(),
            data_centre: self.data_centre.as_str().into(),
            count: self.count,
            spot: self.spot,
        }
    }
}

/// The orders so far.
///
/// Of two orders with the same number, the first in the log counts: a holder
/// that lost its lease may have appended the other. So an order is only sent
/// after its record was read back.
#[derive(Debug, Default)]
pub struct ScalingLedger {
    last_number: u64,
    /// The order without an answer.
    unanswered: Option<ScalingRecord>,
    /// The last accepted order, by service, data centre and kind.
    accepted: BTreeMap<(String, String, bool), ScalingRecord>,
}

impl ScalingLedger {
    /// Applies a record, in log order.
    pub fn apply(&mut self, record: ScalingRecord) {
        if record.state() == OrderState::Ordered {
            if record.number > self.last_number {
                self.last_number = record.number;
                self.unanswered = Some(record);
            }
            return;
        }
        let answered = self.unanswered.as_ref().is_some_and(|order| order.number == record.number);
        let Some(order) = self.unanswered.take_if(|_| answered) else { return };
        if record.state() == OrderState::Accepted {
            let key = (order.service.clone(), order.data_centre.clone(), order.spot);
            self.accepted.insert(key, order);
        }
    }

    /// Number of the next order.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.last_number + 1
    }

    /// Returns the order that has no answer; it is repeated before any other.
    #[must_use]
    pub fn unanswered(&self) -> Option<&ScalingRecord> {
        self.unanswered.as_ref()
    }

    /// Iterates over the last accepted order for each kind of engine in each
    /// data centre.
    pub fn accepted(&self) -> impl Iterator<Item = &ScalingRecord> {
        self.accepted.values()
    }
}
