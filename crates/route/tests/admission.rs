//! Admission by share, class and deadline, and the retry budget.

use std::time::Duration;
use std::time::Instant;

use cassia_contract::Class;
use cassia_route::Admission;
use cassia_route::AdmissionController;
use cassia_route::AdmissionRequest;
use cassia_route::RetryBudget;
use rstest::rstest;

const SERVICE_TIME: Duration = Duration::from_millis(50);

fn request(customer: &str, class: Class, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest { customer: customer.into(), class, priority: 1, share_percent: 50, deadline }
}

struct Fixture {
    controller: AdmissionController,
    now: Instant,
}

impl Fixture {
    fn new(capacity: u32) -> Self {
        Self { controller: AdmissionController::new(capacity), now: Instant::now() }
    }

    fn admit(&mut self, customer: &str, class: Class, timeout: Duration) -> Admission {
        self.controller.admit(&request(customer, class, self.now + timeout), self.now)
    }

    fn wait(&mut self, customer: &str, class: Class, timeout_s: u64) -> u64 {
        match self.admit(customer, class, Duration::from_secs(timeout_s)) {
            Admission::Wait(waiter) => waiter,
            other => panic!("{other:?}"),
        }
    }

    fn fill(&mut self, customer: &str, count: u32) {
        for _ in 0..count {
            let admission = self.admit(customer, Class::Interactive, Duration::from_secs(9));
            assert_eq!(admission, Admission::Run);
        }
    }
}

#[test]
fn an_unused_share_is_lent_and_returned_with_the_next_free_slot() {
    let mut f = Fixture::new(4);
    f.fill("a", 4);
    let a = f.wait("a", Class::Interactive, 9);
    let b = f.wait("b", Class::Interactive, 9);
    assert_eq!(f.controller.next_to_run(), None);
    f.controller.finish("a", SERVICE_TIME);
    // FIFO order would give the slot to a, which has twice its share.
    assert_eq!(f.controller.next_to_run(), Some(b));
    f.controller.finish("a", SERVICE_TIME);
    // b is within its share and the queued requests are not, so b isn't
    // queued.
    f.fill("b", 1);
    f.controller.finish("a", SERVICE_TIME);
    // The share of both is two slots; a has one request running, b has two.
    assert_eq!(f.controller.next_to_run(), Some(a));
}

#[test]
fn a_new_request_does_not_overtake_queued_ones() {
    let mut f = Fixture::new(1);
    f.fill("a", 1);
    let first = f.wait("a", Class::Interactive, 9);
    f.controller.finish("a", SERVICE_TIME);
    assert!(matches!(f.admit("a", Class::Interactive, Duration::from_secs(9)), Admission::Wait(_)));
    assert_eq!(f.controller.next_to_run(), Some(first));
}

#[test]
fn the_urgent_class_is_served_first_then_the_earlier_deadline() {
    let mut f = Fixture::new(1);
    f.fill("a", 1);
    let internal = f.wait("a", Class::Internal, 3);
    let late = f.wait("a", Class::Interactive, 9);
    let soon = f.wait("a", Class::Interactive, 4);
    let mut order = Vec::new();
    for _ in 0..3 {
        f.controller.finish("a", SERVICE_TIME);
        order.extend(f.controller.next_to_run());
    }
    assert_eq!(order, [soon, late, internal]);
}

#[rstest]
#[case::in_time(Duration::from_secs(1), false)]
#[case::too_late(Duration::from_millis(80), true)]
fn a_request_that_would_miss_its_deadline_is_refused_at_once(
    #[case] timeout: Duration,
    #[case] refused: bool,
) {
    let mut f = Fixture::new(1);
    f.fill("a", 1);
    let admission = f.admit("a", Class::Interactive, timeout);
    match admission {
        Admission::Refused { retry_at } => {
            assert!(refused);
            assert!(retry_at > f.now, "it gets a time to retry");
        }
        other => assert!(!refused, "{other:?}"),
    }
}

#[test]
fn queues_are_bounded_and_reported_in_the_state() {
    let mut f = Fixture::new(1);
    f.fill("a", 1);
    let long = Duration::from_hours(10);
    let refused =
        (0..2_000).filter(|_| !matches!(f.admit("a", Class::Internal, long), Admission::Wait(_)));
    let refused = refused.count();
    assert_eq!(refused, 2_000 - 1_024);
    let state = f.controller.state(f.now + Duration::from_secs(3));
    assert_eq!(state.waiting_by_customer["a"], 1_024);
    assert_eq!(state.oldest_waiting_ms["a"], 3_000);
}

#[test]
fn a_cancelled_request_is_not_run() {
    let mut f = Fixture::new(1);
    f.fill("a", 1);
    let waiter = f.wait("a", Class::Interactive, 9);
    assert!(f.controller.cancel("a", waiter));
    assert!(!f.controller.cancel("a", waiter));
    f.controller.finish("a", SERVICE_TIME);
    assert_eq!(f.controller.next_to_run(), None);
}

#[test]
fn a_flood_from_one_customer_leaves_others_their_share() {
    // a keeps 50 requests queued; b sends one request at a time. Four requests
    // run concurrently, for one step each. b must never wait longer than one
    // step.
    let mut f = Fixture::new(4);
    f.fill("a", 4);
    for _ in 0..50 {
        f.wait("a", Class::Interactive, 3_600);
    }
    for _ in 0..20 {
        let b = f.wait("b", Class::Internal, 3_600);
        f.controller.finish("a", SERVICE_TIME);
        let started: Vec<_> = std::iter::from_fn(|| f.controller.next_to_run()).collect();
        assert_eq!(started, [b]);
        f.controller.finish("b", SERVICE_TIME);
        f.controller.next_to_run();
        f.wait("a", Class::Interactive, 3_600);
    }
}

/// Returns the attempts per request if a share of the calls fails.
fn amplification(failing_percent: u32, budgeted: bool) -> f64 {
    let mut budget = RetryBudget::default();
    let (mut attempts, requests) = (0_u32, 3_000_u32);
    let mut random = 0_u32;
    for _ in 0..requests {
        for attempt in 0..3 {
            if attempt > 0 && budgeted && !budget.try_retry() {
                break;
            }
            attempts += 1;
            random = random.wrapping_mul(1_103_515_245).wrapping_add(12_345);
            let failed = (random >> 16) % 100 < failing_percent;
            if !failed {
                budget.record_success();
                break;
            }
        }
    }
    f64::from(attempts) / f64::from(requests)
}

#[rstest]
#[case::a_third_fails(33)]
#[case::all_fail(100)]
fn retries_are_at_most_a_tenth_of_the_requests(#[case] failing_percent: u32) {
    assert!(amplification(failing_percent, true) <= 1.1);
    // Without the budget, the same outage causes far more attempts.
    assert!(amplification(failing_percent, false) > 1.3);
}
