//! The fair queue.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::CustomerId;
use serde::Serialize;

use crate::RequestClass;
use crate::WaiterId;
use crate::customer::Customer;
use crate::customer::WaitKey;
use crate::index::CustomerIndex;
use crate::index::DeadlineIndex;
use crate::work_time::WorkTimes;

/// Maximum number of waiting requests.
pub const MAX_WAITING: usize = 1_024;
/// One freed slot in this many goes to a reward call while any waits, so that
/// training steps aren't late under callers' load.
const REWARD_TURN_EVERY: u32 = 8;
/// Weight of the current capacity in its moving average. Load reports lag behind the
/// responses that carry them, so the capacity may be far too low for a moment.
const CAPACITY_WEIGHT: f64 = 1.0 / 16.0;

/// A request for admission.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Customer whose share it uses.
    pub customer: CustomerId,
    /// Who waits for the response.
    pub class: RequestClass,
    /// Priority; 0 is most urgent.
    pub priority: u32,
    /// When the response is due.
    pub deadline: Instant,
}

/// Result of asking for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request runs; call `finish` when it ends.
    Run,
    /// The request waits until `next_to_run` returns its id.
    Wait(WaiterId),
    /// The request does not run: it could not finish by its deadline, or too many
    /// requests wait.
    Refused {
        /// When a slot is expected for it.
        retry_at: Instant,
    },
}

/// What happens to a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// It runs; call `finish` when it ends.
    Run(WaiterId),
    /// It no longer waits, and doesn't run.
    Refuse {
        /// The request.
        waiter: WaiterId,
        /// When a slot is expected for it.
        retry_at: Instant,
    },
}

/// State of a queue, for a state dump.
#[derive(Clone, Debug, Serialize)]
pub struct QueueState {
    /// Number of requests that may run concurrently.
    pub capacity: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Average time that a caller's request runs, in microseconds.
    pub caller_work_us: u128,
    /// Average time that a reward call runs, in microseconds.
    pub reward_work_us: u128,
    /// The customers that have requests.
    pub customers: BTreeMap<CustomerId, CustomerState>,
}

/// State of one customer in a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct CustomerState {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: usize,
}

/// Admission control for a number of equal slots.
#[derive(Debug)]
pub struct FairQueue {
    capacity: u32,
    /// Moving average of the capacity, by which waits are estimated.
    mean_capacity: f64,
    waiting_limit: usize,
    running: u32,
    next_waiter: WaiterId,
    /// Start tag of the request that had its turn last, in microseconds of work per
    /// customer.
    virtual_time: u64,
    customers: HashMap<CustomerId, Customer>,
    index: CustomerIndex,
    waiters: HashMap<WaiterId, Waiter>,
    deadlines: DeadlineIndex,
    /// Requests that gave up their place for one of a customer with fewer.
    displaced: Vec<(WaiterId, Instant)>,
    work_times: WorkTimes,
    /// Slots given since a reward call got one, while any waits.
    turns_since_reward: u32,
}

/// The request that gets a free slot.
#[derive(Clone, Copy, Debug)]
enum Pick {
    /// The first one of the customer whose turn it is.
    InTurn(WaiterId),
    /// A reward call before callers. Its customer is not charged, since its own
    /// callers would get less than those of others.
    ExtraReward(WaiterId),
}

#[derive(Clone, Debug)]
struct Waiter {
    customer: CustomerId,
    class: RequestClass,
    key: WaitKey,
}

