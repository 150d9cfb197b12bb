//! What is said of an id by the logs of several hosts, as golden files.

use rstest::rstest;

/// Lines of three hosts, in no order, with a collector's time before some.
const LOGS: &str = include_str!("logs.jsonl");

#[rstest]
#[case::answered("r1")]
#[case::refused("r2")]
#[case::failed_after_it_ran("r3")]
#[case::never_seen("r9")]
#[case::item("i1")]
#[case::item_given_up("i2")]
#[case::job("j1")]
#[case::job_not_accepted("j2")]
fn an_id_is_explained(#[case] id: &str) {
    let explained = cassia_explain::explain(id, LOGS.lines());
    insta::assert_snapshot!(format!("explain-{id}"), explained.to_string());
}

#[test]
fn what_is_no_log_line_is_passed_over() {
    let noise = "{\n{}\nnot json {\"a\":1}\n\u{fffd}{\"time\":1}\n";
    let explained = cassia_explain::explain("r1", noise.lines());
    assert!(explained.lines.is_empty());
    assert!(explained.verdict.contains("no line tells of it"));
}
