//! Tables and plots of a day's logs.

use std::path::Path;

use anyhow::Context;
use cassia_explain::DaySummary;
use cassia_explain::GroupCounts;
use cassia_explain::JobSummary;
use cassia_explain::Millis;

use crate::plot;
use crate::plot::BarSeries;
use crate::plot::Curve;
use crate::report::Table;

/// The percentiles of request durations in the plot.
const PLOTTED_PERCENTILES: [usize; 13] = [1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 99];

/// Returns a table with a row for each route's requests.
pub(crate) fn route_table(day: &DaySummary) -> Table {
    let mut table =
        Table::new(&["route", "answered", "p50 ms", "p99 ms", "failed", "refused, by reason"]);
    for (name, route) in &day.routes {
        let percentile =
            |percent| route.percentile_ms(percent).map_or_else(String::new, |ms| ms.to_string());
        let refused = route.refused.iter().map(|(kind, count)| format!("{kind} {count}"));
        table.add_row(vec![
            name.clone(),
            route.answered_ms.len().to_string(),
            percentile(50),
            percentile(99),
            route.failed.to_string(),
            refused.collect::<Vec<_>>().join(", "),
        ]);
    }
    table
}

/// Returns a table with a row for each model's batch jobs.
pub(crate) fn model_table(day: &DaySummary) -> Table {
    let mut table = Table::new(&[
        "model",
        "jobs",
        "ended",
        "groups in time",
        "late",
        "never",
        "items",
        "given up",
        "staleness mean",
        "max",
        "versions",
        "trainer idle %",
    ]);
    for model in day.models() {
        let jobs = day.jobs_of(&model);
        let groups = sum_group_counts(&jobs);
        let items = || jobs.iter().flat_map(|(_, job)| job.finished_items());
        let staleness = day.staleness_counts(&model);
        let counted: usize = staleness.values().sum();
        let total: u64 = staleness
            .iter()
            .map(|(versions, count)| versions * u64::try_from(*count).unwrap_or(0))
            .sum();
        let mean = to_f64(total) / to_f64(counted).max(1.0);
        table.add_row(vec![
            model.clone(),
            jobs.len().to_string(),
            jobs.iter().filter(|(_, job)| job.ended.is_some()).count().to_string(),
            groups.in_time.to_string(),
            groups.late.to_string(),
            groups.incomplete.to_string(),
            items().count().to_string(),
            items().filter(|item| !item.completed).count().to_string(),
            format!("{mean:.2}"),
            staleness.keys().max().map_or_else(String::new, ToString::to_string),
            day.versions.keys().filter(|(named, _)| *named == model).count().to_string(),
            format!("{:.1}", 100.0 * day.trainer_idle_fraction(&model)),
        ]);
    }
    table
}

/// Returns a table with a row for each batch job, sorted by model and time of
/// submission. Times are in milliseconds since the submission.
pub(crate) fn job_table(day: &DaySummary) -> Table {
    let mut table = Table::new(&[
        "model",
        "job",
        "accepted",
        "begun",
        "first item",
        "half done",
        "wanted whole",
        "due",
        "ended",
        "in time",
        "late",
        "never",
    ]);
    for model in day.models() {
        for (id, job) in day.jobs_of(&model) {
            table.add_row(job_row(&model, id, job));
        }
    }
    table
}

fn job_row(model: &str, id: &str, job: &JobSummary) -> Vec<String> {
    let since_submission = |time: Option<Millis>| match (time, job.submitted) {
        (Some(time), Some(submitted)) => (time - submitted).to_string(),
        _ => String::new(),
    };
    let mut finished: Vec<_> = job.finished_items().map(|item| item.finished).collect();
    finished.sort_unstable();
    let half = usize::try_from(job.items / 2).unwrap_or(usize::MAX);
    let groups = job.group_counts().unwrap_or_default();
    vec![
        model.to_owned(),
        id.to_owned(),
        since_submission(job.accepted),
        since_submission(job.started),
        since_submission(job.finished_items().map(|item| item.started).min()),
        since_submission(finished.get(half).copied()),
        since_submission(job.last_wanted_group().map(|group| group.last_item.finished)),
        job.due_ms.map_or_else(String::new, |ms| ms.to_string()),
        since_submission(job.ended),
        groups.in_time.to_string(),
        groups.late.to_string(),
        groups.incomplete.to_string(),
    ]
}

