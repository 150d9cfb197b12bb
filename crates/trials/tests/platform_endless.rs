//! Targets that send bytes without end, and no answer.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_standin::Endless;
use cassia_standin::EndlessTarget;
use cassia_standin::LinkCut;
use cassia_trials::HostLinks;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::wait_until_serving;
use futures::future::join_all;
use rstest::rstest;

/// Limit on the memory of a process: the program itself, the limit on all
/// responses, and a buffer for each connection.
const MAX_PEAK_MB: u64 = 64;
/// Requests that are sent at once.
const REQUESTS: usize = 100;
/// Time limit of the route, and slack for a loaded machine.
const RESPONSE_LIMIT: Duration = Duration::from_secs(5);
const ITEMS: usize = 32;
/// Jobs of which one at least has an item at the engine.
const MAX_JOBS: usize = 12;

async fn assert_all_closed(target: &EndlessTarget) -> anyhow::Result<()> {
    let closed = || async { target.open_count() == 0 };
    anyhow::ensure!(eventually(closed).await, "{} connections stay open", target.open_count());
    Ok(())
}

fn assert_little_memory(process: &Process) -> anyhow::Result<()> {
    let peak = process.peak_mb()?;
    assert!(peak < MAX_PEAK_MB, "{peak} MB");
    Ok(())
}

#[rstest]
#[case::head(Endless::Head)]
#[case::header_fields(Endless::HeaderFields)]
#[case::informational(Endless::Informational)]
#[case::body(Endless::Body)]
#[case::chunks(Endless::Chunks)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_answered_by_another_target(#[case] kind: Endless) -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    let endless = env.add_endless_target("intake", kind).await?;
    let reached = || async {
        env.request(&process, "/quote/1", "probe").await;
        endless.request_count() > 0
    };
    anyhow::ensure!(eventually(reached).await, "the target got no request");
    for round in 0..3 {
        let ids: Vec<_> = (0..REQUESTS).map(|n| format!("r{round}-{n}")).collect();
        let started = Instant::now();
        let responses = join_all(ids.iter().map(|id| env.request(&process, "/quote/1", id))).await;
        for (id, response) in ids.iter().zip(responses) {
            assert_eq!(response.status, 200, "{id}: {response:?}");
            assert_eq!(response.body, format!("done {id}"), "the answer to another request");
        }
        assert!(started.elapsed() < RESPONSE_LIMIT, "{:?}", started.elapsed());
    }
    assert_little_memory(&process)?;
    assert_all_closed(&endless).await
}

#[rstest]
#[case::head(Endless::Head)]
#[case::header_fields(Endless::HeaderFields)]
#[case::informational(Endless::Informational)]
#[case::body(Endless::Body)]
#[case::chunks(Endless::Chunks)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_another_target_requests_fail_in_time(#[case] kind: Endless) -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(0, 0).await?;
    let process = env.start_process("h0").await?;
    let endless = env.add_endless_target("intake", kind).await?;
    let listed = || async {
        env.request(&process, "/quote/1", "probe").await;
        endless.request_count() > 0
    };
    anyhow::ensure!(eventually(listed).await, "the target got no request");
    let ids: Vec<_> = (0..REQUESTS).map(|n| format!("r{n}")).collect();
    let started = Instant::now();
    let responses = join_all(ids.iter().map(|id| env.request(&process, "/quote/1", id))).await;
    for response in responses {
        assert!(matches!(response.status, 502..=504), "{response:?}");
        assert!(response.signature.is_none(), "a target's signature: {response:?}");
    }
    assert!(started.elapsed() < RESPONSE_LIMIT, "{:?}", started.elapsed());
    assert_little_memory(&process)?;
    assert_all_closed(&endless).await
}

#[rstest]
#[case::head(Endless::Head)]
#[case::header_fields(Endless::HeaderFields)]
#[case::body(Endless::Body)]
#[case::event(Endless::Event)]
#[case::events(Endless::Events)]
#[case::stall(Endless::Stall)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_complete_on_other_engines(#[case] kind: Endless) -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(2, 1).await?;
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    let endless = env.add_endless_target("lm", kind).await?;
    // The host may read late that the engine is there.
    let mut jobs = 0;
    while jobs < 2 || endless.request_count() == 0 {
        anyhow::ensure!(jobs < MAX_JOBS, "the engine got no item");
        let job = format!("j{jobs}");
        assert_eq!(env.submit_job(&process, &job, &batch_job(&job, ITEMS, 1)).await.status, 202);
        let results = env.all_results(&process, &job).await.context("results")?;
        assert_complete(&results, &job, ITEMS);
        jobs += 1;
    }
    assert_little_memory(&process)?;
    assert_all_closed(&endless).await
}

/// A caller must not take a stream of anything but events as complete.
#[rstest]
#[case::event(Endless::Event)]
#[case::body(Endless::Body)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_without_events_are_broken_off(#[case] kind: Endless) -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(0, 1).await?;
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    let endless = env.add_endless_target("lm", kind).await?;
    let headers = [("attempt-id", "s1"), ("deadline-ms", "3000")];
    let send = || env.send("POST", process.listen, "/stream/1", &headers, "ask");
    let sent = || async {
        send().await;
        endless.request_count() > 0
    };
    anyhow::ensure!(eventually(sent).await, "the target got no request");
    let responses = join_all((0..REQUESTS).map(|_| send())).await;
    // A response that is cut off has no status here.
    assert!(responses.iter().all(|response| response.status != 200), "{responses:?}");
    assert_little_memory(&process)?;
    assert_all_closed(&endless).await
}

/// Guards against memory that fills up at the host that forwards a connection, or at the
/// one that asked for it.
#[rstest]
#[case::head(Endless::Head)]
#[case::informational(Endless::Informational)]
#[case::body(Endless::Body)]
#[case::chunks(Endless::Chunks)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_through_another_host_fail_in_time(#[case] kind: Endless) -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?;
    let endless = env.add_endless_target("intake", kind).await?;
    let links = HostLinks::start_with(&env, &[("endless", endless.addr())]).await?;
    let cut = env.start_process_with_store("h1", links.store_addr()).await?;
    let other = env.start_process("h2").await?;
    links.cut(LinkCut::Refuse);
    let forwarded = || async {
        env.request(&cut, "/quote/1", "probe").await;
        endless.request_count() > 0
    };
    anyhow::ensure!(eventually(forwarded).await, "the target got no request");
    let ids: Vec<_> = (0..REQUESTS).map(|n| format!("r{n}")).collect();
    let started = Instant::now();
    let responses = join_all(ids.iter().map(|id| env.request(&cut, "/quote/1", id))).await;
    for response in responses {
        assert!(matches!(response.status, 502..=504), "{response:?}");
    }
    assert!(started.elapsed() < RESPONSE_LIMIT, "{:?}", started.elapsed());
    assert_little_memory(&cut)?;
    assert_little_memory(&other)?;
    assert_all_closed(&endless).await
}
