//! Admission at one process: shares, classes, and queues ordered by deadline.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cassia_contract::Class;
use cassia_ids::CustomerId;
use serde::Serialize;

/// Names a request that waits at a gate.
pub type WaiterId = u64;

/// Requests that may wait for one customer.
const MOST_WAITING: usize = 1_024;
/// The weight of a new service time in the running average: one in this many.
const AVERAGE_OVER: u32 = 16;
/// The service time assumed before any was seen.
const FIRST_SERVICE: Duration = Duration::from_millis(50);
/// The soonest that a refused caller is asked back.
const SOONEST_RETURN: Duration = Duration::from_millis(100);

/// A request before the gate.
#[derive(Clone, Debug)]
pub struct Request {
    /// The customer.
    pub customer: CustomerId,
    /// Who waits for the answer.
    pub class: Class,
    /// The customer's priority; a larger number goes first.
    pub priority: u32,
    /// The customer's share of the slots, in percent.
    pub share_percent: u32,
    /// When the answer must be back.
    pub deadline: Instant,
}

/// What the gate says to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// Go on; report the end with `leave`.
    Run,
    /// Wait until this waiter is named by `next`.
    Wait(WaiterId),
    /// It could not make its deadline: it did not run.
    Refused {
        /// When coming back is worth while.
        retry_at: Instant,
    },
}

/// What a dump shows of a gate.
#[derive(Clone, Debug, Serialize)]
pub struct AdmissionState {
    /// Requests that may run at once.
    pub capacity: u32,
    /// Requests that run.
    pub running: u32,
    /// Per customer: requests that run.
    pub running_by_customer: BTreeMap<CustomerId, u32>,
    /// Per customer: requests that wait.
    pub waiting_by_customer: BTreeMap<CustomerId, usize>,
    /// Per customer: age of the oldest that waits, in milliseconds.
    pub oldest_waiting_ms: BTreeMap<CustomerId, u64>,
    /// Running average of the service time, in microseconds.
    pub service_us: u128,
}

/// The gate before one kind of target, at one process.
#[derive(Debug)]
pub struct AdmissionController {
    capacity: u32,
    running: u32,
    /// Requests that wait, of all customers: while there are none, nothing
    /// needs to be looked through.
    waiting: usize,
    next_waiter: WaiterId,
    customers: BTreeMap<CustomerId, Customer>,
    /// Running average of the time that a request takes once it runs.
    service: Average,
}

#[derive(Debug, Default)]
struct Customer {
    running: u32,
    share_percent: u32,
    /// Ordered by class, then deadline, then arrival.
    waiting: BTreeMap<(Class, Instant, WaiterId), Waiting>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Instant,
    priority: u32,
}

/// A running average of lengths of time.
#[derive(Clone, Copy, Debug)]
struct Average(Duration);

