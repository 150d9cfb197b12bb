//! Aggregates of all requests and batch jobs in a day's logs.

use std::collections::BTreeMap;

use crate::JobSummary;
use crate::LogLine;
use crate::Millis;

/// Outcomes of the requests of one route.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteSummary {
    /// Durations of the answered requests in milliseconds, sorted.
    pub answered_ms: Vec<u64>,
    /// Number of requests that ran and failed.
    pub failed: u64,
    /// Number of requests that no target answered, by the kind of refusal.
    pub refused: BTreeMap<String, u64>,
}

impl RouteSummary {
    /// Returns a percentile of the answered requests' durations; `None` if
    /// none was answered.
    #[must_use]
    pub fn percentile_ms(&self, percent: usize) -> Option<u64> {
        let last = self.answered_ms.len().checked_sub(1)?;
        self.answered_ms.get(last * percent / 100).copied()
    }
}

/// The requests, batch jobs, versions and orders in the logs of all hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DaySummary {
    /// Requests by route.
    pub routes: BTreeMap<String, RouteSummary>,
    /// Batch jobs by id.
    pub jobs: BTreeMap<String, JobSummary>,
    /// Time at which each version became the wanted version of its model, by
    /// model and version.
    pub versions: BTreeMap<(String, u64), Millis>,
    /// Number of orders sent to engines.
    pub orders: u64,
    /// Times of the first and the last line.
    pub time_range: Option<(Millis, Millis)>,
    /// Number of lines that hosts left out because they exceeded their log
    /// budgets; the other counts are too low by up to this number.
    pub left_out: u64,
}

impl DaySummary {
    /// Builds the summary from log lines in any order; other text is ignored.
    pub fn from_lines<'a>(lines: impl Iterator<Item = &'a str>) -> Self {
        let mut summary = Self::default();
        for line in lines.filter_map(LogLine::parse) {
            summary.add_line(&line);
        }
        for route in summary.routes.values_mut() {
            route.answered_ms.sort_unstable();
        }
        summary
    }

    fn add_line(&mut self, line: &LogLine) {
        let Some(at) = line.time_ms() else {
            return;
        };
        let (from, to) = self.time_range.unwrap_or((at, at));
        self.time_range = Some((from.min(at), to.max(at)));
        let number = |name: &str| line.attribute(name).and_then(|text| text.parse::<u64>().ok());
        let route = || line.attribute("route").unwrap_or_else(|| "none".to_owned());
        match line.event().as_str() {
            "request_done" => {
                let took = number("took_ms").unwrap_or(0);
                self.routes.entry(route()).or_default().answered_ms.push(took);
            }
            "request_failed" => self.routes.entry(route()).or_default().failed += 1,
            "request_refused" => {
                let kind = line.attribute("kind").unwrap_or_default();
                let refused = &mut self.routes.entry(route()).or_default().refused;
                *refused.entry(kind).or_default() += 1;
            }
            "job_submitted" | "job_begun" | "job_ended" => self.add_job_line("id", line),
            "item_done" | "item_given_up" => self.add_job_line("job", line),
            "version_named" => {
                let model = line.attribute("model").unwrap_or_default();
                let named = self.versions.entry((model, number("version").unwrap_or(0)));
                let named = named.or_insert(at);
                *named = at.min(*named);
            }
            "order" => self.orders += 1,
            "left_out" => self.left_out += number("count").unwrap_or(0),
            _ => {}
        }
    }

    fn add_job_line(&mut self, id_attribute: &str, line: &LogLine) {
        if let Some(job) = line.attribute(id_attribute) {
            self.jobs.entry(job).or_default().add_line(line);
        }
    }

    /// Returns the models of the batch jobs, sorted by name.
    #[must_use]
    pub fn models(&self) -> Vec<String> {
        let mut models: Vec<_> = self.jobs.values().map(|job| job.model.clone()).collect();
        models.retain(|model| !model.is_empty());
        models.sort();
        models.dedup();
        models
    }

    /// Returns the batch jobs of a model, sorted by the time of submission.
    #[must_use]
    pub fn jobs_of(&self, model: &str) -> Vec<(&str, &JobSummary)> {
        let of_model = self.jobs.iter().filter(|(_, job)| job.model == model);
        let mut jobs: Vec<_> = of_model.map(|(id, job)| (id.as_str(), job)).collect();
        jobs.sort_by_key(|(_, job)| job.submitted);
        jobs
    }

    /// Returns the number of finished items of a model at each staleness.
    #[must_use]
    pub fn staleness_counts(&self, model: &str) -> BTreeMap<u64, usize> {
        let mut counts = BTreeMap::new();
        for (_, job) in self.jobs_of(model) {
            for staleness in job.finished_items().filter_map(|item| item.staleness) {
                *counts.entry(staleness).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the fraction of the time range, from 0 to 1, during which a
    /// model's trainer waited for batch jobs.
    #[must_use]
    pub fn trainer_idle_fraction(&self, model: &str) -> f64 {
        let waits = self.jobs_of(model).into_iter().filter_map(|(_, job)| job.trainer_wait());
        let waited = u32::try_from(waits.sum::<Millis>()).unwrap_or(u32::MAX);
        let duration = self.time_range.map_or(1, |(from, to)| (to - from).max(1));
        f64::from(waited) / f64::from(u32::try_from(duration).unwrap_or(u32::MAX))
    }
}
