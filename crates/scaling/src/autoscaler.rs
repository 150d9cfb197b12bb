//! The number of engines of one service over time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::CapacityAnswer;
use cassia_clients::CapacityOrder;
use cassia_ids::DataCentre;
use cassia_route::Scaling;
use smol_str::SmolStr;

use crate::demand::Demand;
use crate::demand::EngineState;
use crate::demand::Observation;
use crate::demand::Submissions;
use crate::demand::demand;
use crate::history::MaxHistory;
use crate::plan::Counts;
use crate::plan::Need;
use crate::plan::Plan;
use crate::plan::Pool;
use crate::plan::PoolInfo;
use crate::pool::Ordered;
use crate::pool::PoolState;
use crate::pool::to_u32;

/// Part of the slots that the demand fills after growth. An engine runs only the models
/// whose weights it has, and takes no new work while it loads a version, so a job can't
/// use all slots that are free.
const TARGET_UTILISATION: f64 = 0.5;
/// Part of the slots that the demand may fill before engines are ordered. The
/// difference keeps small changes of the demand from causing orders.
const MAX_UTILISATION: f64 = 0.6;
/// Time over which orders are counted.
const ORDER_WINDOW: Duration = Duration::from_mins(1);
/// Maximum number of orders for a data centre in that time.
const MAX_ORDERS: usize = 4;
/// The same for growth: one order is kept for the replacement of lost engines.
const MAX_GROWTH_ORDERS: usize = MAX_ORDERS - 1;
/// The same for reductions: one more is kept for growth after a reduction.
const MAX_REDUCTIONS: usize = MAX_ORDERS - 2;
/// Growth beyond the need, as a part of it, for each order of the last minute: demand
/// that rises in steps would otherwise use up the orders of a minute.
const GROWTH_PER_ORDER: f64 = 0.25;
/// How long the engines are known before there may be fewer of them.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(20);
/// The same if no job was submitted in that time.
const MIN_IDLE_OBSERVATION_TIME: Duration = Duration::from_mins(1);
/// First and maximum delay after a refusal.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(16);
/// How long after a loss one more order a minute is available.
const REPLACEMENT_TIME: Duration = Duration::from_secs(30);
/// Ordered engines that don't serve after twice the boot time and this are not
/// counted on.
const BOOT_MARGIN: Duration = Duration::from_secs(5);
/// The longest period of steps is extended by this part before engines are
/// removed, since steps differ in length.
const PERIOD_FACTOR: f64 = 1.1;
/// Part of the current cost that another mix of engines must cost at most.
const CHEAPER_FACTOR: f64 = 0.85;

/// The service that is scaled and the limits of its configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScalingPolicy {
    /// The service.
    pub service: SmolStr,
    /// Its limits and prices.
    pub limits: Scaling,
}

/// Why an order is made.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reason {
    /// The engines don't cover the demand.
    #[default]
    Demand,
    /// Engines were reclaimed or failed.
    Loss,
    /// A data centre has fewer engines than its minimum.
    Minimum,
    /// The demand has been lower for long enough.
    LowDemand,
    /// Another mix of engines costs less.
    CheaperMix,
}

impl Reason {
    /// Returns the name that is logged.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Demand => "demand",
            Self::Loss => "loss",
            Self::Minimum => "minimum",
            Self::LowDemand => "low_demand",
            Self::CheaperMix => "cheaper_mix",
        }
    }
}

/// Figures of the last decision.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScalingState {
    /// Slots that the work needs now.
    pub demand: u32,
    /// Most slots that it needed over the time that counts.
    pub held_demand: u32,
    /// Capacity of the engines that serve, in slots.
    pub supply: u32,
    /// Engines that are needed, after the loss of a data centre's spot engines.
    pub need: u32,
    /// Why the last order was made.
    pub reason: Reason,
}

/// Decides on the engines of one service.
///
/// Orders to grow are made at once, orders to shrink only when the demand has
/// been lower for the longest period of the trainers' steps and the boot time.
#[derive(Debug)]
pub struct Autoscaler {
    policy: ScalingPolicy,
    pools: BTreeMap<Pool, PoolState>,
    submissions: Submissions,
    demand: Demand,
    slots_history: MaxHistory,
    callers_history: MaxHistory,
    /// Maximum demand over the time for which engines are kept.
    held: Demand,
    slots: u32,
    first_seen: Option<Instant>,
    lost_at: Option<Instant>,
    /// Additional growth, from the first order of a rise until the demand is covered.
    growth_factor: Option<f64>,
    /// When orders were accepted, by data centre.
    order_times: BTreeMap<DataCentre, VecDeque<Instant>>,
    pending: Option<CapacityOrder>,
    reason: Reason,
}

