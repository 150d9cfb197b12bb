//! Load patterns at targets that state a rate limit: few callers beside bursts of
//! reward calls, hosts that come and go, and rates that are small for the number
//! of hosts.

use cassia_limits::HostDemand;
use cassia_limits::RateShare;
use cassia_limits::rate_share;
use proptest::prelude::*;
use rstest::rstest;

/// Time over which a target counts the requests that it gets, in seconds.
const WINDOW_S: f64 = 4.0;

fn demands(wanted: &[f64]) -> Vec<HostDemand> {
    let demand =
        |(n, wanted): (usize, &f64)| HostDemand { host: format!("h{n}").into(), wanted: *wanted };
    wanted.iter().enumerate().map(demand).collect()
}

fn shares(limit: f64, demands: &[HostDemand]) -> Vec<f64> {
    demands.iter().map(|d| rate_share("t", limit, demands, &d.host).per_second).collect()
}

/// Pattern: reward calls come in bursts at two hosts, callers' requests now and
/// then at all the others.
#[test]
fn hosts_that_want_little_are_not_displaced_by_those_that_want_much() {
    let mut wanted = vec![0.5; 8];
    wanted.extend([64.0, 64.0]);
    let shares = shares(10.0, &demands(&wanted));
    assert!(shares[..8].iter().all(|share| (share - 0.5).abs() < 1e-9), "{shares:?}");
    assert!((shares[8] - shares[9]).abs() < 1e-9, "{shares:?}");
    assert!(shares[8] > 2.0, "the others get what is left: {shares:?}");
}

/// Pattern: one host has all the traffic.
#[test]
fn a_single_host_uses_nearly_the_whole_rate() {
    let share = rate_share("t", 10.0, &demands(&[64.0]), "h0");
    assert!((9.0..=10.0).contains(&share.per_second), "{share:?}");
    assert!(share.burst > 15.0, "the items of a job begin together: {share:?}");
}

/// Pattern: hundreds of hosts were told a small rate.
#[rstest]
#[case(4.0, 360)]
#[case(0.5, 360)]
#[case(20.0, 360)]
fn a_small_rate_is_shared_by_some_of_many_hosts(#[case] limit: f64, #[case] hosts: usize) {
    let shares = shares(limit, &demands(&vec![1.0; hosts]));
    let served = shares.iter().filter(|share| **share > 0.0).count();
    assert!(served >= 1, "somebody uses it");
    let total: f64 = shares.iter().sum();
    assert!(total >= limit * 0.45, "{total} of {limit} is used");
}

/// Pattern: a target in need states that it takes nothing, and a host that has
/// no claim asks.
#[test]
fn no_host_has_a_share_of_no_rate() {
    assert_eq!(shares(0.0, &demands(&[1.0, 64.0])), [0.0, 0.0]);
    let other = rate_share("t", 10.0, &demands(&[1.0]), "other");
    assert_eq!(other, RateShare::default(), "it has no claim");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Invariant: whatever the hosts want, the target tolerates what they send
    /// together, also if each of them has a request ready at the same moment.
    #[test]
    fn the_shares_never_exceed_what_the_target_tolerates(
        limit in 0.0_f64..200.0,
        wanted in prop::collection::vec(0.0_f64..200.0, 1..400),
    ) {
        let demands = demands(&wanted);
        let shares = shares(limit, &demands);
        let total: f64 = shares.iter().sum();
        prop_assert!(total <= limit + 1e-6, "{total} of {limit}");
        let bursts = demands.iter().map(|d| rate_share("t", limit, &demands, &d.host).burst);
        let at_once: f64 = bursts.sum();
        let most = total * WINDOW_S + at_once;
        prop_assert!(most <= 1.5 * WINDOW_S * limit + 5.0, "{most} in a window");
        for (share, wanted) in shares.iter().zip(&wanted) {
            prop_assert!(*share <= wanted + 1e-6);
        }
    }
}
