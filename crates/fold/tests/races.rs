//! Operators that race, retries, and refusals: what the fold makes of them.

mod common;

use cassia_fold::Applied;
use cassia_fold::Fold;
use cassia_fold::Publish;
use cassia_fold::Record;
use cassia_fold::Refusal;
use cassia_follow::Replayed;
use rstest::rstest;

use crate::common::publish;

fn fold(records: &[Record]) -> (Fold, Vec<Applied>) {
    let mut fold = Fold::default();
    let applied = (0..).zip(records).map(|(offset, r)| fold.apply(offset, Some(r))).collect();
    (fold, applied)
}

fn share(fold: &Fold, customer: &str) -> Option<u32> {
    fold.in_force(customer)?.contract.as_ref().map(|c| c.share_percent)
}

#[test]
fn of_two_racing_amendments_the_first_in_the_log_wins() {
    let (fold, applied) =
        fold(&[publish("a", "x", 0, 10), publish("b", "x", 1, 20), publish("c", "x", 1, 30)]);
    assert_eq!(applied[1], Applied::InForce { revision: 2 });
    assert_eq!(applied[2], Applied::Refused(Refusal::BeatenBy { revision: 2 }));
    assert_eq!(share(&fold, "x"), Some(20));
}

#[test]
fn of_two_racing_first_publishes_one_wins_also_at_the_very_first_offset() {
    let (_, applied) = fold(&[publish("a", "x", 0, 10), publish("b", "x", 0, 20)]);
    assert_eq!(applied[0], Applied::InForce { revision: 1 });
    assert_eq!(applied[1], Applied::Refused(Refusal::BeatenBy { revision: 1 }));
}

#[test]
fn without_the_named_revision_the_later_operator_would_undo_the_earlier_unseen() {
    // The naive way, last writer wins, on the same history: the operator who
    // wrote 20 is told nothing and finds 30 in force.
    let history = [publish("a", "x", 0, 10), publish("b", "x", 1, 20), publish("c", "x", 1, 30)];
    let last = history.iter().rev().find_map(|r| match r {
        Record::Publish(p) => p.contract.as_ref().map(|c| c.share_percent),
        Record::Snapshot(_) => None,
    });
    assert_eq!(last, Some(30));
    assert_eq!(share(&fold(&history).0, "x"), Some(20));
}

#[test]
fn a_publish_whose_answer_was_lost_counts_once() {
    let (fold, applied) = fold(&[publish("a", "x", 0, 10), publish("a", "x", 0, 10)]);
    assert_eq!(applied[1], Applied::Repeated { revision: 1 });
    assert_eq!(fold.in_force("x").map(|f| f.revision), Some(1));
}

#[test]
fn a_late_retry_does_not_undo_what_came_after_it() {
    let (fold, applied) =
        fold(&[publish("a", "x", 0, 10), publish("b", "x", 1, 20), publish("a", "x", 0, 10)]);
    assert_eq!(applied[2], Applied::Repeated { revision: 1 });
    assert_eq!(share(&fold, "x"), Some(20));
}

#[test]
fn a_retry_that_is_no_longer_remembered_is_refused_and_not_applied() {
    let mut records = vec![publish("p0", "x", 0, 1)];
    records.extend((1..=20).map(|n| publish(&format!("p{n}"), "x", n, 1)));
    records.push(publish("p0", "x", 0, 50));
    let (fold, applied) = fold(&records);
    assert_eq!(applied[21], Applied::Refused(Refusal::BeatenBy { revision: 21 }));
    assert_eq!(share(&fold, "x"), Some(1));
}

#[rstest]
#[case::too_much(60, Some(Refusal::SharesExceed { percent: 110 }))]
#[case::just_enough(50, None)]
fn shares_never_exceed_the_whole(#[case] second: u32, #[case] refusal: Option<Refusal>) {
    let (_, applied) = fold(&[publish("a", "x", 0, 50), publish("b", "y", 0, second)]);
    match refusal {
        Some(refusal) => assert_eq!(applied[1], Applied::Refused(refusal)),
        None => assert_eq!(applied[1], Applied::InForce { revision: 2 }),
    }
}

#[test]
fn a_publish_that_was_refused_stays_refused_when_its_first_record_arrives_late() {
    let (_, applied) = fold(&[
        publish("a", "x", 0, 60),
        publish("b", "y", 0, 60),
        publish("c", "x", 1, 10),
        // The operator was told that b is refused; this is b's first append,
        // which was held up on its way.
        publish("b", "y", 0, 60),
    ]);
    assert_eq!(applied[1], Applied::Refused(Refusal::SharesExceed { percent: 120 }));
    assert_eq!(applied[3], Applied::Refused(Refusal::Before));
}

#[test]
fn a_faulty_contract_is_refused_by_the_fold_as_by_the_operators_program() {
    let (fold, applied) = fold(&[publish("a", "x", 0, 0)]);
    assert!(matches!(&applied[0], Applied::Refused(Refusal::Faulty { faults })
        if faults.contains("share_percent")));
    assert!(fold.in_force("x").is_none());
}

#[test]
fn after_a_withdrawal_the_revision_goes_on() {
    let withdrawal = Record::Publish(Publish {
        publish_id: "w".into(),
        customer: "x".into(),
        amends: 1,
        contract: None,
    });
    // A retry of the first publish must not bring the contract back.
    let (fold, applied) = fold(&[
        publish("a", "x", 0, 10),
        withdrawal,
        publish("late", "x", 0, 10),
        publish("b", "x", 2, 20),
    ]);
    assert_eq!(applied[2], Applied::Refused(Refusal::BeatenBy { revision: 2 }));
    assert_eq!(share(&fold, "x"), Some(20));
}

#[test]
fn an_unreadable_record_is_passed_over_by_all_alike() {
    let mut fold = Fold::default();
    assert_eq!(fold.apply(0, Record::decode("not a record").as_ref()), Applied::Passed);
    assert_eq!(fold.next(), 1);
}
