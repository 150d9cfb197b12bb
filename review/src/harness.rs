//! What the cases share: the product's processes, the record of a run, and a
//! small HTTP server whose connections a case controls itself.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use cassia_standin::StoreStandin;
use cassia_trials::Connections;
use cassia_trials::PlatformClient;
use cassia_trials::PlatformResponse;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Host name of all routes.
pub const ROUTE_HOST: &str = "app.example";
/// Number of partitions of a topic, as in the settings of the users' platform.
pub const PARTITIONS: u32 = 12;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);

/// The outcome of a case: the exit code of its script.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
}

/// Returns whether the disruption is part of this run.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, in order of time.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn add(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((self.start.elapsed(), line.into()));
    }

    /// Writes the record into a case's folder.
    pub fn write(&self, folder: &Path) -> anyhow::Result<()> {
        let mut text = String::new();
        for (at, line) in self.lines.lock().unwrap().iter() {
            let _ = writeln!(text, "{:9.3} {line}", at.as_secs_f64());
        }
        std::fs::write(folder.join("record.txt"), text).context("record.txt")
    }
}

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a free loopback address below the range of ephemeral ports.
pub fn free_addr() -> anyhow::Result<SocketAddr> {
    let first = 12_000 + u16::try_from(std::process::id() % 900).unwrap_or(0) * 20;
    for _ in 0..2_000 {
        let port = first + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if StdListener::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    anyhow::bail!("no free port")
}

/// A process of `cassia-serve`, killed when dropped.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    program: PathBuf,
    args: Vec<String>,
    child: Child,
}

impl Host {
    /// Starts the program with the command line of the deploy file.
    pub fn start(name: &str, store: SocketAddr) -> anyhow::Result<Self> {
        let deploy = std::fs::read_to_string("deploy/system.toml").context("deploy/system.toml")?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).context("run")?;
        let (listen, ready) = (free_addr()?, free_addr()?);
        let (ops, relay) = (free_addr()?, free_addr()?);
        let fields = [
            ("{{node}}", name.to_owned()),
            ("{{zone}}", "z1".to_owned()),
            ("{{listen.front}}", listen.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{bind_ip}}", "127.0.0.1".to_owned()),
            ("{{port_range.0}}", ops.port().to_string()),
            ("{{port_range.1}}", relay.port().to_string()),
            ("{{platform.address}}", store.to_string()),
            ("{{platform.parts}}", PARTITIONS.to_string()),
            ("{{platform.record_bytes}}", "262144".to_owned()),
            ("{{platform.call_bytes}}", "2097152".to_owned()),
            ("{{bounds.lease_ms}}", "3000".to_owned()),
        ];
        let mut command = run.trim().trim_matches('"').to_owned();
        for (field, value) in fields {
            command = command.replace(field, &value);
        }
        anyhow::ensure!(!command.contains("{{"), "an unknown placeholder: {command}");
        let mut words = command.split_whitespace().map(str::to_owned);
        let program = PathBuf::from(words.next().context("a program")?);
        let args: Vec<_> = words.collect();
        let child = spawn(&program, &args, name)?;
        Ok(Self { name: name.to_owned(), listen, ready, program, args, child })
    }

    /// Starts the program again, after it has ended, with the same command line.
    pub fn start_again(&mut self) -> anyhow::Result<()> {
        self.child = spawn(&self.program, &self.args, &self.name)?;
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            let _ = nix::sys::signal::kill(Pid::from_raw(id), signal);
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a program. Its log goes to the folder that `REVIEW_LOGS` names, if any.
fn spawn(program: &Path, args: &[String], name: &str) -> anyhow::Result<Child> {
    let mut command = Command::new(program);
    command.args(args).env_clear().stdin(Stdio::null()).stderr(Stdio::null());
    match std::env::var_os("REVIEW_LOGS") {
        Some(folder) => {
            let path = Path::new(&folder).join(format!("{name}.log"));
            let file = std::fs::File::options().create(true).append(true).open(path)?;
            command.stdout(file);
        }
        None => {
            command.stdout(Stdio::null());
        }
    }
    command.spawn().with_context(|| format!("{}", program.display()))
}

/// Waits until all hosts report that they are ready.
pub async fn wait_until_ready(hosts: &[Host]) -> anyhow::Result<()> {
    let client = PlatformClient::new(Connections::PerRequest);
    let deadline = Instant::now() + Duration::from_secs(15);
    for host in hosts {
        while client.send("GET", host.ready, "/v1/ready", &[], Bytes::new()).await.status != 200 {
            anyhow::ensure!(Instant::now() < deadline, "{} is not ready", host.name);
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// Returns a route of the configuration.
pub fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": ROUTE_HOST, "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 10_000, "slo_ms": 400, "priority": 2, "service": service,
        "max_attempts": 3,
    })
}

/// Returns a configuration with these routes.
pub fn config(version: u64, routes: Vec<Value>) -> Value {
    json!({"version": version, "routes": routes, "services": [], "limits": {
        "max_header_bytes": 16_384, "max_body_bytes": 33_554_432,
        "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}})
}

/// Sends a request on a connection of its own.
pub async fn send(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> PlatformResponse {
    PlatformClient::new(Connections::PerRequest).send(method, to, path, headers, body).await
}

/// A request as a server stand-in received it.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub path: String,
    pub headers: BTreeMap<String, String>,
}

impl Received {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one request with its body; `None` if the connection ends before.
pub async fn read_request(stream: &mut TcpStream) -> Option<Received> {
    let mut buf = Vec::new();
    let head_len = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        let mut chunk = [0; 4_096];
        let count = stream.read(&mut chunk).await.ok().filter(|count| *count > 0)?;
        buf.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&buf[..head_len]).into_owned();
    let mut lines = head.lines();
    let mut words = lines.next()?.split(' ');
    let path = words.nth(1)?.to_owned();
    let headers: BTreeMap<_, _> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buf.len() < head_len + length {
        let mut chunk = [0; 4_096];
        let count = stream.read(&mut chunk).await.ok().filter(|count| *count > 0)?;
        buf.extend_from_slice(&chunk[..count]);
    }
    Some(Received { path, headers })
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}

/// What a server stand-in does with a connection.
pub trait Serve: Send + Sync + 'static {
    fn serve(self: Arc<Self>, stream: TcpStream) -> impl Future<Output = ()> + Send;
}

/// Starts a server stand-in on a loopback port.
pub async fn start_server<S: Serve>(server: Arc<S>) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(Arc::clone(&server).serve(stream));
            }
        }
    });
    Ok(addr)
}

/// Lists a server in the store, with a heartbeat at intervals.
pub fn list_server(store: &Arc<StoreStandin>, id: &str, service: &str, addr: SocketAddr) {
    let (store, id, service) = (Arc::clone(store), id.to_owned(), service.to_owned());
    let born = unix_ms();
    tokio::spawn(async move {
        for sequence in 1_u64.. {
            let mut entry = json!({
                "service": service, "address": addr.to_string(), "zone": "z1", "version": "v1",
                "slot_count": 8, "state": "ready", "cold_left_ms": 0, "sequence": sequence,
                "born": born,
            });
            if service == "lm" {
                entry["stage"] = json!("hybrid");
                entry["models"] = json!([{"name": "m", "version": 1, "adapters": []}]);
            }
            store.put("keyed.servers", &id, Some(&entry));
            sleep(HEARTBEAT_INTERVAL).await;
        }
    });
}

pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(0)
}
