//! How fast a target generates, measured on one request's stream.

use std::time::Duration;
use std::time::Instant;

/// Measures one stream, from its first piece on: the wait for a slot before it
/// says how busy the target is, and not how fast.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenTimer {
    first: Option<Instant>,
    tokens: u32,
}

impl TokenTimer {
    /// Takes a piece in.
    pub fn record_chunk(&mut self, tokens: u32, now: Instant) {
        if self.first.is_some() {
            self.tokens += tokens;
        } else {
            self.first = Some(now);
        }
    }

    /// Gives the tokens after the first piece, and how long they took.
    #[must_use]
    pub fn measurement(&self, now: Instant) -> (u32, Duration) {
        let took = self.first.map_or(Duration::ZERO, |first| now.saturating_duration_since(first));
        (self.tokens, took)
    }
}
