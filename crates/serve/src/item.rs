//! Runs one item of a batch job.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_ids::ModelName;
use cassia_ids::TargetId;
use cassia_jobs::Item;
use cassia_jobs::ItemProgress;
use cassia_jobs::ItemResult;
use cassia_jobs::ItemText;
use cassia_jobs::RetryDecision;
use cassia_jobs::RetryState;
use cassia_jobs::Submission;
use cassia_quarantine::RunDecision;
use cassia_quarantine::Work;
use cassia_quarantine::request_digest;
use cassia_route::Route;
use cassia_route::SlotPreference;
use cassia_route::Target;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::accounts;
use crate::app::App;
use crate::clock::MAX_CLOCK_SKEW_MS;
use crate::clock::millis;
use crate::clock::unix_ms;
use crate::generate::Run;
use crate::generate::RunOutcome;
use crate::job_requests::JobRequests;
use crate::lock::lock;
use crate::quarantine::WatchedRun;
use crate::slot::BreakOff;
use crate::slot::Slot;
use crate::slot::SlotWait;
use crate::slot::TextOrigin;
use crate::target_clients::Connections;
use crate::token_time::TokenTime;

/// One in this many items of a job, the longest ones, counts as long.
const LONG_ITEM_DIVISOR: usize = 4;
/// Maximum number of times that an item moves to a faster engine.
const MAX_MOVES: u32 = 3;
/// How long a text that makes no progress waits for engines with the version of the
/// software that began it, before it begins anew at another version.
const SOFTWARE_TIMEOUT: Duration = Duration::from_secs(3);
/// How often it is looked whether an item that is suspected of crashing engines may run.
const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The method of items and reward calls.
pub(crate) const POST: &str = "POST";
/// Delay while an item or its reward call has no route, or its route no service.
pub(crate) const NO_ROUTE_DELAY: Duration = Duration::from_millis(300);

/// What the run of an item adds to the log.
#[derive(Clone, Debug)]
pub(crate) enum JobOutput {
    /// The item's result.
    Result(ItemResult),
    /// Its text so far.
    Progress(ItemProgress),
}

impl JobOutput {
    /// Encodes the record.
    pub(crate) fn to_record(&self) -> Bytes {
        match self {
            Self::Result(result) => result.to_record(),
            Self::Progress(progress) => progress.to_record(),
        }
    }
}

/// What the items of a job share.
#[derive(Debug)]
pub(crate) struct JobContext {
    pub(crate) app: Arc<App>,
    pub(crate) partition: u32,
    pub(crate) submission: Submission,
    /// The requests to targets.
    pub(crate) requests: JobRequests,
    pub(crate) model: ModelName,
    tx: mpsc::UnboundedSender<JobOutput>,
    /// Number of expected output tokens from which on an item counts as long.
    pub(crate) long_item_tokens: u64,
    /// Mean number of expected output tokens of an item.
    pub(crate) mean_tokens: u64,
    /// Token time of the completed items.
    pub(crate) token_time: TokenTime,
    /// When to log next what the items wait for.
    pub(crate) next_wait_log: Mutex<Instant>,
    /// Where the items go on that another process had begun, by their indexes.
    progress: Mutex<HashMap<u32, ItemProgress>>,
}

/// The outcome of an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ItemOutcome {
    /// Its text is complete and has its score, if it needs one.
    Completed,
    /// An engine states that it can never be completed.
    Impossible,
    /// Engines failed it as often as its route allows.
    AttemptsFailed,
    /// Its reward call failed as often as its route allows.
    RewardFailed,
    /// The retention of its route has passed.
    PastRetention,
}

impl ItemOutcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "done",
            Self::Impossible => "can never be done",
            Self::AttemptsFailed => "its attempts all failed",
            Self::RewardFailed => "its reward call failed",
            Self::PastRetention => "kept long enough",
        }
    }
}

