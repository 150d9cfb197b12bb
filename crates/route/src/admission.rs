//! Admission control in one process, by customers' shares, request classes and
//! deadlines.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cassia_contract::Class;
use cassia_ids::CustomerId;
use serde::Serialize;

/// Id of a queued request.
pub type WaiterId = u64;

/// Maximum number of queued requests of one customer.
const MAX_QUEUED_PER_CUSTOMER: usize = 1_024;
/// Inverse of the weight of a new service time in the moving average.
const AVERAGE_DIVISOR: u32 = 16;
/// Service time that is assumed before any was measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Minimum delay before a refused caller is told to retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Customer that it belongs to.
    pub customer: CustomerId,
    /// Who waits for the answer.
    pub class: Class,
    /// The customer's priority; a larger number is served first.
    pub priority: u32,
    /// The customer's share of the slots, in percent.
    pub share_percent: u32,
    /// When the answer is due.
    pub deadline: Instant,
}

/// Result of asking for admission.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The request runs; call `finish` when it ends.
    Run,
    /// The request is queued; it runs once `next_to_run` returns this id.
    Wait(WaiterId),
    /// The request does not run: it would miss its deadline, or its customer's
    /// queue is full.
    Refused {
        /// When to retry.
        retry_at: Instant,
    },
}

/// State of an admission controller, for a state dump.
#[derive(Clone, Debug, Serialize)]
pub struct AdmissionState {
    /// Number of requests that may run concurrently.
    pub capacity: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of running requests per customer.
    pub running_by_customer: BTreeMap<CustomerId, u32>,
    /// Number of queued requests per customer.
    pub waiting_by_customer: BTreeMap<CustomerId, usize>,
    /// Age of the oldest queued request per customer, in milliseconds.
    pub oldest_waiting_ms: BTreeMap<CustomerId, u64>,
    /// Moving average of the service time, in microseconds.
    pub service_us: u128,
}

/// Admission control for one kind of target in one process.
#[derive(Debug)]
pub struct AdmissionController {
    capacity: u32,
    running: u32,
    /// Number of queued requests of all customers; while it is 0, the
    /// customers don't need to be searched.
    waiting: usize,
    next_waiter: WaiterId,
    customers: BTreeMap<CustomerId, Customer>,
    /// Moving average of the time that a request runs.
    service_time: MovingAverage,
}

#[derive(Debug, Default)]
struct Customer {
    running: u32,
    share_percent: u32,
    /// Ordered by class, then deadline, then arrival.
    queue: BTreeMap<(Class, Instant, WaiterId), Queued>,
}

#[derive(Clone, Copy, Debug)]
struct Queued {
    since: Instant,
    priority: u32,
}

/// Moving average of durations.
#[derive(Clone, Copy, Debug)]
struct MovingAverage(Duration);

