//! The duties controller: performs what one host at a time does for the
//! platform, under a lease in the log.
//!
//! The platform does not check fencing tokens, so a call is only sent while the
//! lease is valid for at least as long as the call may take.

use std::fmt::Debug;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use cassia_adapter::HttpPlatformApi;
use cassia_clients::ByteBudget;
use cassia_clients::DutyHolder;
use cassia_clients::PlatformApi;
use cassia_clients::PlatformApiError;
use cassia_clients::PlatformApiErrorKind;
use cassia_ids::Fence;
use cassia_lease::HeldLease;
use cassia_limits::CallRate;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::app::App;
use crate::flags::DutySettings;
use crate::lease_stream::LeaseStream;
use crate::lease_stream::MAX_CONTENDERS;
use crate::lease_stream::ROUND_INTERVAL;
use crate::lock::lock;
use crate::scaling::ScalingDuty;
use crate::usage::UsageDuty;

/// The lease for the calls of the platform's API.
const LEASE: &str = "duties";
/// Timeout of a call of the platform's API.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// How often a duty takes its next steps.
const TURN_INTERVAL: Duration = Duration::from_millis(250);
/// How long calls may fail before the holder releases the lease: another host
/// may be able to reach the platform.
const MAX_FAILING: Duration = Duration::from_secs(2);
/// How long a holder that released the lease for this reason does not contend.
const CONTENTION_PAUSE: Duration = Duration::from_secs(5);

/// What the duties of this process share.
#[derive(Debug)]
pub(crate) struct DutyContext {
    api: Box<dyn PlatformApi>,
    /// The lease as calls see it.
    held: watch::Sender<Option<HeldLease>>,
    /// Whether this process contends for the lease or holds it.
    contends: AtomicBool,
    calls: Mutex<CallState>,
}

/// The calls of the platform's API.
#[derive(Debug)]
struct CallState {
    rate: CallRate,
    /// Latest time at which the last call may arrive.
    last_arrival: Option<Instant>,
    /// When the first of the calls began that have failed since one succeeded.
    failing_since: Option<Instant>,
}

/// A period in which this process holds the lease under one fencing token.
#[derive(Clone, Debug)]
pub(crate) struct DutyTurn {
    /// In whose name calls are made.
    pub(crate) holder: DutyHolder,
    /// The fencing token in the lease stream.
    fence: Fence,
}

/// The outcome of a duty's steps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DutyOutcome {
    /// Nothing is left to do for now.
    Done,
    /// A call failed; it is to be made again later.
    PlatformUnavailable,
}

/// Why a call has no answer.
#[derive(Clone, Debug)]
pub(crate) enum CallFailure {
    /// It was not sent: the lease is about to expire, or too many calls were
    /// sent in the last second.
    NotSent,
    /// It failed.
    Failed(PlatformApiError),
}

/// Something that one host at a time does for the platform.
#[async_trait]
pub(crate) trait Duty: Debug + Send {
    /// Reads what the duty needs to know. Called at contenders and the holder.
    async fn observe(&mut self, app: &Arc<App>);

    /// Takes the next steps while the lease is held.
    async fn act(&mut self, app: &Arc<App>, turn: &DutyTurn) -> DutyOutcome;
}

impl DutyContext {
    pub(crate) fn new(settings: &DutySettings, budget: &Arc<ByteBudget>, now: Instant) -> Self {
        let calls = CallState {
            rate: CallRate::new(settings.calls_per_second, now),
            last_arrival: None,
            failing_since: None,
        };
        Self {
            api: Box::new(HttpPlatformApi::new(settings.api, Arc::clone(budget))),
            held: watch::Sender::new(None),
            contends: AtomicBool::new(false),
            calls: Mutex::new(calls),
        }
    }

    /// Returns the client of the platform's API, whose calls are sent by
    /// `DutyTurn::send`.
    pub(crate) fn api(&self) -> &dyn PlatformApi {
        self.api.as_ref()
    }

    /// Returns the fencing token of the calls, if this process holds the lease.
    pub(crate) fn held_fence(&self) -> Option<Fence> {
        self.held.borrow().map(|held| call_fence(held.fence))
    }

