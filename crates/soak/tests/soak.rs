//! Short runs with fixed seeds, and tests of the checker.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cassia_soak::Checker;
use cassia_soak::RequestOutcome;
use cassia_soak::Soak;
use cassia_soak::plan_faults;
use cassia_standin::ReceivedOrder;
use rstest::rstest;

const MIN_HOLDER_GAP: Duration = Duration::from_secs(3);

/// Seeds that once violated a guarantee stay here, with their cause.
#[rstest]
#[case::first(1)]
// A process got the stop signal before it had installed its handler.
#[case::stop_at_start(249)]
// The final check sent a request to a process that had just been started.
#[case::request_at_start(302)]
#[case::request_at_start_2(329)]
#[case::request_at_start_3(345)]
#[tokio::test(flavor = "multi_thread")]
async fn no_guarantee_is_violated(#[case] seed: u64) -> anyhow::Result<()> {
    let length = Duration::from_secs(12);
    let report = Soak { seed, length, processes: 3 }.run().await?;
    assert!(report.violations.is_empty(), "{report}");
    for counter in ["answered", "jobs whole", "faults of processes"] {
        assert!(report.counts.contains_key(counter), "no {counter}: {report}");
    }
    Ok(())
}

#[test]
fn faults_are_determined_by_the_seed() {
    let plan = |seed| plan_faults(seed, Duration::from_mins(1), 4, 5);
    assert_eq!(plan(3), plan(3));
    assert_ne!(plan(3), plan(4));
    assert!(plan(3).len() > 30, "{}", plan(3).len());
}

fn violations(checker: &Checker) -> Vec<&'static str> {
    checker.findings().0.into_keys().collect()
}

fn outcome(id: &str, status: u16) -> RequestOutcome {
    RequestOutcome {
        id: id.to_owned(),
        process: "h0#0".to_owned(),
        sent: Instant::now(),
        status,
        at_most_once: true,
    }
}

#[test]
fn repeated_refused_and_unsubmitted_runs_are_violations() {
    let checker = Checker::default();
    for (id, status) in [("a", 200), ("b", 503), ("c", 502)] {
        checker.record_submitted(id);
        checker.record_request(&outcome(id, status));
    }
    let runs = |ids: &[(&str, usize)]| -> BTreeMap<String, usize> {
        ids.iter().map(|(id, count)| ((*id).to_owned(), *count)).collect()
    };
    checker.check_runs(&runs(&[("a", 1), ("c", 1)]));
    assert!(violations(&checker).is_empty());
    checker.check_runs(&runs(&[("a", 2)]));
    assert_eq!(violations(&checker), ["twice"]);
    checker.check_runs(&runs(&[("b", 1)]));
    assert_eq!(violations(&checker), ["refused", "twice"]);
    checker.check_runs(&runs(&[("d", 1)]));
    assert_eq!(violations(&checker), ["refused", "twice", "unasked"]);
}

#[test]
fn a_response_to_another_request_is_a_violation() {
    let checker = Checker::default();
    checker.check_response("a", b"done a", Some("stamp-a"));
    assert!(violations(&checker).is_empty());
    checker.check_response("a", b"done b", Some("stamp-a"));
    assert_eq!(violations(&checker), ["mixed"]);
}

#[test]
fn acting_on_an_older_configuration_is_a_violation() {
    let checker = Checker::default();
    for (version, with_extra) in [(1, true), (2, false), (3, true)] {
        checker.record_config(version, with_extra);
    }
    let check = |found| {
        let min_version = checker.min_config_version("h0#0");
        checker.check_extra_route("h0#0", min_version, found, Instant::now());
    };
    check(true);
    assert_eq!(checker.min_config_version("h0#0"), 1);
    check(false);
    check(true);
    assert_eq!(checker.min_config_version("h0#0"), 3);
    assert!(violations(&checker).is_empty());
    check(false);
    assert_eq!(violations(&checker), ["reverted"]);
}

#[rstest]
#[case::one_holder("h0", 10, false)]
#[case::far_apart("h1", 3_000, false)]
#[case::too_close("h1", 2_999, true)]
fn orders_of_two_holders_closer_than_the_minimum_are_a_violation(
    #[case] second: &str,
    #[case] gap_ms: u64,
    #[case] is_violation: bool,
) {
    let start = Instant::now();
    let order = |holder: &str, at| ReceivedOrder {
        holder: holder.to_owned(),
        fence: 1,
        version: 2,
        received: at,
        engine: "e0".to_owned(),
    };
    let checker = Checker::default();
    let later = start + Duration::from_millis(gap_ms);
    // Orders are collected by engine, not sorted by time.
    checker.check_orders(vec![order(second, later), order("h0", start)], MIN_HOLDER_GAP);
    assert_eq!(!violations(&checker).is_empty(), is_violation);
}
