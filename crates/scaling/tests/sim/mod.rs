//! A simulated platform with engines, callers and trainers, in steps of 250 ms.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::CapacityAnswer;
use cassia_clients::CapacityOrder;
use cassia_ids::DataCentre;
use cassia_route::Scaling;
use cassia_scaling::Autoscaler;
use cassia_scaling::EngineState;
use cassia_scaling::Observation;
use cassia_scaling::OpenJob;
use cassia_scaling::Pool;
use cassia_scaling::ScalingPolicy;
use cassia_scaling::Submission;

pub const STEP_MS: u64 = 250;
pub const SLOTS: u32 = 4;
pub const BOOT_MS: u64 = 8_000;
/// How long reclaimed engines still run.
const NOTICE_MS: u64 = 2_000;

#[derive(Clone, Debug)]
struct Engine {
    pool: Pool,
    ready_ms: u64,
    leaves_ms: Option<u64>,
    speed: f64,
}

/// Jobs of one trainer: `items` at `start_ms` and then each `period_ms`, done
/// after `work_ms` if there are enough slots.
#[derive(Clone, Debug)]
pub struct Trainer {
    pub model: &'static str,
    pub start_ms: u64,
    pub period_ms: u64,
    pub items: u32,
    pub work_ms: u64,
}

#[derive(Debug)]
pub struct Sim {
    pub scaler: Autoscaler,
    pub now_ms: u64,
    /// Pools without engines at the moment.
    pub unavailable: BTreeSet<Pool>,
    /// All calls with their answers and times.
    pub calls: Vec<(u64, CapacityOrder, CapacityAnswer)>,
    pub limits: Scaling,
    /// Callers' requests at a time.
    pub callers: u32,
    pub trainers: Vec<Trainer>,
    epoch: Instant,
    engines: Vec<Engine>,
}

pub fn pool(data_centre: &str, spot: bool) -> Pool {
    Pool { data_centre: data_centre.into(), spot }
}

pub fn limits(min_count: u32, max_count: u32) -> Scaling {
    let prices = [("z1", 1.0), ("z2", 1.1), ("z3", 1.2)];
    Scaling {
        min_count,
        max_count,
        boot_ms: BOOT_MS,
        spot_price: Some(0.2),
        prices: prices.map(|(name, price)| (name.into(), price)).into(),
    }
}

impl Sim {
    /// A service with `start` on-demand engines in each data centre.
    pub fn new(limits: Scaling, start: u32) -> Self {
        let policy = ScalingPolicy { service: "llm".into(), limits: limits.clone() };
        let mut sim = Self {
            scaler: Autoscaler::new(policy),
            now_ms: 0,
            unavailable: BTreeSet::new(),
            calls: Vec::new(),
            limits,
            callers: 0,
            trainers: Vec::new(),
            epoch: Instant::now(),
            engines: Vec::new(),
        };
        for data_centre in ["z1", "z2", "z3"] {
            for _ in 0..start {
                sim.add(&pool(data_centre, false), 0);
            }
        }
        sim
    }

