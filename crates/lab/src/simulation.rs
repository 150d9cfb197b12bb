//! Simulation of engines, callers and a trainer in virtual time, with the
//! production code for the decisions.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use cassia_contract::Class;
use cassia_route::Admission;
use cassia_route::AdmissionController;
use cassia_route::AdmissionRequest;
use cassia_route::Choice;
use cassia_route::InFlight;
use cassia_route::LoadScope;
use cassia_route::Occupancy;
use cassia_route::TargetKind;
use cassia_route::TargetQuery;
use cassia_route::TargetSet;
use cassia_route::sample_limit;
use cassia_sample::Cursor;
use cassia_sample::LabelBuilder;
use cassia_sample::LotSpec;
use cassia_sample::Pull;
use cassia_sample::PullOutcome;
use cassia_sample::Sample;
use cassia_sample::SampleBuffer;
use cassia_sample::SampleTask;
use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::capacity::engine_info;
use crate::capacity::engine_kind;
use crate::engine::Engine;
use crate::engine::JobId;
use crate::engine::Placement;
use crate::engine::TOKEN_TIME;
use crate::experiment::Policies;
use crate::experiment::RunStats;
use crate::load::Load;
use crate::load::Micros;
use crate::load::SECOND;

const ENGINES: usize = 10;
/// Factor by which a slow engine takes longer for a token.
const SLOW_FACTOR: Micros = 5;
const SLOTS_PER_ENGINE: usize = 8;
const GROUPS_PER_LOT: usize = 64;
const GROUP_SIZE: usize = 8;
/// Age of an engine's load report on receipt.
const REPORT_AGE: Duration = Duration::from_millis(200);
const REPORT_INTERVAL: Micros = SECOND;
/// Shortest time from a training step until an engine serves its version.
const MIN_SWAP_DELAY: Micros = SECOND;
/// Limit on the time from a training step until the last engine serves its
/// version.
const MAX_SWAP_DELAY: Micros = 10 * SECOND;
/// Time after which a preempted job is dispatched again.
const RESUME_DELAY: Micros = SECOND / 20;
const CALLER_DEADLINE: Duration = Duration::from_secs(5);
/// Largest value that a histogram can record; all measured values are below.
const MAX_RECORDED: u64 = 100_000_000;

/// An event at a point in virtual time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A caller's request arrives.
    CallerArrived,
    /// A job has generated its last token; ignored if it was preempted since
    /// this run started.
    JobDone { job: JobId, run: u32 },
    /// A preempted job is dispatched again.
    JobResumed { job: JobId },
    /// An engine's load report is received.
    LoadReported { engine: usize },
    /// An engine has loaded new weights.
    WeightsLoaded { engine: usize, version: u64 },
    /// The trainer has finished a step.
    StepTrained,
}

/// A caller's request or a trainer's sample.
#[derive(Debug)]
struct Job {
    is_caller: bool,
    arrived: Micros,
    tokens_left: u64,
    /// Number of the current run; incremented when the job starts to run and
    /// when it is preempted.
    run: u32,
    engine: usize,
    in_flight: Option<InFlight>,
    /// The task, if the job is a sample.
    task: Option<SampleTask>,
    /// Number of tokens to generate in total.
    tokens: u64,
    label: LabelBuilder,
    /// Start of the current run.
    run_started: Micros,
    /// The engine's weight version at the start of the current run.
    run_version: u64,
}

#[derive(Debug)]
enum Trainer {
    Waiting { since: Micros },
    Training,
}

/// Simulation of a load under a set of policies.
pub(crate) struct Simulation {
    load: Load,
    policies: Policies,
    with_trainer: bool,
    start: Instant,
    /// Virtual time since `start`.
    now: Micros,
    /// Scheduled events, ordered by time and then by sequence number.
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    event_seq: u64,
    engines: Vec<Engine>,
    targets: TargetSet,
    kind: TargetKind,
    admission: AdmissionController,
    /// Jobs that wait for admission.
    waiting: BTreeMap<u64, JobId>,
    jobs: Vec<Job>,
    samples: SampleBuffer,
    cursor: Cursor,
    /// The trainer's weight version.
    version: u64,
    trainer: Trainer,
    arrival_rng: SmallRng,
    length_rng: SmallRng,
    choice_rng: SmallRng,
    stats: RunStats,
}

