//! The reward calls of batch jobs, beside targets that fail them.

use std::time::Duration;

use cassia_standin::ResponseFault;
use cassia_standin::TargetFaults;
use cassia_trials::PlatformEnv;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::platform_config;
use cassia_trials::start_processes;
use rstest::rstest;
use serde_json::json;
use tokio::time::sleep;

/// Number of responses to a reward call after which each of its route's attempts
/// has failed several times.
const MANY_RESPONSES: usize = 10;
/// Time in which a configuration change is in force.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Guards against items that are given up although the targets of their reward
/// calls never stated that these failed.
#[rstest]
#[case::deadline_passed(504)]
#[case::gateway(502)]
#[case::unavailable(503)]
#[case::not_found(404)]
#[tokio::test]
async fn an_item_is_not_given_up_for_responses_to_its_reward_call_of(
    #[case] status: u16,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    let fault = ResponseFault::Status(status);
    for scorer in &env.targets[1..] {
        scorer.set_faults(TargetFaults { response: fault, ..TargetFaults::default() });
    }
    assert_eq!(env.submit_job(process, "j1", &batch_job("j1", 4, 1)).await.status, 202);
    let often_answered = || async {
        (0..4).all(|n| env.run_count(&format!("j1-{n}-score")) >= MANY_RESPONSES)
            || env.results(process, "j1", 0).await.json()["next"] != 0
    };
    anyhow::ensure!(eventually(often_answered).await, "the reward calls are not repeated");
    let listed = env.results(process, "j1", 0).await.json();
    assert_eq!(listed["next"], 0, "an item was given up: {listed}");

    for scorer in &env.targets[1..] {
        scorer.set_faults(TargetFaults::default());
    }
    let results = env.all_results(process, "j1").await.unwrap_or_default();
    assert_complete(&results, "j1", 4);
    Ok(())
}

/// Guards against reward calls that are repeated for good: an item is given up once
/// the retention of its route has passed.
#[tokio::test]
async fn an_item_whose_reward_call_is_never_answered_is_given_up_after_its_retention()
-> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    let mut config = platform_config(2, true);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["retention_s"] = json!(1);
    }
    env.store.put("keyed.op", "config", Some(&config));
    sleep(PROPAGATION_TIME).await;
    for scorer in &env.targets[1..] {
        let response = ResponseFault::Status(404);
        scorer.set_faults(TargetFaults { response, ..TargetFaults::default() });
    }
    assert_eq!(env.submit_job(process, "j1", &batch_job("j1", 1, 1)).await.status, 202);
    let listed = || async { env.results(process, "j1", 0).await.json()["next"] == 1 };
    anyhow::ensure!(eventually(listed).await, "the item is never given up");
    let results = env.results(process, "j1", 0).await.json();
    assert_eq!(results["results"][0]["state"], "errored", "{results}");
    Ok(())
}

/// Guards against items that are given up while the route of their reward calls
/// has no service.
#[tokio::test]
async fn an_item_is_not_given_up_while_its_reward_calls_have_no_service() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    let mut config = platform_config(2, true);
    let routes = config["routes"].as_array_mut().into_iter().flatten();
    for route in routes.filter(|route| route["name"] == "score") {
        route["split"] = json!([{"service": "intake", "weight": 0}]);
        route["service"] = json!(null);
    }
    env.store.put("keyed.op", "config", Some(&config));
    let in_force = || async { env.request(process, "/score/1", "probe").await.status == 503 };
    anyhow::ensure!(eventually(in_force).await, "the configuration is not in force");
    assert_eq!(env.submit_job(process, "j1", &batch_job("j1", 4, 1)).await.status, 202);
    sleep(Duration::from_secs(1)).await;
    let listed = env.results(process, "j1", 0).await.json();
    assert_eq!(listed["next"], 0, "an item was given up: {listed}");

    env.store.put("keyed.op", "config", Some(&platform_config(3, true)));
    let results = env.all_results(process, "j1").await.unwrap_or_default();
    assert_complete(&results, "j1", 4);
    Ok(())
}

/// Guards against items that are never given up although their reward calls fail
/// for good.
#[tokio::test]
async fn an_item_is_given_up_once_its_reward_call_failed_as_often_as_its_route_allows()
-> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 2).await?;
    let processes = start_processes(&env, 1).await?;
    let process = &processes[0].1;
    for scorer in &env.targets[1..] {
        let failing_ids = ["j1-2-score".to_owned()].into();
        scorer.set_faults(TargetFaults { failing_ids, ..TargetFaults::default() });
    }
    assert_eq!(env.submit_job(process, "j1", &batch_job("j1", 4, 1)).await.status, 202);
    let results = env.all_results(process, "j1").await.unwrap_or_default();
    let given_up: Vec<_> = results.iter().filter(|result| result["state"] == "errored").collect();
    assert_eq!(given_up.len(), 1, "{results:?}");
    assert_eq!(given_up[0]["instance_id"], "j1-2");
    assert!(env.run_count("j1-2-score") >= 3, "given up after fewer failures than allowed");
    Ok(())
}
