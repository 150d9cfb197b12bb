//! Which kinds of engines in which data centres cover a need.

use std::cmp::Ordering::Equal;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cassia_ids::DataCentre;
use cassia_route::Scaling;

/// The engines of one kind in one data centre.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pool {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether they may be reclaimed at any time.
    pub spot: bool,
}

/// What is known of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolInfo {
    /// Engines that serve.
    pub(crate) serving: u32,
    /// Their capacity, as a number of healthy engines.
    pub(crate) capacity: f64,
    /// Engines that were ordered and don't come, or not any more.
    pub(crate) missing: u32,
    /// Engines that it takes to run the work that runs there now.
    pub(crate) busy: u32,
    /// Whether engines may be ordered there now.
    pub(crate) can_grow: bool,
    /// Whether engines were reclaimed there lately.
    pub(crate) avoided: bool,
}

/// Engines that are needed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Need {
    /// After the loss of all spot engines of any one data centre.
    pub(crate) engines: u32,
    /// Of these, on-demand engines.
    pub(crate) on_demand: u32,
}

/// Number of engines of each pool.
pub(crate) type Counts = BTreeMap<Pool, u32>;

/// The pools of a service with the limits on them.
#[derive(Debug)]
pub(crate) struct Plan<'a> {
    pub(crate) limits: &'a Scaling,
    pub(crate) pools: &'a BTreeMap<Pool, PoolInfo>,
}

