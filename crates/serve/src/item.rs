//! Runs one item of a batch job.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cassia_adapter::reward_request;
use cassia_ids::ModelName;
use cassia_jobs::Item;
use cassia_jobs::ItemResult;
use cassia_jobs::ItemText;
use cassia_jobs::RetryDecision;
use cassia_jobs::RetryState;
use cassia_jobs::Reward;
use cassia_jobs::Submission;
use cassia_route::Route;
use cassia_route::SlotPreference;
use cassia_route::Target;
use http::Method;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::app::App;
use crate::call::Call;
use crate::call::Outcome;
use crate::call::Outgoing;
use crate::call::millis;
use crate::clock::wall_ms;
use crate::generate::Generated;
use crate::generate::Run;
use crate::slot::Slot;

/// One in so many items of a job counts as long.
const LONG_PART: usize = 4;
/// Times that an item moves from a slow engine to another.
const MOST_MOVES: u32 = 3;
/// Pause while an item or its reward call has no route.
const ROUTE_PAUSE: Duration = Duration::from_millis(300);
/// Beyond the time that an item is kept: hosts' times of day differ.
const CLOCK_SLACK_MS: u64 = 6_000;

/// What all items of a job share.
#[derive(Debug)]
pub(crate) struct JobCx {
    pub(crate) app: Arc<App>,
    partition: u32,
    pub(crate) job: Submission,
    pub(crate) model: ModelName,
    tx: mpsc::UnboundedSender<ItemResult>,
    /// Items of which at least so many output tokens are expected are long.
    pub(crate) long_from: u64,
    /// Output tokens that are expected of an average item.
    pub(crate) mean_tokens: u64,
    /// What the items that are done took.
    pub(crate) pace: Pace,
    /// When to say next what the items wait for.
    pub(crate) tell_wait_at: Mutex<Instant>,
}

/// The time and the expected tokens of the items that are done.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    micros: AtomicU64,
    tokens: AtomicU64,
}

impl Pace {
    fn done(&self, took: Duration, tokens: u64) {
        self.micros.fetch_add(micros(took), Ordering::Relaxed);
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Tells how long a token takes. The guess, a time and the tokens that it
    /// is for, counts as if so many items had been seen to bear it out.
    pub(crate) fn micros_per_token(&self, guess: (Duration, u64), weight: u64) -> u64 {
        let seen = (self.micros.load(Ordering::Relaxed), self.tokens.load(Ordering::Relaxed));
        (seen.0 + weight * micros(guess.0)) / (seen.1 + weight * guess.1).max(1)
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Why an item's result is what it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Why {
    /// Its text is whole and scored.
    Done,
    /// An engine says that it can never be done.
    Impossible,
    /// Engines ran it as often as its route allows, and failed.
    Attempts,
    /// Its reward call failed as often as its route allows.
    Reward,
    /// It was kept as long as its route allows.
    Overdue,
}

impl Why {
    fn text(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Impossible => "can never be done",
            Self::Attempts => "its attempts all failed",
            Self::Reward => "its reward call failed",
            Self::Overdue => "kept long enough",
        }
    }
}

impl JobCx {
    pub(crate) fn new(
        app: Arc<App>,
        partition: u32,
        job: Submission,
        tx: mpsc::UnboundedSender<ItemResult>,
    ) -> Self {
        let mut tokens: Vec<_> = job.items.iter().map(|item| item.expected_output.max(1)).collect();
        tokens.sort_unstable_by_key(|tokens| std::cmp::Reverse(*tokens));
        let long_from = tokens.get(tokens.len() / LONG_PART).copied().unwrap_or(1);
        let count = u64::try_from(tokens.len()).unwrap_or(u64::MAX).max(1);
        let mean_tokens = tokens.iter().sum::<u64>() / count;
        let model = SmolStr::new(&job.model);
        let tell_wait_at = Mutex::new(Instant::now());
        let pace = Pace::default();
        Self { app, partition, job, model, tx, long_from, mean_tokens, pace, tell_wait_at }
    }

