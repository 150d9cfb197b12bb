//! Load patterns before the targets of one service: what each customer gets of
//! them. One target runs 6 requests at a time, 25 ms each; three serve 720
//! callers' requests a second.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures of a model"
)]

mod model;

use cassia_admission::RequestClass;
use rstest::rstest;

use crate::model::Arrival;
use crate::model::Change;
use crate::model::Scenario;
use crate::model::figures;
use crate::model::poisson;
use crate::model::run;

const CALLER: RequestClass = RequestClass::Caller;
const REWARD: RequestClass = RequestClass::Reward;
/// Callers' requests a second that three targets serve.
const CAPACITY_PER_S: f64 = 720.0;

/// Three targets before one host.
fn scenario(arrivals: Vec<Arrival>) -> Scenario {
    Scenario {
        hosts: 1,
        targets: 3,
        slots: 6,
        target_queue: 12,
        arrivals,
        changes: Vec::new(),
        retries: 0,
        seed: 7,
    }
}

/// Equal load of a number of customers, as a fraction of the capacity.
fn even_load(customers: usize, fraction: f64, until_s: f64) -> Vec<Arrival> {
    let per_second = CAPACITY_PER_S * fraction / customers as f64;
    (0..customers).flat_map(|c| poisson(3, c, CALLER, per_second, until_s)).collect()
}

/// Load: 19 customers at 80 % of their share, and one at ten times its share. It
/// must take nothing from the others.
#[test]
fn a_customer_at_ten_times_its_share_takes_nothing_from_the_others() {
    let share = CAPACITY_PER_S / 20.0;
    let mut arrivals: Vec<_> =
        (1..20).flat_map(|c| poisson(1, c, CALLER, share * 0.8, 20.0)).collect();
    arrivals.extend(poisson(1, 0, CALLER, share * 10.0, 20.0));
    let tallies = run(scenario(arrivals));
    let others = figures(&tallies, CALLER, |c| c != 0);
    let large = figures(&tallies, CALLER, |c| c == 0);
    println!("others {others:?}\nlarge {large:?}");
    assert!(others.worst_served >= 0.99, "{others:?}");
    assert!(others.worst_p99_ms <= 150.0, "{others:?}");
    // What the others leave: 1 - 19 x 0.04 = 0.24 of the capacity.
    assert!((0.40..=0.52).contains(&large.served), "unused capacity is used: {large:?}");
    assert!(large.late < 0.02, "{large:?}");
}

/// Load: all 75 customers at three times the capacity. All get the same.
#[test]
fn customers_with_equal_load_get_equal_parts_of_an_overload() {
    let tallies = run(scenario(even_load(75, 3.0, 10.0)));
    let all = figures(&tallies, CALLER, |_| true);
    println!("{all:?}");
    assert!(all.served > 0.30, "{all:?}");
    assert!(all.worst_tenth >= 0.8, "{all:?}");
    assert!(all.worst_served >= all.served / 4.0, "{all:?}");
    assert!(all.late < 0.02, "no slot goes to requests that are too late: {all:?}");
}

/// Load: 75 customers send 20 requests each at the same moment, 1,500 for the
/// slots of 576 by the deadline.
#[test]
fn a_burst_of_all_at_once_is_divided_evenly() {
    let arrival = |n: usize| Arrival { at_us: 0, customer: n / 20, class: CALLER };
    let tallies = run(scenario((0..1_500).map(arrival).collect()));
    let all = figures(&tallies, CALLER, |_| true);
    println!("{all:?}");
    assert!(all.served >= 0.30, "{all:?}");
    assert!(all.worst_tenth >= 0.8, "{all:?}");
    assert!(all.late < 0.02, "{all:?}");
}

/// Load: 75 customers at 90 % of three targets when one of them stops answering;
/// its requests hang until their deadline.
#[test]
fn a_lost_target_costs_all_customers_the_same() {
    let mut lost = scenario(even_load(75, 0.9, 10.0));
    lost.changes = vec![(5_000_000, Change::Lose(0))];
    let tallies = run(lost);
    let all = figures(&tallies, CALLER, |_| true);
    println!("{all:?}");
    // 0.9 of the requests are served before, 0.67 / 0.9 = 0.74 afterwards.
    assert!(all.served >= 0.83, "{all:?}");
    assert!(all.worst_tenth >= 0.8, "{all:?}");
}

