//! Several hosts that contend for the lease and report usage, with suspensions, kills,
//! lost answers and delayed appends and calls between every two steps.
//!
//! The lease is the real one. Both logs are vectors. Like the platform, the one here
//! accepts calls with any fencing token; the checks are about what reaches it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cassia_lease::Contender;
use cassia_lease::LeaseClient;
use cassia_lease::LeaseRecord;
use cassia_lease::NextRecord;
use cassia_usage::UsageAction;
use cassia_usage::UsageLedger;
use cassia_usage::UsageRecord;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TERM: Duration = Duration::from_millis(1_500);
/// Time within which holders must not act in turns.
const LEASE_MS: u64 = 3_000;
const QUIET_PERIOD: Duration = Duration::from_millis(3_400);
const CALL_TIMEOUT_MS: u64 = 400;
const APPEND_TIMEOUT_MS: u64 = 500;
const WINDOW_MS: u64 = 5_000;
const STEP_MS: u64 = 50;
const RUN_MS: u64 = 90_000;
/// Faults end here, so that what is left over is reported.
const FAULTS_UNTIL_MS: u64 = 60_000;
const HOSTS: usize = 3;
const SEEDS: u64 = 300;
/// Start of the run, in Unix milliseconds.
const START: u64 = 2_000_000_000;

/// Requests by customer.
type Counts = BTreeMap<cassia_ids::CustomerId, u64>;

/// The step that a host takes next. Between any two, it may be suspended or killed.
#[derive(Debug)]
enum Step {
    ReadLease,
    ContendForLease,
    ReadUsage,
    Choose,
    Append(UsageRecord),
    Call(u64, Counts),
    Answered(u64),
}

struct Host {
    lease: LeaseClient,
    ledger: UsageLedger,
    next: usize,
    step: Step,
    /// It is suspended, or dead, until this time.
    resumes_at: u64,
    /// Number of requests that it has counted in the current window.
    counted: BTreeMap<u64, u64>,
    boot: u64,
}

struct PlatformCall {
    /// When it was sent.
    sent_at: u64,
    host: usize,
    fence: u64,
    window: u64,
    counts: Counts,
}

#[derive(Default)]
struct Platform {
    highest_fence: u64,
    /// When the last call of each host arrived, in the order of their last calls.
    last_calls: Vec<(usize, u64)>,
    reports: BTreeMap<u64, Counts>,
    repeats: usize,
}

impl Platform {
    fn receive(&mut self, call: &PlatformCall, now: u64, context: &str) {
        assert!(now <= call.sent_at + CALL_TIMEOUT_MS, "{context}: a call is too late");
        if let Some(before) = self.last_calls.iter().position(|(host, _)| *host == call.host) {
            let (_, at) = self.last_calls.remove(before);
            let others_called = before < self.last_calls.len();
            assert!(!others_called || now >= at + LEASE_MS, "{context}: holders act in turns");
        }
        self.last_calls.push((call.host, now));
        assert!(call.fence >= self.highest_fence, "{context}: a fencing token fell");
        self.highest_fence = call.fence;
        let known = self.reports.entry(call.window).or_insert_with(|| call.counts.clone());
        self.repeats += usize::from(*known == call.counts);
        assert_eq!(*known, call.counts, "{context}: two reports of window {}", call.window);
    }
}

struct Simulation {
    rng: SmallRng,
    start: Instant,
    now: u64,
    lease_log: Vec<LeaseRecord>,
    usage_log: Vec<UsageRecord>,
    /// Appends and calls on their way, with the time of their arrival.
    late_leases: Vec<(u64, LeaseRecord)>,
    late_usage: Vec<(u64, UsageRecord)>,
    late_calls: Vec<(u64, PlatformCall)>,
    platform: Platform,
    hosts: Vec<Host>,
    next_boot: u64,
}

