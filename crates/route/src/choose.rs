//! Which target a request goes to.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::TargetId;
use rand::Rng;
use smallvec::SmallVec;

use crate::Target;
use crate::TargetInfo;
use crate::TargetKind;
use crate::rendezvous::weight;
use crate::target::SCORE_UNIT;

/// The weight of a new pace in the running average: one in this many.
const PACE_OVER: u32 = 8;
/// A target is slow whose pace is more than this many times the median of its
/// kind, and no longer so once it is within half as much again.
const SLOW_TIMES: u32 = 2;
/// Targets with a known pace that a comparison needs.
const LEAST_COMPARED: usize = 3;
/// Paces that are compared without allocating.
const PACES_AT_HAND: usize = 64;
/// How long a target is avoided after a failure; twice as long after each more.
const FIRST_AVOIDED: Duration = Duration::from_secs(1);
const MOST_DOUBLINGS: u32 = 5;
/// Requests without an answer, one after the other, that put it in doubt.
const OVERTAKEN_IN_A_ROW: u32 = 2;
/// Failures of a target's own, one after the other, that put it in doubt.
const ERRORS_IN_A_ROW: u32 = 3;
/// How much worse than the better of two random targets one in the wanted data
/// centre may be, in score units.
const NEAR_ALLOWANCE: u64 = SCORE_UNIT / 2;
/// How much worse than the better of two random targets the one with the
/// prompt's prefix in its cache may be, in score units.
const AFFINITY_ALLOWANCE: u64 = SCORE_UNIT / 4;

/// How a target is chosen among the open ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The better of two random ones, by own requests and aged load reports.
    #[default]
    TwoChoices,
    /// Any one; the baseline.
    Random,
    /// The one with the least reported load; the baseline that herds.
    LeastReported,
}

/// Whose requests at a target delay a new one there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LoadScope {
    /// All: the request waits behind whatever is there.
    #[default]
    All,
    /// Callers' only: the engine preempts trainers' samples for it.
    Callers,
}

/// Which of the targets with a free slot is taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotPreference<'a> {
    /// This one, if it has a slot; else the least busy.
    Target(Option<&'a str>),
    /// The one that generates fastest, for what will take long.
    Fastest,
}

/// What a target is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The kind of target.
    pub kind: &'a TargetKind,
    /// How to choose.
    pub policy: Policy,
    /// Whose requests there count.
    pub load_scope: LoadScope,
    /// A hash of the prompt's prefix: requests that share it go to the same
    /// engine as long as that one is not much busier.
    pub affinity: Option<u64>,
    /// Targets that this request was sent to already; one of them is taken only
    /// if there is no other.
    pub exclude: &'a [TargetId],
    /// The data centre in which a target is preferred: it is reached also when
    /// data centres are cut off from each other.
    pub preferred_data_centre: Option<&'a str>,
}

impl<'a> TargetQuery<'a> {
    /// Wants any target of a kind, chosen by default.
    #[must_use]
    pub fn new(kind: &'a TargetKind) -> Self {
        Self {
            kind,
            policy: Policy::default(),
            load_scope: LoadScope::default(),
            affinity: None,
            exclude: &[],
            preferred_data_centre: None,
        }
    }
}

/// The targets of this process; replaced whole when the list changes.
#[derive(Debug)]
pub struct TargetSet {
    started: Instant,
    by_kind: BTreeMap<TargetKind, Vec<Arc<Target>>>,
}

/// Whether there is a target for a request.
#[derive(Debug)]
pub enum Choice {
    /// This one.
    Target(Arc<Target>),
    /// None that is open.
    NoneOpen,
}

impl TargetSet {
    /// Sets up an empty set; the moments of all later sets count from `now`.
    #[must_use]
    pub fn empty(now: Instant) -> Self {
        Self { started: now, by_kind: BTreeMap::new() }
    }

