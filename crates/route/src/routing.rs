//! Routes of a configuration and their lookup by host name and path.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cassia_contract::AccountTable;
use cassia_ids::DataCentre;
use cassia_ids::RouteName;
use smol_str::SmolStr;

/// Kind of a route; determines how its requests may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once for each attempt of the caller.
    NonIdempotent,
    /// The answer is a stream of events. A request runs at most once unless
    /// the stream can be resumed.
    Stream {
        /// Whether another engine can resume after an event's id.
        resumable: bool,
    },
    /// A request submits a batch job.
    Job,
}

/// Limits of a route's batch jobs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobLimits {
    /// All results are due this long after the job was submitted, in
    /// milliseconds.
    pub due_ms: u64,
    /// An item may be given up this long after the job was submitted, in
    /// milliseconds; 0 for no limit.
    pub retention_ms: u64,
    /// Whether all text of an item must come from one version of the weights.
    pub single_version: bool,
}

/// A route of a configuration.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in the configuration.
    pub name: RouteName,
    /// Host name of its requests.
    pub host: SmolStr,
    /// Path prefix of its requests; starts and ends with a slash.
    pub prefix: SmolStr,
    /// Its kind.
    pub kind: RouteKind,
    /// The longest time until an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds.
    pub slo_ms: u64,
    /// Maximum number of targets that one attempt of a caller is sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether its requests need no key where the configuration has accounts.
    pub public: bool,
    /// Services that its requests are split over, with their weights.
    pub split: Vec<(SmolStr, u32)>,
    /// Limits of its batch jobs.
    pub job: JobLimits,
}

/// How many targets of a service may be ordered, and at which prices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Minimum number of targets in each data centre, of both kinds together.
    pub min_count: u32,
    /// Maximum number of targets in each data centre, of both kinds together.
    pub max_count: u32,
    /// Time until a target that was ordered serves, in milliseconds.
    pub boot_ms: u64,
    /// Price of a spot target as a part of that of an on-demand one; `None` if
    /// there are no spot targets.
    pub spot_price: Option<f64>,
    /// Price of an on-demand target for a second, by data centre.
    pub prices: BTreeMap<DataCentre, f64>,
}

/// Limits on the size of callers' requests and the time to receive them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's header section, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for a request's header section, in milliseconds.
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

/// The routes and limits of one configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration; increases with each change.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// The accounts; `None` if requests carry no keys.
    pub accounts: Option<AccountTable>,
    /// Services whose number of targets follows the demand, by name.
    pub scaling: BTreeMap<SmolStr, Scaling>,
    by_host: BTreeMap<SmolStr, Vec<Arc<Route>>>,
}

impl Route {
    /// Picks the service for a request by a random number, in proportion to
    /// the weights.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&SmolStr> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut rest = random.checked_rem(total)?;
        self.split.iter().find_map(|(service, weight)| {
            let weight = u64::from(*weight);
            if rest < weight {
                return Some(service);
            }
            rest -= weight;
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
            // Longest prefix first, so that the first match is the longest.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, limits, accounts: None, scaling: BTreeMap::new(), by_host }
    }

    /// Returns the route with the longest matching prefix for a request.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the priority of a customer's requests of a route: that of its account,
    /// where it has one, in place of the route's.
    #[must_use]
    pub fn priority(&self, route: &Route, customer: Option<&str>) -> u32 {
        let accounts = self.accounts.as_ref();
        let account = customer.and_then(|customer| accounts?.get(customer));
        account.and_then(|account| account.priority).unwrap_or(route.priority)
    }

    /// Returns whether some route of a host accepts batch jobs.
    #[must_use]
    pub fn accepts_jobs(&self, host: &str) -> bool {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(host).map_or(&[][..], Vec::as_slice);
        routes.iter().any(|route| route.kind == RouteKind::Job)
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}
