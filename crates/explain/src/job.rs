//! Times and group counts of a batch job, from its log lines.

use std::collections::BTreeMap;

use crate::LogLine;

/// Milliseconds: since the Unix epoch for a time, or the length of a duration.
pub type Millis = i64;

/// An item of a batch job that completed or was given up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedItem {
    /// Id of the item.
    pub id: String,
    /// Start of the first attempt.
    pub started: Millis,
    /// Time at which the item completed or was given up.
    pub finished: Millis,
    /// Whether the text is complete; otherwise the item was given up.
    pub completed: bool,
    /// Number of versions by which the oldest token is behind the newest wanted
    /// version; `None` if the line doesn't contain the versions.
    pub staleness: Option<u64>,
}

/// Times, items and groups of a batch job.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobSummary {
    /// Model that generates the items.
    pub model: String,
    /// Time of the submission.
    pub submitted: Option<Millis>,
    /// Time of the response that confirmed that the job is in the log.
    pub accepted: Option<Millis>,
    /// Time at which a host first started the job's items.
    pub started: Option<Millis>,
    /// Time at which the trainer ended the job.
    pub ended: Option<Millis>,
    /// Number of items in the job.
    pub items: u64,
    /// Number of complete groups that the trainer waits for.
    pub groups_wanted: usize,
    /// Duration from the submission until the results are due.
    pub due_ms: Option<Millis>,
    /// Finished items by group.
    groups: BTreeMap<String, Vec<FinishedItem>>,
    /// Total number of items by group.
    group_sizes: BTreeMap<String, usize>,
}

/// Number of a job's wanted groups that were complete in time, late or never.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupCounts {
    /// Wanted groups that were complete by the due time.
    pub in_time: usize,
    /// Wanted groups that were complete later.
    pub late: usize,
    /// Wanted groups that were never complete.
    pub incomplete: usize,
}

/// A group whose items have all finished.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompleteGroup {
    /// Id of the group.
    pub id: String,
    /// The item that finished last.
    pub last_item: FinishedItem,
}

impl JobSummary {
    /// Adds a line about this job or one of its items.
    pub(crate) fn add_line(&mut self, line: &LogLine) {
        let Some(at) = line.time_ms() else {
            return;
        };
        let number = |name: &str| line.attribute(name).and_then(|text| text.parse::<u64>().ok());
        let duration = |name: &str| number(name).and_then(|ms| Millis::try_from(ms).ok());
        match line.event().as_str() {
            "job_submitted" if line.attribute("fate").as_deref() == Some("InTheLog") => {
                let submitted = at - duration("took_ms").unwrap_or(0);
                self.submitted = Some(self.submitted.map_or(submitted, |t| t.min(submitted)));
                self.accepted = Some(self.accepted.map_or(at, |t| t.min(at)));
                self.items = number("items").unwrap_or(0);
            }
            "job_begun" => {
                self.started = Some(self.started.map_or(at, |t| t.min(at)));
                self.model = line.attribute("model").unwrap_or_default();
                let wanted = number("groups_wanted").and_then(|n| usize::try_from(n).ok());
                self.groups_wanted = wanted.unwrap_or(0);
                self.due_ms = duration("due_ms");
            }
            "job_ended" => self.ended = Some(self.ended.map_or(at, |t| t.min(at))),
            "item_done" | "item_given_up" => {
                let group = line.attribute("group").unwrap_or_default();
                let size = number("group_items").and_then(|n| usize::try_from(n).ok());
                self.group_sizes.insert(group.clone(), size.unwrap_or(usize::MAX));
                let item = FinishedItem {
                    id: line.attribute("id").unwrap_or_default(),
                    started: at - duration("took_ms").unwrap_or(0),
                    finished: at,
                    completed: line.event() == "item_done",
                    staleness: line.staleness(),
                };
                let items = self.groups.entry(group).or_default();
                // An item may run twice; only its first result counts.
                if !items.iter().any(|known| known.id == item.id) {
                    items.push(item);
                }
            }
            _ => {}
        }
    }

    /// Returns the items that completed or were given up, in no particular
    /// order.
    pub fn finished_items(&self) -> impl Iterator<Item = &FinishedItem> {
        self.groups.values().flatten()
    }

    /// Returns the complete groups, sorted by the time of their completion.
    fn complete_groups(&self) -> Vec<CompleteGroup> {
        let complete = self.groups.iter().filter(|(id, items)| {
            self.group_sizes.get(*id).is_some_and(|size| items.len() >= *size)
        });
        let groups = complete.filter_map(|(id, items)| {
            let last_item = items.iter().max_by_key(|item| item.finished)?.clone();
            Some(CompleteGroup { id: id.clone(), last_item })
        });
        let mut groups: Vec<_> = groups.collect();
        groups.sort_by_key(|group| group.last_item.finished);
        groups
    }

    /// Counts the wanted groups by whether they were complete in time; `None`
    /// if the due time isn't known.
    #[must_use]
    pub fn group_counts(&self) -> Option<GroupCounts> {
        let due = self.submitted? + self.due_ms?;
        let complete = self.complete_groups();
        let in_time = complete.iter().filter(|group| group.last_item.finished <= due).count();
        let in_time = in_time.min(self.groups_wanted);
        let late = complete.len().min(self.groups_wanted) - in_time;
        let incomplete = self.groups_wanted - in_time - late;
        Some(GroupCounts { in_time, late, incomplete })
    }

    /// Returns the group whose completion made up the wanted number; `None` if
    /// fewer groups are complete.
    #[must_use]
    pub fn last_wanted_group(&self) -> Option<CompleteGroup> {
        self.complete_groups().into_iter().nth(self.groups_wanted.checked_sub(1)?)
    }

    /// Returns the time from the submission until the trainer ended the job.
    #[must_use]
    pub fn trainer_wait(&self) -> Option<Millis> {
        Some(self.ended? - self.submitted?)
    }
}
