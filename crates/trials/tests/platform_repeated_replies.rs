//! cassia-serve on the platform's stand-ins: targets that send a reply a second
//! time, in place of the next one on the connection.

use std::time::Duration;

use cassia_standin::RefusalKind;
use cassia_standin::RepeatedReply;
use cassia_standin::TargetFaults;
use cassia_trials::PlatformEnv;
use cassia_trials::eventually;
use cassia_trials::start_processes;
use cassia_trials::wait_until_serving;
use futures::future::join_all;
use rstest::rstest;

/// Less than the time after which a load counts as failed.
const MAX_TIME_TO_NEXT_ORDER: Duration = Duration::from_secs(2);
/// Id of the request that the engine answers with an error.
const FAILING_ID: &str = "failing";
/// Statuses which promise that the request did not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Guards against an order that the engine refused being taken as carried out,
/// because the second copy of another reply came in place of the refusal.
#[rstest]
#[case::copy_of_a_report(RepeatedReply::Reports)]
#[case::copy_of_an_answer(RepeatedReply::Answers)]
#[tokio::test]
async fn an_order_is_not_taken_as_carried_out_by_the_copy_of_another_reply(
    #[case] repeated: RepeatedReply,
) -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let processes = start_processes(&env, 1).await?;
    let engine = &env.targets[0];
    // An error, unlike a stream, is sent again. Its connection waits for the
    // calls that precede the order.
    engine.set_faults(TargetFaults {
        refused_orders: 1,
        repeated: Some(repeated),
        failing_ids: [FAILING_ID.to_owned()].into(),
        ..TargetFaults::default()
    });
    env.request(&processes[0].1, "/stream/1", FAILING_ID).await;
    env.publish_version(2);
    let loaded = || async { engine.version() == 2 };
    anyhow::ensure!(eventually(loaded).await, "the engine never loaded the version");
    let orders = engine.orders();
    assert!(orders.len() >= 2, "{orders:?}");
    let waited = orders[1].received - orders[0].received;
    assert!(waited < MAX_TIME_TO_NEXT_ORDER, "the next order came after {waited:?}");
    for version in 3..=5 {
        env.publish_version(version);
        let loaded = || async { engine.version() == version };
        anyhow::ensure!(eventually(loaded).await, "the engine never loaded version {version}");
    }
    Ok(())
}

/// Guards against a request that ran being reported as not run, or sent to a
/// second target, because the second copy of another request's refusal came in
/// place of its answer. The refused request may be an earlier attempt of the same
/// one.
#[rstest]
#[case::full(RefusalKind::Full, 1)]
#[case::full_with_others(RefusalKind::Full, 2)]
#[case::with_id(RefusalKind::FullWithId, 1)]
#[case::with_id_with_others(RefusalKind::FullWithId, 2)]
#[case::other_target(RefusalKind::OtherTarget, 2)]
#[tokio::test]
async fn the_copy_of_a_refusal_is_not_taken_for_the_next_requests_answer(
    #[case] refusal: RefusalKind,
    #[case] targets: usize,
) -> anyhow::Result<()> {
    const CALLERS: usize = 4;
    const REQUESTS: usize = 30;
    let env = PlatformEnv::start().await?.with_targets(0, targets).await?;
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    for target in &env.targets {
        target.set_faults(TargetFaults {
            refuse_every: Some(5),
            refusal,
            repeated: Some(RepeatedReply::Refusals),
            ..TargetFaults::default()
        });
    }
    let caller = |caller: usize| {
        let (env, process) = (&env, &process);
        async move {
            let mut answered = 0;
            for n in 0..REQUESTS {
                let id = format!("c{caller}-{n}");
                let response = env.request(process, "/once/1", &id).await;
                let runs = env.run_count(&id);
                assert!(runs <= 1, "{id} ran {runs} times");
                let promised = PROMISES.contains(&response.status);
                assert!(!promised || runs == 0, "{id} ran, but got {}", response.status);
                answered += usize::from(response.status == 200);
            }
            answered
        }
    };
    let answered: usize = join_all((0..CALLERS).map(caller)).await.iter().sum();
    assert!(answered > 0, "no request was answered");
    Ok(())
}