impl Autoscaler {
    /// Creates an autoscaler that knows of no engines yet.
    #[must_use]
    pub fn new(policy: ScalingPolicy) -> Self {
        Self {
            policy,
            pools: BTreeMap::new(),
            submissions: Submissions::default(),
            demand: Demand::default(),
            slots_history: MaxHistory::default(),
            callers_history: MaxHistory::default(),
            held: Demand::default(),
            slots: 1,
            first_seen: None,
            lost_at: None,
            growth_factor: None,
            order_times: BTreeMap::new(),
            pending: None,
            reason: Reason::default(),
        }
    }

    /// Sets the limits of a new configuration.
    pub fn set_limits(&mut self, limits: &Scaling) {
        self.policy.limits.clone_from(limits);
    }

    /// Adds an order that an earlier holder made and that was accepted.
    pub fn restore(&mut self, order: &CapacityOrder, now: Instant) {
        let expected_until = self.expected_until(now);
        let state = self.pools.entry(pool_of(order)).or_default();
        state.ordered = Some(Ordered { count: order.count, expected_until });
    }

    /// Updates what is known of the service.
    pub fn observe(&mut self, seen: &Observation, now: Instant) {
        self.first_seen.get_or_insert(now);
        let mut slots: Vec<_> =
            seen.engines.iter().filter(|engine| !engine.leaving).map(|e| e.slots).collect();
        slots.sort_unstable();
        self.slots = slots.get(slots.len() / 2).copied().unwrap_or(self.slots).max(1);
        let seen_centres = seen.engines.iter().map(|engine| &engine.data_centre);
        for data_centre in self.policy.limits.prices.keys().chain(seen_centres) {
            for spot in [false, true] {
                self.pools.entry(Pool { data_centre: data_centre.clone(), spot }).or_default();
            }
        }
        for (pool, state) in &mut self.pools {
            let is_in = |engine: &&EngineState| {
                engine.spot == pool.spot && engine.data_centre == pool.data_centre
            };
            let engines: Vec<_> = seen.engines.iter().filter(is_in).collect();
            if state.observe(pool.spot, &engines, self.slots, now) {
                self.lost_at = Some(now);
            }
        }
        for submission in &seen.submissions {
            self.submissions.record(submission, now);
        }
        self.demand = demand(seen, &self.submissions, self.boot_time() + FIRST_BACKOFF, now);
        let hold = self.hold_time(now);
        self.slots_history.record(self.demand.slots, now);
        self.callers_history.record(self.demand.callers, now);
        self.held = Demand {
            slots: self.slots_history.max(hold, now),
            callers: self.callers_history.max(hold, now),
        };
        for times in self.order_times.values_mut() {
            times.retain(|at| now < *at + ORDER_WINDOW);
        }
    }

    /// Returns the order to make now. The same order is returned until its answer
    /// is recorded.
    #[must_use]
    pub fn next_order(&mut self, now: Instant) -> Option<CapacityOrder> {
        if self.pending.is_none() {
            self.first_seen?;
            let order = self.growth(now).or_else(|| self.reduction(now));
            let (order, reason) = order.or_else(|| self.cheaper_mix(now))?;
            self.reason = reason;
            self.pending = Some(order);
        }
        self.pending.clone()
    }

