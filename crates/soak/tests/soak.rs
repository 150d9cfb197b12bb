//! A short run of each of some seeds, and what the witness takes for broken.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cassia_soak::Seen;
use cassia_soak::Soak;
use cassia_soak::Witness;
use cassia_soak::plan;
use cassia_standin::ReceivedOrder;
use rstest::rstest;

const LEASE: Duration = Duration::from_secs(3);

/// Seeds that ever broke a promise stay here, with their cause.
#[rstest]
#[case::first(1)]
// A process was told to stop before it had registered for the order.
#[case::stop_at_the_start(249)]
// A request went to a process that had just been started, as the last check.
#[case::request_at_the_start(302)]
#[case::request_at_the_start_too(329)]
#[case::request_at_the_start_again(345)]
#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken(#[case] seed: u64) -> anyhow::Result<()> {
    let length = Duration::from_secs(12);
    let report = Soak { seed, length, processes: 3 }.run().await?;
    assert!(report.broken.is_empty(), "{report}");
    for least in ["answered", "jobs whole", "faults of processes"] {
        assert!(report.counts.contains_key(least), "nothing was tried: {report}");
    }
    Ok(())
}

#[test]
fn a_seed_gives_the_same_faults_and_another_one_others() {
    let drawn = |seed| plan(seed, Duration::from_mins(1), 4, 5);
    assert_eq!(drawn(3), drawn(3));
    assert_ne!(drawn(3), drawn(4));
    assert!(drawn(3).len() > 30, "{}", drawn(3).len());
}

fn broken(witness: &Witness) -> Vec<&'static str> {
    witness.findings().0.into_keys().collect()
}

fn seen(id: &str, status: u16) -> Seen {
    let process = "h0#0".to_owned();
    Seen { id: id.to_owned(), process, sent: Instant::now(), status, once: true }
}

#[test]
fn what_ran_twice_or_after_a_refusal_or_unasked_breaks_a_promise() {
    let witness = Witness::default();
    for (id, status) in [("a", 200), ("b", 503), ("c", 502)] {
        witness.asks(id);
        witness.request(&seen(id, status));
    }
    let runs = |ids: &[(&str, usize)]| -> BTreeMap<String, usize> {
        ids.iter().map(|(id, count)| ((*id).to_owned(), *count)).collect()
    };
    witness.ran(&runs(&[("a", 1), ("c", 1)]));
    assert!(broken(&witness).is_empty());
    witness.ran(&runs(&[("a", 2)]));
    assert_eq!(broken(&witness), ["twice"]);
    witness.ran(&runs(&[("b", 1)]));
    assert_eq!(broken(&witness), ["refused", "twice"]);
    witness.ran(&runs(&[("d", 1)]));
    assert_eq!(broken(&witness), ["refused", "twice", "unasked"]);
}

#[test]
fn an_answer_of_another_request_is_mixed() {
    let witness = Witness::default();
    witness.whole("a", b"done a", Some("stamp-a"));
    assert!(broken(&witness).is_empty());
    witness.whole("a", b"done b", Some("stamp-a"));
    assert_eq!(broken(&witness), ["mixed"]);
}

#[test]
fn a_process_that_acts_on_an_older_configuration_reverts() {
    let witness = Witness::default();
    for (version, with_extra) in [(1, true), (2, false), (3, true)] {
        witness.configured(version, with_extra);
    }
    let finds = |found| {
        let least = witness.in_force("h0#0");
        witness.found_extra("h0#0", least, found, Instant::now());
    };
    finds(true);
    assert_eq!(witness.in_force("h0#0"), 1);
    finds(false);
    finds(true);
    assert_eq!(witness.in_force("h0#0"), 3);
    assert!(broken(&witness).is_empty());
    finds(false);
    assert_eq!(broken(&witness), ["reverted"]);
}

#[rstest]
#[case::one_holder("h0", 10, false)]
#[case::far_apart("h1", 3_000, false)]
#[case::too_near("h1", 2_999, true)]
fn holders_take_turns_no_sooner_than_allowed(
    #[case] second: &str,
    #[case] apart_ms: u64,
    #[case] breaks: bool,
) {
    let begun = Instant::now();
    let order = |holder: &str, at| ReceivedOrder {
        holder: holder.to_owned(),
        fence: 1,
        version: 2,
        received: at,
        engine: "e0".to_owned(),
    };
    let witness = Witness::default();
    let later = begun + Duration::from_millis(apart_ms);
    // In the order in which engines are asked, not in that of their times.
    witness.orders(vec![order(second, later), order("h0", begun)], LEASE);
    assert_eq!(!broken(&witness).is_empty(), breaks);
}