impl FairQueue {
    /// Creates a queue that lets `capacity` requests run concurrently.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            mean_capacity: f64::from(capacity),
            waiting_limit: MAX_WAITING,
            running: 0,
            next_waiter: 0,
            virtual_time: 0,
            customers: HashMap::new(),
            index: CustomerIndex::default(),
            waiters: HashMap::new(),
            deadlines: DeadlineIndex::default(),
            displaced: Vec::new(),
            work_times: WorkTimes::new(),
            turns_since_reward: 0,
        }
    }

    /// Sets how many requests may run concurrently; after an increase,
    /// `next_to_run` may return waiting requests.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Sets how many requests may wait, for several queues with a common bound; at
    /// most `MAX_WAITING`. Requests that wait already stay.
    pub fn set_waiting_limit(&mut self, limit: usize) {
        self.waiting_limit = limit.min(MAX_WAITING);
    }

    /// Number of requests that may run concurrently.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Number of customers that have running or waiting requests.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Decides whether a request runs, waits or is refused.
    pub fn admit(&mut self, ask: &Ask, now: Instant) -> Admission {
        let weight = if self.customers.is_empty() { 1.0 } else { CAPACITY_WEIGHT };
        self.mean_capacity += (f64::from(self.capacity) - self.mean_capacity) * weight;
        if self.running < self.capacity && self.waiters.is_empty() && now < ask.deadline {
            // Also if the average says that it will be late: otherwise nothing would
            // run, and be measured, after a time of slow targets.
            self.start(&ask.customer, Some(ask.class));
            return Admission::Run;
        }
        let wait = self.expected_wait(ask);
        let retry_at = now + wait;
        if retry_at > self.latest_start(ask.class, ask.deadline) {
            return Admission::Refused { retry_at };
        }
        if self.waiters.len() >= self.waiting_limit && !self.displace(&ask.customer, now) {
            return Admission::Refused { retry_at };
        }
        Admission::Wait(self.enqueue(ask))
    }

    /// Records that a running request ended, and how long it ran; `None` if that
    /// says nothing about the work, as for a request that its caller gave up.
    pub fn finish(&mut self, customer: &str, class: RequestClass, ran_for: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(entry) = self.customers.get_mut(customer) {
            entry.running = entry.running.saturating_sub(1);
            if entry.is_idle() {
                self.customers.remove(customer);
            }
        }
        if let Some(ran_for) = ran_for {
            self.work_times.record(class, ran_for);
        }
    }

    /// Removes a waiting request; returns false if it no longer waits.
    pub fn cancel(&mut self, waiter: WaiterId) -> bool {
        self.displaced.retain(|(displaced, _)| *displaced != waiter);
        self.dequeue(waiter).is_some()
    }

    /// Removes the next request from the queue that may run, or that can't finish
    /// by its deadline any more. Call it until it returns `None`.
    pub fn next_to_run(&mut self, now: Instant) -> Option<Turn> {
        if let Some((waiter, retry_at)) = self.displaced.pop() {
            return Some(Turn::Refuse { waiter, retry_at });
        }
        if let Some(late) = self.pop_late(now) {
            return Some(late);
        }
        if self.running >= self.capacity {
            return None;
        }
        let pick = self.pick()?;
        let (Pick::InTurn(waiter) | Pick::ExtraReward(waiter)) = pick;
        let Waiter { customer, class, .. } = self.dequeue(waiter)?;
        self.start(&customer, matches!(pick, Pick::InTurn(_)).then_some(class));
        Some(Turn::Run(waiter))
    }

    /// When a waiting request must start to finish by its deadline, by the work times
    /// measured so far. `next_to_run` refuses it after that.
    #[must_use]
    pub fn latest_start(&self, class: RequestClass, deadline: Instant) -> Instant {
        deadline.checked_sub(self.work_times.bound(class)).unwrap_or(deadline)
    }

    /// Returns the state of one customer; `None` if it has no requests.
    #[must_use]
    pub fn customer(&self, id: &str) -> Option<CustomerState> {
        self.customers.get(id).map(CustomerState::from)
    }

    /// Returns the state for a state dump.
    #[must_use]
    pub fn state(&self) -> QueueState {
        let customers = self.customers.iter().map(|(id, c)| (id.clone(), c.into())).collect();
        QueueState {
            capacity: self.capacity,
            running: self.running,
            waiting: self.waiters.len(),
            caller_work_us: self.work_times.of(RequestClass::Caller).as_micros(),
            reward_work_us: self.work_times.of(RequestClass::Reward).as_micros(),
            customers,
        }
    }

    /// Counts a request as running, and charges its customer for one of this class
    /// if it used its turn.
    fn start(&mut self, id: &CustomerId, charged: Option<RequestClass>) {
        self.running += 1;
        let customer = self.customers.entry(id.clone()).or_default();
        customer.running += 1;
        let Some(class) = charged else {
            return;
        };
        let charge = u64::try_from(self.work_times.of(class).as_micros()).unwrap_or(u64::MAX);
        self.index.remove(id, customer);
        let start = customer.start.max(self.virtual_time);
        customer.start = start.saturating_add(charge);
        self.next_waiter += 1;
        customer.since = self.next_waiter;
        self.index.insert(id, customer);
        self.virtual_time = start;
    }

    fn enqueue(&mut self, ask: &Ask) -> WaiterId {
        self.next_waiter += 1;
        let waiter = self.next_waiter;
        let customer = self.customers.entry(ask.customer.clone()).or_default();
        self.index.remove(&ask.customer, customer);
        if customer.waiting() == 0 {
            customer.start = customer.start.max(self.virtual_time);
            customer.since = waiter;
        }
        let key = WaitKey { priority: ask.priority, deadline: ask.deadline, waiter };
        customer.insert(ask.class, key);
        self.index.insert(&ask.customer, customer);
        self.deadlines.insert(ask.class, ask.deadline, waiter);
        let entry = Waiter { customer: ask.customer.clone(), class: ask.class, key };
        self.waiters.insert(waiter, entry);
        waiter
    }

    fn dequeue(&mut self, waiter: WaiterId) -> Option<Waiter> {
        let entry = self.waiters.remove(&waiter)?;
        self.deadlines.remove(entry.class, entry.key.deadline, waiter);
        let customer = self.customers.get_mut(&entry.customer)?;
        self.index.remove(&entry.customer, customer);
        customer.remove(entry.class, &entry.key);
        self.index.insert(&entry.customer, customer);
        if customer.is_idle() {
            self.customers.remove(&entry.customer);
        }
        Some(entry)
    }

    /// Makes room for a request of a customer by removing the last one of the
    /// customer with the most; returns false if no other customer has more.
    fn displace(&mut self, customer: &CustomerId, now: Instant) -> bool {
        let own = self.customers.get(customer).map_or(0, Customer::waiting);
        let Some((longest, id)) = self.index.longest() else {
            return false;
        };
        if *longest <= own + 1 {
            return false;
        }
        let Some(waiter) = self.customers.get(id).and_then(Customer::last) else {
            return false;
        };
        let retry_at = now + self.turns_time(self.waiters.len());
        self.dequeue(waiter);
        self.displaced.push((waiter, retry_at));
        true
    }

    /// Removes a request that can't finish by its deadline.
    fn pop_late(&mut self, now: Instant) -> Option<Turn> {
        [RequestClass::Caller, RequestClass::Reward].into_iter().find_map(|class| {
            let (deadline, waiter) = self.deadlines.first(class)?;
            if now <= self.latest_start(class, deadline) {
                return None;
            }
            let entry = self.dequeue(waiter)?;
            let ask =
                Ask { customer: entry.customer, class, priority: entry.key.priority, deadline };
            Some(Turn::Refuse { waiter, retry_at: now + self.expected_wait(&ask) })
        })
    }

    /// Picks the waiting request that gets the next free slot.
    fn pick(&mut self) -> Option<Pick> {
        let first = self.customers.get(self.index.next()?)?.first()?;
        let Some(with_rewards) = self.index.next_with_rewards() else {
            self.turns_since_reward = 0;
            return Some(Pick::InTurn(first));
        };
        self.turns_since_reward += 1;
        if self.waiters.get(&first)?.class == RequestClass::Reward {
            self.turns_since_reward = 0;
        } else if self.turns_since_reward >= REWARD_TURN_EVERY {
            self.turns_since_reward = 0;
            return self.customers.get(with_rewards)?.first_reward().map(Pick::ExtraReward);
        }
        Some(Pick::InTurn(first))
    }

    /// Estimates the time until a new request would get a slot.
    ///
    /// Between two turns of a customer each other one has at most one turn, so a
    /// request waits for as many rounds of all customers as its own has turns
    /// before it, and for no more than all waiting requests.
    fn expected_wait(&self, ask: &Ask) -> Duration {
        let customer = self.customers.get(&ask.customer);
        let own = customer.map_or(0, |c| c.ahead_of(ask.class, ask.priority));
        let is_listed = customer.is_some_and(|c| c.waiting() > 0);
        let others = self.index.len() - usize::from(is_listed);
        let mut ahead = (own + (own + 1) * others).min(self.waiters.len());
        if ask.class == RequestClass::Reward {
            let rewards = self.deadlines.count(RequestClass::Reward);
            let every = usize::try_from(REWARD_TURN_EVERY).unwrap_or(usize::MAX);
            ahead = ahead.min((rewards + 1).saturating_mul(every));
        }
        let excess = self.running.saturating_sub(self.capacity);
        self.turns_time(ahead + 1 + usize::try_from(excess).unwrap_or(usize::MAX))
    }

    /// Estimates the time in which a number of slots become free.
    fn turns_time(&self, turns: usize) -> Duration {
        let turns = u32::try_from(turns).unwrap_or(u32::MAX);
        self.work_times.any().saturating_mul(turns).div_f64(self.mean_capacity.max(1.0))
    }
}

impl From<&Customer> for CustomerState {
    fn from(customer: &Customer) -> Self {
        Self { running: customer.running, waiting: customer.waiting() }
    }
}
