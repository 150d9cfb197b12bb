//! Random loads of the two customers.

use rand::Rng;
use rand::rngs::SmallRng;

/// Microseconds of virtual time.
pub(crate) type Micros = u64;

pub(crate) const SECOND: Micros = 1_000_000;

/// A load on the engines of one model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) name: &'static str,
    /// Name of the load if some engines are slow.
    pub(crate) slow_name: &'static str,
    /// Number of engines that are slow.
    pub(crate) slow_engines: usize,
    /// Callers' requests per second outside rush periods.
    pub(crate) calm_rate: f64,
    /// Callers' requests per second in rush periods.
    pub(crate) rush_rate: f64,
    /// Number of tokens generated for a caller.
    pub(crate) caller_tokens: u64,
    /// Median number of tokens of a sample.
    pub(crate) median_sample_tokens: f64,
    /// Standard deviation of the natural logarithm of a sample's tokens.
    pub(crate) sample_tokens_log_sd: f64,
    /// Time that the trainer takes to train on a lot.
    pub(crate) train_time: Micros,
    pub(crate) staleness_bound: u64,
    pub(crate) idle_weight_percent: u32,
}

/// Evening picture uploads; staleness has more weight than idle time.
pub(crate) const LESERBILD: Load = Load {
    name: "leserbild",
    slow_name: "leserbild, one slow",
    slow_engines: 0,
    calm_rate: 30.0,
    rush_rate: 80.0,
    caller_tokens: 40,
    median_sample_tokens: 220.0,
    sample_tokens_log_sd: 0.8,
    train_time: 20 * SECOND,
    staleness_bound: 2,
    idle_weight_percent: 30,
};

/// Rush hours at the gates, with trainers all night; idle time has more
/// weight than staleness.
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
    /// Returns a random time until the next caller's request. Every third
    /// minute is a rush period.
    pub(crate) fn time_to_next_caller(&self, now: Micros, rng: &mut SmallRng) -> Micros {
        let is_rush = now / (60 * SECOND) % 3 == 2;
        let rate = if is_rush { self.rush_rate } else { self.calm_rate };
        let wait = -(1.0 - rng.random::<f64>()).ln() / rate;
        micros(wait)
    }

    /// Returns a random number of tokens for a sample, by a log-normal
    /// distribution: a few samples are much longer than most.
    pub(crate) fn draw_sample_tokens(&self, rng: &mut SmallRng) -> u64 {
        // Box-Muller transform.
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
        let tokens = self.median_sample_tokens * (self.sample_tokens_log_sd * normal).exp();
        // Rounds to a whole number.
        micros(tokens / 1e6).clamp(1, 4_096)
    }
}

/// Converts seconds to microseconds.
fn micros(seconds: f64) -> Micros {
    std::time::Duration::try_from_secs_f64(seconds)
        .map_or(0, |duration| u64::try_from(duration.as_micros()).unwrap_or(0))
}
