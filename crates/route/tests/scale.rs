//! Load pattern: a list of targets larger than the target fleet, that changes
//! with every read. Taking it in must not grow with the square of the targets.

use std::time::Duration;
use std::time::Instant;

use cassia_route::Heartbeat;
use cassia_route::TargetRegistry;
use cassia_route::TargetSet;

/// Twenty times the target's engines.
const TARGETS: usize = 12_000;
/// What a list that is taken in by the square takes many times over.
const MOST: Duration = Duration::from_millis(700);

fn beat(n: usize, version: u64) -> Heartbeat {
    Heartbeat {
        id: format!("engine-{n:05}").into(),
        service: "lm".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".into(),
        slots: 6,
        leaving: false,
        started_ms: 1,
        seq: version,
        versions: vec![("m".into(), version)],
    }
}

#[test]
fn a_changed_list_is_taken_in_in_time_at_twenty_times_the_target() {
    let now = Instant::now();
    let mut roster = TargetRegistry::default();
    let mut set = TargetSet::empty(now);
    for version in 1..=3 {
        let begun = Instant::now();
        let beats: Vec<_> = (0..TARGETS).map(|n| beat(n, version)).collect();
        let ids: Vec<_> = beats.iter().map(|beat| beat.id.clone()).collect();
        for beat in beats {
            roster.apply(beat);
        }
        roster.retain_only(&ids, now);
        set = set.updated(&roster.targets(now));
        assert!(begun.elapsed() < MOST, "{:?}", begun.elapsed());
    }
    assert_eq!(set.all().count(), TARGETS);
}
