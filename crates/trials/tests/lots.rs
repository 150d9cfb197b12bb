//! Trainers' lots from real processes that die, freeze and are cut off.

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

const PATIENCE: Duration = Duration::from_secs(40);
const BOUND: u64 = 2;

struct Setup {
    trial: TestEnv,
    engines: Vec<EngineStandin>,
    hosts: Vec<Process>,
}

impl Setup {
    async fn new(hosts: usize) -> anyhow::Result<Self> {
        let trial = TestEnv::start().await?;
        let mut engines = Vec::new();
        for i in 0..2 {
            let spec = trial.engine_spec("suggestion");
            engines.push(trial.start_engine(&format!("suggestion-{i}"), spec).await?);
        }
        let mut started = Vec::new();
        for i in 0..hosts {
            started.push(trial.start_rollout(&format!("h{i}")).await?);
        }
        let contract = Contract { staleness_bound: BOUND, ..savanna() };
        let revision = trial.publish(&contract, 0).await?;
        for host in &started {
            trial.wait_until_in_force(host, "savanna", revision).await?;
            trial.wait_for_view(host, 2, hosts as u64 - 1).await?;
        }
        Ok(Self { trial, engines, hosts: started })
    }

    fn trainer(&self) -> TrainerStandin {
        let hosts = self.hosts.iter().map(|host| host.listen).collect();
        TrainerStandin::new("savanna", "suggestion-trainer", SAVANNA_KEY, hosts).with_prompts(2, 4)
    }
}

fn check(samples: &[Sample], version: u64) {
    assert_eq!(samples.len(), 8);
    for sample in samples {
        assert!(sample.label.staleness(version) <= BOUND, "{sample:?}");
        let tokens: u32 = sample.label.spans.iter().map(|span| span.tokens).sum();
        assert_eq!(tokens, 16, "{sample:?}");
        assert_eq!(sample.text.split_whitespace().count(), 16, "{sample:?}");
    }
}

