//! Orders for engines on the platform's stand-ins: an order is made once, whatever
//! happens to the host that orders, and only where the configuration asks for it.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::CapacityOrder;
use cassia_scaling::OrderState;
use cassia_scaling::ScalingRecord;
use cassia_standin::PlatformApiFault;
use cassia_standin::PlatformApiStandin;
use cassia_standin::PlatformCall;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::platform_config;
use cassia_trials::start_processes;
use prost::Message;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

/// The minimum time between the calls of two holders.
const LEASE: Duration = Duration::from_secs(3);
/// How long another host takes to act: the lease's term, its wait and the time for
/// claims, with a margin for a busy machine.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(25);
const MAX_COUNT: u64 = 6;

struct Trial {
    env: PlatformEnv,
    api: PlatformApiStandin,
    processes: Vec<(String, Process)>,
}

/// Returns a configuration whose engines follow the demand.
fn config(scaling: Option<&Value>) -> Value {
    let mut config = platform_config(2, true);
    config["services"] = json!([{"name": "lm", "scaling": scaling}]);
    config
}

fn limits() -> Value {
    json!({"min_count": 0, "max_count": MAX_COUNT, "boot_s": 1, "spot_price": 0.2,
        "zone_prices": {"z1": 1.0, "z2": 1.1, "z3": 1.2}})
}

impl Trial {
    /// Starts processes, with one engine that has eight slots.
    async fn start(processes: usize, scaling: Option<Value>) -> anyhow::Result<Self> {
        let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
        let api = PlatformApiStandin::start(LEASE).await?;
        let mut trial = Self { env, api, processes: Vec::new() };
        trial.start_hosts(processes, scaling).await?;
        Ok(trial)
    }

    async fn start_hosts(&mut self, count: usize, scaling: Option<Value>) -> anyhow::Result<()> {
        self.env.store.put("keyed.op", "config", Some(&config(scaling.as_ref())));
        self.env.flags =
            vec![format!("--platform-api={}", self.api.addr()), "--duties=scale".to_owned()];
        self.processes = start_processes(&self.env, count).await?;
        Ok(())
    }

    /// Submits a job whose items take longer than the trial.
    async fn submit(&self, items: usize) {
        self.env.targets[0].set_delay(Duration::from_secs(3));
        let job = batch_job("j", items, 1);
        let response = self.env.submit_job(&self.processes[0].1, "j", &job).await;
        assert_eq!(response.status, 202);
    }

