//! Engines, callers and a trainer in virtual time, around the real decisions.

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

use crate::capacity::kind;
use crate::capacity::listed;
use crate::engine::Came;
use crate::engine::Engine;
use crate::engine::JobId;
use crate::engine::TOKEN;
use crate::experiment::Outcome;
use crate::experiment::Policies;
use crate::load::Load;
use crate::load::Micros;
use crate::load::SECOND;

const ENGINES: usize = 10;
/// How much longer a slow engine takes for a token.
const SLOW: Micros = 5;
const SLOTS: usize = 8;
const GROUPS: usize = 64;
const GROUP_SIZE: usize = 8;
/// A report shows what was so long ago.
const REPORT_LAG: Micros = SECOND / 5;
/// Time from a new version until the last engine serves it.
const SWAP_SPREAD: Micros = 10 * SECOND;
const RESUME_AFTER: Micros = SECOND / 20;
const CALLER_DEADLINE: Duration = Duration::from_secs(5);
/// The largest value that a histogram holds, above all that can occur.
const MOST_RECORDED: u64 = 100_000_000;

/// What happens at a moment.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Caller,
    /// A job's last token, unless the job was preempted in the meantime.
    Done {
        job: JobId,
        run: u32,
    },
    Resume {
        job: JobId,
    },
    Report {
        engine: usize,
    },
    Swap {
        engine: usize,
        version: u64,
    },
    Trained,
}

#[derive(Debug)]
struct Job {
    caller: bool,
    came: Micros,
    tokens_left: u64,
    /// Counts the times that it was put into a slot.
    run: u32,
    engine: usize,
    used: Option<InFlight>,
    /// For a sample.
    start: Option<SampleTask>,
    tokens: u64,
    labeller: LabelBuilder,
    began: Micros,
    began_version: u64,
}

#[derive(Debug)]
enum Trainer {
    Waits { since: Micros },
    Trains,
}

/// One run of a load under a set of policies.
pub(crate) struct World {
    load: Load,
    policies: Policies,
    trains: bool,
    start: Instant,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    next_event: u64,
    engines: Vec<Engine>,
    targets: TargetSet,
    kind: TargetKind,
    gate: AdmissionController,
    waiters: BTreeMap<u64, JobId>,
    jobs: Vec<Job>,
    keeper: SampleBuffer,
    cursor: Cursor,
    version: u64,
    trainer: Trainer,
    arrivals: SmallRng,
    lengths: SmallRng,
    choices: SmallRng,
    outcome: Outcome,
}

