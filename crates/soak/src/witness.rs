//! What callers, trainers and engines saw, and which promises that breaks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cassia_standin::ReceivedOrder;

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Violations that are kept word for word.
const MOST_KEPT: usize = 40;

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Its id.
    pub id: String,
    /// The incarnation of the process that it was sent to.
    pub process: String,
    /// When it was sent.
    pub sent: Instant,
    /// The answer's status; 0 for none.
    pub status: u16,
    /// Whether it may run at most once.
    pub once: bool,
}

/// A version of the configuration, as it was written.
#[derive(Clone, Copy, Debug)]
struct Written {
    version: u64,
    with_extra: bool,
    at: Instant,
}

#[derive(Debug, Default)]
struct State {
    violations: Vec<String>,
    broken: BTreeMap<&'static str, u64>,
    counts: BTreeMap<&'static str, u64>,
    /// Ids that may run, of callers, items and reward calls.
    asked: BTreeSet<String>,
    refused: BTreeSet<String>,
    once: BTreeSet<String>,
    configurations: Vec<Written>,
    /// The least version that each incarnation must have in force.
    in_force: HashMap<String, u64>,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Witness {
    state: Mutex<State>,
}

impl Witness {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that a promise is broken.
    pub fn broken(&self, promise: &'static str, what: &str) {
        let mut state = self.state();
        *state.broken.entry(promise).or_default() += 1;
        if state.violations.len() < MOST_KEPT {
            state.violations.push(format!("{promise}: {what}"));
        }
    }

    /// Counts something for the report.
    pub fn count(&self, what: &'static str) {
        *self.state().counts.entry(what).or_default() += 1;
    }

    /// Takes in that an id may run from now on.
    pub fn asks(&self, id: &str) {
        self.state().asked.insert(id.to_owned());
    }

    /// Takes in that a batch job was refused at every attempt: none of these
    /// ids may run.
    pub fn refused(&self, ids: impl IntoIterator<Item = String>) {
        self.state().refused.extend(ids);
    }

    /// Takes in how a request ended.
    pub fn request(&self, seen: &Seen) {
        let mut state = self.state();
        let kind = match seen.status {
            200 => "answered",
            0 => "no answer",
            status if NOT_RUN.contains(&status) => "refused",
            _ => "failed",
        };
        *state.counts.entry(kind).or_default() += 1;
        if seen.once {
            state.once.insert(seen.id.clone());
        }
        if NOT_RUN.contains(&seen.status) {
            state.refused.insert(seen.id.clone());
        }
    }

    /// Checks a success: the whole answer of this request and no other.
    pub fn whole(&self, id: &str, body: &[u8], signature: Option<&str>) {
        let (text, stamp) = (format!("done {id}"), format!("stamp-{id}"));
        if body != text.as_bytes() || signature != Some(&stamp) {
            let body = String::from_utf8_lossy(body).into_owned();
            self.broken("mixed", &format!("{id} was answered {body:?} with {signature:?}"));
        }
    }

    /// Takes in that a configuration was written.
    pub fn configured(&self, version: u64, with_extra: bool) {
        let at = Instant::now();
        self.state().configurations.push(Written { version, with_extra, at });
    }

    /// Tells the newest configuration.
    pub fn newest_configuration(&self) -> (u64, bool) {
        let state = self.state();
        state.configurations.last().map_or((0, false), |w| (w.version, w.with_extra))
    }

    /// Tells the least version that an incarnation must have in force.
    pub fn in_force(&self, process: &str) -> u64 {
        self.state().in_force.get(process).copied().unwrap_or(0)
    }

    /// Takes in whether a request found the route that only some versions have;
    /// `least` is what the process had to have in force as it was sent.
    pub fn found_extra(&self, process: &str, least: u64, found: bool, answered: Instant) {
        let mut state = self.state();
        let fits = |w: &&Written| w.version >= least && w.with_extra == found && w.at <= answered;
        let Some(proved) = state.configurations.iter().find(fits).map(|w| w.version) else {
            drop(state);
            let what = format!("{process} had version {least} and acts on an older one");
            self.broken("reverted", &what);
            return;
        };
        let in_force = state.in_force.entry(process.to_owned()).or_default();
        *in_force = proved.max(*in_force);
    }

    /// Checks what ran at the targets, by id.
    pub fn ran(&self, runs: &BTreeMap<String, usize>) {
        let (mut twice, mut falsely, mut unasked) = (Vec::new(), Vec::new(), Vec::new());
        {
            let state = self.state();
            for (id, count) in runs {
                if *count > 1 && state.once.contains(id) {
                    twice.push(format!("{id} ran {count} times"));
                }
                if state.refused.contains(id) {
                    falsely.push(format!("{id} was refused and ran"));
                }
                if !state.asked.contains(id) {
                    unasked.push(format!("{id} ran and nobody asked for it"));
                }
            }
        }
        for (promise, found) in [("twice", twice), ("refused", falsely), ("unasked", unasked)] {
            for what in found {
                self.broken(promise, &what);
            }
        }
    }

    /// Checks that the orders of two holders lie far enough apart.
    pub fn orders(&self, mut orders: Vec<ReceivedOrder>, least: Duration) {
        orders.sort_by_key(|order| order.received);
        for pair in orders.windows(2) {
            let apart = pair[1].received - pair[0].received;
            if pair[0].holder != pair[1].holder && apart < least {
                let (one, other) = (&pair[0].holder, &pair[1].holder);
                self.broken("holders", &format!("{one} and {other} ordered {apart:?} apart"));
            }
        }
    }

    /// Gives the broken promises by name, the first of them in words, and what
    /// was counted.
    #[must_use]
    pub fn findings(
        &self,
    ) -> (BTreeMap<&'static str, u64>, Vec<String>, BTreeMap<&'static str, u64>) {
        let state = self.state();
        (state.broken.clone(), state.violations.clone(), state.counts.clone())
    }
}
