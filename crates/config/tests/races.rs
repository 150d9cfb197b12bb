//! Outcomes of concurrent publishes, retries and refusals.

mod common;

use cassia_config::Applied;
use cassia_config::ConfigRecord;
use cassia_config::ContractTable;
use cassia_config::Publish;
use cassia_config::Refusal;
use cassia_replica::StateMachine;
use rstest::rstest;

use crate::common::publish;

fn apply_all(records: &[ConfigRecord]) -> (ContractTable, Vec<Applied>) {
    let mut table = ContractTable::default();
    let applied = (0..).zip(records).map(|(offset, r)| table.apply(offset, Some(r))).collect();
    (table, applied)
}

fn share(table: &ContractTable, customer: &str) -> Option<u32> {
    table.get(customer)?.contract.as_ref().map(|c| c.share_percent)
}

#[test]
fn the_first_of_two_concurrent_amendments_wins() {
    let (table, applied) =
        apply_all(&[publish("a", "x", 0, 10), publish("b", "x", 1, 20), publish("c", "x", 1, 30)]);
    assert_eq!(applied[1], Applied::Accepted { revision: 2 });
    assert_eq!(applied[2], Applied::Refused(Refusal::RevisionConflict { revision: 2 }));
    assert_eq!(share(&table, "x"), Some(20));
}

#[test]
fn one_of_two_concurrent_first_publishes_wins_even_at_offset_zero() {
    let (_, applied) = apply_all(&[publish("a", "x", 0, 10), publish("b", "x", 0, 20)]);
    assert_eq!(applied[0], Applied::Accepted { revision: 1 });
    assert_eq!(applied[1], Applied::Refused(Refusal::RevisionConflict { revision: 1 }));
}

#[test]
fn without_the_base_revision_a_later_publish_would_silently_undo_an_earlier_one() {
    // The naive rule, last writer wins, on the same history: the operator who
    // published 20 is not notified that 30 is in force.
    let history = [publish("a", "x", 0, 10), publish("b", "x", 1, 20), publish("c", "x", 1, 30)];
    let last = history.iter().rev().find_map(|r| match r {
        ConfigRecord::Publish(p) => p.contract.as_ref().map(|c| c.share_percent),
        ConfigRecord::Snapshot(_) => None,
    });
    assert_eq!(last, Some(30));
    assert_eq!(share(&apply_all(&history).0, "x"), Some(20));
}

#[test]
fn a_publish_retried_after_a_lost_response_is_applied_once() {
    let (table, applied) = apply_all(&[publish("a", "x", 0, 10), publish("a", "x", 0, 10)]);
    assert_eq!(applied[1], Applied::Duplicate { revision: 1 });
    assert_eq!(table.get("x").map(|f| f.revision), Some(1));
}

#[test]
fn a_late_retry_does_not_undo_later_changes() {
    let (table, applied) =
        apply_all(&[publish("a", "x", 0, 10), publish("b", "x", 1, 20), publish("a", "x", 0, 10)]);
    assert_eq!(applied[2], Applied::Duplicate { revision: 1 });
    assert_eq!(share(&table, "x"), Some(20));
}

#[test]
fn a_retry_whose_id_is_no_longer_kept_is_refused_and_not_applied() {
    let mut records = vec![publish("p0", "x", 0, 1)];
    records.extend((1..=20).map(|n| publish(&format!("p{n}"), "x", n, 1)));
    records.push(publish("p0", "x", 0, 50));
    let (table, applied) = apply_all(&records);
    assert_eq!(applied[21], Applied::Refused(Refusal::RevisionConflict { revision: 21 }));
    assert_eq!(share(&table, "x"), Some(1));
}

#[rstest]
#[case::too_much(60, Some(Refusal::SharesExceeded { percent: 110 }))]
#[case::just_enough(50, None)]
fn the_sum_of_shares_is_limited(#[case] second: u32, #[case] refusal: Option<Refusal>) {
    let (_, applied) = apply_all(&[publish("a", "x", 0, 50), publish("b", "y", 0, second)]);
    match refusal {
        Some(refusal) => assert_eq!(applied[1], Applied::Refused(refusal)),
        None => assert_eq!(applied[1], Applied::Accepted { revision: 2 }),
    }
}

#[test]
fn a_refused_publish_stays_refused_when_an_earlier_append_arrives_late() {
    let (_, applied) = apply_all(&[
        publish("a", "x", 0, 60),
        publish("b", "y", 0, 60),
        publish("c", "x", 1, 10),
        // The operator was informed that b is refused; this is the first
        // append of b, which was delayed.
        publish("b", "y", 0, 60),
    ]);
    assert_eq!(applied[1], Applied::Refused(Refusal::SharesExceeded { percent: 120 }));
    assert_eq!(applied[3], Applied::Refused(Refusal::AlreadyRefused));
}

#[test]
fn an_invalid_contract_is_refused_when_applied() {
    let (table, applied) = apply_all(&[publish("a", "x", 0, 0)]);
    assert!(matches!(&applied[0], Applied::Refused(Refusal::Invalid { faults })
        if faults.contains("share_percent")));
    assert!(table.get("x").is_none());
}

#[test]
fn revisions_continue_after_a_withdrawal() {
    let withdrawal = ConfigRecord::Publish(Publish {
        publish_id: "w".into(),
        customer: "x".into(),
        base_revision: 1,
        contract: None,
    });
    // A retry of the first publish must not bring the contract back.
    let (table, applied) = apply_all(&[
        publish("a", "x", 0, 10),
        withdrawal,
        publish("late", "x", 0, 10),
        publish("b", "x", 2, 20),
    ]);
    assert_eq!(applied[2], Applied::Refused(Refusal::RevisionConflict { revision: 2 }));
    assert_eq!(share(&table, "x"), Some(20));
}

#[test]
fn an_undecodable_record_is_skipped() {
    let mut table = ContractTable::default();
    assert_eq!(table.apply(0, ConfigRecord::decode("not a record").as_ref()), Applied::Skipped);
    assert_eq!(table.next_offset(), 1);
}

#[rstest]
#[case(Refusal::RevisionConflict { revision: 7 }, "BeatenBy { revision: 7 }")]
#[case(Refusal::AlreadyRefused, "Before")]
#[case(Refusal::Invalid { faults: "a \"b\"".to_owned() }, r#"Faulty { faults: "a \"b\"" }"#)]
#[case(Refusal::SharesExceeded { percent: 110 }, "SharesExceed { percent: 110 }")]
fn the_logged_text_of_a_refusal_is_stable(#[case] refusal: Refusal, #[case] expected: &str) {
    assert_eq!(refusal.to_string(), expected);
}
