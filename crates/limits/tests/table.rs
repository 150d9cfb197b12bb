//! Claims of several hosts: late, expired, contradicting, and the end of a
//! limit.

use std::time::Duration;
use std::time::Instant;

use cassia_limits::ClaimTable;
use cassia_limits::RateClaim;
use cassia_limits::TargetShare;

fn claim(limit: Option<f64>, age_ms: u64) -> Vec<RateClaim> {
    vec![RateClaim { target: "t".into(), limit, wanted: 8.0, age_ms }]
}

fn share(table: &ClaimTable, now: Instant) -> f64 {
    match table.share("t", now) {
        TargetShare::Limited(share) => share.per_second,
        TargetShare::Unlimited => panic!("the target is limited"),
    }
}

/// A host that the others don't know of must not send: they leave no part of the
/// rate to it.
#[test]
fn a_host_has_no_share_until_its_own_claim_can_be_read() {
    let now = Instant::now();
    let mut table = ClaimTable::new("h1".into());
    assert!(share(&table, now).abs() < 1e-9);
    table.apply("h2", claim(Some(8.0), 0), now);
    assert!(share(&table, now).abs() < 1e-9);
    table.apply("h1", claim(Some(8.0), 0), now);
    assert!((3.0..=4.0).contains(&share(&table, now)));
}

#[test]
fn all_hosts_compute_shares_that_add_up_to_the_rate() {
    let now = Instant::now();
    let hosts = ["h1", "h2", "h3"];
    let total: f64 = hosts
        .iter()
        .map(|own| {
            let mut table = ClaimTable::new((*own).into());
            for host in hosts {
                table.apply(host, claim(Some(8.0), 0), now);
            }
            share(&table, now)
        })
        .sum();
    assert!((7.0..=8.0).contains(&total), "{total}");
}

#[test]
fn a_host_that_does_not_renew_its_claims_leaves_its_share_to_the_others() {
    let now = Instant::now();
    let later = now + Duration::from_secs(9);
    let mut table = ClaimTable::new("h1".into());
    table.apply("h1", claim(Some(8.0), 0), now);
    table.apply("h2", claim(Some(8.0), 0), now);
    table.apply("h1", claim(Some(8.0), 0), later);
    assert!(share(&table, later) < 4.5, "it expires after a read only");
    table.remove_expired(later);
    assert!(share(&table, later) > 7.0);
}

#[test]
fn the_newest_statement_of_any_host_counts() {
    let now = Instant::now();
    let mut table = ClaimTable::new("h1".into());
    table.apply("h1", claim(Some(8.0), 3_000), now);
    table.apply("h2", claim(None, 100), now);
    assert_eq!(table.share("t", now), TargetShare::Unlimited);
    table.apply("h1", claim(Some(8.0), 0), now);
    assert!(share(&table, now) > 7.0, "the target has a limit again");
}

#[test]
fn a_limit_that_no_host_hears_of_any_more_ends() {
    let now = Instant::now();
    let mut table = ClaimTable::new("h1".into());
    table.apply("h1", claim(Some(8.0), 19_000), now);
    assert!(share(&table, now) > 7.0);
    table.apply("h1", claim(Some(8.0), 21_000), now);
    assert_eq!(table.share("t", now), TargetShare::Unlimited);
}
