//! The number of engines under loads that rise, fall and oscillate, and when
//! engines are reclaimed, slow or not to be had.

mod sim;

use std::time::Duration;
use std::time::Instant;

use cassia_clients::CapacityAnswer;
use cassia_scaling::Autoscaler;
use cassia_scaling::EngineState;
use cassia_scaling::Observation;
use cassia_scaling::ScalingPolicy;
use proptest::prelude::*;
use rstest::rstest;

use crate::sim::BOOT_MS;
use crate::sim::SLOTS;
use crate::sim::Sim;
use crate::sim::Trainer;
use crate::sim::limits;
use crate::sim::pool;

fn trainers(offset_ms: u64) -> Vec<Trainer> {
    let models = ["m0", "m1", "m2", "m3", "m4", "m5"];
    let trainer = |(n, model): (u64, &'static str)| Trainer {
        model,
        start_ms: 2_000 + n * offset_ms,
        period_ms: 18_000,
        items: 8,
        work_ms: 9_000,
    };
    (0..).zip(models).map(trainer).collect()
}

/// Load: callers at one step's notice from 2 to 40. Guards against growth in small
/// parts, each of which would take a boot time.
#[test]
fn a_step_of_demand_is_covered_after_one_boot_time() {
    let mut sim = Sim::new(limits(1, 12), 2);
    sim.callers = 2;
    sim.run(30_000);
    sim.callers = 40;
    sim.run(BOOT_MS + 3_000);
    assert!(sim.serving_slots() >= 40.0 / 0.9, "{}", sim.serving_slots());
    sim.run(60_000);
    assert!(sim.slots_after_reclaim() >= 44, "{:?}", sim.calls);
    assert_eq!(sim.check_order_rate(), Ok(()));
}

/// Load: callers rise and fall slowly, as over a day. Guards against engines that
/// stay after the wave, and against slots below the demand during it.
#[test]
fn a_wave_is_followed_up_and_down() {
    let mut sim = Sim::new(limits(1, 12), 2);
    let mut most = 0;
    for second in 0..900u32 {
        let part = f64::from(second) / 900.0;
        let callers = 4.0 + 36.0 * (part * std::f64::consts::PI).sin();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "below 41")]
        let callers = callers as u32;
        sim.callers = callers;
        sim.run(1_000);
        assert!(second < 60 || sim.serving_slots() >= f64::from(callers), "at {second} s");
        most = most.max(sim.count(false) + sim.count(true));
    }
    sim.callers = 4;
    sim.run(240_000);
    let least = sim.count(false) + sim.count(true);
    assert!(least <= 6 && least < most, "{least} of {most}: {:?}", sim.calls);
    assert_eq!(sim.check_order_rate(), Ok(()));
}

/// Load: six trainers whose jobs come at the same time, or evenly over the period.
/// Guards against removing engines between two steps, and against a step that
/// waits for engines to start.
#[rstest]
#[case::in_phase(0, 48)]
#[case::out_of_phase(3_000, 24)]
fn steps_of_six_trainers_run_at_once(#[case] offset_ms: u64, #[case] at_once: u32) {
    let mut sim = Sim::new(limits(1, 16), 3);
    sim.trainers = trainers(offset_ms);
    sim.run(90_000);
    let changed = sim.calls.len();
    for _ in 0..240 {
        sim.run(1_000);
        assert!(sim.serving_slots() >= f64::from(at_once), "{}", sim.serving_slots());
    }
    assert!(sim.reductions().len() <= 6, "{:?}", sim.reductions());
    assert!(sim.calls.len() - changed <= 6, "steady load: {:?}", &sim.calls[changed..]);
    assert_eq!(sim.check_order_rate(), Ok(()));
}

