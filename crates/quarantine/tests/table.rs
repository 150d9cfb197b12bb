//! Which requests are held back: those under which targets crashed, not those
//! that were at the same targets.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_quarantine::QUARANTINE;
use cassia_quarantine::QuarantineRecord;
use cassia_quarantine::QuarantineTable;
use cassia_quarantine::RESTART_TIME;
use cassia_quarantine::RequestDigest;
use cassia_quarantine::RunDecision;
use cassia_quarantine::request_digest;
use proptest::prelude::*;
use rstest::rstest;

const BAD: RequestDigest = 1;
const MILLISECOND: Duration = Duration::from_millis(1);

fn crash(digest: RequestDigest, target: &str, incarnation: u64) -> QuarantineRecord {
    QuarantineRecord::Crash { digest, target: target.into(), incarnation }
}

/// Returns a table in which three targets have crashed under `BAD`.
fn crashed_table(now: Instant) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for target in ["t1", "t2", "t3"] {
        table.apply(&crash(BAD, target, 1), now);
    }
    table
}

#[rstest]
#[case::two_targets(&[("t1", 1), ("t2", 1)], false)]
#[case::three_targets(&[("t1", 1), ("t2", 1), ("t3", 1)], true)]
#[case::three_incarnations_of_one_target(&[("t1", 1), ("t1", 2), ("t1", 3)], true)]
// A connection may break without a crash; one target can crash only once.
#[case::one_crash_reported_often(&[("t1", 1), ("t1", 1), ("t1", 1), ("t1", 1)], false)]
fn a_request_is_held_back_after_three_crashes(
    #[case] crashes: &[(&str, u64)],
    #[case] expected: bool,
) {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    for (target, incarnation) in crashes {
        table.apply(&crash(BAD, target, *incarnation), now);
    }
    assert_eq!(table.is_quarantined(BAD, now), expected);
    assert!(!table.is_quarantined(BAD + 1, now));
}

#[rstest]
#[case::at_once(Duration::ZERO, true, true)]
#[case::before_the_restart(RESTART_TIME.saturating_sub(MILLISECOND), true, true)]
#[case::after_the_restart(RESTART_TIME, true, false)]
#[case::before_the_end(QUARANTINE.saturating_sub(MILLISECOND), true, false)]
#[case::at_the_end(QUARANTINE, false, false)]
fn a_request_is_suspected_for_a_while_after_a_crash(
    #[case] after: Duration,
    #[case] is_suspected: bool,
    #[case] crashed_just_now: bool,
) {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    table.apply(&crash(BAD, "t1", 7), now);
    let expected = if is_suspected { vec![("t1".into(), 7)] } else { Vec::new() };
    assert_eq!(table.suspected_crashes(BAD, now + after), expected);
    assert_eq!(table.crashed_just_now(BAD, now + after), crashed_just_now);
    assert!(table.suspected_crashes(BAD + 1, now + after).is_empty());
}

#[rstest]
#[case::succeeded_before(true)]
#[case::succeeded_after(false)]
fn a_request_that_succeeded_is_not_suspected(#[case] before: bool) {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    if before {
        table.record_success(BAD);
    }
    table.apply(&crash(BAD, "t1", 1), now);
    if !before {
        table.record_success(BAD);
    }
    assert!(table.suspected_crashes(BAD, now).is_empty());
}

#[test]
fn a_request_is_tried_again_after_the_quarantine() {
    let now = Instant::now();
    let mut table = crashed_table(now);
    let last = now + Duration::from_mins(4);
    table.apply(&crash(BAD, "t4", 1), last);
    assert!(table.is_quarantined(BAD, last + QUARANTINE.saturating_sub(Duration::from_secs(1))));
    assert!(!table.is_quarantined(BAD, last + QUARANTINE));
}

#[test]
fn a_request_that_succeeded_is_never_held_back_here() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    assert!(!table.record_success(BAD), "nobody suspected it");
    for target in ["t1", "t2", "t3"] {
        table.apply(&crash(BAD, target, 1), now);
    }
    assert!(!table.is_quarantined(BAD, now));
}

#[test]
fn a_success_clears_a_suspected_request_at_all_hosts() {
    let now = Instant::now();
    let (mut here, mut there) = (crashed_table(now), crashed_table(now));
    assert!(here.record_success(BAD), "the others must be told");
    there.apply(&QuarantineRecord::Cleared { digest: BAD }, now);
    assert!(!here.is_quarantined(BAD, now));
    assert!(!there.is_quarantined(BAD, now));
}

