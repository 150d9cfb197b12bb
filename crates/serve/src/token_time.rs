//! How long a job's completed items took for a token.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Total time and number of expected tokens of the completed items.
#[derive(Debug, Default)]
pub(crate) struct TokenTime {
    micros: AtomicU64,
    tokens: AtomicU64,
}

impl TokenTime {
    /// Records a completed item.
    pub(crate) fn record(&self, took: Duration, tokens: u64) {
        self.micros.fetch_add(micros(took), Ordering::Relaxed);
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Estimates the time per token. `prior`, a time and the number of tokens
    /// generated in it, counts as much as `weight` completed items.
    pub(crate) fn micros_per_token(&self, prior: (Duration, u64), weight: u64) -> u64 {
        let measured = (self.micros.load(Ordering::Relaxed), self.tokens.load(Ordering::Relaxed));
        (measured.0 + weight * micros(prior.0)) / (measured.1 + weight * prior.1).max(1)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
