//! Single decisions of the queue, and what holds after any of them.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cassia_admission::Admission;
use cassia_admission::Ask;
use cassia_admission::FairQueue;
use cassia_admission::MAX_WAITING;
use cassia_admission::RequestClass;
use cassia_admission::Turn;
use cassia_admission::WaiterId;
use proptest::prelude::*;

const CALLER: RequestClass = RequestClass::Caller;
const REWARD: RequestClass = RequestClass::Reward;
const WORK: Duration = Duration::from_millis(25);

fn ask(customer: &str, class: RequestClass, priority: u32, deadline: Instant) -> Ask {
    Ask { customer: customer.into(), class, priority, deadline }
}

fn wait(queue: &mut FairQueue, ask: &Ask, now: Instant) -> WaiterId {
    match queue.admit(ask, now) {
        Admission::Wait(waiter) => waiter,
        other => panic!("expected to wait: {other:?}"),
    }
}

/// Load: one customer with requests of both classes and several priorities and
/// deadlines. An urgent one must not wait behind others of the same customer.
#[test]
fn a_customers_requests_run_by_class_then_priority_then_deadline() {
    let now = Instant::now();
    let (soon, late) = (now + Duration::from_secs(2), now + Duration::from_secs(3));
    let mut queue = FairQueue::new(1);
    assert_eq!(queue.admit(&ask("a", CALLER, 1, late), now), Admission::Run);
    let reward = wait(&mut queue, &ask("a", REWARD, 0, soon), now);
    let later = wait(&mut queue, &ask("a", CALLER, 1, late), now);
    let sooner = wait(&mut queue, &ask("a", CALLER, 1, soon), now);
    let urgent = wait(&mut queue, &ask("a", CALLER, 0, late), now);
    for expected in [urgent, sooner, later, reward] {
        queue.finish("a", CALLER, Some(WORK));
        assert_eq!(queue.next_to_run(now), Some(Turn::Run(expected)));
        assert_eq!(queue.next_to_run(now), None);
    }
}

/// Load: as many requests of one customer as may wait. Another customer's request
/// takes the place of one of them; another one of its own doesn't.
#[test]
fn a_full_queue_has_room_for_a_customer_with_few_requests() {
    let now = Instant::now();
    let deadline = now + Duration::from_hours(1);
    let mut queue = FairQueue::new(1);
    for _ in 0..=MAX_WAITING {
        queue.admit(&ask("large", CALLER, 1, deadline), now);
    }
    let own = queue.admit(&ask("large", CALLER, 1, deadline), now);
    assert!(matches!(own, Admission::Refused { .. }), "{own:?}");
    let small = wait(&mut queue, &ask("small", CALLER, 1, deadline), now);
    assert!(matches!(queue.next_to_run(now), Some(Turn::Refuse { .. })));
    assert_eq!(queue.waiting(), MAX_WAITING);
    queue.finish("large", CALLER, Some(WORK));
    assert_eq!(queue.next_to_run(now), Some(Turn::Run(small)));
}

/// Load: the targets answer so slowly that the average exceeds the deadline. With a
/// free slot a request must run all the same, since nothing would be measured.
#[test]
fn a_request_runs_on_a_free_slot_after_slow_ones() {
    let now = Instant::now();
    let mut queue = FairQueue::new(1);
    let deadline = now + Duration::from_millis(800);
    for _ in 0..100 {
        assert_eq!(queue.admit(&ask("a", CALLER, 1, deadline), now), Admission::Run);
        queue.finish("a", CALLER, Some(Duration::from_secs(2)));
    }
    assert_eq!(queue.admit(&ask("a", CALLER, 1, deadline), now), Admission::Run);
    let second = queue.admit(&ask("a", CALLER, 1, deadline), now);
    assert!(matches!(second, Admission::Refused { retry_at } if retry_at > now), "{second:?}");
}

/// Load: a request waits behind one that doesn't end. It is refused when it could
/// not finish any more, before its deadline.
#[test]
fn a_waiting_request_is_refused_once_it_is_too_late() {
    let now = Instant::now();
    let mut queue = FairQueue::new(1);
    let latest = now + Duration::from_millis(775);
    let deadline = latest + WORK;
    queue.admit(&ask("a", CALLER, 1, deadline), now);
    let waiter = wait(&mut queue, &ask("b", CALLER, 1, deadline), now);
    assert_eq!(queue.latest_start(CALLER, deadline), latest);
    assert_eq!(queue.next_to_run(latest), None);
    let turn = queue.next_to_run(latest + Duration::from_millis(1));
    assert!(matches!(turn, Some(Turn::Refuse { waiter: w, .. }) if w == waiter), "{turn:?}");
    assert!(!queue.cancel(waiter));
}

