//! Orders to engines on the platform's stand-ins when their holder fails.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_standin::TargetFaults;
use cassia_standin::TargetSpec;
use cassia_trials::PlatformEnv;
use cassia_trials::eventually;
use cassia_trials::start_processes;
use rstest::rstest;
use tokio::time::sleep;

/// The minimum time between the orders of two holders to one engine.
const LEASE: Duration = Duration::from_secs(3);

#[rstest]
#[case::killed("kill")]
#[case::stopped("stop")]
#[case::frozen("freeze")]
#[case::rebalanced("rebalance")]
#[tokio::test]
async fn only_one_holder_at_a_time_sends_orders_when_it_is(
    #[case] fault: &str,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(3, 1).await?;
    let processes = start_processes(&env, 3).await?;
    env.publish_version(2);
    let sent = || async { env.targets.iter().any(|t| !t.orders().is_empty()) };
    anyhow::ensure!(eventually(sent).await, "no order was sent");
    let holder = env.store.owner("runners", 0).context("an owner")?;
    let first = processes.iter().find(|(host, _)| *host == holder).context("the holder")?;
    let signal = |signal| {
        // `Process::kill` needs `&mut`. Dropping the process kills it again,
        // which has no effect.
        let pid = nix::unistd::Pid::from_raw(i32::try_from(first.1.id())?);
        anyhow::Ok(nix::sys::signal::kill(pid, signal)?)
    };
    match fault {
        "kill" => signal(nix::sys::signal::Signal::SIGKILL)?,
        // It hands the lease over, and its host does not come back.
        "stop" => signal(nix::sys::signal::Signal::SIGTERM)?,
        "freeze" => first.1.freeze(),
        _ => env.store.rebalance(),
    }
    env.publish_version(3);
    let loaded = || async { env.targets[..3].iter().all(|engine| engine.version() == 3) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded the version");
    first.1.resume();
    env.publish_version(4);
    let loaded = || async { env.targets[..3].iter().all(|engine| engine.version() == 4) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded version 4");
    let mut by_engine: BTreeMap<String, Vec<_>> = BTreeMap::new();
    for order in env.targets.iter().flat_map(|t| t.orders()) {
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
async fn orders_continue_while_partitions_move_between_processes() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(2, 1).await?;
    let _processes = start_processes(&env, 3).await?;
    let store = std::sync::Arc::clone(&env.store);
    let rebalancing = tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(900)).await;
            store.rebalance();
        }
    });
    for version in 2..=4 {
        env.publish_version(version);
        let loaded = || async { env.targets[..2].iter().all(|e| e.version() == version) };
        let start = Instant::now();
        anyhow::ensure!(eventually(loaded).await, "version {version} was never loaded");
        // The first holder waits for one lease; after that a version takes only
        // its load time.
        assert!(start.elapsed() < Duration::from_secs(15), "{version}: {:?}", start.elapsed());
    }
    rebalancing.abort();
    Ok(())
}

/// One engine of each of several models stops answering while it loads. The
/// holder must go on renewing its lease and ordering the other engines.
#[tokio::test]
async fn orders_continue_beside_silent_engines() -> anyhow::Result<()> {
    const MODELS: usize = 4;
    const ENGINES_PER_MODEL: usize = 8;
    /// Shorter than the time after which a load counts as failed.
    const LIMIT: Duration = Duration::from_secs(2);
    let model = |n: usize| format!("m{n}");
    let mut env = PlatformEnv::start().await?;
    for n in 0..MODELS * ENGINES_PER_MODEL {
        env.add_target(TargetSpec {
            id: format!("e{n:02}"),
            service: "lm".to_owned(),
            model: Some(model(n % MODELS)),
            events: 6,
            delay: Duration::from_millis(10),
        })
        .await?;
    }
    // Their loads stay under way.
    let (silent, others) = env.targets.split_at(MODELS);
    let order_delay = Some(Duration::from_secs(20));
    for target in silent {
        target.set_faults(TargetFaults { order_delay, ..TargetFaults::default() });
    }
    let _processes = start_processes(&env, 1).await?;
    let publish = |version: u64| {
        for n in 0..MODELS {
            let value = serde_json::json!({"model": model(n), "version": version});
            env.store.put("keyed.op", &format!("version/{}", model(n)), Some(&value));
        }
    };
    publish(2);
    let all_ordered = || async { silent.iter().all(|target| !target.orders().is_empty()) };
    anyhow::ensure!(eventually(all_ordered).await, "an engine got no order");
    for target in silent {
        target.set_faults(TargetFaults { silent: true, ..TargetFaults::default() });
    }
    publish(3);
    let started = Instant::now();
    let loaded = || async { others.iter().filter(|t| t.version() == 3).count() >= MODELS };
    anyhow::ensure!(eventually(loaded).await, "no other engine loaded the version");
    assert!(started.elapsed() < LIMIT, "{:?}", started.elapsed());
    Ok(())
}

#[tokio::test]
async fn orders_applied_late_revert_nothing() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(2, 1).await?;
    let _processes = start_processes(&env, 1).await?;
    let order_delay = Some(Duration::from_secs(4));
    env.targets[0].set_faults(TargetFaults { order_delay, ..TargetFaults::default() });
    env.publish_version(2);
    let sent = || async { !env.targets[0].orders().is_empty() };
    anyhow::ensure!(eventually(sent).await, "no order was sent");
    env.targets[0].set_faults(TargetFaults::default());
    env.publish_version(3);
    let loaded = || async { env.targets[..2].iter().all(|engine| engine.version() == 3) };
    anyhow::ensure!(eventually(loaded).await, "the engines never loaded the version");
    sleep(Duration::from_secs(5)).await;
    assert!(env.targets[..2].iter().all(|engine| engine.version() == 3));
    Ok(())
}
