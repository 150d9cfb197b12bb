//! Admission control: places at the targets of a plain service, given out fairly
//! among customers.
//!
//! A request takes a place before its first attempt and keeps it until it is over,
//! whatever the number of its attempts. There is no queue for requests without a
//! customer.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use cassia_admission::Admission;
use cassia_admission::Ask;
use cassia_admission::FairQueue;
use cassia_admission::MAX_WAITING;
use cassia_admission::QueueState;
use cassia_admission::RequestClass;
use cassia_admission::Turn;
use cassia_admission::WaiterId;
use cassia_ids::CustomerId;
use cassia_route::RouteKind;
use cassia_route::TargetKind;
use cassia_route::TargetSet;
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::accounts::Requester;
use crate::app::App;
use crate::call::Call;
use crate::call::CallOutcome;
use crate::clock::millis;
use crate::lock::lock;
use crate::response::Refusal;

/// Delay after the latest start of a waiting request until it is refused; also the
/// least time between two such checks of a request.
const EXPIRY_SLACK: Duration = Duration::from_millis(1);
/// The least time after which a refused caller is told to retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The queues of the plain services.
#[derive(Debug, Default)]
pub(crate) struct AdmissionControl {
    queues: Mutex<BTreeMap<SmolStr, ServiceQueue>>,
}

#[derive(Debug)]
struct ServiceQueue {
    queue: FairQueue,
    waiters: HashMap<WaiterId, oneshot::Sender<Answer>>,
}

/// What a waiting request is told.
#[derive(Clone, Copy, Debug)]
enum Answer {
    Run,
    Refused { retry_at: Instant },
}

/// Whose place it is, at the targets of which service.
#[derive(Clone, Debug)]
struct PlaceOwner {
    service: SmolStr,
    customer: CustomerId,
    class: RequestClass,
}

/// A customer's part of a queue, for the log.
#[derive(Clone, Copy, Debug, Default)]
struct QueueLoad {
    /// Places at the targets.
    capacity: u32,
    /// Customers that share them.
    customers: usize,
    /// The customer's running requests.
    running: u32,
    /// Its waiting requests.
    waiting: usize,
}

/// A place of a running request; freed when dropped.
#[derive(Debug)]
pub(crate) struct Place<'a> {
    app: &'a App,
    owner: PlaceOwner,
    since: Instant,
    /// Whether the request ended, so that its time says how long requests take.
    is_measured: bool,
}

/// A waiting request; leaves the queue when dropped.
#[derive(Debug)]
struct Waiting<'a> {
    app: &'a App,
    owner: PlaceOwner,
    waiter: WaiterId,
    answer: oneshot::Receiver<Answer>,
    is_answered: bool,
}

impl Call<'_> {
    /// Runs the request when it has a place, or refuses it.
    pub(crate) async fn run(&self) -> CallOutcome {
        let mut place = match self.take_place().await {
            Ok(place) => place,
            Err(refusal) => return CallOutcome::Refused(refusal),
        };
        let outcome = match self.route.kind {
            RouteKind::Idempotent => self.run_idempotent().await,
            _ if self.job.is_some() => self.run_idempotent().await,
            _ => self.run_at_most_once().await,
        };
        if let Some(place) = place.as_mut() {
            place.is_measured = says_work_time(&outcome);
        }
        outcome
    }

    /// Returns the priority of the customer's account, or that of the route.
    fn priority(&self) -> u32 {
        let table = self.app.state.routes.load();
        let requester = &self.outgoing.requester;
        table.as_ref().map_or(self.route.priority, |table| requester.priority(table, self.route))
    }

    /// Waits for a place; `None` if the request needs none.
    async fn take_place(&self) -> Result<Option<Place<'_>>, Refusal> {
        let class = match &self.outgoing.requester {
            Requester::Unidentified | Requester::Public => return Ok(None),
            Requester::Caller(_) => RequestClass::Caller,
            Requester::Job(_) => RequestClass::Reward,
        };
        let Some(customer) = self.outgoing.requester.customer().cloned() else {
            return Ok(None);
        };
        let priority = self.priority();
        let ask = Ask { customer: customer.clone(), class, priority, deadline: self.deadline };
        let owner = PlaceOwner { service: self.service.clone(), customer, class };
        let asked_at = Instant::now();
        let answer = match self.app.admission.ask(self.app, &owner, &ask, asked_at) {
            Ok(waiting) => wait(waiting, self.deadline).await,
            Err(answer) => answer,
        };
        let (id, customer) = (self.id.as_str(), owner.customer.as_str());
        let waited_ms = millis(asked_at.elapsed());
        match answer {
            Answer::Run => {
                if waited_ms > 0 {
                    log::info!(event = "admitted", step = "admit", id, customer, waited_ms; "waited for a place");
                }
                Ok(Some(Place::new(self.app, owner)))
            }
            Answer::Refused { retry_at } => {
                let retry_after_ms =
                    with_jitter(retry_at.saturating_duration_since(Instant::now()));
                let service = owner.service.as_str();
                let QueueLoad { capacity, customers, running, waiting } =
                    self.app.admission.load_of(&owner);
                log::info!(event = "not_admitted", step = "admit", id, customer, service, capacity, customers, running, waiting, waited_ms, retry_after_ms; "it can't finish by its deadline");
                Err(Refusal::Overloaded { retry_after_ms })
            }
        }
    }
}

