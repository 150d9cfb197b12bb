//! The rate limit controller: shares the rates of targets that state how many
//! requests a second they accept with the other hosts that send to them.
//!
//! While a target is limited, this host publishes what it wants to send there in
//! a keyed topic of the store, reads what the others want, and sets its share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::KeyedRecord;
use cassia_clients::PartitionRef;
use cassia_clients::StoreError;
use cassia_ids::TargetId;
use cassia_limits::ClaimTable;
use cassia_limits::HostClaims;
use cassia_limits::RateClaim;
use cassia_limits::TargetShare;
use cassia_route::Target;
use cassia_route::TargetSet;
use prost::Message;

use crate::app::App;
use crate::clock::millis;
use crate::keyed_reader::KeyedReader;

/// The topic of the hosts' claims, by host.
const CLAIMS: PartitionRef<'static> = PartitionRef { topic: "keyed.claims", partition: 0 };
/// How often the claims are read while a target is limited.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// How often this host's claims are published if they stay the same.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// How long the end of a limit is published.
const END_RETENTION: Duration = Duration::from_secs(6);
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Weight of a round in the average of the demand, in percent. Reward calls come
/// in bursts, a few seconds apart.
const DEMAND_WEIGHT_PERCENT: f64 = 20.0;
/// A host claims this many times its demand, since requests don't come at even
/// intervals.
const HEADROOM: f64 = 2.0;
/// The least rate that a host claims, in requests a second.
const MIN_WANTED: f64 = 0.03;

/// Runs until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    let mut controller = RateLimitController::new(&app);
    loop {
        if controller.update_claims(&app.state.targets.load(), Instant::now()) {
            controller.round(&app).await;
            tokio::time::sleep(ROUND_INTERVAL).await;
        } else {
            app.state.target_limited.notified().await;
        }
    }
}

/// What this host knows of its own requests to one limited target.
#[derive(Debug)]
struct Demand {
    /// Requests a second that looked for such a target, on average.
    per_second: f64,
    /// Requests that this process had started at it when it was logged last.
    logged: u64,
}

#[derive(Debug)]
struct RateLimitController {
    table: ClaimTable,
    reader: KeyedReader,
    demands: BTreeMap<TargetId, Demand>,
    /// The claims to publish.
    claims: Vec<RateClaim>,
    /// The claims that were published last.
    published: Vec<RateClaim>,
    publish_at: Instant,
    counted_at: Instant,
    log_at: Instant,
}

impl RateLimitController {
    fn new(app: &App) -> Self {
        let now = Instant::now();
        Self {
            table: ClaimTable::new(app.state.host.clone()),
            reader: KeyedReader::new(CLAIMS.topic),
            demands: BTreeMap::new(),
            claims: Vec::new(),
            published: Vec::new(),
            publish_at: now,
            counted_at: now,
            log_at: now,
        }
    }

