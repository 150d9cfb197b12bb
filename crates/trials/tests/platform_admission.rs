//! cassia-serve before a service with fewer slots than requests: what each customer
//! gets of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_standin::TargetFaults;
use cassia_standin::TargetSpec;
use cassia_trials::PlatformEnv;
use cassia_trials::PlatformResponse;
use cassia_trials::Process;
use cassia_trials::eventually;
use cassia_trials::platform_config;
use cassia_trials::wait_until_serving;
use futures::future::join_all;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

/// Slots of a target, as its heartbeats say.
const SLOTS: usize = 8;
/// How long callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Starts an environment with one target that answers after this time.
async fn start_env(delay: Duration) -> anyhow::Result<PlatformEnv> {
    let mut env = PlatformEnv::start().await?;
    let (id, service) = ("s0".to_owned(), "intake".to_owned());
    env.add_target(TargetSpec { id, service, model: None, events: 0, delay }).await?;
    Ok(env)
}

/// Starts a process where each of these customers has a key, its name.
async fn start_with_customers(env: &PlatformEnv, customers: &[&str]) -> anyhow::Result<Process> {
    let mut config = platform_config(2, true);
    let tenants = customers.iter().map(|name| json!({"name": name, "api_keys": [name]}));
    config["tenants"] = tenants.collect();
    env.store.put("keyed.op", "config", Some(&config));
    let process = env.start_process("h0").await?;
    let serves = || async { send(env, process.listen, customers[0], "first").await.status == 200 };
    anyhow::ensure!(eventually(serves).await, "the process doesn't serve requests");
    Ok(process)
}

/// Sends a customer's request, which is due in 800 ms.
async fn send(env: &PlatformEnv, to: SocketAddr, key: &str, id: &str) -> PlatformResponse {
    let key = format!("Token {key}");
    let headers = [("attempt-id", id), ("deadline-ms", "800"), ("authorization", key.as_str())];
    env.send("POST", to, "/once/1", &headers, "ask").await
}

/// Sends a customer's requests one after the other, with a pause after each; returns
/// the responses and how long each took.
async fn send_load(
    env: &PlatformEnv,
    process: &Process,
    key: &str,
    name: String,
    pause: Duration,
) -> Vec<(PlatformResponse, Duration)> {
    let end = Instant::now() + LOAD_TIME;
    let mut responses = Vec::new();
    while Instant::now() < end {
        let start = Instant::now();
        let id = format!("{name}-{}", responses.len());
        let response = send(env, process.listen, key, &id).await;
        responses.push((response, start.elapsed()));
        sleep(pause).await;
    }
    responses
}

async fn dump(env: &PlatformEnv, process: &Process) -> Value {
    env.send("GET", process.ops, "/state", &[], "").await.json()
}

/// Load: a customer with 100 concurrent callers, ten times the slots, beside three
/// customers with two callers each, at a target that takes 100 ms. Guards against a
/// large customer that takes the slots of small ones, and against idle slots.
#[tokio::test]
async fn a_large_customer_takes_nothing_from_small_ones() -> anyhow::Result<()> {
    let env = start_env(Duration::from_millis(100)).await?;
    let process = start_with_customers(&env, &["large", "a", "b", "c"]).await?;
    let pause = Duration::from_millis(50);
    let large =
        join_all((0..100).map(|n| send_load(&env, &process, "large", format!("l{n}"), pause)));
    let small = join_all(["a", "b", "c"].into_iter().flat_map(|key| {
        let load = |n| send_load(&env, &process, key, format!("{key}{n}"), pause);
        [0, 1].map(load)
    }));
    let (large, small) = tokio::join!(large, small);
    let small: Vec<_> = small.into_iter().flatten().collect();
    let late = small.iter().filter(|(response, _)| response.status != 200).count();
    assert!(late * 100 <= small.len(), "{late} of {} requests weren't served", small.len());
    let mut took: Vec<_> = small.iter().map(|(_, took)| *took).collect();
    took.sort();
    let p99 = took[took.len() * 99 / 100];
    assert!(p99 < Duration::from_millis(600), "{p99:?}");
    let large: Vec<_> = large.into_iter().flatten().collect();
    let refused: Vec<_> = large.iter().filter(|(r, _)| r.status == 503).collect();
    let served = large.iter().filter(|(r, _)| r.status == 200).count() + small.len() - late;
    println!(
        "small {} late {late} p99 {p99:?}, large {} refused {}, served {served}",
        small.len(),
        large.len(),
        refused.len()
    );
    anyhow::ensure!(!refused.is_empty(), "the load isn't too much");
    for (response, _) in refused {
        assert_eq!(response.json()["kind"], "overloaded", "{response:?}");
        let seconds = response.retry_after.as_deref().context("Retry-After")?.parse::<f64>()?;
        assert!(seconds > 0.0 && seconds < 5.0, "{seconds}");
    }
    // 8 slots of 100 ms serve 80 a second.
    assert!(served >= 240, "only {served} requests were served in 4 s");
    let queue = &dump(&env, &process).await["admission"]["intake"];
    assert_eq!(queue["waiting"], 0, "{queue}");
    Ok(())
}