    pub(crate) fn item(&self, index: u32) -> &Item {
        &self.job.items[index as usize]
    }

    pub(crate) fn is_owned(&self) -> bool {
        self.app.board.owned.borrow().contains(&self.partition)
    }

    /// Waits until the partition is this process's.
    pub(crate) async fn until_owned(&self) {
        let mut owned = self.app.board.owned.subscribe();
        // The sender lives as long as the board does.
        let _ = owned.wait_for(|owned| owned.contains(&self.partition)).await;
    }

    /// Whether an item is listed by now, as far as the partition was read.
    pub(crate) fn is_listed(&self, index: u32) -> bool {
        let fold = self.app.shelf.fold(self.partition);
        fold.job(&self.job.id).is_some_and(|job| job.has_result(index))
    }

    /// Whether the item may be given up because it was kept long enough.
    fn is_overdue(&self, route: &Route) -> bool {
        route.job.retention_ms > 0
            && wall_ms() > self.job.accepted_ms + route.job.retention_ms + CLOCK_SLACK_MS
    }

    pub(crate) fn route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        self.app.board.routes.load().as_ref()?.find(host, path).cloned()
    }

    /// Runs an item on its first slot, and has its result listed. Gives the item
    /// back if the partition was lost before it was done.
    pub(crate) async fn run_item(self: Arc<Self>, index: u32, slot: Slot) -> Option<u32> {
        let begun = Instant::now();
        let Some((result, why)) = self.result(index, slot).await else {
            return Some(index);
        };
        let (id, job, took) = (result.item.as_str(), result.job.as_str(), begun.elapsed());
        let took_ms = millis(took);
        let versions = format!("{:?}", result.versions);
        let newest = self.app.board.wanted.load().get(&self.model).copied();
        let group = self.item(index).group.as_str();
        let group_items = self.job.items.iter().filter(|item| item.group == group).count();
        if result.completed {
            self.pace.done(took, self.item(index).expected_output.max(1));
            log::info!(event = "item_done", step = "run", id, job, group, group_items, versions, newest, took_ms; "done");
            self.app.metrics.count("item.completed", &self.model);
        } else {
            log::info!(event = "item_given_up", step = "run", id, job, group, group_items, took_ms, why = why.text(); "given up");
            self.app.metrics.count("item.given_up", &self.model);
        }
        self.app.metrics.time("item.time", &self.model, took);
        // Nobody takes it when the process ends: then it is run again.
        let _ = self.tx.send(result);
        None
    }

    /// Works an item's result out, and why it is one without a text; none if
    /// another process is to do it.
    async fn result(&self, index: u32, slot: Slot) -> Option<(ItemResult, Why)> {
        let item = self.item(index);
        let (text, versions) = match self.text(index, slot).await? {
            Ok(text) => text,
            Err(why) => return Some((self.errored(index), why)),
        };
        let score = match &item.reward {
            None => String::new(),
            Some(reward) => match self.score(&item.id, reward).await {
                Some(score) => score.into(),
                None => return Some((self.errored(index), Why::Reward)),
            },
        };
        let result = ItemResult {
            job: self.job.id.clone(),
            index,
            item: item.id.clone(),
            completed: true,
            text,
            versions,
            score,
        };
        Some((result, Why::Done))
    }

    fn errored(&self, index: u32) -> ItemResult {
        ItemResult {
            job: self.job.id.clone(),
            index,
            item: self.item(index).id.clone(),
            ..ItemResult::default()
        }
    }

