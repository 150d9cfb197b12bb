//! A request that everybody asks is refused for minutes after a fault of everything.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::Setting;
use crate::Verdict;
use crate::http::Call;
use crate::http::call;
use crate::site::DEADLINE;
use crate::site::Site;
use crate::site::plain_engine;

const HOSTS: usize = 4;
/// Clients ask 20 times a second.
const INTERVAL: Duration = Duration::from_millis(50);
/// Traffic before the fault.
const BEFORE: Duration = Duration::from_secs(6);
/// How long a moment is waited for at which all engines are at work.
const BUSY_LIMIT: Duration = Duration::from_secs(5);
/// How long the engines are down.
const ENGINES_DOWN: Duration = Duration::from_millis(3_000);
/// Time from the crash of the engines to that of the machines.
const UNTIL_FINAL_FAULT: Duration = Duration::from_millis(700);
/// How long the machines are down.
const HOSTS_DOWN: Duration = Duration::from_millis(1_200);
/// `recover_s`.
const RECOVER: Duration = Duration::from_secs(12);
/// How long requests are counted after that.
const COUNTED: Duration = Duration::from_secs(12);

/// A request that ended: when it was sent, and whether it was served.
type Ended = (Instant, bool);

pub async fn run(setting: &Setting) -> anyhow::Result<Verdict> {
    let recorder = &setting.recorder;
    let specs = (0..3).map(|n| plain_engine(n, Duration::from_millis(150))).collect();
    let mut site = Site::start(setting, 3, specs).await?;
    let store = site.store.addr();
    site.start_hosts(setting, &[store; HOSTS]).await?;
    sleep(Duration::from_secs(1)).await;
    let fronts: Vec<_> = site.hosts.iter().map(|host| host.front).collect();
    let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let clients = tokio::spawn(send_requests(setting.clone(), fronts, Arc::clone(&ended)));
    sleep(BEFORE).await;
    // The engines are at work when they crash.
    let until = Instant::now() + BUSY_LIMIT;
    while !site.engines.iter().all(|engine| !engine.running().is_empty()) && Instant::now() < until
    {
        sleep(Duration::from_millis(1)).await;
    }
    let fault_at = Instant::now();
    if setting.has_trouble {
        site.engines.iter().for_each(|engine| engine.crash(ENGINES_DOWN));
        sleep(UNTIL_FINAL_FAULT).await;
        site.hosts.iter_mut().for_each(|host| host.kill());
        sleep(HOSTS_DOWN).await;
        for host in &mut site.hosts {
            host.spawn()?;
        }
        for host in &site.hosts {
            host.wait_until_ready().await?;
        }
    }
    let back_at = Instant::now();
    recorder.line("the machines are back");
    sleep(RECOVER + COUNTED + 2 * DEADLINE).await;
    clients.abort();
    let ended = ended.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let share = |is_counted: &dyn Fn(Instant) -> bool| {
        let counted: Vec<_> = ended.iter().filter(|(at, _)| is_counted(*at)).collect();
        (counted.iter().filter(|(_, served)| *served).count(), counted.len())
    };
    let (served_before, sent_before) = share(&|at| at < fault_at);
    let (from, to) = (back_at + RECOVER, back_at + RECOVER + COUNTED);
    let (served, sent) = share(&|at| at >= from && at < to);
    recorder.say(format!("served before the fault: {served_before} of {sent_before}"));
    recorder.say(format!("served later than recover_s after it: {served} of {sent}"));
    let is_broken = 4 * served_before >= sent_before && 4 * served < sent;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends requests at intervals, until it is aborted. They all ask the same.
async fn send_requests(setting: Setting, fronts: Vec<SocketAddr>, ended: Arc<Mutex<Vec<Ended>>>) {
    for n in 0_usize.. {
        let (setting, fronts, ended) = (setting.clone(), fronts.clone(), Arc::clone(&ended));
        tokio::spawn(async move {
            let sent_at = Instant::now();
            let is_served = request(&setting, &fronts, n).await;
            ended.lock().unwrap_or_else(PoisonError::into_inner).push((sent_at, is_served));
        });
        sleep(INTERVAL).await;
    }
}

/// Sends a request, and once more at another machine if it is not served.
async fn request(setting: &Setting, fronts: &[SocketAddr], n: usize) -> bool {
    let until = Instant::now() + DEADLINE;
    for attempt in 0..2 {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let id = format!("q{n}-{attempt}");
        let request = Call::new("POST", "/quote/list")
            .header("Attempt-Id", id.clone())
            .header("Deadline-Ms", left.as_millis().to_string())
            .body("prices of today")
            .timeout(left);
        let answer = call(fronts[(n + attempt) % fronts.len()], &request).await;
        let status = answer.as_ref().map(|answer| answer.status);
        setting.recorder.line(format!("client sends {id}: {status:?}"));
        if answer.is_some_and(|answer| answer.status == 200 && answer.stamp.is_some()) {
            return true;
        }
        sleep((left / 3).min(Duration::from_millis(250))).await;
    }
    false
}
