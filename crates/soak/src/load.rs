//! Callers and trainers, who check what they get.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_trials::Connections;
use cassia_trials::PlatformClient;
use cassia_trials::batch_job;
use rand::Rng;
use serde_json::Value;
use tokio::time::sleep;

use crate::Seen;
use crate::world::Door;
use crate::world::World;

/// How long the balancer still sends requests to a process that stops.
const BALANCER_LAG: Duration = Duration::from_millis(1_700);
/// After that the whole system knows a batch job that was accepted.
const SETTLED: Duration = Duration::from_millis(1_500);
/// How long a trainer waits for one batch job.
const JOB_PATIENCE: Duration = Duration::from_secs(40);
const MOST_SUBMITS: usize = 40;
const PAUSE: Duration = Duration::from_millis(50);
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Sends requests one after the other, on connections that it keeps; never ends.
pub(crate) async fn call(world: Arc<World>, caller: usize) {
    let client = PlatformClient::new(Connections::KeepAlive);
    for n in 0_u64.. {
        let pause = rand::rng().random_range(5..60);
        sleep(Duration::from_millis(pause)).await;
        let Some(door) = world.any_door() else { continue };
        let route = ["quote", "once", "extra"][rand::rng().random_range(0..3)];
        request(&world, &client, &door, route, &format!("c{caller}-{n}")).await;
    }
}

/// Sends one request and checks its answer; tells the status.
pub(crate) async fn request(
    world: &World,
    client: &PlatformClient,
    door: &Door,
    route: &str,
    id: &str,
) -> u16 {
    let witness = &world.witness;
    witness.asks(id);
    let (sent, least) = (Instant::now(), witness.in_force(&door.process));
    let headers = [("attempt-id", id), ("deadline-ms", "3000")];
    let path = format!("/{route}/1");
    let answer = client.send("POST", door.listen, &path, &headers, "ask").await;
    let once = route == "once";
    let (id, process) = (id.to_owned(), door.process.clone());
    let seen = Seen { id, process, sent, status: answer.status, once };
    witness.request(&seen);
    match answer.status {
        200 => witness.whole(&seen.id, &answer.body, answer.signature.as_deref()),
        0 if world.owed(door, sent, BALANCER_LAG) => {
            let what = format!("{} had no answer from {}", seen.id, seen.process);
            witness.broken("cut off", &what);
        }
        404 if route != "extra" => {
            witness.broken("denied", &format!("{} at {}", seen.id, seen.process));
        }
        _ => {}
    }
    if route == "extra" && (answer.status == 200 || answer.status == 404) {
        let found = answer.status == 200;
        witness.found_extra(&seen.process, least, found, Instant::now());
    }
    answer.status
}

/// Hands in one batch job after the other; never ends. A trainer that names
/// versions does so after each of its jobs.
pub(crate) async fn train(world: Arc<World>, trainer: usize, version: Option<Arc<AtomicU64>>) {
    for step in 0_u64.. {
        let newest = version.as_ref().map_or(1, |version| version.load(Ordering::Relaxed));
        let id = format!("t{trainer}-{step}");
        let items = rand::rng().random_range(4..=24);
        if run_job(&world, &id, items, newest.saturating_sub(1).max(1)).await {
            world.witness.count("jobs whole");
        }
        if let Some(version) = &version {
            let next = version.fetch_add(1, Ordering::Relaxed) + 1;
            world.fleet.publish_version(next);
        }
        sleep(PAUSE * 6).await;
    }
}

/// Takes one batch job through its life; tells whether all of it came.
pub(crate) async fn run_job(world: &World, id: &str, items: usize, min_version: u64) -> bool {
    let client = PlatformClient::new(Connections::KeepAlive);
    let body = batch_job(id, items, min_version);
    let names = || (0..items).flat_map(|n| [format!("{id}-{n}"), format!("{id}-{n}-score")]);
    names().for_each(|name| world.witness.asks(&name));
    let Some(accepted) = submit(world, &client, id, &body).await else {
        return false;
    };
    if !accepted {
        world.witness.count("jobs refused");
        world.witness.refused(names());
        return false;
    }
    let reader = Reader { world, client: &client, id, accepted: Instant::now() };
    let Some(results) = reader.all().await else {
        world.witness.count("jobs late");
        return false;
    };
    for what in wrong(&results, id, items, min_version) {
        world.witness.broken("results", &what);
    }
    reader.end().await;
    sleep(PAUSE).await;
    reader.check_prefix(&results).await;
    true
}

