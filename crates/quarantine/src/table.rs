//! Requests under which targets crashed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::TargetId;

use crate::QuarantineRecord;
use crate::RequestDigest;

/// Number of targets that must have crashed under a request before it is no
/// longer sent. Others at the same targets crash with them, but rarely so often.
const MAX_CRASHES: usize = 3;
/// How long after a crash an item of a batch job waits for its next run, by the number of
/// targets that crashed under it. The first one may well have crashed for another reason.
const RUN_PAUSES: [Duration; MAX_CRASHES - 1] = [Duration::ZERO, Duration::from_secs(1)];
/// How long it waits after more crashes: an item that no target runs for five seconds counts
/// as lost.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Maximum number of crashes that are counted.
const MAX_COUNTED: usize = 32;
/// How long a request is not sent after the last crash under it.
pub const QUARANTINE: Duration = Duration::from_mins(5);
/// Within this time after a crash, a target is back or replaced.
pub const RESTART_TIME: Duration = Duration::from_secs(10);
/// Maximum number of requests that are remembered because of a crash.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of requests that are remembered because of a success.
const MAX_SUCCEEDED: usize = 2_048;

/// Whether an item of a batch job may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunDecision {
    /// It may.
    Run,
    /// Not before this time.
    RunAt(Instant),
    /// It has crashed too many targets, and is not run any more.
    Hold,
}

/// A target that crashed, and its incarnation.
pub type CrashedTarget = (TargetId, u64);

/// The requests under which targets crashed, as reported by all hosts.
///
/// A request that a target ran to its end before is never held back by this
/// host: it was only at targets that crashed for another reason.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    suspects: HashMap<RequestDigest, Suspect>,
    succeeded: RecentDigests,
}

#[derive(Debug)]
struct Suspect {
    /// The incarnations of targets that crashed; no more than `MAX_COUNTED`.
    crashed: Vec<CrashedTarget>,
    last_crash: Instant,
}

/// The digests added last, up to `MAX_SUCCEEDED`.
#[derive(Debug, Default)]
struct RecentDigests {
    set: HashSet<RequestDigest>,
    by_age: VecDeque<RequestDigest>,
}

impl QuarantineTable {
    /// Applies a record of this host or another one; repeating it changes
    /// nothing but the time of the last crash.
    pub fn apply(&mut self, record: &QuarantineRecord, now: Instant) {
        match record {
            QuarantineRecord::Crash { digest, target, incarnation } => {
                self.make_room(now);
                let suspect = self
                    .suspects
                    .entry(*digest)
                    .or_insert_with(|| Suspect { crashed: Vec::new(), last_crash: now });
                suspect.last_crash = now;
                let crashed = (target.clone(), *incarnation);
                if suspect.crashed.len() < MAX_COUNTED && !suspect.crashed.contains(&crashed) {
                    suspect.crashed.push(crashed);
                }
            }
            QuarantineRecord::Cleared { digest } => {
                self.suspects.remove(digest);
            }
        }
    }

    /// Decides whether an item of a batch job may run that may crash `max_runs` targets.
    ///
    /// Other than a caller's request it can't be refused: its job waits for it. So it runs
    /// again, at growing intervals, until it has crashed too many targets.
    #[must_use]
    pub fn next_run(&self, digest: RequestDigest, max_runs: usize, now: Instant) -> RunDecision {
        let Some(suspect) = self.suspect_since(digest, QUARANTINE, now) else {
            return RunDecision::Run;
        };
        if suspect.crashed.len() >= max_runs.min(MAX_COUNTED) {
            return RunDecision::Hold;
        }
        let pause = RUN_PAUSES.get(suspect.crashed.len().saturating_sub(1));
        let run_at = suspect.last_crash + *pause.unwrap_or(&LONGEST_PAUSE);
        if now < run_at { RunDecision::RunAt(run_at) } else { RunDecision::Run }
    }

    /// Returns whether targets are known to have crashed under a request.
    #[must_use]
    pub fn is_suspected(&self, digest: RequestDigest) -> bool {
        self.suspects.contains_key(&digest)
    }

    /// Records that a target ran the request to its end. Returns whether it was
    /// suspected, which the other hosts then have to be told.
    pub fn record_success(&mut self, digest: RequestDigest) -> bool {
        self.succeeded.insert(digest);
        self.suspects.remove(&digest).is_some()
    }

    /// Returns whether the request must not be sent.
    #[must_use]
    pub fn is_quarantined(&self, digest: RequestDigest, now: Instant) -> bool {
        self.suspected_crashes(digest, now).len() >= MAX_CRASHES
    }

    /// Returns the targets that crashed under a request; none if it is not
    /// suspected of being the cause, or the quarantine would be over.
    #[must_use]
    pub fn suspected_crashes(&self, digest: RequestDigest, now: Instant) -> &[CrashedTarget] {
        self.suspect_since(digest, QUARANTINE, now).map_or(&[], |suspect| &suspect.crashed)
    }

    /// Returns whether the targets that crashed under a request may still be
    /// restarting.
    #[must_use]
    pub fn crashed_just_now(&self, digest: RequestDigest, now: Instant) -> bool {
        self.suspect_since(digest, RESTART_TIME, now).is_some()
    }

    /// Returns the suspect if its last crash is less than `span` ago.
    fn suspect_since(
        &self,
        digest: RequestDigest,
        span: Duration,
        now: Instant,
    ) -> Option<&Suspect> {
        let suspect = self.suspects.get(&digest)?;
        let is_recent = now < suspect.last_crash + span;
        (is_recent && !self.succeeded.set.contains(&digest)).then_some(suspect)
    }

    /// Number of targets that crashed under a request, as far as they count.
    #[must_use]
    pub fn crash_count(&self, digest: RequestDigest) -> usize {
        self.suspects.get(&digest).map_or(0, |suspect| suspect.crashed.len())
    }

    /// Removes the entries whose time is over, and the oldest one if there are
    /// still too many.
    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspect| now < suspect.last_crash + QUARANTINE);
        if self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last_crash);
            if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
                self.suspects.remove(&oldest);
            }
        }
    }
}

impl RecentDigests {
    fn insert(&mut self, digest: RequestDigest) {
        if !self.set.insert(digest) {
            return;
        }
        self.by_age.push_back(digest);
        if self.by_age.len() > MAX_SUCCEEDED
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.set.remove(&oldest);
        }
    }
}
