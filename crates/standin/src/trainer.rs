//! A trainer: pulls lots, keeps its cursor in its checkpoint, and records what
//! it received.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_ids::Version;
use cassia_sample::Sample;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

/// How long a host holds a pull until its lot is complete, in milliseconds.
const PULL_WAIT_MS: u64 = 2_000;
/// How long the trainer waits for a response before it tries the next host.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a pull that returned no lot.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A trainer.
#[derive(Debug)]
pub struct TrainerStandin {
    customer: String,
    name: String,
    key: String,
    hosts: Vec<SocketAddr>,
    next_host: usize,
    /// Number of prompts in a lot, each with a group of samples.
    groups: usize,
    /// Number of prompts sent beyond those of the next lot.
    ahead: usize,
    cursor: Option<String>,
    next_prompt: u64,
    /// The trainer's own version.
    pub version: Version,
    /// How often each sample was trained on, repeats after a restored
    /// checkpoint included.
    pub sample_counts: BTreeMap<String, u32>,
    /// Number of samples of each staleness.
    pub staleness_counts: BTreeMap<u64, u64>,
    /// The versions that generated the samples.
    pub sample_versions: BTreeSet<Version>,
    /// Time spent waiting for lots, by the number of the step.
    pub idle: BTreeMap<u64, Duration>,
    steps: u64,
}

/// One training step.
#[derive(Debug)]
pub struct Step {
    /// The samples that it trained on.
    pub samples: Vec<Sample>,
}

impl TrainerStandin {
    /// Creates a trainer that pulls from these hosts.
    #[must_use]
    pub fn new(customer: &str, name: &str, key: &str, hosts: Vec<SocketAddr>) -> Self {
        Self {
            customer: customer.to_owned(),
            name: name.to_owned(),
            key: key.to_owned(),
            hosts,
            next_host: 0,
            groups: 1,
            ahead: 0,
            cursor: None,
            next_prompt: 0,
            version: 1,
            sample_counts: BTreeMap::new(),
            staleness_counts: BTreeMap::new(),
            sample_versions: BTreeSet::new(),
            idle: BTreeMap::new(),
            steps: 0,
        }
    }

    /// Sets the number of prompts in a lot, and the number sent beyond them.
    #[must_use]
    pub fn with_prompts(mut self, groups: usize, ahead: usize) -> Self {
        self.groups = groups;
        self.ahead = ahead;
        self
    }

    /// Returns the cursor and the next prompt, as the trainer's checkpoint
    /// keeps them.
    #[must_use]
    pub fn checkpoint(&self) -> (Option<String>, u64) {
        (self.cursor.clone(), self.next_prompt)
    }

    /// Restores a checkpoint, as after a crash.
    pub fn restore(&mut self, checkpoint: (Option<String>, u64)) {
        (self.cursor, self.next_prompt) = checkpoint;
    }

    /// Total time spent waiting for lots.
    #[must_use]
    pub fn total_idle(&self) -> Duration {
        self.idle.values().sum()
    }

    /// Pulls until the next lot arrives and trains on it; `None` if none
    /// arrives in time.
    pub async fn step(&mut self, timeout: Duration) -> Option<Step> {
        let began = Instant::now();
        while began.elapsed() < timeout {
            if let Some(lot) = self.pull().await {
                *self.idle.entry(self.steps).or_default() += began.elapsed();
                return Some(self.train_on(&lot));
            }
            sleep(RETRY_DELAY).await;
        }
        None
    }

    /// Pulls once and returns the lot without training on it; moves on to the
    /// next host if there is none.
    pub async fn pull(&mut self) -> Option<Value> {
        let host = self.hosts[self.next_host % self.hosts.len()];
        let response = timeout(RESPONSE_TIMEOUT, self.send_pull(host)).await;
        if let Ok(Some(lot)) = response {
            return Some(lot);
        }
        self.next_host += 1;
        None
    }

    /// Trains on a lot: counts its samples and advances the cursor.
    pub fn train_on(&mut self, lot: &Value) -> Step {
        let samples: Vec<Sample> =
            serde_json::from_value(lot["samples"].clone()).unwrap_or_default();
        for sample in &samples {
            *self.sample_counts.entry(sample.id.to_string()).or_default() += 1;
            *self.staleness_counts.entry(sample.label.staleness(self.version)).or_default() += 1;
            self.sample_versions.extend(sample.label.versions());
        }
        self.cursor = lot["cursor"].as_str().map(str::to_owned);
        self.next_prompt += self.groups as u64;
        self.steps += 1;
        Step { samples }
    }

    async fn send_pull(&self, host: SocketAddr) -> Option<Value> {
        let prompts: Vec<_> = (self.next_prompt..)
            .take(self.groups + self.ahead)
            .map(|i| format!("prompt {i}"))
            .collect();
        let body = json!({
            "cursor": self.cursor,
            "version": self.version,
            "prompts": prompts,
            "max_tokens": 16,
            "wait_ms": PULL_WAIT_MS,
        });
        let path = format!("/v1/{}/trainers/{}/lots", self.customer, self.name);
        let request = Request::post(format!("http://{host}{path}"))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.key))
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }
}