/// Takes what arrives by a time, in the order of arrival.
fn take_due<T>(late: &mut Vec<(u64, T)>, now: u64) -> Vec<T> {
    late.sort_by_key(|(at, _)| *at);
    let count = late.iter().take_while(|(at, _)| *at <= now).count();
    late.drain(..count).map(|(_, value)| value).collect()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            lease_log: Vec::new(),
            usage_log: Vec::new(),
            late_leases: Vec::new(),
            late_usage: Vec::new(),
            late_calls: Vec::new(),
            platform: Platform::default(),
            hosts: Vec::new(),
            next_boot: 0,
        };
        simulation.hosts = (0..HOSTS).map(|n| simulation.new_host(n)).collect();
        simulation
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn new_host(&mut self, n: usize) -> Host {
        self.next_boot += 1;
        let (boot, name) = (self.next_boot, format!("h{n}").into());
        let contender = Contender::new("duties".into(), name, boot, TERM, self.instant());
        Host {
            lease: LeaseClient::new(contender.sole_on_host(), 150, QUIET_PERIOD),
            ledger: UsageLedger::new(WINDOW_MS),
            next: 0,
            step: Step::ReadLease,
            resumes_at: 0,
            counted: BTreeMap::new(),
            boot,
        }
    }

    /// Returns whether a fault with this chance occurs.
    fn fault(&mut self, chance: f64) -> bool {
        self.now < FAULTS_UNTIL_MS && self.rng.random_bool(chance)
    }

    fn run(&mut self, context: &str) {
        while self.now < RUN_MS {
            self.now += STEP_MS;
            let due = take_due(&mut self.late_leases, self.now);
            self.lease_log.extend(due);
            let due = take_due(&mut self.late_usage, self.now);
            self.usage_log.extend(due);
            for call in take_due(&mut self.late_calls, self.now) {
                self.platform.receive(&call, self.now, context);
            }
            for n in 0..HOSTS {
                self.run_host(n, context);
            }
        }
    }

    fn run_host(&mut self, n: usize, context: &str) {
        if self.hosts[n].resumes_at > self.now {
            return;
        }
        self.count(n);
        // A host takes a few steps at a time, and is interrupted between any two.
        for _ in 0..self.rng.random_range(1..=10) {
            if self.hosts[n].resumes_at > self.now {
                return;
            }
            // Most of all between a choice and what follows from it.
            let has_chosen = matches!(self.hosts[n].step, Step::Append(_) | Step::Call(..));
            if self.fault(if has_chosen { 0.2 } else { 0.002 }) {
                // Past its term, often past the wait of the next holder, too.
                self.hosts[n].resumes_at = self.now + self.rng.random_range(100..12_000);
                return;
            }
            if self.fault(0.000_5) {
                self.hosts[n] = self.new_host(n);
                self.hosts[n].resumes_at = self.now + self.rng.random_range(500..8_000);
                return;
            }
            self.step(n, context);
        }
    }

    /// Counts a request, and appends the counts every half second.
    fn count(&mut self, n: usize) {
        let window = (START + self.now) / WINDOW_MS;
        let host = &mut self.hosts[n];
        let count = host.counted.entry(window).or_default();
        *count += 1;
        if self.now.is_multiple_of(500) {
            let counts = [("leserbild".into(), *count)].into();
            let (host, boot) = (format!("h{n}").into(), host.boot);
            let record = UsageRecord::Counts { host, boot, window, counts };
            self.append_usage(n, record);
        }
    }

    /// Appends a record, which may be lost or arrive late. Then the host learns of it when
    /// its call times out.
    fn append_usage(&mut self, n: usize, record: UsageRecord) {
        if self.fault(0.05) {
            return;
        }
        let is_counts = matches!(record, UsageRecord::Counts { .. });
        // Counts often arrive after a first decision, so that a second one differs.
        let delay = if self.fault(if is_counts { 0.9 } else { 0.3 }) {
            self.rng.random_range(STEP_MS..10_000)
        } else {
            0
        };
        self.late_usage.push((self.now + delay, record));
        if delay == 0 {
            let due = take_due(&mut self.late_usage, self.now);
            self.usage_log.extend(due);
        } else if !is_counts {
            self.hosts[n].resumes_at = self.now + APPEND_TIMEOUT_MS;
        }
    }

    fn step(&mut self, n: usize, context: &str) {
        let step = std::mem::replace(&mut self.hosts[n].step, Step::ReadLease);
        let next = match step {
            Step::ReadLease => {
                self.read_lease(n);
                Step::ContendForLease
            }
            Step::ContendForLease => {
                self.contend(n);
                Step::ReadUsage
            }
            Step::ReadUsage => {
                self.read_usage(n);
                Step::Choose
            }
            Step::Choose => self.choose(n),
            Step::Append(record) => {
                self.append_usage(n, record);
                // The decision counts as the log has it.
                Step::ReadUsage
            }
            Step::Call(window, counts) => self.call(n, window, counts, context),
            Step::Answered(window) => {
                self.hosts[n].ledger.apply(&UsageRecord::Reported { window });
                self.append_usage(n, UsageRecord::Reported { window });
                Step::ReadLease
            }
        };
        self.hosts[n].step = next;
    }

    fn read_lease(&mut self, n: usize) {
        let now = self.instant();
        let host = &mut self.hosts[n];
        let from = usize::try_from(host.lease.next_read()).unwrap_or(usize::MAX);
        let records: Vec<_> = self.lease_log.iter().skip(from).cloned().map(Some).collect();
        host.lease.apply_records(0, from as u64, &records, self.lease_log.len() as u64, now);
    }

    fn contend(&mut self, n: usize) {
        let now = self.instant();
        let host = &mut self.hosts[n];
        host.lease.set_rank(u32::try_from(n).unwrap_or(0));
        if let Some(NextRecord::Append(record)) = host.lease.step(now) {
            if self.fault(0.05) {
                return;
            }
            let delay = if self.fault(0.1) { self.rng.random_range(0..3_000) } else { 0 };
            if delay == 0 {
                self.lease_log.push(record);
            } else {
                self.late_leases.push((self.now + delay, record));
            }
        }
    }

    fn read_usage(&mut self, n: usize) {
        if self.fault(0.05) {
            return;
        }
        let host = &mut self.hosts[n];
        for record in &self.usage_log[host.next..] {
            host.ledger.apply(record);
        }
        host.next = self.usage_log.len();
        host.ledger.record_read(START + self.now);
    }

    fn acting_fence(&self, n: usize) -> Option<u64> {
        let now = self.instant();
        let held = self.hosts[n].lease.held_lease(now)?;
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        let may_act = now >= held.since + timeout && held.may_act(now, QUIET_PERIOD);
        (may_act && now + timeout < held.until).then_some(held.fence)
    }

    fn choose(&mut self, n: usize) -> Step {
        let Some(fence) = self.acting_fence(n) else { return Step::ReadLease };
        match self.hosts[n].ledger.next(START + self.now) {
            UsageAction::Wait => Step::ReadLease,
            UsageAction::Decide { window, counts } => {
                Step::Append(UsageRecord::Decision { window, counts, fence })
            }
            UsageAction::Report { window, counts } => Step::Call(window, counts),
        }
    }

    /// Sends a call if the lease is valid for the time that it may take to arrive.
    fn call(&mut self, n: usize, window: u64, counts: Counts, context: &str) -> Step {
        let Some(fence) = self.acting_fence(n) else { return Step::ReadLease };
        if self.fault(0.1) {
            return Step::ReadLease;
        }
        let call = PlatformCall { sent_at: self.now, host: n, fence, window, counts };
        if self.fault(0.5) {
            // The host hears nothing of it.
            let delay = self.rng.random_range(0..CALL_TIMEOUT_MS);
            self.late_calls.push((self.now + delay, call));
            self.hosts[n].resumes_at = self.now + CALL_TIMEOUT_MS;
            return Step::ReadLease;
        }
        self.platform.receive(&call, self.now, context);
        Step::Answered(window)
    }
}

/// Guards against a second decision of a window, by a holder that wakes up or whose append
/// arrives after another holder has decided, and against calls of a holder that has lost
/// the lease.
#[test]
fn no_window_has_two_reports_and_fencing_tokens_never_fall() {
    let (mut repeats, mut rivals) = (0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        simulation.run(&format!("seed {seed}"));
        let reports = &simulation.platform.reports;
        let (first, last) = (START / WINDOW_MS, (START + RUN_MS - 15_000) / WINDOW_MS);
        for window in first..last {
            assert!(reports.contains_key(&window), "seed {seed}: no report of {window}");
        }
        repeats += simulation.platform.repeats - reports.len();
        let mut decided = BTreeMap::<u64, BTreeSet<Counts>>::new();
        for record in &simulation.usage_log {
            if let UsageRecord::Decision { window, counts, .. } = record {
                decided.entry(*window).or_default().insert(counts.clone());
            }
        }
        rivals += decided.values().filter(|decisions| decisions.len() > 1).count();
    }
    // The faults have what the checks are about.
    assert!(repeats > 100, "only {repeats} reports were sent again");
    assert!(rivals > 20, "only {rivals} windows had decisions that differ");
}
