//! Case 4: hosts that are in touch again refuse a route that has been there for
//! seconds.
//!
//! Forty hosts. With trouble, seven times: the store is silent for seven seconds.
//! Meanwhile the operator adds a route, and the store forgets the history of what
//! the operator wrote. Three seconds after the store is back, the hosts are in
//! touch, and each is sent requests on the new route.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cassia_standin::StoreFaults;
use cassia_standin::StoreStandin;
use cassia_standin::TargetSpec;
use cassia_standin::TargetStandin;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::harness::Host;
use crate::harness::PARTITIONS;
use crate::harness::Record;
use crate::harness::Verdict;
use crate::harness::config;
use crate::harness::has_trouble;
use crate::harness::route;
use crate::harness::send;
use crate::harness::wait_until_ready;

const HOSTS: usize = 40;
const ROUNDS: u64 = 7;
const ROUND: Duration = Duration::from_millis(12_300);
const SILENCE: Duration = Duration::from_secs(7);
/// When the route is added, after the store has become silent.
const CHANGE_AT: Duration = Duration::from_secs(2);
/// Time without disruption after which hosts are in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
/// When each host is sent a request on the new route, after it is in touch.
const PROBES_MS: [u64; 6] = [20, 120, 220, 350, 500, 700];

pub async fn run(folder: &Path) -> anyhow::Result<Verdict> {
    let record = Record::new();
    let verdict = play(&record).await;
    record.write(folder)?;
    verdict
}

/// Puts a configuration in force that has this many extra routes.
fn put_config(store: &StoreStandin, extra: u64) {
    let mut routes = vec![route("quote", "idempotent", "intake")];
    routes.extend((1..=extra).map(|n| route(&format!("extra{n}"), "idempotent", "intake")));
    store.put("keyed.op", "config", Some(&config(1 + extra, routes)));
}

async fn play(record: &Arc<Record>) -> anyhow::Result<Verdict> {
    let store = Arc::new(StoreStandin::start(PARTITIONS).await?);
    put_config(&store, 0);
    for n in 0..3 {
        let spec = TargetSpec {
            id: format!("s{n}"),
            service: "intake".to_owned(),
            model: None,
            events: 0,
            delay: Duration::from_millis(5),
        };
        let server = Arc::new(TargetStandin::start(spec).await?);
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
    sleep(Duration::from_secs(2)).await;
    let broken = Arc::new(AtomicU64::new(0));
    for round in 1..=ROUNDS {
        play_round(record, &store, &hosts, &broken, round).await;
    }
    let broken = broken.load(Ordering::Relaxed);
    record.add(format!("verdict: {broken} requests on a route that is there were refused with 404 by hosts in touch"));
    Ok(if broken == 0 { Verdict::Held } else { Verdict::Broken })
}

async fn play_round(
    record: &Arc<Record>,
    store: &Arc<StoreStandin>,
    hosts: &[Host],
    broken: &Arc<AtomicU64>,
    round: u64,
) {
    let start = Instant::now();
    let path = format!("/extra{round}/1");
    if has_trouble() {
        record.add("trouble: the store is silent");
        store.set_faults(StoreFaults { hang: true, ..StoreFaults::default() });
    }
    sleep_until((start + CHANGE_AT).into()).await;
    put_config(store, round);
    record.add(format!("version {} is acknowledged", 1 + round));
    if has_trouble() {
        store.expire_before("keyed.op", 0, u64::MAX);
        record.add("trouble: the store forgets the history of what the operator wrote");
    }
    sleep_until((start + SILENCE).into()).await;
    store.set_faults(StoreFaults::default());
    record.add("the store serves");
    let in_touch = start + SILENCE + CONTACT;
    let mut tasks = Vec::new();
    for (n, host) in hosts.iter().enumerate() {
        for probe in PROBES_MS {
            let (to, path, record, broken) =
                (host.listen, path.clone(), Arc::clone(record), Arc::clone(broken));
            tasks.push(tokio::spawn(async move {
                sleep_until((in_touch + Duration::from_millis(probe)).into()).await;
                let id = format!("r{round}-{n}-{probe}");
                let headers = [("attempt-id", id.as_str()), ("deadline-ms", "1500")];
                record.add(format!("send   {id} to h{n}, {path}"));
                let answer = send("POST", to, &path, &headers, "ask").await;
                let is_stale = answer.status == 404;
                let note = if is_stale { " BROKEN: the route is there" } else { "" };
                record.add(format!("answer {id}: {}{note}", answer.status));
                broken.fetch_add(u64::from(is_stale), Ordering::Relaxed);
            }));
        }
    }
    for task in tasks {
        let _ = task.await;
    }
    sleep_until((start + ROUND).into()).await;
}
