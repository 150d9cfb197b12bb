//! Every process that applies the same records derives the same jobs, and a
//! result never changes its position.

use bytes::Bytes;
use cassia_jobs::Applied;
use cassia_jobs::Item;
use cassia_jobs::ItemProgress;
use cassia_jobs::ItemResult;
use cassia_jobs::JobRecord;
use cassia_jobs::JobTable;
use cassia_jobs::ResultRef;
use cassia_jobs::Submission;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const ITEM_COUNT: u32 = 2;
const RECORD_BYTES: usize = 100;

fn first_part(job: &str) -> JobRecord {
    part(job, 0)
}

fn part(job: &str, part: u32) -> JobRecord {
    let (job, data) = (job.to_owned(), Bytes::new());
    JobRecord::Part {
        job,
        part,
        part_count: 2,
        item_count: ITEM_COUNT,
        accepted_ms: 7,
        customer: String::new(),
        data,
    }
}

fn result(job: &str, index: u32, text: &str) -> JobRecord {
    JobRecord::Result(ItemResult {
        job: job.to_owned(),
        index,
        text: text.to_owned(),
        completed: true,
        ..ItemResult::default()
    })
}

fn progress(job: &str, index: u32) -> JobRecord {
    let job = job.to_owned();
    JobRecord::Progress(ItemProgress { job, index, ..ItemProgress::default() })
}

/// Records that cover every transition of one job of two items, plus some of
/// another job.
fn record_kinds() -> Vec<JobRecord> {
    vec![
        first_part("a"),
        part("a", 1),
        result("a", 0, "first"),
        result("a", 0, "second"),
        result("a", 1, "other"),
        result("a", 9, "no such item"),
        JobRecord::new_end("a"),
        first_part("b"),
        result("b", 0, "of b"),
        progress("a", 1),
        JobRecord::Unknown,
    ]
}

/// A client that remembers every page of results and checks that later reads
/// agree with it.
#[derive(Default)]
struct Reader {
    results: Vec<ResultRef>,
    accepted: bool,
    ended: bool,
}

impl Reader {
    fn check(&mut self, table: &JobTable) {
        let Some(job) = table.job("a") else {
            assert!(!self.accepted, "an accepted job disappeared");
            return;
        };
        self.accepted = true;
        assert!(job.results.starts_with(&self.results), "a result changed its position");
        assert!(job.ended || !self.ended, "an ended job reopened");
        assert!(!self.ended || job.results == self.results, "a result was added after the end");
        let mut items: Vec<_> = job.results.iter().map(|result| result.index).collect();
        items.sort_unstable();
        items.dedup();
        assert_eq!(items.len(), job.results.len(), "an item has two results");
        assert_eq!(job.is_open(), !job.ended && job.results.len() < ITEM_COUNT as usize);
        self.results.clone_from(&job.results);
        self.ended = job.ended;
    }
}

fn apply_all(history: &[JobRecord]) -> JobTable {
    let (mut table, mut reader) = (JobTable::default(), Reader::default());
    for (offset, record) in (0..).zip(history) {
        table.apply(offset, RECORD_BYTES, record);
        reader.check(&table);
    }
    table
}

#[test]
fn results_keep_their_positions_in_all_short_histories() {
    let record_kinds = record_kinds();
    let count = record_kinds.len();
    for length in 0..=5_u32 {
        for mut code in 0..count.pow(length) {
            let mut history = Vec::new();
            for _ in 0..length {
                history.push(record_kinds[code % count].clone());
                code /= count;
            }
            apply_all(&history);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// The state doesn't depend on how the records are read: in batches,
    /// partly repeated, or all at once.
    #[test]
    fn tables_agree_however_the_records_are_read(
        picks in prop::collection::vec(0_usize..10, 0..60),
        cuts in prop::collection::vec((0_usize..60, 0_usize..60), 0..8),
    ) {
        let record_kinds = record_kinds();
        let history: Vec<_> = picks.iter().map(|pick| record_kinds[*pick].clone()).collect();
        let expected = apply_all(&history);
        let mut table = JobTable::default();
        for (from, until) in cuts {
            let next = usize::try_from(table.next_offset()).expect("fits usize");
            // A read starts at or before the next offset, never after it.
            let from = from.min(next).min(history.len());
            let until = until.clamp(from, history.len());
            for (offset, record) in (from as u64..).zip(&history[from..until]) {
                table.apply(offset, RECORD_BYTES, record);
            }
        }
        let next = usize::try_from(table.next_offset()).expect("fits usize");
        for (offset, record) in (next as u64..).zip(&history[next..]) {
            table.apply(offset, RECORD_BYTES, record);
        }
        prop_assert_eq!(table, expected);
    }

    /// A job is decoded from its records unchanged, whatever the record size.
    #[test]
    fn a_job_survives_encoding_as_records(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..3_000), 0..12),
        record_bytes in 600_usize..4_000,
    ) {
        let items = bodies.into_iter().enumerate();
        let item = |(n, body): (usize, Vec<u8>)| Item {
            id: format!("i{n}"), body: body.into(), ..Item::default()
        };
        let job = Submission {
            id: "a".to_owned(), items: items.map(item).collect(), ..Submission::default()
        };
        let records = job.to_records(record_bytes, 1 << 20).expect("job fits one append");
        prop_assert!(records.iter().all(|record| record.len() <= record_bytes));
        let data: Vec<_> = records.into_iter().map(|record| match JobRecord::decode(record) {
            JobRecord::Part { data, .. } => data,
            other => panic!("{other:?}"),
        }).collect();
        prop_assert_eq!(Submission::from_parts(&data).expect("valid submission"), job);
    }

    /// Records that can't be decoded, as from other writers, are skipped.
    #[test]
    fn undecodable_records_are_skipped(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut table = JobTable::default();
        table.apply(0, bytes.len(), &JobRecord::decode(bytes.into()));
        prop_assert_eq!(table.next_offset(), 1);
    }
}

