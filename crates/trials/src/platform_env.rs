//! A test environment of the platform: its stand-ins, and processes of
//! `cassia-serve`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_standin::Endless;
use cassia_standin::EndlessTarget;
use cassia_standin::RawEnd;
use cassia_standin::RawRequest;
use cassia_standin::RawTarget;
use cassia_standin::RequestRun;
use cassia_standin::StoreStandin;
use cassia_standin::TargetSpec;
use cassia_standin::TargetStandin;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::Connections;
use crate::PlatformClient;
use crate::PlatformResponse;
use crate::Process;
use crate::eventually;
use crate::platform_client::RESPONSE_TIMEOUT;

/// The host name of all routes.
pub const ROUTE_HOST: &str = "app.example";
/// The model of the engines.
pub const ENGINE_MODEL: &str = "m";
/// Number of partitions of a topic.
pub const PARTITIONS: u32 = 2;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Time without bytes after which the part of a response counts as all that comes.
const PARTIAL_PAUSE: Duration = Duration::from_millis(500);

/// The store and the targets of the platform.
#[derive(Debug)]
pub struct PlatformEnv {
    /// The store.
    pub store: Arc<StoreStandin>,
    /// The targets.
    pub targets: Vec<Arc<TargetStandin>>,
    /// Further flags of the processes.
    pub flags: Vec<String>,
    heartbeats: Vec<JoinHandle<()>>,
    client: PlatformClient,
}

impl Drop for PlatformEnv {
    fn drop(&mut self) {
        for task in &self.heartbeats {
            task.abort();
        }
    }
}

