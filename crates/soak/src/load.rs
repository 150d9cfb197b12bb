//! Callers and trainers, which check the responses they get.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_trials::Connections;
use cassia_trials::PlatformClient;
use cassia_trials::batch_job;
use rand::Rng;
use serde_json::Value;
use tokio::time::sleep;

use crate::RequestOutcome;
use crate::cluster::Cluster;
use crate::cluster::Endpoint;

/// How long the load balancer still sends requests to a stopping process.
const BALANCER_LAG: Duration = Duration::from_millis(1_700);
/// Time after which every process knows an accepted batch job.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a trainer waits for the results of one batch job.
const JOB_TIMEOUT: Duration = Duration::from_secs(40);
/// Maximum number of attempts to submit a job, and to end it.
const MAX_ATTEMPTS: usize = 40;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Statuses that mean that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Sends requests one after the other on kept connections; never returns.
pub(crate) async fn run_caller(cluster: Arc<Cluster>, caller: usize) {
    let client = PlatformClient::new(Connections::KeepAlive);
    for n in 0_u64.. {
        let delay_ms = rand::rng().random_range(5..60);
        sleep(Duration::from_millis(delay_ms)).await;
        let Some(endpoint) = cluster.random_endpoint() else { continue };
        let route = ["quote", "once", "extra"][rand::rng().random_range(0..3)];
        send_request(&cluster, &client, &endpoint, route, &format!("c{caller}-{n}")).await;
    }
}

/// Sends one request and checks its response; returns the status.
pub(crate) async fn send_request(
    cluster: &Cluster,
    client: &PlatformClient,
    endpoint: &Endpoint,
    route: &str,
    id: &str,
) -> u16 {
    let checker = &cluster.checker;
    checker.record_submitted(id);
    let (sent, min_version) = (Instant::now(), checker.min_config_version(&endpoint.process));
    let headers = [("attempt-id", id), ("deadline-ms", "3000")];
    let path = format!("/{route}/1");
    let response = client.send("POST", endpoint.listen, &path, &headers, "ask").await;
    let outcome = RequestOutcome {
        id: id.to_owned(),
        process: endpoint.process.clone(),
        sent,
        status: response.status,
        at_most_once: route == "once",
    };
    checker.record_request(&outcome);
    match response.status {
        200 => checker.check_response(&outcome.id, &response.body, response.signature.as_deref()),
        0 if cluster.must_respond(endpoint, sent, BALANCER_LAG) => {
            let detail = format!("{} got no response from {}", outcome.id, outcome.process);
            checker.record_violation("cut off", &detail);
        }
        404 if route != "extra" => {
            let detail = format!("{} at {}", outcome.id, outcome.process);
            checker.record_violation("denied", &detail);
        }
        _ => {}
    }
    if route == "extra" && (response.status == 200 || response.status == 404) {
        let found = response.status == 200;
        checker.check_extra_route(&outcome.process, min_version, found, Instant::now());
    }
    response.status
}

/// Runs batch jobs one after the other; never returns. A trainer that is given
/// the newest weight version publishes the next one after each of its jobs.
pub(crate) async fn run_trainer(
    cluster: Arc<Cluster>,
    trainer: usize,
    version: Option<Arc<AtomicU64>>,
) {
    for step in 0_u64.. {
        let newest = version.as_ref().map_or(1, |version| version.load(Ordering::Relaxed));
        let id = format!("t{trainer}-{step}");
        let items = rand::rng().random_range(4..=24);
        if run_job(&cluster, &id, items, newest.saturating_sub(1).max(1)).await {
            cluster.checker.count("jobs whole");
        }
        if let Some(version) = &version {
            let next = version.fetch_add(1, Ordering::Relaxed) + 1;
            cluster.env.publish_version(next);
        }
        sleep(POLL_INTERVAL * 6).await;
    }
}

/// Submits a batch job, reads and checks its results and ends it; returns whether
/// all results were listed in time.
pub(crate) async fn run_job(cluster: &Cluster, id: &str, items: usize, min_version: u64) -> bool {
    let client = PlatformClient::new(Connections::KeepAlive);
    let body = batch_job(id, items, min_version);
    let run_ids = || (0..items).flat_map(|n| [format!("{id}-{n}"), format!("{id}-{n}-score")]);
    run_ids().for_each(|id| cluster.checker.record_submitted(&id));
    let Some(accepted) = submit(cluster, &client, id, &body).await else {
        return false;
    };
    if !accepted {
        cluster.checker.count("jobs refused");
        cluster.checker.record_refused(run_ids());
        return false;
    }
    let reader = JobReader { cluster, client: &client, id, accepted: Instant::now() };
    let Some(results) = reader.read_all().await else {
        cluster.checker.count("jobs late");
        return false;
    };
    for error in result_errors(&results, id, items, min_version) {
        cluster.checker.record_violation("results", &error);
    }
    reader.end().await;
    sleep(POLL_INTERVAL).await;
    reader.check_unchanged(&results).await;
    true
}