/// Hands a job in until that is certain; tells whether it was accepted, or
/// none if nobody can say.
async fn submit(world: &World, client: &PlatformClient, id: &str, job: &Value) -> Option<bool> {
    let headers = [("attempt-id", id), ("content-type", "application/json")];
    let mut certain = true;
    for tried in 0..MOST_SUBMITS {
        // A few refusals are an answer too.
        if certain && tried >= MOST_SUBMITS / 4 {
            return Some(false);
        }
        sleep(PAUSE * 2).await;
        let Some(door) = world.any_door() else { continue };
        let body = job.to_string();
        let answer = client.send("POST", door.listen, "/job/x", &headers, body).await;
        match answer.status {
            202 => return Some(true),
            status if NOT_RUN.contains(&status) => {}
            _ => certain = false,
        }
    }
    certain.then_some(false)
}

/// Reads one job at whatever process.
struct Reader<'a> {
    world: &'a World,
    client: &'a PlatformClient,
    id: &'a str,
    accepted: Instant,
}

impl Reader<'_> {
    async fn page(&self, after: usize) -> Option<Value> {
        let door = self.world.any_door()?;
        let path = format!("/v1/lots/{}?after={after}", self.id);
        let wait = [("wait-ms", "200")];
        let answer = self.client.send("GET", door.listen, &path, &wait, Bytes::new()).await;
        if [404, 410].contains(&answer.status) && self.accepted.elapsed() > SETTLED {
            let what = format!("{} at {}: {}", self.id, door.process, answer.status);
            self.world.witness.broken("lost", &what);
        }
        (answer.status == 200).then(|| answer.json())
    }

    /// Reads until all results are there; none if they don't come.
    async fn all(&self) -> Option<Vec<Value>> {
        let mut results: Vec<Value> = Vec::new();
        while self.accepted.elapsed() < JOB_PATIENCE {
            if let Some(page) = self.page(results.len()).await {
                results.extend(page["results"].as_array().cloned().unwrap_or_default());
                if page["total_count"].as_u64() == Some(results.len() as u64) {
                    return Some(results);
                }
            }
            if rand::rng().random_ratio(1, 4) {
                self.check_prefix(&results).await;
            }
            sleep(PAUSE).await;
        }
        None
    }

    /// Checks that what was read is still the same, wherever it is read.
    async fn check_prefix(&self, known: &[Value]) {
        let Some(page) = self.page(0).await else { return };
        let now = page["results"].as_array().cloned().unwrap_or_default();
        // A host may be behind for a moment; what it has must be the same.
        if let Some(at) = known.iter().zip(&now).position(|(known, now)| known != now) {
            let what = format!("{} at {at}: {} and {}", self.id, known[at], now[at]);
            self.world.witness.broken("changed", &what);
        }
    }

    async fn end(&self) {
        for _ in 0..MOST_SUBMITS {
            if let Some(door) = self.world.any_door() {
                let path = format!("/v1/lots/{}", self.id);
                let ended = self.client.send("DELETE", door.listen, &path, &[], Bytes::new()).await;
                if ended.status == 200 {
                    return;
                }
            }
            sleep(PAUSE * 2).await;
        }
    }
}

/// Lists what is wrong with a job's results.
fn wrong(results: &[Value], id: &str, items: usize, min_version: u64) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut seen = std::collections::BTreeSet::new();
    for result in results {
        let item = result["instance_id"].as_str().unwrap_or_default();
        if !seen.insert(item.to_owned()) {
            wrong.push(format!("{item} stands twice"));
        }
        if result["state"] != "completed" {
            continue;
        }
        let pieces: Vec<_> = (0..6).map(|n| format!("piece {n} of {item}")).collect();
        if result["output"] != pieces.join("\n") {
            wrong.push(format!("{item}: {}", result["output"]));
        }
        if result["score"] != format!("stamp-{item}-score") {
            wrong.push(format!("{item}: score {}", result["score"]));
        }
        let versions = result["versions"].as_array().cloned().unwrap_or_default();
        let fits = |version: &Value| version.as_u64().is_some_and(|v| v >= min_version);
        if versions.is_empty() || !versions.iter().all(fits) {
            wrong.push(format!("{item}: versions {versions:?}, not before {min_version}"));
        }
    }
    if seen.len() != items || !seen.iter().all(|item| item.starts_with(id)) {
        wrong.push(format!("{id}: {} of {items} items", seen.len()));
    }
    wrong
}
