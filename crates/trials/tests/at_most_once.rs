//! Non-idempotent requests: each runs at most once, and `not_run` is reported
//! only for a request that never ran.

use std::time::Duration;
use std::time::Instant;

use cassia_contract::Contract;
use cassia_standin::ServiceFault;
use cassia_standin::ServiceStandin;
use cassia_trials::Caller;
use cassia_trials::JsonResponse;
use cassia_trials::Process;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::savanna;
use rstest::rstest;
use serde_json::json;

const PATH: &str = "/v1/savanna/pass-status";
/// Short enough that a hanging call times out within the test, long enough for a
/// response on a busy machine.
const DEADLINE_MS: u32 = 6_000;

struct Setup {
    env: TestEnv,
    service: ServiceStandin,
    hosts: Vec<Process>,
    caller: Caller,
}

impl Setup {
    async fn new() -> anyhow::Result<Self> {
        let env = TestEnv::start().await?;
        let service = env.start_service("status-1", "pass-status").await?;
        let hosts = vec![env.start_entry("h1").await?, env.start_entry("h2").await?];
        let mut contract: Contract = savanna();
        for route in &mut contract.routes {
            route.deadline_ms = DEADLINE_MS;
        }
        let revision = env.publish(&contract, 0).await?;
        for host in &hosts {
            env.wait_until_in_force(host, "savanna", revision).await?;
            env.wait_for_view(host, 1, 1).await?;
        }
        Ok(Self { env, service, hosts, caller: Caller::new(SAVANNA_KEY) })
    }

    async fn ticket(&self) -> String {
        self.caller.fetch_ticket(self.hosts[0].listen, PATH).await
    }

    async fn redeem(&self, host: usize, ticket: &str) -> JsonResponse {
        let body = json!({"key": "k"});
        self.caller.redeem(self.hosts[host].listen, PATH, ticket, &body).await
    }
}

/// `first` and `retry` are the expected `ran` values of the first response and
/// of retries after the fault is cleared; empty for a success.
#[rstest]
#[case::no_fault(ServiceFault::None, "", "", 1)]
#[case::refused(ServiceFault::RefuseNotRun, "not_run", "", 1)]
#[case::reset_after_it_ran(ServiceFault::ResetAfter, "unknown", "unknown", 1)]
#[case::hangs_after_it_ran(ServiceFault::HangAfter, "unknown", "unknown", 1)]
#[case::hangs_before_it_ran(ServiceFault::HangBefore, "unknown", "unknown", 0)]
#[case::wrong_id(ServiceFault::WrongId, "unknown", "unknown", 0)]
#[tokio::test(flavor = "multi_thread")]
async fn each_fault_leads_to_at_most_one_run(
    #[case] fault: ServiceFault,
    #[case] first: &str,
    #[case] retry: &str,
    #[case] runs: u32,
) -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let ticket = setup.ticket().await;
    setup.service.set_fault(fault);
    let start = Instant::now();
    let response = setup.redeem(0, &ticket).await;
    assert_eq!(response.text("ran"), first, "{response:?}");
    // An error response arrives by the deadline, with three seconds of slack for
    // a busy machine, and says when to retry.
    assert!(start.elapsed() < Duration::from_millis(u64::from(DEADLINE_MS) + 3_000));
    assert!(first.is_empty() || response.body["return_after_ms"].is_u64(), "{response:?}");
    setup.service.set_fault(ServiceFault::None);
    for host in [1, 0] {
        let response = setup.redeem(host, &ticket).await;
        assert_eq!(response.text("ran"), retry, "{response:?}");
        assert!(!retry.is_empty() || response.body["runs"] == 1, "{response:?}");
    }
    assert_eq!(setup.service.runs("k"), runs);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_ticket_nothing_runs() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let response = setup.caller.post(setup.hosts[0].listen, PATH, &[], &json!({"key": "k"})).await;
    assert_eq!((response.status, response.text("kind")), (428, "ticket_required"));
    assert_eq!((response.text("ran"), setup.service.runs("k")), ("not_run", 0));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_at_all_hosts_at_once_share_one_run() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    setup.service.set_fault(ServiceFault::Slow(300));
    let ticket = setup.ticket().await;
    let calls = (0..8).map(|i| {
        let (caller, ticket) = (setup.caller.clone(), ticket.clone());
        let listen = setup.hosts[i % 2].listen;
        tokio::spawn(
            async move { caller.redeem(listen, PATH, &ticket, &json!({"key": "k"})).await },
        )
    });
    for call in calls.collect::<Vec<_>>() {
        let response = call.await?;
        assert_eq!((response.status, &response.body["runs"]), (200, &json!(1)), "{response:?}");
    }
    assert_eq!(setup.service.runs("k"), 1);
    Ok(())
}

