//! Followers of a stream with limited retention, whose snapshots were written
//! by slow processes, agree whatever they start from.

mod common;

use cassia_fold::Fold;
use cassia_fold::Record;
use cassia_fold::Snapshot;
use cassia_follow::Follow;
use cassia_follow::NextRead;
use cassia_follow::Replayed;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::common::publish;

/// A step of a history: a publish that amends the revision in force, one that
/// amends an old one, or a snapshot of the state of some records ago.
#[derive(Clone, Copy, Debug)]
enum Step {
    Publish(u32),
    Beaten,
    Snapshot { lag: usize },
}

/// The records of a history, and the state before each of them and after all.
fn write(steps: &[Step]) -> (Vec<Record>, Vec<Fold>) {
    let mut records = Vec::new();
    let mut states = vec![Fold::default()];
    for (i, step) in (0_u64..).zip(steps) {
        let now = states.last().cloned().unwrap_or_default();
        let revision = now.in_force("x").map_or(0, |f| f.revision);
        let publish = |amends, share| publish(&format!("p{i}"), "x", amends, share);
        let record = match *step {
            Step::Publish(share) => publish(revision, share),
            Step::Beaten => publish(revision + 1_000, 99),
            Step::Snapshot { lag } => {
                let at = states.len().saturating_sub(1 + lag);
                Record::Snapshot(Snapshot { written_at: 0, fold: states[at].clone() })
            }
        };
        let mut next = now;
        next.apply(i, Some(&record));
        records.push(record);
        states.push(next);
    }
    (records, states)
}

/// Reads as the configuration controller does, from a log that keeps records
/// from `first` on, until nothing is new.
fn follow(follow: &mut Follow<Fold>, records: &[Record], first: u64, page: usize) {
    loop {
        let before = (follow.next_read(), follow.state().next());
        let from = follow.next_read().offset().max(first);
        follow.bounds(first, records.len() as u64);
        let start = usize::try_from(from).unwrap_or(usize::MAX).min(records.len());
        for (offset, record) in (from..).zip(&records[start..]).take(page) {
            follow.take(first, offset, Some(record));
        }
        if (follow.next_read(), follow.state().next()) == before {
            return;
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..=100_u32).prop_map(Step::Publish),
        1 => Just(Step::Beaten),
        2 => (0..6_usize).prop_map(|lag| Step::Snapshot { lag }),
    ];
    proptest::collection::vec(step, 1..24)
}

fn check(steps: &[Step], seen: usize, first: u64, page: usize) {
    let (records, states) = write(steps);
    let first = first.min(records.len() as u64);
    let last = &states[records.len()];
    // One that has followed for a while already, then lost sight of the log.
    let mut reader = Follow::default();
    follow(&mut reader, &records[..seen.min(records.len())], 0, page);
    let had = reader.state().clone();
    follow(&mut reader, &records, first, page);
    assert!(reader.state().next() >= had.next(), "a follower went back");
    let next = usize::try_from(reader.state().next()).unwrap_or(usize::MAX);
    assert_eq!(reader.state(), &states[next], "equal `next`, different states");
    match reader.next_read() {
        NextRead::From(_) => assert_eq!(reader.state(), last, "not caught up"),
        // Whether it had to be stranded: nothing in the log bridges the gap.
        NextRead::Stranded(_) => {
            assert!(had.next() < first);
            let bridges = records
                .iter()
                .skip(usize::try_from(first).unwrap_or(0))
                .any(|r| matches!(r, Record::Snapshot(s) if s.fold.next() >= first));
            assert!(!bridges, "stranded before a snapshot that bridges");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn followers_agree_and_never_go_back(
        steps in steps(),
        seen in 0..24_usize,
        first in 0..24_u64,
        page in 1..5_usize,
    ) {
        check(&steps, seen, first, page);
    }
}

#[test]
fn all_short_histories_hold() {
    let kinds =
        [Step::Publish(1), Step::Beaten, Step::Snapshot { lag: 0 }, Step::Snapshot { lag: 2 }];
    for length in 1..=5_u32 {
        for code in 0..kinds.len().pow(length) {
            let digit = |i| kinds[code / kinds.len().pow(i) % kinds.len()];
            let steps: Vec<_> = (0..length).map(digit).collect();
            for seen in 0..=steps.len() {
                for first in 0..=u64::from(length) {
                    check(&steps, seen, first, 2);
                }
            }
        }
    }
}

#[test]
fn a_snapshot_that_is_always_taken_over_would_undo_a_change() {
    // The naive way on a snapshot that a slow process wrote: the change
    // between reverts. The chosen way keeps it.
    let (records, states) = write(&[Step::Publish(1), Step::Publish(2), Step::Snapshot { lag: 1 }]);
    let Record::Snapshot(snapshot) = &records[2] else { panic!("a snapshot was written") };
    assert_ne!(snapshot.fold.in_force("x"), states[2].in_force("x"));
    let mut reader = Follow::default();
    follow(&mut reader, &records, 0, 10);
    assert_eq!(reader.state().in_force("x"), states[2].in_force("x"));
}

#[test]
fn a_peer_that_lags_changes_nothing_and_one_ahead_helps_out_of_a_gap() {
    let (records, states) = write(&[Step::Publish(1), Step::Publish(2), Step::Publish(3)]);
    let mut reader = Follow::default();
    follow(&mut reader, &records, 2, 10);
    assert!(reader.is_stranded());
    assert!(reader.install(&states[2]));
    assert!(!reader.install(&states[1]));
    follow(&mut reader, &records, 2, 10);
    assert_eq!(reader.state(), &states[3]);
}
