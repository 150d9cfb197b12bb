//! Orders to engines on the platform's stand-ins, when their holder fails.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_standin::TargetFaults;
use cassia_trials::PlatformEnv;
use cassia_trials::eventually;
use cassia_trials::start_processes;
use rstest::rstest;
use tokio::time::sleep;
/// The least time between the orders of two holders to one engine.
const LEASE: Duration = Duration::from_secs(3);

#[rstest]
#[case::killed("kill")]
#[case::frozen("freeze")]
#[case::rebalanced("rebalance")]
#[tokio::test]
async fn orders_come_from_one_holder_at_a_time_when_it_is(#[case] how: &str) -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(3, 1).await?;
    let processes = start_processes(&fleet, 3).await?;
    fleet.publish_version(2);
    let ordered = || async { fleet.targets.iter().any(|t| !t.orders().is_empty()) };
    anyhow::ensure!(eventually(ordered).await, "no order came");
    let holder = fleet.store.owner("runners", 0).context("an owner")?;
    let first = processes.iter().find(|(host, _)| *host == holder).context("the holder")?;
    match how {
        "kill" => {
            // Dropping it later kills it again, which does nothing.
            nix::sys::signal::kill(
                nix::unistd::Pid::from_raw(i32::try_from(first.1.id())?),
                nix::sys::signal::Signal::SIGKILL,
            )?;
        }
        "freeze" => first.1.freeze(),
        _ => fleet.store.rebalance(),
    }
    fleet.publish_version(3);
    let loaded = || async { fleet.targets[..3].iter().all(|engine| engine.version() == 3) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded the version");
    first.1.resume();
    fleet.publish_version(4);
    let loaded = || async { fleet.targets[..3].iter().all(|engine| engine.version() == 4) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded the next version");
    let mut by_engine: BTreeMap<String, Vec<_>> = BTreeMap::new();
    for order in fleet.targets.iter().flat_map(|t| t.orders()) {
        by_engine.entry(order.engine.clone()).or_default().push(order);
    }
    for orders in by_engine.values() {
        for pair in orders.windows(2) {
            assert!(pair[1].fence >= pair[0].fence, "{pair:?}");
            if pair[1].holder != pair[0].holder {
                assert!(pair[1].received - pair[0].received >= LEASE, "{pair:?}");
                assert!(pair[1].fence > pair[0].fence, "{pair:?}");
            }
        }
    }
    Ok(())
}

#[tokio::test]
async fn orders_go_on_while_the_partitions_move_from_process_to_process() -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(2, 1).await?;
    let _processes = start_processes(&fleet, 3).await?;
    let store = std::sync::Arc::clone(&fleet.store);
    let moving = tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(900)).await;
            store.rebalance();
        }
    });
    for version in 2..=4 {
        fleet.publish_version(version);
        let loaded = || async { fleet.targets[..2].iter().all(|e| e.version() == version) };
        let begun = Instant::now();
        anyhow::ensure!(eventually(loaded).await, "version {version} was never loaded");
        // The first holder waits once; after that each version takes its loads.
        assert!(begun.elapsed() < Duration::from_secs(15), "{version}: {:?}", begun.elapsed());
    }
    moving.abort();
    Ok(())
}

#[tokio::test]
async fn orders_that_are_carried_out_late_undo_nothing() -> anyhow::Result<()> {
    let fleet = PlatformEnv::start().await?.with_targets(2, 1).await?;
    let _processes = start_processes(&fleet, 1).await?;
    let late_orders = Some(Duration::from_secs(4));
    fleet.targets[0]
        .set_faults(TargetFaults { order_delay: late_orders, ..TargetFaults::default() });
    fleet.publish_version(2);
    let ordered = || async { !fleet.targets[0].orders().is_empty() };
    anyhow::ensure!(eventually(ordered).await, "no order came");
    fleet.targets[0].set_faults(TargetFaults::default());
    fleet.publish_version(3);
    let loaded = || async { fleet.targets[..2].iter().all(|engine| engine.version() == 3) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded the version");
    sleep(Duration::from_secs(5)).await;
    assert!(fleet.targets[..2].iter().all(|engine| engine.version() == 3));
    Ok(())
}
