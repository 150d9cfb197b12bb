//! Assembly of an item's text from the event streams of one or more engines.

use cassia_ids::Software;
use cassia_ids::Version;

use crate::Event;
use crate::ItemProgress;

/// Why an event or a run does not continue the text.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum TextError {
    /// The event's id is not the expected one.
    #[error("got event {got}, expected {expected}")]
    OutOfOrder {
        /// Id of the event.
        got: u64,
        /// The expected id.
        expected: u64,
    },
    /// The event has no id.
    #[error("got an event without id, expected {expected}")]
    MissingId {
        /// The expected id.
        expected: u64,
    },
    /// Neither the run nor the event names a weight version.
    #[error("weight version of event {0} is unknown")]
    UnknownVersion(u64),
    /// The weight version is older than the job allows.
    #[error("weight version {got} is older than {min}")]
    VersionTooOld {
        /// The weight version.
        got: Version,
        /// The oldest version that the job allows.
        min: Version,
    },
    /// The text must come from a single weight version, and this one differs.
    #[error("weight version {got} differs from {expected} of the text so far")]
    MixedVersions {
        /// The weight version.
        got: Version,
        /// The version of the text so far.
        expected: Version,
    },
    /// The engine's software is not the version that began the text.
    #[error("the engine's software is not the version that began the text")]
    OtherSoftware,
    /// It is not known which version of the engines' software began the text.
    #[error("it is unknown which version of the software began the text")]
    UnknownSoftware,
    /// The text is longer than a result may be.
    #[error("text exceeds {max_bytes} bytes")]
    TooLong {
        /// The limit, in bytes.
        max_bytes: usize,
    },
}

/// The text of an item so far, with the weight versions that generated it.
///
/// Invariant: the text consists of the events from the first id on, each once
/// and in order, all by one version of the engines' software, and `versions`
/// contains exactly the weight versions that generated at least one of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ItemText {
    text: String,
    last_event_id: Option<u64>,
    versions: Vec<Version>,
    /// The weight version that the current run generates with.
    run_version: Option<Version>,
    /// The version of the software that the current run is at; once there is an
    /// event, that of the whole text.
    software: Software,
    min_version: Version,
    single_version: bool,
    max_bytes: usize,
}

impl ItemText {
    /// Creates an empty text of at most `max_bytes`. Versions from
    /// `min_version` on may generate it; with `single_version`, all of it must
    /// come from the same one.
    #[must_use]
    pub fn new(min_version: Version, single_version: bool, max_bytes: usize) -> Self {
        Self { min_version, single_version, max_bytes, ..Self::default() }
    }

    /// Goes on from a start of the text that another process had stored.
    ///
    /// # Errors
    ///
    /// A version that generated it is not allowed, it is too long, or the version
    /// of the software that generated it is unknown.
    pub fn continue_from(mut self, progress: &ItemProgress) -> Result<Self, TextError> {
        if progress.software.is_empty() {
            return Err(TextError::UnknownSoftware);
        }
        for version in &progress.versions {
            self.check_version(*version)?;
            self.versions.push(*version);
        }
        if progress.text.len() > self.max_bytes {
            return Err(TextError::TooLong { max_bytes: self.max_bytes });
        }
        self.text.clone_from(&progress.text);
        self.last_event_id = Some(progress.last_event_id);
        self.software = Software::new(&progress.software);
        Ok(self)
    }

    /// Returns the progress of an item with this text; `None` if the text has
    /// no event.
    #[must_use]
    pub fn progress(&self, job: &str, index: u32) -> Option<ItemProgress> {
        Some(ItemProgress {
            job: job.to_owned(),
            index,
            last_event_id: self.last_event_id?,
            text: self.text.clone(),
            versions: self.versions.clone(),
            software: self.software.to_string(),
        })
    }

    /// Starts the first run, or one that resumes after another broke off.
    /// `version` is the engine's weight version, if known, and `software` the
    /// version of its software.
    ///
    /// # Errors
    ///
    /// A version is not allowed.
    pub fn start_run(
        &mut self,
        version: Option<Version>,
        software: &Software,
    ) -> Result<(), TextError> {
        self.run_version = None;
        if !self.accepts_software(software) {
            return Err(TextError::OtherSoftware);
        }
        if let Some(version) = version {
            self.check_version(version)?;
        }
        self.run_version = version;
        self.software.clone_from(software);
        Ok(())
    }

    /// Appends the next event.
    ///
    /// # Errors
    ///
    /// The event is not the next one, its version is unknown or not allowed,
    /// or the text becomes too long.
    pub fn push(&mut self, event: &Event) -> Result<(), TextError> {
        let expected = self.last_event_id.map(|last| last + 1);
        let Some(id) = event.id else {
            return Err(TextError::MissingId { expected: expected.unwrap_or(0) });
        };
        if let Some(expected) = expected.filter(|expected| *expected != id) {
            return Err(TextError::OutOfOrder { got: id, expected });
        }
        // Streams number their events from 0 or 1.
        if self.last_event_id.is_none() && id > 1 {
            return Err(TextError::OutOfOrder { got: id, expected: 0 });
        }
        if self.text.len() + 1 + event.data.len() > self.max_bytes {
            return Err(TextError::TooLong { max_bytes: self.max_bytes });
        }
        let version = event.version.or(self.run_version).ok_or(TextError::UnknownVersion(id))?;
        self.check_version(version)?;
        self.run_version = Some(version);
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
        if self.last_event_id.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(&event.data);
        self.last_event_id = Some(id);
        Ok(())
    }

    /// Returns the id of the last event, after which a run may resume.
    #[must_use]
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Returns the version of the software that must generate the rest of the
    /// text; `None` while there is no event.
    #[must_use]
    pub fn fixed_software(&self) -> Option<&Software> {
        self.last_event_id.map(|_| &self.software)
    }

    /// Returns whether engines with this version of the software may generate the
    /// next event.
    #[must_use]
    pub fn accepts_software(&self, software: &Software) -> bool {
        self.fixed_software().is_none_or(|fixed| fixed == software)
    }

    /// Returns the version that must generate the rest of the text, if it is
    /// fixed.
    #[must_use]
    pub fn fixed_version(&self) -> Option<Version> {
        self.versions.first().copied().filter(|_| self.single_version)
    }

    /// Returns the text and the versions that generated it, in ascending
    /// order.
    #[must_use]
    pub fn finish(self) -> (String, Vec<Version>) {
        let mut versions = self.versions;
        versions.sort_unstable();
        (self.text, versions)
    }

    fn check_version(&self, version: Version) -> Result<(), TextError> {
        if version < self.min_version {
            return Err(TextError::VersionTooOld { got: version, min: self.min_version });
        }
        match self.fixed_version() {
            Some(expected) if expected != version => {
                Err(TextError::MixedVersions { got: version, expected })
            }
            _ => Ok(()),
        }
    }
}