impl JobContext {
    pub(crate) fn new(
        app: Arc<App>,
        partition: u32,
        submission: Submission,
        progress: Vec<ItemProgress>,
        tx: mpsc::UnboundedSender<JobOutput>,
    ) -> Self {
        let mut tokens: Vec<_> =
            submission.items.iter().map(|item| item.expected_output.max(1)).collect();
        tokens.sort_unstable_by_key(|tokens| std::cmp::Reverse(*tokens));
        let long_item_tokens = tokens.get(tokens.len() / LONG_ITEM_DIVISOR).copied().unwrap_or(1);
        let count = u64::try_from(tokens.len()).unwrap_or(u64::MAX).max(1);
        let mean_tokens = tokens.iter().sum::<u64>() / count;
        let model = SmolStr::new(&submission.model);
        let requests = JobRequests::new(Arc::clone(&app), partition, submission.id.as_str().into());
        let next_wait_log = Mutex::new(Instant::now());
        let token_time = TokenTime::default();
        let progress = progress.into_iter().map(|progress| (progress.index, progress)).collect();
        Self {
            app,
            partition,
            submission,
            requests,
            model,
            tx,
            long_item_tokens,
            mean_tokens,
            token_time,
            next_wait_log,
            progress: Mutex::new(progress),
        }
    }

    pub(crate) fn item(&self, index: u32) -> &Item {
        &self.submission.items[index as usize]
    }

    pub(crate) fn is_owned(&self) -> bool {
        self.app.state.owned.borrow().contains(&self.partition)
    }

    /// Waits until this process owns the partition.
    pub(crate) async fn wait_until_owned(&self) {
        let mut owned = self.app.state.owned.subscribe();
        // The sender lives as long as the shared state.
        let _ = owned.wait_for(|owned| owned.contains(&self.partition)).await;
    }

    /// Returns whether an item has a result, as far as the partition was read.
    pub(crate) fn has_result(&self, index: u32) -> bool {
        let table = self.app.job_log.table(self.partition);
        table.job(&self.submission.id).is_some_and(|job| job.has_result(index))
    }

    /// Returns whether the item may be given up because the retention of its
    /// route has passed.
    pub(crate) fn is_past_retention(&self, route: &Route) -> bool {
        route.job.retention_ms > 0
            && unix_ms() > self.submission.accepted_ms + route.job.retention_ms + MAX_CLOCK_SKEW_MS
    }

