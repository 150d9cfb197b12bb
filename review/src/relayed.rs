//! Case 1: an answer without a length that is reset on its way through another
//! host reaches the client as complete.
//!
//! Four hosts, five servers of a service and five engines. All answers have no
//! length and end with their connection. With trouble, one host loses its path to
//! one server and one engine, and three of the five servers and engines break off
//! 3 in 100 of their answers with a reset.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use cassia_standin::Link;
use cassia_standin::LinkCut;
use cassia_standin::StoreStandin;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::harness::Host;
use crate::harness::PARTITIONS;
use crate::harness::Record;
use crate::harness::Serve;
use crate::harness::Verdict;
use crate::harness::config;
use crate::harness::free_addr;
use crate::harness::has_trouble;
use crate::harness::list_server;
use crate::harness::read_request;
use crate::harness::reset;
use crate::harness::route;
use crate::harness::send;
use crate::harness::start_server;
use crate::harness::wait_until_ready;

const HOSTS: usize = 4;
const SERVERS: usize = 5;
/// One answer in this many breaks off: 2.9 in 100.
const BREAK_EVERY: u64 = 34;
const EVENTS: u64 = 6;
const EVENT_TIME: Duration = Duration::from_millis(10);
const WORK_TIME: Duration = Duration::from_millis(25);
/// Requests a second at the host whose paths are cut, and how long.
const RATE: u32 = 40;
const LOAD_SECONDS: u32 = 30;
const JOBS: usize = 24;
const ITEMS: usize = 40;

/// A server whose answers have no length.
struct Unframed {
    id: String,
    is_engine: bool,
    /// Whether it breaks answers off.
    breaks: Mutex<bool>,
    answers: AtomicU64,
    record: Arc<Record>,
}

fn whole_body(id: &str) -> String {
    (0..40).map(|n| format!("line {n:02} of {id}\n")).collect()
}

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: piece {number} of {id}\n\n")
}

fn whole_text(id: &str) -> String {
    (0..EVENTS).map(|n| format!("piece {n} of {id}")).collect::<Vec<_>>().join("\n")
}

impl Unframed {
    fn breaks_next(&self) -> bool {
        *self.breaks.lock().unwrap()
            && self.answers.fetch_add(1, Ordering::Relaxed) % BREAK_EVERY == BREAK_EVERY - 1
    }

    async fn answer(&self, stream: &mut TcpStream) -> Option<bool> {
        let req = read_request(stream).await?;
        let id = req.header("attempt-id").to_owned();
        let expected = req.header("expect-instance");
        if req.path == "/v1/report" {
            let body = r#"{"stage":"hybrid","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"num_waiting":0,"num_running":0,"kv_used":0,"kv_total":1,"handle_count":0}"#;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            stream.write_all(head.as_bytes()).await.ok()?;
            return Some(false);
        }
        if !expected.is_empty() && expected != self.id {
            let head = "HTTP/1.1 421 Misdirected\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(head.as_bytes()).await.ok()?;
            return Some(false);
        }
        let breaks = self.breaks_next();
        self.record.add(format!(
            "run    {id} at {}{}",
            self.id,
            if breaks { ", breaks off" } else { "" }
        ));
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-stamp: stamp-{id}\r\nconnection: close\r\n"
        );
        if self.is_engine {
            head += "content-type: text/event-stream\r\nweight-versions: 1\r\n\r\n";
            stream.write_all(head.as_bytes()).await.ok()?;
            let first = req.header("last-event-id").parse::<u64>().map_or(0, |last| last + 1);
            for number in first..EVENTS {
                if breaks && number == EVENTS / 2 {
                    return Some(true);
                }
                sleep(EVENT_TIME).await;
                stream.write_all(event(&id, number).as_bytes()).await.ok()?;
            }
            return Some(false);
        }
        sleep(WORK_TIME).await;
        head += "\r\n";
        let body = whole_body(&id);
        let sent = if breaks { &body[..body.len() / 2] } else { &body };
        stream.write_all(format!("{head}{sent}").as_bytes()).await.ok()?;
        Some(breaks)
    }
}

impl Serve for Unframed {
    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        if self.answer(&mut stream).await == Some(true) {
            // What was sent has arrived by then.
            sleep(Duration::from_millis(20)).await;
            reset(stream);
        }
    }
}

pub async fn run(folder: &Path) -> anyhow::Result<Verdict> {
    let record = Record::new();
    let verdict = play(&record).await;
    record.write(folder)?;
    verdict
}

