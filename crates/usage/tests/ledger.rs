//! Decisions about windows, and the counts that they have.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cassia_usage::Applied;
use cassia_usage::TrueTime;
use cassia_usage::UsageAction;
use cassia_usage::UsageCounter;
use cassia_usage::UsageLedger;
use cassia_usage::UsageRecord;
use rstest::rstest;

const WINDOW_MS: u64 = 5_000;
/// Some time in the middle of a window.
const START: u64 = 1_000_002_000;
const FIRST: u64 = START / WINDOW_MS;

fn counts(host: &str, boot: u64, window: u64, count: u64) -> UsageRecord {
    UsageRecord::Counts {
        host: host.into(),
        boot,
        window,
        counts: [("leserbild".into(), count)].into(),
    }
}

fn decision(window: u64, count: u64) -> UsageRecord {
    UsageRecord::Decision { window, counts: [("leserbild".into(), count)].into(), fence: 1 }
}

/// Reads to the end of the log each second from a time on.
fn read(ledger: &mut UsageLedger, from: u64, to: u64) {
    for at in (from..=to).step_by(1_000) {
        ledger.record_read(at);
    }
}

fn decided(action: UsageAction) -> Option<(u64, u64)> {
    match action {
        UsageAction::Decide { window, counts } => Some((window, counts.values().sum())),
        _ => None,
    }
}

/// Guards against counts of a host that restarts, or repeats a record whose append had
/// an unknown outcome, being lost or added twice.
#[test]
fn cumulative_counts_of_each_run_of_each_host_are_added_once() {
    let mut ledger = UsageLedger::new(WINDOW_MS);
    for record in [
        counts("h1", 1, FIRST, 3),
        counts("h1", 1, FIRST, 5),
        counts("h1", 1, FIRST, 5),
        counts("h1", 1, FIRST, 3),
        counts("h1", 2, FIRST, 2),
        counts("h2", 3, FIRST, 10),
    ] {
        ledger.apply(&record);
    }
    read(&mut ledger, START, START + 12_000);
    assert_eq!(decided(ledger.next(START + 12_000)), Some((FIRST, 17)));
}

/// Guards against a decision by a read that began before the hosts had appended the
/// window's last counts, as after a suspension of the holder.
#[test]
fn a_window_is_decided_by_a_read_that_began_four_seconds_after_its_end() {
    let end = (FIRST + 1) * WINDOW_MS;
    let mut ledger = UsageLedger::new(WINDOW_MS);
    read(&mut ledger, START, end + 3_999);
    assert_eq!(ledger.next(end + 30_000), UsageAction::Wait);
    ledger.record_read(end + 4_000);
    assert_eq!(decided(ledger.next(end + 4_000)), Some((FIRST, 0)));
}

/// Guards against windows that are decided at the moment when the store is back, before
/// the hosts have appended what they counted meanwhile.
#[test]
fn nothing_is_decided_right_after_an_outage_of_the_store() {
    let back = START + 30_000;
    let mut ledger = UsageLedger::new(WINDOW_MS);
    read(&mut ledger, START, START + 5_000);
    read(&mut ledger, back, back + 3_000);
    assert_eq!(ledger.next(back + 3_999), UsageAction::Wait);
    assert_eq!(decided(ledger.next(back + 4_000)), Some((FIRST, 0)));
}

/// Guards against two reports of a window, by a holder that went silent and the next one.
#[test]
fn the_first_decision_counts_and_later_counts_are_late() {
    let mut ledger = UsageLedger::new(WINDOW_MS);
    ledger.apply(&counts("h1", 1, FIRST, 4));
    assert_eq!(ledger.apply(&decision(FIRST, 4)), Applied::Decided { window: FIRST, requests: 4 });
    assert_eq!(ledger.apply(&decision(FIRST, 9)), Applied::AsExpected);
    assert_eq!(
        ledger.apply(&counts("h1", 1, FIRST, 6)),
        Applied::Late { window: FIRST, requests: 2 }
    );
    let report = UsageAction::Report { window: FIRST, counts: [("leserbild".into(), 4)].into() };
    assert_eq!(ledger.next(START + 9_000), report);
    assert_eq!(ledger.unreported(), [FIRST]);
    ledger.apply(&UsageRecord::Reported { window: FIRST });
    assert_eq!(ledger.next(START + 9_000), UsageAction::Wait);
    assert!(ledger.unreported().is_empty());
}

/// Guards against a second decision, or a report, of a window whose first decision may
/// have expired in the store.
#[test]
fn old_windows_are_neither_decided_nor_reported() {
    let end = (FIRST + 1) * WINDOW_MS;
    let mut ledger = UsageLedger::new(WINDOW_MS);
    ledger.apply(&decision(FIRST, 4));
    ledger.apply(&counts("h1", 1, FIRST + 1, 1));
    assert!(matches!(ledger.next(end + 240_000), UsageAction::Report { window: FIRST, .. }));
    assert_eq!(ledger.next(end + 240_001), UsageAction::Wait);
    let next_end = end + WINDOW_MS;
    let mut ledger = UsageLedger::new(WINDOW_MS);
    ledger.apply(&counts("h1", 1, FIRST + 1, 1));
    read(&mut ledger, next_end, next_end + 60_000);
    assert_eq!(decided(ledger.next(next_end + 60_000)), Some((FIRST + 1, 1)));
    assert_eq!(decided(ledger.next(next_end + 60_001)), Some((FIRST + 2, 0)));
}

