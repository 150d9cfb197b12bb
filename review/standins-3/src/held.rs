//! Items that share their prompt are not run any more after their engines crashed once.

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::Setting;
use crate::Verdict;
use crate::engine::RunSeen;
use crate::site::Site;
use crate::site::batch_job;
use crate::site::model_engine;
use crate::site::plain_engine;
use crate::site::results;
use crate::site::submit;

const ENGINES: usize = 9;
const GROUPS: usize = 4;
const GROUP_SIZE: usize = 16;
/// How long they are down.
const DOWN: Duration = Duration::from_millis(2_000);
/// The trainer's deadline.
const STEP_DEADLINE: Duration = Duration::from_secs(12);
/// How long an item may be at no engine.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// How much longer the items are watched.
const WATCH: Duration = Duration::from_secs(15);
const JOB: &str = "7c41e09b52d6a3f8";

pub async fn run(setting: &Setting) -> anyhow::Result<Verdict> {
    let recorder = &setting.recorder;
    let mut specs: Vec<_> =
        (0..ENGINES).map(|n| model_engine(n, Duration::from_millis(80))).collect();
    specs.extend((0..3).map(|n| plain_engine(n, Duration::from_millis(25))));
    let mut site = Site::start(setting, 3, specs).await?;
    let store = site.store.addr();
    site.start_hosts(setting, &[store; 3]).await?;
    sleep(Duration::from_secs(3)).await;
    let fronts: Vec<_> = site.hosts.iter().map(|host| host.front).collect();
    let accepted = submit(setting, &fronts, JOB, &batch_job(JOB, GROUPS, GROUP_SIZE)).await?;
    crash_engines(setting, &site).await;
    let mut listed = 0;
    while accepted.elapsed() < STEP_DEADLINE {
        sleep(Duration::from_millis(500)).await;
        let read = results(fronts[1], JOB).await.unwrap_or_default();
        if read.len() != listed {
            listed = read.len();
            recorder.line(format!("trainer reads {listed} results"));
        }
        if listed == GROUPS * GROUP_SIZE {
            recorder.say(format!("all {listed} results are read"));
            return Ok(Verdict::Held);
        }
    }
    let judged_at = Instant::now();
    let listed_items: Vec<_> =
        results(fronts[1], JOB).await.unwrap_or_default().into_keys().collect();
    let idle = idle_items(&site, judged_at, &listed_items);
    let running: usize = site.model_engines().map(|engine| engine.running().len()).sum();
    let is_under_half = 2 * running < ENGINES * 8;
    recorder.say(format!(
        "the step runs out of time with {listed} of {} results; {} items have been at no engine for {} s; \
         {running} of {} slots are taken",
        GROUPS * GROUP_SIZE, idle.len(), IDLE_LIMIT.as_secs(), ENGINES * 8
    ));
    for item in idle.iter().take(4) {
        recorder.line(format!("at no engine: {item}"));
    }
    sleep(WATCH).await;
    let runs = site.model_engines().flat_map(|engine| engine.runs());
    let again = runs.filter(|run| run.began > judged_at).count();
    recorder.say(format!("{again} runs begin in the next {} s", WATCH.as_secs()));
    Ok(if idle.is_empty() || !is_under_half { Verdict::Held } else { Verdict::Broken })
}

/// Crashes all engines while they read the prompts of the job's items.
async fn crash_engines(setting: &Setting, site: &Site) {
    let until = Instant::now() + Duration::from_secs(2);
    let count = || site.model_engines().map(|engine| engine.running().len()).sum::<usize>();
    while count() < GROUPS * GROUP_SIZE && Instant::now() < until {
        sleep(Duration::from_millis(2)).await;
    }
    setting.recorder.line(format!("{} items run", count()));
    sleep(Duration::from_millis(50)).await;
    if setting.has_trouble {
        site.model_engines().for_each(|engine| engine.crash(DOWN));
    }
}

/// Returns the items without a result that no engine has finished, and that have been at
/// none for long.
fn idle_items(site: &Site, now: Instant, listed: &[String]) -> Vec<String> {
    let runs: Vec<RunSeen> = site.model_engines().flat_map(|engine| engine.runs()).collect();
    let ids = (0..GROUPS).flat_map(|g| (0..GROUP_SIZE).map(move |n| format!("{JOB}-{g}-{n}")));
    ids.filter(|id| {
        let own = || runs.iter().filter(|run| run.id == *id);
        let is_done = listed.contains(id) || own().any(|run| run.is_complete);
        let last = own().map(|run| run.ended.unwrap_or(now)).max();
        !is_done && last.is_none_or(|last| now.duration_since(last) >= IDLE_LIMIT)
    })
    .collect()
}