impl World {
    pub(crate) fn new(load: Load, policies: Policies, trains: bool, seed: u64) -> Self {
        let start = Instant::now();
        let kind = kind();
        let slots = u32::try_from(SLOTS).unwrap_or(0);
        let listed: Vec<_> = (0..ENGINES).map(|i| listed(i, &kind, slots)).collect();
        let spec = LotSpec {
            groups: GROUPS,
            group_size: GROUP_SIZE,
            staleness_bound: load.staleness_bound,
            idle_weight_percent: if policies.ahead { load.idle_weight_percent } else { 0 },
        };
        let histogram = || {
            Histogram::new_with_bounds(1, MOST_RECORDED, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are in range"))
        };
        Self {
            load,
            policies,
            trains,
            start,
            now: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            engines: (0..ENGINES)
                .map(|i| {
                    let slow = i < load.slow_engines;
                    let token = if slow { TOKEN * SLOW } else { TOKEN };
                    Engine::new(SLOTS, policies.callers_first, token)
                })
                .collect(),
            targets: TargetSet::empty(start).updated(&listed),
            kind,
            gate: AdmissionController::new(slots * u32::try_from(ENGINES).unwrap_or(0) * 2),
            waiters: BTreeMap::new(),
            jobs: Vec::new(),
            keeper: SampleBuffer::new(1, 0, spec),
            cursor: Cursor::default(),
            version: 1,
            trainer: Trainer::Waits { since: 0 },
            arrivals: SmallRng::seed_from_u64(seed),
            lengths: SmallRng::seed_from_u64(seed + 1),
            choices: SmallRng::seed_from_u64(seed + 2),
            outcome: Outcome {
                callers: histogram(),
                refused: 0,
                steps: 0,
                idle: 0,
                time: 0,
                staleness: histogram(),
                tokens: histogram(),
                stale: 0,
                preempted: 0,
            },
        }
    }

    pub(crate) fn run(mut self, time: Micros) -> Outcome {
        for engine in 0..ENGINES {
            let first = SECOND * engine as Micros / ENGINES as Micros;
            self.at(first, Event::Report { engine });
        }
        self.at(0, Event::Caller);
        if self.trains {
            self.pull();
        }
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at < time
        {
            self.now = at;
            self.happen(event);
        }
        if let Trainer::Waits { since } = self.trainer
            && self.trains
        {
            self.outcome.idle += time - since;
        }
        self.outcome.time = time;
        self.outcome.stale = self.keeper.counts().stale;
        self.outcome
    }

    fn at(&mut self, time: Micros, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((time, self.next_event, event)));
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_micros(self.now)
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Caller => self.caller(),
            Event::Done { job, run } if self.jobs[job].run == run => self.done(job),
            Event::Done { .. } => {}
            Event::Resume { job } => self.dispatch(job),
            Event::Report { engine } => self.report(engine),
            Event::Swap { engine, version } => self.swap(engine, version),
            Event::Trained => self.trained(),
        }
    }

    fn caller(&mut self) {
        let next = self.now + self.load.next_caller(self.now, &mut self.arrivals);
        self.at(next, Event::Caller);
        let job = self.job(None, self.load.caller_tokens);
        let request = AdmissionRequest {
            customer: self.load.name.into(),
            class: Class::Interactive,
            priority: 1,
            share_percent: 50,
            deadline: self.instant() + CALLER_DEADLINE,
        };
        match self.gate.admit(&request, self.instant()) {
            Admission::Run => self.dispatch(job),
            Admission::Wait(waiter) => {
                self.waiters.insert(waiter, job);
            }
            Admission::Refused { .. } => self.outcome.refused += 1,
        }
    }

    fn job(&mut self, start: Option<SampleTask>, tokens: u64) -> JobId {
        self.jobs.push(Job {
            caller: start.is_none(),
            came: self.now,
            tokens_left: tokens,
            run: 0,
            engine: 0,
            used: None,
            start,
            tokens,
            labeller: LabelBuilder::default(),
            began: 0,
            began_version: 0,
        });
        self.jobs.len() - 1
    }

    fn priority(&self, job: JobId) -> u32 {
        let class = if self.jobs[job].caller { Class::Interactive } else { Class::Rollout };
        class.engine_priority(1)
    }

    fn dispatch(&mut self, job: JobId) {
        let first = self.policies.callers_first && self.jobs[job].caller;
        let competes = if first { LoadScope::Callers } else { LoadScope::All };
        let wanted = TargetQuery {
            policy: self.policies.choice,
            load_scope: competes,
            ..TargetQuery::new(&self.kind)
        };
        let now = self.instant();
        let Choice::Target(target) = self.targets.choose(&wanted, &mut self.choices, now) else {
            return;
        };
        let engine =
            (0..ENGINES).find(|i| target.info.id == format!("engine-{i}")).unwrap_or_default();
        self.jobs[job].used = target.start_request();
        self.jobs[job].engine = engine;
        let priority = self.priority(job);
        match self.engines[engine].come(job, priority, self.now) {
            Came::Runs => self.begin(job),
            Came::Preempts(other) => {
                self.preempted(other.job, other.since);
                self.begin(job);
            }
            Came::Waits => {}
        }
    }

    fn begin(&mut self, job: JobId) {
        let engine = &self.engines[self.jobs[job].engine];
        let (version, token) = (engine.version, engine.token);
        let entry = &mut self.jobs[job];
        entry.run += 1;
        entry.began = self.now;
        entry.began_version = version;
        let (at, run) = (self.now + entry.tokens_left * token, entry.run);
        self.at(at, Event::Done { job, run });
    }

    /// Notes the tokens since the job was put into its slot.
    fn label(&mut self, job: JobId, tokens: u64) {
        let engine_version = self.engines[self.jobs[job].engine].version;
        let entry = &mut self.jobs[job];
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        // A swap in between is noted as one token of the newer version: what
        // counts is the oldest.
        entry.labeller.add_tokens(tokens, Some(entry.began_version));
        if engine_version != entry.began_version {
            entry.labeller.add_tokens(1, Some(engine_version));
        }
    }

    fn preempted(&mut self, job: JobId, since: Micros) {
        self.outcome.preempted += 1;
        let token = self.engines[self.jobs[job].engine].token;
        let made = ((self.now - since) / token).min(self.jobs[job].tokens_left);
        self.label(job, made);
        let entry = &mut self.jobs[job];
        entry.tokens_left = (entry.tokens_left - made).max(1);
        entry.run += 1;
        entry.used = None;
        self.at(self.now + RESUME_AFTER, Event::Resume { job });
    }

    fn done(&mut self, job: JobId) {
        let engine = self.jobs[job].engine;
        if let Some(next) = self.engines[engine].done(job, self.now) {
            self.begin(next);
        }
        let left = self.jobs[job].tokens_left;
        self.label(job, left);
        self.note_pace(job, left);
        self.jobs[job].used = None;
        if self.jobs[job].caller {
            self.answered(job);
        } else {
            self.sampled(job);
        }
    }

    fn note_pace(&mut self, job: JobId, tokens: u64) {
        let took = Duration::from_micros(self.now - self.jobs[job].began);
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        if let Some(used) = self.jobs[job].used.as_ref().filter(|_| self.policies.paced) {
            self.targets.record_token_time(used.target(), tokens, took, self.instant());
        }
    }

    fn answered(&mut self, job: JobId) {
        let took = self.now - self.jobs[job].came;
        self.outcome.callers.saturating_record(took / 1_000);
        self.gate.finish(self.load.name, Duration::from_micros(took));
        while let Some(waiter) = self.gate.next_to_run() {
            if let Some(job) = self.waiters.remove(&waiter) {
                self.dispatch(job);
            }
        }
    }

    fn sampled(&mut self, job: JobId) {
        let entry = &mut self.jobs[job];
        let labeller = std::mem::take(&mut entry.labeller);
        let (Some(start), Ok(label)) = (entry.start.take(), labeller.finish()) else {
            return;
        };
        let text = "x".repeat(usize::try_from(entry.tokens).unwrap_or(0));
        let sample = Sample { id: start.id, prompt: start.prompt, text, label, score: None };
        self.keeper.finish(sample);
        if matches!(self.trainer, Trainer::Waits { .. }) {
            self.pull();
        } else {
            self.pump();
        }
    }

    fn pull(&mut self) {
        let first = self.cursor.next_prompt;
        let prompts = (first..).take(GROUPS * 4).map(|p| format!("{p}").into()).collect();
        let pull = Pull { cursor: self.cursor, version: self.version, prompts };
        if let PullOutcome::Lot(lot) = self.keeper.pull(&pull)
            && let Trainer::Waits { since } = self.trainer
        {
            self.outcome.idle += self.now - since;
            for sample in &lot.samples {
                let staleness = sample.label.staleness(self.version);
                self.outcome.staleness.saturating_record(staleness);
                self.outcome.tokens.saturating_record(sample.text.len() as u64);
            }
            self.cursor = lot.cursor;
            self.trainer = Trainer::Trains;
            self.at(self.now + self.load.train, Event::Trained);
        }
        self.pump();
    }

    fn trained(&mut self) {
        self.outcome.steps += 1;
        self.version += 1;
        for engine in 0..ENGINES {
            let after = self.choices.random_range(SECOND..SWAP_SPREAD);
            self.at(self.now + after, Event::Swap { engine, version: self.version });
        }
        self.trainer = Trainer::Waits { since: self.now };
        self.pull();
    }

    fn swap(&mut self, engine: usize, version: u64) {
        let old = self.engines[engine].version;
        self.engines[engine].version = old.max(version);
    }

    fn report(&mut self, engine: usize) {
        let (load, callers) = {
            let e = &self.engines[engine];
            (e.load(), e.load_from(Class::Internal.engine_priority(0)))
        };
        let id = format!("engine-{engine}");
        let lag = Duration::from_micros(REPORT_LAG);
        let now = self.instant();
        if let Some(target) = self.targets.all().find(|t| t.info.id == id) {
            self.targets.record_report(target, load, callers, lag, now);
        }
        self.at(self.now + SECOND, Event::Report { engine });
    }

    fn pump(&mut self) {
        let callers = self.targets.all().map(|t| t.callers()).sum();
        let sound = self.targets.all().filter(|t| !t.is_slow());
        let slots = sound.map(|t| t.info.slots).sum();
        let running = self.keeper.running_samples();
        let own = u32::try_from(running).unwrap_or(u32::MAX);
        let seen = Occupancy { slots, callers, samples: own, own };
        let room = if self.policies.callers_first {
            sample_limit(seen, 100, self.load.idle_weight_percent)
        } else {
            slots
        };
        let room = usize::try_from(room).unwrap_or(0).saturating_sub(running);
        for start in self.keeper.next_tasks(room) {
            let tokens = self.load.sample_tokens(&mut self.lengths);
            let job = self.job(Some(start), tokens);
            self.dispatch(job);
        }
    }
}