    /// Builds the set for a changed list; what is known of a target stays.
    #[must_use]
    pub fn updated<'a>(&self, listed: impl IntoIterator<Item = &'a TargetInfo>) -> Self {
        let mut before: HashMap<_, _> = self.all().map(|t| (incarnation(&t.info), t)).collect();
        let mut by_kind: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for listed in listed {
            let same = before.remove(&incarnation(listed)).cloned();
            let target = same.unwrap_or_else(|| Arc::new(Target::new(listed.clone())));
            if listed.leaving {
                target.close();
            }
            by_kind.entry(listed.kind.clone()).or_default().push(target);
        }
        // What dropped out may still be chosen from the old set by a request
        // that is under way.
        for gone in before.values() {
            gone.close();
        }
        Self { started: self.started, by_kind }
    }

    /// Lists all targets.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.by_kind.values().flatten()
    }

    /// Lists the targets of one kind.
    #[must_use]
    pub fn of_kind(&self, kind: &TargetKind) -> &[Arc<Target>] {
        self.by_kind.get(kind).map_or(&[], Vec::as_slice)
    }

    /// Counts the slots of the open targets of one kind.
    #[must_use]
    pub fn slots(&self, kind: &TargetKind) -> u32 {
        self.of_kind(kind).iter().filter(|t| t.is_open()).map(|t| t.info.slots).sum()
    }

    /// Tells the requests at a target by its last report, and how old that is.
    #[must_use]
    pub fn last_report(&self, target: &Target, now: Instant) -> (u32, Duration) {
        let at_ms = target.reported_ms.load(Ordering::Relaxed);
        let age_ms = self.millis(now).saturating_sub(at_ms);
        (target.others.load(Ordering::Relaxed), Duration::from_millis(age_ms))
    }

    /// Takes a load report in: `load` requests at the target, `callers` of them
    /// not of trainers, `age` ago.
    pub fn record_report(
        &self,
        target: &Target,
        load: u32,
        callers: u32,
        age: Duration,
        now: Instant,
    ) {
        target.unanswered.store(0, Ordering::Relaxed);
        target.callers.store(callers, Ordering::Relaxed);
        let other_callers = callers.saturating_sub(target.in_flight());
        target.other_callers.store(other_callers, Ordering::Relaxed);
        let others = load.saturating_sub(target.in_flight());
        let at_ms = self.millis(now).saturating_sub(millis(age));
        target.others.store(others, Ordering::Relaxed);
        target.reported_ms.store(at_ms, Ordering::Relaxed);
    }

    /// Notes that a target is being asked for its load.
    pub fn record_poll(&self, target: &Target, now: Instant) {
        // Never 0, which stands for "not asked yet".
        target.polled_ms.store(self.millis(now).max(1), Ordering::Relaxed);
    }

    /// Takes in that a target can or can't be reached at all.
    ///
    /// Only for targets that are asked for their load: that is what finds out
    /// that one is back, not callers' requests.
    pub fn set_reachable(&self, target: &Target, reachable: bool) {
        target.unreachable.store(!reachable, Ordering::Relaxed);
    }

    /// Takes in that a request failed at a target, which is avoided for a
    /// while, and longer the more of them fail.
    ///
    /// Requests that fail while it is avoided already were sent before that,
    /// and count no more.
    pub fn record_failure(&self, target: &Target, now: Instant) {
        if self.millis(now) < target.avoided_until_ms.load(Ordering::Relaxed) {
            return;
        }
        let before = target.failures.fetch_add(1, Ordering::Relaxed);
        let until = now + FIRST_AVOIDED * (1 << before.min(MOST_DOUBLINGS));
        target.avoided_until_ms.fetch_max(self.millis(until), Ordering::Relaxed);
    }

    /// Takes in how long a target took for some tokens.
    pub fn record_token_time(&self, target: &Target, tokens: u32, took: Duration, now: Instant) {
        if tokens == 0 {
            return;
        }
        let new = u32::try_from((took / tokens).as_micros()).unwrap_or(u32::MAX).max(1);
        let average = |old: u32| match old {
            0 => new,
            old => old - old / PACE_OVER + new / PACE_OVER,
        };
        let update = |old| Some(average(old).max(1));
        // Lost updates of requests that end at once don't matter to an average.
        let _ = target.token_time_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
        target.token_time_updated_ms.store(self.millis(now), Ordering::Relaxed);
        self.compare_pace(target);
    }

    /// Compares a target with its peers: slow is worse than dead, since a few
    /// of its requests hold up a whole lot.
    fn compare_pace(&self, target: &Target) {
        let peers = self.of_kind(&target.info.kind).iter();
        let mut paces: SmallVec<[u32; PACES_AT_HAND]> = peers
            .map(|t| t.token_time_us.load(Ordering::Relaxed))
            .filter(|&pace| pace > 0)
            .collect();
        if paces.len() < LEAST_COMPARED {
            return;
        }
        let middle = (paces.len() - 1) / 2;
        let median = *paces.select_nth_unstable(middle).1;
        let pace = target.token_time_us.load(Ordering::Relaxed);
        if pace > median.saturating_mul(SLOW_TIMES) {
            target.slow.store(true, Ordering::Relaxed);
        } else if pace <= median + median / 2 {
            target.slow.store(false, Ordering::Relaxed);
        }
    }

    /// Takes in that a request succeeded at a target.
    pub fn record_success(&self, target: &Target) {
        target.errors.store(0, Ordering::Relaxed);
        target.unanswered.store(0, Ordering::Relaxed);
        target.failures.store(0, Ordering::Relaxed);
        target.avoided_until_ms.store(0, Ordering::Relaxed);
    }

    /// Takes in that a target ran a request and answered with its own failure.
    ///
    /// One says as much of the request as of the target; several in a row put
    /// the target in doubt.
    pub fn record_error(&self, target: &Target, now: Instant) {
        let errors = target.errors.fetch_add(1, Ordering::Relaxed) + 1;
        if errors >= ERRORS_IN_A_ROW {
            self.record_failure(target, now);
        }
    }

    /// Takes in that a request was given up at a target that had given no
    /// answer in a time in which others do.
    ///
    /// One may have been a long request; several in a row put the target in
    /// doubt, as behind a cut, where nothing ever fails.
    pub fn record_unanswered(&self, target: &Target, now: Instant) {
        let overtaken = target.unanswered.fetch_add(1, Ordering::Relaxed) + 1;
        if overtaken >= OVERTAKEN_IN_A_ROW {
            self.record_failure(target, now);
        }
    }

    /// Takes in that a target refused a request because it is full or busy:
    /// it is avoided until then, without being in doubt.
    pub fn record_busy(&self, target: &Target, until: Instant) {
        target.avoided_until_ms.fetch_max(self.millis(until), Ordering::Relaxed);
    }

    /// Chooses a target with a free slot for work that can wait for one.
    ///
    /// If every fit target is avoided, one of those is tried, with one request
    /// at a time.
    #[must_use]
    pub fn choose_with_free_slot(
        &self,
        kind: &TargetKind,
        fit: impl Fn(&Target) -> bool,
        which: SlotPreference<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<Arc<Target>> {
        let now_ms = self.millis(now);
        let all = self.of_kind(kind);
        let fits = |t: &&Arc<Target>| t.is_open() && fit(t);
        let score = |t: &Target| t.score(LoadScope::All, now_ms);
        let is_free = |t: &&Arc<Target>| score(t) < SCORE_UNIT;
        let good = || all.iter().filter(fits).filter(|t| !t.is_avoided(now_ms));
        if good().next().is_none() {
            let idle = |t: &Arc<Target>| fits(&t) && t.in_flight() == 0;
            return any(all, idle, rng).cloned();
        }
        let mut free = good().filter(is_free);
        let least = || good().filter(is_free).min_by_key(|t| (score(t), rng.random::<u32>()));
        match which {
            SlotPreference::Target(wanted) => {
                free.find(|t| wanted == Some(t.info.id.as_str())).or_else(least).cloned()
            }
            // One whose pace isn't known yet counts as fast, so it gets known.
            SlotPreference::Fastest => free.min_by_key(|t| (t.token_time_us(), score(t))).cloned(),
        }
    }

    /// Chooses a target.
    #[must_use]
    pub fn choose(&self, wanted: &TargetQuery<'_>, rng: &mut impl Rng, now: Instant) -> Choice {
        let all = self.of_kind(wanted.kind);
        let now_ms = self.millis(now);
        let fit = |t: &Arc<Target>| t.is_open() && !wanted.exclude.contains(&t.info.id);
        let good = |t: &Arc<Target>| fit(t) && !t.is_avoided(now_ms);
        let found = match wanted.policy {
            Policy::TwoChoices => two_choices(all, wanted, now_ms, good, rng),
            Policy::Random => any(all, good, rng),
            Policy::LeastReported => least_reported(all, wanted.load_scope, good),
        };
        // One that is avoided, or that failed for this request already, is
        // still better than none.
        let found = found.or_else(|| any(all, fit, rng));
        let found = found.or_else(|| any(all, |t| t.is_open(), rng));
        found.map_or(Choice::NoneOpen, |t| Choice::Target(Arc::clone(t)))
    }

    fn millis(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.started))
    }
}

