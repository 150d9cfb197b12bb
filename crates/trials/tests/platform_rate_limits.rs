//! cassia-serve beside targets that state how many requests a second they
//! accept from all hosts together.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_standin::TargetFaults;
use cassia_standin::TargetStandin;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::start_processes;
use cassia_trials::wait_until_serving;
use futures::future::join_all;
use rstest::rstest;
use tokio::time::sleep;

/// The rate that a limited target states, in requests a second.
const RATE: f64 = 4.0;
/// How long after a target first states a limit the hosts must keep it.
const GRACE: Duration = Duration::from_secs(3);
/// Time over which the requests at a limited target are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Most requests at a limited target in that time: one and a half times what its
/// rate allows, and five more.
const MAX_IN_WINDOW: usize = 29;
/// How long callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(10);
/// How often each process gets a caller's request.
const CALLER_INTERVAL: Duration = Duration::from_millis(80);

fn limited() -> TargetFaults {
    TargetFaults { rate_limit: Some(RATE), ..TargetFaults::default() }
}

/// A limited target that refuses each third request, as a full one does, without
/// stating its limit.
fn limited_and_full() -> TargetFaults {
    TargetFaults { refuse_every: Some(3), ..limited() }
}

/// Sends a caller's request to a process at each interval; returns the statuses
/// and the longest time until an answer.
async fn send_load(env: &PlatformEnv, name: &str, to: &Process) -> (Vec<u16>, Duration) {
    let end = Instant::now() + LOAD_TIME;
    let (mut statuses, mut longest) = (Vec::new(), Duration::ZERO);
    while Instant::now() < end {
        let start = Instant::now();
        let id = format!("{name}-{}", statuses.len());
        statuses.push(env.request(to, "/quote/1", &id).await.status);
        longest = longest.max(start.elapsed());
        sleep(CALLER_INTERVAL.saturating_sub(start.elapsed())).await;
    }
    (statuses, longest)
}

/// Returns the most requests that a target got in any `WINDOW` from `since` on.
fn most_in_window(target: &TargetStandin, since: Instant) -> usize {
    let starts: Vec<_> =
        target.runs().iter().map(|run| run.started).filter(|at| *at >= since).collect();
    let in_window =
        |from: &Instant| starts.iter().filter(|at| *at >= from && **at < *from + WINDOW).count();
    starts.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against hosts that ignore the rate that a target states, or keep it
/// each for itself: the target then gets it from every host.
#[rstest]
#[case::one_of_two(1, limited())]
#[case::all(2, limited())]
#[case::all_and_full(2, limited_and_full())]
#[tokio::test]
async fn all_hosts_together_keep_the_rate_that_a_target_states(
    #[case] limited_targets: usize,
    #[case] faults: TargetFaults,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let processes = start_processes(&env, 3).await?;
    for (_, process) in &processes {
        wait_until_serving(&env, process).await?;
    }
    for target in &env.targets[..limited_targets] {
        target.set_faults(faults.clone());
    }
    let since = Instant::now() + GRACE;
    let load = processes.iter().map(|(host, process)| send_load(&env, host, process));
    let answers = join_all(load).await;
    for target in &env.targets[..limited_targets] {
        let most = most_in_window(target, since);
        assert!(most <= MAX_IN_WINDOW, "{most} requests in 4 s at {}", target.id());
        // No host may leave a limited target to the others either.
        assert!(most >= 8, "only {most} requests in 4 s at {}", target.id());
    }
    for (statuses, longest) in answers {
        // What can't be served is refused at once and did not run.
        assert!(longest < Duration::from_secs(1), "{longest:?}");
        assert!(statuses.iter().all(|s| matches!(s, 200 | 503)), "{statuses:?}");
        assert!(limited_targets == 2 || statuses.iter().all(|s| *s == 200), "{statuses:?}");
    }
    Ok(())
}

/// Guards against bursts of reward calls: the items of a batch job end at the
/// same time, at one host, and all of them need the limited service.
#[tokio::test]
async fn reward_calls_of_a_job_keep_the_rate_that_a_target_states() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(4, 2).await?;
    let processes = start_processes(&env, 2).await?;
    let process = &processes[0].1;
    wait_until_serving(&env, process).await?;
    let limited_target = &env.targets[4];
    limited_target.set_faults(limited());
    let since = Instant::now() + GRACE;
    for n in 0..8 {
        let id = format!("j{n}");
        let job = batch_job(&id, 40, 1);
        assert_eq!(env.submit_job(process, &id, &job).await.status, 202);
        sleep(Duration::from_secs(1)).await;
    }
    for n in 0..8 {
        let id = format!("j{n}");
        let results = env.all_results(process, &id).await.context("results")?;
        assert_complete(&results, &id, 40);
    }
    let most = most_in_window(limited_target, since);
    assert!(most <= MAX_IN_WINDOW, "{most} requests in 4 s");
    Ok(())
}

/// Guards against a limit that outlives its statement, for which the target
/// would stay nearly unused.
#[tokio::test]
async fn a_target_that_no_longer_states_a_limit_gets_its_part_again() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let processes = start_processes(&env, 3).await?;
    for (_, process) in &processes {
        wait_until_serving(&env, process).await?;
    }
    let target = &env.targets[0];
    target.set_faults(limited());
    let load = || join_all(processes.iter().map(|(host, process)| send_load(&env, host, process)));
    load().await;
    target.set_faults(TargetFaults::default());
    let since = Instant::now() + GRACE;
    load().await;
    let most = most_in_window(target, since);
    assert!(most > 2 * MAX_IN_WINDOW, "only {most} of some 75 requests in 4 s");
    Ok(())
}
