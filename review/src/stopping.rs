//! Case 2: a host that is being stopped takes requests until its process ends,
//! and cuts them off.
//!
//! Three hosts in one zone. With trouble, two of them get SIGTERM, one 1.3 s after
//! the other, and start again after they have ended. Meanwhile fewer than half of
//! the zone's hosts are in rotation, so the platform uses all of them. Batch jobs
//! with items of six seconds run all the time, so the processes don't end at once.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_standin::StoreStandin;
use cassia_standin::TargetSpec;
use cassia_standin::TargetStandin;
use nix::sys::signal::Signal;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::harness::Host;
use crate::harness::PARTITIONS;
use crate::harness::Record;
use crate::harness::Verdict;
use crate::harness::config;
use crate::harness::has_trouble;
use crate::harness::route;
use crate::harness::send;
use crate::harness::wait_until_ready;

const HOSTS: usize = 3;
const SERVERS: usize = 4;
/// How long a server works on a request.
const WORK_TIME: Duration = Duration::from_millis(400);
/// An engine's events, and the time that each takes: six seconds for an item.
const EVENTS: u64 = 24;
const EVENT_TIME: Duration = Duration::from_millis(250);
const ENGINES: usize = 4;
/// Time between two batch jobs of one item.
const JOB_INTERVAL: Duration = Duration::from_millis(400);
/// Requests a second to the whole zone, each on a new connection.
const RATE: u32 = 36;
const LOAD_SECONDS: u32 = 26;
/// When the first host gets SIGTERM, and how much later the next one does.
const STOP_AT: Duration = Duration::from_secs(5);
const STOP_GAP: Duration = Duration::from_millis(1_300);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The bounds of the users' platform.
const GRACE: Duration = Duration::from_secs(8);
const EXCUSED_SENT: Duration = Duration::from_secs(3);
/// A client's deadline, which is also the route's timeout.
const DEADLINE_MS: u64 = 1_500;

/// What the platform knows of a host.
#[derive(Debug, Default)]
struct Balanced {
    misses: u32,
    is_out: bool,
    stopped_at: Option<Instant>,
}

type Balancer = Mutex<Vec<Balanced>>;

/// Returns the host for a new connection: any of those in rotation, or of all if
/// fewer than half of them are.
fn choose(balancer: &Balancer, hash: usize) -> usize {
    let hosts = balancer.lock().unwrap();
    let ready: Vec<_> = (0..hosts.len()).filter(|n| !hosts[*n].is_out).collect();
    if 2 * ready.len() < hosts.len() { hash % hosts.len() } else { ready[hash % ready.len()] }
}

