//! Summary sentence for the log lines of one id.

use std::collections::BTreeSet;
use std::fmt;

use crate::JobSummary;
use crate::LogLine;

/// What happened to a request, an item or a batch job.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Id of the request, item or batch job.
    pub id: String,
    /// The lines that mention the id, sorted by time.
    pub lines: Vec<LogLine>,
    /// A sentence on the outcome and its cause.
    pub verdict: String,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        write!(f, "{}", self.verdict)
    }
}

/// Returns a sentence on the outcome and its cause, from lines sorted by time.
pub(crate) fn verdict(id: &str, lines: &[LogLine]) -> String {
    let last = |event: &str| lines.iter().rev().find(|line| line.event() == event);
    if lines.is_empty() {
        return format!(
            "{id}: no line tells of it; it reached no host, or its lines were left out"
        );
    }
    if let Some(line) = last("job_submitted") {
        return job_verdict(id, line, lines);
    }
    if let Some(line) = last("request_refused") {
        return refusal_verdict(id, line, lines);
    }
    if let Some(line) = last("request_failed") {
        return format!(
            "{id}: failed after it ran: {} answers of the targets' own failure, the last with \
             status {} from {}",
            attribute(line, "failures"),
            attribute(line, "status"),
            last_target(lines),
        );
    }
    if let Some(line) = last("item_given_up") {
        let (took, reason) = (attribute(line, "took_ms"), attribute(line, "why"));
        return format!("{id}: given up after {took} ms, since {reason}{}", failures(lines));
    }
    if let Some(line) = last("item_done") {
        return format!(
            "{id}: done in {} ms by versions {}{}",
            attribute(line, "took_ms"),
            attribute(line, "versions"),
            failures(lines),
        );
    }
    if let Some(line) = last("request_done") {
        return format!(
            "{id}: answered with status {} in {} ms by {}{}",
            attribute(line, "status"),
            attribute(line, "took_ms"),
            last_target(lines),
            failures(lines),
        );
    }
    format!("{id}: not over by these lines{}", failures(lines))
}

fn refusal_verdict(id: &str, line: &LogLine, lines: &[LogLine]) -> String {
    let reason = match attribute(line, "kind").as_str() {
        "no_route" => "no route of the configuration in force fits".to_owned(),
        "not_configured" => "the host had read no configuration yet".to_owned(),
        "no_target" => format!("no target would take it{}", failures(lines)),
        "deadline_passed" => format!("its time was over before an answer{}", failures(lines)),
        "target_failed" => format!("no target's answer came whole{}", failures(lines)),
        "overloaded" => overload_reason(lines),
        "stopping" => "the host was being stopped and could have ended first".to_owned(),
        "store_away" => "the store could not be asked".to_owned(),
        other => format!("it was {}", other.replace('_', " ")),
    };
    format!(
        "{id}: refused by {} after {} ms under configuration {} ({}): {reason}",
        line.host(),
        attribute(line, "took_ms"),
        attribute(line, "config"),
        attribute(line, "ran").replace('_', " "),
    )
}

/// Says what share of the service the customer of a request had when it was refused.
fn overload_reason(lines: &[LogLine]) -> String {
    let Some(line) = lines.iter().rev().find(|line| line.event() == "not_admitted") else {
        return "it could not finish by its deadline".to_owned();
    };
    let number = |name: &str| attribute(line, name);
    format!(
        "it could not finish by its deadline at {}; {} had {} running and {} waiting requests \
         there, of {} places for {} customers, and it waited {} ms",
        number("service"),
        number("customer"),
        number("running"),
        number("waiting"),
        number("capacity"),
        number("customers"),
        number("waited_ms"),
    )
}