/// Load: six trainers that compute for 40 s between their jobs. Guards against
/// engines that are removed after each step and ordered again for the next one.
#[test]
fn engines_are_kept_between_steps_that_are_far_apart() {
    let mut sim = Sim::new(limits(1, 16), 3);
    sim.trainers = trainers(0);
    for trainer in &mut sim.trainers {
        trainer.period_ms = 50_000;
    }
    sim.run(240_000);
    let changed = sim.calls.len();
    for _ in 0..300 {
        sim.run(1_000);
        assert!(sim.serving_slots() >= 48.0, "{:?}", &sim.calls[changed..]);
    }
    assert!(sim.calls.len() - changed <= 2, "{:?}", &sim.calls[changed..]);
}

/// Load: six trainers start within a few seconds. Guards against a growth that is
/// computed anew after each of its own orders, which would add far too many engines.
#[test]
fn a_rise_orders_no_more_than_it_needs() {
    let mut sim = Sim::new(limits(1, 16), 3);
    sim.trainers = trainers(500);
    sim.run(30_000);
    // 48 slots at a utilisation of 0.5 are 24 engines, and one data centre may lose half
    // as many more.
    let (on_demand, spot) = (sim.count(false), sim.count(true));
    assert!(on_demand + spot <= 36, "{on_demand} {spot}: {:?}", sim.calls);
    assert!(sim.serving_slots() >= 48.0);
}

/// Load: steady trainers for ten minutes. Guards against paying for on-demand
/// engines where spot engines carry half of the need for a fifth of the price.
#[test]
fn a_steady_load_is_moved_to_a_cheaper_mix() {
    let mut sim = Sim::new(limits(1, 16), 8);
    sim.trainers = trainers(0);
    sim.run(600_000);
    assert!(sim.count(true) >= 6, "{:?}", sim.calls);
    // Half of the 24 engines that are needed, and two more.
    assert!(sim.count(false) <= 14, "{:?}", sim.calls);
    assert!(sim.slots_after_reclaim() >= 48);
}

/// Failure: all spot engines of a data centre are reclaimed under steady load.
/// Guards against a gap until they are ordered again, and against ordering them
/// only where they were just reclaimed.
#[rstest]
fn reclaimed_engines_are_replaced_elsewhere(#[values("z1", "z2", "z3")] data_centre: &str) {
    let mut sim = Sim::new(limits(1, 16), 3);
    sim.trainers = trainers(0);
    sim.run(120_000);
    let before = sim.committed(&pool(data_centre, true));
    sim.reclaim(data_centre);
    assert!(sim.slots_after_reclaim() >= 24, "another data centre may go at the same time");
    let calls = sim.calls.len();
    sim.run(2_000);
    let replaced = &sim.calls[calls..];
    if before > 0 {
        assert!(!replaced.is_empty(), "{:?}", sim.calls);
        let same =
            |order: &cassia_clients::CapacityOrder| order.spot && order.data_centre == data_centre;
        assert!(!replaced.iter().any(|(_, order, _)| same(order)), "{replaced:?}");
    }
    sim.run(BOOT_MS);
    assert!(sim.serving_slots() >= 48.0);
    assert_eq!(sim.check_order_rate(), Ok(()));
}

/// Failure: no engines are to be had anywhere while the demand rises. Guards
/// against calls without a delay between them, and against giving up.
#[test]
fn refused_orders_are_repeated_with_backoff() {
    let mut sim = Sim::new(limits(1, 12), 2);
    sim.callers = 40;
    for data_centre in ["z1", "z2", "z3"] {
        sim.unavailable.extend([pool(data_centre, false), pool(data_centre, true)]);
    }
    sim.run(120_000);
    for spot in [false, true] {
        for data_centre in ["z1", "z2", "z3"] {
            let of_pool =
                sim.calls.iter().filter(|(_, o, _)| o.spot == spot && o.data_centre == data_centre);
            let count = of_pool.count();
            assert!((5..=12).contains(&count), "{data_centre} {spot}: {count}");
        }
    }
    sim.unavailable.clear();
    sim.run(16_000 + BOOT_MS + 3_000);
    assert!(sim.serving_slots() >= 40.0 / 0.9, "{}", sim.serving_slots());
}

