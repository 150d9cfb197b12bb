//! A small deployment: the configuration, its engines and its clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_standin::StoreStandin;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::Setting;
use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::host::Host;
use crate::http::Answer;
use crate::http::Call;
use crate::http::ROUTE_HOST;
use crate::http::call;

/// Number of partitions of a topic.
const PARTITIONS: u32 = 12;
/// The model of the engines.
pub const MODEL: &str = "m0";
/// How long the clients of the plain service wait.
pub const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time between two tries of a trainer or a client.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The store, the engines and the machines.
#[derive(Debug)]
pub struct Site {
    pub store: Arc<StoreStandin>,
    pub engines: Vec<Arc<Engine>>,
    pub hosts: Vec<Host>,
}

/// Returns the configuration; items of batch jobs have this many attempts.
pub fn config(version: u64, item_attempts: u32) -> Value {
    let plain = |name: &str, attempts: u32| {
        json!({
            "name": name, "host": ROUTE_HOST, "path_prefix": format!("/{name}/"),
            "kind": "idempotent", "timeout_ms": 1_500, "slo_ms": 150, "priority": 2,
            "service": "intake", "max_attempts": attempts,
        })
    };
    let job = json!({
        "name": "job", "host": ROUTE_HOST, "path_prefix": "/job/", "kind": "rollout",
        "timeout_ms": 10_000, "slo_ms": 400, "priority": 1, "service": "lm",
        "max_attempts": item_attempts, "due_ms": 7_500, "retention_s": 40,
    });
    json!({
        "version": version, "routes": [plain("quote", 2), plain("score", 4), job],
        "services": [
            {"name": "lm", "health_path": "/health", "max_conns": 282, "protocol": "h1", "tls": false},
            {"name": "intake", "health_path": "/health", "max_conns": 208, "protocol": "h1", "tls": false},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 33_554_432,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    })
}

/// Returns a plain engine.
pub fn plain_engine(n: usize, work: Duration) -> EngineSpec {
    EngineSpec {
        id: format!("s{n}"),
        service: "intake".to_owned(),
        model: None,
        slots: 6,
        first: work,
        event: Duration::ZERO,
        events: 0,
        load: Duration::ZERO,
    }
}

/// Returns an engine of the model.
pub fn model_engine(n: usize, load: Duration) -> EngineSpec {
    EngineSpec {
        id: format!("e{n}"),
        service: "lm".to_owned(),
        model: Some(MODEL.to_owned()),
        slots: 8,
        first: Duration::from_millis(300),
        event: Duration::from_millis(60),
        events: 10,
        load,
    }
}

impl Site {
    /// Starts the store and the engines.
    pub async fn start(
        setting: &Setting,
        item_attempts: u32,
        specs: Vec<EngineSpec>,
    ) -> anyhow::Result<Self> {
        let store = Arc::new(StoreStandin::start(PARTITIONS).await?);
        store.put("keyed.op", "config", Some(&config(1, item_attempts)));
        let mut engines = Vec::new();
        for spec in specs {
            engines.push(Engine::start(spec, &store, &setting.recorder).await?);
        }
        Ok(Self { store, engines, hosts: Vec::new() })
    }

    /// Starts machines that reach the store at these addresses.
    pub async fn start_hosts(
        &mut self,
        setting: &Setting,
        stores: &[SocketAddr],
    ) -> anyhow::Result<()> {
        for (n, store) in stores.iter().enumerate() {
            let (name, zone) = (format!("front-{}", n + 1), format!("z{}", n % 2 + 1));
            let host = Host::start(
                &name,
                &zone,
                &setting.program,
                *store,
                &setting.dir,
                &setting.recorder,
            )?;
            self.hosts.push(host);
        }
        for host in &self.hosts {
            host.wait_until_ready().await?;
        }
        Ok(())
    }

    /// Names a version of the model, as its trainer does.
    pub fn name_version(&self, setting: &Setting, version: u64) {
        setting.recorder.line(format!("version {version} is named"));
        let value = json!({"model": MODEL, "version": version});
        self.store.put("keyed.op", &format!("version/{MODEL}"), Some(&value));
    }

    /// Returns the engines of the model.
    pub fn model_engines(&self) -> impl Iterator<Item = &Arc<Engine>> {
        self.engines.iter().filter(|engine| engine.spec.model.is_some())
    }
}

/// Returns a batch job of groups whose items share their prompt.
pub fn batch_job(id: &str, groups: usize, group_size: usize) -> Value {
    let item = |group: usize, n: usize| {
        let item = format!("{id}-{group}-{n}");
        json!({
            "instance_id": item, "path": format!("/job/{id}-{group}"),
            "headers": {"Model": MODEL, "Token-Count": "256,64", "Length-Hint": "10",
                "Prompt-Prefix": format!("{group:x}:240,{:x}:16", group + 4_096)},
            "body": "cHJvbXB0", "tokens": 320, "group_id": format!("g{group}"),
            "scorer_url": {"instance_id": format!("{item}-score"), "host": ROUTE_HOST,
                "path": format!("/score/{item}"), "body": "c2NvcmU="},
        })
    };
    let items: Vec<_> =
        (0..groups).flat_map(|group| (0..group_size).map(move |n| item(group, n))).collect();
    json!({"train_step": 0, "model": MODEL, "min_version": 1, "group_count": groups,
        "items": items})
}

/// Submits a batch job until it is accepted; returns when that was.
pub async fn submit(
    setting: &Setting,
    fronts: &[SocketAddr],
    id: &str,
    job: &Value,
) -> anyhow::Result<Instant> {
    let until = Instant::now() + Duration::from_secs(10);
    for front in fronts.iter().cycle() {
        let request = Call::new("POST", "/job/submit")
            .header("Attempt-Id", id)
            .header("Content-Type", "application/json")
            .body(job.to_string());
        let answer = call(*front, &request).await;
        let status = answer.map(|answer| answer.status);
        setting.recorder.line(format!("trainer sends job {id}: {status:?}"));
        if status == Some(202) {
            return Ok(Instant::now());
        }
        anyhow::ensure!(Instant::now() < until, "job {id} is not accepted");
        sleep(RETRY_PAUSE).await;
    }
    anyhow::bail!("no machine")
}

/// Reads the results of a job from the start; returns their states by item.
pub async fn results(front: SocketAddr, id: &str) -> Option<BTreeMap<String, String>> {
    let mut states = BTreeMap::new();
    loop {
        let request = Call::new("GET", format!("/v1/lots/{id}?after={}", states.len()));
        let page: Answer = call(front, &request).await?;
        if page.status != 200 {
            return None;
        }
        let page = page.json();
        let new = page["results"].as_array()?.clone();
        if new.is_empty() {
            return Some(states);
        }
        for result in new {
            let text = |name: &str| result[name].as_str().unwrap_or_default().to_owned();
            states.insert(text("instance_id"), text("state"));
        }
    }
}
