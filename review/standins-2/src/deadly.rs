//! An item of a batch job that crashes the engines that run it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::client;
use crate::client::ROUTE_HOST;
use crate::client::Request;
use crate::env;
use crate::host::Host;
use crate::record::Record;
use crate::target::Target;

const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: usize = 12;
/// The item that crashes its engines.
const DEADLY_ITEM: usize = 5;
const MAX_ATTEMPTS: usize = 3;
/// The rule's bound for an item that fails at each run.
const ALLOWED_RUNS: usize = 3 * MAX_ATTEMPTS;
/// How long the trainer waits for the results: until they are due, and twice as long.
const WAIT: Duration = Duration::from_secs(22);
const READ_INTERVAL: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(3);

/// Runs the case.
pub async fn run(path: &str, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(path)?;
    let mut job = env::route("job", "rollout", "lm", 10_000);
    job["due_ms"] = json!(7_500);
    job["retention_s"] = json!(40);
    job["max_attempts"] = json!(MAX_ATTEMPTS);
    let store = env::start_store(&env::config(1, vec![job])).await?;
    let mut engines = Vec::new();
    for n in 0..9 {
        let (id, store) = (format!("e{n}"), Arc::clone(&store));
        engines.push(Target::start(&id, "lm", Some(env::MODEL), 8, store, record.clone()).await?);
    }
    let first = Host::start("front-z1-1", "z1", store.addr()).await?;
    let second = Host::start("front-z1-2", "z1", store.addr()).await?;
    let hosts = [first.addrs.front, second.addrs.front];
    submit(hosts[0], has_trouble, &record).await?;
    let listed = read_results(hosts[1], &record).await;
    let deadly = format!("item-{DEADLY_ITEM}");
    let runs = engines.iter().flat_map(Target::runs).filter(|run| run.id == deadly).count();
    let crashes: u64 = engines.iter().map(Target::crash_count).sum();
    record.line(format!("{listed} of {ITEMS} items are listed"));
    record.line(format!("{deadly} ran {runs} times; engines ended {crashes} times"));
    Ok(if runs > ALLOWED_RUNS { Verdict::Broken } else { Verdict::Held })
}

/// Submits the job.
async fn submit(to: SocketAddr, has_trouble: bool, record: &Record) -> io::Result<()> {
    let item = |n: usize| {
        let word = if has_trouble && n == DEADLY_ITEM { "deadly" } else { "e10x40" };
        json!({
            "instance_id": format!("item-{n}"), "path": format!("/job/{word}/{n}"),
            "headers": {"Model": env::MODEL, "Token-Count": "20,60", "Prompt-Prefix": "a1:10,b2:10"},
            "body": "cHJvbXB0", "tokens": 80, "group_id": format!("g{}", n / 4),
        })
    };
    let items: Vec<Value> = (0..ITEMS).map(item).collect();
    let job = json!({"train_step": 0, "model": env::MODEL, "min_version": 1,
        "group_count": ITEMS / 4, "items": items});
    let request = Request::new("POST", "/job/x", JOB, DEADLINE);
    let response = client::send_once(to, &request.with_body(job.to_string().into_bytes())).await?;
    record.line(format!("the job is answered {} for {ROUTE_HOST}", response.status));
    if response.status == 202 { Ok(()) } else { Err(io::Error::other("the job is refused")) }
}

/// Reads results until all are listed, or the time is over; returns their number.
async fn read_results(from: SocketAddr, record: &Record) -> usize {
    let deadline = Instant::now() + WAIT;
    let mut listed = 0;
    while listed < ITEMS && Instant::now() < deadline {
        let path = format!("/v1/lots/{JOB}?after={listed}");
        let request = Request { method: "GET", path, ..Request::default() };
        if let Ok(response) = client::send_once(from, &request).await {
            let page: Value = serde_json::from_slice(&response.body).unwrap_or_default();
            for result in page["results"].as_array().into_iter().flatten() {
                listed += 1;
                record.line(format!("listed: {} {}", result["instance_id"], result["state"]));
            }
        }
        sleep(READ_INTERVAL).await;
    }
    listed
}
