//! A run, from its seed to its report.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_trials::Connections;
use cassia_trials::PlatformClient;
use futures::future::join_all;
use tokio::time::sleep;

use crate::Checker;
use crate::cluster::Cluster;
use crate::load;
use crate::plan_faults;

const CALLERS_PER_PROCESS: usize = 3;
/// Each caller keeps a connection to each process, and file descriptors are
/// limited.
const MAX_CALLERS: usize = 12;
/// Number of trainers; the first publishes weight versions.
const TRAINERS: usize = 3;
const ENGINES: usize = 4;
const SERVICES: usize = 3;
/// How long the system may take to recover after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(25);
/// Minimum time between the orders of two holders. Slightly shorter than the
/// lease of the processes, since the times are taken at the engines.
const MIN_HOLDER_GAP: Duration = Duration::from_millis(2_900);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of items of the final job of a run.
const FINAL_JOB_ITEMS: usize = 16;

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// The seed of the faults.
    pub seed: u64,
    /// How long faults are injected.
    pub length: Duration,
    /// The number of processes.
    pub processes: usize,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Number of violations by guarantee.
    pub violations: BTreeMap<&'static str, u64>,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
    /// Counters of what happened in the run.
    pub counts: BTreeMap<&'static str, u64>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts: Vec<_> =
            self.counts.iter().map(|(counter, n)| format!("{counter} {n}")).collect();
        let verdict = if self.violations.is_empty() { "no promise broken" } else { "BROKEN" };
        write!(f, "seed {}: {verdict}; {}", self.seed, counts.join(", "))?;
        for (guarantee, count) in &self.violations {
            write!(f, "\n  {guarantee}: {count}")?;
        }
        for example in &self.examples {
            write!(f, "\n    {example}")?;
        }
        Ok(())
    }
}

impl Soak {
    /// Runs the programs under faults and checks their guarantees.
    ///
    /// # Errors
    ///
    /// Fails if the processes or stand-ins can't be started.
    pub async fn run(self) -> anyhow::Result<Report> {
        let checker = Arc::new(Checker::default());
        let cluster =
            Cluster::start(Arc::clone(&checker), self.processes, ENGINES, SERVICES).await?;
        let cluster = Arc::new(cluster);
        let background = tokio::spawn({
            let cluster = Arc::clone(&cluster);
            async move { cluster.run_heartbeats_and_probes().await }
        });
        let version = Arc::new(AtomicU64::new(1));
        let mut load = Vec::new();
        for caller in 0..(CALLERS_PER_PROCESS * self.processes).min(MAX_CALLERS) {
            load.push(tokio::spawn(load::run_caller(Arc::clone(&cluster), caller)));
        }
        for trainer in 0..TRAINERS {
            let version = (trainer == 0).then(|| Arc::clone(&version));
            load.push(tokio::spawn(load::run_trainer(Arc::clone(&cluster), trainer, version)));
        }
        let faults = plan_faults(self.seed, self.length, self.processes, ENGINES + SERVICES);
        let injected = join_all(faults.into_iter().map(|fault| cluster.inject(fault))).await;
        injected.into_iter().collect::<anyhow::Result<()>>().context("failed to inject a fault")?;
        for task in load {
            task.abort();
        }
        check_recovery(&cluster, &version).await;
        let mut runs = BTreeMap::new();
        for run in cluster.targets().flat_map(|target| target.runs()) {
            *runs.entry(run.id).or_default() += 1;
        }
        checker.check_runs(&runs);
        checker.check_orders(
            cluster.targets().flat_map(|target| target.orders()).collect(),
            MIN_HOLDER_GAP,
        );
        background.abort();
        let (violations, examples, counts) = checker.findings();
        Ok(Report { seed: self.seed, violations, examples, counts })
    }
}

/// Checks that the system recovers once the faults are over: processes serve,
/// the newest configuration and weight version are in use, and a job completes.
async fn check_recovery(cluster: &Cluster, version: &AtomicU64) {
    let deadline = Instant::now() + RECOVERY_LIMIT;
    let newest = version.load(Ordering::Relaxed);
    let client = PlatformClient::new(Connections::PerRequest);
    for (n, endpoint) in cluster.endpoints().iter().enumerate() {
        let (_, with_extra) = cluster.checker.newest_config();
        let expected = if with_extra { 200 } else { 404 };
        let returns = async |route: &str, expected: u16, at: u128| {
            let id = format!("last-{route}-{n}-{at}");
            load::send_request(cluster, &client, endpoint, route, &id).await == expected
        };
        let start = Instant::now();
        let at = || start.elapsed().as_micros();
        if !holds_by(deadline, async || returns("quote", 200, at()).await).await {
            cluster.checker.record_violation(
                "recovery",
                &format!("{} does not serve requests", endpoint.process),
            );
        }
        if !holds_by(deadline, async || returns("extra", expected, at()).await).await {
            cluster.checker.record_violation(
                "recovery",
                &format!("{} does not use the newest configuration", endpoint.process),
            );
        }
    }
    if !holds_by(deadline, async || cluster.all_engines_at(newest)).await {
        let versions: Vec<_> = cluster.targets().map(|target| target.version()).collect();
        cluster.checker.record_violation(
            "recovery",
            &format!("not all engines run version {newest}: {versions:?}"),
        );
    }
    if !load::run_job(cluster, "last", FINAL_JOB_ITEMS, newest.saturating_sub(1).max(1)).await {
        cluster.checker.record_violation("recovery", "the final job did not complete");
    }
}

/// Polls a condition; returns whether it held by the deadline.
async fn holds_by<F: Future<Output = bool>>(deadline: Instant, condition: impl Fn() -> F) -> bool {
    loop {
        if condition().await {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
}
