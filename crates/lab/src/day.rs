//! A day's logs as tables and plots.

use std::path::Path;

use anyhow::Context;
use cassia_explain::DaySummary;
use cassia_explain::GroupCounts;
use cassia_explain::JobSummary;
use cassia_explain::Millis;

use crate::plot;
use crate::plot::Bars;
use crate::plot::Curve;
use crate::report::Table;

/// Percent of requests whose time a plot shows.
const SHOWN_PERCENT: [usize; 13] = [1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 99];

/// What the logs say of each route's requests.
pub(crate) fn routes(day: &DaySummary) -> Table {
    let mut table =
        Table::new(&["route", "answered", "p50 ms", "p99 ms", "failed", "refused, by reason"]);
    for (name, route) in &day.routes {
        let quantile =
            |percent| route.percentile_ms(percent).map_or_else(String::new, |ms| ms.to_string());
        let refused = route.refused.iter().map(|(kind, count)| format!("{kind} {count}"));
        table.row(vec![
            name.clone(),
            route.answered_ms.len().to_string(),
            quantile(50),
            quantile(99),
            route.failed.to_string(),
            refused.collect::<Vec<_>>().join(", "),
        ]);
    }
    table
}

/// What the logs say of each model's batch jobs.
pub(crate) fn models(day: &DaySummary) -> Table {
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
        let groups = groups(&jobs);
        let items = || jobs.iter().flat_map(|(_, job)| job.finished_items());
        let staleness = day.staleness_counts(&model);
        let known: usize = staleness.values().sum();
        let total: u64 =
            staleness.iter().map(|(by, count)| by * u64::try_from(*count).unwrap_or(0)).sum();
        let mean = number(total) / number(known).max(1.0);
        table.row(vec![
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

/// What the logs say of each batch job, by model and time; in milliseconds
/// from when it was handed in.
pub(crate) fn jobs(day: &DaySummary) -> Table {
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
            table.row(job_row(&model, id, job));
        }
    }
    table
}

fn job_row(model: &str, id: &str, job: &JobSummary) -> Vec<String> {
    let since = |at: Option<Millis>| match (at, job.submitted) {
        (Some(at), Some(submitted)) => (at - submitted).to_string(),
        _ => String::new(),
    };
    let mut done: Vec<_> = job.finished_items().map(|item| item.finished).collect();
    done.sort_unstable();
    let half = usize::try_from(job.items / 2).unwrap_or(usize::MAX);
    let groups = job.group_counts().unwrap_or_default();
    vec![
        model.to_owned(),
        id.to_owned(),
        since(job.accepted),
        since(job.started),
        since(job.finished_items().map(|item| item.started).min()),
        since(done.get(half).copied()),
        since(job.last_wanted_group().map(|group| group.last_item.finished)),
        job.due_ms.map_or_else(String::new, |ms| ms.to_string()),
        since(job.ended),
        groups.in_time.to_string(),
        groups.late.to_string(),
        groups.incomplete.to_string(),
    ]
}

fn groups(jobs: &[(&str, &JobSummary)]) -> GroupCounts {
    let mut sum = GroupCounts::default();
    for groups in jobs.iter().filter_map(|(_, job)| job.group_counts()) {
        sum.in_time += groups.in_time;
        sum.late += groups.late;
        sum.incomplete += groups.incomplete;
    }
    sum
}

/// Writes the day's plots into a folder.
///
/// # Errors
///
/// The folder or a file can't be written.
pub(crate) fn plots(day: &DaySummary, dir: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(dir).with_context(|| format!("make {}", dir.display()))?;
    plot_requests(day, dir)?;
    plot_models(day, dir)
}

fn plot_requests(day: &DaySummary, dir: &Path) -> anyhow::Result<()> {
    let times = day.routes.iter().map(|(name, route)| {
        let point = |percent| Some((number(percent), number(route.percentile_ms(percent)?)));
        let points = SHOWN_PERCENT.into_iter().filter_map(point).collect();
        Curve { name: name.clone(), points }
    });
    let times: Vec<_> = times.collect();
    plot::curves(
        &dir.join("requests.svg"),
        "times of answered requests",
        ["% of the requests", "ms at most"],
        &times,
    )?;
    let mut kinds: Vec<_> = day.routes.values().flat_map(|r| r.refused.keys().cloned()).collect();
    kinds.sort();
    kinds.dedup();
    let refused = day.routes.iter().filter(|(_, route)| !route.refused.is_empty());
    let refused = refused.map(|(name, route)| Bars {
        name: name.clone(),
        values: kinds.iter().map(|kind| number(*route.refused.get(kind).unwrap_or(&0))).collect(),
    });
    let refused: Vec<_> = refused.collect();
    plot::bars(&dir.join("refused.svg"), "refused requests by reason", &kinds, &refused)
}

fn plot_models(day: &DaySummary, dir: &Path) -> anyhow::Result<()> {
    let models = day.models();
    let groups: Vec<_> = models.iter().map(|model| groups(&day.jobs_of(model))).collect();
    let row = |name: &str, value: fn(&GroupCounts) -> usize| Bars {
        name: name.to_owned(),
        values: groups.iter().map(|groups| number(value(groups))).collect(),
    };
    let rows =
        [row("in time", |g| g.in_time), row("late", |g| g.late), row("never", |g| g.incomplete)];
    plot::bars(&dir.join("groups.svg"), "wanted groups by their due time", &models, &rows)?;

    let staleness: Vec<_> = models.iter().map(|model| day.staleness_counts(model)).collect();
    let most = staleness.iter().flat_map(|counts| counts.keys()).max().copied().unwrap_or(0);
    let labels: Vec<_> = (0..=most).map(|by| by.to_string()).collect();
    let rows = models.iter().zip(&staleness).map(|(model, counts)| Bars {
        name: model.clone(),
        values: (0..=most).map(|by| number(*counts.get(&by).unwrap_or(&0))).collect(),
    });
    let rows: Vec<_> = rows.collect();
    plot::bars(&dir.join("staleness.svg"), "items by versions behind", &labels, &rows)?;

    let idle = models.iter().map(|model| 100.0 * day.trainer_idle_fraction(model)).collect();
    let idle = [Bars { name: "% of the day".to_owned(), values: idle }];
    plot::bars(&dir.join("idle.svg"), "time that trainers waited", &models, &idle)?;

    let begin = day.time_range.map_or(0, |(from, _)| from);
    let steps = models.iter().map(|model| {
        let point = |job: &JobSummary| {
            let submitted = job.submitted?;
            let whole = job.last_wanted_group()?.last_item.finished - submitted;
            Some((number(submitted - begin) / 1e3, number(whole)))
        };
        let points = day.jobs_of(model).into_iter().filter_map(|(_, job)| point(job)).collect();
        Curve { name: model.clone(), points }
    });
    let steps: Vec<_> = steps.collect();
    plot::curves(
        &dir.join("steps.svg"),
        "time until a step's wanted groups were whole",
        ["handed in, s of the day", "ms"],
        &steps,
    )
}

fn number(n: impl TryInto<u32>) -> f64 {
    n.try_into().map_or(0.0, f64::from)
}
