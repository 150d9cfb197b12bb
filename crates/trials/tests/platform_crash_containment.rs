//! A request that crashes the targets that run it, among other callers' requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cassia_standin::ResponseFault;
use cassia_standin::StoreFaults;
use cassia_standin::TargetFaults;
use cassia_standin::TargetStandin;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::start_processes;
use cassia_trials::wait_until_serving;
use futures::future::join_all;
use rstest::rstest;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

/// Body of the request that crashes targets.
const BAD: &str = "bad";
/// How long a target runs a request, and how long until it crashes.
const RUN_TIME: Duration = Duration::from_millis(40);
/// How long callers send requests. Targets that crashed are back well before.
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Number of other callers, each with one request at a time.
const CALLERS: usize = 6;
/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(10);
/// Time until the caller of `BAD` comes again: less than a report of a crash takes.
const RETRY_PAUSE: Duration = Duration::from_millis(1);
/// How long an append takes to be stored by a slow store.
const SLOW_APPEND_TIME: Duration = Duration::from_millis(60);
/// How often the targets are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Starts hosts and targets of one service that crash under `BAD`.
async fn start(copies: usize) -> anyhow::Result<(PlatformEnv, Vec<(String, Process)>)> {
    let env = PlatformEnv::start().await?.with_targets(0, copies).await?;
    let processes = start_processes(&env, 3).await?;
    for (_, process) in &processes {
        wait_until_serving(&env, process).await?;
    }
    for target in &env.targets {
        target.set_delay(RUN_TIME);
        let crashing_bodies = [BAD.to_owned()].into();
        target.set_faults(TargetFaults { crashing_bodies, ..TargetFaults::default() });
    }
    Ok((env, processes))
}

fn addrs(processes: &[(String, Process)]) -> Vec<SocketAddr> {
    processes.iter().map(|(_, process)| process.listen).collect()
}

/// Sends a caller's requests one after the other; returns how many there were and
/// how many were not served.
async fn send_others(env: &PlatformEnv, hosts: &[SocketAddr], caller: usize) -> (usize, usize) {
    let (end, mut sent, mut failed) = (Instant::now() + LOAD_TIME, 0, 0);
    while Instant::now() < end {
        let (id, host) = (format!("other{caller}-{sent}"), hosts[(caller + sent) % hosts.len()]);
        let headers = [("attempt-id", id.as_str()), ("deadline-ms", "1500")];
        let path = format!("/quote/{caller}-{sent}");
        let response = env.send("POST", host, &path, &headers, id.clone()).await;
        sent += 1;
        failed += usize::from(response.status != 200);
        sleep(PAUSE).await;
    }
    (sent, failed)
}

/// Sends `BAD` again and again as a caller does who gets no answer: at once, with a
/// new id and at another host.
async fn send_bad(env: &PlatformEnv, hosts: &[SocketAddr]) {
    sleep(LOAD_TIME / 8).await;
    let (end, mut sent) = (Instant::now() + LOAD_TIME / 2, 0);
    while Instant::now() < end {
        let id = format!("bad{sent}");
        let headers = [("attempt-id", id.as_str()), ("deadline-ms", "1500")];
        env.send("POST", hosts[sent % hosts.len()], "/quote/1", &headers, BAD.to_owned()).await;
        sent += 1;
        sleep(RETRY_PAUSE).await;
    }
}

/// Counts how often no target was up.
fn watch(targets: Vec<Arc<TargetStandin>>) -> JoinHandle<usize> {
    tokio::spawn(async move {
        let (end, mut all_down) = (Instant::now() + LOAD_TIME, 0);
        while Instant::now() < end {
            all_down += usize::from(targets.iter().all(|target| target.is_down()));
            sleep(LOOK_INTERVAL).await;
        }
        all_down
    })
}

/// Guards against a request that crashes one target after the other until its
/// service has none, so that all other callers are refused.
#[rstest]
#[case::three_copies(3, Duration::ZERO)]
#[case::two_copies(2, Duration::ZERO)]
// The caller comes again before the other hosts could read the report.
#[case::two_copies_and_slow_reports(2, SLOW_APPEND_TIME)]
#[tokio::test]
async fn a_request_that_crashes_targets_leaves_its_service_one(
    #[case] copies: usize,
    #[case] append_delay: Duration,
) -> anyhow::Result<()> {
    let (env, processes) = start(copies).await?;
    if !append_delay.is_zero() {
        let delayed_appends = Some((u32::MAX, append_delay));
        env.store.set_faults(StoreFaults { delayed_appends, ..StoreFaults::default() });
    }
    let hosts = addrs(&processes);
    let all_down = watch(env.targets.clone());
    let callers = (0..CALLERS).map(|caller| send_others(&env, &hosts, caller));
    let (others, ()) = tokio::join!(join_all(callers), send_bad(&env, &hosts));
    let runs = env.targets.iter().flat_map(|target| target.runs());
    let crashes = runs.filter(|run| run.id.starts_with(BAD)).count();
    let (sent, failed) =
        others.iter().fold((0, 0), |(sent, failed), other| (sent + other.0, failed + other.1));
    assert!(crashes > 0, "the request reached a target");
    assert_eq!(all_down.await?, 0, "looks at which all {copies} targets were down");
    // While a target is up, only requests that were at one that crashed may fail.
    assert!(failed <= crashes * CALLERS, "{failed} of {sent} failed, {crashes} crashes");
    Ok(())
}

/// Guards against requests that are lost because they were at a target that
/// crashed for another reason: there is another one.
#[tokio::test]
async fn requests_at_a_target_that_crashes_by_itself_are_served() -> anyhow::Result<()> {
    let (env, processes) = start(3).await?;
    let hosts = addrs(&processes);
    let callers = (0..CALLERS).map(|caller| send_others(&env, &hosts, caller));
    let crash = async {
        sleep(LOAD_TIME / 4).await;
        env.targets[0].crash();
    };
    let (others, ()) = tokio::join!(join_all(callers), crash);
    let failed: usize = others.iter().map(|(_, failed)| failed).sum();
    assert_eq!(failed, 0, "requests that were not served");
    Ok(())
}

/// Guards against broken connections that are taken for crashes: of two targets
/// that are up, one may break off a request and the other must get it.
#[tokio::test]
async fn a_request_whose_connection_broke_is_served_by_the_last_other_target() -> anyhow::Result<()>
{
    let (env, processes) = start(2).await?;
    let hosts = addrs(&processes);
    let response = ResponseFault::Reset;
    env.targets[0].set_faults(TargetFaults { response, ..TargetFaults::default() });
    env.targets[1].set_faults(TargetFaults::default());
    let callers = (0..CALLERS).map(|caller| send_others(&env, &hosts, caller));
    let failed: usize = join_all(callers).await.iter().map(|(_, failed)| failed).sum();
    assert_eq!(failed, 0, "requests that were not served");
    Ok(())
}
