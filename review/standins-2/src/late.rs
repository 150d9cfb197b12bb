//! Two of a zone's three hosts stopped in turn: short requests on connections that the
//! load balancer still opens to the first.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::client;
use crate::client::Connection;
use crate::client::Request;
use crate::env;
use crate::host::Host;
use crate::record::Record;
use crate::stop;
use crate::stop::Cut;
use crate::target::Target;

const HOSTS: usize = 3;
/// The load balancer asks each host once a second, and drops one after two misses.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_MISSES: u32 = 2;
/// Time between two stops.
const STOPS_APART: Duration = Duration::from_millis(1_300);
/// Jobs that are submitted first, so that each host runs items.
const JOBS: usize = 24;
/// An item: a stream of 48 events, 250 ms apart.
const ITEM: &str = "/job/e48x250/a";
/// When the items are under way.
const ITEMS_RUN_AFTER: Duration = Duration::from_millis(600);
/// When the clients open their connections, after the first SIGTERM.
const OPENED: [Duration; 4] = [
    Duration::from_millis(4_850),
    Duration::from_millis(4_950),
    Duration::from_millis(5_050),
    Duration::from_millis(5_150),
];
/// A request: 200 ms of work.
const REQUEST: &str = "/once/w200/a";
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// The route's time limit, and the time that the clients have.
const TIMEOUT: Duration = Duration::from_millis(1_500);
const ENDED_AFTER: Duration = Duration::from_secs(8);

/// Runs the second part of the case; returns the number of requests that count.
pub async fn run(record: &Record, has_trouble: bool) -> io::Result<usize> {
    record.line("second part: short requests in a zone with one of three hosts ready");
    let timeout_ms = u64::try_from(TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    let mut job = env::route("job", "rollout", "lm", 10_000);
    job["due_ms"] = json!(20_000);
    job["retention_s"] = json!(40);
    let routes = vec![job, env::route("once", "non_idempotent", "intake", timeout_ms)];
    let store = env::start_store(&env::config(1, routes)).await?;
    let mut targets = Vec::new();
    for n in 0..3 {
        let (engine, service) = (format!("e{n}"), format!("s{n}"));
        let (first, second) = (Arc::clone(&store), Arc::clone(&store));
        let model = Some(env::MODEL);
        targets.push(Target::start(&engine, "lm", model, 16, first, record.clone()).await?);
        targets.push(Target::start(&service, "intake", None, 6, second, record.clone()).await?);
    }
    let mut hosts = Vec::new();
    for n in 1..=HOSTS {
        hosts.push(Host::start(&format!("front-z1-{n}"), "z1", store.addr()).await?);
    }
    submit_jobs(hosts[0].addrs.front).await?;
    sleep(ITEMS_RUN_AFTER).await;
    let balancer = Balancer::start(&hosts);
    let started = Instant::now();
    if has_trouble {
        record.line("SIGTERM to front-z1-1");
        hosts[0].signal("TERM")?;
        sleep_until((started + STOPS_APART).into()).await;
        record.line("SIGTERM to front-z1-2");
        hosts[1].signal("TERM")?;
    }
    let front = hosts[0].addrs.front;
    let mut clients = Vec::new();
    for (n, opened) in OPENED.into_iter().enumerate() {
        sleep_until((started + opened).into()).await;
        let allowed = balancer.opens_connections_to(0);
        record.line(format!("client {n}: the load balancer opens connections to all: {allowed}"));
        if allowed {
            let record = record.clone();
            clients.push(tokio::spawn(send_requests(n, front, started, record)));
        }
    }
    let mut cuts = Vec::new();
    for client in clients {
        cuts.extend(client.await.map_err(io::Error::other)??);
    }
    Ok(stop::count_broken(record, &targets, &cuts, has_trouble))
}

/// Submits jobs whose items run for longer than a stop.
async fn submit_jobs(to: SocketAddr) -> io::Result<()> {
    for n in 0..JOBS {
        let item = json!({
            "instance_id": format!("item-{n}"), "path": ITEM,
            "headers": {"Model": env::MODEL, "Token-Count": "20,400"},
            "body": "cHJvbXB0", "tokens": 420, "group_id": "g",
        });
        let job: Value = json!({"train_step": n, "model": env::MODEL, "min_version": 1,
            "group_count": 1, "items": [item]});
        let request = Request::new("POST", "/job/x", &format!("{n:016x}"), TIMEOUT);
        let request = request.with_body(job.to_string().into_bytes());
        if client::send_once(to, &request).await?.status != 202 {
            return Err(io::Error::other("a job is refused"));
        }
    }
    Ok(())
}

/// Sends short requests on one connection until it ends, or says that it does.
async fn send_requests(
    n: usize,
    front: SocketAddr,
    started: Instant,
    record: Record,
) -> io::Result<Vec<Cut>> {
    let mut connection = Connection::open(front).await?;
    for k in 0.. {
        let sent_at = started.elapsed();
        if sent_at > ENDED_AFTER {
            break;
        }
        let id = format!("d{n}r{k}");
        let request = Request::new("POST", REQUEST, &id, TIMEOUT).with_body(b"ask".to_vec());
        match connection.send(&request).await {
            Ok(response) if response.closes() => break,
            Ok(response) => record.line(format!("{id} is answered: {}", response.status)),
            Err(e) => {
                record.line(format!("{id}: the connection ends without an answer: {e}"));
                return Ok(vec![Cut { id, sent_at, cut_at: started.elapsed() }]);
            }
        }
        sleep(REQUEST_INTERVAL).await;
    }
    Ok(Vec::new())
}

/// The load balancer, as far as it decides where connections may go.
struct Balancer {
    in_rotation: Arc<Mutex<Vec<bool>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Balancer {
    fn start(hosts: &[Host]) -> Self {
        let in_rotation = Arc::new(Mutex::new(vec![true; hosts.len()]));
        let watch = |(n, host): (usize, &Host)| {
            let (ready, in_rotation) = (host.addrs.ready, Arc::clone(&in_rotation));
            tokio::spawn(async move {
                let mut misses = 0;
                loop {
                    sleep(PROBE_INTERVAL).await;
                    misses = if client::is_ready(ready).await { 0 } else { misses + 1 };
                    in_rotation.lock().expect("no holder panics")[n] = misses < MAX_MISSES;
                }
            })
        };
        let tasks = hosts.iter().enumerate().map(watch).collect();
        Self { in_rotation, tasks }
    }

    /// If fewer than half of a zone's hosts are in rotation, all of them are used.
    fn opens_connections_to(&self, host: usize) -> bool {
        let in_rotation = self.in_rotation.lock().expect("no holder panics");
        let count = in_rotation.iter().filter(|used| **used).count();
        in_rotation[host] || 2 * count < in_rotation.len()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