    /// Returns until when a call may be sent under a fencing token of the lease.
    fn send_until(&self, fence: Fence) -> Option<Instant> {
        let held = *self.held.borrow();
        held.filter(|held| held.fence == fence)?.until.checked_sub(CALL_TIMEOUT)
    }

    /// Records that a call is sent now under a fencing token of the lease; returns
    /// `false` if it must not be, or if too many were. The lease is not handed over
    /// between the check and the record, so the next holder waits for this call.
    fn record_sent(&self, fence: Fence, now: Instant) -> bool {
        let mut calls = lock(&self.calls);
        let is_held = self.send_until(fence).is_some_and(|until| now < until);
        let may_send = is_held && calls.rate.take(now);
        if may_send {
            calls.last_arrival = calls.last_arrival.max(Some(now + CALL_TIMEOUT));
        }
        may_send
    }

    fn record_answer(&self, is_failure: bool, sent_at: Instant) {
        let mut calls = lock(&self.calls);
        let first_failure = calls.failing_since.unwrap_or(sent_at);
        calls.failing_since = is_failure.then_some(first_failure);
    }

    /// Returns whether calls have failed for so long that another host should
    /// try. The failures then no longer count.
    fn should_yield(&self, now: Instant) -> bool {
        let mut calls = lock(&self.calls);
        let is_due = calls.failing_since.is_some_and(|since| now >= since + MAX_FAILING);
        if is_due {
            calls.failing_since = None;
        }
        is_due
    }

    /// Returns the turn of this process, if the lease is held and may be acted on.
    fn turn(&self, app: &App) -> Option<DutyTurn> {
        let held = (*self.held.borrow())?;
        let now = app.clock.now();
        // A call of an earlier process of this host may still arrive.
        let acts_from = held.since + CALL_TIMEOUT;
        (now >= acts_from && now < held.until && held.may_act(now, quiet_period(app))).then(|| {
            let holder = DutyHolder { host: app.state.host.clone(), fence: call_fence(held.fence) };
            DutyTurn { holder, fence: held.fence }
        })
    }
}

impl DutyTurn {
    /// Sends a call and returns its answer. Nothing is sent unless the lease stays
    /// valid for the time that the call may take.
    pub(crate) async fn send<T>(
        &self,
        app: &App,
        context: &DutyContext,
        call: impl Future<Output = Result<T, PlatformApiError>>,
    ) -> Result<T, CallFailure> {
        let sent_at = app.clock.now();
        if !context.record_sent(self.fence, sent_at) {
            return Err(CallFailure::NotSent);
        }
        app.metrics.count("duty.calls", "all");
        // A process that was suspended while it connected must not send the call
        // once it runs again, which a timer does not prevent: it is only checked
        // after the connection.
        let ends_at = sent_at + CALL_TIMEOUT;
        let mut call = pin!(call);
        let answer = poll_fn(|cx| {
            if app.clock.now() >= ends_at {
                return Poll::Ready(None);
            }
            call.as_mut().poll(cx).map(Some)
        });
        let answer = timeout(CALL_TIMEOUT, answer).await.ok().flatten();
        let answer = answer.unwrap_or_else(|| Err(timed_out()));
        let failure = answer.as_ref().err();
        let is_failure = failure.is_some_and(|e| e.kind != PlatformApiErrorKind::Refused);
        context.record_answer(is_failure, sent_at);
        if let Some(e) = failure {
            let fence = self.holder.fence;
            log::info!(event = "duty_call_failed", step = e.step, fence; "{e}");
        }
        answer.map_err(CallFailure::Failed)
    }
}

/// Starts the duties of the settings; returns `None` if there are none.
pub(crate) fn start(app: &Arc<App>) -> Option<JoinHandle<()>> {
    let context = Arc::clone(app.duties.as_ref()?);
    let usage = app.usage.iter().cloned();
    let usage = usage.map(|usage| UsageDuty::new(usage, Arc::clone(&context)));
    let mut duties: Vec<Box<dyn Duty>> = usage.map(|duty| Box::new(duty) as _).collect();
    if app.settings.duties.as_ref().is_some_and(|duties| duties.scales) {
        duties.push(Box::new(ScalingDuty::new(Arc::clone(&context))));
    }
    (!duties.is_empty()).then(|| tokio::spawn(run(Arc::clone(app), context, duties)))
}

