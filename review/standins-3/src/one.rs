//! Two machines order the same engine within `lease_ms` of each other.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_standin::Link;
use cassia_standin::LinkCut;
use tokio::time::sleep;

use crate::Setting;
use crate::Verdict;
use crate::engine::OrderSeen;
use crate::host::free_addr;
use crate::site::Site;
use crate::site::model_engine;
use crate::site::plain_engine;

const ENGINES: usize = 9;
const HOSTS: usize = 4;
/// The engines that lose the path to one machine: 2 of 9, as a share of 0.22 takes them.
const CUT: [usize; 2] = [0, 1];
/// `lease_ms`.
const LEASE: Duration = Duration::from_millis(3_000);
/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time from the stop to a new version: the process orders all engines before it ends.
const NAMED_AFTER: Duration = Duration::from_millis(800);
const LIMIT: Duration = Duration::from_secs(15);
/// The cut lasts no longer.
const CUT_LIMIT: Duration = Duration::from_secs(10);

pub async fn run(setting: &Setting) -> anyhow::Result<Verdict> {
    let recorder = &setting.recorder;
    let mut specs: Vec<_> =
        (0..ENGINES).map(|n| model_engine(n, Duration::from_millis(80))).collect();
    specs.extend((0..2).map(|n| plain_engine(n, Duration::from_millis(25))));
    let mut site = Site::start(setting, 3, specs).await?;
    // Each machine has its own links to the engines.
    let (mut links, mut views, mut stores) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..HOSTS {
        let mut own = Vec::new();
        let mut addrs = BTreeMap::new();
        for engine in &site.engines {
            let link = Link::start(free_addr()?, engine.addr).await?;
            addrs.insert(engine.spec.id.clone(), link.addr());
            own.push(link);
        }
        let view = site.store.start_view(addrs).await?;
        stores.push(view.addr());
        views.push(view);
        links.push(own);
    }
    site.start_hosts(setting, &stores).await?;
    site.name_version(setting, 2);
    wait_for_version(&site, 2).await?;
    let holder = orders(&site).last().context("no order")?.holder.clone();
    let n = site.hosts.iter().position(|host| host.name == holder).context("the holder")?;
    recorder.line(format!("{holder} gives the orders"));
    sleep(Duration::from_secs(5)).await;
    site.hosts[n].terminate();
    sleep(NAMED_AFTER).await;
    site.name_version(setting, 3);
    anyhow::ensure!(site.hosts[n].wait_for_end(LIMIT).await, "the machine does not stop");
    let cut_at = Instant::now();
    if setting.has_trouble {
        recorder.line(format!("engines {CUT:?} lose the path to {holder}"));
        CUT.iter().for_each(|engine| links[n][*engine].cut(LinkCut::Refuse));
    }
    sleep(RESTART_DELAY).await;
    site.hosts[n].spawn()?;
    sleep(Duration::from_millis(200)).await;
    site.name_version(setting, 4);
    wait_for_version(&site, 4).await?;
    sleep(Duration::from_secs(1)).await;
    anyhow::ensure!(cut_at.elapsed() < CUT_LIMIT, "the cut lasts too long");
    Ok(judge(setting, &orders(&site)))
}

/// Returns the orders that arrived at engines, by time.
fn orders(site: &Site) -> Vec<OrderSeen> {
    let mut orders: Vec<_> = site.model_engines().flat_map(|engine| engine.orders()).collect();
    orders.sort_by_key(|order| order.at);
    orders
}

async fn wait_for_version(site: &Site, version: u64) -> anyhow::Result<()> {
    let until = Instant::now() + LIMIT;
    while !site.model_engines().all(|engine| engine.version() >= version) {
        anyhow::ensure!(Instant::now() < until, "version {version} is not loaded");
        sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Checks for each engine that no two machines order it within `lease_ms`.
fn judge(setting: &Setting, orders: &[OrderSeen]) -> Verdict {
    let mut by_engine: BTreeMap<&str, Vec<&OrderSeen>> = BTreeMap::new();
    for order in orders {
        by_engine.entry(&order.engine).or_default().push(order);
    }
    let mut verdict = Verdict::Held;
    for (engine, orders) in by_engine {
        for pair in orders.windows(2).filter(|pair| pair[0].holder != pair[1].holder) {
            let apart = pair[1].at.duration_since(pair[0].at);
            let is_lower = pair[1].fence <= pair[0].fence;
            if apart < LEASE || is_lower {
                verdict = Verdict::Broken;
                setting.recorder.say(format!(
                    "engine {engine}: an order of {} (fence {}) and {} ms later one of {} (fence {})",
                    pair[0].holder, pair[0].fence, apart.as_millis(), pair[1].holder, pair[1].fence
                ));
            }
        }
    }
    if verdict == Verdict::Held {
        setting.recorder.say("no engine was ordered by two machines within lease_ms");
    }
    verdict
}
