//! Load pattern: a list of more targets than the planned fleet has, which
//! changes with every read. The time to apply it must not be quadratic in the
//! number of targets.

use std::time::Duration;
use std::time::Instant;

use cassia_route::Heartbeat;
use cassia_route::TargetRegistry;
use cassia_route::TargetSet;

/// Twenty times the engines of the planned fleet.
const TARGET_COUNT: usize = 12_000;
/// An update in quadratic time takes many times as long.
const TIME_LIMIT: Duration = Duration::from_millis(700);

fn heartbeat(n: usize, version: u64) -> Heartbeat {
    Heartbeat {
        id: format!("engine-{n:05}").into(),
        service: "lm".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".into(),
        software: "v1".into(),
        slots: 6,
        leaving: false,
        spot: false,
        leaves_ms: None,
        started_ms: 1,
        seq: version,
        versions: vec![("m".into(), version)],
    }
}

#[test]
fn a_changed_list_is_applied_in_time_at_twenty_times_the_fleet() {
    let now = Instant::now();
    let mut registry = TargetRegistry::default();
    let mut set = TargetSet::empty(now);
    for version in 1..=3 {
        let start = Instant::now();
        let heartbeats: Vec<_> = (0..TARGET_COUNT).map(|n| heartbeat(n, version)).collect();
        let ids: Vec<_> = heartbeats.iter().map(|heartbeat| heartbeat.id.clone()).collect();
        for heartbeat in heartbeats {
            registry.apply(heartbeat);
        }
        registry.retain_only(&ids, now);
        set = set.updated(&registry.targets(now));
        assert!(start.elapsed() < TIME_LIMIT, "{:?}", start.elapsed());
    }
    assert_eq!(set.all().count(), TARGET_COUNT);
}
