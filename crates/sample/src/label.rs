//! Which weight versions produced a sample.

use cassia_ids::Version;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A run of tokens that one version produced.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Span {
    /// How many tokens.
    pub tokens: u32,
    /// The version, as the engine that produced them reported it.
    pub version: Version,
}

/// The versions behind a whole sample.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Label {
    /// The sample's tokens in order; never empty.
    pub spans: Vec<Span>,
    /// Versions whose cached attention state the tokens were produced from,
    /// where they differ from the spans' own, in ascending order.
    pub cached: Vec<Version>,
}

impl Label {
    /// Tells the oldest version that had a part in the sample.
    #[must_use]
    pub fn oldest(&self) -> Version {
        let spans = self.spans.iter().map(|span| span.version);
        spans.chain(self.cached.iter().copied()).min().unwrap_or(0)
    }

    /// Lists every version that had a part, in ascending order.
    #[must_use]
    pub fn versions(&self) -> Vec<Version> {
        let mut all: Vec<_> = self.spans.iter().map(|span| span.version).collect();
        all.extend(&self.cached);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Tells how far the oldest version is behind the trainer's.
    #[must_use]
    pub fn staleness(&self, trainer: Version) -> u64 {
        trainer.saturating_sub(self.oldest())
    }
}

/// Why a finished stream is no sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unlabelled {
    /// Some tokens came without a version that their engine confirmed.
    Unconfirmed,
    /// There were no tokens.
    Empty,
}

/// Collects the versions of one sample while it is generated.
///
/// It outlives a cancellation: the stream that resumes on another engine goes
/// on with the same labeller.
#[derive(Clone, Debug, Default)]
pub struct Labeller {
    spans: Vec<Span>,
    cached: Vec<Version>,
    unconfirmed: bool,
}

impl Labeller {
    /// Takes in tokens and the version that the engine reported for them.
    ///
    /// An engine that is between versions, as after a swap that failed
    /// partway, reports none.
    pub fn tokens(&mut self, tokens: u32, version: Option<Version>) {
        if tokens == 0 {
            return;
        }
        let Some(version) = version else {
            self.unconfirmed = true;
            return;
        };
        match self.spans.last_mut() {
            Some(span) if span.version == version => span.tokens += tokens,
            _ => self.spans.push(Span { tokens, version }),
        }
    }

    /// Takes in that cached state of this version was built upon.
    ///
    /// None stands for cached state whose version the engine doesn't know.
    pub fn cached(&mut self, version: Option<Version>) {
        match version {
            Some(version) => self.cached.push(version),
            None => self.unconfirmed = true,
        }
    }

    /// Counts the tokens so far.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.spans.iter().map(|span| span.tokens).sum()
    }

    /// Says whether there are no tokens yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Closes the label of a sample that is whole.
    ///
    /// # Errors
    ///
    /// Says why it is no sample.
    pub fn finish(self) -> Result<Label, Unlabelled> {
        if self.unconfirmed {
            return Err(Unlabelled::Unconfirmed);
        }
        if self.spans.is_empty() {
            return Err(Unlabelled::Empty);
        }
        let mut cached = self.cached;
        cached.sort_unstable();
        cached.dedup();
        cached.retain(|v| self.spans.iter().all(|span| span.version != *v));
        Ok(Label { spans: self.spans, cached })
    }
}
