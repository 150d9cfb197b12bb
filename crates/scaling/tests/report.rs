//! The reports of the hosts, and their sum.

use std::time::Duration;
use std::time::Instant;

use cassia_scaling::DemandTable;
use cassia_scaling::HostDemand;
use cassia_scaling::JobDemand;
use cassia_scaling::ServiceDemand;

const NOW_MS: u64 = 1_000_000;

fn report(callers_milli: u64, items: u32, jobs: &[(&str, u32)]) -> HostDemand {
    let job = |(id, items_left): &(&str, u32)| JobDemand {
        id: (*id).to_owned(),
        service: "llm".to_owned(),
        model: "m".to_owned(),
        accepted_ms: NOW_MS - 4_000,
        items: 8,
        items_left: *items_left,
    };
    HostDemand {
        services: vec![ServiceDemand { service: "llm".to_owned(), callers_milli, items }],
        jobs: jobs.iter().map(job).collect(),
    }
}

/// Load: many hosts with few requests each. Guards against rounding each host's part
/// up, which would see a hundred requests where there are ten.
#[test]
fn small_parts_of_many_hosts_are_added_before_rounding() {
    let (mut table, now) = (DemandTable::default(), Instant::now());
    for n in 0..98 {
        table.apply(&format!("h{n}"), report(100, 0, &[]), now);
    }
    assert_eq!(table.observation("llm", NOW_MS, now).0.callers, 10);
    assert_eq!(table.observation("other", NOW_MS, now).0.callers, 0);
}

/// Failure: a partition moves, and its old and its new owner both report its job.
/// Guards against counting the job's items twice.
#[test]
fn a_job_that_two_hosts_report_counts_once() {
    let (mut table, now) = (DemandTable::default(), Instant::now());
    table.apply("h0", report(0, 2, &[("j", 6), ("done", 0)]), now);
    table.apply("h1", report(0, 1, &[("j", 3)]), now);
    let (seen, items) = table.observation("llm", NOW_MS, now);
    assert_eq!(items, 3);
    assert_eq!(seen.jobs.iter().map(|job| job.items_left).collect::<Vec<_>>(), [3]);
    let submitted: Vec<_> = seen.submissions.iter().map(|s| (s.id.as_str(), s.items)).collect();
    assert_eq!(submitted, [("done", 8), ("j", 8)], "complete jobs show the period");
    assert!(seen.submissions.iter().all(|s| now.duration_since(s.at) == Duration::from_secs(4)));
}

/// Failure: a host is lost with its report in the store. Guards against demand that
/// never ends.
#[test]
fn the_report_of_a_lost_host_expires() {
    let (mut table, now) = (DemandTable::default(), Instant::now());
    table.apply("h0", report(5_000, 0, &[("j", 6)]), now);
    table.remove_expired(now + Duration::from_secs(9));
    assert_eq!(table.observation("llm", NOW_MS, now).0.callers, 5);
    table.remove_expired(now + Duration::from_secs(10));
    assert_eq!(table.observation("llm", NOW_MS, now).0, cassia_scaling::Observation::default());
}
