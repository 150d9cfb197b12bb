//! Deterministic model of hosts with a fair queue each before shared targets.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use cassia_admission::Admission;
use cassia_admission::Ask;
use cassia_admission::FairQueue;
use cassia_admission::RequestClass;
use cassia_admission::Turn;
use cassia_admission::WaiterId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Delay after a target rejected a request because it is full.
const REJECTION_DELAY_US: u64 = 15_000;
/// How often a request is sent again after a rejection.
const MAX_REJECTIONS: u32 = 3;

/// A request of the load.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_us: u64,
    pub customer: usize,
    pub class: RequestClass,
}

/// A change of the targets.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// A target stops answering, and the hosts know it is gone.
    Lose(usize),
    /// All work takes this many times as long.
    Slow(f64),
}

/// What is modelled.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub hosts: usize,
    pub targets: usize,
    pub slots: usize,
    /// Requests that a full target queues before it rejects more.
    pub target_queue: usize,
    pub arrivals: Vec<Arrival>,
    pub changes: Vec<(u64, Change)>,
    /// How often a caller tries again when told to.
    pub retries: u32,
    pub seed: u64,
}

/// What became of a customer's requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub served: u32,
    /// Admitted, but not served by the deadline.
    pub late: u32,
    pub latencies_ms: Vec<f64>,
    pub last_served_us: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    Send(usize),
    Done(usize),
    Deadline(usize),
    Expire(usize),
    Change(Change),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Outside,
    Waiting(WaiterId),
    Sending,
    Queued(usize),
    Served(usize),
    Hung,
    Over,
}

#[derive(Clone, Debug)]
struct Request {
    arrival: Arrival,
    host: usize,
    deadline_us: u64,
    placed_us: u64,
    rejections: u32,
    retries: u32,
    stage: Stage,
}

#[derive(Clone, Debug, Default)]
struct TargetModel {
    is_lost: bool,
    busy: usize,
    queue: VecDeque<usize>,
    by_host: BTreeMap<usize, usize>,
}

struct Model {
    scenario: Scenario,
    base: Instant,
    rng: SmallRng,
    slowness: f64,
    queues: Vec<FairQueue>,
    waiting: Vec<BTreeMap<WaiterId, usize>>,
    /// When the next check of each host for late requests is due.
    expire_at: Vec<u64>,
    targets: Vec<TargetModel>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    event_list: Vec<Event>,
    tallies: BTreeMap<(usize, RequestClass), Tally>,
}

/// Work and deadline of a class, in microseconds.
fn work_us(class: RequestClass) -> (f64, u64) {
    match class {
        RequestClass::Caller => (25_000.0, 800_000),
        RequestClass::Reward => (30_000.0, 1_500_000),
    }
}

/// Requests of one customer at random times, `per_second` of them on average.
pub fn poisson(
    seed: u64,
    customer: usize,
    class: RequestClass,
    per_second: f64,
    until_s: f64,
) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed * 1_000 + customer as u64);
    let (mut at, mut arrivals) = (0.0, Vec::new());
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / per_second;
        if at > until_s {
            return arrivals;
        }
        arrivals.push(Arrival { at_us: (at * 1e6) as u64, customer, class });
    }
}

/// Runs a scenario until all its requests are over.
pub fn run(scenario: Scenario) -> BTreeMap<(usize, RequestClass), Tally> {
    let slots = scenario.targets * scenario.slots;
    let capacity = u32::try_from(slots).expect("few slots");
    let mut model = Model {
        base: Instant::now(),
        rng: SmallRng::seed_from_u64(scenario.seed),
        slowness: 1.0,
        queues: (0..scenario.hosts).map(|_| FairQueue::new(capacity)).collect(),
        waiting: vec![BTreeMap::new(); scenario.hosts],
        expire_at: vec![0; scenario.hosts],
        targets: vec![TargetModel::default(); scenario.targets],
        requests: Vec::new(),
        events: BinaryHeap::new(),
        event_list: Vec::new(),
        tallies: BTreeMap::new(),
        scenario,
    };
    model.load();
    while let Some(Reverse((now, _, event))) = model.events.pop() {
        let event = model.event_list[event];
        model.apply(event, now);
    }
    assert!(model.requests.iter().all(|r| r.stage == Stage::Over), "a request was lost");
    assert!(model.queues.iter().all(|q| q.customer_count() == 0), "idle customers are forgotten");
    model.tallies
}

impl Model {
    fn load(&mut self) {
        for (at, change) in self.scenario.changes.clone() {
            self.schedule(at, Event::Change(change));
        }
        for arrival in self.scenario.arrivals.clone() {
            let host = self.rng.random_range(0..self.scenario.hosts);
            let at = arrival.at_us;
            self.tallies.entry((arrival.customer, arrival.class)).or_default().asked += 1;
            self.requests.push(Request {
                arrival,
                host,
                deadline_us: 0,
                placed_us: 0,
                rejections: 0,
                retries: 0,
                stage: Stage::Outside,
            });
            self.schedule(at, Event::Arrive(self.requests.len() - 1));
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        let number = self.event_list.len();
        self.event_list.push(event);
        self.events.push(Reverse((at, number as u64, number)));
    }

    fn at(&self, us: u64) -> Instant {
        self.base + Duration::from_micros(us)
    }

    fn apply(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive(id) => self.arrive(id, now),
            Event::Send(id) => self.send(id, now),
            Event::Done(id) => self.done(id, now),
            Event::Deadline(id) => self.deadline(id, now),
            Event::Expire(host) => self.pump(host, now),
            Event::Change(Change::Slow(factor)) => self.slowness = factor,
            Event::Change(Change::Lose(target)) => self.lose(target, now),
        }
    }