    pub fn now(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now_ms)
    }

    fn add(&mut self, pool: &Pool, ready_ms: u64) {
        self.engines.push(Engine { pool: pool.clone(), ready_ms, leaves_ms: None, speed: 1.0 });
    }

    /// Another holder takes over, with the accepted orders from the log.
    pub fn replace_holder(&mut self) {
        let policy = ScalingPolicy { service: "llm".into(), limits: self.limits.clone() };
        self.scaler = Autoscaler::new(policy);
        let mut last = BTreeMap::new();
        for (_, order, answer) in &self.calls {
            if *answer == CapacityAnswer::Accepted {
                last.insert((order.data_centre.clone(), order.spot), order.clone());
            }
        }
        for order in last.values() {
            self.scaler.restore(order, self.now());
        }
    }

    /// Runs for some time.
    pub fn run(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.step();
        }
    }

    pub fn step(&mut self) {
        let now_ms = self.now_ms;
        self.engines.retain(|engine| engine.leaves_ms.is_none_or(|at| now_ms < at));
        let seen = self.observation();
        let now = self.now();
        self.scaler.observe(&seen, now);
        if let Some(order) = self.scaler.next_order(now) {
            let answer = self.carry_out(&order);
            self.scaler.record_answer(&order, answer, now);
            self.calls.push((now_ms, order, answer));
        }
        self.check_limits();
        self.now_ms += STEP_MS;
    }

    fn carry_out(&mut self, order: &CapacityOrder) -> CapacityAnswer {
        let pool = pool(&order.data_centre, order.spot);
        let present = self.committed(&pool);
        if order.count > present && self.unavailable.contains(&pool) {
            return CapacityAnswer::Unavailable;
        }
        for _ in present..order.count {
            self.add(&pool, self.now_ms + BOOT_MS);
        }
        let surplus = present.saturating_sub(order.count) as usize;
        let of_pool = |e: &&mut Engine| e.pool == pool && e.leaves_ms.is_none();
        for engine in self.engines.iter_mut().filter(of_pool).take(surplus) {
            engine.leaves_ms = Some(self.now_ms + NOTICE_MS);
        }
        CapacityAnswer::Accepted
    }

    /// Engines of a pool that run or start.
    pub fn committed(&self, pool: &Pool) -> u32 {
        let of_pool = self.engines.iter().filter(|e| e.pool == *pool && e.leaves_ms.is_none());
        u32::try_from(of_pool.count()).unwrap()
    }

    /// Engines of all pools that are of a kind.
    pub fn count(&self, spot: bool) -> u32 {
        ["z1", "z2", "z3"].map(|data_centre| self.committed(&pool(data_centre, spot))).iter().sum()
    }

    /// Slots that remain when the data centre with most spot engines loses them.
    pub fn slots_after_reclaim(&self) -> u32 {
        let largest = ["z1", "z2", "z3"].map(|z| self.committed(&pool(z, true)));
        (self.count(false) + self.count(true) - largest.into_iter().max().unwrap()) * SLOTS
    }

    /// Slots of healthy engines that serve, those of slow ones in part.
    pub fn serving_slots(&self) -> f64 {
        let serving = self.engines.iter().filter(|engine| self.serves(engine));
        serving.map(|engine| f64::from(SLOTS) * engine.speed).sum()
    }

    fn serves(&self, engine: &Engine) -> bool {
        engine.leaves_ms.is_none() && engine.ready_ms <= self.now_ms
    }

    /// Reclaims all spot engines of a data centre.
    pub fn reclaim(&mut self, data_centre: &str) {
        let pool = pool(data_centre, true);
        let now_ms = self.now_ms;
        self.engines.retain(|engine| engine.pool != pool || engine.ready_ms <= now_ms);
        for engine in self.engines.iter_mut().filter(|engine| engine.pool == pool) {
            engine.leaves_ms = Some(now_ms + NOTICE_MS);
        }
    }

    /// Makes every other engine slow.
    pub fn slow_every_other(&mut self, speed: f64) {
        for engine in self.engines.iter_mut().step_by(2) {
            engine.speed = speed;
        }
    }

    fn observation(&self) -> Observation {
        let mut seen = Observation { callers: self.callers, ..Observation::default() };
        let mut items = 0;
        for trainer in &self.trainers {
            let Some(since) = self.now_ms.checked_sub(trainer.start_ms) else { continue };
            let at_ms = since % trainer.period_ms;
            // The hosts report the jobs of the last minutes.
            for step in (0..=since / trainer.period_ms).rev().take(20) {
                let at_ms = trainer.start_ms + step * trainer.period_ms;
                let id = format!("{}-{at_ms}", trainer.model).into();
                let at = self.epoch + Duration::from_millis(at_ms);
                let (model, items) = (trainer.model.into(), trainer.items);
                seen.submissions.push(Submission { id, model, at, items });
            }
            if at_ms < trainer.work_ms {
                items += trainer.items;
                let model = trainer.model.into();
                seen.jobs.push(OpenJob { model, items_left: trainer.items });
            }
        }
        let mut left = self.callers + items;
        for engine in &self.engines {
            if engine.ready_ms > self.now_ms {
                continue;
            }
            let load = left.min(SLOTS);
            left -= load;
            seen.engines.push(EngineState {
                data_centre: engine.pool.data_centre.clone(),
                spot: engine.pool.spot,
                leaving: engine.leaves_ms.is_some(),
                slots: SLOTS,
                load,
                speed: engine.speed,
            });
        }
        seen.waiting = 0;
        seen
    }

    fn check_limits(&self) {
        for data_centre in ["z1", "z2", "z3"] {
            let count = [false, true].map(|spot| self.committed(&pool(data_centre, spot)));
            let count: u32 = count.iter().sum();
            assert!(count <= self.limits.max_count, "{data_centre}: {count} at {}", self.now_ms);
        }
        let orders = self.calls.iter().filter(|(_, order, _)| !order.spot);
        for (at, order, _) in orders {
            assert!(order.count <= self.limits.max_count, "{order:?} at {at}");
        }
    }

    /// Checks that no data centre had more than four accepted orders in a minute.
    pub fn check_order_rate(&self) -> Result<(), String> {
        let mut times: BTreeMap<DataCentre, Vec<u64>> = BTreeMap::new();
        for (at, order, answer) in &self.calls {
            if *answer == CapacityAnswer::Accepted {
                times.entry(order.data_centre.clone()).or_default().push(*at);
            }
        }
        for (data_centre, times) in times {
            let mut windows = times.windows(5);
            if let Some(window) = windows.find(|window| window[4] - window[0] < 60_000) {
                return Err(format!("{data_centre}: orders at {window:?}"));
            }
        }
        Ok(())
    }

    /// Orders that reduced a pool.
    pub fn reductions(&self) -> Vec<(u64, CapacityOrder)> {
        let mut counts: BTreeMap<(DataCentre, bool), u32> = BTreeMap::new();
        let mut reductions = Vec::new();
        for (at, order, answer) in &self.calls {
            if *answer != CapacityAnswer::Accepted {
                continue;
            }
            let key = (order.data_centre.clone(), order.spot);
            if counts.insert(key, order.count).is_some_and(|before| order.count < before) {
                reductions.push((*at, order.clone()));
            }
        }
        reductions
    }
}
