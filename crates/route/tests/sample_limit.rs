//! The limit on a trainer's concurrent samples at the engines.

use cassia_route::Occupancy;
use cassia_route::sample_limit;
use rstest::rstest;

#[rstest]
#[case::idle_engines(0, 0, 0, 50, 100, 75)]
#[case::more_reserved_for_staleness(0, 0, 0, 50, 0, 70)]
#[case::with_callers(40, 0, 0, 50, 100, 35)]
#[case::free_slots_beside_another_trainer(0, 20, 0, 50, 100, 55)]
#[case::at_least_its_share(0, 75, 0, 50, 100, 37)]
#[case::own_samples_are_not_subtracted(0, 60, 40, 50, 100, 55)]
#[case::one_if_nothing_is_free(80, 0, 0, 50, 100, 1)]
fn the_limit_follows_from_the_occupancy(
    #[case] callers: u32,
    #[case] samples: u32,
    #[case] own: u32,
    #[case] share_percent: u32,
    #[case] idle_weight_percent: u32,
    #[case] expected: u32,
) {
    let occupancy = Occupancy { slots: 80, callers, samples, own };
    assert_eq!(sample_limit(occupancy, share_percent, idle_weight_percent), expected);
}

#[test]
fn two_trainers_converge_to_their_shares() {
    // Starts with one trainer holding all or most slots; in each round, a tenth
    // of a trainer's samples end.
    for start in [(75, 0), (0, 75), (40, 10)] {
        let mut own: [u32; 2] = start.into();
        for _ in 0..100 {
            for i in 0..2 {
                own[i] -= own[i].div_ceil(10);
                let occupancy =
                    Occupancy { slots: 80, callers: 0, samples: own[0] + own[1], own: own[i] };
                own[i] = own[i].max(sample_limit(occupancy, 50, 100));
            }
        }
        assert!(own.iter().all(|n| (30..=45).contains(n)), "{start:?} converged to {own:?}");
    }
}
