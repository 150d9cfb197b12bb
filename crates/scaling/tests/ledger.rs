//! The orders in the log, as another holder reads them.

use cassia_clients::CapacityOrder;
use cassia_scaling::OrderState;
use cassia_scaling::ScalingLedger;
use cassia_scaling::ScalingRecord;

fn order(count: u32) -> CapacityOrder {
    CapacityOrder { service: "llm".into(), data_centre: "z1".into(), count, spot: false }
}

/// Failure: the holder was killed between the record and the answer.
#[test]
fn an_order_without_an_answer_is_found() {
    let mut ledger = ScalingLedger::default();
    ledger.apply(ScalingRecord::new(1, &order(4), OrderState::Ordered, 7));
    ledger.apply(ScalingRecord::new(1, &order(4), OrderState::Accepted, 7));
    assert_eq!(ledger.unanswered(), None);
    ledger.apply(ScalingRecord::new(ledger.next_number(), &order(6), OrderState::Ordered, 7));
    assert_eq!(ledger.unanswered().map(ScalingRecord::order), Some(order(6)));
    let accepted: Vec<_> = ledger.accepted().map(ScalingRecord::order).collect();
    assert_eq!(accepted, [order(4)], "the last order that was accepted");
}

/// Failure: a holder that lost its lease appends an order with a number that its
/// successor has used.
#[test]
fn the_first_order_with_a_number_counts() {
    let mut ledger = ScalingLedger::default();
    ledger.apply(ScalingRecord::new(1, &order(4), OrderState::Ordered, 8));
    ledger.apply(ScalingRecord::new(1, &order(9), OrderState::Ordered, 7));
    assert_eq!(ledger.unanswered().map(ScalingRecord::order), Some(order(4)));
    assert_eq!(ledger.next_number(), 2);
    ledger.apply(ScalingRecord::new(1, &order(9), OrderState::Accepted, 7));
    let accepted: Vec<_> = ledger.accepted().map(ScalingRecord::order).collect();
    assert_eq!(accepted, [order(4)]);
}

/// Failure: the call had no effect because the engines were not to be had.
#[test]
fn a_refused_order_is_answered_but_not_in_force() {
    let mut ledger = ScalingLedger::default();
    ledger.apply(ScalingRecord::new(1, &order(4), OrderState::Ordered, 7));
    ledger.apply(ScalingRecord::new(1, &order(4), OrderState::Refused, 7));
    assert_eq!(ledger.unanswered(), None);
    assert_eq!(ledger.accepted().count(), 0);
}
