//! Measures the time per token of one response stream.

use std::time::Duration;
use std::time::Instant;

/// Measures one stream, from its first chunk on. The wait for the first chunk
/// depends on how busy the target is and not on its speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenTimer {
    first: Option<Instant>,
    tokens: u32,
}

impl TokenTimer {
    /// Records a received chunk.
    pub fn record_chunk(&mut self, tokens: u32, now: Instant) {
        if self.first.is_some() {
            self.tokens += tokens;
        } else {
            self.first = Some(now);
        }
    }

    /// Returns the number of tokens after the first chunk, and the time since
    /// that chunk.
    #[must_use]
    pub fn measurement(&self, now: Instant) -> (u32, Duration) {
        let took = self.first.map_or(Duration::ZERO, |first| now.saturating_duration_since(first));
        (self.tokens, took)
    }
}
