//! Lots that trainers pull from rollout processes that are killed, frozen or
//! stopped.

use std::time::Duration;

use cassia_contract::Contract;
use cassia_sample::Sample;
use cassia_standin::EngineFaults;
use cassia_standin::EngineStandin;
use cassia_standin::TrainerStandin;
use cassia_trials::Process;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::savanna;

const STEP_TIMEOUT: Duration = Duration::from_secs(40);
const STALENESS_BOUND: u64 = 2;

struct Setup {
    env: TestEnv,
    engines: Vec<EngineStandin>,
    hosts: Vec<Process>,
}

impl Setup {
    async fn new(hosts: usize) -> anyhow::Result<Self> {
        let env = TestEnv::start().await?;
        let mut engines = Vec::new();
        for i in 0..2 {
            let spec = env.engine_spec("suggestion");
            engines.push(env.start_engine(&format!("suggestion-{i}"), spec).await?);
        }
        let mut started = Vec::new();
        for i in 0..hosts {
            started.push(env.start_rollout(&format!("h{i}")).await?);
        }
        let contract = Contract { staleness_bound: STALENESS_BOUND, ..savanna() };
        let revision = env.publish(&contract, 0).await?;
        for host in &started {
            env.wait_until_in_force(host, "savanna", revision).await?;
            env.wait_for_view(host, 2, hosts as u64 - 1).await?;
        }
        Ok(Self { env, engines, hosts: started })
    }

    fn trainer(&self) -> TrainerStandin {
        let hosts = self.hosts.iter().map(|host| host.listen).collect();
        TrainerStandin::new("savanna", "suggestion-trainer", SAVANNA_KEY, hosts).with_prompts(2, 4)
    }
}

/// Checks that the samples are complete and within the staleness bound.
fn assert_complete(samples: &[Sample], version: u64) {
    assert_eq!(samples.len(), 8);
    for sample in samples {
        assert!(sample.label.staleness(version) <= STALENESS_BOUND, "{sample:?}");
        let tokens: u32 = sample.label.spans.iter().map(|span| span.tokens).sum();
        assert_eq!(tokens, 16, "{sample:?}");
        assert_eq!(sample.text.split_whitespace().count(), 16, "{sample:?}");
    }
}

