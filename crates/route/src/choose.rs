//! Selection of the target for a request.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::TargetId;
use rand::Rng;
use smallvec::SmallVec;

use crate::InFlight;
use crate::Target;
use crate::TargetInfo;
use crate::TargetKind;
use crate::pick::least_reported;
use crate::pick::pick_random;
use crate::pick::two_choices;
use crate::target::SCORE_UNIT;

/// Inverse of the weight of a new token time in the moving average.
const TOKEN_TIME_AVERAGE_DIVISOR: u32 = 8;
/// A target is slow if its token time is more than this many times the median
/// of its kind; it stops being slow at 1.5 times the median.
const SLOW_FACTOR: u32 = 2;
/// Minimum number of targets with a known token time for a comparison.
const MIN_COMPARED: usize = 3;
/// Number of token times that are compared without allocating.
const INLINE_TOKEN_TIMES: usize = 64;
/// How long a target is avoided after its first failure; doubles with each
/// further one.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Consecutive unanswered requests after which a target is avoided.
const MAX_CONSECUTIVE_UNANSWERED: u32 = 2;
/// Consecutive error answers after which a target is avoided.
const MAX_CONSECUTIVE_ERRORS: u32 = 3;

/// How a target is chosen among the open ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The less loaded of two random targets, by this process's requests and
    /// load reports that are discounted with age.
    #[default]
    TwoChoices,
    /// A random target; a baseline.
    Random,
    /// The target with the least reported load; a baseline in which all
    /// processes pick the same target until the next report.
    LeastReported,
}

/// Which requests at a target count as load for a new one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LoadScope {
    /// All: the new request waits behind every request at the target.
    #[default]
    All,
    /// Only those of callers: the engine preempts trainers' samples for the
    /// new request.
    Callers,
}

/// Which of the targets with a free slot is preferred.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotPreference<'a> {
    /// This target if it has a free slot, else the least loaded one.
    Target(Option<&'a str>),
    /// The target that generates fastest, for long-running work.
    Fastest,
}

/// Criteria for choosing a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// Kind of target.
    pub kind: &'a TargetKind,
    /// Selection policy.
    pub policy: Policy,
    /// Which requests at a target count as its load.
    pub load_scope: LoadScope,
    /// Hash of the prompt's prefix. Requests with the same hash go to the same
    /// engine unless that one is much busier than others.
    pub affinity: Option<u64>,
    /// Targets that this request was already sent to. One of them is chosen
    /// only if there is no other.
    pub tried: &'a [TargetId],
    /// Only targets with this version of the software are chosen.
    pub software: Option<&'a str>,
    /// Data centre in which a target is preferred, as it stays reachable when
    /// the data centres are partitioned from each other.
    pub preferred_data_centre: Option<&'a str>,
}

impl<'a> TargetQuery<'a> {
    /// Creates a query for any target of a kind, with the default policy.
    #[must_use]
    pub fn new(kind: &'a TargetKind) -> Self {
        Self {
            kind,
            policy: Policy::default(),
            load_scope: LoadScope::default(),
            affinity: None,
            tried: &[],
            software: None,
            preferred_data_centre: None,
        }
    }
}

/// The targets that this process knows; replaced as a whole when the list
/// changes.
#[derive(Debug)]
pub struct TargetSet {
    epoch: Instant,
    by_kind: BTreeMap<TargetKind, Vec<Arc<Target>>>,
}

/// Result of choosing a target.
#[derive(Debug)]
pub enum Choice {
    /// The chosen target.
    Target(Arc<Target>),
    /// No target is open.
    NoneOpen,
    /// This process has used its share of the rate of every open target.
    RateLimited,
}

impl TargetSet {
    /// Creates an empty set. Timestamps in it and in all sets derived from it
    /// are relative to `now`.
    #[must_use]
    pub fn empty(now: Instant) -> Self {
        Self { epoch: now, by_kind: BTreeMap::new() }
    }

    /// Records what a target's response states about its rate limit; returns
    /// whether that is news.
    pub fn record_rate_limit(
        &self,
        target: &Target,
        per_second: Option<f64>,
        now: Instant,
    ) -> bool {
        target.rate.record(per_second, self.millis(now))
    }

    /// Age of a target's last statement of a limit, or of the end of one.
    #[must_use]
    pub fn rate_limit_age(&self, target: &Target, now: Instant) -> Option<Duration> {
        let stated_at_ms = target.rate.stated_at_ms()?;
        Some(Duration::from_millis(self.millis(now).saturating_sub(stated_at_ms)))
    }

