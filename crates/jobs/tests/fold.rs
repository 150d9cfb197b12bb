//! Every process that folds the same records knows the same jobs, and nothing
//! that was listed ever moves.

use bytes::Bytes;
use cassia_jobs::Folded;
use cassia_jobs::Item;
use cassia_jobs::ItemResult;
use cassia_jobs::JobFold;
use cassia_jobs::JobRecord;
use cassia_jobs::Submission;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const ITEMS: u32 = 2;

fn accept(job: &str) -> JobRecord {
    part(job, 0)
}

fn part(job: &str, part: u32) -> JobRecord {
    let (job, data) = (job.to_owned(), Bytes::new());
    JobRecord::Part { job, part, parts: 2, items: ITEMS, accepted_ms: 7, data }
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

/// All that can happen to one job of two items, and to another one.
fn alphabet() -> Vec<JobRecord> {
    vec![
        accept("a"),
        part("a", 1),
        result("a", 0, "first"),
        result("a", 0, "second"),
        result("a", 1, "other"),
        result("a", 9, "no such item"),
        JobRecord::ended("a"),
        accept("b"),
        result("b", 0, "of b"),
        JobRecord::Unknown,
    ]
}

/// What a reader that remembers every page it was given would check.
#[derive(Default)]
struct Reader {
    listed: Vec<(u64, u32)>,
    known: bool,
    ended: bool,
}

impl Reader {
    fn check(&mut self, fold: &JobFold) {
        let Some(job) = fold.job("a") else {
            assert!(!self.known, "a job that was accepted is there");
            return;
        };
        self.known = true;
        assert!(job.listed.starts_with(&self.listed), "a position never changes");
        assert!(job.ended || !self.ended, "an end stands");
        assert!(!self.ended || job.listed == self.listed, "nothing is listed after the end");
        let mut items: Vec<_> = job.listed.iter().map(|(_, item)| *item).collect();
        items.sort_unstable();
        items.dedup();
        assert_eq!(items.len(), job.listed.len(), "each item stands once");
        assert_eq!(job.is_open(), !job.ended && job.listed.len() < ITEMS as usize);
        self.listed.clone_from(&job.listed);
        self.ended = job.ended;
    }
}

fn play(history: &[JobRecord]) -> JobFold {
    let (mut fold, mut reader) = (JobFold::default(), Reader::default());
    for (offset, record) in (0..).zip(history) {
        fold.apply(offset, record);
        reader.check(&fold);
    }
    fold
}

#[test]
fn all_short_histories_keep_what_was_listed() {
    let alphabet = alphabet();
    let count = alphabet.len();
    for length in 0..=5_u32 {
        for mut code in 0..count.pow(length) {
            let mut history = Vec::new();
            for _ in 0..length {
                history.push(alphabet[code % count].clone());
                code /= count;
            }
            play(&history);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// However a process reads: in pieces, with repetitions, from the start.
    #[test]
    fn folds_agree_however_the_records_are_read(
        picks in prop::collection::vec(0_usize..10, 0..60),
        cuts in prop::collection::vec((0_usize..60, 0_usize..60), 0..8),
    ) {
        let alphabet = alphabet();
        let history: Vec<_> = picks.iter().map(|pick| alphabet[*pick].clone()).collect();
        let whole = play(&history);
        let mut pieces = JobFold::default();
        for (from, until) in cuts {
            let next = usize::try_from(pieces.next()).expect("short");
            // A read begins at or before what is next, never after it.
            let from = from.min(next).min(history.len());
            let until = until.clamp(from, history.len());
            for (offset, record) in (from as u64..).zip(&history[from..until]) {
                pieces.apply(offset, record);
            }
        }
        let next = usize::try_from(pieces.next()).expect("short");
        for (offset, record) in (next as u64..).zip(&history[next..]) {
            pieces.apply(offset, record);
        }
        prop_assert_eq!(pieces, whole);
    }

    /// A job comes back from its records as it was, however it is split.
    #[test]
    fn a_job_survives_its_split(
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
        let records = job.split(record_bytes, 1 << 20).expect("it fits");
        prop_assert!(records.iter().all(|record| record.len() <= record_bytes));
        let data: Vec<_> = records.into_iter().map(|record| match JobRecord::read(record) {
            JobRecord::Part { data, .. } => data,
            other => panic!("{other:?}"),
        }).collect();
        prop_assert_eq!(Submission::join(&data).expect("a job"), job);
    }

    /// Bytes of other writers are passed over.
    #[test]
    fn any_bytes_are_a_record(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut fold = JobFold::default();
        fold.apply(0, &JobRecord::read(bytes.into()));
        prop_assert_eq!(fold.next(), 1);
    }
}

#[rstest]
#[case::first(vec![accept("a")], Folded::Accepted("a".into()))]
#[case::again(vec![accept("a"), accept("a")], Folded::Nothing)]
#[case::result(
    vec![accept("a"), result("a", 1, "x")],
    Folded::Listed { job: "a".into(), index: 1 }
)]
#[case::repeated_result(vec![accept("a"), result("a", 1, "x"), result("a", 1, "y")], Folded::Nothing)]
#[case::result_of_nothing(vec![result("a", 1, "x")], Folded::Nothing)]
#[case::result_after_the_end(
    vec![accept("a"), JobRecord::ended("a"), result("a", 0, "x")],
    Folded::Nothing
)]
#[case::end(vec![accept("a"), JobRecord::ended("a")], Folded::Ended("a".into()))]
#[case::end_again(vec![accept("a"), JobRecord::ended("a"), JobRecord::ended("a")], Folded::Nothing)]
#[case::end_of_nothing(vec![JobRecord::ended("a")], Folded::Nothing)]
fn the_last_record_does(#[case] history: Vec<JobRecord>, #[case] expected: Folded) {
    let mut fold = JobFold::default();
    let mut last = Folded::Nothing;
    for (offset, record) in (0..).zip(&history) {
        last = fold.apply(offset, record);
    }
    assert_eq!(last, expected);
}

#[test]
fn a_job_that_no_append_takes_is_refused_as_too_large() {
    let item = Item { id: "i".to_owned(), body: vec![0; 5_000].into(), ..Item::default() };
    let job = Submission { id: "a".to_owned(), items: vec![item], ..Submission::default() };
    assert!(job.split(1_000, 3_000).is_err());
    assert!(job.split(1_000, 20_000).is_ok());
}

#[test]
fn old_jobs_are_forgotten_and_the_place_in_the_log_is_not() {
    let mut fold = JobFold::default();
    fold.apply(0, &accept("a"));
    fold.forget_before(8);
    assert!(fold.job("a").is_none());
    assert_eq!(fold.next(), 1);
    fold.skip_to(9);
    fold.skip_to(3);
    assert_eq!(fold.next(), 9);
}

#[test]
fn jobs_are_spread_over_the_partitions() {
    let mut counts = [0_u32; 12];
    for n in 0..1_200 {
        counts[cassia_jobs::partition(&format!("{n:016x}"), 12) as usize] += 1;
    }
    assert!(counts.iter().all(|count| (50..200).contains(count)), "{counts:?}");
}
