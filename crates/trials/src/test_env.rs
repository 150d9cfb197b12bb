//! A test environment: stand-ins of the outside systems, and starters of the
//! programs that use them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use anyhow::ensure;
use cassia_clients::HttpPlatform;
use cassia_clients::Log;
use cassia_contract::Contract;
use cassia_route::TargetInfo;
use cassia_route::TargetKind;
use cassia_standin::EngineSpec;
use cassia_standin::EngineStandin;
use cassia_standin::LogStandin;
use cassia_standin::ScorerStandin;
use cassia_standin::ServiceStandin;
use cassia_standin::TargetListStandin;
use cassia_standin::WeightStoreStandin;
use serde_json::Value;
use serde_json::json;

use crate::Caller;
use crate::Process;
use crate::process::program_path;

const DATA_CENTRE: &str = "dc1";
/// How long a test waits for a condition that must hold in the end. It bounds
/// no guarantee of the product: tests check those on their own.
const EVENTUALLY_TIMEOUT: Duration = Duration::from_mins(1);

/// The stand-ins of the outside systems, and the flags to start processes.
#[derive(Debug)]
pub struct TestEnv {
    /// The log.
    pub log: LogStandin,
    /// The list of targets.
    pub list: TargetListStandin,
    /// The weight store.
    pub weights: WeightStoreStandin,
    /// The scorer.
    pub scorer: ScorerStandin,
    /// Additional flags for every process.
    pub flags: Vec<String>,
}

