//! Case 3: items of an ended batch job go on reaching an engine from machines in
//! touch, since a host that has lost the store sends them through others.
//!
//! Four hosts and five engines. A host runs a long batch job. With trouble, the
//! store no longer answers it, and it loses its path to one engine. Then the job
//! is ended at another host.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_standin::Link;
use cassia_standin::LinkCut;
use cassia_standin::Proxy;
use cassia_standin::StoreStandin;
use cassia_standin::TargetSpec;
use cassia_standin::TargetStandin;
use serde_json::json;
use tokio::time::sleep;

use crate::harness::Host;
use crate::harness::PARTITIONS;
use crate::harness::Record;
use crate::harness::Verdict;
use crate::harness::config;
use crate::harness::free_addr;
use crate::harness::has_trouble;
use crate::harness::route;
use crate::harness::send;
use crate::harness::wait_until_ready;

const HOSTS: usize = 4;
const ENGINES: usize = 5;
/// An item takes a second.
const EVENTS: u64 = 10;
const EVENT_TIME: Duration = Duration::from_millis(100);
/// More than the engines complete in ten seconds.
const ITEMS: usize = 480;
/// How long the store does not answer the host.
const OUTAGE: Duration = Duration::from_secs(9);
/// Within this time after the acknowledgement, the end of a job takes effect.
const CANCEL: Duration = Duration::from_secs(3);

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
    store.put("keyed.op", "config", Some(&config(1, vec![job])));
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let spec = TargetSpec {
            id: format!("e{n}"),
            service: "lm".to_owned(),
            model: Some("m".to_owned()),
            events: EVENTS,
            delay: EVENT_TIME,
        };
        let engine = Arc::new(TargetStandin::start(spec).await?);
        engines.push(Arc::clone(&engine));
        let store = Arc::clone(&store);
        tokio::spawn(async move {
            loop {
                engine.send_heartbeat(&store);
                sleep(Duration::from_millis(600)).await;
            }
        });
    }
    // Only h0 uses this link. All others reach the engine directly.
    let link = Link::start(free_addr()?, engines[0].addr()).await?;
    let view = store.start_view(BTreeMap::from([("e0".to_owned(), link.addr())])).await?;
    let own_store = Proxy::start(view.addr()).await?;
    let mut hosts = Vec::new();
    for n in 0..HOSTS {
        let addr = if n == 0 { own_store.addr() } else { store.addr() };
        hosts.push(Host::start(&format!("h{n}"), addr)?);
    }
    wait_until_ready(&hosts).await?;
    sleep(Duration::from_secs(6)).await;
    let is_own = |id: &String| {
        let partition = cassia_jobs::partition(id, PARTITIONS);
        let lead = cassia_jobs::lead_partition(partition, PARTITIONS);
        store.owner("runners", lead).as_deref() == Some("h0")
    };
    let id = (0..1_000).map(|n| format!("j{n}")).find(is_own).context("h0 runs no jobs")?;
    submit(record, &hosts[1], &id).await?;
    sleep(Duration::from_millis(1_500)).await;
    let lost_at = Instant::now();
    if has_trouble() {
        record.add("trouble: the store no longer answers h0, and h0 loses its path to e0");
        own_store.set_blocked(true);
        link.cut(LinkCut::Refuse);
    }
    sleep(Duration::from_millis(1_000)).await;
    record.add(format!("send   end of {id} to h1"));
    let answer = send("DELETE", hosts[1].listen, &format!("/v1/lots/{id}"), &[], "").await;
    let ended = Instant::now();
    record.add(format!("answer end of {id}: {}", answer.status));
    anyhow::ensure!(answer.status == 200, "the job is not ended");
    sleep((lost_at + OUTAGE).saturating_duration_since(Instant::now())).await;
    own_store.set_blocked(false);
    link.heal();
    record.add("trouble is over");
    sleep(Duration::from_secs(3)).await;
    let mut runs: Vec<_> = engines[0].runs();
    runs.sort_by_key(|run| run.started);
    for run in &runs {
        let after = run.started.saturating_duration_since(ended).as_secs_f64();
        record.add(format!("run    {} at e0, {after:.3} s after the end", run.id));
    }
    let is_late = |at: Instant| at > ended + CANCEL && at < lost_at + OUTAGE;
    let late = runs.iter().filter(|run| is_late(run.started)).count();
    record.add(format!("verdict: {late} items of the ended job reached e0 from hosts in touch later than 3 s after its end"));
    Ok(if late == 0 { Verdict::Held } else { Verdict::Broken })
}

async fn submit(record: &Arc<Record>, to: &Host, id: &str) -> anyhow::Result<()> {
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
    let headers = [("attempt-id", id), ("content-type", "application/json")];
    record.add(format!("send   job {id} to {}", to.name));
    let answer = send("POST", to.listen, "/job/x", &headers, body.to_string()).await;
    record.add(format!("answer job {id}: {}", answer.status));
    anyhow::ensure!(answer.status == 202, "the job is not accepted");
    Ok(())
}
