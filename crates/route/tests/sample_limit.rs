//! How many samples a trainer may have at the engines.

use cassia_route::Occupancy;
use cassia_route::sample_limit;
use rstest::rstest;

#[rstest]
#[case::alone(0, 0, 0, 50, 100, 75)]
#[case::more_kept_free_for_staleness(0, 0, 0, 50, 0, 70)]
#[case::beside_callers(40, 0, 0, 50, 100, 35)]
#[case::what_the_other_leaves(0, 20, 0, 50, 100, 55)]
#[case::its_share_at_the_least(0, 75, 0, 50, 100, 37)]
#[case::its_own_do_not_count_against_it(0, 60, 40, 50, 100, 55)]
#[case::one_where_nothing_is_free(80, 0, 0, 50, 100, 1)]
fn room_follows_from_what_is_seen(
    #[case] callers: u32,
    #[case] samples: u32,
    #[case] own: u32,
    #[case] share_percent: u32,
    #[case] idle_weight_percent: u32,
    #[case] expected: u32,
) {
    let seen = Occupancy { slots: 80, callers, samples, own };
    assert_eq!(sample_limit(seen, share_percent, idle_weight_percent), expected);
}

#[test]
fn two_trainers_come_to_their_shares_from_any_beginning() {
    // One holds everything; in each round a tenth of a trainer's samples end.
    for begin in [(75, 0), (0, 75), (40, 10)] {
        let mut own: [u32; 2] = begin.into();
        for _ in 0..100 {
            for i in 0..2 {
                own[i] -= own[i].div_ceil(10);
                let seen =
                    Occupancy { slots: 80, callers: 0, samples: own[0] + own[1], own: own[i] };
                own[i] = own[i].max(sample_limit(seen, 50, 100));
            }
        }
        assert!(own.iter().all(|n| (30..=45).contains(n)), "{begin:?} came to {own:?}");
    }
}
