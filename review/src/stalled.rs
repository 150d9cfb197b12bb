//! Case 5: a stream whose engine goes dark gets no end at its route's timeout.
//!
//! Two hosts and six engines with streams of about a second. With trouble, one
//! engine goes dark twice, for 4.5 s each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_standin::Link;
use cassia_standin::LinkCut;
use cassia_standin::StoreStandin;
use cassia_standin::TargetSpec;
use cassia_standin::TargetStandin;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::harness::Host;
use crate::harness::PARTITIONS;
use crate::harness::ROUTE_HOST;
use crate::harness::Record;
use crate::harness::Verdict;
use crate::harness::config;
use crate::harness::free_addr;
use crate::harness::has_trouble;
use crate::harness::route;
use crate::harness::wait_until_ready;

const HOSTS: usize = 2;
const ENGINES: usize = 6;
const EVENTS: u64 = 11;
const EVENT_TIME: Duration = Duration::from_millis(100);
/// The route's timeout, in milliseconds.
const TIMEOUT_MS: u64 = 1_400;
const TIMEOUT: Duration = Duration::from_millis(TIMEOUT_MS);
/// The time after it within which the rule wants an answer.
const SLACK: Duration = Duration::from_millis(500);
/// Gap after which a client abandons a stream: two seconds, four times the
/// objective or eight times the pause that the sheet allows, whichever is longest.
const CLIENT_GAP: Duration = Duration::from_secs(2);
const DEADLINE_MS: u64 = 12_000;
const RATE: u32 = 40;
const LOAD_SECONDS: u32 = 20;
const DARK_AT: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(12)];
const DARK_FOR: Duration = Duration::from_millis(4_500);

/// How a stream ended, as its client saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The status of a complete answer.
    Complete(u16),
    /// The connection ended before the answer did.
    Cut,
    /// The client abandoned it.
    Abandoned,
}

pub async fn run(folder: &Path) -> anyhow::Result<Verdict> {
    let record = Record::new();
    let verdict = play(&record).await;
    record.write(folder)?;
    verdict
}

async fn play(record: &Arc<Record>) -> anyhow::Result<Verdict> {
    let store = Arc::new(StoreStandin::start(PARTITIONS).await?);
    let mut stream = route("chat", "stream", "lm");
    stream["timeout_ms"] = json!(TIMEOUT_MS);
    stream["resumable"] = json!(true);
    store.put("keyed.op", "config", Some(&config(1, vec![stream])));
    let (mut links, mut addrs) = (Vec::new(), BTreeMap::new());
    for n in 0..ENGINES {
        let id = format!("e{n}");
        let spec = TargetSpec {
            id: id.clone(),
            service: "lm".to_owned(),
            model: Some("m".to_owned()),
            events: EVENTS,
            delay: EVENT_TIME,
        };
        let engine = Arc::new(TargetStandin::start(spec).await?);
        let link = Link::start(free_addr()?, engine.addr()).await?;
        addrs.insert(id, link.addr());
        links.push(link);
        let store = Arc::clone(&store);
        tokio::spawn(async move {
            loop {
                engine.send_heartbeat(&store);
                sleep(Duration::from_millis(600)).await;
            }
        });
    }
    let view = store.start_view(addrs).await?;
    let mut hosts = Vec::new();
    for n in 0..HOSTS {
        hosts.push(Host::start(&format!("h{n}"), view.addr())?);
    }
    wait_until_ready(&hosts).await?;
    sleep(Duration::from_secs(4)).await;
    let listens: Vec<_> = hosts.iter().map(|host| host.listen).collect();
    let start = Instant::now();
    let trouble = async {
        if !has_trouble() {
            return;
        }
        for at in DARK_AT {
            sleep((start + at).saturating_duration_since(Instant::now())).await;
            record.add("trouble: e0 goes dark");
            links[0].cut(LinkCut::Hang);
            sleep(DARK_FOR).await;
            record.add("trouble: e0 is back");
            links[0].heal();
        }
    };
    let (ends, ()) = tokio::join!(send_load(record, &listens), trouble);
    let long: Vec<_> = ends.iter().filter(|(_, took)| *took > TIMEOUT).collect();
    let open = long.iter().filter(|(_, took)| *took > TIMEOUT + SLACK).count();
    record.add(format!(
        "verdict: {} streams lasted longer than their route's timeout, {open} of them had no end 0.5 s after it",
        long.len()
    ));
    let is_broken = open >= 8 && 4 * open > long.len();
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

async fn send_load(record: &Arc<Record>, listens: &[SocketAddr]) -> Vec<(End, Duration)> {
    let mut tasks = Vec::new();
    for n in 0..RATE * LOAD_SECONDS {
        let host = n as usize % listens.len();
        let (to, record) = (listens[host], Arc::clone(record));
        tasks.push(tokio::spawn(async move {
            let id = format!("c{n}");
            record.add(format!("send   {id} to h{host}"));
            let sent = Instant::now();
            let (end, events) = request_stream(to, &id).await;
            let took = sent.elapsed();
            record.add(format!(
                "end    {id} after {:.3} s, {events} events: {end:?}",
                took.as_secs_f64()
            ));
            (end, took)
        }));
        sleep(Duration::from_secs(1) / RATE).await;
    }
    let mut ends = Vec::new();
    for task in tasks {
        ends.extend(task.await);
    }
    ends
}

/// Requests a stream and reads it until it ends or pauses for too long.
async fn request_stream(to: SocketAddr, id: &str) -> (End, usize) {
    let Ok(mut stream) = TcpStream::connect(to).await else { return (End::Cut, 0) };
    let request = format!(
        "POST /chat/1 HTTP/1.1\r\nhost: {ROUTE_HOST}\r\nattempt-id: {id}\r\ndeadline-ms: {DEADLINE_MS}\r\nmodel: m\r\ntoken-count: 20,60\r\ncontent-length: 3\r\n\r\nask"
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return (End::Cut, 0);
    }
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        let events = text.matches("data: ").count();
        if let Some(status) = complete_status(&text) {
            return (End::Complete(status), events);
        }
        let mut chunk = [0; 4_096];
        match timeout(CLIENT_GAP, stream.read(&mut chunk)).await {
            Err(_) => return (End::Abandoned, events),
            Ok(Ok(0) | Err(_)) => return (End::Cut, events),
            Ok(Ok(count)) => received.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Returns the status of an answer if it is complete.
fn complete_status(text: &str) -> Option<u16> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let head = head.to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_complete = match length {
        Some(length) => body.len() >= length.trim().parse().ok()?,
        None => body.ends_with("0\r\n\r\n"),
    };
    is_complete.then_some(status)
}