impl AdmissionControl {
    /// Asks for a place: returns the waiting request, or the answer if there is one
    /// at once.
    fn ask<'a>(
        &self,
        app: &'a App,
        owner: &PlaceOwner,
        ask: &Ask,
        now: Instant,
    ) -> Result<Waiting<'a>, Answer> {
        let targets = app.state.targets.load();
        let mut queues = lock(&self.queues);
        let elsewhere: usize = queues
            .iter()
            .filter(|(service, _)| **service != owner.service)
            .map(|(_, other)| other.queue.waiting())
            .sum();
        let service = queues.entry(owner.service.clone()).or_insert_with(ServiceQueue::new);
        service.queue.set_waiting_limit(MAX_WAITING.saturating_sub(elsewhere));
        service.set_capacity(&targets, &owner.service, now);
        let result = match service.queue.admit(ask, now) {
            Admission::Run => Err(Answer::Run),
            Admission::Refused { retry_at } => Err(Answer::Refused { retry_at }),
            Admission::Wait(waiter) => {
                let (sender, answer) = oneshot::channel();
                service.waiters.insert(waiter, sender);
                let owner = owner.clone();
                Ok(Waiting { app, owner, waiter, answer, is_answered: false })
            }
        };
        service.take_turns(now);
        result
    }

    /// Changes the queue of a service, then gives free places to waiting requests.
    fn update<T>(
        &self,
        app: &App,
        service: &str,
        change: impl FnOnce(&mut ServiceQueue) -> T,
    ) -> Option<T> {
        let targets = app.state.targets.load();
        let now = Instant::now();
        let mut queues = lock(&self.queues);
        let queue = queues.get_mut(service)?;
        let result = change(queue);
        queue.set_capacity(&targets, service, now);
        queue.take_turns(now);
        Some(result)
    }

    /// Applies a change of the targets to all queues.
    pub(crate) fn targets_changed(&self, targets: &TargetSet) {
        let now = Instant::now();
        for (service, queue) in lock(&self.queues).iter_mut() {
            queue.set_capacity(targets, service, now);
            queue.take_turns(now);
        }
    }

    /// Returns what a customer has of a queue.
    fn load_of(&self, owner: &PlaceOwner) -> QueueLoad {
        let queues = lock(&self.queues);
        let Some(ServiceQueue { queue, .. }) = queues.get(&owner.service) else {
            return QueueLoad::default();
        };
        let own = queue.customer(&owner.customer);
        QueueLoad {
            capacity: queue.capacity(),
            customers: queue.customer_count(),
            running: own.map_or(0, |own| own.running),
            waiting: own.map_or(0, |own| own.waiting),
        }
    }

    /// Returns the states of all queues, for a state dump.
    pub(crate) fn state(&self) -> BTreeMap<SmolStr, QueueState> {
        let queues = lock(&self.queues);
        queues.iter().map(|(service, queue)| (service.clone(), queue.queue.state())).collect()
    }
}

impl ServiceQueue {
    fn new() -> Self {
        Self { queue: FairQueue::new(1), waiters: HashMap::new() }
    }

    fn set_capacity(&mut self, targets: &TargetSet, service: &str, now: Instant) {
        let kind = TargetKind::Service { name: service.into() };
        self.queue.set_capacity(targets.available_slots(&kind, now).max(1));
    }

    fn take_turns(&mut self, now: Instant) {
        while let Some(turn) = self.queue.next_to_run(now) {
            let (waiter, answer) = match turn {
                Turn::Run(waiter) => (waiter, Answer::Run),
                Turn::Refuse { waiter, retry_at } => (waiter, Answer::Refused { retry_at }),
            };
            // A waiting request cancels its place before its receiver is dropped, so
            // the answer always arrives.
            if let Some(sender) = self.waiters.remove(&waiter) {
                let _ = sender.send(answer);
            }
        }
    }
}

impl<'a> Place<'a> {
    fn new(app: &'a App, owner: PlaceOwner) -> Self {
        Self { app, owner, since: Instant::now(), is_measured: false }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let ran_for = self.is_measured.then(|| self.since.elapsed());
        let PlaceOwner { service, customer, class } = &self.owner;
        self.app.admission.update(self.app, service, |queue| {
            queue.queue.finish(customer, *class, ran_for);
        });
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let PlaceOwner { service, customer, class } = &self.owner;
        let (waiter, answer) = (self.waiter, &mut self.answer);
        self.app.admission.update(self.app, service, |queue| {
            queue.waiters.remove(&waiter);
            // It may have got a place that nobody has taken yet.
            if !queue.queue.cancel(waiter) && matches!(answer.try_recv(), Ok(Answer::Run)) {
                queue.queue.finish(customer, *class, None);
            }
        });
    }
}

/// Waits until the request may run, or can't finish by its deadline any more.
async fn wait(mut waiting: Waiting<'_>, deadline: Instant) -> Answer {
    let (app, class) = (waiting.app, waiting.owner.class);
    let service = waiting.owner.service.clone();
    let mut expires_at = Instant::now();
    loop {
        let latest = |queue: &mut ServiceQueue| queue.queue.latest_start(class, deadline);
        let latest = app.admission.update(app, &service, latest).unwrap_or(deadline);
        expires_at = latest.max(expires_at) + EXPIRY_SLACK;
        tokio::select! {
            answer = &mut waiting.answer => {
                waiting.is_answered = true;
                return answer.unwrap_or(Answer::Refused { retry_at: Instant::now() });
            }
            // The next update refuses it, unless work has become faster since.
            () = sleep_until(expires_at.into()) => expires_at = Instant::now(),
        }
    }
}

/// Returns whether the time of a request says how long one takes at the targets. One
/// that had no answer may have been at a target that hangs; if such requests counted,
/// those that wait for other targets would be refused as too late.
fn says_work_time(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Response(_) | CallOutcome::Failed(..))
}

/// Adds up to as much again, so that callers don't retry at the same moment.
fn with_jitter(delay: Duration) -> u32 {
    let delay = delay.max(MIN_RETRY_DELAY);
    u32::try_from(millis(delay + delay.mul_f64(rand::random()))).unwrap_or(u32::MAX)
}
