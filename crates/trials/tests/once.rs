//! Non-idempotent requests against a real service and real processes: they run
//! at most once, and "not run" is true.

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
/// Short, so that a call that hangs is given up within the test, and long
/// against what an answer takes on a busy machine.
const DEADLINE_MS: u32 = 6_000;

struct Setup {
    trial: TestEnv,
    service: ServiceStandin,
    hosts: Vec<Process>,
    caller: Caller,
}

impl Setup {
    async fn new() -> anyhow::Result<Self> {
        let trial = TestEnv::start().await?;
        let service = trial.start_service("status-1", "pass-status").await?;
        let hosts = vec![trial.start_entry("h1").await?, trial.start_entry("h2").await?];
        let mut contract: Contract = savanna();
        for route in &mut contract.routes {
            route.deadline_ms = DEADLINE_MS;
        }
        let revision = trial.publish(&contract, 0).await?;
        for host in &hosts {
            trial.wait_until_in_force(host, "savanna", revision).await?;
            trial.wait_for_view(host, 1, 1).await?;
        }
        Ok(Self { trial, service, hosts, caller: Caller::new(SAVANNA_KEY) })
    }

    async fn ticket(&self) -> String {
        self.caller.fetch_ticket(self.hosts[0].listen, PATH).await
    }

    async fn show(&self, host: usize, ticket: &str) -> JsonResponse {
        let body = json!({"key": "k"});
        self.caller.redeem(self.hosts[host].listen, PATH, ticket, &body).await
    }
}

/// What a fault leads to: what the caller is told, then on a retry after the
/// fault is over, and how often the call ran in the end.
#[rstest]
#[case::nothing(ServiceFault::None, "", "", 1)]
#[case::refused(ServiceFault::RefuseNotRun, "not_run", "", 1)]
#[case::cut_after_it_ran(ServiceFault::ResetAfter, "unknown", "unknown", 1)]
#[case::hangs_after_it_ran(ServiceFault::HangAfter, "unknown", "unknown", 1)]
#[case::hangs_before_it_ran(ServiceFault::HangBefore, "unknown", "unknown", 0)]
#[case::anothers_answer(ServiceFault::WrongId, "unknown", "unknown", 0)]
#[tokio::test(flavor = "multi_thread")]
async fn each_fault_leads_to_one_run_at_most(
    #[case] fault: ServiceFault,
    #[case] first: &str,
    #[case] retry: &str,
    #[case] runs: u32,
) -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let ticket = setup.ticket().await;
    setup.service.set_fault(fault);
    let began = Instant::now();
    let reply = setup.show(0, &ticket).await;
    assert_eq!(reply.text("ran"), first, "{reply:?}");
    // The answer comes at the deadline at the latest, and says when to return.
    assert!(began.elapsed() < Duration::from_millis(u64::from(DEADLINE_MS) + 3_000));
    assert!(first.is_empty() || reply.body["return_after_ms"].is_u64(), "{reply:?}");
    setup.service.set_fault(ServiceFault::None);
    for host in [1, 0] {
        let reply = setup.show(host, &ticket).await;
        assert_eq!(reply.text("ran"), retry, "{reply:?}");
        assert!(!retry.is_empty() || reply.body["runs"] == 1, "{reply:?}");
    }
    assert_eq!(setup.service.runs("k"), runs);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_ticket_nothing_runs() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let reply = setup.caller.post(setup.hosts[0].listen, PATH, &[], &json!({"key": "k"})).await;
    assert_eq!((reply.status, reply.text("kind")), (428, "ticket_required"));
    assert_eq!((reply.text("ran"), setup.service.runs("k")), ("not_run", 0));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_at_all_hosts_at_once_share_one_run() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    setup.service.set_fault(ServiceFault::Slow(300));
    let ticket = setup.ticket().await;
    let shows = (0..8).map(|i| {
        let (caller, ticket) = (setup.caller.clone(), ticket.clone());
        let listen = setup.hosts[i % 2].listen;
        tokio::spawn(
            async move { caller.redeem(listen, PATH, &ticket, &json!({"key": "k"})).await },
        )
    });
    for show in shows.collect::<Vec<_>>() {
        let reply = show.await?;
        assert_eq!((reply.status, &reply.body["runs"]), (200, &json!(1)), "{reply:?}");
    }
    assert_eq!(setup.service.runs("k"), 1);
    Ok(())
}

#[rstest]
#[case::killed(false)]
#[case::killed_and_started_again(true)]
#[tokio::test(flavor = "multi_thread")]
async fn when_the_minter_is_gone_the_end_is_unknown_and_nothing_runs(
    #[case] again: bool,
) -> anyhow::Result<()> {
    let mut setup = Setup::new().await?;
    let ticket = setup.ticket().await;
    setup.service.set_fault(ServiceFault::HangAfter);
    let listen = setup.hosts[0].listen;
    let (caller, shown) = (setup.caller.clone(), ticket.clone());
    let first =
        tokio::spawn(
            async move { caller.redeem(listen, PATH, &shown, &json!({"key": "k"})).await },
        );
    let service = &setup.service;
    assert!(cassia_trials::eventually(|| async { service.runs("k") == 1 }).await);
    setup.hosts[0].kill();
    first.await?;
    setup.service.set_fault(ServiceFault::None);
    if again {
        setup.hosts[0].restart()?;
        setup.trial.wait_until_ready(&setup.hosts[0]).await?;
        let reply = setup.show(0, &ticket).await;
        assert_eq!((reply.text("ran"), reply.text("kind")), ("unknown", "minter_gone"));
    }
    let reply = setup.show(1, &ticket).await;
    assert_eq!((reply.text("ran"), reply.text("kind")), ("unknown", "minter_gone"), "{reply:?}");
    assert_eq!(setup.service.runs("k"), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_minter_that_wakes_runs_it_once_at_most() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let ticket = setup.ticket().await;
    setup.hosts[0].freeze();
    let reply = setup.show(1, &ticket).await;
    assert_eq!(reply.text("ran"), "unknown", "{reply:?}");
    setup.hosts[0].resume();
    // What the frozen one had in its socket may run now; all retries together
    // still make one run.
    for host in [0, 1, 0] {
        let reply = setup.show(host, &ticket).await;
        assert_eq!((reply.status, &reply.body["runs"]), (200, &json!(1)), "{reply:?}");
    }
    assert_eq!(setup.service.runs("k"), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_that_is_refused_is_not_told_that_it_did_not_run() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let ticket = setup.ticket().await;
    assert_eq!(setup.show(0, &ticket).await.status, 200);
    // The contract changes between the attempts: the key is another one.
    let wrong = Caller::new("another key");
    let reply = wrong.redeem(setup.hosts[1].listen, PATH, &ticket, &json!({"key": "k"})).await;
    assert_eq!((reply.status, reply.text("ran")), (401, "unknown"), "{reply:?}");
    // The service leaves: the answer that is remembered is given all the same.
    setup.trial.list.remove("status-1");
    setup.trial.wait_for_view(&setup.hosts[0], 0, 1).await?;
    let reply = setup.show(1, &ticket).await;
    assert_eq!((reply.status, &reply.body["runs"]), (200, &json!(1)), "{reply:?}");
    // A ticket that was never used is told the truth: it did not run.
    let unused = setup.ticket().await;
    let reply = setup.show(1, &unused).await;
    assert_eq!((reply.text("kind"), reply.text("ran")), ("no_target", "not_run"), "{reply:?}");
    Ok(())
}
