//! One run from its seed to its report.

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

use crate::Witness;
use crate::load;
use crate::plan;
use crate::world::World;

/// Callers for each process.
const CALLERS: usize = 3;
/// Most callers: each keeps a connection to each process, and descriptors are
/// limited.
const MOST_CALLERS: usize = 12;
/// Trainers; the first names versions.
const TRAINERS: usize = 3;
const ENGINES: usize = 4;
const SERVICES: usize = 3;
/// How long everything may take to be well again after the last fault.
const RECOVERY: Duration = Duration::from_secs(25);
/// Least time between the orders of two holders, as the processes are told;
/// the moments of orders are taken at the engines.
const LEASE: Duration = Duration::from_millis(2_900);
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Items of the job that ends a run.
const LAST_JOB: usize = 16;

/// What is to be run.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// Decides which fault comes when.
    pub seed: u64,
    /// How long faults come.
    pub length: Duration,
    /// The number of processes.
    pub processes: usize,
}

/// What a run found.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Broken promises by name.
    pub broken: BTreeMap<&'static str, u64>,
    /// The first of them in words.
    pub examples: Vec<String>,
    /// What was seen, by kind.
    pub counts: BTreeMap<&'static str, u64>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts: Vec<_> = self.counts.iter().map(|(what, n)| format!("{what} {n}")).collect();
        let verdict = if self.broken.is_empty() { "no promise broken" } else { "BROKEN" };
        write!(f, "seed {}: {verdict}; {}", self.seed, counts.join(", "))?;
        for (promise, count) in &self.broken {
            write!(f, "\n  {promise}: {count}")?;
        }
        for example in &self.examples {
            write!(f, "\n    {example}")?;
        }
        Ok(())
    }
}

impl Soak {
    /// Runs it.
    ///
    /// # Errors
    ///
    /// The processes or stand-ins can't be started.
    pub async fn run(self) -> anyhow::Result<Report> {
        let witness = Arc::new(Witness::default());
        let world = World::start(Arc::clone(&witness), self.processes, ENGINES, SERVICES).await?;
        let world = Arc::new(world);
        let upkeep = tokio::spawn({
            let world = Arc::clone(&world);
            async move { world.keep_up().await }
        });
        let version = Arc::new(AtomicU64::new(1));
        let mut load = Vec::new();
        for caller in 0..(CALLERS * self.processes).min(MOST_CALLERS) {
            load.push(tokio::spawn(load::call(Arc::clone(&world), caller)));
        }
        for trainer in 0..TRAINERS {
            let version = (trainer == 0).then(|| Arc::clone(&version));
            load.push(tokio::spawn(load::train(Arc::clone(&world), trainer, version)));
        }
        let faults = plan(self.seed, self.length, self.processes, ENGINES + SERVICES);
        let suffered = join_all(faults.into_iter().map(|planned| world.suffer(planned))).await;
        suffered.into_iter().collect::<anyhow::Result<()>>().context("a fault can't be made")?;
        for task in load {
            task.abort();
        }
        recover(&world, &version).await;
        let mut runs = BTreeMap::new();
        for ran in world.targets().flat_map(|target| target.runs()) {
            *runs.entry(ran.id).or_default() += 1;
        }
        witness.ran(&runs);
        witness.orders(world.targets().flat_map(|target| target.orders()).collect(), LEASE);
        upkeep.abort();
        let (broken, examples, counts) = witness.findings();
        Ok(Report { seed: self.seed, broken, examples, counts })
    }
}

/// Checks that all is done again that is to be done, once the faults are over.
async fn recover(world: &World, version: &AtomicU64) {
    let until = Instant::now() + RECOVERY;
    let newest = version.load(Ordering::Relaxed);
    let client = PlatformClient::new(Connections::PerRequest);
    for (n, door) in world.doors().iter().enumerate() {
        let (_, with_extra) = world.witness.newest_configuration();
        let expected = if with_extra { 200 } else { 404 };
        let serves = async |route: &str, expected: u16, at: u128| {
            let id = format!("last-{route}-{n}-{at}");
            load::request(world, &client, door, route, &id).await == expected
        };
        let begun = Instant::now();
        let at = || begun.elapsed().as_micros();
        if !within(until, async || serves("quote", 200, at()).await).await {
            world.witness.broken("recovery", &format!("{} does not serve", door.process));
        }
        if !within(until, async || serves("extra", expected, at()).await).await {
            world.witness.broken("recovery", &format!("{} lacks a change", door.process));
        }
    }
    if !within(until, async || world.engines_have(newest)).await {
        let versions: Vec<_> = world.targets().map(|target| target.version()).collect();
        world.witness.broken("recovery", &format!("not all have {newest}: {versions:?}"));
    }
    if !load::run_job(world, "last", LAST_JOB, newest.saturating_sub(1).max(1)).await {
        world.witness.broken("recovery", "the last job is not done");
    }
}

async fn within<F: Future<Output = bool>>(until: Instant, holds: impl Fn() -> F) -> bool {
    loop {
        if holds().await {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        sleep(LOOK_EVERY).await;
    }
}