impl Simulation {
    pub(crate) fn new(load: Load, policies: Policies, with_trainer: bool, seed: u64) -> Self {
        let start = Instant::now();
        let kind = engine_kind();
        let slots = u32::try_from(SLOTS_PER_ENGINE).unwrap_or(0);
        let infos: Vec<_> = (0..ENGINES).map(|i| engine_info(i, &kind, slots)).collect();
        let spec = LotSpec {
            groups: GROUPS_PER_LOT,
            group_size: GROUP_SIZE,
            staleness_bound: load.staleness_bound,
            idle_weight_percent: if policies.generate_ahead { load.idle_weight_percent } else { 0 },
        };
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_RECORDED, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are valid"))
        };
        Self {
            load,
            policies,
            with_trainer,
            start,
            now: 0,
            events: BinaryHeap::new(),
            event_seq: 0,
            engines: (0..ENGINES)
                .map(|i| {
                    let slow = i < load.slow_engines;
                    let token_time = if slow { TOKEN_TIME * SLOW_FACTOR } else { TOKEN_TIME };
                    Engine::new(SLOTS_PER_ENGINE, policies.callers_first, token_time)
                })
                .collect(),
            targets: TargetSet::empty(start).updated(&infos),
            kind,
            admission: AdmissionController::new(slots * u32::try_from(ENGINES).unwrap_or(0) * 2),
            waiting: BTreeMap::new(),
            jobs: Vec::new(),
            samples: SampleBuffer::new(1, 0, spec),
            cursor: Cursor::default(),
            version: 1,
            trainer: Trainer::Waiting { since: 0 },
            arrival_rng: SmallRng::seed_from_u64(seed),
            length_rng: SmallRng::seed_from_u64(seed + 1),
            choice_rng: SmallRng::seed_from_u64(seed + 2),
            stats: RunStats {
                caller_ms: histogram(),
                refused: 0,
                steps: 0,
                trainer_idle: 0,
                duration: 0,
                staleness: histogram(),
                sample_tokens: histogram(),
                stale: 0,
                preemptions: 0,
            },
        }
    }

    /// Runs the simulation for a duration.
    pub(crate) fn run(mut self, duration: Micros) -> RunStats {
        for engine in 0..ENGINES {
            let first = REPORT_INTERVAL * engine as Micros / ENGINES as Micros;
            self.schedule(first, Event::LoadReported { engine });
        }
        self.schedule(0, Event::CallerArrived);
        if self.with_trainer {
            self.pull();
        }
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at < duration
        {
            self.now = at;
            self.handle(event);
        }
        if let Trainer::Waiting { since } = self.trainer
            && self.with_trainer
        {
            self.stats.trainer_idle += duration - since;
        }
        self.stats.duration = duration;
        self.stats.stale = self.samples.counts().stale;
        self.stats
    }

    fn schedule(&mut self, time: Micros, event: Event) {
        self.event_seq += 1;
        self.events.push(Reverse((time, self.event_seq, event)));
    }

    /// Returns the current virtual time as an `Instant`.
    fn instant(&self) -> Instant {
        self.start + Duration::from_micros(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallerArrived => self.caller_arrived(),
            Event::JobDone { job, run } if self.jobs[job].run == run => self.finish_job(job),
            Event::JobDone { .. } => {}
            Event::JobResumed { job } => self.dispatch(job),
            Event::LoadReported { engine } => self.record_report(engine),
            Event::WeightsLoaded { engine, version } => self.load_weights(engine, version),
            Event::StepTrained => self.finish_step(),
        }
    }

    /// Requests admission for a caller, and schedules the next arrival.
    fn caller_arrived(&mut self) {
        let next = self.now + self.load.time_to_next_caller(self.now, &mut self.arrival_rng);
        self.schedule(next, Event::CallerArrived);
        let job = self.add_job(None, self.load.caller_tokens);
        let request = AdmissionRequest {
            customer: self.load.name.into(),
            class: Class::Interactive,
            priority: 1,
            share_percent: 50,
            deadline: self.instant() + CALLER_DEADLINE,
        };
        match self.admission.admit(&request, self.instant()) {
            Admission::Run => self.dispatch(job),
            Admission::Wait(waiter) => {
                self.waiting.insert(waiter, job);
            }
            Admission::Refused { .. } => self.stats.refused += 1,
        }
    }

    fn add_job(&mut self, task: Option<SampleTask>, tokens: u64) -> JobId {
        self.jobs.push(Job {
            is_caller: task.is_none(),
            arrived: self.now,
            tokens_left: tokens,
            run: 0,
            engine: 0,
            in_flight: None,
            task,
            tokens,
            label: LabelBuilder::default(),
            run_started: 0,
            run_version: 0,
        });
        self.jobs.len() - 1
    }

    fn priority(&self, job: JobId) -> u32 {
        let class = if self.jobs[job].is_caller { Class::Interactive } else { Class::Rollout };
        class.engine_priority(1)
    }

    /// Sends a job to an engine.
    fn dispatch(&mut self, job: JobId) {
        let has_priority = self.policies.callers_first && self.jobs[job].is_caller;
        let load_scope = if has_priority { LoadScope::Callers } else { LoadScope::All };
        let query = TargetQuery {
            policy: self.policies.choice,
            load_scope,
            ..TargetQuery::new(&self.kind)
        };
        let now = self.instant();
        let Choice::Target(target) = self.targets.choose(&query, &mut self.choice_rng, now) else {
            return;
        };
        let engine =
            (0..ENGINES).find(|i| target.info.id == format!("engine-{i}")).unwrap_or_default();
        self.jobs[job].in_flight = target.start_request();
        self.jobs[job].engine = engine;
        let priority = self.priority(job);
        match self.engines[engine].submit(job, priority, self.now) {
            Placement::Runs => self.start_run(job),
            Placement::Preempts(preempted) => {
                self.preempt(preempted.job, preempted.since);
                self.start_run(job);
            }
            Placement::Queued => {}
        }
    }

    /// Starts a run of a job that was given a slot.
    fn start_run(&mut self, job: JobId) {
        let engine = &self.engines[self.jobs[job].engine];
        let (version, token_time) = (engine.version, engine.token_time);
        let state = &mut self.jobs[job];
        state.run += 1;
        state.run_started = self.now;
        state.run_version = version;
        let (at, run) = (self.now + state.tokens_left * token_time, state.run);
        self.schedule(at, Event::JobDone { job, run });
    }

    /// Adds the tokens of the current run to the job's label.
    fn add_tokens(&mut self, job: JobId, tokens: u64) {
        let engine_version = self.engines[self.jobs[job].engine].version;
        let state = &mut self.jobs[job];
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        // If new weights were loaded during the run, one token is labelled
        // with the new version; only the oldest version determines staleness.
        state.label.add_tokens(tokens, Some(state.run_version));
        if engine_version != state.run_version {
            state.label.add_tokens(1, Some(engine_version));
        }
    }

    /// Ends the run of a preempted job, and schedules its next dispatch.
    fn preempt(&mut self, job: JobId, since: Micros) {
        self.stats.preemptions += 1;
        let token_time = self.engines[self.jobs[job].engine].token_time;
        let generated = ((self.now - since) / token_time).min(self.jobs[job].tokens_left);
        self.add_tokens(job, generated);
        let state = &mut self.jobs[job];
        state.tokens_left = (state.tokens_left - generated).max(1);
        state.run += 1;
        state.in_flight = None;
        self.schedule(self.now + RESUME_DELAY, Event::JobResumed { job });
    }

    fn finish_job(&mut self, job: JobId) {
        let engine = self.jobs[job].engine;
        if let Some(next) = self.engines[engine].finish(job, self.now) {
            self.start_run(next);
        }
        let left = self.jobs[job].tokens_left;
        self.add_tokens(job, left);
        self.record_token_time(job, left);
        self.jobs[job].in_flight = None;
        if self.jobs[job].is_caller {
            self.finish_caller(job);
        } else {
            self.finish_sample(job);
        }
    }

    fn record_token_time(&mut self, job: JobId, tokens: u64) {
        let took = Duration::from_micros(self.now - self.jobs[job].run_started);
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        if let Some(in_flight) =
            self.jobs[job].in_flight.as_ref().filter(|_| self.policies.use_token_times)
        {
            self.targets.record_token_time(in_flight.target(), tokens, took, self.instant());
        }
    }

    fn finish_caller(&mut self, job: JobId) {
        let took = self.now - self.jobs[job].arrived;
        self.stats.caller_ms.saturating_record(took / 1_000);
        self.admission.finish(self.load.name, Duration::from_micros(took));
        while let Some(waiter) = self.admission.next_to_run() {
            if let Some(job) = self.waiting.remove(&waiter) {
                self.dispatch(job);
            }
        }
    }

    fn finish_sample(&mut self, job: JobId) {
        let state = &mut self.jobs[job];
        let label = std::mem::take(&mut state.label);
        let (Some(task), Ok(label)) = (state.task.take(), label.finish()) else {
            return;
        };
        let text = "x".repeat(usize::try_from(state.tokens).unwrap_or(0));
        let sample = Sample { id: task.id, prompt: task.prompt, text, label, score: None };
        self.samples.finish(sample);
        if matches!(self.trainer, Trainer::Waiting { .. }) {
            self.pull();
        } else {
            self.start_samples();
        }
    }

    /// Pulls the next lot, and starts a training step if it is complete.
    fn pull(&mut self) {
        let first = self.cursor.next_prompt;
        let prompts = (first..).take(GROUPS_PER_LOT * 4).map(|p| format!("{p}").into()).collect();
        let pull = Pull { cursor: self.cursor, version: self.version, prompts };
        if let PullOutcome::Lot(lot) = self.samples.pull(&pull)
            && let Trainer::Waiting { since } = self.trainer
        {
            self.stats.trainer_idle += self.now - since;
            for sample in &lot.samples {
                let staleness = sample.label.staleness(self.version);
                self.stats.staleness.saturating_record(staleness);
                self.stats.sample_tokens.saturating_record(sample.text.len() as u64);
            }
            self.cursor = lot.cursor;
            self.trainer = Trainer::Training;
            self.schedule(self.now + self.load.train_time, Event::StepTrained);
        }
        self.start_samples();
    }

    fn finish_step(&mut self) {
        self.stats.steps += 1;
        self.version += 1;
        for engine in 0..ENGINES {
            let delay = self.choice_rng.random_range(MIN_SWAP_DELAY..MAX_SWAP_DELAY);
            self.schedule(self.now + delay, Event::WeightsLoaded { engine, version: self.version });
        }
        self.trainer = Trainer::Waiting { since: self.now };
        self.pull();
    }

    fn load_weights(&mut self, engine: usize, version: u64) {
        let old = self.engines[engine].version;
        self.engines[engine].version = old.max(version);
    }

    fn record_report(&mut self, engine: usize) {
        let (load, callers) = {
            let e = &self.engines[engine];
            (e.load(), e.load_with_priority(Class::Internal.engine_priority(0)))
        };
        let id = format!("engine-{engine}");
        let now = self.instant();
        if let Some(target) = self.targets.all().find(|t| t.info.id == id) {
            self.targets.record_report(target, load, callers, REPORT_AGE, now);
        }
        self.schedule(self.now + REPORT_INTERVAL, Event::LoadReported { engine });
    }

    /// Dispatches new samples up to the trainer's limit at the engines.
    fn start_samples(&mut self) {
        let callers = self.targets.all().map(|t| t.callers()).sum();
        let normal = self.targets.all().filter(|t| !t.is_slow());
        let slots = normal.map(|t| t.info.slots).sum();
        let running = self.samples.running_samples();
        let own = u32::try_from(running).unwrap_or(u32::MAX);
        let occupancy = Occupancy { slots, callers, samples: own, own };
        let limit = if self.policies.callers_first {
            sample_limit(occupancy, 100, self.load.idle_weight_percent)
        } else {
            slots
        };
        let free = usize::try_from(limit).unwrap_or(0).saturating_sub(running);
        for task in self.samples.next_tasks(free) {
            let tokens = self.load.draw_sample_tokens(&mut self.length_rng);
            let job = self.add_job(Some(task), tokens);
            self.dispatch(job);
        }
    }
}