    /// Updates this host's claims; returns false if there are none, and were
    /// none.
    fn update_claims(&mut self, targets: &TargetSet, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.counted_at);
        self.counted_at = now;
        let mut demands = BTreeMap::new();
        self.claims.clear();
        for target in targets.all() {
            let Some(age) = targets.rate_limit_age(target, now) else { continue };
            let id = &target.info.id;
            let age_ms = millis(age);
            if target.is_rate_limited() {
                let demand = self.demands.remove(id);
                let mut demand = demand.unwrap_or_else(|| Demand::new(target));
                demand.count(target.take_wanted(), elapsed);
                let peers = targets.of_kind(&target.info.kind);
                let open = peers.iter().filter(|peer| peer.is_open()).count();
                let wanted = demand.wanted(open);
                let limit = target.rate_limit();
                self.claims.push(RateClaim { target: id.to_string(), limit, wanted, age_ms });
                demands.insert(id.clone(), demand);
            } else if age < END_RETENTION && target.rate_limit().is_none() {
                let claim = RateClaim { target: id.to_string(), age_ms, ..RateClaim::default() };
                self.claims.push(claim);
            }
        }
        self.demands = demands;
        !self.claims.is_empty() || !self.published.is_empty()
    }

    /// Publishes this host's claims if they are due, reads those of the others
    /// and sets the shares.
    async fn round(&mut self, app: &App) {
        if let Err(e) = self.publish_if_due(app).await {
            log::debug!(event = "claims_failed", step = e.step; "{e}");
        }
        match self.read(app).await {
            Ok(()) => {
                let now = Instant::now();
                self.table.remove_expired(now);
                set_shares(&self.table, &app.state.targets.load(), now);
            }
            // The shares stay as they are: the other hosts can't change theirs
            // much without the store.
            Err(e) => {
                log::debug!(event = "claims_failed", step = e.step; "{e}");
            }
        }
        app.state.slot_freed.notify_waiters();
        self.log_limited(&app.state.targets.load());
    }

    async fn publish_if_due(&mut self, app: &App) -> Result<(), StoreError> {
        let now = Instant::now();
        let is_same = self.claims.len() == self.published.len()
            && self.claims.iter().zip(&self.published).all(|(new, old)| is_same_claim(new, old));
        if is_same && now < self.publish_at {
            return Ok(());
        }
        let value = HostClaims { claims: self.claims.clone() }.encode_to_vec();
        let deadline = now + CALL_TIMEOUT;
        // Without claims the value is empty, which deletes the record.
        app.store.put(CLAIMS, &app.state.host, &value, deadline).await?;
        self.published.clone_from(&self.claims);
        self.publish_at = now + RENEW_INTERVAL;
        Ok(())
    }

    async fn read(&mut self, app: &App) -> Result<(), StoreError> {
        let read = self.reader.read(app.store.as_ref(), Duration::ZERO, CALL_TIMEOUT).await?;
        for record in read.into_records() {
            self.apply(&record);
        }
        Ok(())
    }

    fn apply(&mut self, record: &KeyedRecord) {
        let value = record.value.clone().unwrap_or_default();
        match HostClaims::decode(value) {
            Ok(read) => self.table.apply(&record.key, read.claims, Instant::now()),
            Err(e) => {
                let host = record.key.as_str();
                log::warn!(event = "record_unreadable", step = "limit", host; "{e}");
            }
        }
    }

    /// Logs how many requests each limited target got from this process since
    /// the last line. Lines of single attempts may be left out under load.
    fn log_limited(&mut self, targets: &TargetSet) {
        let now = Instant::now();
        if now < self.log_at {
            return;
        }
        self.log_at = now + Duration::from_secs(1);
        for target in targets.all().filter(|target| target.is_rate_limited()) {
            let Some(demand) = self.demands.get_mut(&target.info.id) else { continue };
            let (started, wanted) = (target.started(), demand.per_second);
            let sent = started - std::mem::replace(&mut demand.logged, started);
            let (limit, share) = (target.rate_limit(), share_of(&self.table, target, now));
            let target = target.info.id.as_str();
            log::info!(event = "limited_target", step = "limit", target, limit, share, wanted, sent; "this host's part of a limited rate");
        }
    }
}

impl Demand {
    fn new(target: &Target) -> Self {
        Self { per_second: 0.0, logged: target.started() }
    }

    /// Counts the requests since the last round.
    fn count(&mut self, requests: u32, elapsed: Duration) {
        let per_second = f64::from(requests) / elapsed.max(ROUND_INTERVAL).as_secs_f64();
        self.per_second += (per_second - self.per_second) * DEMAND_WEIGHT_PERCENT / 100.0;
    }

    /// Returns the rate to claim, with `open` targets of the kind. Rounded to a
    /// power of two, so that small changes need no new claim.
    fn wanted(&self, open: usize) -> f64 {
        let targets = f64::from(u32::try_from(open).unwrap_or(u32::MAX).max(1));
        let wanted = self.per_second * HEADROOM / targets;
        wanted.max(MIN_WANTED).log2().ceil().exp2()
    }
}

fn is_same_claim(new: &RateClaim, old: &RateClaim) -> bool {
    RateClaim { age_ms: old.age_ms, ..new.clone() } == *old
}

/// Sets this host's shares of the limited targets.
fn set_shares(table: &ClaimTable, targets: &TargetSet, now: Instant) {
    for target in targets.all().filter(|target| target.is_rate_limited()) {
        match table.share(&target.info.id, now) {
            TargetShare::Unlimited => {
                target.end_rate_limit();
                let target = target.info.id.as_str();
                log::info!(event = "limit_ended", step = "limit", target; "another host was told that the target has no limit");
            }
            TargetShare::Limited(share) => {
                let (per_second, burst) = (share.per_second, share.burst);
                targets.set_rate_share(target, per_second, burst, rand::random(), now);
            }
        }
    }
}

fn share_of(table: &ClaimTable, target: &Target, now: Instant) -> Option<f64> {
    match table.share(&target.info.id, now) {
        TargetShare::Unlimited => None,
        TargetShare::Limited(share) => Some(share.per_second),
    }
}