/// Guards against places that are lost with callers who disconnect, both of running
/// and of waiting requests.
#[tokio::test]
async fn callers_who_disconnect_free_their_places() -> anyhow::Result<()> {
    let env = Arc::new(start_env(Duration::from_millis(300)).await?);
    let process = start_with_customers(&env, &["large", "small"]).await?;
    let listen = process.listen;
    let callers: Vec<_> = (0..2 * SLOTS)
        .map(|n| {
            let env = Arc::clone(&env);
            tokio::spawn(async move { send(&env, listen, "large", &format!("l{n}")).await })
        })
        .collect();
    let is_full =
        || async { dump(&env, &process).await["admission"]["intake"]["running"] == SLOTS };
    anyhow::ensure!(eventually(is_full).await, "all slots are used");
    for caller in &callers {
        caller.abort();
    }
    let is_empty = || async {
        let queue = dump(&env, &process).await["admission"]["intake"].take();
        queue["running"] == 0 && queue["waiting"] == 0
    };
    anyhow::ensure!(eventually(is_empty).await, "places are kept");
    assert_eq!(send(&env, listen, "small", "s").await.status, 200);
    Ok(())
}

/// Guards against a queue where no accounts are configured: such deployments are
/// served as before, whatever the number of slots.
#[tokio::test]
async fn there_is_no_queue_without_accounts() -> anyhow::Result<()> {
    let env = start_env(Duration::from_millis(300)).await?;
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    let start = Instant::now();
    let ids: Vec<_> = (0..5 * SLOTS).map(|n| format!("r{n}")).collect();
    let responses = join_all(ids.iter().map(|id| env.request(&process, "/once/1", id))).await;
    assert!(responses.iter().all(|response| response.status == 200));
    assert!(start.elapsed() < Duration::from_millis(1_200), "all run at once");
    assert_eq!(dump(&env, &process).await["admission"], json!({}));
    Ok(())
}

/// Load: a customer's requests, which hang at one of two targets until their deadline,
/// then those of another one. Guards against places that are lost with a target that
/// doesn't answer: it is avoided, and all slots of the other one must be used.
#[tokio::test]
async fn requests_that_hang_at_a_target_leave_the_places_of_another_one() -> anyhow::Result<()> {
    let mut env = start_env(Duration::from_millis(100)).await?;
    let (id, service) = ("s1".to_owned(), "intake".to_owned());
    let delay = Duration::from_millis(100);
    let hung = env.add_target(TargetSpec { id, service, model: None, events: 0, delay }).await?;
    let process = start_with_customers(&env, &["large", "small"]).await?;
    hung.set_faults(TargetFaults { silent: true, ..TargetFaults::default() });
    let pause = Duration::from_millis(10);
    let load = |key: &'static str, count: usize| {
        let (env, process) = (&env, &process);
        join_all((0..count).map(move |n| send_load(env, process, key, format!("{key}{n}"), pause)))
    };
    let (large, small) = tokio::join!(load("large", 40), load("small", 2));
    let count = |of: &[Vec<(PlatformResponse, Duration)>], status: u16| {
        of.iter().flatten().filter(|(response, _)| response.status == status).count()
    };
    let served = count(&large, 200) + count(&small, 200);
    let (refused, hung) = (count(&small, 503), count(&small, 504));
    println!(
        "served {served}, of the small customer {} and {refused} refused, {hung} hung",
        count(&small, 200)
    );
    // The slots of the other target serve 80 requests a second.
    assert!(served >= 200, "only {served} requests were served in 4 s");
    // Those that hang may have run, so they aren't sent again; none is refused.
    assert_eq!(refused, 0, "of the small customer");
    Ok(())
}