/// Submits a job until the outcome is certain; returns whether it was accepted,
/// or `None` if that stays unknown.
async fn submit(cluster: &Cluster, client: &PlatformClient, id: &str, job: &Value) -> Option<bool> {
    let headers = [("attempt-id", id), ("content-type", "application/json")];
    let mut all_refused = true;
    for attempt in 0..MAX_ATTEMPTS {
        // After several refusals the job counts as refused.
        if all_refused && attempt >= MAX_ATTEMPTS / 4 {
            return Some(false);
        }
        sleep(POLL_INTERVAL * 2).await;
        let Some(endpoint) = cluster.random_endpoint() else { continue };
        let body = job.to_string();
        let response = client.send("POST", endpoint.listen, "/job/x", &headers, body).await;
        match response.status {
            202 => return Some(true),
            status if NOT_RUN_STATUSES.contains(&status) => {}
            _ => all_refused = false,
        }
    }
    all_refused.then_some(false)
}

/// Reads the results of a job from random processes.
struct JobReader<'a> {
    cluster: &'a Cluster,
    client: &'a PlatformClient,
    id: &'a str,
    accepted: Instant,
}

impl JobReader<'_> {
    async fn fetch_page(&self, after: usize) -> Option<Value> {
        let endpoint = self.cluster.random_endpoint()?;
        let path = format!("/v1/lots/{}?after={after}", self.id);
        let headers = [("wait-ms", "200")];
        let response =
            self.client.send("GET", endpoint.listen, &path, &headers, Bytes::new()).await;
        if [404, 410].contains(&response.status) && self.accepted.elapsed() > PROPAGATION_LIMIT {
            let detail = format!("{} at {}: {}", self.id, endpoint.process, response.status);
            self.cluster.checker.record_violation("lost", &detail);
        }
        (response.status == 200).then(|| response.json())
    }

    /// Reads until all results are listed; returns `None` on a timeout.
    async fn read_all(&self) -> Option<Vec<Value>> {
        let mut results: Vec<Value> = Vec::new();
        while self.accepted.elapsed() < JOB_TIMEOUT {
            if let Some(page) = self.fetch_page(results.len()).await {
                results.extend(page["results"].as_array().cloned().unwrap_or_default());
                if page["total_count"].as_u64() == Some(results.len() as u64) {
                    return Some(results);
                }
            }
            if rand::rng().random_ratio(1, 4) {
                self.check_unchanged(&results).await;
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Checks that the results read so far are the same at another process.
    async fn check_unchanged(&self, known: &[Value]) {
        let Some(page) = self.fetch_page(0).await else { return };
        let current = page["results"].as_array().cloned().unwrap_or_default();
        // A process may lag behind; the results that it has must be the same.
        if let Some(i) = known.iter().zip(&current).position(|(known, current)| known != current) {
            let detail = format!("{} at {i}: {} and {}", self.id, known[i], current[i]);
            self.cluster.checker.record_violation("changed", &detail);
        }
    }

    async fn end(&self) {
        for _ in 0..MAX_ATTEMPTS {
            if let Some(endpoint) = self.cluster.random_endpoint() {
                let path = format!("/v1/lots/{}", self.id);
                let response =
                    self.client.send("DELETE", endpoint.listen, &path, &[], Bytes::new()).await;
                if response.status == 200 {
                    return;
                }
            }
            sleep(POLL_INTERVAL * 2).await;
        }
    }
}

/// Returns the errors in the results of a job.
fn result_errors(results: &[Value], id: &str, items: usize, min_version: u64) -> Vec<String> {
    let mut errors = Vec::new();
    let mut seen = std::collections::BTreeSet::new();
    for result in results {
        let item = result["instance_id"].as_str().unwrap_or_default();
        if !seen.insert(item.to_owned()) {
            errors.push(format!("{item} is listed twice"));
        }
        if result["state"] != "completed" {
            continue;
        }
        let pieces: Vec<_> = (0..6).map(|n| format!("piece {n} of {item}")).collect();
        if result["output"] != pieces.join("\n") {
            errors.push(format!("{item}: {}", result["output"]));
        }
        if result["score"] != format!("stamp-{item}-score") {
            errors.push(format!("{item}: score {}", result["score"]));
        }
        let versions = result["versions"].as_array().cloned().unwrap_or_default();
        let is_valid = |version: &Value| version.as_u64().is_some_and(|v| v >= min_version);
        if versions.is_empty() || !versions.iter().all(is_valid) {
            errors.push(format!("{item}: versions {versions:?}, expected at least {min_version}"));
        }
    }
    if seen.len() != items || !seen.iter().all(|item| item.starts_with(id)) {
        errors.push(format!("{id}: {} of {items} items", seen.len()));
    }
    errors
}