/// Load: 75 customers at 80 % of three data centres with three targets each when
/// two of these are lost; all load goes to the third.
#[test]
fn the_last_data_centre_serves_all_customers_alike() {
    let mut lost = scenario(even_load(75, 2.4, 10.0));
    lost.targets = 9;
    lost.changes = (3..9).map(|target| (5_000_000, Change::Lose(target))).collect();
    let tallies = run(lost);
    let all = figures(&tallies, CALLER, |_| true);
    println!("{all:?}");
    assert!(all.served >= 0.67, "{all:?}");
    assert!(all.worst_tenth >= 0.8, "{all:?}");
    assert!(all.worst_served >= all.served / 4.0, "{all:?}");
}

/// Load: 75 customers come back at the same moment with 100 requests each, more than
/// ten seconds of work, and retry when they are told to.
#[test]
fn callers_that_retry_together_are_all_served() {
    let arrival = |n: usize| Arrival { at_us: 0, customer: n / 100, class: CALLER };
    let mut returning = scenario((0..7_500).map(arrival).collect());
    returning.retries = 40;
    let tallies = run(returning);
    let all = figures(&tallies, CALLER, |_| true);
    let last_s = tallies.values().map(|t| t.last_served_us as f64 / 1e6).fold(0.0, f64::max);
    println!("{all:?}, the last one after {last_s} s");
    assert!(all.served >= 0.99, "{all:?}");
    assert!(last_s <= 7_500.0 / CAPACITY_PER_S * 1.5, "slots stayed idle: {last_s} s");
}

/// Load: 75 customers, one of them at ten times the others' rate, in all at 70 %,
/// 120 % and 300 % of three targets, through 100 hosts with places for one request
/// at least, 100 for 18 slots.
#[rstest]
#[case(0.7, 0.99)]
#[case(1.2, 0.70)]
#[case(3.0, 0.25)]
fn a_hundred_hosts_share_three_targets(#[case] fraction: f64, #[case] served: f64) {
    let per_second = CAPACITY_PER_S * fraction / 84.0;
    let rate = |c: usize| if c == 0 { per_second * 10.0 } else { per_second };
    let arrivals = (0..75).flat_map(|c| poisson(5, c, CALLER, rate(c), 30.0)).collect();
    let mut many = scenario(arrivals);
    many.hosts = 100;
    let tallies = run(many);
    let all = figures(&tallies, CALLER, |_| true);
    println!("{all:?}");
    assert!(all.served >= served, "{all:?}");
    assert!(all.worst_tenth >= 0.8, "{all:?}");
    assert!(all.worst_served >= all.served / 4.0, "{all:?}");
}

/// Load: callers of 10 customers at twice the capacity, and 60 reward calls a second
/// of each of two of them. Reward calls get a part, and take little from callers.
#[test]
fn reward_calls_get_one_slot_in_eight_beside_callers() {
    let mut arrivals = even_load(10, 2.0, 20.0);
    arrivals.extend((0..2).flat_map(|c| poisson(9, c, REWARD, 60.0, 20.0)));
    let tallies = run(scenario(arrivals));
    let callers = figures(&tallies, CALLER, |_| true);
    let rewards = figures(&tallies, REWARD, |_| true);
    println!("callers {callers:?}\nrewards {rewards:?}");
    // 1/8 of 710 slots a second is 89 reward calls a second of 120.
    assert!(rewards.served >= 0.6, "{rewards:?}");
    assert!(callers.served >= 0.5 * 7.0 / 8.0 * 0.93, "{callers:?}");
    assert!(callers.worst_tenth >= 0.8, "{callers:?}");
}

/// Load: 75 customers at 50 % of the targets, which then become five times slower.
/// Requests that can't finish in time must not use slots, and the queue recovers.
#[test]
fn slow_targets_run_no_requests_that_are_too_late() {
    let mut slow = scenario(even_load(75, 0.5, 15.0));
    slow.changes = vec![(5_000_000, Change::Slow(5.0)), (10_000_000, Change::Slow(1.0))];
    let tallies = run(slow);
    let all = figures(&tallies, CALLER, |_| true);
    println!("{all:?}");
    // 5 s of the 15 s serve 0.2 / 0.5 = 0.4.
    assert!(all.served >= 0.75, "{all:?}");
    assert!(all.late < 0.02, "{all:?}");
    assert!(all.worst_tenth >= 0.8, "{all:?}");
}
