//! What hosts know soon after the store answers again.

use std::time::Duration;
use std::time::Instant;

use cassia_jobs::JOBS_TOPIC;
use cassia_jobs::SNAPSHOT_TOPIC;
use cassia_standin::LinkCut;
use cassia_standin::Proxy;
use cassia_standin::StoreFaults;
use cassia_trials::HostLinks;
use cassia_trials::PARTITIONS;
use cassia_trials::PlatformEnv;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::platform_config;
use cassia_trials::wait_until_serving;
use futures::future::join_all;
use rstest::rstest;
use tokio::time::sleep;
use tokio::time::sleep_until;

const HOSTS: usize = 12;
const ROUNDS: u64 = 4;
/// Longer than the delays between reads that fail grow.
const OUTAGE: Duration = Duration::from_secs(5);
/// How long after the store is back a host knows the configuration. The rules ask for
/// it three seconds after.
const LIMIT: Duration = Duration::from_secs(2);

/// Hosts refused a route for up to four seconds after the store was back: the read of
/// the configuration that was sent into the outage, the delay after it, and where the
/// store had forgotten its history another delay.
#[rstest]
#[case::with_its_history(false)]
#[case::without_its_history(true)]
#[tokio::test]
async fn the_configuration_is_known_soon_after_an_outage(
    #[case] forgets: bool,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let mut processes = Vec::new();
    for n in 0..HOSTS {
        processes.push(env.start_process(&format!("h{n}")).await?);
    }
    // Removed and added by turns.
    for round in 1..=ROUNDS {
        env.store.put("keyed.op", "config", Some(&platform_config(2 * round, false)));
        sleep(Duration::from_secs(3)).await;
        env.store.set_faults(StoreFaults { hang: true, ..StoreFaults::default() });
        sleep(Duration::from_secs(1)).await;
        env.store.put("keyed.op", "config", Some(&platform_config(2 * round + 1, true)));
        if forgets {
            env.store.expire_before("keyed.op", 0, u64::MAX);
        }
        sleep(OUTAGE).await;
        env.store.set_faults(StoreFaults::default());
        sleep_until((Instant::now() + LIMIT).into()).await;
        for (n, process) in processes.iter().enumerate() {
            let id = format!("r{round}-{n}");
            let response = env.request(process, "/extra/1", &id).await;
            assert_eq!(response.status, 200, "host {n}, round {round}: {response:?}");
        }
    }
    Ok(())
}

/// A host that has lost its targets has left the group and runs no jobs, so it made no
/// small calls which show that the store is back.
#[tokio::test]
async fn a_host_without_targets_knows_the_configuration_soon_after_an_outage() -> anyhow::Result<()>
{
    const CUT_HOSTS: usize = 4;
    let env = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let (mut cut, mut others) = (Vec::new(), Vec::new());
    for n in 0..CUT_HOSTS {
        let links = HostLinks::start(&env).await?;
        let store_link = Proxy::start(links.store_addr()).await?;
        let process = env.start_process_with_store(&format!("h{n}"), store_link.addr()).await?;
        wait_until_serving(&env, &process).await?;
        cut.push((process, links, store_link));
    }
    for host in ["h8", "h9"] {
        others.push(env.start_process(host).await?);
    }
    for (_, links, _) in &cut {
        links.cut(LinkCut::Refuse);
    }
    let is_served = || async {
        let requests = cut.iter().map(|(process, _, _)| env.request(process, "/quote/1", "cut"));
        join_all(requests).await.iter().all(|response| response.status == 200)
    };
    anyhow::ensure!(eventually(is_served).await, "not served through other hosts");
    let has_left = || async {
        // A host counts the links that it uses.
        is_served().await;
        (0..PARTITIONS).all(|p| {
            let owner = env.store.owner("runners", p);
            owner.is_some_and(|owner| owner == "h8" || owner == "h9")
        })
    };
    anyhow::ensure!(eventually(has_left).await, "they have not left the group");
    for round in 1..=ROUNDS {
        env.store.put("keyed.op", "config", Some(&platform_config(2 * round, false)));
        sleep(Duration::from_secs(3)).await;
        for (_, _, store_link) in &cut {
            store_link.set_blocked(true);
        }
        sleep(Duration::from_secs(1)).await;
        env.store.put("keyed.op", "config", Some(&platform_config(2 * round + 1, true)));
        env.store.expire_before("keyed.op", 0, u64::MAX);
        sleep(OUTAGE).await;
        for (_, _, store_link) in &cut {
            store_link.stall_connections();
            store_link.set_blocked(false);
        }
        sleep(LIMIT).await;
        for (n, (process, _, _)) in cut.iter().enumerate() {
            let id = format!("r{round}-{n}");
            let response = env.request(process, "/extra/1", &id).await;
            assert_ne!(response.status, 404, "host {n}, round {round}: {response:?}");
        }
    }
    Ok(())
}

