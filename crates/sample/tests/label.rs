//! Which versions a sample names, stream by stream.

use cassia_sample::Labeller;
use cassia_sample::Unlabelled;
use rstest::rstest;

/// What an engine reports while a sample is generated.
#[derive(Clone, Copy, Debug)]
enum Report {
    Tokens(u32, Option<u64>),
    Cached(Option<u64>),
}

use Report::Cached;
use Report::Tokens;

#[rstest]
#[case::one_version(&[Tokens(4, Some(7)), Tokens(4, Some(7))], Ok((vec![7], 7, 1)))]
#[case::a_swap_mid_stream(&[Tokens(4, Some(7)), Tokens(4, Some(8))], Ok((vec![7, 8], 7, 2)))]
#[case::resumed_on_an_engine_behind(&[Tokens(4, Some(8)), Tokens(4, Some(7))], Ok((vec![7, 8], 7, 2)))]
#[case::there_and_back(&[Tokens(1, Some(7)), Tokens(1, Some(8)), Tokens(1, Some(7))], Ok((vec![7, 8], 7, 3)))]
#[case::built_on_older_cache(&[Cached(Some(5)), Tokens(4, Some(7))], Ok((vec![5, 7], 5, 1)))]
#[case::built_on_its_own_cache(&[Cached(Some(7)), Tokens(4, Some(7))], Ok((vec![7], 7, 1)))]
#[case::cache_of_unknown_version(&[Cached(None), Tokens(4, Some(7))], Err(Unlabelled::Unconfirmed))]
#[case::failed_swap_mid_stream(&[Tokens(4, Some(7)), Tokens(4, None), Tokens(4, Some(8))], Err(Unlabelled::Unconfirmed))]
#[case::no_tokens(&[], Err(Unlabelled::Empty))]
#[case::empty_pieces_only(&[Tokens(0, None)], Err(Unlabelled::Empty))]
fn a_sample_names_all_that_had_a_part_or_is_none(
    #[case] reports: &[Report],
    #[case] expected: Result<(Vec<u64>, u64, usize), Unlabelled>,
) {
    let mut labeller = Labeller::default();
    for report in reports {
        match *report {
            Tokens(count, version) => labeller.tokens(count, version),
            Cached(version) => labeller.cached(version),
        }
    }
    let label = labeller.finish();
    let seen = label.as_ref().map(|l| (l.versions(), l.oldest(), l.spans.len()));
    assert_eq!(seen.map_err(|e| *e), expected);
}

#[test]
fn a_label_of_the_version_at_the_start_would_be_wrong_after_a_swap() {
    // The naive way names the version that the engine had when asked.
    let mut labeller = Labeller::default();
    labeller.tokens(4, Some(7));
    labeller.tokens(60, Some(8));
    let label = labeller.finish().expect("a label");
    let naive = [7];
    assert_ne!(label.versions(), naive);
    assert_eq!(label.staleness(9), 2);
    assert_eq!(label.staleness(6), 0);
}
