//! Which route of the configuration in force a request belongs to.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cassia_ids::RouteName;
use smol_str::SmolStr;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Its answer is a stream of events; it runs at most once unless the
    /// stream can be resumed.
    Stream {
        /// Another engine can go on after an event's id.
        resumable: bool,
    },
    /// It hands a batch job in.
    Job,
}

/// The limits of a route for batch jobs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobLimits {
    /// All results are due this long after the job was handed in, in
    /// milliseconds.
    pub due_ms: u64,
    /// An item may be given up this long after that, in milliseconds.
    pub retention_ms: u64,
    /// The text of an item comes from one version of the weights.
    pub single_version: bool,
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name in the configuration.
    pub name: RouteName,
    /// The host name that its requests carry.
    pub host: SmolStr,
    /// What their path begins with; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time until an answer, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer is of full use, in milliseconds.
    pub slo_ms: u64,
    /// Targets that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// The services that run it, with their weights.
    pub split: Vec<(SmolStr, u32)>,
    /// The limits of its batch jobs.
    pub job: JobLimits,
}

/// What callers may send at most, and how slowly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 8 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One whole configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Larger with each configuration.
    pub version: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    by_host: BTreeMap<SmolStr, Vec<Arc<Route>>>,
}

impl Route {
    /// Picks the service for one request by a random number.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&SmolStr> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = random.checked_rem(total)?;
        self.split.iter().find_map(|(service, weight)| {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
            None
        })
    }

    /// The longest time until an answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

impl RouteTable {
    /// Builds the table of one configuration.
    #[must_use]
    pub fn new(version: u64, limits: CallerLimits, routes: Vec<Route>) -> Self {
        let mut by_host: BTreeMap<SmolStr, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            // The longest prefix that begins a path is the first that fits.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, limits, by_host }
    }

    /// Finds the route of a request.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Finds any route of a host that takes batch jobs.
    #[must_use]
    pub fn accepts_jobs(&self, host: &str) -> bool {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(host).map_or(&[][..], Vec::as_slice);
        routes.iter().any(|route| route.kind == RouteKind::Job)
    }

    /// Lists all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}
