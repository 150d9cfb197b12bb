//! How many targets one request may take down.

use cassia_quarantine::Exposure;
use cassia_quarantine::SendDecision;
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
// A request that nothing is known of is sent, also to the only target.
#[case::first(0, 0, 0, SendDecision::Send)]
// Most targets that have not answered are only slow: a second one gets the request.
#[case::second_target(0, 1, 0, SendDecision::Send)]
#[case::third_target_with_a_spare(0, 2, 1, SendDecision::Send)]
#[case::third_target_without(0, 2, 0, SendDecision::AwaitAnswer)]
// Requests that were at the crashed target by chance are retried at once.
#[case::after_a_crash_with_a_spare(1, 0, 1, SendDecision::Send)]
#[case::after_a_crash_without(1, 0, 0, SendDecision::KeepTarget)]
#[case::after_two_crashes_without(2, 0, 0, SendDecision::KeepTarget)]
#[case::while_another_may_be_crashing(1, 1, 5, SendDecision::AwaitAnswer)]
fn a_request_leaves_its_service_a_target(
    #[case] crashed: usize,
    #[case] unanswered: usize,
    #[case] spare: usize,
    #[case] expected: SendDecision,
) {
    let exposure = Exposure { crashed, unanswered, spare, has_others: true };
    assert_eq!(exposure.decide(), expected);
}

/// Guards against requests that are refused although the only target of their
/// service is back: there is none to keep for others.
#[test]
fn the_only_target_of_a_service_is_not_kept() {
    let exposure = Exposure { crashed: 1, unanswered: 0, spare: 0, has_others: false };
    assert_eq!(exposure.decide(), SendDecision::Send);
}

proptest! {
    /// Guards against a request that takes all targets of its service down: at
    /// three or more, one stays, whatever order they get it in and crash in.
    #[test]
    fn one_target_is_always_left(
        copies in 3_usize..8,
        crash_first in proptest::collection::vec(any::<bool>(), 1..40),
    ) {
        let (mut crashed, mut unanswered) = (0, 0);
        for crash_first in crash_first {
            if crash_first && unanswered > 0 {
                crashed += 1;
                unanswered -= 1;
                continue;
            }
            let free = copies - crashed - unanswered;
            let spare = free.saturating_sub(1);
            let exposure = Exposure { crashed, unanswered, spare, has_others: true };
            if free > 0 && exposure.decide() == SendDecision::Send {
                unanswered += 1;
            }
        }
        prop_assert!(crashed + unanswered < copies);
    }
}
