//! Which version of the software began which stream.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::Software;
use smol_str::SmolStr;

use crate::StreamDigest;
use crate::StreamRecord;

/// How long after its last sight a version may still have streams that callers
/// resume: longer than any caller waits.
pub const RETENTION: Duration = Duration::from_mins(2);
/// How often it is reported at least that a version begins streams. Log records are
/// kept for longer than twice this time.
const ANNOUNCE_INTERVAL: Duration = Duration::from_mins(1);
/// Number of streams after which those of the generation before are forgotten.
const MAX_GENERATION: usize = 65_536;
/// Maximum number of this host's streams that wait to be reported.
const MAX_UNREPORTED: usize = 16_384;
/// Maximum number of streams in one record.
const MAX_RECORD_STREAMS: usize = 2_048;

/// Where a stream may be resumed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResumeDecision {
    /// Only at this version of this service's software, which began it.
    At {
        /// The service.
        service: SmolStr,
        /// The version.
        software: Software,
    },
    /// Its beginning is not known, but each service has a single version. That
    /// began it if no host knows another one.
    Single,
    /// Several versions may have begun it.
    Unknown,
}

/// A service and a version of its software.
type Origin = (SmolStr, Software);

/// Which version began which stream, as far as this host knows.
#[derive(Debug, Default)]
pub struct StreamTable {
    /// When each version of a service was last seen.
    versions: BTreeMap<SmolStr, BTreeMap<Software, Instant>>,
    /// All that streams refer to, by index.
    origins: Vec<Origin>,
    newest: HashMap<StreamDigest, usize>,
    older: HashMap<StreamDigest, usize>,
    /// When `newest` was begun.
    begun: Option<Instant>,
    /// This host's streams that the other hosts don't know yet.
    unreported: VecDeque<(StreamDigest, usize, Instant)>,
    /// When to report again that a version begins streams; of those that some host
    /// has reported.
    announce_at: BTreeMap<Origin, Instant>,
    /// The versions of which a report was read.
    read: BTreeSet<Origin>,
    /// From 0 to 1, different at each host: the later hosts see that an earlier one
    /// has reported a version again.
    spread: f64,
}

impl StreamTable {
    /// Creates an empty table. `spread` is from 0 to 1, different at each host.
    #[must_use]
    pub fn new(spread: f64) -> Self {
        Self { spread, ..Self::default() }
    }

    /// Records that a version of a service's software serves. Returns whether it is
    /// new to this host.
    pub fn observe(&mut self, service: &SmolStr, software: &Software, now: Instant) -> bool {
        let versions = self.versions.entry(service.clone()).or_default();
        versions.insert(software.clone(), now).is_none()
    }

    /// Applies a record of this host or another one. Returns whether this host has
    /// to report its streams now: it learnt from the record of another version.
    pub fn apply(&mut self, record: &StreamRecord, now: Instant) -> bool {
        let is_new = self.observe(&record.service, &record.software, now);
        let renew_at = now + ANNOUNCE_INTERVAL.mul_f64(1.0 + self.spread);
        self.announce_at.insert((record.service.clone(), record.software.clone()), renew_at);
        self.read.insert((record.service.clone(), record.software.clone()));
        let origin = self.origin(&record.service, &record.software);
        for stream in &record.streams {
            self.insert(*stream, origin, now);
        }
        is_new && self.is_mixed(&record.service, now)
    }

    /// Records that a version began a stream at this host. Returns whether the other
    /// hosts have to be told.
    pub fn begin(
        &mut self,
        stream: StreamDigest,
        service: &SmolStr,
        software: &Software,
        now: Instant,
    ) -> bool {
        self.observe(service, software, now);
        let origin = self.origin(service, software);
        self.insert(stream, origin, now);
        if self.unreported.len() >= MAX_UNREPORTED {
            self.unreported.pop_front();
        }
        self.unreported.push_back((stream, origin, now));
        self.is_mixed(service, now) || self.is_announcement_due(origin, now)
    }

    /// Returns whether it has to be reported that a version begins streams. If all
    /// hosts end, nobody else knows of it when they are back.
    fn is_announcement_due(&self, origin: usize, now: Instant) -> bool {
        let origin = self.origins.get(origin);
        origin.is_some_and(|origin| self.announce_at.get(origin).is_none_or(|at| now >= *at))
    }