    async fn wait_for_calls(&self, count: usize) -> anyhow::Result<Vec<PlatformCall>> {
        let limit = Instant::now() + TAKEOVER_LIMIT;
        loop {
            let calls = self.api.calls();
            if calls.len() >= count {
                return Ok(calls);
            }
            anyhow::ensure!(Instant::now() < limit, "{count} calls expected: {calls:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the records of orders in the store.
    fn records(&self) -> Vec<ScalingRecord> {
        let records = self.env.store.records("scaling", 0);
        records.into_iter().map(|record| ScalingRecord::decode(record).expect("a record")).collect()
    }

    fn kill_holder(&mut self, holder: &str) {
        let index = self.processes.iter().position(|(host, _)| host == holder);
        let (_, mut process) = self.processes.remove(index.expect("the holder"));
        process.kill();
    }

    fn assert_no_violations(&self) {
        assert_eq!(self.api.violations(), Vec::<String>::new());
    }
}

/// Load: a job of 64 items at one engine with eight slots. Guards against orders
/// that only follow once items are late, against an order that is not recorded, and
/// against more engines than the limits allow. A new engine gets items at once.
#[tokio::test]
async fn engines_are_ordered_when_a_job_comes() -> anyhow::Result<()> {
    let mut trial = Trial::start(2, Some(limits())).await?;
    trial.submit(64).await;
    trial.wait_for_calls(3).await?;
    sleep(Duration::from_secs(2)).await;
    let engine = trial.env.add_engine("e9", 6).await?;
    let has_work = || async { !engine.runs().is_empty() };
    assert!(eventually(has_work).await, "the new engine runs items");
    let calls = trial.api.calls();
    for call in &calls {
        assert_eq!(call.body["service"], "lm");
        assert!(call.body["group_count"].as_u64().expect("a number") <= MAX_COUNT, "{call:?}");
    }
    let ordered = |spot| {
        let counts = ["z1", "z2", "z3"].map(|zone| trial.api.target_count("lm", zone, spot));
        counts.into_iter().flatten().sum::<u64>()
    };
    let (on_demand, spot) = (ordered(false), ordered(true));
    assert!(on_demand >= 5 && spot > 0, "{on_demand} {spot}: {calls:?}");
    assert!(on_demand + spot >= 10, "64 items at a utilisation of 0.8: {calls:?}");
    let records = trial.records();
    let orders = records.iter().filter(|record| record.state() == OrderState::Ordered);
    let numbers: Vec<_> = orders.map(|record| record.number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    assert!(numbers.len() >= calls.len(), "each call is recorded before");
    trial.assert_no_violations();
    Ok(())
}

/// Configuration: without limits nothing is ordered. Guards against duties that act
/// in deployments that don't ask for them.
#[tokio::test]
async fn without_limits_nothing_is_ordered() -> anyhow::Result<()> {
    let trial = Trial::start(1, None).await?;
    trial.submit(64).await;
    sleep(Duration::from_secs(8)).await;
    assert_eq!(trial.api.calls(), Vec::new());
    assert_eq!(trial.env.store.records("keyed.demand", 0).len(), 0, "no reports either");
    Ok(())
}

/// Failure: the holder was killed between the record and the call. Guards against an
/// order that is made on top of the recorded one.
#[tokio::test]
async fn a_recorded_order_is_made_by_the_next_holder() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let order =
        CapacityOrder { service: "lm".into(), data_centre: "z2".into(), count: 3, spot: true };
    let record = ScalingRecord::new(41, &order, OrderState::Ordered, 1);
    env.store.append("scaling", 0, record.encode_to_vec().into());
    let api = PlatformApiStandin::start(LEASE).await?;
    let mut trial = Trial { env, api, processes: Vec::new() };
    trial.start_hosts(2, Some(limits())).await?;
    trial.submit(64).await;
    let calls = trial.wait_for_calls(2).await?;
    let expected = json!({"service": "lm", "zone": "z2", "group_count": 3, "spot": true});
    assert_eq!(calls[0].body, expected, "the recorded order comes first");
    let repeated = calls.iter().filter(|call| call.body == expected).count();
    assert_eq!(repeated, 1, "{calls:?}");
    let answered = || async {
        let accepted = |r: &ScalingRecord| r.number == 41 && r.state() == OrderState::Accepted;
        trial.records().iter().any(accepted)
    };
    assert!(eventually(answered).await, "its answer is recorded: {:?}", trial.records());
    trial.assert_no_violations();
    Ok(())
}

/// Failure: the order takes effect, its answer is lost, and then the holder is killed.
/// Guards against another count in the repeated order.
#[tokio::test]
async fn an_order_whose_answer_was_lost_is_repeated() -> anyhow::Result<()> {
    let mut trial = Trial::start(3, Some(limits())).await?;
    trial.api.set_fault(PlatformApiFault::HangAfter);
    trial.submit(64).await;
    let calls = trial.wait_for_calls(2).await?;
    let first = calls[0].clone();
    trial.kill_holder(&first.holder);
    let before = trial.api.calls().len();
    trial.api.set_fault(PlatformApiFault::None);
    let calls = trial.wait_for_calls(before + 1).await?;
    for call in &calls[..=before] {
        assert_eq!(call.body, first.body, "{calls:?}");
    }
    assert_ne!(calls[before].holder, first.holder);
    assert!(calls[before].fence > first.fence);
    trial.assert_no_violations();
    Ok(())
}

/// Failure: there are no engines anywhere. Guards against calls without a delay
/// between them at one pool, and against waiting for one while others may have some.
#[tokio::test]
async fn refused_orders_go_to_other_pools_at_once() -> anyhow::Result<()> {
    let trial = Trial::start(1, Some(limits())).await?;
    for zone in ["z1", "z2", "z3"] {
        trial.api.set_unavailable("lm", zone, false, true);
        trial.api.set_unavailable("lm", zone, true, true);
    }
    trial.submit(64).await;
    let calls = trial.wait_for_calls(12).await?;
    let pool = |call: &PlatformCall| (call.body["zone"].to_string(), call.body["spot"].to_string());
    let first: BTreeSet<_> = calls[..4].iter().map(pool).collect();
    assert!(first.len() >= 3, "{calls:?}");
    for (index, call) in calls.iter().enumerate() {
        let earlier = calls[..index].iter().rfind(|earlier| pool(earlier) == pool(call));
        if let Some(earlier) = earlier {
            assert!(call.at - earlier.at >= Duration::from_millis(900), "{calls:?}");
        }
    }
    let no_engine = |zone: &str| trial.api.target_count("lm", zone, false).is_none();
    assert!(["z1", "z2", "z3"].into_iter().all(no_engine));
    trial.assert_no_violations();
    Ok(())
}
