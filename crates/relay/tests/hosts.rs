//! The other hosts, and the order in which they are asked.

use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_relay::HostEntry;
use cassia_relay::HostTable;
use cassia_relay::RelayReply;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn entry(n: u8, data_centre: &str) -> HostEntry {
    HostEntry { addr: format!("10.0.0.{n}:99"), data_centre: data_centre.to_owned() }
}

fn table(now: Instant) -> HostTable {
    let mut hosts = HostTable::new("h0".into(), "z1".into());
    for n in 1..7 {
        let data_centre = if n < 4 { "z1" } else { "z2" };
        assert!(hosts.apply(&format!("h{n}").into(), Some(&entry(n, data_centre)), now));
    }
    hosts
}

fn order(hosts: &HostTable, limit: usize, seed: u64, now: Instant) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    hosts.candidates(limit, &mut rng, now).into_iter().map(|(id, _)| id.to_string()).collect()
}

/// Hosts that are asked in the same order all fall on one; and those of one data
/// centre are often cut off together.
#[test]
fn hosts_are_asked_in_random_order_and_other_data_centres_first() {
    let now = Instant::now();
    let hosts = table(now);
    let firsts: std::collections::BTreeSet<_> =
        (0..50).map(|seed| order(&hosts, 8, seed, now)[0].clone()).collect();
    assert_eq!(firsts.into_iter().collect::<Vec<_>>(), ["h4", "h5", "h6"]);
    let all = order(&hosts, 8, 1, now);
    assert_eq!(all.len(), 6, "each once");
    assert!(["h1", "h2", "h3"].contains(&all[1].as_str()), "then one nearby");
    assert_eq!(order(&hosts, 2, 1, now).len(), 2);
}

#[test]
fn the_host_that_helped_last_is_first_and_one_that_failed_is_last_for_a_while() {
    let now = Instant::now();
    let mut hosts = table(now);
    hosts.record_success(&"h2".into());
    assert_eq!(order(&hosts, 8, 3, now)[0], "h2");
    hosts.record_failure(&"h2".into(), now);
    assert_eq!(order(&hosts, 8, 3, now)[5], "h2");
    for id in ["h4", "h5", "h6"] {
        hosts.record_failure(&id.into(), now);
    }
    assert!(["h1", "h3"].contains(&order(&hosts, 8, 3, now)[0].as_str()));
    let later = now + Duration::from_secs(3);
    assert!(["h4", "h5", "h6"].contains(&order(&hosts, 8, 3, later)[0].as_str()));
}

#[test]
fn own_and_withdrawn_hosts_are_not_asked_and_only_known_ones_may_ask() {
    let now = Instant::now();
    let mut hosts = table(now);
    assert!(!hosts.apply(&"h0".into(), Some(&entry(50, "z1")), now), "this host");
    assert!(!hosts.apply(&"h1".into(), Some(&entry(1, "z1")), now), "not new");
    assert!(hosts.apply(&"h1".into(), Some(&entry(9, "z1")), now), "at a new address");
    assert!(!hosts.apply(&"h2".into(), None, now));
    let has = |n: u8| hosts.has_addr(IpAddr::from([10, 0, 0, n]));
    assert_eq!([1, 2, 3, 9, 50].map(has), [false, false, true, true, false]);
}

/// A host that is gone for good says nothing. In an outage of the store nobody can.
#[rstest]
#[case::silent_while_the_store_is_read(true, 0)]
#[case::after_an_outage(false, 6)]
fn hosts_that_say_nothing_for_long_are_removed(#[case] is_read: bool, #[case] left: usize) {
    let start = Instant::now();
    let mut hosts = table(start);
    hosts.record_read(start);
    for second in (5..90).step_by(5).filter(|_| is_read) {
        hosts.record_read(start + Duration::from_secs(second));
    }
    hosts.record_read(start + Duration::from_secs(90));
    assert_eq!(hosts.len(), left);
    assert_eq!(hosts.is_empty(), left == 0);
}

#[rstest]
#[case(RelayReply::Connected)]
#[case(RelayReply::Unreachable)]
#[case(RelayReply::UnknownHost)]
fn replies_are_decoded(#[case] reply: RelayReply) {
    assert_eq!(RelayReply::decode(reply.to_bytes()), Ok(reply));
}

#[rstest]
#[case::empty(&[], Some(RelayReply::Invalid))]
#[case::unknown_number(&[0x08, 0x63], Some(RelayReply::Invalid))]
#[case::no_message(&[0xff], None)]
fn other_bytes_are_no_connection(#[case] bytes: &[u8], #[case] expected: Option<RelayReply>) {
    assert_eq!(RelayReply::decode(bytes.to_vec().into()).ok(), expected);
}