    /// Sets this process's share of a target's rate, in requests a second, and how
    /// many of them it may send at once after a pause. `phase`, from 0 to 1, is the
    /// part of the time between two requests after which the first one may be sent.
    pub fn set_rate_share(
        &self,
        target: &Target,
        per_second: f64,
        burst: f64,
        phase: f64,
        now: Instant,
    ) {
        target.rate.set_share(per_second, burst, phase, self.micros(now));
    }

    /// Counts a request that looks for a target, as a demand on the limited
    /// ones of the kind.
    pub fn record_demand(&self, kind: &TargetKind) {
        for target in self.of_kind(kind).iter().filter(|t| t.is_rate_limited()) {
            target.rate.count_wanted();
        }
    }

    /// Starts a request at a chosen target; `None` if the target is no longer
    /// open or this process has used its share of its rate.
    #[must_use]
    pub fn start_request(&self, target: &Arc<Target>, now: Instant) -> Option<InFlight> {
        target.rate.take(self.micros(now)).then(|| target.start_request()).flatten()
    }

    /// Builds the set for a changed list. Targets in both keep their state.
    #[must_use]
    pub fn updated<'a>(&self, infos: impl IntoIterator<Item = &'a TargetInfo>) -> Self {
        let mut previous: HashMap<_, _> =
            self.all().map(|t| (incarnation_key(&t.info), t)).collect();
        let mut by_kind: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for info in infos {
            let existing = previous.remove(&incarnation_key(info)).cloned();
            let target = existing.unwrap_or_else(|| Arc::new(Target::new(info.clone())));
            if info.leaving {
                target.close_as_leaving();
            }
            by_kind.entry(info.kind.clone()).or_default().push(target);
        }
        // A concurrent request may still choose a removed target from the old
        // set.
        for removed in previous.values() {
            removed.close();
        }
        Self { epoch: self.epoch, by_kind }
    }

    /// Iterates over all targets.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.by_kind.values().flatten()
    }

    /// Returns the targets of one kind.
    #[must_use]
    pub fn of_kind(&self, kind: &TargetKind) -> &[Arc<Target>] {
        self.by_kind.get(kind).map_or(&[], Vec::as_slice)
    }

    /// Number of targets of one kind that are open and not avoided, without those
    /// that `is_excluded` names.
    #[must_use]
    pub fn usable_count(
        &self,
        kind: &TargetKind,
        is_excluded: impl Fn(&Target) -> bool,
        now: Instant,
    ) -> usize {
        let now_ms = self.millis(now);
        let is_usable = |t: &&Arc<Target>| t.is_open() && !t.is_avoided(now_ms) && !is_excluded(t);
        self.of_kind(kind).iter().filter(is_usable).count()
    }

    /// Number of requests that this process may have at the targets of one kind so
    /// that they don't queue there: the slots of the usable targets, less what other
    /// processes use there by the last load reports. If no open target is usable, the
    /// avoided ones count. A request of this process at an avoided target counts as one
    /// more, since it may hang there and uses no slot that others wait for.
    #[must_use]
    pub fn available_slots(&self, kind: &TargetKind, now: Instant) -> u32 {
        let now_ms = self.millis(now);
        let open = || self.of_kind(kind).iter().filter(|t| t.is_open());
        let all_avoided = open().all(|t| t.is_avoided(now_ms));
        open().fold(0, |slots: u32, t| {
            let is_used = all_avoided || !t.is_avoided(now_ms);
            slots.saturating_add(if is_used { t.free_of_others(now_ms) } else { t.in_flight() })
        })
    }

    /// Number of slots of the open targets of one kind.
    #[must_use]
    pub fn open_slots(&self, kind: &TargetKind) -> u32 {
        let open = self.of_kind(kind).iter().filter(|t| t.is_open());
        open.fold(0, |slots: u32, t| slots.saturating_add(t.info.slots))
    }

    /// Returns the number of other processes' requests at a target as of its
    /// last report, and the age of that report.
    #[must_use]
    pub fn last_report(&self, target: &Target, now: Instant) -> (u32, Duration) {
        let reported_ms = target.reported_ms.load(Ordering::Relaxed);
        let age_ms = self.millis(now).saturating_sub(reported_ms);
        (target.others.load(Ordering::Relaxed), Duration::from_millis(age_ms))
    }

    /// Records a load report that is `age` old: `load` requests at the target,
    /// of which `callers` are not from trainers.
    ///
    /// This process's own requests are among them. Responses that were sent together are
    /// read one after the other, so a report may count requests that have ended here since:
    /// as many as this process had at recent reports are its own.
    pub fn record_report(
        &self,
        target: &Target,
        load: u32,
        callers: u32,
        age: Duration,
        now: Instant,
    ) {
        target.consecutive_unanswered.store(0, Ordering::Relaxed);
        target.callers.store(callers, Ordering::Relaxed);
        let own = target.recent.record(target.in_flight(), self.millis(now));
        let other_callers = callers.saturating_sub(own);
        target.other_callers.store(other_callers, Ordering::Relaxed);
        let others = load.saturating_sub(own);
        let reported_ms = self.millis(now).saturating_sub(millis(age));
        target.others.store(others, Ordering::Relaxed);
        target.reported_ms.store(reported_ms, Ordering::Relaxed);
    }

    /// Records that a target is being polled for its load.
    pub fn record_poll(&self, target: &Target, now: Instant) {
        // 0 means "not polled yet".
        target.polled_ms.store(self.millis(now).max(1), Ordering::Relaxed);
    }

    /// Records whether a target can be reached at all.
    ///
    /// Only for targets that are polled for their load: the poll detects that
    /// one is back, not callers' requests.
    pub fn set_reachable(&self, target: &Target, reachable: bool) {
        target.unreachable.store(!reachable, Ordering::Relaxed);
    }

    /// Records that a request failed at a target. The target is avoided, with
    /// exponential backoff.
    ///
    /// Failures while it is already avoided don't count: these requests were
    /// sent earlier.
    pub fn record_failure(&self, target: &Target, now: Instant) {
        if self.millis(now) < target.avoided_until_ms.load(Ordering::Relaxed) {
            return;
        }
        let before = target.consecutive_failures.fetch_add(1, Ordering::Relaxed);
        let until = now + FIRST_BACKOFF * (1 << before.min(MAX_BACKOFF_DOUBLINGS));
        target.avoided_until_ms.fetch_max(self.millis(until), Ordering::Relaxed);
    }

    /// Records how long a target took for some tokens.
    pub fn record_token_time(&self, target: &Target, tokens: u32, took: Duration, now: Instant) {
        if tokens == 0 {
            return;
        }
        let new = u32::try_from((took / tokens).as_micros()).unwrap_or(u32::MAX).max(1);
        let average = |old: u32| match old {
            0 => new,
            old => old - old / TOKEN_TIME_AVERAGE_DIVISOR + new / TOKEN_TIME_AVERAGE_DIVISOR,
        };
        let update = |old| Some(average(old).max(1));
        // Updates lost when requests end concurrently don't matter to an
        // average.
        let _ = target.token_time_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
        target.token_time_updated_ms.store(self.millis(now), Ordering::Relaxed);
        self.update_slow(target);
    }

    /// Updates whether a target is slow compared with its peers. A slow target
    /// is worse than a failed one, since a few requests at it delay a whole
    /// lot.
    fn update_slow(&self, target: &Target) {
        let peers = self.of_kind(&target.info.kind).iter();
        let mut token_times: SmallVec<[u32; INLINE_TOKEN_TIMES]> =
            peers.map(|t| t.token_time_us.load(Ordering::Relaxed)).filter(|&t| t > 0).collect();
        if token_times.len() < MIN_COMPARED {
            return;
        }
        let middle = (token_times.len() - 1) / 2;
        let median = *token_times.select_nth_unstable(middle).1;
        let token_time = target.token_time_us.load(Ordering::Relaxed);
        if token_time > median.saturating_mul(SLOW_FACTOR) {
            target.slow.store(true, Ordering::Relaxed);
        } else if token_time <= median + median / 2 {
            target.slow.store(false, Ordering::Relaxed);
        }
    }

    /// Records that a request succeeded at a target.
    pub fn record_success(&self, target: &Target) {
        target.consecutive_errors.store(0, Ordering::Relaxed);
        target.consecutive_unanswered.store(0, Ordering::Relaxed);
        target.consecutive_failures.store(0, Ordering::Relaxed);
        target.avoided_until_ms.store(0, Ordering::Relaxed);
    }

    /// Records that a target ran a request and answered with an error.
    ///
    /// A single error may be due to the request; after several consecutive
    /// ones the target is avoided.
    pub fn record_error(&self, target: &Target, now: Instant) {
        let errors = target.consecutive_errors.fetch_add(1, Ordering::Relaxed) + 1;
        if errors >= MAX_CONSECUTIVE_ERRORS {
            self.record_failure(target, now);
        }
    }

    /// Records that a request was cancelled because the target had not
    /// answered within the time in which others do.
    ///
    /// A single one may have been a long request; after several consecutive
    /// ones the target is avoided. This detects a network partition in which
    /// requests hang and never fail.
    pub fn record_unanswered(&self, target: &Target, now: Instant) {
        let unanswered = target.consecutive_unanswered.fetch_add(1, Ordering::Relaxed) + 1;
        if unanswered >= MAX_CONSECUTIVE_UNANSWERED {
            self.record_failure(target, now);
        }
    }

    /// Records that a target refused a request because it is full or busy. It
    /// is avoided until `until`; this doesn't count as a failure.
    pub fn record_busy(&self, target: &Target, until: Instant) {
        target.avoided_until_ms.fetch_max(self.millis(until), Ordering::Relaxed);
    }

    /// Chooses a target with a free slot, for work that can wait for one.
    ///
    /// If all eligible targets are avoided, returns one of them that has no
    /// request in flight.
    #[must_use]
    pub fn choose_with_free_slot(
        &self,
        kind: &TargetKind,
        is_eligible: impl Fn(&Target) -> bool,
        preference: SlotPreference<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<Arc<Target>> {
        let now_ms = self.millis(now);
        let micros = self.micros(now);
        let all = self.of_kind(kind);
        let eligible = |t: &&Arc<Target>| t.accepts(micros) && is_eligible(t);
        let score = |t: &Target| t.score(LoadScope::All, now_ms);
        let is_free = |t: &&Arc<Target>| score(t) < SCORE_UNIT;
        let available = || all.iter().filter(eligible).filter(|t| !t.is_avoided(now_ms));
        if available().next().is_none() {
            let idle = |t: &Arc<Target>| eligible(&t) && t.in_flight() == 0;
            return pick_random(all, idle, rng).cloned();
        }
        let mut free = available().filter(is_free);
        let least_loaded =
            || available().filter(is_free).min_by_key(|t| (score(t), rng.random::<u32>()));
        match preference {
            SlotPreference::Target(id) => {
                free.find(|t| id == Some(t.info.id.as_str())).or_else(least_loaded).cloned()
            }
            // An unknown token time sorts first, so that it gets measured.
            SlotPreference::Fastest => free.min_by_key(|t| (t.token_time_us(), score(t))).cloned(),
        }
    }

    /// Chooses a target.
    #[must_use]
    pub fn choose(&self, query: &TargetQuery<'_>, rng: &mut impl Rng, now: Instant) -> Choice {
        let all = self.of_kind(query.kind);
        let now_ms = self.millis(now);
        let micros = self.micros(now);
        let fits = |t: &Arc<Target>| query.software.is_none_or(|s| t.info.software == s);
        let accepts = |t: &Arc<Target>| fits(t) && t.accepts(micros);
        let is_untried = |t: &Arc<Target>| accepts(t) && !query.tried.contains(&t.info.id);
        let is_eligible = |t: &Arc<Target>| is_untried(t) && !t.is_avoided(now_ms);
        let found = match query.policy {
            Policy::TwoChoices => two_choices(all, query, now_ms, is_eligible, rng),
            Policy::Random => pick_random(all, is_eligible, rng),
            Policy::LeastReported => least_reported(all, query.load_scope, is_eligible),
        };
        // A target that is avoided, or that this request was already sent to,
        // is still better than none.
        let found = found.or_else(|| pick_random(all, is_untried, rng));
        let found = found.or_else(|| pick_random(all, accepts, rng));
        match found {
            Some(target) => Choice::Target(Arc::clone(target)),
            None if all.iter().any(|t| fits(t) && t.is_open()) => Choice::RateLimited,
            None => Choice::NoneOpen,
        }
    }

    fn millis(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.epoch))
    }

    fn micros(&self, now: Instant) -> u64 {
        u64::try_from(now.saturating_duration_since(self.epoch).as_micros()).unwrap_or(u64::MAX)
    }
}

/// Key that identifies one incarnation of a target.
fn incarnation_key(info: &TargetInfo) -> (&TargetKind, &str, u64, &str) {
    (&info.kind, info.id.as_str(), info.incarnation, info.software.as_str())
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