/// Guards against memory that grows with the connections that break in a
/// network partition.
#[test]
fn the_table_stays_small_and_keeps_the_newest() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    for digest in 0..10_000 {
        table.apply(
            &crash(digest, "t1", 1),
            now + Duration::from_millis(1) * u32::try_from(digest).unwrap_or(0),
        );
    }
    assert_eq!((0..10_000).filter(|digest| table.crash_count(*digest) > 0).count(), 4_096);
    assert_eq!(table.crash_count(9_999), 1);
    for digest in 0..10_000 {
        table.record_success(digest);
    }
    for target in ["t2", "t3", "t4"] {
        table.apply(&crash(0, target, 1), now);
        table.apply(&crash(9_999, target, 1), now);
    }
    assert!(table.is_quarantined(0, now), "an old success is forgotten");
    assert!(!table.is_quarantined(9_999, now));
}

#[rstest]
#[case(("h", "POST", "/a", ""), ("h", "POST", "/", "a"))]
#[case(("h", "POST", "/a", "b"), ("h", "PUT", "/a", "b"))]
#[case(("h", "POST", "/a?x=1", "b"), ("h", "POST", "/a?x=2", "b"))]
#[case(("h", "POST", "/a", "b"), ("g", "POST", "/a", "b"))]
fn other_requests_have_other_digests(
    #[case] a: (&str, &str, &str, &str),
    #[case] b: (&str, &str, &str, &str),
) {
    let digest = |r: (&str, &str, &str, &str)| request_digest(r.0, r.1, r.2, r.3.as_bytes());
    assert_ne!(digest(a), digest(b));
}

proptest! {
    #[test]
    fn records_are_decoded_as_they_were_encoded(
        digest in any::<u128>(), target in "[a-z0-9-]{0,20}", incarnation in any::<u64>(),
    ) {
        let records = [crash(digest, &target, incarnation), QuarantineRecord::Cleared { digest }];
        for record in records {
            prop_assert_eq!(QuarantineRecord::decode(record.to_record()), Ok(record));
        }
    }

    #[test]
    fn arbitrary_bytes_are_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        let _ = QuarantineRecord::decode(Bytes::from(bytes));
    }
}

/// An item that crashes its engines was sent on and on, since only callers' requests were
/// held back. It runs at growing intervals, each below the five seconds after which an item
/// that no engine runs counts as lost, and then no more.
#[test]
fn an_item_runs_at_growing_intervals_and_a_limited_number_of_times() {
    const MAX_RUNS: usize = 9;
    const LOST_AFTER: Duration = Duration::from_secs(5);
    let start = Instant::now();
    let (mut table, mut now) = (QuarantineTable::default(), start);
    let mut pauses = Vec::new();
    for run in 1..=MAX_RUNS {
        table.apply(&crash(BAD, "t", run as u64), now);
        match table.next_run(BAD, MAX_RUNS, now) {
            RunDecision::Run => pauses.push(Duration::ZERO),
            RunDecision::RunAt(at) => {
                pauses.push(at - now);
                now = at;
            }
            RunDecision::Hold => assert_eq!(run, MAX_RUNS),
        }
    }
    assert_eq!(pauses.len(), MAX_RUNS - 1);
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause < LOST_AFTER), "{pauses:?}");
    assert_eq!(table.next_run(BAD, MAX_RUNS, now), RunDecision::Hold);
    assert_eq!(table.next_run(BAD + 1, MAX_RUNS, now), RunDecision::Run);
}

/// An item that was beside the one that crashed its engine goes on at once, and is not
/// suspected any more once an engine has run it further.
#[test]
fn an_item_beside_the_cause_loses_no_time() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    table.apply(&crash(BAD, "t1", 1), now);
    assert_eq!(table.next_run(BAD, 9, now), RunDecision::Run);
    table.apply(&crash(BAD, "t2", 1), now);
    assert!(matches!(table.next_run(BAD, 9, now), RunDecision::RunAt(_)));
    assert!(table.is_suspected(BAD));
    table.record_success(BAD);
    assert_eq!(table.next_run(BAD, 9, now), RunDecision::Run);
    assert!(!table.is_suspected(BAD));
}
