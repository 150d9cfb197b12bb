//! A trainer: pulls lots, keeps its cursor with its checkpoint, and notes what
//! it got.

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

/// How long a pull waits for its lot, in milliseconds.
const WAIT_MS: u64 = 2_000;
/// How long the trainer waits for an answer before it asks elsewhere.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a pull that brought nothing.
const PAUSE: Duration = Duration::from_millis(50);

/// A trainer.
#[derive(Debug)]
pub struct TrainerStandin {
    customer: String,
    name: String,
    key: String,
    hosts: Vec<SocketAddr>,
    next_host: usize,
    /// Prompts a lot needs, and how many are shown ahead.
    groups: usize,
    ahead: usize,
    cursor: Option<String>,
    next_prompt: u64,
    /// The version that the trainer is at.
    pub version: Version,
    /// How often each sample was trained on, in the course of its checkpoints.
    pub sample_counts: BTreeMap<String, u32>,
    /// How many samples of each staleness there were.
    pub staleness_counts: BTreeMap<u64, u64>,
    /// The versions that had a part in the samples.
    pub sample_versions: BTreeSet<Version>,
    /// Time spent waiting for lots.
    pub idle: BTreeMap<u64, Duration>,
    steps: u64,
}

/// What a step trained on.
#[derive(Debug)]
pub struct Step {
    /// The samples.
    pub samples: Vec<Sample>,
}

impl TrainerStandin {
    /// Sets a trainer up.
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

    /// Sets how many prompts a lot has and how many more are shown ahead.
    #[must_use]
    pub fn with_prompts(mut self, groups: usize, ahead: usize) -> Self {
        self.groups = groups;
        self.ahead = ahead;
        self
    }

    /// Gives the cursor, as the trainer's checkpoint keeps it.
    #[must_use]
    pub fn checkpoint(&self) -> (Option<String>, u64) {
        (self.cursor.clone(), self.next_prompt)
    }

    /// Goes back to a checkpoint, as after a crash.
    pub fn restore(&mut self, checkpoint: (Option<String>, u64)) {
        (self.cursor, self.next_prompt) = checkpoint;
    }

    /// Counts the time spent waiting in all.
    #[must_use]
    pub fn total_idle(&self) -> Duration {
        self.idle.values().sum()
    }

    /// Pulls until the next lot is there, or until the time is up.
    pub async fn step(&mut self, time: Duration) -> Option<Step> {
        let began = Instant::now();
        while began.elapsed() < time {
            if let Some(lot) = self.pull().await {
                *self.idle.entry(self.steps).or_default() += began.elapsed();
                return Some(self.train_on(&lot));
            }
            sleep(PAUSE).await;
        }
        None
    }

    /// Pulls once, and gives what came without taking it in.
    pub async fn pull(&mut self) -> Option<Value> {
        let host = self.hosts[self.next_host % self.hosts.len()];
        let pulled = timeout(ANSWER_TIMEOUT, self.request(host)).await;
        if let Ok(Some(lot)) = pulled {
            return Some(lot);
        }
        self.next_host += 1;
        None
    }

    /// Takes a lot in: counts its samples and moves the cursor on.
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

    async fn request(&self, host: SocketAddr) -> Option<Value> {
        let prompts: Vec<_> = (self.next_prompt..)
            .take(self.groups + self.ahead)
            .map(|i| format!("prompt {i}"))
            .collect();
        let body = json!({
            "cursor": self.cursor,
            "version": self.version,
            "prompts": prompts,
            "max_tokens": 16,
            "wait_ms": WAIT_MS,
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