    /// Generates an item's text; inside, why it is given up.
    async fn text(&self, index: u32, slot: Slot) -> Option<Result<(String, Vec<u64>), Why>> {
        let item = self.item(index);
        let mut attempts = RetryState::default();
        let mut next = Some(slot);
        let mut text: Option<ItemText> = None;
        let mut failed = Vec::new();
        let mut moves = 0;
        loop {
            let Some(route) = self.route(&self.job.host, &item.path) else {
                sleep(ROUTE_PAUSE).await;
                continue;
            };
            if self.is_overdue(&route) {
                return Some(Err(Why::Overdue));
            }
            let slot = match next.take() {
                Some(slot) => slot,
                None => self.slot(index, None, &failed).await?,
            };
            let engine = slot.engine.as_ref()?;
            let fresh = || ItemText::new(self.job.min_version, route.job.single_version);
            let so_far = text.get_or_insert_with(fresh);
            let host = &self.job.host;
            let has_other = || {
                let own = engine.target();
                let better = |t: &Target| !t.is_slow() && (own.is_slow() || t.is_faster_than(own));
                moves < MOST_MOVES
                    && self.free_engine(index, SlotPreference::Fastest, better).is_some()
            };
            let has_other = &has_other;
            let run = Run { app: &self.app, host, model: &self.model, item, engine, has_other };
            let generated = run.generate(so_far).await;
            let tried = engine.target().info.id.clone();
            drop(slot);
            match generated {
                Generated::Whole => return text.map(|text| Ok(text.finish())),
                Generated::Impossible => return Some(Err(Why::Impossible)),
                Generated::Failed => {
                    failed.push(tried);
                    if attempts.record_failure(route.max_attempts) == RetryDecision::GiveUp {
                        return Some(Err(Why::Attempts));
                    }
                }
                Generated::Moves => {
                    moves += 1;
                    continue;
                }
                Generated::Misfit => {
                    text = None;
                    attempts.record_interruption();
                }
                Generated::Refused | Generated::BrokeOff => attempts.record_interruption(),
            }
            sleep(Duration::from_millis(attempts.delay_ms())).await;
        }
    }

    /// Has a text scored; none if the scorer fails for good.
    async fn score(&self, item: &str, reward: &Reward) -> Option<SmolStr> {
        let mut attempts = RetryState::default();
        loop {
            let Some(route) = self.route(&reward.host, &reward.path) else {
                sleep(ROUTE_PAUSE).await;
                continue;
            };
            match self.call(reward, &route).await? {
                Outcome::Answer(answered) if answered.answer.status().is_success() => {
                    if let Some(score) = answered.head.signature {
                        return Some(score);
                    }
                    attempts.record_interruption();
                }
                Outcome::Failed(_, failures) => {
                    let call = reward.id.as_str();
                    log::info!(event = "reward_failed", step = "score", id = item, call, failures; "its targets ran it and failed");
                    for _ in 0..failures {
                        if attempts.record_failure(route.max_attempts) == RetryDecision::GiveUp {
                            return None;
                        }
                    }
                }
                Outcome::Answer(_) => {
                    if attempts.record_failure(route.max_attempts) == RetryDecision::GiveUp {
                        return None;
                    }
                }
                Outcome::Refused(refusal) => {
                    let (call, kind) = (reward.id.as_str(), refusal.kind());
                    log::info!(event = "reward_refused", step = "score", id = item, call, kind; "no target's answer");
                    attempts.record_interruption();
                }
            }
            sleep(Duration::from_millis(attempts.delay_ms())).await;
        }
    }

    async fn call(&self, reward: &Reward, route: &Route) -> Option<Outcome> {
        let (uri, headers) = match reward_request(reward) {
            Ok(request) => request,
            Err(e) => {
                log::warn!(event = "reward_impossible", step = "score", id = reward.id.as_str(); "{e}");
                return None;
            }
        };
        let service = route.pick_service(rand::random())?.clone();
        let deadline = Instant::now() + route.timeout();
        let id = SmolStr::new(&reward.id);
        let out = Outgoing { method: Method::POST, uri, headers, body: reward.body.clone() };
        let call = Call {
            app: &self.app,
            id: &id,
            route,
            service,
            out,
            deadline,
            patience_ends: deadline,
        };
        Some(call.repeatable().await)
    }
}
