//! Labels built from the versions that engines report.

use cassia_sample::LabelBuilder;
use cassia_sample::LabelError;
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
#[case::resumed_on_an_older_version(&[Tokens(4, Some(8)), Tokens(4, Some(7))], Ok((vec![7, 8], 7, 2)))]
#[case::back_to_the_first_version(&[Tokens(1, Some(7)), Tokens(1, Some(8)), Tokens(1, Some(7))], Ok((vec![7, 8], 7, 3)))]
#[case::built_on_older_cache(&[Cached(Some(5)), Tokens(4, Some(7))], Ok((vec![5, 7], 5, 1)))]
#[case::built_on_its_own_cache(&[Cached(Some(7)), Tokens(4, Some(7))], Ok((vec![7], 7, 1)))]
#[case::cache_of_unknown_version(&[Cached(None), Tokens(4, Some(7))], Err(LabelError::UnknownVersion))]
#[case::failed_swap_mid_stream(&[Tokens(4, Some(7)), Tokens(4, None), Tokens(4, Some(8))], Err(LabelError::UnknownVersion))]
#[case::no_tokens(&[], Err(LabelError::NoTokens))]
#[case::empty_reports_only(&[Tokens(0, None)], Err(LabelError::NoTokens))]
fn a_label_has_all_contributing_versions_or_is_an_error(
    #[case] reports: &[Report],
    #[case] expected: Result<(Vec<u64>, u64, usize), LabelError>,
) {
    let mut builder = LabelBuilder::default();
    for report in reports {
        match *report {
            Tokens(count, version) => builder.add_tokens(count, version),
            Cached(version) => builder.add_cached(version),
        }
    }
    let label = builder.finish();
    let actual = label.as_ref().map(|l| (l.versions(), l.oldest(), l.spans.len()));
    assert_eq!(actual.map_err(|e| *e), expected);
}

#[test]
fn a_label_of_only_the_initial_version_would_be_wrong_after_a_swap() {
    // A naive label has only the engine's version at the time of the request.
    let mut builder = LabelBuilder::default();
    builder.add_tokens(4, Some(7));
    builder.add_tokens(60, Some(8));
    let label = builder.finish().expect("valid label");
    let naive = [7];
    assert_ne!(label.versions(), naive);
    assert_eq!(label.staleness(9), 2);
    assert_eq!(label.staleness(6), 0);
}