    /// Returns the route of a request of the job; none if its items must not run.
    pub(crate) fn find_route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        if !accounts::may_run_items(&self.app, &self.submission.customer) {
            return None;
        }
        self.app.state.routes.load().as_ref()?.find(host, path).cloned()
    }

    /// Runs an item, at first on `slot`, and sends its result. Returns the
    /// index if the partition was lost before the item was done.
    pub(crate) async fn run_item(self: Arc<Self>, index: u32, slot: Slot) -> Option<u32> {
        let started = Instant::now();
        let Some((result, outcome)) = self.run_to_result(index, slot).await else {
            return Some(index);
        };
        let (id, job, took) = (result.item.as_str(), result.job.as_str(), started.elapsed());
        let took_ms = millis(took);
        let versions = format!("{:?}", result.versions);
        let newest = self.app.state.wanted.load().get(&self.model).copied();
        let group = self.item(index).group.as_str();
        let group_items = self.submission.items.iter().filter(|item| item.group == group).count();
        if result.completed {
            self.token_time.record(took, self.item(index).expected_output.max(1));
            log::info!(event = "item_done", step = "run", id, job, group, group_items, versions, newest, took_ms; "item completed");
            self.app.metrics.count("item.completed", &self.model);
        } else {
            log::info!(event = "item_given_up", step = "run", id, job, group, group_items, took_ms, why = outcome.as_str(); "item given up");
            self.app.metrics.count("item.given_up", &self.model);
        }
        self.app.metrics.time("item.time", &self.model, took);
        // While the process ends there may be no receiver. The item then has
        // no result and is run again.
        let _ = self.tx.send(JobOutput::Result(result));
        None
    }

    /// Runs an item until it has a result; `None` if the partition was lost.
    async fn run_to_result(&self, index: u32, slot: Slot) -> Option<(ItemResult, ItemOutcome)> {
        let item = self.item(index);
        let (text, versions) = match self.generate_text(index, slot).await? {
            Ok(text) => text,
            Err(outcome) => return Some((self.failed_result(index), outcome)),
        };
        let score = match &item.reward {
            None => String::new(),
            Some(reward) => match self.fetch_score(item, reward).await {
                Ok(score) => score.into(),
                Err(outcome) => return Some((self.failed_result(index), outcome)),
            },
        };
        let result = ItemResult {
            job: self.submission.id.clone(),
            index,
            item: item.id.clone(),
            completed: true,
            text,
            versions,
            score,
        };
        Some((result, ItemOutcome::Completed))
    }

    fn failed_result(&self, index: u32) -> ItemResult {
        ItemResult {
            job: self.submission.id.clone(),
            index,
            item: self.item(index).id.clone(),
            ..ItemResult::default()
        }
    }

    /// Generates an item's text and the versions that generated it; `None` if
    /// the partition was lost.
    async fn generate_text(
        &self,
        index: u32,
        slot: Slot,
    ) -> Option<Result<(String, Vec<u64>), ItemOutcome>> {
        let item = self.item(index);
        let mut attempts = RetryState::default();
        let mut next = Some(slot);
        let mut text = self.stored_text(index, &item.path);
        let (mut failed, mut moves, mut break_off) = (Vec::new(), 0, None);
        let mut software_deadline = Instant::now() + SOFTWARE_TIMEOUT;
        let work = item_work(&self.submission.host, item);
        loop {
            let Some(route) = self.find_route(&self.submission.host, &item.path) else {
                sleep(NO_ROUTE_DELAY).await;
                continue;
            };
            if self.is_past_retention(&route) {
                return Some(Err(ItemOutcome::PastRetention));
            }
            if self.app.quarantine.next_run(work) != RunDecision::Run {
                // Its slot is for others meanwhile.
                next = None;
                sleep(SUSPECT_POLL_INTERVAL).await;
                if self.is_owned() {
                    continue;
                }
                return None;
            }
            let origin = text_origin(text.as_ref(), break_off.as_ref());
            let wait = match next.take().filter(|slot| may_run(slot, text.as_ref())) {
                Some(slot) => SlotWait::Slot(slot),
                None => self.wait_to_go_on(index, &failed, origin, software_deadline).await,
            };
            let slot = match wait {
                SlotWait::Slot(slot) => slot,
                SlotWait::PartitionLost => return None,
                SlotWait::NoEngine => {
                    text = None;
                    continue;
                }
            };
            let engine = slot.engine.as_ref()?;
            let Some(watched) = self.app.quarantine.begin_run(work) else { continue };
            let so_far = text.get_or_insert_with(|| self.new_text(&route));
            let host = &self.submission.host;
            let has_faster_slot =
                || moves < MAX_MOVES && self.has_faster_slot(index, engine.target());
            let store_progress = |text: &ItemText| {
                if let Some(progress) = text.progress(&self.submission.id, index) {
                    let _ = self.tx.send(JobOutput::Progress(progress));
                }
            };
            let record_progress = || self.app.quarantine.record_run(work);
            let run = Run {
                app: &self.app,
                host,
                model: &self.model,
                requests: &self.requests,
                item,
                customer: accounts::item_header(&self.app, &self.submission.customer),
                engine,
                connections: connections(break_off.as_ref()),
                has_faster_slot: &has_faster_slot,
                store_progress: &store_progress,
                record_progress: &record_progress,
            };
            let before = so_far.last_event_id();
            let outcome = run.generate(so_far).await;
            let has_progressed = so_far.last_event_id() > before;
            self.record_end(&watched, engine.target(), outcome, has_progressed);
            if has_progressed {
                software_deadline = Instant::now() + SOFTWARE_TIMEOUT;
            }
            let tried = engine.target().info.id.clone();
            if matches!(outcome, RunOutcome::Interrupted | RunOutcome::Lost) {
                break_off = Some(BreakOff::new(engine.target()));
            }
            drop(slot);
            match outcome {
                RunOutcome::Complete => return text.map(|text| Ok(text.finish())),
                RunOutcome::Impossible => return Some(Err(ItemOutcome::Impossible)),
                RunOutcome::Failed => {
                    failed.push(tried);
                    if attempts.record_failure(route.max_attempts) == RetryDecision::GiveUp {
                        return Some(Err(ItemOutcome::AttemptsFailed));
                    }
                }
                RunOutcome::Moved => {
                    moves += 1;
                    continue;
                }
                RunOutcome::Inconsistent => {
                    text = None;
                    attempts.record_interruption();
                }
                RunOutcome::Refused | RunOutcome::Interrupted | RunOutcome::Lost => {
                    attempts.record_interruption();
                }
            }
            sleep(Duration::from_millis(attempts.delay_ms())).await;
        }
    }

    /// Returns whether an engine that is faster than an item's own has a free slot for it.
    fn has_faster_slot(&self, index: u32, own: &Target) -> bool {
        let is_better = |t: &Target| {
            t.info.software == own.info.software
                && !t.is_slow()
                && (own.is_slow() || t.is_faster_than(own))
        };
        self.find_free_slot(index, SlotPreference::Fastest, is_better).is_some()
    }

    /// Records whether an engine crashed under an item. What crashes engines gets no further
    /// than to a certain event, so one that got further was only beside the cause.
    fn record_end(
        &self,
        run: &WatchedRun,
        engine: &Target,
        outcome: RunOutcome,
        has_progressed: bool,
    ) {
        if outcome == RunOutcome::Lost && !has_progressed {
            self.app.quarantine.record_crash(run, engine);
        } else {
            self.app.quarantine.end_run(run);
        }
    }

    /// Waits for an engine at which the text may go on.
    async fn wait_to_go_on(
        &self,
        index: u32,
        failed: &[TargetId],
        origin: Option<TextOrigin<'_>>,
        deadline: Instant,
    ) -> SlotWait {
        let Some(origin) = origin else {
            let slot = self.wait_for_slot(index, None, failed, None).await;
            return slot.map_or(SlotWait::PartitionLost, SlotWait::Slot);
        };
        let wait = self.wait_for_slot_with_software(index, failed, origin, deadline).await;
        if matches!(wait, SlotWait::NoEngine) {
            let (id, software) = (self.item(index).id.as_str(), origin.software.as_str());
            log::info!(event = "item_begins_anew", step = "run", id, software; "no engine with the software that began it");
        }
        wait
    }

    fn new_text(&self, route: &Route) -> ItemText {
        let max_bytes = self.app.settings.max_text_bytes();
        ItemText::new(self.submission.min_version, route.job.single_version, max_bytes)
    }

    /// Returns the start of an item's text that another process has stored, if
    /// it may be used.
    fn stored_text(&self, index: u32, path: &str) -> Option<ItemText> {
        let progress = lock(&self.progress).remove(&index)?;
        let route = self.find_route(&self.submission.host, path)?;
        let text = self.new_text(&route).continue_from(&progress);
        let (id, after) = (self.item(index).id.as_str(), progress.last_event_id);
        log::info!(event = "item_resumed", step = "run", id, after, used = text.is_ok(); "another process had begun the item");
        text.ok()
    }
}

/// Returns what an item is recognised by when it comes again.
fn item_work(host: &str, item: &Item) -> Work {
    Work::of_item(request_digest(host, POST, &item.path, &item.body), &item.id)
}

/// Returns what began a text; `None` while there is no event.
fn text_origin<'a>(
    text: Option<&'a ItemText>,
    break_off: Option<&'a BreakOff>,
) -> Option<TextOrigin<'a>> {
    let software = text.and_then(ItemText::fixed_software)?;
    Some(TextOrigin { software, break_off })
}

/// Returns the connections that the next run may use.
fn connections(last_break_off: Option<&BreakOff>) -> Connections {
    match last_break_off {
        Some(_) => Connections::Proven,
        None => Connections::Any,
    }
}

/// Returns whether the engine of a slot may go on with a text.
fn may_run(slot: &Slot, text: Option<&ItemText>) -> bool {
    let software = slot.engine.as_ref().map(|engine| &engine.target().info.software);
    text.zip(software).is_none_or(|(text, software)| text.accepts_software(software))
}
