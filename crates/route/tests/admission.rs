//! Shares, classes, deadlines and the retry budget.

use std::time::Duration;
use std::time::Instant;

use cassia_contract::Class;
use cassia_route::Admission;
use cassia_route::AdmissionController;
use cassia_route::Request;
use cassia_route::RetryBudget;
use rstest::rstest;

const SERVICE: Duration = Duration::from_millis(50);

fn request(customer: &str, class: Class, deadline: Instant) -> Request {
    Request { customer: customer.into(), class, priority: 1, share_percent: 50, deadline }
}

struct Fixture {
    gate: AdmissionController,
    now: Instant,
}

impl Fixture {
    fn new(capacity: u32) -> Self {
        Self { gate: AdmissionController::new(capacity), now: Instant::now() }
    }

    fn enter(&mut self, customer: &str, class: Class, within: Duration) -> Admission {
        self.gate.admit(&request(customer, class, self.now + within), self.now)
    }

    fn wait(&mut self, customer: &str, class: Class, within_s: u64) -> u64 {
        match self.enter(customer, class, Duration::from_secs(within_s)) {
            Admission::Wait(waiter) => waiter,
            other => panic!("{other:?}"),
        }
    }

    fn fill(&mut self, customer: &str, count: u32) {
        for _ in 0..count {
            let entered = self.enter(customer, Class::Interactive, Duration::from_secs(9));
            assert_eq!(entered, Admission::Run);
        }
    }
}

#[test]
fn unused_share_is_lent_and_given_back_with_the_next_free_slot() {
    let mut f = Fixture::new(4);
    f.fill("a", 4);
    let a = f.wait("a", Class::Interactive, 9);
    let b = f.wait("b", Class::Interactive, 9);
    assert_eq!(f.gate.next_to_run(), None);
    f.gate.finish("a", SERVICE);
    // First in, first out would give the slot to a, which has twice its share.
    assert_eq!(f.gate.next_to_run(), Some(b));
    f.gate.finish("a", SERVICE);
    // b is within its share and those who wait are not: it needn't queue.
    f.fill("b", 1);
    f.gate.finish("a", SERVICE);
    // Both have two slots' share now; one runs for a, two for b.
    assert_eq!(f.gate.next_to_run(), Some(a));
}

#[test]
fn a_newcomer_does_not_overtake_those_who_wait() {
    let mut f = Fixture::new(1);
    f.fill("a", 1);
    let first = f.wait("a", Class::Interactive, 9);
    f.gate.finish("a", SERVICE);
    assert!(matches!(f.enter("a", Class::Interactive, Duration::from_secs(9)), Admission::Wait(_)));
    assert_eq!(f.gate.next_to_run(), Some(first));
}

#[test]
fn the_urgent_class_goes_first_then_the_nearer_deadline() {
    let mut f = Fixture::new(1);
    f.fill("a", 1);
    let tagging = f.wait("a", Class::Internal, 3);
    let late = f.wait("a", Class::Interactive, 9);
    let soon = f.wait("a", Class::Interactive, 4);
    let mut order = Vec::new();
    for _ in 0..3 {
        f.gate.finish("a", SERVICE);
        order.extend(f.gate.next_to_run());
    }
    assert_eq!(order, [soon, late, tagging]);
}

#[rstest]
#[case::in_time(Duration::from_secs(1), false)]
#[case::too_late(Duration::from_millis(80), true)]
fn what_cannot_make_its_deadline_is_refused_at_once(
    #[case] within: Duration,
    #[case] refused: bool,
) {
    let mut f = Fixture::new(1);
    f.fill("a", 1);
    let entered = f.enter("a", Class::Interactive, within);
    match entered {
        Admission::Refused { retry_at: return_at } => {
            assert!(refused);
            assert!(return_at > f.now, "it is told when to come back");
        }
        other => assert!(!refused, "{other:?}"),
    }
}

#[test]
fn queues_are_bounded_and_show() {
    let mut f = Fixture::new(1);
    f.fill("a", 1);
    let far = Duration::from_hours(10);
    let refused =
        (0..2_000).filter(|_| !matches!(f.enter("a", Class::Internal, far), Admission::Wait(_)));
    let refused = refused.count();
    assert_eq!(refused, 2_000 - 1_024);
    let state = f.gate.state(f.now + Duration::from_secs(3));
    assert_eq!(state.waiting_by_customer["a"], 1_024);
    assert_eq!(state.oldest_waiting_ms["a"], 3_000);
}

#[test]
fn one_that_gave_up_is_not_called() {
    let mut f = Fixture::new(1);
    f.fill("a", 1);
    let waiter = f.wait("a", Class::Interactive, 9);
    assert!(f.gate.cancel("a", waiter));
    assert!(!f.gate.cancel("a", waiter));
    f.gate.finish("a", SERVICE);
    assert_eq!(f.gate.next_to_run(), None);
}

#[test]
fn a_flood_of_one_customer_leaves_the_others_share() {
    // a keeps 50 waiting; b sends one request at a time. Service takes one
    // step, four at once. b must never wait longer than one step.
    let mut f = Fixture::new(4);
    f.fill("a", 4);
    for _ in 0..50 {
        f.wait("a", Class::Interactive, 3_600);
    }
    for _ in 0..20 {
        let b = f.wait("b", Class::Internal, 3_600);
        f.gate.finish("a", SERVICE);
        let called: Vec<_> = std::iter::from_fn(|| f.gate.next_to_run()).collect();
        assert_eq!(called, [b]);
        f.gate.finish("b", SERVICE);
        f.gate.next_to_run();
        f.wait("a", Class::Interactive, 3_600);
    }
}

/// Attempts a request, when a share of the targets fails every call.
fn amplification(failing_percent: u32, budgeted: bool) -> f64 {
    let mut budget = RetryBudget::default();
    let (mut attempts, requests) = (0_u32, 3_000_u32);
    let mut n = 0_u32;
    for _ in 0..requests {
        for attempt in 0..3 {
            if attempt > 0 && budgeted && !budget.try_retry() {
                break;
            }
            attempts += 1;
            n = n.wrapping_mul(1_103_515_245).wrapping_add(12_345);
            let failed = (n >> 16) % 100 < failing_percent;
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
fn retries_stay_within_a_tenth(#[case] failing_percent: u32) {
    assert!(amplification(failing_percent, true) <= 1.1);
    // Without the budget the same outage costs well more.
    assert!(amplification(failing_percent, false) > 1.3);
}