/// A reader of a partition that was silent, while all others answered, learned of its return
/// by the end of its own read and the delay after that: hosts refused a route for up to four
/// seconds, since no small call had failed.
#[rstest]
#[case::configuration_alone(&["keyed.op"])]
#[case::with_others(&["keyed.op", "keyed.servers", "keyed.hosts"])]
#[tokio::test]
async fn the_configuration_is_known_soon_after_its_partition_is_back(
    #[case] topics: &[&str],
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let mut processes = Vec::new();
    for n in 0..HOSTS {
        processes.push(env.start_process(&format!("h{n}")).await?);
    }
    let silent_partitions = topics.iter().map(|topic| ((*topic).to_owned(), 0)).collect();
    let silent = StoreFaults { silent_partitions, ..StoreFaults::default() };
    for round in 1..=ROUNDS {
        env.store.put("keyed.op", "config", Some(&platform_config(2 * round, false)));
        sleep(Duration::from_secs(3)).await;
        env.store.set_faults(silent.clone());
        sleep(Duration::from_secs(1)).await;
        env.store.put("keyed.op", "config", Some(&platform_config(2 * round + 1, true)));
        sleep(OUTAGE).await;
        env.store.set_faults(StoreFaults::default());
        sleep(LIMIT).await;
        for (n, process) in processes.iter().enumerate() {
            let id = format!("r{round}-{n}");
            let response = env.request(process, "/extra/1", &id).await;
            assert_ne!(response.status, 404, "host {n}, round {round}: {response:?}");
        }
    }
    Ok(())
}

/// The jobs of a partition that was silent are known soon after it is back, at hosts that
/// run them and at others: an end that was written in the outage, and a job.
#[tokio::test]
async fn jobs_are_known_soon_after_their_partition_is_back() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let mut processes = Vec::new();
    for n in 0..4 {
        processes.push(env.start_process(&format!("h{n}")).await?);
    }
    wait_until_serving(&env, &processes[0]).await?;
    for round in 0..ROUNDS {
        let job = format!("j{round}");
        let submitted = env.submit_job(&processes[0], &job, &batch_job(&job, 4, 1)).await;
        assert_eq!(submitted.status, 202, "{submitted:?}");
        for process in &processes {
            env.results(process, &job, 0).await;
        }
        let topics = [JOBS_TOPIC, SNAPSHOT_TOPIC];
        let silent_partitions =
            (0..PARTITIONS).flat_map(|p| topics.map(|topic| (topic.to_owned(), p))).collect();
        env.store.set_faults(StoreFaults { silent_partitions, ..StoreFaults::default() });
        // Reads are under way as the outage begins, and as it ends.
        let reads = processes.iter().map(|process| env.results(process, &job, 0));
        let (_, ()) = tokio::join!(join_all(reads), sleep(OUTAGE));
        env.store.set_faults(StoreFaults::default());
        sleep(LIMIT).await;
        for (n, process) in processes.iter().enumerate() {
            let response = env.results(process, &job, 0).await;
            assert_eq!(response.status, 200, "host {n}, round {round}: {response:?}");
        }
        let results = env.all_results(&processes[1], &job).await;
        assert!(results.is_some(), "round {round}: the job is not finished");
    }
    Ok(())
}