/// Failure: only spot engines are refused, or only those of one data centre.
/// Guards against waiting for a pool while another one could cover the need.
#[rstest]
#[case::no_spot(&[("z1", true), ("z2", true), ("z3", true)])]
#[case::no_on_demand(&[("z1", false), ("z2", false), ("z3", false)])]
#[case::one_data_centre(&[("z1", false), ("z1", true)])]
fn a_refusal_leads_to_another_pool_at_once(#[case] refused: &[(&str, bool)]) {
    let mut sim = Sim::new(limits(1, 12), 2);
    sim.unavailable.extend(refused.iter().map(|(name, spot)| pool(name, *spot)));
    sim.callers = 40;
    sim.run(BOOT_MS + 4_000);
    assert!(sim.serving_slots() >= 40.0, "{} {:?}", sim.serving_slots(), sim.calls);
}

/// Failure: half of the engines run at a quarter of their speed. Guards against
/// counting their slots as if the work there were done in time.
#[test]
fn slow_engines_count_less() {
    let mut sim = Sim::new(limits(1, 16), 3);
    sim.callers = 24;
    sim.run(60_000);
    sim.slow_every_other(0.25);
    sim.run(BOOT_MS + 4_000);
    assert!(sim.serving_slots() >= 24.0 / 0.9, "{}", sim.serving_slots());
}

/// Failure: the holder is replaced between two steps. Guards against a new holder
/// that knows no period and removes the engines of the next step.
#[test]
fn a_new_holder_removes_no_engines_at_first() {
    let mut sim = Sim::new(limits(1, 16), 3);
    sim.trainers = trainers(0);
    for trainer in &mut sim.trainers {
        trainer.period_ms = 45_000;
    }
    sim.run(150_000);
    let before = (sim.count(false), sim.count(true));
    sim.replace_holder();
    let calls = sim.calls.len();
    sim.run(80_000);
    assert_eq!((sim.count(false), sim.count(true)), before, "{:?}", &sim.calls[calls..]);
}

/// Load: a trainer with steps of 2 s beside many engines. Guards against a holder that
/// removes on-demand engines before it has known the load for 20 s.
#[test]
fn on_demand_engines_are_kept_for_the_first_seconds() {
    let mut sim = Sim::new(limits(1, 16), 6);
    let (period_ms, work_ms) = (2_000, 1_000);
    sim.trainers = vec![Trainer { model: "m0", start_ms: 0, period_ms, items: 4, work_ms }];
    sim.run(20_000);
    assert_eq!(sim.calls, Vec::new());
    sim.run(60_000);
    assert!(sim.count(false) < 18, "they are removed later");
}

/// Configuration: the minimum equals the maximum, by which an operator holds the
/// number of engines. Guards against any order, whatever the load is.
#[test]
fn equal_limits_hold_the_number_of_engines() {
    let mut sim = Sim::new(limits(3, 3), 3);
    sim.trainers = trainers(0);
    sim.callers = 30;
    sim.run(120_000);
    sim.callers = 0;
    sim.trainers.clear();
    sim.run(240_000);
    assert_eq!(sim.calls, Vec::new());
}

/// Configuration: a data centre has fewer engines than the minimum.
#[test]
fn the_minimum_is_kept_without_load() {
    let mut sim = Sim::new(limits(2, 6), 1);
    sim.run(300_000);
    for data_centre in ["z1", "z2", "z3"] {
        let count = [false, true].map(|spot| sim.committed(&pool(data_centre, spot)));
        assert_eq!(count.iter().sum::<u32>(), 2, "{data_centre}");
    }
}

/// Failure: the answer to an order is lost while the demand changes. Guards against
/// another order before the first one is answered.
#[test]
fn an_order_without_an_answer_is_repeated() {
    let mut scaler = autoscaler();
    let now = Instant::now();
    scaler.observe(&observation(3, 0, 40), now);
    let order = scaler.next_order(now);
    assert!(order.is_some());
    for second in 1..20 {
        let now = now + Duration::from_secs(second);
        scaler.observe(&observation(3, 0, if second % 2 == 0 { 0 } else { 80 }), now);
        assert_eq!(scaler.next_order(now), order);
    }
    let order = order.expect("an order");
    scaler.record_answer(&order, CapacityAnswer::Accepted, now);
    assert_ne!(scaler.next_order(now), Some(order));
}