impl Plan<'_> {
    /// Returns the capacity of so many engines of a pool; those that don't serve
    /// yet count as healthy.
    fn capacity(&self, pool: &Pool, count: u32) -> f64 {
        let Some(info) = self.pools.get(pool) else { return f64::from(count) };
        if count >= info.serving {
            return info.capacity + f64::from((count - info.serving).saturating_sub(info.missing));
        }
        info.capacity * f64::from(count) / f64::from(info.serving)
    }

    fn capacity_of(&self, counts: &Counts, spot: bool) -> f64 {
        let pools = counts.iter().filter(|(pool, _)| pool.spot == spot);
        pools.map(|(pool, count)| self.capacity(pool, *count)).sum()
    }

    /// Returns the capacity that remains after the loss of all spot engines of
    /// the data centre that has most of them.
    pub(crate) fn remaining(&self, counts: &Counts) -> f64 {
        let spot = counts.iter().filter(|(pool, _)| pool.spot);
        let largest = spot.map(|(pool, count)| self.capacity(pool, *count)).fold(0.0, f64::max);
        self.total(counts) - largest
    }

    pub(crate) fn total(&self, counts: &Counts) -> f64 {
        self.capacity_of(counts, false) + self.capacity_of(counts, true)
    }

    /// Returns whether the engines cover the need.
    pub(crate) fn covers(&self, counts: &Counts, need: Need) -> bool {
        self.remaining(counts) >= f64::from(need.engines)
            && self.capacity_of(counts, false) >= f64::from(need.on_demand)
    }

    /// Returns the cost of the engines a second.
    pub(crate) fn cost(&self, counts: &Counts) -> f64 {
        counts.iter().map(|(pool, count)| self.price(pool) * f64::from(*count)).sum()
    }

    fn price(&self, pool: &Pool) -> f64 {
        let price = self.limits.prices.get(&pool.data_centre).copied().unwrap_or(1.0);
        if pool.spot { price * self.limits.spot_price.unwrap_or(1.0) } else { price }
    }

    fn data_centres(&self) -> BTreeSet<&DataCentre> {
        self.pools.keys().map(|pool| &pool.data_centre).collect()
    }

    /// Adds engines until they cover the need or no pool can grow.
    pub(crate) fn grow(&self, counts: &mut Counts, need: Need) {
        while let Some(pool) = self.next_pool(counts, need) {
            *counts.entry(pool).or_default() += 1;
        }
    }

    /// Returns the pool to which one more engine is added next.
    fn next_pool(&self, counts: &Counts, need: Need) -> Option<Pool> {
        if let Some(pool) = self.below_min(counts) {
            return Some(pool);
        }
        let on_demand = self.cheapest_on_demand(counts);
        if self.capacity_of(counts, false) < f64::from(need.on_demand) && on_demand.is_some() {
            return on_demand;
        }
        if self.remaining(counts) >= f64::from(need.engines) {
            return None;
        }
        let last_resort = || {
            // Without others, spot engines of one data centre are better than none.
            let is_short = self.total(counts) < f64::from(need.engines);
            if is_short { self.smallest_spot(counts, true) } else { None }
        };
        self.useful_spot(counts).or(on_demand).or_else(last_resort)
    }

    /// Returns a pool of a data centre with less than the minimum that can grow.
    pub(crate) fn below_min(&self, counts: &Counts) -> Option<Pool> {
        let min_count = self.limits.min_count.min(self.limits.max_count);
        let is_below = |data_centre: &&DataCentre| in_data_centre(counts, data_centre) < min_count;
        let below = self.data_centres().into_iter().filter(is_below);
        let mut pools = below.flat_map(|data_centre| {
            [false, true].map(|spot| Pool { data_centre: data_centre.clone(), spot })
        });
        pools.find(|pool| self.can_grow(pool, counts))
    }

    fn can_grow(&self, pool: &Pool, counts: &Counts) -> bool {
        self.pools.get(pool).is_some_and(|info| info.can_grow)
            && (!pool.spot || self.limits.spot_price.is_some())
            && in_data_centre(counts, &pool.data_centre) < self.limits.max_count
    }

    fn cheapest_on_demand(&self, counts: &Counts) -> Option<Pool> {
        let pools = self.pools.keys().filter(|pool| !pool.spot && self.can_grow(pool, counts));
        pools.min_by(|a, b| self.price(a).total_cmp(&self.price(b))).cloned()
    }

    /// Returns the spot pool to grow if that costs less than on-demand engines,
    /// although as much must remain when one data centre loses its spot engines.
    fn useful_spot(&self, counts: &Counts) -> Option<Pool> {
        let can_have = |pool: &&Pool| {
            let has = counts.get(pool).is_some_and(|count| *count > 0);
            pool.spot && (has || (self.can_grow(pool, counts) && !self.is_avoided(pool)))
        };
        let data_centres = u32::try_from(self.pools.keys().filter(can_have).count()).ok()?;
        let others = data_centres.checked_sub(1).filter(|others| *others > 0)?;
        let price = self.limits.spot_price? * f64::from(data_centres) / f64::from(others);
        let pool = self.smallest_spot(counts, false).filter(|_| price < 1.0)?;
        let of = |pool: &Pool| counts.get(pool).copied().unwrap_or(0);
        let largest = counts.iter().filter(|(pool, _)| pool.spot).map(|(_, count)| *count).max();
        let growable = |p: &&Pool| p.spot && self.can_grow(p, counts) && !self.is_avoided(p);
        let is_useful =
            of(&pool) < largest.unwrap_or(0) || self.pools.keys().filter(growable).nth(1).is_some();
        is_useful.then_some(pool)
    }

    fn is_avoided(&self, pool: &Pool) -> bool {
        self.pools.get(pool).is_some_and(|info| info.avoided)
    }

    /// Returns the spot pool with the fewest engines that can grow; of several
    /// the cheapest.
    fn smallest_spot(&self, counts: &Counts, or_avoided: bool) -> Option<Pool> {
        let pools = self.pools.keys().filter(|pool| {
            pool.spot && self.can_grow(pool, counts) && (or_avoided || !self.is_avoided(pool))
        });
        let count = |pool: &Pool| counts.get(pool).copied().unwrap_or(0);
        let order = |a: &&Pool, b: &&Pool| {
            let prices = self.price(a).total_cmp(&self.price(b));
            (self.is_avoided(a), count(a)).cmp(&(self.is_avoided(b), count(b))).then(prices)
        };
        pools.min_by(order).cloned()
    }

    /// Removes engines, on-demand ones and the most expensive first, as long as the rest covers the
    /// need and the work that runs now.
    pub(crate) fn shrink(&self, counts: &mut Counts, need: Need) {
        loop {
            let pools = counts.iter().filter(|(pool, _)| self.can_shrink(pool, counts, need));
            // Of the spot engines, those of the data centre that has most go first,
            // since the loss of that one must be made up for.
            let next = pools.max_by(|(a, a_count), (b, b_count)| {
                let spot_counts = if a.spot && b.spot { a_count.cmp(b_count) } else { Equal };
                let prices = self.price(a).total_cmp(&self.price(b));
                b.spot.cmp(&a.spot).then(spot_counts).then(prices)
            });
            let Some(pool) = next.map(|(pool, _)| pool.clone()) else { return };
            counts.entry(pool).and_modify(|count| *count -= 1);
        }
    }

    fn can_shrink(&self, pool: &Pool, counts: &Counts, need: Need) -> bool {
        let count = counts.get(pool).copied().unwrap_or(0);
        let busy = self.pools.get(pool).map_or(0, |info| info.busy);
        let in_data_centre = in_data_centre(counts, &pool.data_centre);
        if count <= busy || in_data_centre <= self.limits.min_count {
            return false;
        }
        let mut fewer = counts.clone();
        fewer.insert(pool.clone(), count - 1);
        in_data_centre > self.limits.max_count || self.covers(&fewer, need)
    }
}

fn in_data_centre(counts: &Counts, data_centre: &str) -> u32 {
    let of_it = counts.iter().filter(|(pool, _)| pool.data_centre == data_centre);
    of_it.fold(0, |sum: u32, (_, count)| sum.saturating_add(*count))
}