/// What tells one run of a target apart from all others.
fn incarnation(listed: &TargetInfo) -> (&TargetKind, &str, u64) {
    (&listed.kind, listed.id.as_str(), listed.incarnation)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Finds a fit target, from a random place on.
fn any<'a>(
    all: &'a [Arc<Target>],
    fit: impl Fn(&Arc<Target>) -> bool,
    rng: &mut impl Rng,
) -> Option<&'a Arc<Target>> {
    if all.is_empty() {
        return None;
    }
    let (before, after) = all.split_at(rng.random_range(0..all.len()));
    after.iter().chain(before).find(|t| fit(t))
}

fn two_choices<'a>(
    all: &'a [Arc<Target>],
    wanted: &TargetQuery<'_>,
    now_ms: u64,
    good: impl Fn(&Arc<Target>) -> bool,
    rng: &mut impl Rng,
) -> Option<&'a Arc<Target>> {
    let score = |t: &Target| t.score(wanted.load_scope, now_ms);
    let one = any(all, &good, rng)?;
    let two = any(all, &good, rng)?;
    let better = if score(two) < score(one) { two } else { one };
    let near =
        all.iter().filter(|t| good(t) && wanted.preferred_data_centre == Some(&t.info.data_centre));
    if let Some(near) = near.min_by_key(|t| score(t)) {
        let bound = score(better) + NEAR_ALLOWANCE;
        return Some(if score(near) <= bound { near } else { better });
    }
    let Some(prefix) = wanted.affinity else {
        return Some(better);
    };
    let home = all.iter().filter(|t| good(t)).max_by_key(|t| weight(prefix, &t.info.id))?;
    let bound = score(better) + AFFINITY_ALLOWANCE;
    Some(if score(home) <= bound { home } else { better })
}

fn least_reported(
    all: &[Arc<Target>],
    scope: LoadScope,
    good: impl Fn(&Arc<Target>) -> bool,
) -> Option<&Arc<Target>> {
    all.iter().filter(|t| good(t)).min_by_key(|t| t.reported_others(scope))
}