/// Failure: on-demand engines restart one after another with another version of their
/// software, and the others don't cover the demand. Guards against an order to grow
/// that is below the number that the platform runs, which would remove engines.
#[rstest]
#[case::from_the_start(false)]
#[case::later(true)]
fn restarting_engines_are_not_ordered_away(#[case] known_before: bool) {
    let mut scaler = autoscaler();
    let now = Instant::now();
    if known_before {
        scaler.observe(&observation(6, 0, 16), now);
    }
    for second in 1..20 {
        let now = now + Duration::from_secs(second);
        scaler.observe(&observation(4, 2, 15), now);
        let Some(order) = scaler.next_order(now) else { continue };
        assert!(order.spot || order.data_centre != "z1" || order.count >= 6, "{order:?}");
        scaler.record_answer(&order, CapacityAnswer::Accepted, now);
    }
}

fn autoscaler() -> Autoscaler {
    Autoscaler::new(ScalingPolicy { service: "llm".into(), limits: limits(0, 12) })
}

/// On-demand engines of one data centre that serve and that shut down.
fn observation(serving: u32, leaving: u32, callers: u32) -> Observation {
    let engine = |leaving| EngineState {
        data_centre: "z1".into(),
        spot: false,
        leaving,
        slots: SLOTS,
        load: 0,
        speed: 1.0,
    };
    let engines = (0..serving).map(|_| engine(false)).chain((0..leaving).map(|_| engine(true)));
    Observation { engines: engines.collect(), callers, ..Observation::default() }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Load: callers that switch between two levels with any period from 1 to 60 s,
    /// beside trainers. Guards against orders that follow each swing. The limits
    /// are checked in each step of the simulation.
    #[test]
    fn oscillations_cause_few_orders(
        period_ms in 1_000u64..=60_000,
        duty in 0.1f64..0.9,
        low in 0u32..20,
        high in 20u32..120,
        max_count in 4u32..16,
        with_trainers: bool,
    ) {
        let mut sim = Sim::new(limits(1, max_count), 2);
        if with_trainers {
            sim.trainers = trainers(1_300);
        }
        for _ in 0..1_200 {
            let part = f64::from(u32::try_from(sim.now_ms % period_ms).unwrap())
                / f64::from(u32::try_from(period_ms).unwrap());
            sim.callers = if part < duty { high } else { low };
            sim.step();
        }
        prop_assert_eq!(sim.check_order_rate(), Ok(()));
    }

    /// Failure: pools become unavailable and are reclaimed at random under a load
    /// that changes at random. The limits are checked in each step.
    #[test]
    fn limits_are_kept_under_random_failures(
        events in prop::collection::vec((0u32..80, 0usize..6, any::<bool>(), 1u64..20), 1..40),
        min_count in 0u32..4,
        max_count in 4u32..12,
    ) {
        let mut sim = Sim::new(limits(min_count, max_count), min_count.max(1));
        for (callers, which, reclaim, seconds) in events {
            sim.callers = callers;
            let data_centre = ["z1", "z2", "z3"][which / 2];
            if reclaim {
                sim.reclaim(data_centre);
            } else {
                let changed = pool(data_centre, which % 2 == 0);
                if !sim.unavailable.remove(&changed) {
                    sim.unavailable.insert(changed);
                }
            }
            sim.run(seconds * 1_000);
        }
        prop_assert_eq!(sim.check_order_rate(), Ok(()));
        // What remains in use is at least what the callers need, if it was to be had.
        prop_assert!(sim.count(false) + sim.count(true) <= 3 * max_count);
    }
}

/// The simulation's engines have as many slots as the autoscaler derives.
#[test]
fn the_supply_is_that_of_the_engines() {
    let mut sim = Sim::new(limits(1, 12), 2);
    sim.step();
    assert_eq!(sim.scaler.state().supply, 6 * SLOTS);
}