impl AdmissionController {
    /// Creates a controller that lets `capacity` requests run concurrently.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            running: 0,
            waiting: 0,
            next_waiter: 0,
            customers: BTreeMap::new(),
            service_time: MovingAverage(INITIAL_SERVICE_TIME),
        }
    }

    /// Sets how many requests may run concurrently; after an increase,
    /// `next_to_run` may return queued requests.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Decides whether a request runs, is queued or is refused.
    pub fn admit(&mut self, req: &AdmissionRequest, now: Instant) -> Admission {
        let customer = self.customers.entry(req.customer.clone()).or_default();
        customer.share_percent = req.share_percent;
        if self.running < self.capacity && self.is_next(req) {
            self.count_running(&req.customer);
            return Admission::Run;
        }
        let wait = self.expected_wait(req);
        let queued = self.customers.get(&req.customer).map_or(0, |c| c.queue.len());
        if queued >= MAX_QUEUED_PER_CUSTOMER || now + wait + self.service_time.0 > req.deadline {
            return Admission::Refused { retry_at: now + wait.max(MIN_RETRY_DELAY) };
        }
        let waiter = self.next_waiter;
        self.next_waiter += 1;
        let customer = self.customers.entry(req.customer.clone()).or_default();
        let queued = Queued { since: now, priority: req.priority };
        customer.queue.insert((req.class, req.deadline, waiter), queued);
        self.waiting += 1;
        Admission::Wait(waiter)
    }

    /// Records that a running request ended, and how long it ran.
    pub fn finish(&mut self, customer: &str, ran_for: Duration) {
        self.running = self.running.saturating_sub(1);
        if let Some(customer) = self.customers.get_mut(customer) {
            customer.running = customer.running.saturating_sub(1);
        }
        self.service_time.add(ran_for);
    }

    /// Removes a request from the queue; returns false if it is no longer in
    /// it.
    pub fn cancel(&mut self, customer: &str, waiter: WaiterId) -> bool {
        let Some(customer) = self.customers.get_mut(customer) else {
            return false;
        };
        let before = customer.queue.len();
        customer.queue.retain(|&(.., w), _| w != waiter);
        let removed = before - customer.queue.len();
        self.waiting -= removed;
        removed > 0
    }

    /// Removes the next request that may run from its queue and returns its
    /// id. Call it until it returns `None`.
    pub fn next_to_run(&mut self) -> Option<WaiterId> {
        if self.waiting == 0 || self.running >= self.capacity {
            return None;
        }
        let capacity = self.capacity;
        let (id, customer) = self
            .customers
            .iter_mut()
            .filter(|(_, c)| !c.queue.is_empty())
            .min_by_key(|(_, c)| c.rank(capacity))?;
        let ((.., waiter), _) = customer.queue.pop_first()?;
        self.waiting -= 1;
        let id = id.clone();
        self.count_running(&id);
        Some(waiter)
    }

    /// Returns the state for a state dump.
    #[must_use]
    pub fn state(&self, now: Instant) -> AdmissionState {
        let age = |c: &Customer| {
            let oldest = c.queue.values().map(|queued| queued.since).min().unwrap_or(now);
            let age = now.saturating_duration_since(oldest).as_millis();
            u64::try_from(age).unwrap_or(u64::MAX)
        };
        AdmissionState {
            capacity: self.capacity,
            running: self.running,
            running_by_customer: self.by_customer(|c| c.running),
            waiting_by_customer: self.by_customer(|c| c.queue.len()),
            oldest_waiting_ms: self.by_customer(age),
            service_us: self.service_time.0.as_micros(),
        }
    }

    fn by_customer<T>(&self, value: impl Fn(&Customer) -> T) -> BTreeMap<CustomerId, T> {
        self.customers.iter().map(|(id, c)| (id.clone(), value(c))).collect()
    }

    fn count_running(&mut self, customer: &CustomerId) {
        self.running += 1;
        self.customers.entry(customer.clone()).or_default().running += 1;
    }

    /// Whether a new request may take a free slot before all queued requests.
    /// This lends the unused share of a customer to others; the customer gets
    /// it back with the next slot that becomes free.
    fn is_next(&self, req: &AdmissionRequest) -> bool {
        self.waiting == 0
            || self.customers.get(&req.customer).is_some_and(|c| {
                c.is_within_share(self.capacity)
                    && c.queue.is_empty()
                    && self
                        .customers
                        .values()
                        .filter(|other| !other.queue.is_empty())
                        .all(|other| !other.is_within_share(self.capacity))
            })
    }

    /// Estimates the wait from the requests ahead and the average service
    /// time.
    fn expected_wait(&self, req: &AdmissionRequest) -> Duration {
        let ahead: usize = self
            .customers
            .iter()
            .map(|(id, c)| {
                let before = |&(class, deadline, _): &(Class, Instant, WaiterId)| {
                    (class, deadline) <= (req.class, req.deadline)
                };
                if *id == req.customer {
                    c.queue.keys().filter(|key| before(key)).count()
                } else {
                    c.queue.len().min(self.share_slots(c))
                }
            })
            .sum();
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.service_time.0 * ahead / self.capacity.max(1)
    }

    fn share_slots(&self, customer: &Customer) -> usize {
        let slots = self.capacity * customer.share_percent / 100;
        usize::try_from(slots).unwrap_or(usize::MAX).max(1)
    }
}

impl Customer {
    fn is_within_share(&self, capacity: u32) -> bool {
        self.running * 100 < capacity * self.share_percent
    }

    /// Rank of the customer's first queued request: customers within their
    /// share are served first, then the more urgent class, the larger priority
    /// and the earlier deadline.
    fn rank(&self, capacity: u32) -> Option<Rank> {
        let (&(class, deadline, _), first) = self.queue.first_key_value()?;
        let beyond_share = !self.is_within_share(capacity);
        Some(Rank { beyond_share, class, priority: Reverse(first.priority), deadline })
    }
}

/// Order in which customers' first queued requests get a slot that becomes
/// free.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    beyond_share: bool,
    class: Class,
    priority: Reverse<u32>,
    deadline: Instant,
}

impl MovingAverage {
    fn add(&mut self, sample: Duration) {
        self.0 = (self.0 * (AVERAGE_DIVISOR - 1) + sample) / AVERAGE_DIVISOR;
    }
}
