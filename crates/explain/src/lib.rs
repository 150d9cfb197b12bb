//! Explains from the logs what happened to a request, an item or a batch job.
//!
//! [`explain`] accepts the lines of all hosts in any order, selects those that
//! mention an id, sorts them by time, and sums up in a sentence why the
//! request, item or job ended as it did. [`DaySummary`] aggregates all
//! requests and batch jobs. The logs are the only source: what can't be
//! explained is not logged.
//!
//! ```
//! let line = r#"{"time":"2026-01-01T00:00:00Z","mdc":{"host":"h1"},"message":"no",
//!     "attributes":{"event":"request_refused","id":"r1","kind":"no_target","ran":"not_run"}}"#;
//! let explanation = cassia_explain::explain("r1", line.replace('\n', "").lines());
//! assert!(explanation.verdict.contains("refused"));
//! ```

mod day;
mod job;
mod line;
mod verdict;

pub use crate::day::DaySummary;
pub use crate::day::RouteSummary;
pub use crate::job::CompleteGroup;
pub use crate::job::FinishedItem;
pub use crate::job::GroupCounts;
pub use crate::job::JobSummary;
pub use crate::job::Millis;
pub use crate::line::LogLine;
pub use crate::verdict::Explanation;

/// Explains what happened to the request, item or batch job with an id, from
/// the log lines of all hosts.
pub fn explain<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Explanation {
    let mut lines: Vec<_> =
        lines.filter_map(LogLine::parse).filter(|line| line.mentions(id)).collect();
    // The sort is stable, so the lines of one host stay in order; between
    // hosts the order is approximate, since their clocks differ a little.
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let verdict = verdict::verdict(id, &lines);
    Explanation { id: id.to_owned(), lines, verdict }
}
