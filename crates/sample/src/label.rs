//! The weight versions that produced a sample.

use cassia_ids::Version;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Consecutive tokens produced by one weight version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Span {
    /// Number of tokens.
    pub tokens: u32,
    /// Weight version reported by the engine that produced the tokens.
    pub version: Version,
}

/// The weight versions that contributed to a complete sample.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Label {
    /// Spans of the sample's tokens, in order; never empty.
    pub spans: Vec<Span>,
    /// Versions whose cached attention state was used to produce the tokens,
    /// other than those of the spans, in ascending order.
    pub cached: Vec<Version>,
}

impl Label {
    /// Returns the oldest version that contributed to the sample.
    #[must_use]
    pub fn oldest(&self) -> Version {
        let spans = self.spans.iter().map(|span| span.version);
        spans.chain(self.cached.iter().copied()).min().unwrap_or(0)
    }

    /// Returns all versions that contributed to the sample, in ascending
    /// order.
    #[must_use]
    pub fn versions(&self) -> Vec<Version> {
        let mut all: Vec<_> = self.spans.iter().map(|span| span.version).collect();
        all.extend(&self.cached);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Returns how many versions the oldest one is behind the trainer's.
    #[must_use]
    pub fn staleness(&self, trainer: Version) -> u64 {
        trainer.saturating_sub(self.oldest())
    }
}

/// Why a finished stream can't be used as a sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LabelError {
    /// The engine did not report the version of some tokens or cached state.
    UnknownVersion,
    /// The stream has no tokens.
    NoTokens,
}

/// Collects the weight versions of one sample while it is generated.
///
/// A stream that is cancelled and resumed on another engine continues with the
/// same builder.
#[derive(Clone, Debug, Default)]
pub struct LabelBuilder {
    spans: Vec<Span>,
    cached: Vec<Version>,
    has_unknown_version: bool,
}

impl LabelBuilder {
    /// Adds tokens and the version that the engine reported for them.
    ///
    /// An engine that is between versions, such as after a weight swap that
    /// failed partway, reports none.
    pub fn add_tokens(&mut self, tokens: u32, version: Option<Version>) {
        if tokens == 0 {
            return;
        }
        let Some(version) = version else {
            self.has_unknown_version = true;
            return;
        };
        match self.spans.last_mut() {
            Some(span) if span.version == version => span.tokens += tokens,
            _ => self.spans.push(Span { tokens, version }),
        }
    }

    /// Adds the version of cached state that the engine used.
    ///
    /// `None` stands for cached state whose version the engine doesn't know.
    pub fn add_cached(&mut self, version: Option<Version>) {
        match version {
            Some(version) => self.cached.push(version),
            None => self.has_unknown_version = true,
        }
    }

    /// Returns the number of tokens so far.
    #[must_use]
    pub fn token_count(&self) -> u32 {
        self.spans.iter().map(|span| span.tokens).sum()
    }

    /// Returns whether there are no tokens yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Builds the label of a complete sample.
    ///
    /// # Errors
    ///
    /// The stream has no tokens, or a version is unknown.
    pub fn finish(self) -> Result<Label, LabelError> {
        if self.has_unknown_version {
            return Err(LabelError::UnknownVersion);
        }
        if self.spans.is_empty() {
            return Err(LabelError::NoTokens);
        }
        let mut cached = self.cached;
        cached.sort_unstable();
        cached.dedup();
        cached.retain(|v| self.spans.iter().all(|span| span.version != *v));
        Ok(Label { spans: self.spans, cached })
    }
}
