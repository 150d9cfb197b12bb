//! The demand controller: reports this host's work at scaled services to the
//! host that orders engines, through a keyed topic of the store.
//!
//! Each host knows its own requests and jobs, so the host that orders engines
//! reads no partition of the jobs' log for them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::PartitionRef;
use cassia_clients::StoreError;
use cassia_jobs::Job;
use cassia_jobs::JobId;
use cassia_jobs::Submission;
use cassia_route::RouteTable;
use cassia_route::TargetKind;
use cassia_scaling::HostDemand;
use cassia_scaling::JobDemand;
use cassia_scaling::ServiceDemand;
use prost::Message;
use smol_str::SmolStr;

use crate::app::App;
use crate::clock::millis;
use crate::clock::unix_ms;
use crate::lock::lock;

/// The topic of the hosts' reports, by host.
pub(crate) const DEMAND_TOPIC: &str = "keyed.demand";
/// How often the work is counted, and reported if jobs changed or callers' requests rose.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);
/// How often the report is renewed if only callers' requests changed.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a job is reported after it was accepted: its trainer's period is
/// seen from its submissions.
const JOB_RETENTION: Duration = Duration::from_mins(5);
/// Maximum number of jobs in a report; the newest are kept.
const MAX_JOBS: usize = 64;
/// Least rise of callers' requests that is reported at once, in thousandths.
const MIN_RISE_MILLI: u64 = 2_000;
/// Weight of a count in the average of callers' requests, in percent.
const COUNT_WEIGHT_PERCENT: u64 = 30;

/// A job whose items this host runs.
#[derive(Clone, Debug)]
struct KnownJob {
    partition: u32,
    service: SmolStr,
    model: String,
    accepted_ms: u64,
}

/// This host's work at scaled services.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    jobs: Mutex<BTreeMap<JobId, KnownJob>>,
    /// Items of jobs in flight, by service.
    items: Mutex<BTreeMap<SmolStr, u32>>,
}

impl Demand {
    /// Records a job that starts here, if its items run at a scaled service.
    pub(crate) fn record_job(&self, table: &RouteTable, partition: u32, submission: &Submission) {
        let Some(first) = submission.items.first().filter(|_| !table.scaling.is_empty()) else {
            return;
        };
        let Some(route) = table.find(&submission.host, &first.path) else { return };
        let scaled = route.split.iter().find(|(service, _)| table.scaling.contains_key(service));
        let Some((service, _)) = scaled else { return };
        let job = KnownJob {
            partition,
            service: service.clone(),
            model: submission.model.clone(),
            accepted_ms: submission.accepted_ms,
        };
        lock(&self.jobs).insert(submission.id.as_str().into(), job);
    }

    /// Counts an item that starts at an engine of a service.
    pub(crate) fn begin_item(&self, service: &SmolStr) {
        *lock(&self.items).entry(service.clone()).or_default() += 1;
    }

    /// Counts an item that is no longer at an engine.
    pub(crate) fn end_item(&self, service: &SmolStr) {
        if let Some(count) = lock(&self.items).get_mut(service) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the jobs of the partitions that this host owns.
    fn jobs(&self, app: &App) -> Vec<JobDemand> {
        let oldest_ms = unix_ms().saturating_sub(millis(JOB_RETENTION));
        let owned = app.state.owned.borrow().clone();
        let mut jobs = lock(&self.jobs);
        let mut known = Vec::new();
        jobs.retain(|id, job| {
            let table = app.job_log.table(job.partition);
            let Some(state) = table.job(id).filter(|_| owned.contains(&job.partition)) else {
                return false;
            };
            known.push(job_demand(id, job, state));
            job.accepted_ms >= oldest_ms || state.is_open()
        });
        drop(jobs);
        known.sort_unstable_by_key(|job| std::cmp::Reverse(job.accepted_ms));
        known.truncate(MAX_JOBS);
        known
    }
}

fn job_demand(id: &JobId, job: &KnownJob, state: &Job) -> JobDemand {
    let items = u32::try_from(state.item_count()).unwrap_or(u32::MAX);
    let results = u32::try_from(state.results.len()).unwrap_or(u32::MAX);
    JobDemand {
        id: id.to_string(),
        service: job.service.to_string(),
        model: job.model.clone(),
        accepted_ms: job.accepted_ms,
        items,
        items_left: if state.ended { 0 } else { items.saturating_sub(results) },
    }
}

/// Reports this host's work until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    let mut reporter = Reporter::default();
    loop {
        tokio::time::sleep(COUNT_INTERVAL).await;
        if let Err(e) = reporter.report(&app).await {
            log::debug!(event = "demand_failed", step = e.step; "{e}");
        }
    }
}

/// What this host reported last.
#[derive(Debug, Default)]
struct Reporter {
    /// Average of callers' requests in flight, in thousandths, by service.
    callers_milli: BTreeMap<SmolStr, u64>,
    reported: HostDemand,
    renew_at: Option<Instant>,
}

impl Reporter {
    async fn report(&mut self, app: &App) -> Result<(), StoreError> {
        let demand = self.count(app);
        let now = Instant::now();
        let is_renewal = self.renew_at.is_none_or(|at| now >= at);
        let has_work = demand != HostDemand::default() || self.reported != HostDemand::default();
        let is_due =
            is_renewal || demand.jobs != self.reported.jobs || is_rise(&self.reported, &demand);
        if !has_work || !is_due {
            return Ok(());
        }
        let partition = PartitionRef { topic: DEMAND_TOPIC, partition: 0 };
        // Without work the value is empty, which deletes the record.
        let value = demand.encode_to_vec();
        app.store.put(partition, &app.state.host, &value, now + CALL_TIMEOUT).await?;
        self.reported = demand;
        self.renew_at = Some(now + RENEW_INTERVAL);
        Ok(())
    }

    fn count(&mut self, app: &App) -> HostDemand {
        let table = app.state.routes.load();
        let Some(table) = table.as_ref().filter(|table| !table.scaling.is_empty()) else {
            self.callers_milli.clear();
            return HostDemand::default();
        };
        let targets = app.state.targets.load();
        let items = lock(&app.demand.items).clone();
        let mut services = Vec::new();
        for service in table.scaling.keys() {
            let kind = TargetKind::Service { name: service.clone() };
            let in_flight: u32 = targets.of_kind(&kind).iter().map(|t| t.in_flight()).sum();
            let items = items.get(service).copied().unwrap_or(0);
            let callers = u64::from(in_flight.saturating_sub(items)) * 1_000;
            let average = self.callers_milli.entry(service.clone()).or_default();
            *average =
                (*average * (100 - COUNT_WEIGHT_PERCENT) + callers * COUNT_WEIGHT_PERCENT) / 100;
            let callers_milli = *average;
            if callers_milli > 0 || items > 0 {
                let service = service.to_string();
                services.push(ServiceDemand { service, callers_milli, items });
            }
        }
        HostDemand { services, jobs: app.demand.jobs(app) }
    }
}

/// Returns whether callers' requests rose so much that engines may be missing.
fn is_rise(reported: &HostDemand, demand: &HostDemand) -> bool {
    let callers =
        |demand: &HostDemand| demand.services.iter().map(|s| s.callers_milli).sum::<u64>();
    callers(demand) > callers(reported) * 5 / 4 + MIN_RISE_MILLI
}
