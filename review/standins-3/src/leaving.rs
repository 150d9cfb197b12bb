//! Requests reach an engine that leaves through machines that have passed on its word.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_standin::Link;
use cassia_standin::LinkCut;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::Setting;
use crate::Verdict;
use crate::host::free_addr;
use crate::http::Call;
use crate::http::call;
use crate::site::DEADLINE;
use crate::site::Site;
use crate::site::plain_engine;

const HOSTS: usize = 4;
/// One of them leaves, and loses the path to the first machine: a share of 0.125.
const ENGINES: usize = 8;
/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long after `DRAIN` the clients of the first machine send again.
const MARGIN: Duration = Duration::from_millis(200);
/// Number of requests that a machine's clients send at once.
const AT_ONCE: usize = 24;
/// Number of times that they do so before the engine leaves.
const ROUNDS: usize = 10;
/// Number of times within which each other machine passes on an answer of the engine.
const LEARN_ROUNDS: usize = 10;
/// A cut lasts no longer.
const CUT_LIMIT: Duration = Duration::from_secs(10);
/// Time within which an engine that reaches the store has reported that it drains.
const REPORT: Duration = Duration::from_millis(1_200);

pub async fn run(setting: &Setting) -> anyhow::Result<Verdict> {
    let recorder = &setting.recorder;
    let specs = (0..ENGINES).map(|n| plain_engine(n, Duration::from_millis(25))).collect();
    let mut site = Site::start(setting, 3, specs).await?;
    let (mut links, mut addrs) = (Vec::new(), BTreeMap::new());
    for engine in &site.engines {
        let link = Link::start(free_addr()?, engine.addr).await?;
        addrs.insert(engine.spec.id.clone(), link.addr());
        links.push(link);
    }
    let view = site.store.start_view(addrs).await?;
    let mut stores = vec![site.store.addr(); HOSTS];
    stores[0] = view.addr();
    site.start_hosts(setting, &stores).await?;
    sleep(Duration::from_secs(2)).await;
    let fronts: Vec<_> = site.hosts.iter().map(|host| host.front).collect();
    let engine = &site.engines[0];
    let cut_at = Instant::now();
    if setting.has_trouble {
        recorder.line("engine s0 loses the path to front-1");
        links[0].cut(LinkCut::Refuse);
    }
    for round in 0..ROUNDS {
        send_at_once(setting, fronts[0], &format!("a{round}")).await;
        sleep(Duration::from_millis(200)).await;
    }
    engine.leave(setting.has_trouble);
    if !setting.has_trouble {
        sleep(REPORT).await;
    }
    // The other machines go on serving their clients; each learns of it, from the engine
    // or from its report.
    for (n, front) in fronts.iter().enumerate().skip(1) {
        let mut has_passed_on = false;
        for round in 0..LEARN_ROUNDS {
            has_passed_on = send_at_once(setting, *front, &format!("b{n}-{round}")).await;
            if has_passed_on {
                break;
            }
        }
        anyhow::ensure!(
            has_passed_on || !setting.has_trouble,
            "machine {n} passes on no answer of the engine"
        );
    }
    let all_know_at = Instant::now();
    recorder.line("all other machines know that it leaves");
    sleep_until((all_know_at + DRAIN + MARGIN).into()).await;
    let sent_at = Instant::now();
    send_at_once(setting, fronts[0], "late").await;
    sleep(Duration::from_millis(500)).await;
    anyhow::ensure!(cut_at.elapsed() < CUT_LIMIT, "the cut lasts too long");
    let late = engine.runs().into_iter().filter(|run| run.began >= sent_at).count();
    recorder.say(format!(
        "{late} requests of clients of front-1 reach s0, sent {} ms after all other machines knew \
         that it leaves",
        sent_at.duration_since(all_know_at).as_millis()
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends some requests at once; returns whether an answer states that its engine leaves.
async fn send_at_once(setting: &Setting, front: SocketAddr, name: &str) -> bool {
    let mut calls = JoinSet::new();
    for n in 0..AT_ONCE {
        let (setting, id) = (setting.clone(), format!("{name}-{n}"));
        calls.spawn(async move {
            let request = Call::new("POST", format!("/quote/{id}"))
                .header("Attempt-Id", id.clone())
                .header("Deadline-Ms", DEADLINE.as_millis().to_string())
                .body(id.clone())
                .timeout(DEADLINE);
            let answer = call(front, &request).await;
            let is_leaving = answer.as_ref().is_some_and(|answer| answer.is_leaving);
            let status = answer.map(|answer| answer.status);
            setting.recorder.line(format!("client sends {id}: {status:?}, leaving: {is_leaving}"));
            is_leaving
        });
    }
    let answers = calls.join_all().await;
    answers.contains(&true)
}
