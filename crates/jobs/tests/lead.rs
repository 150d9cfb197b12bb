//! The load of a step's start: each process that runs jobs opens connections to
//! all engines. Their number must not grow with the partitions.

use std::collections::BTreeSet;

use cassia_jobs::duty_rank;
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

/// The process that gives orders is the one that a fault is most costly at. It
/// runs no jobs where there are partitions enough.
#[rstest]
#[case::of_twelve(12)]
#[case::of_24(24)]
fn the_first_ranks_of_duties_run_no_jobs(#[case] partition_count: u32) {
    let leads: BTreeSet<_> =
        (0..partition_count).map(|p| lead_partition(p, partition_count)).collect();
    for rank in 0..2 {
        let with_rank = |p: &u32| duty_rank(*p, partition_count) == Some(rank);
        let partitions: Vec<_> = (0..partition_count).filter(with_rank).collect();
        assert_eq!(partitions.len(), 1, "{rank}");
        assert!(!leads.contains(&partitions[0]), "{partitions:?}");
    }
}

#[rstest]
#[case::of_one(1)]
#[case::of_two(2)]
#[case::of_eight(8)]
fn with_few_partitions_the_first_ones_have_the_duties(#[case] partition_count: u32) {
    assert_eq!(duty_rank(0, partition_count), Some(0));
}

/// Jobs are spread over the leads as evenly as over the partitions.
#[test]
fn leads_have_equal_shares() {
    let mut counts = [0_u32; 8];
    (0..24).for_each(|partition| counts[lead_partition(partition, 24) as usize] += 1);
    assert!(counts.iter().all(|count| *count == 3), "{counts:?}");
}