#[rstest]
#[case::first_part(vec![first_part("a")], Applied::Accepted("a".into()))]
#[case::first_part_again(vec![first_part("a"), first_part("a")], Applied::Unchanged)]
#[case::result(
    vec![first_part("a"), result("a", 1, "x")],
    Applied::ResultAdded { job: "a".into(), index: 1 }
)]
#[case::repeated_result(vec![first_part("a"), result("a", 1, "x"), result("a", 1, "y")], Applied::Unchanged)]
#[case::result_of_unknown_job(vec![result("a", 1, "x")], Applied::Unchanged)]
#[case::result_after_the_end(
    vec![first_part("a"), JobRecord::new_end("a"), result("a", 0, "x")],
    Applied::Unchanged
)]
#[case::progress(
    vec![first_part("a"), progress("a", 1)],
    Applied::Progressed { job: "a".into(), index: 1 }
)]
#[case::progress_after_the_result(
    vec![first_part("a"), result("a", 1, "x"), progress("a", 1)],
    Applied::Unchanged
)]
#[case::progress_after_the_end(
    vec![first_part("a"), JobRecord::new_end("a"), progress("a", 1)],
    Applied::Unchanged
)]
#[case::progress_of_no_item(vec![first_part("a"), progress("a", 9)], Applied::Unchanged)]
#[case::end(vec![first_part("a"), JobRecord::new_end("a")], Applied::Ended("a".into()))]
#[case::end_again(vec![first_part("a"), JobRecord::new_end("a"), JobRecord::new_end("a")], Applied::Unchanged)]
#[case::end_of_unknown_job(vec![JobRecord::new_end("a")], Applied::Unchanged)]
fn effect_of_the_last_record(#[case] history: Vec<JobRecord>, #[case] expected: Applied) {
    let mut table = JobTable::default();
    let mut last = Applied::Unchanged;
    for (offset, record) in (0..).zip(&history) {
        last = table.apply(offset, RECORD_BYTES, record);
    }
    assert_eq!(last, expected);
}

#[test]
fn a_job_larger_than_one_append_is_refused() {
    let item = Item { id: "i".to_owned(), body: vec![0; 5_000].into(), ..Item::default() };
    let job = Submission { id: "a".to_owned(), items: vec![item], ..Submission::default() };
    assert!(job.to_records(1_000, 3_000).is_err());
    assert!(job.to_records(1_000, 20_000).is_ok());
}

#[test]
fn removing_old_jobs_keeps_the_log_offset() {
    let mut table = JobTable::default();
    table.apply(0, RECORD_BYTES, &first_part("a"));
    table.remove_accepted_before(8);
    assert!(table.job("a").is_none());
    assert_eq!(table.next_offset(), 1);
    table.skip_to(9);
    table.skip_to(3);
    assert_eq!(table.next_offset(), 9);
}

#[test]
fn jobs_are_spread_over_the_partitions() {
    let mut counts = [0_u32; 12];
    for n in 0..1_200 {
        counts[cassia_jobs::partition(&format!("{n:016x}"), 12) as usize] += 1;
    }
    assert!(counts.iter().all(|count| (50..200).contains(count)), "{counts:?}");
}

#[test]
fn only_the_newest_progress_of_an_item_without_result_is_kept() {
    let mut table = JobTable::default();
    let records = [first_part("a"), progress("a", 0), progress("a", 1), progress("a", 0)];
    for (offset, record) in (0..).zip(&records) {
        table.apply(offset, RECORD_BYTES, record);
    }
    let offsets = |table: &JobTable| table.job("a").expect("a job").progress.clone();
    assert_eq!(offsets(&table).into_iter().collect::<Vec<_>>(), [(0, 3), (1, 2)]);
    table.apply(4, RECORD_BYTES, &result("a", 0, "x"));
    assert_eq!(offsets(&table).into_iter().collect::<Vec<_>>(), [(1, 2)]);
    table.apply(5, RECORD_BYTES, &JobRecord::new_end("a"));
    assert!(offsets(&table).is_empty());
}