    /// The slots of the targets that are there, less what other hosts use.
    fn set_capacity(&mut self, host: usize) {
        let open = self.targets.iter().filter(|t| !t.is_lost);
        let free = open.map(|t| {
            let all: usize = t.by_host.values().sum();
            let others = all - t.by_host.get(&host).copied().unwrap_or(0);
            self.scenario.slots.saturating_sub(others)
        });
        let capacity = free.sum::<usize>().max(1);
        self.queues[host].set_capacity(u32::try_from(capacity).expect("few slots"));
    }

    fn ask(&self, id: usize) -> Ask {
        let request = &self.requests[id];
        Ask {
            customer: format!("c{}", request.arrival.customer).into(),
            class: request.arrival.class,
            priority: 1,
            deadline: self.at(request.deadline_us),
        }
    }

    fn arrive(&mut self, id: usize, now: u64) {
        let host = self.requests[id].host;
        self.requests[id].deadline_us = now + work_us(self.requests[id].arrival.class).1;
        self.set_capacity(host);
        let ask = self.ask(id);
        let instant = self.at(now);
        match self.queues[host].admit(&ask, instant) {
            Admission::Run => self.place(id, now),
            Admission::Refused { retry_at } => self.refuse(id, retry_at, now),
            Admission::Wait(waiter) => {
                self.requests[id].stage = Stage::Waiting(waiter);
                self.waiting[host].insert(waiter, id);
            }
        }
        self.pump(host, now);
    }

    fn pump(&mut self, host: usize, now: u64) {
        self.set_capacity(host);
        let instant = self.at(now);
        while let Some(turn) = self.queues[host].next_to_run(instant) {
            let (Turn::Run(waiter) | Turn::Refuse { waiter, .. }) = turn;
            let id = self.waiting[host].remove(&waiter).expect("it waits");
            match turn {
                Turn::Run(_) => self.place(id, now),
                Turn::Refuse { retry_at, .. } => self.refuse(id, retry_at, now),
            }
        }
        self.schedule_expiry(host, now);
        let state = self.queues[host].state();
        assert!(state.running >= state.capacity || state.waiting == 0, "work-conserving");
    }

    /// Schedules one check for requests that can't finish in time any more.
    fn schedule_expiry(&mut self, host: usize, now: u64) {
        let Some((_, id)) = self.waiting[host].first_key_value() else {
            return;
        };
        let ask = self.ask(*id);
        let latest = self.queues[host].latest_start(ask.class, ask.deadline);
        let latest = latest.saturating_duration_since(self.base).as_micros() as u64;
        let expire_at = latest.max(now) + 1_000;
        if self.expire_at[host] <= now || expire_at < self.expire_at[host] {
            self.expire_at[host] = expire_at;
            self.schedule(expire_at, Event::Expire(host));
        }
    }

    fn refuse(&mut self, id: usize, retry_at: Instant, now: u64) {
        let request = &mut self.requests[id];
        if request.retries >= self.scenario.retries {
            request.stage = Stage::Over;
            return;
        }
        request.retries += 1;
        request.stage = Stage::Outside;
        request.host = self.rng.random_range(0..self.scenario.hosts);
        let retry_us = retry_at.saturating_duration_since(self.base).as_micros() as u64;
        let wait = retry_us.saturating_sub(now).max(1_000);
        let jitter = self.rng.random_range(0..=wait);
        self.schedule(now + wait + jitter, Event::Arrive(id));
    }

    fn place(&mut self, id: usize, now: u64) {
        self.requests[id].stage = Stage::Sending;
        self.requests[id].placed_us = now;
        let deadline = self.requests[id].deadline_us;
        self.schedule(deadline, Event::Deadline(id));
        self.send(id, now);
    }

    /// Sends it to the target at which this host has the fewest requests.
    fn send(&mut self, id: usize, now: u64) {
        let host = self.requests[id].host;
        if self.requests[id].stage != Stage::Sending {
            return;
        }
        let open: Vec<_> = (0..self.targets.len()).filter(|t| !self.targets[*t].is_lost).collect();
        let own = |t: &usize| self.targets[*t].by_host.get(&host).copied().unwrap_or(0);
        let least = open.iter().map(own).min().expect("a target is left");
        let best: Vec<_> = open.iter().copied().filter(|t| own(t) == least).collect();
        let target = best[self.rng.random_range(0..best.len())];
        let model = &mut self.targets[target];
        if model.busy < self.scenario.slots {
            *model.by_host.entry(host).or_default() += 1;
            self.serve(id, target, now);
        } else if model.queue.len() < self.scenario.target_queue {
            *model.by_host.entry(host).or_default() += 1;
            model.queue.push_back(id);
            self.requests[id].stage = Stage::Queued(target);
        } else if self.requests[id].rejections >= MAX_REJECTIONS {
            self.end(id, None, now);
        } else {
            self.requests[id].rejections += 1;
            self.schedule(now + REJECTION_DELAY_US, Event::Send(id));
        }
    }

