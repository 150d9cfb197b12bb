//! A text is the events in order, each once, with the versions behind them,
//! wherever its stream is cut and gone on with.

use cassia_jobs::Event;
use cassia_jobs::EventError;
use cassia_jobs::EventParser;
use cassia_jobs::ItemText;
use cassia_jobs::TextError;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const FIELD: &str = "weights";

fn event(id: u64, version: Option<u64>) -> Event {
    Event { id: Some(id), data: format!("d{id}"), version }
}

fn stream(events: u64, swap_at: u64) -> String {
    let one = |id: u64| {
        let swap = if id == swap_at { "weights: 2\n" } else { "" };
        format!("{swap}id: {id}\ndata: d{id}\n\n")
    };
    (0..events).map(one).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// However the bytes are cut up, the events are the same.
    #[test]
    fn pieces_don_t_matter(
        events in 0_u64..12,
        swap_at in 0_u64..12,
        cuts in prop::collection::vec(0_usize..400, 0..12),
    ) {
        let bytes = stream(events, swap_at).into_bytes();
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut parser = EventParser::new(FIELD);
        let mut found = Vec::new();
        for pair in cuts.windows(2) {
            parser.push(&bytes[pair[0]..pair[1]]);
            while let Some(event) = parser.next_event().expect("a stream of events") {
                found.push(event);
            }
        }
        let version = |id: u64| (id == swap_at).then_some(2);
        let expected: Vec<_> = (0..events).map(|id| event(id, version(id))).collect();
        prop_assert_eq!(found, expected);
        prop_assert_eq!(parser.finish(), Ok(()));
    }

    /// A text that was broken off anywhere and gone on with is whole, and names
    /// just the versions that made an event of it.
    #[test]
    fn breaks_don_t_matter(
        breaks in prop::collection::vec((1_u64..6, 1_u64..4), 1..6),
        single in any::<bool>(),
    ) {
        let mut text = ItemText::new(1, single);
        let (mut next, mut versions) = (0, Vec::new());
        for (length, version) in breaks {
            if text.begin_run(Some(version)).is_err() {
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
        prop_assert_eq!(text.last(), Some(next - 1));
        prop_assert_eq!(text.finish(), (expected.join("\n"), versions));
    }
}

#[rstest]
#[case::gap(&[0, 2], TextError::OutOfOrder { got: 2, due: 1 })]
#[case::twice(&[0, 1, 1], TextError::OutOfOrder { got: 1, due: 2 })]
#[case::not_the_first(&[3], TextError::OutOfOrder { got: 3, due: 0 })]
#[case::back(&[0, 1, 2, 1], TextError::OutOfOrder { got: 1, due: 3 })]
fn an_event_that_is_not_due_is_refused(#[case] ids: &[u64], #[case] expected: TextError) {
    let mut text = ItemText::new(0, false);
    text.begin_run(Some(1)).expect("allowed");
    let pushed: Vec<_> = ids.iter().map(|id| text.push(&event(*id, None))).collect();
    assert_eq!(pushed.last(), Some(&Err(expected)));
}

#[rstest]
#[case::old_from_the_start(Some(2), None, 3, false, Err(TextError::TooOld { got: 2, least: 3 }))]
#[case::old_by_an_event(None, Some(2), 3, false, Err(TextError::TooOld { got: 2, least: 3 }))]
#[case::unknown(None, None, 0, false, Err(TextError::NoVersion(1)))]
#[case::swapped(Some(3), Some(4), 3, false, Ok(()))]
#[case::mixed(Some(3), Some(4), 3, true, Err(TextError::Mixed { got: 4, had: 3 }))]
fn a_version_is_checked(
    #[case] head: Option<u64>,
    #[case] at_second: Option<u64>,
    #[case] least: u64,
    #[case] single: bool,
    #[case] expected: Result<(), TextError>,
) {
    let mut text = ItemText::new(least, single);
    let outcome = text.begin_run(head).and_then(|()| {
        if head.is_some() {
            text.push(&event(0, None))?;
        }
        let id = u64::from(head.is_some());
        text.push(&event(id.max(1), at_second))
    });
    assert_eq!(outcome, expected);
}

#[rstest]
#[case::torn("id: 1\ndata: a", Err(EventError::Torn))]
#[case::at_a_gap("id: 1\ndata: a\n\n", Ok(()))]
#[case::carriage_returns("id: 1\r\ndata: a\r\n\r\n", Ok(()))]
#[case::empty("", Ok(()))]
fn a_stream_may_end(#[case] bytes: &str, #[case] expected: Result<(), EventError>) {
    let mut parser = EventParser::new(FIELD);
    parser.push(bytes.as_bytes());
    while parser.next_event().expect("text").is_some() {}
    assert_eq!(parser.finish(), expected);
}

#[test]
fn what_is_no_stream_of_events_is_an_error() {
    let mut parser = EventParser::new(FIELD);
    parser.push(b"data: \xff\xfe\n\n");
    assert_eq!(parser.next_event(), Err(EventError::NotText));
    let mut parser = EventParser::new(FIELD);
    parser.push(&vec![b'x'; (1 << 20) + 1]);
    assert_eq!(parser.next_event(), Err(EventError::TooLarge));
}

#[test]
fn several_lines_of_data_are_one() {
    let mut parser = EventParser::new(FIELD);
    parser.push(b": comment\nid: 4\ndata: a\ndata: b\n\n");
    let event = parser.next_event().expect("text").expect("an event");
    assert_eq!((event.id, event.data.as_str()), (Some(4), "a\nb"));
}