/// Polls a condition until it holds; false if it doesn't within a minute.
pub async fn eventually<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) -> bool {
    let deadline = Instant::now() + EVENTUALLY_TIMEOUT;
    loop {
        if condition().await {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

impl TestEnv {
    /// Starts the stand-ins, with two replicas of the list of targets.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Ok(Self {
            log: LogStandin::start().await?,
            list: TargetListStandin::start(2).await?,
            weights: WeightStoreStandin::start(20).await?,
            scorer: ScorerStandin::start().await?,
            flags: vec!["--drain-lag-ms=200".to_owned()],
        })
    }

    /// Returns the usual configuration of an engine.
    #[must_use]
    pub fn engine_spec(&self, model: &str) -> EngineSpec {
        EngineSpec {
            model: model.into(),
            version: 1,
            slots: 8,
            token_us: 500,
            activation_ms: 20,
            checks_fence: true,
            weight_store: Some(self.weights.addr()),
        }
    }

    /// Starts an engine and lists it.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start_engine(&self, id: &str, spec: EngineSpec) -> io::Result<EngineStandin> {
        let model = spec.model.clone();
        let slots = u32::try_from(spec.slots).unwrap_or(u32::MAX);
        let checks_fence = spec.checks_fence;
        let engine = EngineStandin::start(spec).await?;
        let kind = TargetKind::Engine { model };
        self.list.put(TargetInfo { checks_fence, slots, ..target_info(id, engine.addr(), kind) });
        Ok(engine)
    }

    /// Starts an instance of a plain service and lists it.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start_service(&self, id: &str, name: &str) -> io::Result<ServiceStandin> {
        let service = ServiceStandin::start().await?;
        let kind = TargetKind::Service { name: name.into() };
        self.list.put(target_info(id, service.addr(), kind));
        Ok(service)
    }

    /// Lists a target at this address, such as one behind a proxy.
    pub fn list_target(&self, id: &str, addr: SocketAddr, kind: TargetKind) {
        self.list.put(target_info(id, addr, kind));
    }

    /// Runs `cassiactl` with the log's address, and returns its exit code and
    /// its JSON output.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be run.
    pub async fn run_cassiactl(&self, args: &[&str]) -> anyhow::Result<(Option<i32>, Value)> {
        let log = self.log.addr().to_string();
        let output = tokio::process::Command::new(program_path("cassiactl")?)
            .env("CASSIA_LOG", log)
            .arg("--json")
            .args(args)
            .output()
            .await?;
        let json = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
        Ok((output.status.code(), json))
    }

    /// Starts an entry process and waits until its health endpoint responds.
    ///
    /// # Errors
    ///
    /// Fails if the process doesn't start.
    pub async fn start_entry(&self, host: &str) -> anyhow::Result<Process> {
        self.start_process("cassia-entry", host, DATA_CENTRE, &[]).await
    }

    /// Starts a rollout process and waits until its health endpoint responds.
    ///
    /// # Errors
    ///
    /// Fails if the process doesn't start.
    pub async fn start_rollout(&self, host: &str) -> anyhow::Result<Process> {
        self.start_process("cassia-rollout", host, DATA_CENTRE, &[]).await
    }

    /// Starts a control process and waits until its health endpoint responds.
    ///
    /// # Errors
    ///
    /// Fails if the process doesn't start.
    pub async fn start_control(&self, host: &str) -> anyhow::Result<Process> {
        self.start_process("cassia-control", host, DATA_CENTRE, &[]).await
    }

    /// Starts a process in a data centre; `overrides` are flags that are added
    /// or replace those of the same name.
    ///
    /// # Errors
    ///
    /// Fails if the process doesn't start.
    pub async fn start_process(
        &self,
        program: &'static str,
        host: &str,
        data_centre: &str,
        overrides: &[&str],
    ) -> anyhow::Result<Process> {
        let mut flags = self.platform_flags();
        for flag in overrides {
            let name = flag.split_inclusive('=').next().unwrap_or(flag);
            flags.retain(|f| !f.starts_with(name));
            flags.push((*flag).to_owned());
        }
        let mut process = Process::start(program, host, data_centre, &flags)?;
        self.list.add_peer(process.link);
        let ops = process.ops;
        let healthy =
            eventually(|| async move { operator().get(ops, "/health").await.status == 200 });
        if !healthy.await {
            let exit_status = process.wait(Duration::ZERO).await;
            let errors = process.errors();
            bail!("{program} on {host} doesn't respond at {ops}; ended: {exit_status:?} {errors}");
        }
        Ok(process)
    }

    /// Waits until a process is ready for requests.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't become ready in time.
    pub async fn wait_until_ready(&self, process: &Process) -> anyhow::Result<()> {
        let ops = process.ops;
        let ready = eventually(|| async move { operator().get(ops, "/ready").await.status == 200 });
        ensure!(ready.await, "the process at {ops} doesn't become ready");
        Ok(())
    }

    /// Waits until a process has this many open targets and live peers in its
    /// view.
    ///
    /// # Errors
    ///
    /// Fails if it hasn't in time.
    pub async fn wait_for_view(
        &self,
        process: &Process,
        targets: u64,
        peers: u64,
    ) -> anyhow::Result<()> {
        let ops = process.ops;
        let matches = eventually(|| async move {
            let state = operator().get(ops, "/state").await.body;
            state["targets"]["count"] == targets && state["peers"]["count"] == peers
        });
        if !matches.await {
            let state = operator().get(ops, "/state").await.body;
            bail!("not {targets} targets and {peers} peers: {state}");
        }
        Ok(())
    }

    /// Publishes a contract as `cassiactl` does, and returns the revision that
    /// it has if it is accepted. The publish id consists of the customer and
    /// the amended revision.
    ///
    /// # Errors
    ///
    /// Fails if the append to the log fails.
    pub async fn publish(&self, contract: &Contract, amends: u64) -> anyhow::Result<u64> {
        let log = HttpPlatform::default().log(self.log.addr());
        let record = json!({
            "record": "publish",
            "publish_id": format!("{}-{amends}", contract.customer),
            "customer": contract.customer,
            "amends": amends,
            "contract": contract,
        });
        Ok(log.append("config", record.to_string()).await? + 1)
    }

    /// Waits until a revision of a customer's contract is in force in a process.
    ///
    /// # Errors
    ///
    /// Fails if it isn't in time.
    pub async fn wait_until_in_force(
        &self,
        process: &Process,
        customer: &str,
        revision: u64,
    ) -> anyhow::Result<()> {
        let ops = process.ops;
        let in_force = eventually(|| async move {
            contract_revision(&operator().get(ops, "/state").await.body, customer) == Some(revision)
        });
        ensure!(in_force.await, "revision {revision} of {customer} is not in force at {ops}");
        Ok(())
    }

    fn platform_flags(&self) -> Vec<String> {
        let join = |addrs: Vec<SocketAddr>| {
            addrs.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(",")
        };
        let mut flags = vec![
            format!("--log={}", self.log.addr()),
            format!("--list={}", join(self.list.addrs())),
            format!("--weights={}", self.weights.addr()),
            format!("--scorer={}", self.scorer.addr()),
        ];
        flags.extend(self.flags.iter().cloned());
        flags
    }
}

/// Returns the revision of a customer's contract in a process's state.
#[must_use]
pub fn contract_revision(state: &Value, customer: &str) -> Option<u64> {
    let contracts = state["config"]["contracts"].as_array()?;
    contracts.iter().find(|c| c["customer"] == customer)?["revision"].as_u64()
}

/// Returns a client for operators' endpoints. Its timeout is short, so that
/// one lost response doesn't use up the time of a whole test.
fn operator() -> Caller {
    Caller::new("").with_timeout_s(3)
}

fn target_info(id: &str, addr: SocketAddr, kind: TargetKind) -> TargetInfo {
    TargetInfo {
        id: id.into(),
        addr,
        data_centre: DATA_CENTRE.into(),
        software: "v1".into(),
        kind,
        incarnation: 1,
        leaving: false,
        slots: 8,
        checks_fence: true,
    }
}
