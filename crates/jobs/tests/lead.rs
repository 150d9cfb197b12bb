//! The load of a step's start: each process that runs jobs opens connections to
//! all engines. Their number must not grow with the partitions.

use std::collections::BTreeSet;

use cassia_jobs::lead_partition;
use rstest::rstest;

/// Returns the number of partitions whose owners run jobs.
fn runner_count(partition_count: u32) -> usize {
    let leads: BTreeSet<_> =
        (0..partition_count).map(|p| lead_partition(p, partition_count)).collect();
    leads.len()
}

#[rstest]
#[case::of_one(1)]
#[case::of_two(2)]
#[case::of_twelve(12)]
#[case::of_24(24)]
#[case::of_100(100)]
fn the_processes_that_run_jobs_do_not_grow_with_the_partitions(#[case] partition_count: u32) {
    assert!(runner_count(partition_count) <= 8);
    assert_eq!(runner_count(partition_count), runner_count(partition_count.min(8)));
    for partition in 0..partition_count {
        let lead = lead_partition(partition, partition_count);
        assert!(lead < partition_count);
        // The owner of a lead partition runs that partition itself.
        assert_eq!(lead_partition(lead, partition_count), lead);
    }
}

/// Jobs are spread over the leads as evenly as over the partitions.
#[test]
fn leads_have_equal_shares() {
    let mut counts = [0_u32; 8];
    (0..24).for_each(|partition| counts[lead_partition(partition, 24) as usize] += 1);
    assert!(counts.iter().all(|count| *count == 3), "{counts:?}");
}
