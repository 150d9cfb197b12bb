//! One trial: the stand-ins, and the processes that were started.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use anyhow::ensure;
use cassia_contract::Contract;
use cassia_platform::HttpPlatform;
use cassia_platform::Log;
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
/// How long a trial waits for what must come about in the end. It is no bound
/// on any promise: those are checked on their own.
const PATIENCE: Duration = Duration::from_mins(1);

/// The platform's stand-ins, and what is needed to start processes.
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
    /// More flags for every process.
    pub flags: Vec<String>,
}

/// Asks again and again until the answer is yes; false if it never is.
pub async fn eventually<F: Future<Output = bool>>(mut ask: impl FnMut() -> F) -> bool {
    let until = Instant::now() + PATIENCE;
    loop {
        if ask().await {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

impl TestEnv {
    /// Starts the platform's stand-ins, with two replicas of the list.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start() -> io::Result<Self> {
        Ok(Self {
            log: LogStandin::start().await?,
            list: TargetListStandin::start(2).await?,
            weights: WeightStoreStandin::start(20).await?,
            scorer: ScorerStandin::start().await?,
            flags: vec!["--drain-lag-ms=200".to_owned()],
        })
    }

    /// Describes an engine as the trials mostly want it.
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
    /// No port can be had.
    pub async fn start_engine(&self, id: &str, spec: EngineSpec) -> io::Result<EngineStandin> {
        let model = spec.model.clone();
        let slots = u32::try_from(spec.slots).unwrap_or(u32::MAX);
        let checks_fence = spec.checks_fence;
        let engine = EngineStandin::start(spec).await?;
        let what = TargetKind::Engine { model };
        self.list.put(TargetInfo { checks_fence, slots, ..listed(id, engine.addr(), what) });
        Ok(engine)
    }

    /// Starts an instance of a plain service and lists it.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start_service(&self, id: &str, name: &str) -> io::Result<ServiceStandin> {
        let service = ServiceStandin::start().await?;
        let what = TargetKind::Service { name: name.into() };
        self.list.put(listed(id, service.addr(), what));
        Ok(service)
    }

    /// Lists a target that was started apart, such as one behind a proxy.
    pub fn list_target(&self, id: &str, addr: SocketAddr, what: TargetKind) {
        self.list.put(listed(id, addr, what));
    }

    /// Runs the operators' program on the log, and gives its exit code and
    /// what it printed as JSON.
    ///
    /// # Errors
    ///
    /// It can't be run.
    pub async fn run_cassiactl(&self, arguments: &[&str]) -> anyhow::Result<(Option<i32>, Value)> {
        let log = self.log.addr().to_string();
        let output = tokio::process::Command::new(program_path("cassiactl")?)
            .env("CASSIA_LOG", log)
            .arg("--json")
            .args(arguments)
            .output()
            .await?;
        let printed = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
        Ok((output.status.code(), printed))
    }

    /// Starts an entry process and waits until it answers operators.
    ///
    /// # Errors
    ///
    /// It doesn't start.
    pub async fn start_entry(&self, host: &str) -> anyhow::Result<Process> {
        self.start_process("cassia-entry", host, DATA_CENTRE, &[]).await
    }

    /// Starts a rollout process and waits until it answers operators.
    ///
    /// # Errors
    ///
    /// It doesn't start.
    pub async fn start_rollout(&self, host: &str) -> anyhow::Result<Process> {
        self.start_process("cassia-rollout", host, DATA_CENTRE, &[]).await
    }

    /// Starts a control process and waits until it answers operators.
    ///
    /// # Errors
    ///
    /// It doesn't start.
    pub async fn start_control(&self, host: &str) -> anyhow::Result<Process> {
        self.start_process("cassia-control", host, DATA_CENTRE, &[]).await
    }

    /// Starts a process in a data centre, with more flags or others.
    ///
    /// # Errors
    ///
    /// It doesn't start.
    pub async fn start_process(
        &self,
        name: &'static str,
        host: &str,
        data_centre: &str,
        more: &[&str],
    ) -> anyhow::Result<Process> {
        let mut flags = self.platform_flags();
        for flag in more {
            let name = flag.split_inclusive('=').next().unwrap_or(flag);
            flags.retain(|f| !f.starts_with(name));
            flags.push((*flag).to_owned());
        }
        let mut process = Process::start(name, host, data_centre, &flags)?;
        self.list.add_peer(process.link);
        let ops = process.ops;
        let up = eventually(|| async move { operator().get(ops, "/health").await.status == 200 });
        if !up.await {
            let ended = process.wait(Duration::ZERO).await;
            bail!("{name} on {host} doesn't answer at {ops}; ended: {ended:?}");
        }
        Ok(process)
    }

    /// Waits until a process is ready for requests.
    ///
    /// # Errors
    ///
    /// It doesn't become ready.
    pub async fn wait_until_ready(&self, process: &Process) -> anyhow::Result<()> {
        let ops = process.ops;
        let ready = eventually(|| async move { operator().get(ops, "/ready").await.status == 200 });
        ensure!(ready.await, "the process at {ops} doesn't become ready");
        Ok(())
    }

    /// Waits until a process has this many open targets and live peers.
    ///
    /// # Errors
    ///
    /// It never has.
    pub async fn wait_for_view(
        &self,
        process: &Process,
        targets: u64,
        peers: u64,
    ) -> anyhow::Result<()> {
        let ops = process.ops;
        let sees = eventually(|| async move {
            let state = operator().get(ops, "/state").await.body;
            state["targets"]["count"] == targets && state["peers"]["count"] == peers
        });
        if !sees.await {
            let state = operator().get(ops, "/state").await.body;
            bail!("not {targets} targets and {peers} peers: {state}");
        }
        Ok(())
    }

    /// Publishes a contract as the operators' program does, and gives its
    /// revision if it is accepted.
    ///
    /// # Errors
    ///
    /// The log doesn't take it.
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

    /// Waits until a process has a customer's revision in force.
    ///
    /// # Errors
    ///
    /// It never has.
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

/// Reads a customer's revision from a process's state.
#[must_use]
pub fn contract_revision(state: &Value, customer: &str) -> Option<u64> {
    let contracts = state["config"]["contracts"].as_array()?;
    contracts.iter().find(|c| c["customer"] == customer)?["revision"].as_u64()
}

/// Asks a process for its state, and doesn't let one lost answer use up the
/// patience of a whole trial.
fn operator() -> Caller {
    Caller::new("").with_timeout_s(3)
}

fn listed(id: &str, addr: SocketAddr, what: TargetKind) -> TargetInfo {
    TargetInfo {
        id: id.into(),
        addr,
        data_centre: DATA_CENTRE.into(),
        kind: what,
        incarnation: 1,
        leaving: false,
        slots: 8,
        checks_fence: true,
    }
}