fn job_verdict(id: &str, submitted: &LogLine, lines: &[LogLine]) -> String {
    let first = |event: &str| lines.iter().find(|line| line.event() == event);
    let accepted = match attribute(submitted, "fate").as_str() {
        "InTheLog" => format!("{id}: accepted in {} ms", attribute(submitted, "took_ms")),
        "NotThere" => return format!("{id}: refused, since the store could not be asked"),
        _ => return format!("{id}: not known to be accepted: an append to the log had no answer"),
    };
    let host = first("job_begun").map_or("nobody", |line| line.host());
    // An item may run twice; only its first result counts.
    let item_ids = |event: &str| {
        let items = lines.iter().filter(|line| line.event() == event);
        items.filter_map(|line| line.attribute("id")).collect::<BTreeSet<_>>()
    };
    let done = item_ids("item_done");
    let given_up = match item_ids("item_given_up").difference(&done).count() {
        0 => String::new(),
        count => format!(", {count} given up"),
    };
    let restarts = lines.iter().filter(|line| line.event() == "job_begun").skip(1);
    let restarts: Vec<_> = restarts
        .map(|line| format!(", again by {} with {} listed", line.host(), attribute(line, "listed")))
        .collect();
    let restarts = restarts.concat();
    let waits = lines.iter().filter(|line| line.event() == "items_wait");
    let fewest_engines = waits.filter_map(|line| attribute(line, "fit").parse::<u32>().ok()).min();
    let waited = fewest_engines.map_or_else(String::new, |fit| {
        format!(", items waited when only {fit} engines were new enough")
    });
    let ended =
        first("job_ended").map_or_else(String::new, |line| format!(", ended at {}", line.time));
    let (done, items) = (done.len(), attribute(submitted, "items"));
    let groups = wanted_groups(lines);
    format!(
        "{accepted}, begun by {host}{restarts}, {done} of {items} items done\
         {given_up}{waited}{ended}{groups}"
    )
}

/// Describes when the wanted groups of a job were complete, and whether their
/// last item mostly waited or ran.
fn wanted_groups(lines: &[LogLine]) -> String {
    let mut job = JobSummary::default();
    for line in lines {
        job.add_line(line);
    }
    let (Some(submitted), Some(due)) = (job.submitted, job.due_ms) else {
        return String::new();
    };
    let wanted = job.groups_wanted;
    let Some(group) = job.last_wanted_group() else {
        let complete = job.group_counts().map_or(0, |counts| counts.in_time + counts.late);
        return format!("; only {complete} of {wanted} wanted groups were whole");
    };
    let item = group.last_item;
    let (id, complete) = (item.id, item.finished - submitted);
    let (started, ran) = (item.started - submitted, item.finished - item.started);
    let when = if complete <= due { "in time" } else { "late" };
    let cause = if started > ran { "waited for an engine" } else { "ran" };
    format!(
        "; all {wanted} wanted groups were whole after {complete} ms of {due}, {when}: the last \
         item {id} mostly {cause}, begun after {started} ms, run for {ran} ms"
    )
}

/// Counts the failures and refusals on the way to the outcome, and describes
/// the last one; empty if there were none.
fn failures(lines: &[LogLine]) -> String {
    let count = |event: &str| lines.iter().filter(|line| line.event() == event).count();
    let mut parts = Vec::new();
    for (event, description) in [
        ("attempt_refused", "refused by a full target"),
        ("attempt_failed", "failed at a target"),
        ("run_broke_off", "broke off"),
        ("run_misfit", "did not fit"),
        ("run_moves", "moved from a slow engine"),
        ("reward_failed", "had its reward call fail"),
        ("reward_refused", "had its reward call refused"),
        ("foreign_answer", "got another request's answer"),
    ] {
        let count = count(event);
        if count > 0 {
            parts.push(format!("{description} {count} times"));
        }
    }
    let last = lines.iter().rev().find(|line| {
        ["attempt_failed", "run_broke_off", "attempt_refused"].contains(&line.event().as_str())
    });
    if let Some(line) = last {
        parts.push(format!("last at {}: {}", attribute(line, "peer"), line.message));
    }
    if parts.is_empty() { String::new() } else { format!("; {}", parts.join(", ")) }
}

/// Returns the target of the last attempt.
fn last_target(lines: &[LogLine]) -> String {
    let attempt = lines.iter().rev().find(|line| line.event() == "attempt");
    attempt.map_or_else(|| "a target".to_owned(), |line| attribute(line, "peer"))
}

fn attribute(line: &LogLine, name: &str) -> String {
    line.attribute(name).unwrap_or_else(|| "?".to_owned())
}