    /// Returns whether a version that begins streams is still to be reported for the
    /// first time.
    #[must_use]
    pub fn has_new_version(&self) -> bool {
        self.unreported.iter().any(|(_, origin, _)| {
            self.origins.get(*origin).is_some_and(|origin| !self.announce_at.contains_key(origin))
        })
    }

    /// Returns whether some host's report of a version was read.
    #[must_use]
    pub fn is_announced(&self, service: &SmolStr, software: &Software) -> bool {
        self.read.contains(&(service.clone(), software.clone()))
    }

    /// Returns whether a service has, or had lately, several versions.
    #[must_use]
    pub fn is_mixed(&self, service: &str, now: Instant) -> bool {
        let versions = self.versions.get(service);
        let is_recent = |seen: &&Instant| now < **seen + RETENTION;
        versions.is_some_and(|versions| versions.values().filter(is_recent).count() > 1)
    }

    /// Decides where a stream of a route to these services may be resumed.
    #[must_use]
    pub fn decide(
        &self,
        stream: StreamDigest,
        services: &[SmolStr],
        now: Instant,
    ) -> ResumeDecision {
        let origin = self.newest.get(&stream).or_else(|| self.older.get(&stream));
        if let Some((service, software)) = origin.and_then(|index| self.origins.get(*index)) {
            let (service, software) = (service.clone(), software.clone());
            return ResumeDecision::At { service, software };
        }
        if services.iter().any(|service| self.is_mixed(service, now)) {
            return ResumeDecision::Unknown;
        }
        ResumeDecision::Single
    }

    /// Returns the version of a service's software; `None` if it has none or several.
    #[must_use]
    pub fn sole_version(&self, service: &str, now: Instant) -> Option<Software> {
        let versions = self.versions.get(service)?.iter();
        let mut recent = versions.filter(|(_, seen)| now < **seen + RETENTION);
        let sole = recent.next().map(|(software, _)| software.clone());
        sole.filter(|_| recent.next().is_none())
    }

    /// Returns what has to be reported: the versions that begin streams, now and
    /// then; and of each service with several versions, those that nobody has reported
    /// and this host's streams.
    pub fn take_reports(&mut self, now: Instant) -> Vec<StreamRecord> {
        let mut reports: BTreeMap<Origin, Vec<StreamDigest>> = BTreeMap::new();
        let mixed: Vec<_> =
            self.versions.keys().filter(|service| self.is_mixed(service, now)).cloned().collect();
        for service in mixed {
            for software in self.versions[&service].keys() {
                let origin = (service.clone(), software.clone());
                if !self.announce_at.contains_key(&origin) {
                    reports.entry(origin).or_default();
                }
            }
        }
        for (_, origin, _) in &self.unreported {
            if self.is_announcement_due(*origin, now) {
                reports.entry(self.origins[*origin].clone()).or_default();
            }
        }
        for origin in reports.keys() {
            self.announce_at.insert(origin.clone(), now + ANNOUNCE_INTERVAL);
        }
        for (stream, origin, begun) in std::mem::take(&mut self.unreported) {
            if now >= begun + RETENTION {
                continue;
            }
            match self.origins.get(origin) {
                Some((service, software)) if self.is_mixed(service, now) => {
                    let origin = (service.clone(), software.clone());
                    reports.entry(origin).or_default().push(stream);
                }
                _ => self.unreported.push_back((stream, origin, begun)),
            }
        }
        reports.into_iter().flat_map(to_records).collect()
    }

    fn origin(&mut self, service: &SmolStr, software: &Software) -> usize {
        let is_same = |origin: &Origin| origin.0 == *service && origin.1 == *software;
        self.origins.iter().position(is_same).unwrap_or_else(|| {
            self.origins.push((service.clone(), software.clone()));
            self.origins.len() - 1
        })
    }

    fn insert(&mut self, stream: StreamDigest, origin: usize, now: Instant) {
        let begun = *self.begun.get_or_insert(now);
        if self.newest.len() >= MAX_GENERATION || now >= begun + RETENTION {
            self.older = std::mem::take(&mut self.newest);
            self.begun = Some(now);
        }
        self.newest.insert(stream, origin);
    }
}

fn to_records((origin, streams): (Origin, Vec<StreamDigest>)) -> Vec<StreamRecord> {
    let (service, software) = origin;
    let to_record = |streams: &[StreamDigest]| StreamRecord {
        service: service.clone(),
        software: software.clone(),
        streams: streams.to_vec(),
    };
    if streams.is_empty() {
        return vec![to_record(&[])];
    }
    streams.chunks(MAX_RECORD_STREAMS).map(to_record).collect()
}
