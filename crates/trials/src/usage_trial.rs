//! A trial of usage reports: hosts, the platform's API, and a record of what was sent.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use cassia_standin::PlatformApiStandin;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::Connections;
use crate::PlatformClient;
use crate::PlatformEnv;
use crate::Process;
use crate::eventually;
use crate::platform_config;
use crate::platform_steps::start_processes;

/// The minimum time between the calls of two holders.
const LEASE: Duration = Duration::from_secs(3);
/// Time between two requests of a load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// How long after requests were sent a host is stopped.
const STOP_DELAY: Duration = Duration::from_millis(100);
/// How long reports may take beyond a fault: the lease's term, the wait of a new
/// holder, and the age at which windows are decided, with a margin for a busy machine.
const REPORT_LIMIT: Duration = Duration::from_secs(25);

/// Requests by customer.
pub type UsageCounts = BTreeMap<String, u64>;

/// Hosts that report usage in windows of a second, with two customers.
#[derive(Debug)]
pub struct UsageTrial {
    /// The store and the targets.
    pub env: PlatformEnv,
    /// The platform's API.
    pub api: PlatformApiStandin,
    /// The hosts with their processes.
    pub processes: Vec<(String, Process)>,
    /// The requests that were answered.
    pub sent: UsageCounts,
    next_id: u64,
}

impl UsageTrial {
    /// Starts the stand-ins and this many processes.
    ///
    /// # Errors
    ///
    /// Fails if a process doesn't start.
    pub async fn start(processes: usize) -> anyhow::Result<Self> {
        let mut trial = Self::without_processes().await?;
        trial.processes = start_processes(&trial.env, processes).await?;
        Ok(trial)
    }

    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn without_processes() -> anyhow::Result<Self> {
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
        Ok(Self { env, api, processes: Vec::new(), sent: UsageCounts::new(), next_id: 0 })
    }

    /// Sends requests through these hosts in turn for a time; all must be answered.
    ///
    /// # Errors
    ///
    /// A request failed.
    pub async fn load(&mut self, hosts: &[&str], time: Duration) -> anyhow::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for host in hosts {
                self.request(host).await?;
            }
            sleep(REQUEST_INTERVAL).await;
        }
        Ok(())
    }

    /// Sends requests of a customer to a route at once and stops the host meanwhile, as
    /// planned. All must be answered.
    ///
    /// # Errors
    ///
    /// A request failed.
    pub async fn stop_with_requests(
        &mut self,
        host: &str,
        path: &str,
        count: u64,
    ) -> anyhow::Result<()> {
        let process = self.process(host)?;
        let mut requests = JoinSet::new();
        for n in 0..count {
            let (client, listen) = (PlatformClient::new(Connections::PerRequest), process.listen);
            let (id, path) = (format!("stop-{host}-{n}"), path.to_owned());
            requests.spawn(async move {
                let headers = [
                    ("attempt-id", id.as_str()),
                    ("deadline-ms", "3000"),
                    ("authorization", "Token k1"),
                ];
                client.send("POST", listen, &path, &headers, "ask").await.status
            });
        }
        sleep(STOP_DELAY).await;
        process.terminate();
        let statuses = requests.join_all().await;
        anyhow::ensure!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        *self.sent.entry("leserbild".to_owned()).or_default() += count;
        Ok(())
    }

    /// Sends a request of a customer, which must be answered. Every fifth is a stream.
    ///
    /// # Errors
    ///
    /// The request failed.
    pub async fn request(&mut self, host: &str) -> anyhow::Result<()> {
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

    /// Returns a host's process.
    ///
    /// # Errors
    ///
    /// There is none.
    pub fn process(&self, host: &str) -> anyhow::Result<&Process> {
        let found = self.processes.iter().find(|(name, _)| name == host);
        found.map(|(_, process)| process).ok_or_else(|| anyhow::anyhow!("no host {host}"))
    }

    /// Returns the host of the last call, and the other hosts.
    ///
    /// # Errors
    ///
    /// No call arrives.
    pub async fn holder(&self) -> anyhow::Result<(String, Vec<String>)> {
        let has_call = || async { !self.api.calls().is_empty() };
        anyhow::ensure!(eventually(has_call).await, "no call arrived");
        let holder = self.api.calls().last().map(|call| call.holder.clone()).unwrap_or_default();
        let others = self.processes.iter().map(|(host, _)| host.clone());
        let others = others.filter(|host| *host != holder).collect();
        Ok((holder, others))
    }

    /// Returns the requests that were reported, over all windows.
    #[must_use]
    pub fn reported(&self) -> UsageCounts {
        let mut total = UsageCounts::new();
        for (customer, count) in self.api.reports().into_values().flatten() {
            *total.entry(customer).or_default() += count;
        }
        total
    }

    /// Waits until the window of this moment and those before it are reported.
    ///
    /// # Errors
    ///
    /// They are not in time.
    pub async fn wait_for_reports(&self) -> anyhow::Result<()> {
        let current = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
        let limit = Instant::now() + REPORT_LIMIT;
        while !self.api.reports().contains_key(&current) {
            anyhow::ensure!(Instant::now() < limit, "no report of window {current}");
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Checks that each window was reported once and that no window is missing.
    ///
    /// # Panics
    ///
    /// If it was not, or one is.
    pub fn check(&self) {
        assert_eq!(self.api.violations(), Vec::<String>::new());
        let windows: Vec<_> = self.api.reports().into_keys().collect();
        for pair in windows.windows(2) {
            assert_eq!(pair[0] + 1, pair[1], "a window is missing: {windows:?}");
        }
    }

    /// Returns a host's state dump.
    ///
    /// # Errors
    ///
    /// There is no such host.
    pub async fn state(&self, host: &str) -> anyhow::Result<Value> {
        let ops = self.process(host)?.ops;
        Ok(self.env.send("GET", ops, "/state", &[], Bytes::new()).await.json())
    }
}