    fn serve(&mut self, id: usize, target: usize, now: u64) {
        self.targets[target].busy += 1;
        self.requests[id].stage = Stage::Served(target);
        let (mean, _) = work_us(self.requests[id].arrival.class);
        let work = mean * self.slowness * self.rng.random_range(0.5..1.5);
        self.schedule(now + work as u64, Event::Done(id));
    }

    fn done(&mut self, id: usize, now: u64) {
        if !matches!(self.requests[id].stage, Stage::Served(_)) {
            return;
        }
        let request = &self.requests[id];
        let tally =
            self.tallies.entry((request.arrival.customer, request.arrival.class)).or_default();
        tally.served += 1;
        tally.last_served_us = now;
        let (_, limit) = work_us(request.arrival.class);
        let asked_at = request.deadline_us - limit;
        tally.latencies_ms.push((now - asked_at) as f64 / 1e3);
        self.end(id, Some(now - request.placed_us), now);
    }

    fn deadline(&mut self, id: usize, now: u64) {
        let stage = self.requests[id].stage;
        if matches!(stage, Stage::Over | Stage::Outside | Stage::Waiting(_))
            || self.requests[id].deadline_us != now
        {
            return;
        }
        let request = &self.requests[id];
        self.tallies.entry((request.arrival.customer, request.arrival.class)).or_default().late +=
            1;
        self.end(id, Some(now - request.placed_us), now);
    }

    /// Frees its place at the host and at the target.
    fn end(&mut self, id: usize, ran_us: Option<u64>, now: u64) {
        let host = self.requests[id].host;
        let stage = std::mem::replace(&mut self.requests[id].stage, Stage::Over);
        let ask = self.ask(id);
        self.queues[host].finish(&ask.customer, ask.class, ran_us.map(Duration::from_micros));
        if let Stage::Served(target) | Stage::Queued(target) = stage {
            let model = &mut self.targets[target];
            *model.by_host.entry(host).or_default() -= 1;
            model.queue.retain(|queued| *queued != id);
            if matches!(stage, Stage::Served(_)) {
                model.busy -= 1;
                if let Some(next) = model.queue.pop_front() {
                    self.serve(next, target, now);
                }
            }
        }
        self.pump(host, now);
    }

    fn lose(&mut self, target: usize, now: u64) {
        self.targets[target] = TargetModel { is_lost: true, ..TargetModel::default() };
        for request in &mut self.requests {
            if matches!(request.stage, Stage::Served(t) | Stage::Queued(t) if t == target) {
                request.stage = Stage::Hung;
            }
        }
        for host in 0..self.scenario.hosts {
            self.pump(host, now);
        }
    }
}

/// The figures of a run over the callers' requests.
#[derive(Debug)]
pub struct Figures {
    /// Served fraction of all requests.
    pub served: f64,
    /// Least served fraction of a customer.
    pub worst_served: f64,
    /// Greatest 99th percentile of the latency of a customer, in milliseconds.
    pub worst_p99_ms: f64,
    /// Mean of the worst tenth of customers over the mean of all.
    pub worst_tenth: f64,
    /// Fraction of requests that were admitted, but not served by the deadline.
    pub late: f64,
}

/// Computes the figures of one class, over the customers that `includes` names.
pub fn figures(
    tallies: &BTreeMap<(usize, RequestClass), Tally>,
    class: RequestClass,
    includes: impl Fn(usize) -> bool,
) -> Figures {
    let tallies: Vec<_> =
        tallies.iter().filter(|((c, k), _)| *k == class && includes(*c)).map(|(_, t)| t).collect();
    let sum = |of: fn(&Tally) -> u32| tallies.iter().map(|t| f64::from(of(t))).sum::<f64>();
    let mut fractions: Vec<_> =
        tallies.iter().map(|t| f64::from(t.served) / f64::from(t.asked)).collect();
    fractions.sort_by(f64::total_cmp);
    let tenth = fractions.len().div_ceil(10);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    let p99 = |t: &&Tally| {
        let mut latencies = t.latencies_ms.clone();
        latencies.sort_by(f64::total_cmp);
        latencies.get(latencies.len() * 99 / 100).copied().unwrap_or(0.0)
    };
    Figures {
        served: sum(|t| t.served) / sum(|t| t.asked),
        worst_served: fractions[0],
        worst_p99_ms: tallies.iter().map(p99).fold(0.0, f64::max),
        worst_tenth: mean(&fractions[..tenth]) / mean(&fractions),
        late: sum(|t| t.late) / sum(|t| t.asked),
    }
}
