//! A stream is resumed only at the version of the software that began it.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_resume::RETENTION;
use cassia_resume::ResumeDecision;
use cassia_resume::StreamRecord;
use cassia_resume::StreamTable;
use rstest::rstest;

const STREAM: u64 = 7;

fn at(software: &str) -> ResumeDecision {
    ResumeDecision::At { service: "lm".into(), software: software.into() }
}

fn record(software: &str, streams: &[u64]) -> StreamRecord {
    StreamRecord { service: "lm".into(), software: software.into(), streams: streams.to_vec() }
}

fn decide(table: &StreamTable, now: Instant) -> ResumeDecision {
    table.decide(STREAM, &["lm".into()], now)
}

/// Guards against ORDER: an unknown stream that goes on while two versions may have
/// begun it, also shortly after one of them is gone.
#[rstest]
#[case::no_target(&[], ResumeDecision::Single)]
#[case::one_version(&[("v1", 0)], ResumeDecision::Single)]
#[case::two_versions(&[("v1", 0), ("v2", 0)], ResumeDecision::Unknown)]
#[case::one_is_gone(&[("v1", 60), ("v2", 0)], ResumeDecision::Unknown)]
#[case::one_is_long_gone(&[("v1", RETENTION.as_secs()), ("v2", 0)], ResumeDecision::Single)]
fn an_unknown_stream(#[case] seen: &[(&str, u64)], #[case] expected: ResumeDecision) {
    let start = Instant::now();
    let mut table = StreamTable::default();
    for (software, age_s) in seen {
        let at = start + RETENTION.saturating_sub(Duration::from_secs(*age_s));
        table.observe(&"lm".into(), &(*software).into(), at);
    }
    let now = start + RETENTION;
    assert_eq!(decide(&table, now), expected);
    let sole = table.sole_version("lm", now);
    assert_eq!(sole.is_some(), expected == ResumeDecision::Single && !seen.is_empty());
}

/// Guards against LOST: streams that began before a second version came are reported
/// as soon as it comes, and known to the other host.
#[test]
fn streams_are_reported_once_a_second_version_serves() {
    let now = Instant::now();
    let (mut first, mut second) = (StreamTable::default(), StreamTable::default());
    assert!(first.begin(STREAM, &"lm".into(), &"v1".into(), now), "the version is new");
    assert!(first.has_new_version());
    let version = first.take_reports(now);
    assert_eq!(version, [record("v1", &[])], "the version, not its streams");
    assert!(!first.has_new_version());
    assert!(!first.is_announced(&"lm".into(), &"v1".into()), "not read yet");
    first.apply(&version[0], now);
    assert!(first.is_announced(&"lm".into(), &"v1".into()));
    assert_eq!(first.take_reports(now), []);
    first.observe(&"lm".into(), &"v2".into(), now);
    let reports = first.take_reports(now);
    assert_eq!(reports.len(), 2, "{reports:?}");
    assert_eq!(first.take_reports(now), [], "reported once");
    assert!(first.begin(STREAM + 1, &"lm".into(), &"v2".into(), now), "reported at once");
    for report in &reports {
        let record = StreamRecord::decode(report.to_record()).expect("a record");
        assert_eq!(record, *report);
        assert!(!second.apply(&record, now) || record.software == "v2");
    }
    assert_eq!(decide(&second, now), at("v1"));
    assert!(second.is_mixed("lm", now), "the versions are reported too");
    assert!(!second.is_mixed("other", now));
}

/// Guards against LOST: a host that learns of the second version from another host's
/// report, before it has read the list itself, keeps its streams to itself.
#[test]
fn a_version_that_another_host_reports_makes_this_host_report_its_streams() {
    let now = Instant::now();
    let mut table = StreamTable::default();
    table.begin(STREAM, &"lm".into(), &"v1".into(), now);
    assert!(!table.apply(&record("v1", &[]), now));
    assert!(table.apply(&record("v2", &[]), now));
    assert!(!table.observe(&"lm".into(), &"v2".into(), now), "no news any more");
    let reports = table.take_reports(now);
    assert_eq!(reports.len(), 1, "{reports:?}");
    assert_eq!(reports[0].streams, [STREAM]);
}

/// Guards against ORDER after all hosts ended: what was reported is all that they know
/// when they are back, and log records are kept for five minutes.
#[test]
fn a_version_that_begins_streams_is_reported_again_and_again_by_some_host() {
    let start = Instant::now();
    let (mut first, mut second) = (StreamTable::new(0.0), StreamTable::new(0.9));
    let mut reports = Vec::new();
    for second_no in 0..600 {
        let now = start + Duration::from_secs(second_no);
        for table in [&mut first, &mut second] {
            table.begin(second_no, &"lm".into(), &"v1".into(), now);
        }
        // Each reads what the other one reports before its own turn.
        for report in first.take_reports(now) {
            second.apply(&report, now);
            first.apply(&report, now);
            reports.push(second_no);
        }
        assert!(second_no == 0 || second.take_reports(now).is_empty(), "by one is enough");
    }
    assert_eq!(reports, (0..600).step_by(60).collect::<Vec<_>>());
    // All hosts end, and another version alone serves when they are back.
    let now = start + Duration::from_mins(10);
    let mut back = StreamTable::default();
    assert!(!back.apply(&record("v1", &[]), now));
    back.observe(&"lm".into(), &"v2".into(), now);
    assert_eq!(decide(&back, now), ResumeDecision::Unknown);
}

/// Guards against memory that grows with the number of streams.
#[test]
fn old_streams_are_forgotten() {
    let now = Instant::now();
    let mut table = StreamTable::default();
    table.observe(&"lm".into(), &"v2".into(), now);
    for stream in 0..200_000 {
        table.begin(stream, &"lm".into(), &"v1".into(), now);
    }
    assert_eq!(decide(&table, now), ResumeDecision::Unknown);
    let streams: usize = table.take_reports(now).iter().map(|r| r.streams.len()).sum();
    assert!(streams <= 16_384, "{streams}");
}

#[rstest]
#[case::no_service(b"")]
#[case::not_a_record(b"\xff\xff\xff")]
fn an_invalid_record_is_refused(#[case] bytes: &'static [u8]) {
    assert!(StreamRecord::decode(Bytes::from_static(bytes)).is_err());
}
