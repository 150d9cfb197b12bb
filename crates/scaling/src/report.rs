//! What each host reports of its work, and the sum of it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::HostId;
use prost::Message;

use crate::demand::Observation;
use crate::demand::OpenJob;
use crate::demand::Submission;

/// How long the report of a host stands without a newer one.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// The work of one host at scaled services.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct HostDemand {
    /// Its requests.
    #[prost(message, repeated, tag = "1")]
    pub services: Vec<ServiceDemand>,
    /// The jobs that it runs or has run lately.
    #[prost(message, repeated, tag = "2")]
    pub jobs: Vec<JobDemand>,
}

/// Requests of a host at one service.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct ServiceDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Callers' requests in flight on average, in thousandths.
    #[prost(uint64, tag = "2")]
    pub callers_milli: u64,
    /// Items of jobs in flight.
    #[prost(uint32, tag = "3")]
    pub items: u32,
}

/// A batch job.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct JobDemand {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The service that runs its items.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Its model.
    #[prost(string, tag = "3")]
    pub model: String,
    /// When it was accepted, in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub accepted_ms: u64,
    /// Its number of items.
    #[prost(uint32, tag = "5")]
    pub items: u32,
    /// Number of items without a result.
    #[prost(uint32, tag = "6")]
    pub items_left: u32,
}

/// The reports of all hosts.
#[derive(Debug, Default)]
pub struct DemandTable {
    hosts: BTreeMap<HostId, (Instant, HostDemand)>,
}

impl DemandTable {
    /// Replaces the report of a host.
    pub fn apply(&mut self, host: &str, report: HostDemand, now: Instant) {
        self.hosts.insert(host.into(), (now, report));
    }

    /// Removes the report of a host.
    pub fn remove(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// Removes the reports that hosts have not renewed.
    pub fn remove_expired(&mut self, now: Instant) {
        self.hosts.retain(|_, (read_at, _)| now < *read_at + REPORT_TTL);
    }

    /// Returns what is known of a service, without its engines, and the number of
    /// items in flight. `unix_ms` is the wall-clock time at `now`.
    #[must_use]
    pub fn observation(&self, service: &str, unix_ms: u64, now: Instant) -> (Observation, u32) {
        let reports = || self.hosts.values().map(|(_, report)| report);
        let services = || reports().flat_map(|r| &r.services).filter(|s| s.service == service);
        let callers_milli = services().fold(0, |sum: u64, s| sum.saturating_add(s.callers_milli));
        let items = services().fold(0, |sum: u32, s| sum.saturating_add(s.items));
        // The old and the new owner of a partition may both report a job.
        let mut jobs: BTreeMap<&str, &JobDemand> = BTreeMap::new();
        for job in reports().flat_map(|r| &r.jobs).filter(|job| job.service == service) {
            let known = jobs.entry(&job.id).or_insert(job);
            if job.items_left < known.items_left {
                *known = job;
            }
        }
        let submitted = |job: &&JobDemand| {
            let age = Duration::from_millis(unix_ms.saturating_sub(job.accepted_ms));
            let at = now.checked_sub(age)?;
            Some(Submission {
                id: job.id.as_str().into(),
                model: job.model.as_str().into(),
                at,
                items: job.items,
            })
        };
        let open = jobs.values().filter(|job| job.items_left > 0);
        let seen = Observation {
            callers: u32::try_from(callers_milli.div_ceil(1_000)).unwrap_or(u32::MAX),
            jobs: open
                .map(|job| OpenJob { model: job.model.as_str().into(), items_left: job.items_left })
                .collect(),
            submissions: jobs.values().filter_map(submitted).collect(),
            ..Observation::default()
        };
        (seen, items)
    }
}