/// One step of a random load.
#[derive(Clone, Copy, Debug)]
enum Step {
    Admit { customer: usize, is_reward: bool, priority: u32, limit_ms: u64 },
    Finish(usize),
    Cancel(usize),
    Capacity(u32),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..8_usize, any::<bool>(), 0..3_u32, 0..400_u64).prop_map(
            |(customer, is_reward, priority, limit_ms)| {
                Step::Admit { customer, is_reward, priority, limit_ms }
            }
        ),
        4 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0..6_u32).prop_map(Step::Capacity),
        2 => (0..60_u64).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 0..300)
}

/// The requests of a random load, as a user of the queue knows them.
#[derive(Debug)]
struct Driver {
    queue: FairQueue,
    capacity: u32,
    now: Instant,
    running: Vec<(String, RequestClass)>,
    waiting: Vec<(WaiterId, String, RequestClass)>,
}

impl Driver {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Admit { customer, is_reward, priority, limit_ms } => {
                let customer = format!("c{customer}");
                let class = if is_reward { REWARD } else { CALLER };
                let deadline = self.now + Duration::from_millis(limit_ms);
                match self.queue.admit(&ask(&customer, class, priority, deadline), self.now) {
                    Admission::Run => {
                        self.running.push((customer, class));
                        assert!(self.running.len() <= self.capacity as usize, "capacity");
                    }
                    Admission::Wait(waiter) => self.waiting.push((waiter, customer, class)),
                    Admission::Refused { retry_at } => assert!(retry_at > self.now),
                }
            }
            Step::Finish(n) if !self.running.is_empty() => {
                let (customer, class) = self.running.swap_remove(n % self.running.len());
                self.queue.finish(&customer, class, (n % 3 > 0).then_some(WORK));
            }
            Step::Cancel(n) if !self.waiting.is_empty() => {
                let (waiter, ..) = self.waiting.swap_remove(n % self.waiting.len());
                assert!(self.queue.cancel(waiter), "it waited");
            }
            Step::Capacity(capacity) => {
                self.capacity = capacity;
                self.queue.set_capacity(capacity);
            }
            Step::Pass(ms) => self.now += Duration::from_millis(ms),
            Step::Finish(_) | Step::Cancel(_) => {}
        }
        self.take_turns();
    }

    fn take_turns(&mut self) {
        while let Some(turn) = self.queue.next_to_run(self.now) {
            let (Turn::Run(waiter) | Turn::Refuse { waiter, .. }) = turn;
            let index = self.waiting.iter().position(|(id, ..)| *id == waiter);
            let (_, customer, class) = self.waiting.swap_remove(index.expect("it waits"));
            if matches!(turn, Turn::Run(_)) {
                self.running.push((customer, class));
                assert!(self.running.len() <= self.capacity as usize, "more than the capacity");
            }
        }
    }

    fn check(&self) {
        let state = self.queue.state();
        assert_eq!(state.running as usize, self.running.len());
        assert_eq!(state.waiting, self.waiting.len(), "none is lost");
        assert!(state.running >= state.capacity || state.waiting == 0, "work-conserving");
        let names = self.running.iter().map(|(c, _)| c.as_str());
        let names: BTreeSet<_> = names.chain(self.waiting.iter().map(|(_, c, _)| &**c)).collect();
        assert_eq!(state.customers.len(), names.len(), "others are forgotten");
    }
}

proptest! {
    /// Guards against lost requests, idle slots and too many running requests after
    /// any order of admissions, ends, cancellations and changes of the capacity.
    #[test]
    fn invariants_hold_after_any_steps(steps in steps()) {
        let mut driver = Driver {
            queue: FairQueue::new(3),
            capacity: 3,
            now: Instant::now(),
            running: Vec::new(),
            waiting: Vec::new(),
        };
        for step in steps {
            driver.apply(step);
            driver.check();
        }
    }
}
