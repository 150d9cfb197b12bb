//! Replicas of a stream with limited retention agree whatever they start from,
//! even if slow processes wrote the snapshots.

mod common;

use cassia_config::ConfigRecord;
use cassia_config::ContractTable;
use cassia_config::Snapshot;
use cassia_replica::NextRead;
use cassia_replica::Replica;
use cassia_replica::StateMachine;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::common::publish;

/// A step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A publish with this share, based on the revision in force.
    Publish(u32),
    /// A publish based on a wrong revision, which is refused.
    Conflict,
    /// A snapshot of the state before the last `lag` records.
    Snapshot { lag: usize },
}

/// Returns the records of a history, and the states before each record and
/// after the last.
fn build_history(steps: &[Step]) -> (Vec<ConfigRecord>, Vec<ContractTable>) {
    let mut records = Vec::new();
    let mut states = vec![ContractTable::default()];
    for (i, step) in (0_u64..).zip(steps) {
        let mut state = states.last().cloned().unwrap_or_default();
        let revision = state.get("x").map_or(0, |entry| entry.revision);
        let publish = |base, share| publish(&format!("p{i}"), "x", base, share);
        let record = match *step {
            Step::Publish(share) => publish(revision, share),
            Step::Conflict => publish(revision + 1_000, 99),
            Step::Snapshot { lag } => {
                let at = states.len().saturating_sub(1 + lag);
                ConfigRecord::Snapshot(Snapshot { written_at: 0, table: states[at].clone() })
            }
        };
        state.apply(i, Some(&record));
        records.push(record);
        states.push(state);
    }
    (records, states)
}

/// Reads as the configuration controller does, from a log that retains the
/// records from `first` on, until there is nothing new.
fn catch_up(
    replica: &mut Replica<ContractTable>,
    records: &[ConfigRecord],
    first: u64,
    page: usize,
) {
    loop {
        let before = (replica.next_read(), replica.state().next_offset());
        let from = replica.next_read().offset().max(first);
        replica.set_bounds(first, records.len() as u64);
        let start = usize::try_from(from).unwrap_or(usize::MAX).min(records.len());
        for (offset, record) in (from..).zip(&records[start..]).take(page) {
            replica.apply(first, offset, Some(record));
        }
        if (replica.next_read(), replica.state().next_offset()) == before {
            return;
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..=100_u32).prop_map(Step::Publish),
        1 => Just(Step::Conflict),
        2 => (0..6_usize).prop_map(|lag| Step::Snapshot { lag }),
    ];
    proptest::collection::vec(step, 1..24)
}

fn check(steps: &[Step], seen: usize, first: u64, page: usize) {
    let (records, states) = build_history(steps);
    let first = first.min(records.len() as u64);
    let last = &states[records.len()];
    // A replica that has read some records, then lost contact with the log.
    let mut replica = Replica::default();
    catch_up(&mut replica, &records[..seen.min(records.len())], 0, page);
    let before = replica.state().clone();
    catch_up(&mut replica, &records, first, page);
    assert!(replica.state().next_offset() >= before.next_offset(), "a replica went backwards");
    let next = usize::try_from(replica.state().next_offset()).unwrap_or(usize::MAX);
    assert_eq!(replica.state(), &states[next], "equal `next`, different states");
    match replica.next_read() {
        NextRead::From(_) => assert_eq!(replica.state(), last, "not caught up"),
        // A gap may only remain if no snapshot in the log covers it.
        NextRead::Gap(_) => {
            assert!(before.next_offset() < first);
            let has_snapshot = records
                .iter()
                .skip(usize::try_from(first).unwrap_or(0))
                .any(|r| matches!(r, ConfigRecord::Snapshot(s) if s.table.next_offset() >= first));
            assert!(!has_snapshot, "a gap remained before a snapshot that covers it");
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
    fn replicas_agree_and_never_go_backwards(
        steps in steps(),
        seen in 0..24_usize,
        first in 0..24_u64,
        page in 1..5_usize,
    ) {
        check(&steps, seen, first, page);
    }
}

#[test]
fn replicas_agree_in_all_short_histories() {
    let kinds =
        [Step::Publish(1), Step::Conflict, Step::Snapshot { lag: 0 }, Step::Snapshot { lag: 2 }];
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
fn a_snapshot_that_lags_does_not_undo_a_change() {
    // Installing every snapshot would revert the last change, since a slow
    // process wrote this one. The replica keeps the change.
    let (records, states) =
        build_history(&[Step::Publish(1), Step::Publish(2), Step::Snapshot { lag: 1 }]);
    let ConfigRecord::Snapshot(snapshot) = &records[2] else { panic!("expected a snapshot") };
    assert_ne!(snapshot.table.get("x"), states[2].get("x"));
    let mut replica = Replica::default();
    catch_up(&mut replica, &records, 0, 10);
    assert_eq!(replica.state().get("x"), states[2].get("x"));
}

#[test]
fn a_replica_with_a_gap_installs_the_state_of_a_peer_ahead_but_not_of_one_behind() {
    let (records, states) = build_history(&[Step::Publish(1), Step::Publish(2), Step::Publish(3)]);
    let mut replica = Replica::default();
    catch_up(&mut replica, &records, 2, 10);
    assert!(replica.has_gap());
    assert!(replica.install(&states[2]));
    assert!(!replica.install(&states[1]));
    catch_up(&mut replica, &records, 2, 10);
    assert_eq!(replica.state(), &states[3]);
}
