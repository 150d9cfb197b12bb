//! Summary of a day from the logs of several hosts.

use std::collections::BTreeMap;

use cassia_explain::DaySummary;
use cassia_explain::GroupCounts;

/// Unsorted lines of three hosts, some with a log collector's timestamp in
/// front.
const LOGS: &str = include_str!("logs.jsonl");

/// Returns a log line with a time given in milliseconds since midnight.
fn line(ms: u64, event: &str, attributes: &[(&str, &str)]) -> String {
    let mut attributes: BTreeMap<_, _> = attributes.iter().copied().collect();
    attributes.insert("event", event);
    let time = format!("2026-01-01T00:00:{:02}.{:03}Z", ms / 1_000, ms % 1_000);
    serde_json::json!({"time": time, "mdc": {"host": "h"}, "attributes": attributes}).to_string()
}

/// Returns the log lines of a job, given its groups of two items with the time
/// at which each item is done.
fn job_lines(groups: &[(&str, [u64; 2])], groups_wanted: &str) -> Vec<String> {
    let submitted = [("id", "j"), ("fate", "InTheLog"), ("took_ms", "20"), ("items", "4")];
    let begun = [("id", "j"), ("model", "m"), ("groups_wanted", groups_wanted), ("due_ms", "2000")];
    let mut lines =
        vec![line(1_020, "job_submitted", &submitted), line(1_030, "job_begun", &begun)];
    for (group, done_ms) in groups {
        for (n, ms) in done_ms.iter().enumerate() {
            let id = format!("{group}-{n}");
            let attributes = [
                ("id", id.as_str()),
                ("job", "j"),
                ("group", group),
                ("group_items", "2"),
                ("took_ms", "300"),
                ("versions", "[3, 4]"),
                ("newest", "5"),
            ];
            lines.push(line(*ms, "item_done", &attributes));
        }
    }
    lines
}

fn summarize(lines: &[String]) -> DaySummary {
    DaySummary::from_lines(lines.iter().map(String::as_str))
}

#[test]
fn requests_are_counted_by_route_and_reason() {
    let day = DaySummary::from_lines(LOGS.lines());
    let quote = &day.routes["quote"];
    assert_eq!(quote.answered_ms, [130]);
    assert_eq!(quote.percentile_ms(99), Some(130));
    assert_eq!(quote.failed, 1);
    assert_eq!(quote.refused, BTreeMap::from([("no_target".to_owned(), 1)]));
}

#[test]
fn only_complete_groups_count_and_at_most_as_many_as_are_wanted() {
    // Due at 3,000 ms: g1 is in time, g2 late, and half of g3 is missing.
    let groups = [("g1", [2_000, 3_000]), ("g2", [2_000, 3_001])];
    let mut lines = job_lines(&groups, "3");
    lines.extend(job_lines(&[("g3", [2_500, 2_600])], "3").into_iter().skip(2).take(1));
    let day = summarize(&lines);
    let counts = day.jobs["j"].group_counts();
    assert_eq!(counts, Some(GroupCounts { in_time: 1, late: 1, incomplete: 1 }));
    let few = summarize(&job_lines(&groups, "1")).jobs["j"].group_counts();
    assert_eq!(few, Some(GroupCounts { in_time: 1, late: 0, incomplete: 0 }));
}

#[test]
fn an_item_that_ran_twice_is_counted_once() {
    let mut lines = job_lines(&[("g1", [2_000, 2_500])], "1");
    lines.push(lines[2].replace("02.000", "02.900"));
    let day = summarize(&lines);
    let job = &day.jobs["j"];
    assert_eq!(job.finished_items().count(), 2);
    assert_eq!(job.last_wanted_group().map(|group| group.last_item.id), Some("g1-1".to_owned()));
}

#[test]
fn staleness_is_by_the_oldest_token_and_trainer_waits_until_the_job_ends() {
    let mut lines = job_lines(&[("g1", [2_000, 2_500])], "1");
    lines.push(line(3_000, "job_ended", &[("id", "j")]));
    lines.push(line(5_020, "stopped", &[]));
    let day = summarize(&lines);
    assert_eq!(day.staleness_counts("m"), BTreeMap::from([(2, 2)]));
    assert_eq!(day.jobs["j"].trainer_wait(), Some(2_000));
    assert!(
        (day.trainer_idle_fraction("m") - 0.5).abs() < 0.001,
        "{}",
        day.trainer_idle_fraction("m")
    );
}

#[test]
fn logs_without_valid_lines_give_an_empty_summary() {
    let day = DaySummary::from_lines("{\nnot json\n".lines());
    assert_eq!(day, DaySummary::default());
}
