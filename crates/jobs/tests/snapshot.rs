//! A table that continues from a snapshot equals one that applied every
//! record.

use bytes::Bytes;
use cassia_jobs::ItemProgress;
use cassia_jobs::ItemResult;
use cassia_jobs::JobRecord;
use cassia_jobs::JobTable;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const JOBS: [&str; 3] = ["a", "b", "c"];
const ITEM_COUNT: u32 = 4;

fn part(job: &str) -> JobRecord {
    let data = Bytes::from_static(b"submission");
    let (part_count, accepted_ms) = (2, 7);
    JobRecord::Part {
        job: job.to_owned(),
        part: 0,
        part_count,
        item_count: ITEM_COUNT,
        accepted_ms,
        customer: String::new(),
        data,
    }
}

fn result(job: &str, index: u32) -> JobRecord {
    let job = job.to_owned();
    JobRecord::Result(ItemResult { job, index, completed: true, ..ItemResult::default() })
}

fn progress(job: &str, index: u32) -> JobRecord {
    let job = job.to_owned();
    JobRecord::Progress(ItemProgress { job, index, ..ItemProgress::default() })
}

fn any_record() -> impl Strategy<Value = JobRecord> {
    let job = prop::sample::select(&JOBS[..]);
    prop_oneof![
        2 => job.clone().prop_map(part),
        6 => (job.clone(), 0..ITEM_COUNT + 1).prop_map(|(job, index)| result(job, index)),
        4 => (job.clone(), 0..ITEM_COUNT + 1).prop_map(|(job, index)| progress(job, index)),
        1 => job.prop_map(JobRecord::new_end),
        1 => Just(JobRecord::Unknown),
    ]
}

fn apply(table: &mut JobTable, records: &[(usize, JobRecord)]) {
    for (size, record) in records {
        table.apply(table.next_offset(), *size, record);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Wherever the snapshot was made, and however far the reader was.
    #[test]
    fn a_snapshot_replaces_the_records_before_it(
        history in prop::collection::vec((1_usize..5_000, any_record()), 0..80),
        made_at in 0_usize..80,
        read_to in 0_usize..80,
    ) {
        let (made_at, read_to) = (made_at.min(history.len()), read_to.min(history.len()));
        let mut whole = JobTable::default();
        apply(&mut whole, &history);
        let mut writer = JobTable::default();
        apply(&mut writer, &history[..made_at]);
        let mut reader = JobTable::default();
        apply(&mut reader, &history[..read_to]);
        let snapshot = JobTable::from_snapshot(writer.to_snapshot()).expect("valid snapshot");
        prop_assert_eq!(&snapshot, &writer);
        prop_assert_eq!(reader.continue_from(snapshot), made_at > read_to);
        apply(&mut reader, &history[made_at.max(read_to)..]);
        prop_assert_eq!(reader, whole);
    }

    /// Bytes of another writer are an error, never the end of the process.
    #[test]
    fn arbitrary_bytes_are_an_error_or_a_table(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let _ = JobTable::from_snapshot(bytes.into());
    }

    /// As above, for bytes that are nearly a snapshot.
    #[test]
    fn a_damaged_snapshot_is_an_error_or_a_table(
        history in prop::collection::vec((1_usize..5_000, any_record()), 1..40),
        place in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut table = JobTable::default();
        apply(&mut table, &history);
        let mut bytes = table.to_snapshot().to_vec();
        prop_assume!(!bytes.is_empty());
        let place = place.index(bytes.len());
        bytes[place] = byte;
        let _ = JobTable::from_snapshot(bytes.into());
    }
}

/// A record that claims billions of items must not take their memory.
#[rstest]
#[case(u32::MAX)]
#[case((1 << 20) + 1)]
fn a_job_with_too_many_items_is_ignored(#[case] item_count: u32) {
    let mut table = JobTable::default();
    let mut record = part("a");
    if let JobRecord::Part { item_count: count, .. } = &mut record {
        *count = item_count;
    }
    table.apply(0, 100, &record);
    assert!(table.job("a").is_none());
}

/// The size of a snapshot follows the jobs that callers may still ask for, not
/// the records that were ever written.
#[test]
fn the_size_does_not_grow_with_the_log() {
    let size_after = |jobs: u32| {
        let mut table = JobTable::default();
        for n in 0..jobs {
            let id = format!("{n:016x}");
            let mut first = part(&id);
            if let JobRecord::Part { accepted_ms, .. } = &mut first {
                *accepted_ms = u64::from(n);
            }
            apply(&mut table, &[(70_000, first)]);
            for index in 0..ITEM_COUNT {
                apply(&mut table, &[(700, result(&id, index))]);
            }
            table.remove_accepted_before(u64::from(n.saturating_sub(20)));
        }
        table.to_snapshot().len()
    };
    assert!(size_after(3_000) < size_after(100) * 3 / 2);
}

#[test]
fn a_snapshot_is_due_after_enough_records() {
    let mut table = JobTable::default();
    assert!(!table.snapshot_due(0));
    apply(&mut table, &[(200_000, part("a"))]);
    assert!(table.snapshot_due(0));
    assert!(!table.snapshot_due(table.position()));
}