fn each_once(trainer: &TrainerStandin, lots: usize) {
    assert_eq!(trainer.sample_counts.len(), 8 * lots);
    assert!(trainer.sample_counts.values().all(|&times| times == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn lots_go_on_when_hosts_die_and_engines_crash() -> anyhow::Result<()> {
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
        let got = trainer.step(PATIENCE).await.expect("a lot");
        check(&got.samples, trainer.version);
    }
    each_once(&trainer, 6);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lot_whose_answer_is_lost_is_handed_over_again_and_once() -> anyhow::Result<()> {
    let setup = Setup::new(2).await?;
    let mut trainer = setup.trainer();
    trainer.step(PATIENCE).await.expect("a first lot");
    let mut lost = None;
    while lost.is_none() {
        lost = trainer.pull().await;
    }
    // The trainer never saw it and asks again.
    let got = trainer.step(PATIENCE).await.expect("the same lot");
    let lost: Vec<Sample> = serde_json::from_value(lost.expect("a lot")["samples"].clone())?;
    assert_eq!(got.samples, lost);
    each_once(&trainer, 2);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_trainer_that_crashes_mid_step_goes_on_from_its_checkpoint() -> anyhow::Result<()> {
    let setup = Setup::new(2).await?;
    let mut trainer = setup.trainer();
    trainer.step(PATIENCE).await.expect("a lot");
    let checkpoint = trainer.checkpoint();
    let seen = trainer.sample_counts.clone();
    let undone = trainer.step(PATIENCE).await.expect("another lot");
    // The step is undone: what it saw doesn't count.
    trainer.restore(checkpoint);
    trainer.sample_counts = seen;
    let again = trainer.step(PATIENCE).await.expect("a lot for the same step");
    let prompts = |samples: &[Sample]| samples.iter().map(|s| s.prompt).collect::<Vec<_>>();
    assert_eq!(prompts(&undone.samples), prompts(&again.samples));
    trainer.step(PATIENCE).await.expect("the next lot");
    each_once(&trainer, 3);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_keeper_is_replaced_and_wakes_without_harm() -> anyhow::Result<()> {
    let setup = Setup::new(2).await?;
    let mut trainer = setup.trainer();
    trainer.step(PATIENCE).await.expect("a lot");
    for host in [0, 1] {
        setup.hosts[host].freeze();
        let got = trainer.step(PATIENCE).await.expect("a lot from the other");
        check(&got.samples, trainer.version);
        setup.hosts[host].resume();
        let got = trainer.step(PATIENCE).await.expect("a lot after it woke");
        check(&got.samples, trainer.version);
    }
    each_once(&trainer, 5);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn trainers_do_not_stand_still_while_the_log_is_down() -> anyhow::Result<()> {
    let setup = Setup::new(1).await?;
    let mut trainer = setup.trainer();
    trainer.step(PATIENCE).await.expect("a lot");
    setup.trial.log.set_down(true);
    let appends = setup.trial.log.append_count();
    for _ in 0..3 {
        trainer.step(PATIENCE).await.expect("a lot in the outage");
    }
    assert_eq!(setup.trial.log.append_count(), appends);
    each_once(&trainer, 4);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_too_old_is_handed_over_when_the_trainer_runs_ahead() -> anyhow::Result<()> {
    let setup = Setup::new(1).await?;
    let mut trainer = setup.trainer();
    trainer.step(PATIENCE).await.expect("a lot");
    // The engines stay at version 1; up to the bound their samples are good.
    trainer.version = 1 + BOUND;
    let got = trainer.step(PATIENCE).await.expect("a lot at the bound");
    check(&got.samples, trainer.version);
    trainer.version += 1;
    assert!(trainer.step(Duration::from_secs(5)).await.is_none(), "too old a lot");
    // As soon as an engine has newer weights there are lots again.
    setup.trial.weights.publish("suggestion", trainer.version);
    let _control = setup.trial.start_control("h9").await?;
    let got = trainer.step(PATIENCE).await.expect("a lot of the new weights");
    check(&got.samples, trainer.version);
    each_once(&trainer, 3);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn samples_of_a_swap_that_failed_partway_are_none() -> anyhow::Result<()> {
    let setup = Setup::new(1).await?;
    let mut trainer = setup.trainer();
    trainer.step(PATIENCE).await.expect("a lot");
    setup.engines[0].set_faults(EngineFaults { activation_fails: true, ..EngineFaults::default() });
    setup.trial.weights.publish("suggestion", 2);
    let _control = setup.trial.start_control("h9").await?;
    let engine = &setup.engines[0];
    assert!(cassia_trials::eventually(|| async { engine.version().is_none() }).await);
    trainer.version = 2;
    for _ in 0..3 {
        let got = trainer.step(PATIENCE).await.expect("a lot");
        check(&got.samples, 2);
    }
    // Once the fault is over, the engine is swapped again and is of use.
    engine.set_faults(EngineFaults::default());
    assert!(cassia_trials::eventually(|| async { engine.version() == Some(2) }).await);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_a_pull_in_flight_and_all_samples_on() -> anyhow::Result<()> {
    let mut setup = Setup::new(2).await?;
    let mut trainer = setup.trainer();
    trainer.step(PATIENCE).await.expect("a lot");
    for stopping in [0, 1, 0] {
        // A pull waits at either host while one of them stops.
        let pull = trainer.pull();
        setup.hosts[stopping].terminate();
        let lot = pull.await.expect("the pull in flight is answered with a lot");
        let step = trainer.train_on(&lot);
        check(&step.samples, trainer.version);
        let ended = setup.hosts[stopping].wait(PATIENCE).await.expect("an end");
        assert!(ended.success(), "{ended:?}");
        let host = &mut setup.hosts[stopping];
        host.restart()?;
        setup.trial.wait_for_view(&setup.hosts[stopping], 2, 1).await?;
        setup.trial.wait_for_view(&setup.hosts[1 - stopping], 2, 1).await?;
    }
    each_once(&trainer, 4);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_break_are_resumed_with_their_labels() -> anyhow::Result<()> {
    let setup = Setup::new(1).await?;
    let broken = EngineFaults { reset_after_tokens: Some(8), ..EngineFaults::default() };
    setup.engines[0].set_faults(broken);
    let mut trainer = setup.trainer();
    for _ in 0..3 {
        let got = trainer.step(PATIENCE).await.expect("a lot");
        check(&got.samples, trainer.version);
    }
    each_once(&trainer, 3);
    Ok(())
}