async fn play(record: &Arc<Record>) -> anyhow::Result<Verdict> {
    let store = Arc::new(StoreStandin::start(PARTITIONS).await?);
    let mut job = route("job", "rollout", "lm");
    job["due_ms"] = json!(7_500);
    job["retention_s"] = json!(40);
    let routes = vec![route("quote", "idempotent", "intake"), job];
    store.put("keyed.op", "config", Some(&config(1, routes)));
    let mut servers = Vec::new();
    let mut cut_links = Vec::new();
    let mut own_addrs = BTreeMap::new();
    for (service, prefix) in [("intake", "s"), ("lm", "e")] {
        for n in 0..SERVERS {
            let server = Arc::new(Unframed {
                id: format!("{prefix}{n}"),
                is_engine: service == "lm",
                breaks: Mutex::new(false),
                answers: AtomicU64::new(u64::try_from(n)? * 7),
                record: Arc::clone(record),
            });
            let addr = start_server(Arc::clone(&server)).await?;
            list_server(&store, &server.id, service, addr);
            if n == 0 {
                let link = Link::start(free_addr()?, addr).await?;
                own_addrs.insert(server.id.clone(), link.addr());
                cut_links.push(link);
            }
            servers.push(server);
        }
    }
    let view = store.start_view(own_addrs).await?;
    let mut hosts = Vec::new();
    for n in 0..HOSTS {
        let addr = if n == 0 { view.addr() } else { store.addr() };
        hosts.push(Host::start(&format!("h{n}"), addr)?);
    }
    wait_until_ready(&hosts).await?;
    sleep(Duration::from_secs(6)).await;
    if has_trouble() {
        record.add(
            "trouble: h0 loses its path to s0 and e0; s0 to s2 and e0 to e2 break answers off",
        );
        cut_links.iter().for_each(|link| link.cut(LinkCut::Refuse));
        for server in servers.iter().filter(|s| s.id.ends_with(['0', '1', '2'])) {
            *server.breaks.lock().unwrap() = true;
        }
    }
    let broken = Arc::new(AtomicU64::new(0));
    let requests = send_requests(record, &hosts, &broken);
    let jobs = run_jobs(record, &store, &hosts, &broken);
    let (_, jobs) = tokio::join!(requests, jobs);
    jobs?;
    let broken = broken.load(Ordering::Relaxed);
    record
        .add(format!("verdict: {broken} answers or texts were passed on as complete and were not"));
    Ok(if broken == 0 { Verdict::Held } else { Verdict::Broken })
}

/// Sends callers' requests to the host whose paths are cut, and checks that each
/// success has the whole body.
async fn send_requests(record: &Arc<Record>, hosts: &[Host], broken: &Arc<AtomicU64>) {
    let mut tasks = Vec::new();
    for n in 0..RATE * LOAD_SECONDS {
        let (to, record, broken) = (hosts[0].listen, Arc::clone(record), Arc::clone(broken));
        tasks.push(tokio::spawn(async move {
            let id = format!("q{n}");
            let headers = [("attempt-id", id.as_str()), ("deadline-ms", "1500")];
            record.add(format!("send   {id} to h0"));
            let answer = send("POST", to, "/quote/1", &headers, "ask").await;
            let stamp = answer.signature.clone().unwrap_or_default();
            let is_whole = answer.body == Bytes::from(whole_body(&id));
            let is_wrong = answer.status == 200 && !is_whole;
            let note = if is_wrong {
                " BROKEN: complete to the client, but not the whole body"
            } else {
                ""
            };
            record.add(format!(
                "answer {id}: {} stamp {stamp}, {} bytes{note}",
                answer.status,
                answer.body.len()
            ));
            broken.fetch_add(u64::from(is_wrong), Ordering::Relaxed);
        }));
        sleep(Duration::from_secs(1) / RATE).await;
    }
    for task in tasks {
        let _ = task.await;
    }
}

/// Submits batch jobs whose items the same host runs, and checks their texts.
async fn run_jobs(
    record: &Arc<Record>,
    store: &Arc<StoreStandin>,
    hosts: &[Host],
    broken: &Arc<AtomicU64>,
) -> anyhow::Result<()> {
    let is_own = |id: &String| {
        let partition =
            cassia_jobs::lead_partition(cassia_jobs::partition(id, PARTITIONS), PARTITIONS);
        store.owner("runners", partition).as_deref() == Some("h0")
    };
    let ids: Vec<_> = (0..10_000).map(|n| format!("j{n}")).filter(is_own).take(JOBS).collect();
    anyhow::ensure!(ids.len() == JOBS, "h0 runs no jobs");
    for id in ids {
        let item = |n: usize| {
            json!({
                "instance_id": format!("{id}-{n}"), "path": format!("/job/{n}"),
                "headers": {"Model": "m", "Token-Count": "20,60", "Prompt-Prefix": "a:10,b:10"},
                "body": "cHJvbXB0", "tokens": 80, "group_id": format!("g{}", n / 4),
            })
        };
        let items: Vec<_> = (0..ITEMS).map(item).collect();
        let body = json!({"train_step": 0, "model": "m", "min_version": 1,
            "group_count": ITEMS / 4, "items": items});
        let headers = [("attempt-id", id.as_str()), ("content-type", "application/json")];
        record.add(format!("send   job {id} to h1"));
        let answer = send("POST", hosts[1].listen, "/job/x", &headers, body.to_string()).await;
        record.add(format!("answer job {id}: {}", answer.status));
        anyhow::ensure!(answer.status == 202, "job {id} is not accepted: {}", answer.status);
        let mut read = 0;
        let deadline = Instant::now() + Duration::from_secs(20);
        while read < ITEMS {
            anyhow::ensure!(Instant::now() < deadline, "job {id} is not done");
            let path = format!("/v1/lots/{id}?after={read}");
            let page = send("GET", hosts[2].listen, &path, &[("wait-ms", "500")], "").await.json();
            for result in page["results"].as_array().context("results")? {
                let item = result["instance_id"].as_str().unwrap_or_default();
                let text = result["output"].as_str().unwrap_or_default();
                let is_wrong = result["state"] == "completed" && text != whole_text(item);
                let note = if is_wrong { " BROKEN: completed, but not the whole text" } else { "" };
                let events = text.lines().count();
                record.add(format!("result {item}: {}, {events} events{note}", result["state"]));
                broken.fetch_add(u64::from(is_wrong), Ordering::Relaxed);
                read += 1;
            }
        }
    }
    Ok(())
}