/// Checks that the trainer has seen each sample of its lots exactly once.
fn assert_each_sample_once(trainer: &TrainerStandin, lots: usize) {
    assert_eq!(trainer.sample_counts.len(), 8 * lots);
    assert!(trainer.sample_counts.values().all(|&times| times == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn lots_continue_when_hosts_die_and_engines_crash() -> anyhow::Result<()> {
    let mut setup = Setup::new(2).await?;
    let mut trainer = setup.trainer();
    for step in 0..6 {
        match step {
            1 => setup.hosts[0].kill(),
            2 => setup.hosts[0].restart()?,
            3 => setup.hosts[1].kill(),
            4 => setup.engines[0].crash(),
            _ => {}
        }
        let got = trainer.step(STEP_TIMEOUT).await.expect("a lot");
        assert_complete(&got.samples, trainer.version);
    }
    assert_each_sample_once(&trainer, 6);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lot_whose_response_is_lost_is_returned_again() -> anyhow::Result<()> {
    let setup = Setup::new(2).await?;
    let mut trainer = setup.trainer();
    trainer.step(STEP_TIMEOUT).await.expect("a first lot");
    let mut lost = None;
    while lost.is_none() {
        lost = trainer.pull().await;
    }
    // The trainer has not trained on the lost lot and pulls again.
    let got = trainer.step(STEP_TIMEOUT).await.expect("the same lot");
    let lost: Vec<Sample> = serde_json::from_value(lost.expect("a lot")["samples"].clone())?;
    assert_eq!(got.samples, lost);
    assert_each_sample_once(&trainer, 2);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_trainer_that_crashes_mid_step_resumes_from_its_checkpoint() -> anyhow::Result<()> {
    let setup = Setup::new(2).await?;
    let mut trainer = setup.trainer();
    trainer.step(STEP_TIMEOUT).await.expect("a lot");
    let checkpoint = trainer.checkpoint();
    let seen = trainer.sample_counts.clone();
    let undone = trainer.step(STEP_TIMEOUT).await.expect("another lot");
    // The step is rolled back: its samples are not counted.
    trainer.restore(checkpoint);
    trainer.sample_counts = seen;
    let again = trainer.step(STEP_TIMEOUT).await.expect("a lot for the same step");
    let prompts = |samples: &[Sample]| samples.iter().map(|s| s.prompt).collect::<Vec<_>>();
    assert_eq!(prompts(&undone.samples), prompts(&again.samples));
    trainer.step(STEP_TIMEOUT).await.expect("the next lot");
    assert_each_sample_once(&trainer, 3);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_process_is_replaced_and_resumes_without_duplicates() -> anyhow::Result<()> {
    let setup = Setup::new(2).await?;
    let mut trainer = setup.trainer();
    trainer.step(STEP_TIMEOUT).await.expect("a lot");
    for host in [0, 1] {
        setup.hosts[host].freeze();
        let got = trainer.step(STEP_TIMEOUT).await.expect("a lot from the other host");
        assert_complete(&got.samples, trainer.version);
        setup.hosts[host].resume();
        let got = trainer.step(STEP_TIMEOUT).await.expect("a lot after it resumed");
        assert_complete(&got.samples, trainer.version);
    }
    assert_each_sample_once(&trainer, 5);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn lots_continue_in_a_log_outage() -> anyhow::Result<()> {
    let setup = Setup::new(1).await?;
    let mut trainer = setup.trainer();
    trainer.step(STEP_TIMEOUT).await.expect("a lot");
    setup.env.log.set_down(true);
    let appends = setup.env.log.append_count();
    for _ in 0..3 {
        trainer.step(STEP_TIMEOUT).await.expect("a lot in the outage");
    }
    assert_eq!(setup.env.log.append_count(), appends);
    assert_each_sample_once(&trainer, 4);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn no_lot_exceeds_the_staleness_bound_when_the_trainer_is_ahead() -> anyhow::Result<()> {
    let setup = Setup::new(1).await?;
    let mut trainer = setup.trainer();
    trainer.step(STEP_TIMEOUT).await.expect("a lot");
    // The engines stay at version 1; their samples are valid up to the bound.
    trainer.version = 1 + STALENESS_BOUND;
    let got = trainer.step(STEP_TIMEOUT).await.expect("a lot at the bound");
    assert_complete(&got.samples, trainer.version);
    trainer.version += 1;
    assert!(trainer.step(Duration::from_secs(5)).await.is_none(), "a lot beyond the bound");
    // Lots resume as soon as an engine has newer weights.
    setup.env.weights.publish("suggestion", trainer.version);
    let _control = setup.env.start_control("h9").await?;
    let got = trainer.step(STEP_TIMEOUT).await.expect("a lot of the new weights");
    assert_complete(&got.samples, trainer.version);
    assert_each_sample_once(&trainer, 3);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_with_a_failed_activation_contributes_no_samples() -> anyhow::Result<()> {
    let setup = Setup::new(1).await?;
    let mut trainer = setup.trainer();
    trainer.step(STEP_TIMEOUT).await.expect("a lot");
    setup.engines[0].set_faults(EngineFaults { activation_fails: true, ..EngineFaults::default() });
    setup.env.weights.publish("suggestion", 2);
    let _control = setup.env.start_control("h9").await?;
    let engine = &setup.engines[0];
    assert!(cassia_trials::eventually(|| async { engine.version().is_none() }).await);
    trainer.version = 2;
    for _ in 0..3 {
        let got = trainer.step(STEP_TIMEOUT).await.expect("a lot");
        assert_complete(&got.samples, 2);
    }
    // Once the fault is cleared, the activation is retried and succeeds.
    engine.set_faults(EngineFaults::default());
    assert!(cassia_trials::eventually(|| async { engine.version() == Some(2) }).await);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_completes_the_pull_in_flight_and_transfers_all_samples()
-> anyhow::Result<()> {
    let mut setup = Setup::new(2).await?;
    let mut trainer = setup.trainer();
    trainer.step(STEP_TIMEOUT).await.expect("a lot");
    for stopping in [0, 1, 0] {
        // A pull is waiting at one of the hosts while one of them stops.
        let pull = trainer.pull();
        setup.hosts[stopping].terminate();
        let lot = pull.await.expect("the pull in flight is answered with a lot");
        let step = trainer.train_on(&lot);
        assert_complete(&step.samples, trainer.version);
        let status = setup.hosts[stopping].wait(STEP_TIMEOUT).await.expect("the process exits");
        assert!(status.success(), "{status:?}");
        let host = &mut setup.hosts[stopping];
        host.restart()?;
        setup.env.wait_for_view(&setup.hosts[stopping], 2, 1).await?;
        setup.env.wait_for_view(&setup.hosts[1 - stopping], 2, 1).await?;
    }
    assert_each_sample_once(&trainer, 4);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn reset_streams_are_resumed_with_their_labels() -> anyhow::Result<()> {
    let setup = Setup::new(1).await?;
    let faults = EngineFaults { reset_after_tokens: Some(8), ..EngineFaults::default() };
    setup.engines[0].set_faults(faults);
    let mut trainer = setup.trainer();
    for _ in 0..3 {
        let got = trainer.step(STEP_TIMEOUT).await.expect("a lot");
        assert_complete(&got.samples, trainer.version);
    }
    assert_each_sample_once(&trainer, 3);
    Ok(())
}