    /// Records the answer to an order.
    pub fn record_answer(&mut self, order: &CapacityOrder, answer: CapacityAnswer, now: Instant) {
        self.pending.take_if(|pending| pending == order);
        let expected_until = self.expected_until(now);
        let state = self.pools.entry(pool_of(order)).or_default();
        match answer {
            CapacityAnswer::Accepted => {
                state.ordered = Some(Ordered { count: order.count, expected_until });
                state.retry_at = None;
                state.backoff = Duration::ZERO;
                self.order_times.entry(order.data_centre.clone()).or_default().push_back(now);
            }
            CapacityAnswer::Unavailable => {
                state.backoff = (state.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
                state.retry_at = Some(now + state.backoff);
            }
        }
    }

    /// Returns the figures of the last decision.
    #[must_use]
    pub fn state(&self) -> ScalingState {
        let capacity: f64 = self.pools.values().map(|state| state.capacity).sum();
        ScalingState {
            demand: self.demand.slots,
            held_demand: self.held.slots,
            supply: ceil(capacity * f64::from(self.slots)),
            need: self.need(TARGET_UTILISATION, 1.0).engines,
            reason: self.reason,
        }
    }

    fn boot_time(&self) -> Duration {
        Duration::from_millis(self.policy.limits.boot_ms)
    }

    fn expected_until(&self, now: Instant) -> Instant {
        now + 2 * self.boot_time() + BOOT_MARGIN
    }

    /// How long the demand must have been lower before engines are removed.
    fn hold_time(&self, now: Instant) -> Duration {
        let period = self.submissions.longest_period(now).unwrap_or_default();
        self.boot_time().max(period.mul_f64(PERIOD_FACTOR)).max(FIRST_BACKOFF)
    }

    /// Returns the engines that the demand needs.
    fn need(&self, utilisation: f64, factor: f64) -> Need {
        let slots = f64::from(self.slots) * utilisation;
        let most = self.policy.limits.max_count.saturating_mul(to_u32(self.pools.len()));
        let engines = ceil(f64::from(self.held.slots) / slots * factor).min(most);
        let callers = ceil(f64::from(self.held.callers) / slots);
        // All spot engines may go within a short time.
        Need { engines, on_demand: engines.div_ceil(2).max(callers.min(engines)) }
    }

    fn orders_of(&self, data_centre: &str) -> usize {
        self.order_times.get(data_centre).map_or(0, VecDeque::len)
    }

    fn is_replacing(&self, now: Instant) -> bool {
        self.lost_at.is_some_and(|at| now < at + REPLACEMENT_TIME)
    }

    fn pool_infos(&self, max_orders: usize, now: Instant) -> BTreeMap<Pool, PoolInfo> {
        let info = |(pool, state): (&Pool, &PoolState)| {
            let info = PoolInfo {
                serving: state.serving,
                capacity: state.capacity,
                missing: state.missing(now),
                busy: state.busy,
                can_grow: state.retry_at.is_none_or(|at| now >= at)
                    && self.orders_of(&pool.data_centre) < max_orders,
                avoided: state.avoided_until.is_some_and(|until| now < until),
            };
            (pool.clone(), info)
        };
        self.pools.iter().map(info).collect()
    }

    fn committed(&self) -> Counts {
        self.pools.iter().map(|(pool, state)| (pool.clone(), state.committed())).collect()
    }

    /// Returns the factor by which a rise exceeds the need, since the orders of the
    /// last minute did not cover it.
    fn growth_factor(&self) -> f64 {
        let orders = self.order_times.values().map(VecDeque::len).sum::<usize>();
        let data_centres = self.pools.len().div_ceil(2).max(1);
        1.0 + GROWTH_PER_ORDER * f64::from(to_u32(orders / data_centres))
    }

    /// Returns the order that adds most engines, if there are too few.
    fn growth(&mut self, now: Instant) -> Option<(CapacityOrder, Reason)> {
        let is_replacing = self.is_replacing(now);
        let max_orders = if is_replacing { MAX_ORDERS } else { MAX_GROWTH_ORDERS };
        let infos = self.pool_infos(max_orders, now);
        let factor = self.growth_factor.unwrap_or_else(|| self.growth_factor());
        let (trigger, target) =
            (self.need(MAX_UTILISATION, 1.0), self.need(TARGET_UTILISATION, factor));
        let plan = Plan { limits: &self.policy.limits, pools: &infos };
        let counts = self.committed();
        let is_below_min = plan.below_min(&counts).is_some();
        let is_growing = self.growth_factor.is_some();
        let is_growing = !plan.covers(&counts, if is_growing { target } else { trigger });
        self.growth_factor = is_growing.then_some(factor);
        if !is_growing && !is_below_min {
            return None;
        }
        let mut grown = counts.clone();
        plan.grow(&mut grown, if is_growing { target } else { Need::default() });
        let reason = match (is_below_min, is_replacing) {
            (true, _) => Reason::Minimum,
            (false, true) => Reason::Loss,
            (false, false) => Reason::Demand,
        };
        Some((self.largest_increase(&counts, &grown)?, reason))
    }

    fn largest_increase(&self, counts: &Counts, grown: &Counts) -> Option<CapacityOrder> {
        let increase = |(pool, count): (&Pool, &u32)| {
            let more = count.checked_sub(counts.get(pool).copied().unwrap_or(0))?;
            (more > 0).then(|| (more, self.order(pool, *count)))
        };
        let increases = grown.iter().filter_map(increase);
        increases.max_by_key(|(more, _)| *more).map(|(_, order)| order)
    }

    fn order(&self, pool: &Pool, count: u32) -> CapacityOrder {
        CapacityOrder {
            service: self.policy.service.clone(),
            data_centre: pool.data_centre.clone(),
            count,
            spot: pool.spot,
        }
    }

    /// Whether the demand is known well enough to remove engines.
    fn may_reduce(&self, now: Instant) -> bool {
        let idle = self.submissions.is_empty();
        let least = if idle { MIN_IDLE_OBSERVATION_TIME } else { MIN_OBSERVATION_TIME };
        let least = least.max(self.hold_time(now)).max(self.boot_time());
        self.first_seen.is_some_and(|at| now >= at + least) && !self.is_replacing(now)
    }

    /// Returns an order that removes engines, if fewer cover the need.
    fn reduction(&self, now: Instant) -> Option<(CapacityOrder, Reason)> {
        // Which engines are no longer needed is known once those that start serve: before,
        // the first spot engines of a cheaper mix would be removed again.
        let is_starting =
            |state: &PoolState| state.is_expected(now) && state.serving != state.committed();
        if !self.may_reduce(now) || self.pools.values().any(is_starting) {
            return None;
        }
        let mut infos = self.pool_infos(MAX_REDUCTIONS, now);
        for (pool, info) in &mut infos {
            if self.orders_of(&pool.data_centre) >= MAX_REDUCTIONS {
                info.busy = u32::MAX;
            }
        }
        // Only engines that serve count: those that were ordered may fail to come.
        let serving = |(pool, state): (&Pool, &PoolState)| {
            (pool.clone(), state.serving.min(state.committed()))
        };
        let counts: Counts = self.pools.iter().map(serving).collect();
        let mut fewer = counts.clone();
        let plan = Plan { limits: &self.policy.limits, pools: &infos };
        plan.shrink(&mut fewer, self.need(TARGET_UTILISATION, 1.0));
        let (pool, count) = fewer
            .iter()
            .filter(|(pool, count)| counts[*pool] > **count)
            .max_by_key(|(pool, count)| counts[*pool] - **count)?;
        Some((self.order(pool, *count), Reason::LowDemand))
    }

    /// Returns an order that adds engines to a cheaper mix. Those that it makes
    /// unnecessary are removed once the new ones serve.
    fn cheaper_mix(&self, now: Instant) -> Option<(CapacityOrder, Reason)> {
        if !self.may_reduce(now) {
            return None;
        }
        let mut infos = self.pool_infos(MAX_REDUCTIONS, now);
        let counts = self.committed();
        let cost = Plan { limits: &self.policy.limits, pools: &infos }.cost(&counts);
        for info in infos.values_mut() {
            (info.serving, info.capacity, info.missing) = (0, 0.0, 0);
            info.can_grow &= !info.avoided;
        }
        let plan = Plan { limits: &self.policy.limits, pools: &infos };
        let mut ideal = Counts::new();
        let need = self.need(TARGET_UTILISATION, 1.0);
        plan.grow(&mut ideal, need);
        if !plan.covers(&ideal, need) || plan.cost(&ideal) > cost * CHEAPER_FACTOR {
            return None;
        }
        let mut grown = counts.clone();
        // On-demand engines are not moved between data centres: each move stops an engine
        // that has weights and starts one that has none.
        for (pool, count) in ideal.into_iter().filter(|(pool, _)| pool.spot) {
            let own = counts.get(&pool).copied().unwrap_or(0);
            let other = Pool { spot: !pool.spot, ..pool.clone() };
            let other = counts.get(&other).copied().unwrap_or(0);
            let room = self.policy.limits.max_count.saturating_sub(other);
            grown.insert(pool, own.max(count.min(room)));
        }
        Some((self.largest_increase(&counts, &grown)?, Reason::CheaperMix))
    }
}

fn pool_of(order: &CapacityOrder) -> Pool {
    Pool { data_centre: order.data_centre.clone(), spot: order.spot }
}

/// Rounds up; a result that is above an integer by an error of the arithmetic is
/// that integer.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of the type"
)]
fn ceil(number: f64) -> u32 {
    (number - 1e-9).ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}
