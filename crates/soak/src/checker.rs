//! Records what callers, trainers and targets observe, and checks the guarantees
//! against it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cassia_standin::ReceivedOrder;

/// Statuses that mean that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Maximum number of violations that are kept with their description.
const MAX_EXAMPLES: usize = 40;

/// A request and its response, as its caller observed them.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// The id of the request.
    pub id: String,
    /// The process that it was sent to, with its incarnation.
    pub process: String,
    /// When it was sent.
    pub sent: Instant,
    /// The status of the response; 0 for none.
    pub status: u16,
    /// Whether it may run at most once.
    pub at_most_once: bool,
}

/// A version of the configuration that was written.
#[derive(Clone, Copy, Debug)]
struct WrittenConfig {
    version: u64,
    with_extra: bool,
    at: Instant,
}

#[derive(Debug, Default)]
struct State {
    violations: BTreeMap<&'static str, u64>,
    examples: Vec<String>,
    counts: BTreeMap<&'static str, u64>,
    /// Ids of requests, items and reward calls that may run.
    submitted: BTreeSet<String>,
    refused: BTreeSet<String>,
    at_most_once: BTreeSet<String>,
    configs: Vec<WrittenConfig>,
    /// The oldest configuration version that each incarnation may act on.
    min_config_versions: HashMap<String, u64>,
}

/// Collects observations and checks the guarantees.
#[derive(Debug, Default)]
pub struct Checker {
    state: Mutex<State>,
}

impl Checker {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violation of a guarantee.
    pub fn record_violation(&self, guarantee: &'static str, detail: &str) {
        let mut state = self.state();
        *state.violations.entry(guarantee).or_default() += 1;
        if state.examples.len() < MAX_EXAMPLES {
            state.examples.push(format!("{guarantee}: {detail}"));
        }
    }

    /// Increments a counter of the report.
    pub fn count(&self, counter: &'static str) {
        *self.state().counts.entry(counter).or_default() += 1;
    }

    /// Records that an id may run from now on.
    pub fn record_submitted(&self, id: &str) {
        self.state().submitted.insert(id.to_owned());
    }

    /// Records that a batch job was refused at every attempt: none of these ids
    /// may run.
    pub fn record_refused(&self, ids: impl IntoIterator<Item = String>) {
        self.state().refused.extend(ids);
    }

    /// Records the outcome of a request.
    pub fn record_request(&self, outcome: &RequestOutcome) {
        let mut state = self.state();
        let counter = match outcome.status {
            200 => "answered",
            0 => "no answer",
            status if NOT_RUN_STATUSES.contains(&status) => "refused",
            _ => "failed",
        };
        *state.counts.entry(counter).or_default() += 1;
        if outcome.at_most_once {
            state.at_most_once.insert(outcome.id.clone());
        }
        if NOT_RUN_STATUSES.contains(&outcome.status) {
            state.refused.insert(outcome.id.clone());
        }
    }

    /// Checks that a successful response is complete and belongs to its request.
    pub fn check_response(&self, id: &str, body: &[u8], signature: Option<&str>) {
        let (text, stamp) = (format!("done {id}"), format!("stamp-{id}"));
        if body != text.as_bytes() || signature != Some(&stamp) {
            let body = String::from_utf8_lossy(body).into_owned();
            let detail = format!("{id} got the response {body:?} with {signature:?}");
            self.record_violation("mixed", &detail);
        }
    }

    /// Records that a configuration was written.
    pub fn record_config(&self, version: u64, with_extra: bool) {
        let at = Instant::now();
        self.state().configs.push(WrittenConfig { version, with_extra, at });
    }

    /// Returns the version of the newest configuration, and whether it has the
    /// extra route.
    pub fn newest_config(&self) -> (u64, bool) {
        let state = self.state();
        state.configs.last().map_or((0, false), |config| (config.version, config.with_extra))
    }

    /// Returns the oldest configuration version that an incarnation may act on.
    pub fn min_config_version(&self, process: &str) -> u64 {
        self.state().min_config_versions.get(process).copied().unwrap_or(0)
    }

    /// Checks the configuration that a process acted on, by whether a request
    /// found the route that only some versions have; `min_version` is the oldest
    /// version that the process might act on when the request was sent.
    pub fn check_extra_route(
        &self,
        process: &str,
        min_version: u64,
        found: bool,
        responded: Instant,
    ) {
        let mut state = self.state();
        let matches = |config: &&WrittenConfig| {
            config.version >= min_version && config.with_extra == found && config.at <= responded
        };
        let Some(version) = state.configs.iter().find(matches).map(|config| config.version) else {
            drop(state);
            let detail = format!("{process} had version {min_version} and acts on an older one");
            self.record_violation("reverted", &detail);
            return;
        };
        let known = state.min_config_versions.entry(process.to_owned()).or_default();
        *known = version.max(*known);
    }

    /// Checks the number of runs at the targets, by id.
    pub fn check_runs(&self, runs: &BTreeMap<String, usize>) {
        let (mut twice, mut refused, mut unasked) = (Vec::new(), Vec::new(), Vec::new());
        {
            let state = self.state();
            for (id, count) in runs {
                if *count > 1 && state.at_most_once.contains(id) {
                    twice.push(format!("{id} ran {count} times"));
                }
                if state.refused.contains(id) {
                    refused.push(format!("{id} was refused and ran"));
                }
                if !state.submitted.contains(id) {
                    unasked.push(format!("{id} ran and was never submitted"));
                }
            }
        }
        for (guarantee, details) in [("twice", twice), ("refused", refused), ("unasked", unasked)] {
            for detail in details {
                self.record_violation(guarantee, &detail);
            }
        }
    }

    /// Checks that at least `min_gap` lies between the orders of two holders.
    pub fn check_orders(&self, mut orders: Vec<ReceivedOrder>, min_gap: Duration) {
        orders.sort_by_key(|order| order.received);
        for pair in orders.windows(2) {
            let gap = pair[1].received - pair[0].received;
            if pair[0].holder != pair[1].holder && gap < min_gap {
                let (first, second) = (&pair[0].holder, &pair[1].holder);
                let detail = format!("{first} and {second} sent orders {gap:?} apart");
                self.record_violation("holders", &detail);
            }
        }
    }

    /// Returns the number of violations by guarantee, the first violations with
    /// their description, and the counters.
    #[must_use]
    pub fn findings(
        &self,
    ) -> (BTreeMap<&'static str, u64>, Vec<String>, BTreeMap<&'static str, u64>) {
        let state = self.state();
        (state.violations.clone(), state.examples.clone(), state.counts.clone())
    }
}
