//! The demand for slots: callers, open jobs and jobs that are due soon.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::DataCentre;
use cassia_ids::ModelName;
use smol_str::SmolStr;

/// Number of a model's last submissions that are kept.
const KEPT_SUBMISSIONS: usize = 9;
/// How long jobs are known by their ids, for those that are reported again.
const KNOWN_JOB_RETENTION: Duration = Duration::from_mins(10);
/// A model that submits nothing for this many periods is no longer expected to.
const MAX_MISSED_PERIODS: u32 = 3;
/// Period of a model that has submitted one job.
const ASSUMED_PERIOD: Duration = Duration::from_mins(1);
/// The next job is expected this part of the period early, since steps differ in
/// length.
const EARLY_PART: f64 = 0.2;
/// Longer gaps are pauses of a trainer, not a period.
pub(crate) const MAX_PERIOD: Duration = Duration::from_mins(2);
/// Maximum number of models that are kept; the one without a job for longest is
/// removed first.
const MAX_MODELS: usize = 256;

/// One engine as its heartbeat and load reports show it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it may be reclaimed at any time.
    pub spot: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of requests at it.
    pub load: u32,
    /// Its capacity as a part of that of a healthy engine: 0 if it can't be
    /// reached, less than 1 if it is slow.
    pub speed: f64,
}

/// A batch job with items left.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenJob {
    /// Its model.
    pub model: ModelName,
    /// Number of items without a result.
    pub items_left: u32,
}

/// A batch job that was submitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    /// Its id; a job that is known already is ignored.
    pub id: SmolStr,
    /// Its model.
    pub model: ModelName,
    /// When it was submitted.
    pub at: Instant,
    /// Its number of items.
    pub items: u32,
}

/// What is known of a service at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// Its engines that are present.
    pub engines: Vec<EngineState>,
    /// Callers' requests at the engines.
    pub callers: u32,
    /// Callers' requests that wait for a slot.
    pub waiting: u32,
    /// The jobs with items left.
    pub jobs: Vec<OpenJob>,
    /// The jobs that were submitted lately.
    pub submissions: Vec<Submission>,
}

/// Slots that work needs at one time.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Demand {
    /// Slots for all work.
    pub(crate) slots: u32,
    /// Of these, slots for callers.
    pub(crate) callers: u32,
}

/// The submissions of each model.
#[derive(Debug, Default)]
pub(crate) struct Submissions {
    models: BTreeMap<ModelName, VecDeque<(Instant, u32)>>,
    /// The jobs that were recorded, with the time of their submission.
    known: BTreeMap<SmolStr, Instant>,
}

impl Submissions {
    pub(crate) fn record(&mut self, submission: &Submission, now: Instant) {
        self.known.retain(|_, at| now < *at + KNOWN_JOB_RETENTION);
        if submission.at + KNOWN_JOB_RETENTION <= now
            || self.known.insert(submission.id.clone(), submission.at).is_some()
        {
            return;
        }
        let known = self.models.entry(submission.model.clone()).or_default();
        known.push_back((submission.at, submission.items));
        known.make_contiguous().sort_unstable_by_key(|(at, _)| *at);
        if known.len() > KEPT_SUBMISSIONS {
            known.pop_front();
        }
        while self.models.len() > MAX_MODELS {
            let last = |(_, known): &(&ModelName, &VecDeque<_>)| known.back().copied();
            let oldest = self.models.iter().min_by_key(last).map(|(model, _)| model.clone());
            let Some(oldest) = oldest else { return };
            self.models.remove(&oldest);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.models.is_empty()
    }

    /// Returns the longest period of a model that still submits jobs; that of a model
    /// with a single job is assumed.
    pub(crate) fn longest_period(&self, now: Instant) -> Option<Duration> {
        let periods = self.models.values().filter_map(|known| {
            let (last, _) = known.back()?;
            let longest = gaps(known).max().unwrap_or(ASSUMED_PERIOD);
            (now < *last + longest * MAX_MISSED_PERIODS).then_some(longest)
        });
        periods.max()
    }

    /// Returns the number of items of the model's job that is expected within
    /// `ahead`; 0 if none is.
    fn expected_items(&self, model: &str, now: Instant, ahead: Duration) -> u32 {
        let Some(known) = self.models.get(model) else { return 0 };
        let Some((last, _)) = known.back() else { return 0 };
        let mut gaps: Vec<_> = gaps(known).collect();
        gaps.sort_unstable();
        let Some(period) = gaps.get(gaps.len() / 2) else { return 0 };
        let due = *last + period.mul_f64(1.0 - EARLY_PART);
        if now + ahead < due || now > *last + *period * MAX_MISSED_PERIODS {
            return 0;
        }
        known.iter().rev().take(3).map(|(_, items)| *items).max().unwrap_or(0)
    }
}

/// The times between a model's submissions that are no pauses.
fn gaps(known: &VecDeque<(Instant, u32)>) -> impl Iterator<Item = Duration> {
    let pairs = known.iter().zip(known.iter().skip(1));
    pairs.map(|((at, _), (next, _))| *next - *at).filter(|gap| *gap <= MAX_PERIOD)
}

/// Returns the slots that let all items of the jobs that are open or expected
/// within `ahead` run at once, beside the callers' requests.
///
/// That is never less than what a job needs to finish by its due time, if its
/// items can finish by then at all. An open job and the next one of the same
/// model are not added: a trainer submits it when the last one is complete.
pub(crate) fn demand(
    seen: &Observation,
    submissions: &Submissions,
    ahead: Duration,
    now: Instant,
) -> Demand {
    let mut items: BTreeMap<&str, u32> = BTreeMap::new();
    for job in &seen.jobs {
        let left = items.entry(&job.model).or_default();
        *left = left.saturating_add(job.items_left);
    }
    for model in submissions.models.keys() {
        let expected = submissions.expected_items(model, now, ahead);
        let left = items.entry(model).or_default();
        *left = expected.max(*left);
    }
    let items = items.values().fold(0, |sum: u32, items| sum.saturating_add(*items));
    let load: u32 = seen.engines.iter().map(|engine| engine.load).sum();
    let running_items = load.saturating_sub(seen.callers);
    let callers = seen.callers.saturating_add(seen.waiting);
    Demand {
        // Items at engines are among the open jobs; if these are not known, the
        // load is all there is.
        slots: items.max(running_items).saturating_add(callers),
        callers,
    }
}