#[rstest]
#[case::killed(false)]
#[case::killed_and_restarted(true)]
#[tokio::test(flavor = "multi_thread")]
async fn without_its_minter_a_call_is_unknown_and_does_not_run_again(
    #[case] restarted: bool,
) -> anyhow::Result<()> {
    let mut setup = Setup::new().await?;
    let ticket = setup.ticket().await;
    setup.service.set_fault(ServiceFault::HangAfter);
    let listen = setup.hosts[0].listen;
    let (caller, sent_ticket) = (setup.caller.clone(), ticket.clone());
    let first = tokio::spawn(async move {
        caller.redeem(listen, PATH, &sent_ticket, &json!({"key": "k"})).await
    });
    let service = &setup.service;
    assert!(cassia_trials::eventually(|| async { service.runs("k") == 1 }).await);
    setup.hosts[0].kill();
    first.await?;
    setup.service.set_fault(ServiceFault::None);
    if restarted {
        setup.hosts[0].restart()?;
        setup.env.wait_until_ready(&setup.hosts[0]).await?;
        let response = setup.redeem(0, &ticket).await;
        assert_eq!((response.text("ran"), response.text("kind")), ("unknown", "minter_gone"));
    }
    let response = setup.redeem(1, &ticket).await;
    assert_eq!(
        (response.text("ran"), response.text("kind")),
        ("unknown", "minter_gone"),
        "{response:?}"
    );
    assert_eq!(setup.service.runs("k"), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_minter_that_resumes_runs_the_call_at_most_once() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let ticket = setup.ticket().await;
    setup.hosts[0].freeze();
    let response = setup.redeem(1, &ticket).await;
    assert_eq!(response.text("ran"), "unknown", "{response:?}");
    setup.hosts[0].resume();
    // A request in the frozen process's socket buffer may run now; all retries
    // together still cause one run.
    for host in [0, 1, 0] {
        let response = setup.redeem(host, &ticket).await;
        assert_eq!((response.status, &response.body["runs"]), (200, &json!(1)), "{response:?}");
    }
    assert_eq!(setup.service.runs("k"), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_retry_is_not_reported_as_not_run() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let ticket = setup.ticket().await;
    assert_eq!(setup.redeem(0, &ticket).await.status, 200);
    // The key of the retry is no longer accepted.
    let wrong = Caller::new("another key");
    let response = wrong.redeem(setup.hosts[1].listen, PATH, &ticket, &json!({"key": "k"})).await;
    assert_eq!((response.status, response.text("ran")), (401, "unknown"), "{response:?}");
    // Without the service the remembered response is still returned.
    setup.env.list.remove("status-1");
    setup.env.wait_for_view(&setup.hosts[0], 0, 1).await?;
    let response = setup.redeem(1, &ticket).await;
    assert_eq!((response.status, &response.body["runs"]), (200, &json!(1)), "{response:?}");
    // A call with an unused ticket is reported as not run.
    let unused = setup.ticket().await;
    let response = setup.redeem(1, &unused).await;
    assert_eq!(
        (response.text("kind"), response.text("ran")),
        ("no_target", "not_run"),
        "{response:?}"
    );
    Ok(())
}