/// Guards against memory that grows at a contender that is never the holder.
#[test]
fn reads_alone_remove_old_windows() {
    let mut ledger = UsageLedger::new(WINDOW_MS);
    ledger.apply(&decision(FIRST, 4));
    assert_eq!(ledger.unreported(), [FIRST]);
    ledger.record_read(START + 310_000);
    assert!(ledger.unreported().is_empty());
}

/// Guards against a second decision of a window that the ledger has forgotten because a
/// wall clock was ahead for a while.
#[test]
fn a_ledger_whose_time_was_ahead_decides_nothing_and_must_be_read_again() {
    let mut ledger = UsageLedger::new(WINDOW_MS);
    ledger.apply(&decision(FIRST, 4));
    ledger.record_read(START + 600_000);
    assert!(!ledger.is_ahead(START + 600_000));
    read(&mut ledger, START, START + 20_000);
    assert!(ledger.is_ahead(START + 20_000));
    assert_eq!(ledger.next(START + 20_000), UsageAction::Wait);
}

/// Guards against windows that nobody reports because no request began in them.
#[test]
fn windows_without_requests_are_decided_too() {
    let mut ledger = UsageLedger::new(WINDOW_MS);
    let mut windows = Vec::new();
    for at in (START..START + 30_000).step_by(500) {
        ledger.record_read(at);
        if let Some((window, 0)) = decided(ledger.next(at)) {
            ledger.apply(&UsageRecord::Decision { window, counts: BTreeMap::new(), fence: 1 });
            ledger.apply(&UsageRecord::Reported { window });
            windows.push(window);
        }
    }
    assert_eq!(windows, [FIRST, FIRST + 1, FIRST + 2, FIRST + 3, FIRST + 4]);
}

/// Guards against a report that the platform refuses for good and that keeps later
/// windows from being reported.
#[test]
fn a_refused_report_does_not_hold_up_the_next_window() {
    let mut ledger = UsageLedger::new(WINDOW_MS);
    ledger.apply(&decision(FIRST, 4));
    ledger.apply(&decision(FIRST + 1, 5));
    ledger.record_refused(FIRST);
    let next = ledger.next(START + 20_000);
    assert!(matches!(next, UsageAction::Report { window, .. } if window == FIRST + 1));
}

/// Guards against counts that are lost because their append failed, or that are appended
/// again and again.
#[test]
fn counts_stay_new_until_they_are_in_the_log() {
    let mut counter = UsageCounter::default();
    counter.count(7, &"leserbild".into());
    let first = counter.new_counts();
    assert_eq!(counter.new_counts(), first, "the append failed");
    counter.count(7, &"leserbild".into());
    counter.record_appended(&first);
    let second = counter.new_counts();
    assert_eq!(second[0].counts, [("leserbild".into(), 2)].into(), "cumulative");
    counter.record_appended(&second);
    assert!(counter.new_counts().is_empty());
    assert_eq!(counter.take_dropped(), 0);
}

/// Guards against memory that grows throughout an outage of the store, or with names of
/// customers.
#[test]
fn buffered_counts_are_bounded_and_dropped_ones_are_counted() {
    let mut counter = UsageCounter::default();
    for window in 0..15 {
        counter.count(window, &"leserbild".into());
        counter.count(window, &"hule930".into());
    }
    let kept: Vec<_> = counter.new_counts().iter().map(|counts| counts.window).collect();
    assert_eq!(kept, (3..15).collect::<Vec<_>>());
    assert_eq!(counter.take_dropped(), 6);
    for n in 0..2_000 {
        counter.count(14, &format!("customer{n}").into());
    }
    assert_eq!(counter.new_counts().last().map(|counts| counts.counts.len()), Some(1_024));
    assert_eq!(counter.take_dropped(), 2_000 - 1_022);
}

/// Guards against windows that are cut off, repeated or skipped when somebody sets the
/// wall clock and takes it back.
#[rstest]
#[case::ahead(30_000)]
#[case::behind(-30_000)]
fn a_step_of_the_wall_clock_that_is_taken_back_has_no_effect(#[case] step_ms: i64) {
    let start = Instant::now();
    let mut time = TrueTime::new(start, START);
    for second in 1..200 {
        let now = start + Duration::from_secs(second);
        let truth = START + second * 1_000;
        let is_wrong = (100..130).contains(&second);
        let wall = if is_wrong { truth.saturating_add_signed(step_ms) } else { truth };
        time.record(now, wall);
        assert_eq!(time.unix_ms(now), truth, "at {second}");
        let earlier = start + Duration::from_millis(second * 1_000 - 700);
        assert_eq!(time.unix_ms(earlier), truth - 700);
    }
}

/// Guards against a clock that never follows a wall clock that was set right.
#[test]
fn a_step_that_lasts_is_followed() {
    let start = Instant::now();
    let mut time = TrueTime::new(start, START);
    for second in 1..100 {
        time.record(start + Duration::from_secs(second), START + second * 1_000 + 60_000);
    }
    assert_eq!(time.unix_ms(start + Duration::from_secs(99)), START + 99_000 + 60_000);
}

/// Guards against records of a later release that end the reading of the topic.
#[test]
fn records_survive_encoding_and_unknown_ones_are_errors() {
    for record in
        [counts("h1", 1, FIRST, 3), decision(FIRST, 4), UsageRecord::Reported { window: FIRST }]
    {
        assert_eq!(UsageRecord::decode(record.to_record()).ok(), Some(record));
    }
    assert!(UsageRecord::decode(Vec::new().into()).is_err());
    assert!(UsageRecord::decode(b"\xff\xff".to_vec().into()).is_err());
}
