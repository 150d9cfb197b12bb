//! A text consists of the events in order, each once, with the weight versions
//! that generated them, wherever its streams break off and resume.

use cassia_ids::Software;
use cassia_jobs::Event;
use cassia_jobs::EventError;
use cassia_jobs::EventParser;
use cassia_jobs::ItemProgress;
use cassia_jobs::ItemText;
use cassia_jobs::TextError;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const FIELD: &str = "weights";
const MAX_BYTES: usize = 1 << 20;
const SOFTWARE: Software = Software::new_static("v1");
const OTHER_SOFTWARE: Software = Software::new_static("v2");

fn event(id: u64, version: Option<u64>) -> Event {
    Event { id: Some(id), data: format!("d{id}"), version }
}

/// Encodes a stream whose weight version is 2 from event `swap_at` on.
fn stream(event_count: u64, swap_at: u64) -> String {
    let encode = |id: u64| {
        let swap = if id == swap_at { "weights: 2\n" } else { "" };
        format!("{swap}id: {id}\ndata: d{id}\n\n")
    };
    (0..event_count).map(encode).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// The events don't depend on how the bytes are split into chunks.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        event_count in 0_u64..12,
        swap_at in 0_u64..12,
        cuts in prop::collection::vec(0_usize..400, 0..12),
    ) {
        let bytes = stream(event_count, swap_at).into_bytes();
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut parser = EventParser::new(FIELD);
        let mut parsed = Vec::new();
        for pair in cuts.windows(2) {
            parser.push(&bytes[pair[0]..pair[1]]);
            while let Some(event) = parser.next_event().expect("valid event stream") {
                parsed.push(event);
            }
        }
        let version = |id: u64| (id == swap_at).then_some(2);
        let expected: Vec<_> = (0..event_count).map(|id| event(id, version(id))).collect();
        prop_assert_eq!(parsed, expected);
        prop_assert_eq!(parser.finish(), Ok(()));
    }

    /// A text resumed after breaks at any events is complete, and its versions
    /// are exactly those that generated one of its events.
    #[test]
    fn a_resumed_text_is_complete(
        runs in prop::collection::vec((1_u64..6, 1_u64..4), 1..6),
        single in any::<bool>(),
    ) {
        let mut text = ItemText::new(1, single, MAX_BYTES);
        let (mut next, mut versions) = (0, Vec::new());
        for (length, version) in runs {
            if text.start_run(Some(version), &SOFTWARE).is_err() {
                prop_assert!(single && versions[0] != version);
                continue;
            }
            for id in next..next + length {
                prop_assert_eq!(text.push(&event(id, None)), Ok(()));
            }
            next += length;
            versions.push(version);
        }
        versions.sort_unstable();
        versions.dedup();
        let expected: Vec<_> = (0..next).map(|id| format!("d{id}")).collect();
        prop_assert_eq!(text.last_event_id(), Some(next - 1));
        prop_assert_eq!(text.finish(), (expected.join("\n"), versions));
    }
}

#[rstest]
#[case::gap(&[0, 2], TextError::OutOfOrder { got: 2, expected: 1 })]
#[case::twice(&[0, 1, 1], TextError::OutOfOrder { got: 1, expected: 2 })]
#[case::not_the_first(&[3], TextError::OutOfOrder { got: 3, expected: 0 })]
#[case::back(&[0, 1, 2, 1], TextError::OutOfOrder { got: 1, expected: 3 })]
fn an_event_out_of_order_is_refused(#[case] ids: &[u64], #[case] expected: TextError) {
    let mut text = ItemText::new(0, false, MAX_BYTES);
    text.start_run(Some(1), &SOFTWARE).expect("allowed");
    let pushed: Vec<_> = ids.iter().map(|id| text.push(&event(*id, None))).collect();
    assert_eq!(pushed.last(), Some(&Err(expected)));
}

#[rstest]
#[case::run_too_old(Some(2), None, 3, false, Err(TextError::VersionTooOld { got: 2, min: 3 }))]
#[case::event_too_old(None, Some(2), 3, false, Err(TextError::VersionTooOld { got: 2, min: 3 }))]
#[case::unknown(None, None, 0, false, Err(TextError::UnknownVersion(1)))]
#[case::swapped(Some(3), Some(4), 3, false, Ok(()))]
#[case::mixed(Some(3), Some(4), 3, true, Err(TextError::MixedVersions { got: 4, expected: 3 }))]
fn weight_versions_are_checked(
    #[case] run_version: Option<u64>,
    #[case] second_event_version: Option<u64>,
    #[case] min_version: u64,
    #[case] single: bool,
    #[case] expected: Result<(), TextError>,
) {
    let mut text = ItemText::new(min_version, single, MAX_BYTES);
    let outcome = text.start_run(run_version, &SOFTWARE).and_then(|()| {
        if run_version.is_some() {
            text.push(&event(0, None))?;
        }
        let id = u64::from(run_version.is_some());
        text.push(&event(id.max(1), second_event_version))
    });
    assert_eq!(outcome, expected);
}

