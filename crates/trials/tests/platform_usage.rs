//! Usage reports on the platform's stand-ins: counts are exact, and one window never
//! has two reports, whatever happens to the host that reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cassia_standin::PlatformApiFault;
use cassia_standin::PlatformApiStandin;
use cassia_standin::StoreFaults;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::eventually;
use cassia_trials::platform_config;
use cassia_trials::start_processes;
use serde_json::json;
use tokio::time::sleep;

/// The minimum time between the calls of two holders.
const LEASE: Duration = Duration::from_secs(3);
/// Time between two requests of a load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// How long reports may take beyond a fault: the lease's term, the wait of a new
/// holder, and the age at which windows are decided, with a margin for a busy machine.
const REPORT_LIMIT: Duration = Duration::from_secs(25);
/// How long the holder is frozen: past its term and the wait of the next one.
const FREEZE: Duration = Duration::from_secs(8);

/// Requests that were answered, by customer.
type Counts = BTreeMap<String, u64>;

struct Trial {
    env: PlatformEnv,
    api: PlatformApiStandin,
    processes: Vec<(String, Process)>,
    sent: Counts,
    next_id: u64,
}

impl Trial {
    async fn start(processes: usize) -> anyhow::Result<Self> {
        let mut env = PlatformEnv::start().await?.with_targets(1, 3).await?;
        let mut config = platform_config(2, true);
        config["tenants"] = json!([
            {"name": "leserbild", "api_keys": ["k1"]}, {"name": "hule930", "api_keys": ["k2"]}]);
        env.store.put("keyed.op", "config", Some(&config));
        let api = PlatformApiStandin::start(LEASE).await?;
        env.flags = vec![
            format!("--platform-api={}", api.addr()),
            "--duties=usage_report".to_owned(),
            "--usage-window-s=1".to_owned(),
        ];
        let processes = start_processes(&env, processes).await?;
        Ok(Self { env, api, processes, sent: Counts::new(), next_id: 0 })
    }