fn sum_group_counts(jobs: &[(&str, &JobSummary)]) -> GroupCounts {
    let mut sum = GroupCounts::default();
    for groups in jobs.iter().filter_map(|(_, job)| job.group_counts()) {
        sum.in_time += groups.in_time;
        sum.late += groups.late;
        sum.incomplete += groups.incomplete;
    }
    sum
}

/// Writes the plots of a day into a folder.
///
/// # Errors
///
/// The folder or a file can't be written.
pub(crate) fn write_plots(day: &DaySummary, dir: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(dir).with_context(|| format!("can't create {}", dir.display()))?;
    write_request_plots(day, dir)?;
    write_model_plots(day, dir)
}

fn write_request_plots(day: &DaySummary, dir: &Path) -> anyhow::Result<()> {
    let times = day.routes.iter().map(|(name, route)| {
        let point = |percent| Some((to_f64(percent), to_f64(route.percentile_ms(percent)?)));
        let points = PLOTTED_PERCENTILES.into_iter().filter_map(point).collect();
        Curve { name: name.clone(), points }
    });
    let times: Vec<_> = times.collect();
    plot::write_curves(
        &dir.join("requests.svg"),
        "times of answered requests",
        ["% of the requests", "ms at most"],
        &times,
    )?;
    let mut kinds: Vec<_> = day.routes.values().flat_map(|r| r.refused.keys().cloned()).collect();
    kinds.sort();
    kinds.dedup();
    let refused = day.routes.iter().filter(|(_, route)| !route.refused.is_empty());
    let refused = refused.map(|(name, route)| BarSeries {
        name: name.clone(),
        values: kinds.iter().map(|kind| to_f64(*route.refused.get(kind).unwrap_or(&0))).collect(),
    });
    let refused: Vec<_> = refused.collect();
    plot::write_bars(&dir.join("refused.svg"), "refused requests by reason", &kinds, &refused)
}

fn write_model_plots(day: &DaySummary, dir: &Path) -> anyhow::Result<()> {
    let models = day.models();
    let groups: Vec<_> = models.iter().map(|model| sum_group_counts(&day.jobs_of(model))).collect();
    let series = |name: &str, value: fn(&GroupCounts) -> usize| BarSeries {
        name: name.to_owned(),
        values: groups.iter().map(|groups| to_f64(value(groups))).collect(),
    };
    let series = [
        series("in time", |g| g.in_time),
        series("late", |g| g.late),
        series("never", |g| g.incomplete),
    ];
    plot::write_bars(&dir.join("groups.svg"), "wanted groups by their due time", &models, &series)?;

    let staleness: Vec<_> = models.iter().map(|model| day.staleness_counts(model)).collect();
    let max = staleness.iter().flat_map(|counts| counts.keys()).max().copied().unwrap_or(0);
    let labels: Vec<_> = (0..=max).map(|versions| versions.to_string()).collect();
    let series = models.iter().zip(&staleness).map(|(model, counts)| BarSeries {
        name: model.clone(),
        values: (0..=max).map(|versions| to_f64(*counts.get(&versions).unwrap_or(&0))).collect(),
    });
    let series: Vec<_> = series.collect();
    plot::write_bars(&dir.join("staleness.svg"), "items by versions behind", &labels, &series)?;

    let idle = models.iter().map(|model| 100.0 * day.trainer_idle_fraction(model)).collect();
    let idle = [BarSeries { name: "% of the day".to_owned(), values: idle }];
    plot::write_bars(&dir.join("idle.svg"), "time that trainers waited", &models, &idle)?;

    let start = day.time_range.map_or(0, |(from, _)| from);
    let steps = models.iter().map(|model| {
        let point = |job: &JobSummary| {
            let submitted = job.submitted?;
            let complete = job.last_wanted_group()?.last_item.finished - submitted;
            Some((to_f64(submitted - start) / 1e3, to_f64(complete)))
        };
        let points = day.jobs_of(model).into_iter().filter_map(|(_, job)| point(job)).collect();
        Curve { name: model.clone(), points }
    });
    let steps: Vec<_> = steps.collect();
    plot::write_curves(
        &dir.join("steps.svg"),
        "time until a step's wanted groups were whole",
        ["handed in, s of the day", "ms"],
        &steps,
    )
}

fn to_f64(n: impl TryInto<u32>) -> f64 {
    n.try_into().map_or(0.0, f64::from)
}
