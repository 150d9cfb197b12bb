//! A planned stop: requests on connections that came while the load balancer still
//! had the host in rotation.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::Verdict;
use crate::client;
use crate::client::Connection;
use crate::client::Request;
use crate::env;
use crate::host::Host;
use crate::late;
use crate::record::Record;
use crate::target::RunEnd;
use crate::target::Target;

/// The platform kills a process this long after SIGTERM.
const GRACE: Duration = Duration::from_secs(8);
/// The load balancer asks each host once a second.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// After this many misses in a row a host gets no new connections.
const MAX_MISSES: u32 = 2;
/// Clients that open a connection after the SIGTERM.
const CLIENTS: usize = 6;
/// When the first of them opens its connection; the host is still in rotation.
const FIRST_OPENED: Duration = Duration::from_millis(1_500);
const OPENED_APART: Duration = Duration::from_millis(40);
/// Time between two short requests on a connection.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// When the clients send the request that takes long.
const LONG_REQUEST_AT: Duration = Duration::from_millis(3_300);
/// A short request: 20 ms of work.
const SHORT: &str = "/once/w20/a";
/// Long ones, by turns: a stream of 17 events, 250 ms apart, and a plain request that may
/// not be repeated.
const LONG: [&str; 2] = ["/stream/e17x250/a", "/once/w4250/a"];
const DEADLINE: Duration = Duration::from_secs(10);
/// The rule leaves out requests that were sent no later than this after the SIGTERM, if
/// their engine is at work in the last sixth of the grace period.
const LEFT_OUT_UNTIL: Duration = Duration::from_secs(3);

/// A request whose connection ended without a complete answer.
#[derive(Debug)]
pub struct Cut {
    pub id: String,
    /// Since the SIGTERM of the host that took it.
    pub sent_at: Duration,
    pub cut_at: Duration,
}

/// Runs the case.
pub async fn run(path: &str, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(path)?;
    let routes = vec![
        env::route("stream", "stream", "lm", 10_000),
        env::route("once", "non_idempotent", "intake", 10_000),
    ];
    let store = env::start_store(&env::config(1, routes)).await?;
    let mut engines = Vec::new();
    for n in 0..3 {
        let (engine, service) = (format!("e{n}"), format!("s{n}"));
        let model = Some(env::MODEL);
        let (first, second) = (Arc::clone(&store), Arc::clone(&store));
        engines.push(Target::start(&engine, "lm", model, 8, first, record.clone()).await?);
        engines.push(Target::start(&service, "intake", None, 6, second, record.clone()).await?);
    }
    let mut host = Host::start("front-z1-1", "z1", store.addr()).await?;
    let other = Host::start("front-z1-2", "z1", store.addr()).await?;
    let (in_rotation, balancer) = watch_rotation(host.addrs.ready, record.clone()).await?;
    let started = Instant::now();
    if has_trouble {
        record.line("SIGTERM to front-z1-1");
        host.signal("TERM")?;
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let client = Client { n, record: record.clone(), rotation: in_rotation.clone() };
            tokio::spawn(client.run(started, host.addrs.front, other.addrs.front))
        })
        .collect();
    let mut cuts = Vec::new();
    for client in clients {
        cuts.extend(client.await.map_err(io::Error::other)??);
    }
    if has_trouble {
        sleep_until((started + GRACE).into()).await;
        record.line(format!("front-z1-1 has ended: {}", host.has_ended()));
        host.kill();
    }
    balancer.abort();
    let broken = count_broken(&record, &engines, &cuts, has_trouble);
    drop((host, other, engines));
    let broken = broken + late::run(&record, has_trouble).await?;
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Returns how many of the requests that were cut break the rule: LOST, around planned work.
pub fn count_broken(record: &Record, engines: &[Target], cuts: &[Cut], has_trouble: bool) -> usize {
    let runs: Vec<_> = engines.iter().flat_map(Target::runs).collect();
    // The engine broke nothing off: it was at work when its connection ended.
    let dropped = runs.iter().filter(|run| run.end == RunEnd::Dropped);
    let dropped: BTreeSet<_> = dropped.map(|run| run.id.as_str()).collect();
    let mut broken = 0;
    for cut in cuts {
        let passed_on = dropped.contains(cut.id.as_str());
        let counts = !has_trouble
            || cut.sent_at > LEFT_OUT_UNTIL && cut.cut_at < GRACE + Duration::from_secs(1);
        let (sent, at) = (cut.sent_at.as_secs_f64(), cut.cut_at.as_secs_f64());
        let id = &cut.id;
        record.line(format!(
            "{id} was sent {sent:.3} s after the SIGTERM and cut at {at:.3} s; \
             passed on: {passed_on}, counts: {counts}"
        ));
        broken += usize::from(passed_on && counts);
    }
    record.line(format!("requests passed on and cut: {broken}"));
    broken
}

/// Asks the host as the load balancer does, once a second. Returns whether the host is
/// in rotation, after the first answer.
async fn watch_rotation(
    ready: SocketAddr,
    record: Record,
) -> io::Result<(watch::Receiver<bool>, tokio::task::JoinHandle<()>)> {
    if !client::is_ready(ready).await {
        return Err(io::Error::other("the host is not ready"));
    }
    let (tx, rx) = watch::channel(true);
    let task = tokio::spawn(async move {
        let mut misses = 0;
        loop {
            sleep(PROBE_INTERVAL).await;
            misses = if client::is_ready(ready).await { 0 } else { misses + 1 };
            let in_rotation = misses < MAX_MISSES;
            if tx.send_replace(in_rotation) != in_rotation {
                record.line(format!("load balancer: front-z1-1 in rotation: {in_rotation}"));
            }
        }
    });
    Ok((rx, task))
}

struct Client {
    n: usize,
    record: Record,
    rotation: watch::Receiver<bool>,
}

impl Client {
    /// Sends short requests on one connection, then a long one; when the host closes the
    /// connection between two of them, it goes on at the other host.
    async fn run(
        self,
        started: Instant,
        host: SocketAddr,
        other: SocketAddr,
    ) -> io::Result<Vec<Cut>> {
        let offset = OPENED_APART * u32::try_from(self.n).unwrap_or(0);
        sleep_until((started + FIRST_OPENED + offset).into()).await;
        let to = if *self.rotation.borrow() { host } else { other };
        let name = if to == host { "front-z1-1" } else { "front-z1-2" };
        let mut connection = Connection::open(to).await?;
        self.record.line(format!("client {} opens a connection to {name}", self.n));
        let mut cuts = Vec::new();
        for k in 0.. {
            let sent_at = started.elapsed();
            let is_long = sent_at >= LONG_REQUEST_AT;
            let id = format!("c{}r{k}", self.n);
            let path = if is_long { LONG[self.n % LONG.len()] } else { SHORT };
            let request = Request::new("POST", path, &id, DEADLINE).with_body(b"ask".to_vec());
            match connection.send(&request).await {
                Ok(response) => {
                    let status = response.status;
                    self.record.line(format!("{id} is answered: {status}, whole"));
                    if is_long {
                        break;
                    }
                    if response.closes() {
                        self.record.line(format!("client {} goes on at front-z1-2", self.n));
                        connection = Connection::open(other).await?;
                    }
                }
                Err(e) => {
                    let cut_at = started.elapsed();
                    self.record.line(format!("{id}: the connection ends without an answer: {e}"));
                    cuts.push(Cut { id, sent_at, cut_at });
                    if is_long {
                        break;
                    }
                    connection = Connection::open(other).await?;
                }
            }
            sleep(REQUEST_INTERVAL).await;
        }
        Ok(cuts)
    }
}