/// Performs the duties until a planned stop has served its last request, then
/// hands the lease over.
async fn run(app: Arc<App>, context: Arc<DutyContext>, duties: Vec<Box<dyn Duty>>) {
    let mut tasks = JoinSet::new();
    for duty in duties {
        tasks.spawn(perform(Arc::clone(&app), Arc::clone(&context), duty));
    }
    let mut lease = LeaseStream::new(&app, LEASE, quiet_period(&app));
    let mut drained = app.state.drained.subscribe();
    let mut contends_from = app.clock.now();
    lease.read_at_start(&app).await;
    while !*drained.borrow() && (!app.state.is_stopping() || context.held_fence().is_some()) {
        if context.held_fence().is_some() && context.should_yield(app.clock.now()) {
            log::info!(event = "lease_yielded", step = "lease"; "the platform's API does not answer this host");
            hand_over(&app, &context, &mut lease).await;
            contends_from = app.clock.now() + CONTENTION_PAUSE;
        }
        let may_contend = app.clock.now() >= contends_from && !app.state.is_stopping();
        contend(&app, &context, &mut lease, may_contend).await;
        // The sender lives as long as the shared state.
        let _ = timeout(ROUND_INTERVAL, drained.wait_for(|drained| *drained)).await;
    }
    tasks.shutdown().await;
    hand_over(&app, &context, &mut lease).await;
}

/// Takes the next step in contending for the lease, if this process has to.
async fn contend(app: &App, context: &DutyContext, lease: &mut LeaseStream, may_contend: bool) {
    let rank = app.state.duty_rank.load().as_deref().copied();
    let rank = rank.filter(|rank| *rank < MAX_CONTENDERS);
    let is_held = context.held_fence().is_some();
    context.contends.store(rank.is_some() || is_held, Ordering::Relaxed);
    let rank = rank.filter(|_| may_contend);
    if let Some(rank) = rank {
        lease.set_rank(rank);
    }
    if rank.is_none() && !is_held && !(may_contend && lease.held_by_predecessor()) {
        return;
    }
    if let Err(e) = lease.contend(app).await {
        log::debug!(event = "store_away", step = e.step; "{e}");
    }
    update_held(context, lease.held_lease(app.clock.now()));
}

/// Hands the lease over. Another host may act once `lease_ms` have passed since
/// the last call can have arrived.
async fn hand_over(app: &App, context: &DutyContext, lease: &mut LeaseStream) {
    let last_arrival = update_held(context, None);
    let min_interval = Duration::from_millis(app.settings.lease_ms);
    lease.hand_over(app, last_arrival.map(|arrival| arrival + min_interval)).await;
}

/// Sets the lease as calls see it; returns until when the last call may arrive.
fn update_held(context: &DutyContext, held: Option<HeldLease>) -> Option<Instant> {
    let mut calls = lock(&context.calls);
    let before = context.held_fence();
    context.held.send_replace(held);
    let fence = context.held_fence();
    if fence != before {
        // Failures under another token say nothing about this one.
        calls.failing_since = None;
        log::info!(event = "duty_lease", step = "lease", fence; "lease acquired or lost");
    }
    calls.last_arrival
}

/// Performs one duty.
async fn perform(app: Arc<App>, context: Arc<DutyContext>, mut duty: Box<dyn Duty>) {
    loop {
        if context.contends.load(Ordering::Relaxed) {
            duty.observe(&app).await;
        }
        if let Some(turn) = context.turn(&app) {
            let outcome = duty.act(&app, &turn).await;
            log::debug!(event = "duty", step = "duty", outcome:?; "took the next steps");
        }
        tokio::time::sleep(TURN_INTERVAL).await;
    }
}

/// Returns the minimum time between the calls of two holders.
fn quiet_period(app: &App) -> Duration {
    Duration::from_millis(app.settings.lease_ms) + CALL_TIMEOUT
}

/// Returns the fencing token of calls under a fencing token of the lease. The
/// lease stream's first offset is 0, which stands for no token elsewhere.
fn call_fence(fence: Fence) -> Fence {
    fence + 1
}

fn timed_out() -> PlatformApiError {
    let detail = format!("no answer within {} ms", CALL_TIMEOUT.as_millis());
    PlatformApiError { step: "call", kind: PlatformApiErrorKind::Unknown, detail }
}