impl PlatformEnv {
    /// Starts a store with a first configuration and no targets.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let store = Arc::new(StoreStandin::start(PARTITIONS).await?);
        store.put("keyed.op", "config", Some(&platform_config(1, true)));
        let client = PlatformClient::new(Connections::PerRequest);
        let (targets, flags, heartbeats) = (Vec::new(), Vec::new(), Vec::new());
        Ok(Self { store, targets, flags, heartbeats, client })
    }

    /// Starts engines and instances of a service.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn with_targets(mut self, engines: usize, services: usize) -> io::Result<Self> {
        for n in 0..engines {
            self.add_engine(&format!("e{n}"), 6).await?;
        }
        for n in 0..services {
            self.add_target(TargetSpec {
                id: format!("s{n}"),
                service: "intake".to_owned(),
                model: None,
                events: 0,
                delay: Duration::from_millis(5),
            })
            .await?;
        }
        Ok(self)
    }

    /// Starts an engine whose generations have this many events.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn add_engine(&mut self, id: &str, events: u64) -> io::Result<Arc<TargetStandin>> {
        self.add_target(engine_spec(id, events)).await
    }

    /// Starts an engine with this version of its software. Its generations have
    /// this many events, which name the version unless it is `v1`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn add_engine_with_software(
        &mut self,
        id: &str,
        events: u64,
        software: &str,
    ) -> io::Result<Arc<TargetStandin>> {
        let target = Arc::new(TargetStandin::start(engine_spec(id, events)).await?);
        target.restart_with_software(software);
        self.list_target(&target);
        Ok(target)
    }

    /// Starts a target that sends heartbeats to the store.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn add_target(&mut self, spec: TargetSpec) -> io::Result<Arc<TargetStandin>> {
        let target = Arc::new(TargetStandin::start(spec).await?);
        self.list_target(&target);
        Ok(target)
    }

    /// Lists a target, which sends heartbeats from now on.
    fn list_target(&mut self, target: &Arc<TargetStandin>) {
        let (sender, store) = (Arc::clone(target), Arc::clone(&self.store));
        self.heartbeats.push(tokio::spawn(async move {
            loop {
                sender.send_heartbeat(&store);
                sleep(HEARTBEAT_INTERVAL).await;
            }
        }));
        self.targets.push(Arc::clone(target));
    }

    /// Removes a target from the list. It goes on serving.
    pub fn remove_target(&mut self, id: &str) {
        let Some(index) = self.targets.iter().position(|target| target.id() == id) else {
            return;
        };
        self.heartbeats.remove(index).abort();
        self.targets.remove(index);
        self.store.put("keyed.servers", id, None);
    }

    /// Starts a target that sends bytes without end; it is listed as long as
    /// this environment exists.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn add_endless_target(
        &mut self,
        service: &str,
        kind: Endless,
    ) -> io::Result<Arc<EndlessTarget>> {
        let model = (service == "lm").then_some(ENGINE_MODEL);
        let target = Arc::new(EndlessTarget::start("endless", service, model, kind).await?);
        let sender = Arc::clone(&target);
        self.list(target.id(), move || sender.heartbeat());
        Ok(target)
    }

    /// Starts a target that answers with given bytes; it is listed as long as this
    /// environment exists.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn add_raw_target(
        &mut self,
        id: &str,
        service: &str,
        script: impl Fn(&RawRequest) -> (String, RawEnd) + Send + Sync + 'static,
    ) -> io::Result<Arc<RawTarget>> {
        let model = (service == "lm").then_some(ENGINE_MODEL);
        let target = Arc::new(RawTarget::start(id, service, model, Arc::new(script)).await?);
        let sender = Arc::clone(&target);
        self.list(id, move || sender.heartbeat());
        Ok(target)
    }

    /// Writes heartbeats under this id at intervals.
    fn list(&mut self, id: &str, heartbeat: impl Fn() -> Value + Send + 'static) {
        let (id, store) = (id.to_owned(), Arc::clone(&self.store));
        self.heartbeats.push(tokio::spawn(async move {
            loop {
                store.put("keyed.servers", &id, Some(&heartbeat()));
                sleep(HEARTBEAT_INTERVAL).await;
            }
        }));
    }

    /// Starts a process and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started or doesn't become ready.
    pub async fn start_process(&self, host: &str) -> io::Result<Process> {
        self.start_process_with_store(host, self.store.addr()).await
    }

    /// Starts a process without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn spawn_process(&self, host: &str) -> io::Result<Process> {
        Process::start_serve_with(host, self.store.addr(), &self.flags)
    }

    /// Starts a process that reaches the store at this address, and waits until
    /// it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started or doesn't become ready.
    pub async fn start_process_with_store(
        &self,
        host: &str,
        store: SocketAddr,
    ) -> io::Result<Process> {
        let mut process = Process::start_serve_with(host, store, &self.flags)?;
        let ready = || async { self.is_ready(&process).await };
        if eventually(ready).await {
            return Ok(process);
        }
        let ended = process.wait(Duration::ZERO).await;
        let errors = process.errors();
        let message = format!("the process doesn't become ready; ended: {ended:?} {errors}");
        Err(io::Error::new(io::ErrorKind::TimedOut, message))
    }

    /// Returns whether the readiness endpoint, which the load balancer polls,
    /// returns 200.
    pub async fn is_ready(&self, process: &Process) -> bool {
        self.send("GET", process.link, "/v1/ready", &[], Bytes::new()).await.status == 200
    }

    /// Sends one request on its own connection.
    pub async fn send(
        &self,
        method: &str,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> PlatformResponse {
        self.client.send(method, to, path, headers, body).await
    }

    /// Sends a caller's request.
    pub async fn request(&self, to: &Process, path: &str, id: &str) -> PlatformResponse {
        let headers = [("attempt-id", id), ("deadline-ms", "3000")];
        self.send("POST", to.listen, path, &headers, "ask").await
    }

    /// Sends a caller's request with a key.
    pub async fn request_with_key(
        &self,
        to: &Process,
        path: &str,
        id: &str,
        key: &str,
    ) -> PlatformResponse {
        let token = format!("Token {key}");
        let headers = [("attempt-id", id), ("deadline-ms", "3000"), ("authorization", &token)];
        self.send("POST", to.listen, path, &headers, "ask").await
    }

    /// Makes a call about a batch job with a key; `POST` submits one.
    pub async fn job_call_with_key(
        &self,
        method: &str,
        to: &Process,
        path: &str,
        key: &str,
        body: impl Into<Bytes>,
    ) -> PlatformResponse {
        let token = format!("Token {key}");
        let headers = [("authorization", token.as_str()), ("wait-ms", "500")];
        self.send(method, to.listen, path, &headers, body).await
    }

    /// Submits a batch job with a key.
    pub async fn submit_job_with_key(
        &self,
        to: &Process,
        id: &str,
        job: &Value,
        key: &str,
    ) -> PlatformResponse {
        let token = format!("Token {key}");
        let headers = [("attempt-id", id), ("authorization", &token)];
        self.send("POST", to.listen, "/job/x", &headers, job.to_string()).await
    }

    /// Sends a caller's request and returns what comes of the body until there is a pause.
    pub async fn partial(&self, to: &Process, path: &str, id: &str) -> Bytes {
        self.client.send_for_part(to.listen, path, id, PARTIAL_PAUSE).await
    }

    /// Submits a batch job.
    pub async fn submit_job(&self, to: &Process, id: &str, job: &Value) -> PlatformResponse {
        let headers = [("attempt-id", id), ("content-type", "application/json")];
        self.send("POST", to.listen, "/job/x", &headers, job.to_string()).await
    }

    /// Reads a job's results after the first `after` ones.
    pub async fn results(&self, from: &Process, job: &str, after: usize) -> PlatformResponse {
        let path = format!("/v1/lots/{job}?after={after}");
        self.send("GET", from.listen, &path, &[("wait-ms", "500")], Bytes::new()).await
    }

    /// Ends a batch job.
    pub async fn end_job(&self, to: &Process, job: &str) -> PlatformResponse {
        self.send("DELETE", to.listen, &format!("/v1/lots/{job}"), &[], Bytes::new()).await
    }

    /// Reads a job's results until all are listed; `None` if they aren't within
    /// the time limit.
    pub async fn all_results(&self, from: &Process, job: &str) -> Option<Vec<Value>> {
        let mut results = Vec::new();
        let deadline = Instant::now() + 3 * RESPONSE_TIMEOUT;
        while Instant::now() < deadline {
            let page = self.results(from, job, results.len()).await.json();
            if let Some(new) = page["results"].as_array() {
                results.extend(new.iter().cloned());
            }
            if page["total_count"].as_u64() == Some(results.len() as u64) {
                return Some(results);
            }
            sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Publishes a weight version of the engines' model, as a trainer does.
    pub fn publish_version(&self, version: u64) {
        let value = json!({"model": ENGINE_MODEL, "version": version});
        self.store.put("keyed.op", &format!("version/{ENGINE_MODEL}"), Some(&value));
    }

    /// Returns the runs of the request with this id, over all targets.
    #[must_use]
    pub fn runs_of(&self, id: &str) -> Vec<RequestRun> {
        self.targets.iter().flat_map(|t| t.runs()).filter(|run| run.id == id).collect()
    }

    /// Puts a configuration into force in which customers have these keys.
    pub fn put_accounts(&self, version: u64, accounts: &[(&str, &[&str])]) {
        self.store.put("keyed.op", "config", Some(&accounts_config(version, accounts)));
    }

    /// Number of runs of the request with this id, over all targets.
    #[must_use]
    pub fn run_count(&self, id: &str) -> usize {
        self.targets.iter().flat_map(|t| t.runs()).filter(|run| run.id == id).count()
    }
}

fn engine_spec(id: &str, events: u64) -> TargetSpec {
    TargetSpec {
        id: id.to_owned(),
        service: "lm".to_owned(),
        model: Some(ENGINE_MODEL.to_owned()),
        events,
        delay: Duration::from_millis(10),
    }
}

/// Returns a configuration of the platform; `with_extra` adds the route
/// `extra`.
#[must_use]
pub fn platform_config(version: u64, with_extra: bool) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": ROUTE_HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 3_000, "slo_ms": 150, "priority": 2, "service": service,
            "max_attempts": 3,
        })
    };
    let mut job = route("job", "rollout", "lm");
    job["due_ms"] = json!(7_500);
    job["retention_s"] = json!(40);
    let mut routes = vec![
        route("quote", "idempotent", "intake"),
        route("once", "non_idempotent", "intake"),
        route("score", "idempotent", "intake"),
        route("stream", "stream", "lm"),
        job,
    ];
    if with_extra {
        routes.push(route("extra", "idempotent", "intake"));
    }
    json!({"version": version, "routes": routes, "services": [], "limits": {
        "max_header_bytes": 16_384, "max_body_bytes": 1 << 20,
        "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}})
}

/// Returns a configuration in which customers have these keys. The routes `score` and
/// `extra` are public, and streams can be resumed.
#[must_use]
pub fn accounts_config(version: u64, accounts: &[(&str, &[&str])]) -> Value {
    let mut config = platform_config(version, true);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        let is_public = route["name"] == "score" || route["name"] == "extra";
        route["public"] = json!(is_public);
        route["resumable"] = json!(true);
    }
    let account = |(name, keys): &(&str, &[&str])| json!({"name": name, "api_keys": keys});
    config["tenants"] = accounts.iter().map(account).collect();
    config
}

/// Returns a batch job with this many items, in groups of four; each item has
/// a reward call.
#[must_use]
pub fn batch_job(id: &str, items: usize, min_version: u64) -> Value {
    let item = |n: usize| {
        json!({
            "instance_id": format!("{id}-{n}"), "path": format!("/job/{n}"),
            "headers": {"Model": ENGINE_MODEL, "Token-Count": "20,60", "Prompt-Prefix": "a:10,b:10"},
            "body": "cHJvbXB0", "tokens": 80, "group_id": format!("g{}", n / 4),
            "scorer_url": {"instance_id": format!("{id}-{n}-score"), "host": ROUTE_HOST,
                "path": "/score/1", "body": "c2NvcmU="},
        })
    };
    let items: Vec<_> = (0..items).map(item).collect();
    json!({"train_step": 0, "model": ENGINE_MODEL, "min_version": min_version,
        "group_count": items.len() / 4, "items": items})
}