impl AdmissionController {
    /// Sets up a gate that lets `capacity` requests run at once.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            running: 0,
            waiting: 0,
            next_waiter: 0,
            customers: BTreeMap::new(),
            service: Average(FIRST_SERVICE),
        }
    }

    /// Changes how many may run at once; `next` may then name waiters.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Decides whether a request runs, waits or is refused at once.
    pub fn admit(&mut self, req: &Request, now: Instant) -> Admission {
        let customer = self.customers.entry(req.customer.clone()).or_default();
        customer.share_percent = req.share_percent;
        if self.running < self.capacity && self.is_first(req) {
            self.run(&req.customer);
            return Admission::Run;
        }
        let wait = self.expected_wait(req);
        let ahead = self.customers.get(&req.customer).map_or(0, |c| c.waiting.len());
        if ahead >= MOST_WAITING || now + wait + self.service.0 > req.deadline {
            return Admission::Refused { retry_at: now + wait.max(SOONEST_RETURN) };
        }
        let waiter = self.next_waiter;
        self.next_waiter += 1;
        let customer = self.customers.entry(req.customer.clone()).or_default();
        let waiting = Waiting { since: now, priority: req.priority };
        customer.waiting.insert((req.class, req.deadline, waiter), waiting);
        self.waiting += 1;
        Admission::Wait(waiter)
    }

    /// Takes in that a running request ended, and how long it ran.
    pub fn finish(&mut self, customer: &str, ran_for: Duration) {
        self.running = self.running.saturating_sub(1);
        if let Some(customer) = self.customers.get_mut(customer) {
            customer.running = customer.running.saturating_sub(1);
        }
        self.service.add(ran_for);
    }

    /// Takes a waiter out that gave up; false if it isn't waiting any more.
    pub fn cancel(&mut self, customer: &str, waiter: WaiterId) -> bool {
        let Some(customer) = self.customers.get_mut(customer) else {
            return false;
        };
        let before = customer.waiting.len();
        customer.waiting.retain(|&(.., w), _| w != waiter);
        let gone = before - customer.waiting.len();
        self.waiting -= gone;
        gone > 0
    }

    /// Names the next waiter that may run now; call until there is none.
    pub fn next_to_run(&mut self) -> Option<WaiterId> {
        if self.waiting == 0 || self.running >= self.capacity {
            return None;
        }
        let capacity = self.capacity;
        let (id, customer) = self
            .customers
            .iter_mut()
            .filter(|(_, c)| !c.waiting.is_empty())
            .min_by_key(|(_, c)| c.order(capacity))?;
        let ((.., waiter), _) = customer.waiting.pop_first()?;
        self.waiting -= 1;
        let id = id.clone();
        self.run(&id);
        Some(waiter)
    }

    /// Shows the gate for a dump.
    #[must_use]
    pub fn state(&self, now: Instant) -> AdmissionState {
        let age = |c: &Customer| {
            let oldest = c.waiting.values().map(|w| w.since).min().unwrap_or(now);
            let age = now.saturating_duration_since(oldest).as_millis();
            u64::try_from(age).unwrap_or(u64::MAX)
        };
        AdmissionState {
            capacity: self.capacity,
            running: self.running,
            running_by_customer: self.by_customer(|c| c.running),
            waiting_by_customer: self.by_customer(|c| c.waiting.len()),
            oldest_waiting_ms: self.by_customer(age),
            service_us: self.service.0.as_micros(),
        }
    }

    fn by_customer<T>(&self, of: impl Fn(&Customer) -> T) -> BTreeMap<CustomerId, T> {
        self.customers.iter().map(|(id, c)| (id.clone(), of(c))).collect()
    }

    fn run(&mut self, customer: &CustomerId) {
        self.running += 1;
        self.customers.entry(customer.clone()).or_default().running += 1;
    }

    /// A free slot goes to a newcomer only if nobody waits who goes before it.
    /// What a customer doesn't use of its share is lent in this way, and is
    /// given back with the next slot that comes free.
    fn is_first(&self, req: &Request) -> bool {
        self.waiting == 0
            || self.customers.get(&req.customer).is_some_and(|c| {
                c.is_within_share(self.capacity)
                    && c.waiting.is_empty()
                    && self
                        .customers
                        .values()
                        .filter(|other| !other.waiting.is_empty())
                        .all(|other| !other.is_within_share(self.capacity))
            })
    }

    /// Estimates the wait from the requests ahead and the average service.
    fn expected_wait(&self, req: &Request) -> Duration {
        let ahead: usize = self
            .customers
            .iter()
            .map(|(id, c)| {
                let before = |&(class, deadline, _): &(Class, Instant, WaiterId)| {
                    (class, deadline) <= (req.class, req.deadline)
                };
                if *id == req.customer {
                    c.waiting.keys().filter(|key| before(key)).count()
                } else {
                    c.waiting.len().min(self.fair_slots(c))
                }
            })
            .sum();
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.service.0 * ahead / self.capacity.max(1)
    }

    fn fair_slots(&self, customer: &Customer) -> usize {
        let slots = self.capacity * customer.share_percent / 100;
        usize::try_from(slots).unwrap_or(usize::MAX).max(1)
    }
}

impl Customer {
    fn is_within_share(&self, capacity: u32) -> bool {
        self.running * 100 < capacity * self.share_percent
    }

    /// Customers within their share come first; then the more urgent class,
    /// the larger priority and the nearer deadline.
    fn order(&self, capacity: u32) -> Option<Order> {
        let (&(class, deadline, _), first) = self.waiting.first_key_value()?;
        let beyond_share = !self.is_within_share(capacity);
        Some(Order { beyond_share, class, priority: Reverse(first.priority), deadline })
    }
}

/// The order in which customers' first waiters get a slot that comes free.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Order {
    beyond_share: bool,
    class: Class,
    priority: Reverse<u32>,
    deadline: Instant,
}

impl Average {
    fn add(&mut self, sample: Duration) {
        self.0 = (self.0 * (AVERAGE_OVER - 1) + sample) / AVERAGE_OVER;
    }
}