#[rstest]
#[case::truncated("id: 1\ndata: a", Err(EventError::Truncated))]
#[case::after_an_event("id: 1\ndata: a\n\n", Ok(()))]
#[case::carriage_returns("id: 1\r\ndata: a\r\n\r\n", Ok(()))]
#[case::empty("", Ok(()))]
fn a_stream_must_end_after_a_complete_event(
    #[case] bytes: &str,
    #[case] expected: Result<(), EventError>,
) {
    let mut parser = EventParser::new(FIELD);
    parser.push(bytes.as_bytes());
    while parser.next_event().expect("valid event stream").is_some() {}
    assert_eq!(parser.finish(), expected);
}

#[test]
fn an_invalid_stream_is_an_error() {
    let mut parser = EventParser::new(FIELD);
    parser.push(b"data: \xff\xfe\n\n");
    assert_eq!(parser.next_event(), Err(EventError::NotUtf8));
    let mut parser = EventParser::new(FIELD);
    parser.push(&vec![b'x'; (1 << 20) + 1]);
    assert_eq!(parser.next_event(), Err(EventError::TooLarge));
}

#[test]
fn several_data_fields_are_joined() {
    let mut parser = EventParser::new(FIELD);
    parser.push(b": comment\nid: 4\ndata: a\ndata: b\n\n");
    let event = parser.next_event().expect("valid event stream").expect("complete event");
    assert_eq!((event.id, event.data.as_str()), (Some(4), "a\nb"));
}

/// A text that goes on from its stored start equals one that was not stored.
#[rstest]
#[case::at_once(1)]
#[case::later(3)]
fn a_stored_start_is_continued(#[case] stored_after: u64) {
    let event = |id: u64| Event { id: Some(id), data: format!("piece {id}"), version: None };
    let new_text = || ItemText::new(1, false, MAX_BYTES);
    let (mut whole, mut first) = (new_text(), new_text());
    assert!(first.progress("j", 7).is_none(), "no event yet");
    for text in [&mut whole, &mut first] {
        text.start_run(Some(2), &SOFTWARE).expect("allowed");
        (0..stored_after).for_each(|id| text.push(&event(id)).expect("the next event"));
    }
    let progress = first.progress("j", 7).expect("events");
    assert_eq!((progress.index, progress.last_event_id), (7, stored_after - 1));
    let mut second = new_text().continue_from(&progress).expect("an allowed version");
    for text in [&mut whole, &mut second] {
        text.start_run(Some(3), &SOFTWARE).expect("allowed");
        (stored_after..6).for_each(|id| text.push(&event(id)).expect("the next event"));
    }
    assert_eq!(second.finish(), whole.finish());
}

#[rstest]
#[case::version_too_old(ItemText::new(3, false, MAX_BYTES))]
#[case::text_too_long(ItemText::new(1, false, 4))]
fn a_stored_start_that_is_not_allowed_is_refused(#[case] text: ItemText) {
    let progress = ItemProgress {
        job: "j".to_owned(),
        index: 0,
        last_event_id: 1,
        text: "piece 0\npiece 1".to_owned(),
        versions: vec![2],
        software: SOFTWARE.to_string(),
    };
    assert!(text.continue_from(&progress).is_err());
}

/// Guards against ORDER: a text whose events come from two software versions.
#[rstest]
#[case::same_software(1, &SOFTWARE, Ok(()))]
#[case::other_software(1, &OTHER_SOFTWARE, Err(TextError::OtherSoftware))]
#[case::other_software_before_the_first_event(0, &OTHER_SOFTWARE, Ok(()))]
fn a_text_goes_on_at_the_software_that_began_it(
    #[case] events: u64,
    #[case] software: &Software,
    #[case] expected: Result<(), TextError>,
) {
    let mut text = ItemText::new(1, false, MAX_BYTES);
    text.start_run(Some(1), &SOFTWARE).expect("allowed");
    (0..events).for_each(|id| text.push(&event(id, None)).expect("the next event"));
    assert_eq!(text.fixed_software(), (events > 0).then_some(&SOFTWARE));
    assert_eq!(text.accepts_software(software), expected.is_ok());
    assert_eq!(text.start_run(Some(1), software), expected);
}

/// Guards against ORDER: a stored text that goes on at another software version.
#[rstest]
#[case::known(&SOFTWARE, Some(SOFTWARE))]
#[case::stored_by_an_earlier_release("", None)]
fn a_stored_text_knows_its_software(#[case] stored: &str, #[case] expected: Option<Software>) {
    let mut text = ItemText::new(1, false, MAX_BYTES);
    text.start_run(Some(1), &SOFTWARE).expect("allowed");
    text.push(&event(0, None)).expect("the first event");
    let progress = text.progress("j", 0).expect("an event");
    assert_eq!(progress.software, SOFTWARE);
    let progress = ItemProgress { software: stored.to_owned(), ..progress };
    let going_on = ItemText::new(1, false, MAX_BYTES).continue_from(&progress);
    assert_eq!(going_on.ok().and_then(|text| text.fixed_software().cloned()), expected);
}

/// An engine that sends events without end must not take all memory.
#[test]
fn a_text_has_a_limit() {
    let mut text = ItemText::new(1, false, 100);
    text.start_run(Some(1), &SOFTWARE).expect("allowed");
    let event = |id| Event { id: Some(id), data: "x".repeat(9), version: None };
    let pushed = (0..1_000).take_while(|id| text.push(&event(*id)).is_ok()).count();
    assert_eq!(pushed, 10);
}
