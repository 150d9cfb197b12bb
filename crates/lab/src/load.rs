//! The two users' loads, drawn from a seed.

use rand::Rng;
use rand::rngs::SmallRng;

/// Microseconds of virtual time.
pub(crate) type Micros = u64;

/// One second.
pub(crate) const SECOND: Micros = 1_000_000;

/// A load on the engines of one model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) name: &'static str,
    /// Its name with slow engines.
    pub(crate) slow_name: &'static str,
    /// Engines that are slow rather than dead.
    pub(crate) slow_engines: usize,
    /// Callers' requests a second, outside the rush and in it.
    pub(crate) calm_rate: f64,
    pub(crate) rush_rate: f64,
    /// Tokens of a caller's answer.
    pub(crate) caller_tokens: u64,
    /// Tokens of a sample: the median, and the spread of their logarithm.
    pub(crate) sample_tokens: f64,
    pub(crate) sample_spread: f64,
    /// How long the trainer trains on a lot.
    pub(crate) train: Micros,
    pub(crate) staleness_bound: u64,
    pub(crate) idle_weight_percent: u32,
}

/// Evening picture uploads; staleness weighs more.
pub(crate) const LESERBILD: Load = Load {
    name: "leserbild",
    slow_name: "leserbild, one slow",
    slow_engines: 0,
    calm_rate: 30.0,
    rush_rate: 80.0,
    caller_tokens: 40,
    sample_tokens: 220.0,
    sample_spread: 0.8,
    train: 20 * SECOND,
    staleness_bound: 2,
    idle_weight_percent: 30,
};

/// Gate rush hours, with trainers all night; idle time weighs more.
pub(crate) const SAVANNA: Load = Load {
    name: "savanna",
    slow_name: "savanna, one slow",
    calm_rate: 40.0,
    rush_rate: 120.0,
    caller_tokens: 30,
    idle_weight_percent: 100,
    ..LESERBILD
};

impl Load {
    /// Draws the time until the next caller. Each third minute is a rush.
    pub(crate) fn next_caller(&self, now: Micros, rng: &mut SmallRng) -> Micros {
        let rush = now / (60 * SECOND) % 3 == 2;
        let rate = if rush { self.rush_rate } else { self.calm_rate };
        let wait = -(1.0 - rng.random::<f64>()).ln() / rate;
        micros(wait)
    }

    /// Draws the tokens of a sample; a few are stragglers.
    pub(crate) fn sample_tokens(&self, rng: &mut SmallRng) -> u64 {
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
        let tokens = self.sample_tokens * (self.sample_spread * normal).exp();
        micros(tokens / 1e6).clamp(1, 4_096)
    }
}

/// Turns seconds into microseconds.
fn micros(seconds: f64) -> Micros {
    std::time::Duration::try_from_secs_f64(seconds)
        .map_or(0, |span| u64::try_from(span.as_micros()).unwrap_or(0))
}
