//! Explanations of ids from the logs of several hosts, compared with golden
//! files.

use rstest::rstest;

/// Unsorted lines of three hosts, some with a log collector's timestamp in
/// front.
const LOGS: &str = include_str!("logs.jsonl");

#[rstest]
#[case::answered("r1")]
#[case::refused("r2")]
#[case::failed_after_it_ran("r3")]
#[case::unknown_id("r9")]
#[case::item("i1")]
#[case::item_given_up("i2")]
#[case::job("j1")]
#[case::job_not_known_to_be_accepted("j2")]
fn explanation_matches_the_golden_file(#[case] id: &str) {
    let explained = cassia_explain::explain(id, LOGS.lines());
    insta::assert_snapshot!(format!("explain-{id}"), explained.to_string());
}

#[test]
fn a_job_run_by_two_hosts_names_both_and_counts_its_items_once() {
    let lines: Vec<_> = LOGS
        .lines()
        .filter(|line| line.contains("\"j1\"") && !line.contains("job_ended"))
        .flat_map(|line| [line.to_owned(), line.replace("\"h3\"", "\"h4\"")])
        .collect();
    let explained = cassia_explain::explain("j1", lines.iter().map(String::as_str));
    let verdict = &explained.verdict;
    assert!(
        verdict.contains("begun by h3, again by h4 with 0 listed, 1 of 2 items done, 1 given up"),
        "{verdict}"
    );
}

#[test]
fn text_that_is_not_a_log_line_is_ignored() {
    let text = "{\n{}\nnot json {\"a\":1}\n\u{fffd}{\"time\":1}\n";
    let explained = cassia_explain::explain("r1", text.lines());
    assert!(explained.lines.is_empty());
    assert!(explained.verdict.contains("no line tells of it"));
}

/// Guards against an explanation of an overload that doesn't say whose share was used.
#[test]
fn a_request_refused_in_an_overload_names_its_customer_and_its_share() {
    let lines = [
        r#"{"time":"2026-03-01T10:00:00.100Z","mdc":{"host":"h1"},"attributes":{"event":"not_admitted","id":"r7","customer":"leserbild","service":"intake","capacity":18,"customers":3,"running":6,"waiting":40,"waited_ms":0,"retry_after_ms":120}}"#,
        r#"{"time":"2026-03-01T10:00:00.101Z","mdc":{"host":"h1"},"attributes":{"event":"request_refused","id":"r7","kind":"overloaded","ran":"not_run","took_ms":1,"config":4}}"#,
    ];
    let verdict = cassia_explain::explain("r7", lines.into_iter()).verdict;
    let expected =
        "leserbild had 6 running and 40 waiting requests there, of 18 places for 3 customers";
    assert!(verdict.contains(expected), "{verdict}");
}