    /// Sends requests through these hosts in turn for a time; all must be answered.
    async fn load(&mut self, hosts: &[&str], time: Duration) -> anyhow::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for host in hosts {
                self.request(host).await?;
            }
            sleep(REQUEST_INTERVAL).await;
        }
        Ok(())
    }

    async fn request(&mut self, host: &str) -> anyhow::Result<()> {
        self.next_id += 1;
        let (customer, key) = match self.next_id % 3 {
            0 => ("leserbild", "Token k1"),
            _ => ("hule930", "Token k2"),
        };
        let process = self.process(host)?;
        let id = format!("u{}", self.next_id);
        let path = if self.next_id.is_multiple_of(5) { "/stream/1" } else { "/quote/1" };
        let headers =
            [("attempt-id", id.as_str()), ("deadline-ms", "3000"), ("authorization", key)];
        let response = self.env.send("POST", process.listen, path, &headers, "ask").await;
        anyhow::ensure!(response.status == 200, "{path}: {}", response.status);
        *self.sent.entry(customer.to_owned()).or_default() += 1;
        Ok(())
    }

    fn process(&self, host: &str) -> anyhow::Result<&Process> {
        let found = self.processes.iter().find(|(name, _)| name == host);
        found.map(|(_, process)| process).ok_or_else(|| anyhow::anyhow!("no host {host}"))
    }

    /// Returns the host of the last call, and the other hosts.
    async fn holder(&self) -> anyhow::Result<(String, Vec<String>)> {
        let has_call = || async { !self.api.calls().is_empty() };
        anyhow::ensure!(eventually(has_call).await, "no call arrived");
        let holder = self.api.calls().last().map(|call| call.holder.clone()).unwrap_or_default();
        let others = self.processes.iter().map(|(host, _)| host.clone());
        let others = others.filter(|host| *host != holder).collect();
        Ok((holder, others))
    }

    /// Returns the requests that were reported, over all windows.
    fn reported(&self) -> Counts {
        let mut total = Counts::new();
        for (customer, count) in self.api.reports().into_values().flatten() {
            *total.entry(customer).or_default() += count;
        }
        total
    }

    /// Waits until the window of this moment and those before it are reported.
    async fn wait_for_reports(&self) -> anyhow::Result<()> {
        let current = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
        let limit = Instant::now() + REPORT_LIMIT;
        while !self.api.reports().contains_key(&current) {
            anyhow::ensure!(Instant::now() < limit, "no report of window {current}");
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Checks that each window was reported once and that no window is missing.
    fn check(&self) {
        assert_eq!(self.api.violations(), Vec::<String>::new());
        let windows: Vec<_> = self.api.reports().into_keys().collect();
        for pair in windows.windows(2) {
            assert_eq!(pair[0] + 1, pair[1], "a window is missing: {windows:?}");
        }
    }
}

fn names(hosts: &[String]) -> Vec<&str> {
    hosts.iter().map(String::as_str).collect()
}

/// Guards against requests that are counted twice, in two hosts' counts, or not at all.
#[tokio::test]
async fn counts_of_three_hosts_are_exact_over_several_windows() -> anyhow::Result<()> {
    let mut trial = Trial::start(3).await?;
    trial.load(&["h0", "h1", "h2"], Duration::from_secs(5)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against a second decision by the next holder: the first one's call took effect,
/// and its answer was lost with the host.
#[tokio::test]
async fn a_killed_holders_windows_are_reported_with_the_same_counts() -> anyhow::Result<()> {
    let mut trial = Trial::start(3).await?;
    let (holder, others) = trial.holder().await?;
    trial.load(&names(&others), Duration::from_secs(2)).await?;
    trial.api.set_fault(PlatformApiFault::HangAfter);
    let before = trial.api.calls().len();
    let has_call = || async { trial.api.calls().len() > before };
    anyhow::ensure!(eventually(has_call).await, "no call arrived");
    if let Some((_, process)) = trial.processes.iter_mut().find(|(name, _)| *name == holder) {
        process.kill();
    }
    trial.api.set_fault(PlatformApiFault::None);
    trial.load(&names(&others), Duration::from_secs(2)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against a holder that wakes up after another one took over, and sends what it
/// was about to send.
#[tokio::test]
async fn a_holder_that_was_frozen_past_its_term_sends_nothing() -> anyhow::Result<()> {
    let mut trial = Trial::start(3).await?;
    let (holder, others) = trial.holder().await?;
    // It is in the middle of calls when it is frozen.
    trial.api.set_fault(PlatformApiFault::HangBefore);
    trial.load(&names(&others), Duration::from_millis(1_300)).await?;
    trial.process(&holder)?.freeze();
    trial.api.set_fault(PlatformApiFault::None);
    trial.load(&names(&others), FREEZE).await?;
    trial.process(&holder)?.resume();
    trial.load(&names(&others), Duration::from_secs(2)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against reports that are given up, or repeated with other counts, while the
/// platform's API is silent, breaks off or refuses calls, and holders change.
#[tokio::test]
async fn reports_are_late_rather_than_wrong_while_the_platform_is_away() -> anyhow::Result<()> {
    let mut trial = Trial::start(3).await?;
    trial.holder().await?;
    for fault in [
        PlatformApiFault::HangBefore,
        PlatformApiFault::HangAfter,
        PlatformApiFault::ResetAfter,
        PlatformApiFault::Refuse,
    ] {
        trial.api.set_fault(fault);
        trial.load(&["h0", "h1", "h2"], Duration::from_secs(3)).await?;
    }
    trial.api.set_fault(PlatformApiFault::None);
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against windows that are decided before all hosts have appended what they
/// counted while the store was away.
#[tokio::test]
async fn counts_of_an_outage_of_the_store_are_reported() -> anyhow::Result<()> {
    let mut trial = Trial::start(3).await?;
    trial.holder().await?;
    let store = Arc::clone(&trial.env.store);
    store.set_faults(StoreFaults { hang: true, ..StoreFaults::default() });
    trial.load(&["h0", "h1", "h2"], Duration::from_secs(5)).await?;
    store.set_faults(StoreFaults::default());
    trial.load(&["h0", "h1", "h2"], Duration::from_secs(1)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against counts that are lost with the memory of a host that stops as planned,
/// whether it holds the lease or not.
#[tokio::test]
async fn a_planned_stop_loses_no_counts() -> anyhow::Result<()> {
    let mut trial = Trial::start(3).await?;
    let (holder, others) = trial.holder().await?;
    let last = others.last().cloned().unwrap_or_default();
    for host in [&holder, &others[0]] {
        for _ in 0..20 {
            trial.request(host).await?;
        }
        trial.process(host)?.terminate();
    }
    trial.load(&[&last], Duration::from_secs(1)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}