/// Asks a host once a second whether it is ready.
async fn probe(balancer: Arc<Balancer>, index: usize, addr: std::net::SocketAddr) {
    loop {
        let answer = send("GET", addr, "/v1/ready", &[], Bytes::new());
        let is_ready = timeout(Duration::from_secs(1), answer).await.is_ok_and(|a| a.status == 200);
        {
            let mut hosts = balancer.lock().unwrap();
            let host = &mut hosts[index];
            host.misses = if is_ready { 0 } else { host.misses + 1 };
            host.is_out = host.misses >= 2;
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// One request, as its client and the servers saw it.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    host: usize,
    /// When the host that took it had got SIGTERM, if it had.
    stopped_at: Option<Instant>,
    sent: Instant,
    ended: Instant,
    status: u16,
}

pub async fn run(folder: &Path) -> anyhow::Result<Verdict> {
    let record = Record::new();
    let verdict = play(&record).await;
    record.write(folder)?;
    verdict
}

async fn play(record: &Arc<Record>) -> anyhow::Result<Verdict> {
    let store = Arc::new(StoreStandin::start(PARTITIONS).await?);
    let mut quote = route("quote", "idempotent", "intake");
    quote["timeout_ms"] = serde_json::json!(DEADLINE_MS);
    quote["slo_ms"] = serde_json::json!(1_000);
    let mut job = route("job", "rollout", "lm");
    job["due_ms"] = serde_json::json!(7_500);
    job["retention_s"] = serde_json::json!(40);
    store.put("keyed.op", "config", Some(&config(1, vec![quote, job])));
    let mut servers = Vec::new();
    for n in 0..SERVERS + ENGINES {
        let spec = if n < SERVERS {
            TargetSpec {
                id: format!("s{n}"),
                service: "intake".to_owned(),
                model: None,
                events: 0,
                delay: WORK_TIME,
            }
        } else {
            TargetSpec {
                id: format!("e{n}"),
                service: "lm".to_owned(),
                model: Some("m".to_owned()),
                events: EVENTS,
                delay: EVENT_TIME,
            }
        };
        let server = Arc::new(TargetStandin::start(spec).await?);
        servers.push(Arc::clone(&server));
        let store = Arc::clone(&store);
        tokio::spawn(async move {
            loop {
                server.send_heartbeat(&store);
                sleep(Duration::from_millis(600)).await;
            }
        });
    }
    let mut hosts = Vec::new();
    for n in 0..HOSTS {
        hosts.push(Host::start(&format!("h{n}"), store.addr())?);
    }
    wait_until_ready(&hosts).await?;
    let balancer =
        Arc::new(Mutex::new((0..HOSTS).map(|_| Balanced::default()).collect::<Vec<_>>()));
    for (n, host) in hosts.iter().enumerate() {
        tokio::spawn(probe(Arc::clone(&balancer), n, host.ready));
    }
    sleep(Duration::from_secs(3)).await;
    let listens: Vec<_> = hosts.iter().map(|host| host.listen).collect();
    tokio::spawn(submit_jobs(listens[HOSTS - 1]));
    sleep(Duration::from_secs(6)).await;
    let start = Instant::now();
    let load = send_load(record, &balancer, &listens);
    let stops = async {
        if !has_trouble() {
            return Ok(());
        }
        let (first, rest) = hosts.split_at_mut(1);
        let stop_0 = stop(record, &balancer, &mut first[0], 0, start + STOP_AT);
        let stop_1 = stop(record, &balancer, &mut rest[0], 1, start + STOP_AT + STOP_GAP);
        tokio::try_join!(stop_0, stop_1).map(|_| ())
    };
    let (sent, stopped) = tokio::join!(load, stops);
    stopped?;
    let lost: Vec<_> = sent.iter().filter(|req| is_lost(req, &servers)).collect();
    for req in &lost {
        let after = |at: Instant| req.stopped_at.map_or(0.0, |stop| (at - stop).as_secs_f64());
        record.add(format!(
            "BROKEN {} at h{}: sent {:.3} s after its SIGTERM, ran at a server, and its connection ended without an answer {:.3} s after it",
            req.id, req.host, after(req.sent), after(req.ended)
        ));
    }
    record.add(format!("verdict: {} requests lost in planned stops", lost.len()));
    Ok(if lost.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Returns whether a planned stop lost a request that the host had passed on.
fn is_lost(req: &Sent, servers: &[Arc<TargetStandin>]) -> bool {
    let Some(stopped_at) = req.stopped_at else { return false };
    let ran = servers.iter().flat_map(|server| server.runs()).any(|run| run.id == req.id);
    let took = req.ended - req.sent;
    let is_excused =
        req.sent - stopped_at <= EXCUSED_SENT && req.ended - stopped_at >= GRACE * 5 / 6;
    req.status == 0
        && ran
        && req.ended - stopped_at <= GRACE + Duration::from_secs(1)
        && took < Duration::from_millis(DEADLINE_MS * 7 / 10)
        && !is_excused
}

/// Stops a host as planned, with SIGKILL at the end of its grace period, and
/// starts it again.
async fn stop(
    record: &Arc<Record>,
    balancer: &Arc<Balancer>,
    host: &mut Host,
    index: usize,
    at: Instant,
) -> anyhow::Result<()> {
    sleep_until(at.into()).await;
    record.add(format!("trouble: SIGTERM to {}", host.name));
    balancer.lock().unwrap()[index].stopped_at = Some(at);
    host.signal(Signal::SIGTERM);
    while !host.has_ended() && at.elapsed() < GRACE {
        sleep(Duration::from_millis(5)).await;
    }
    record.add(format!("{} ended {:.3} s after SIGTERM", host.name, at.elapsed().as_secs_f64()));
    host.signal(Signal::SIGKILL);
    sleep(RESTART_DELAY).await;
    host.start_again()?;
    record.add(format!("{} starts again", host.name));
    sleep(Duration::from_secs(2)).await;
    balancer.lock().unwrap()[index].stopped_at = None;
    Ok(())
}

/// Submits a batch job of one item at intervals.
async fn submit_jobs(to: std::net::SocketAddr) {
    for n in 1_u64.. {
        let id = format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let item = serde_json::json!({
            "instance_id": format!("{id}-0"), "path": "/job/0",
            "headers": {"Model": "m", "Token-Count": "20,60", "Prompt-Prefix": "a:10,b:10"},
            "body": "cHJvbXB0", "tokens": 80, "group_id": "g0",
        });
        let body = serde_json::json!({"train_step": 0, "model": "m", "min_version": 1,
            "group_count": 1, "items": [item]});
        let headers = [("attempt-id", id.as_str()), ("content-type", "application/json")];
        let _ = send("POST", to, "/job/x", &headers, body.to_string()).await;
        sleep(JOB_INTERVAL).await;
    }
}

async fn send_load(
    record: &Arc<Record>,
    balancer: &Arc<Balancer>,
    listens: &[std::net::SocketAddr],
) -> Vec<Sent> {
    let mut tasks = Vec::new();
    for n in 0..RATE * LOAD_SECONDS {
        // The order in which clients come has nothing to do with the hosts.
        let hash = (n as usize).wrapping_mul(2_654_435_761) >> 7;
        let host = choose(balancer, hash);
        let stopped_at = balancer.lock().unwrap()[host].stopped_at;
        let (to, record) = (listens[host], Arc::clone(record));
        tasks.push(tokio::spawn(async move {
            let id = format!("q{n}");
            let deadline = DEADLINE_MS.to_string();
            let headers = [("attempt-id", id.as_str()), ("deadline-ms", deadline.as_str())];
            let sent = Instant::now();
            record.add(format!("send   {id} to h{host}"));
            let answer = send("POST", to, "/quote/1", &headers, "ask").await;
            record.add(format!("answer {id} from h{host}: {}", answer.status));
            Sent { id, host, stopped_at, sent, ended: Instant::now(), status: answer.status }
        }));
        sleep(Duration::from_secs(1) / RATE).await;
    }
    let mut sent = Vec::new();
    for task in tasks {
        sent.extend(task.await);
    }
    sent
}
