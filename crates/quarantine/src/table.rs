//! Requests under which targets crashed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::CrashedTarget;
use crate::QuarantineRecord;
use crate::RequestDigest;
use crate::Work;
use crate::suspect::Counting;
use crate::suspect::Suspect;

/// How long a request is suspected after the last crash under it.
pub const QUARANTINE: Duration = Duration::from_mins(5);
/// Within this time after a crash, a target is back or replaced.
pub const RESTART_TIME: Duration = Duration::from_secs(10);
/// Within this time a run has its first event or ends.
pub const TRIAL_TIME: Duration = Duration::from_secs(2);
/// Maximum number of requests and items that are remembered because of a crash.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of requests that are remembered because of a success.
const MAX_SUCCEEDED: usize = 2_048;

/// Whether a request or an item may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunDecision {
    /// It may.
    Run,
    /// Not before this time, as far as is known now.
    RunAt(Instant),
}
/// The requests under which targets crashed, as reported by all hosts.
///
/// A request that a target ran to its end before is never held back by this
/// host: it was only at targets that crashed for another reason.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    /// By the digests of contents and of items.
    suspects: HashMap<RequestDigest, Suspect>,
    succeeded: RecentDigests,
    /// From 0 to 1: when this host tries again, among all hosts.
    spread: f64,
}

/// The digests added last, up to `MAX_SUCCEEDED`.
#[derive(Debug, Default)]
struct RecentDigests {
    set: HashSet<RequestDigest>,
    by_age: VecDeque<RequestDigest>,
}

impl QuarantineTable {
    /// Returns an empty table. `spread`, from 0 to 1, is to differ among hosts: it keeps
    /// them from trying a suspect at the same moment.
    #[must_use]
    pub fn new(spread: f64) -> Self {
        Self { spread, ..Self::default() }
    }

    /// Applies a record of this host or another one; repeating it changes nothing.
    /// `crashed_at` is when the crash happened that it reports.
    pub fn apply(&mut self, record: &QuarantineRecord, crashed_at: Instant, now: Instant) {
        match record {
            QuarantineRecord::Crash(_) if crashed_at + QUARANTINE <= now => {}
            QuarantineRecord::Crash(crash) => {
                let counted = [
                    (Some(crash.work.content), Counting::Independent),
                    (crash.work.item, Counting::Runs),
                ];
                for (digest, counting) in counted {
                    let Some(digest) = digest else { continue };
                    self.make_room(digest, now);
                    self.suspects
                        .entry(digest)
                        .or_insert_with(|| Suspect::new(crashed_at))
                        .add(crash, counting, crashed_at);
                }
            }
            QuarantineRecord::Cleared { work } => {
                self.clear(*work);
            }
        }
    }

    /// Decides whether an item of a batch job may run.
    ///
    /// Other than a caller's request it can't be refused: its job waits for it. So it runs
    /// again, at growing intervals, and those that share their content run one after the
    /// other until one of them makes progress.
    #[must_use]
    pub fn next_run(&self, work: Work, now: Instant) -> RunDecision {
        let item = work.item.and_then(|item| self.suspect_since(item, QUARANTINE, now));
        let content = self.suspect_since(work.content, QUARANTINE, now);
        let trial_ends = content
            .filter(|content| content.runs_alone())
            .and_then(|content| content.tried_at)
            .map(|tried_at| tried_at + TRIAL_TIME);
        let waits =
            [item.map(Suspect::next_run_at), content.map(Suspect::next_sample_at), trial_ends];
        decide(waits.into_iter().flatten().max(), now)
    }

    /// Begins a run of an item, if it may run.
    pub fn begin_run(&mut self, work: Work, now: Instant) -> RunDecision {
        let decision = self.next_run(work, now);
        if decision == RunDecision::Run
            && let Some(content) = self.suspects.get_mut(&work.content)
        {
            content.tried_at = Some(now);
        }
        decision
    }

    /// Ends a run that shows nothing of whether the item crashes targets.
    pub fn end_run(&mut self, work: Work) {
        if let Some(content) = self.suspects.get_mut(&work.content) {
            content.tried_at = None;
        }
    }

    /// Decides whether a caller's request may be sent, or a reward call.
    #[must_use]
    pub fn next_request(&self, content: RequestDigest, now: Instant) -> RunDecision {
        let suspect = self.suspect_since(content, QUARANTINE, now);
        decide(suspect.and_then(|suspect| suspect.next_try_at(self.spread)), now)
    }

    /// Sends a caller's request or a reward call, if it may be sent. One that is held back
    /// is sent once at a time, to find out whether it still crashes targets.
    pub fn begin_request(&mut self, content: RequestDigest, now: Instant) -> RunDecision {
        let decision = self.next_request(content, now);
        if decision == RunDecision::Run
            && let Some(suspect) = self.suspects.get_mut(&content)
        {
            suspect.tried_at = Some(now);
        }
        decision
    }

    /// Returns how many independent crashes under a request are known.
    #[must_use]
    pub fn known_crashes(&self, content: RequestDigest) -> u32 {
        self.suspects.get(&content).map_or(0, |suspect| suspect.count)
    }

    /// Records that a target ran the request to its end. Returns whether it was
    /// suspected, which the other hosts then have to be told.
    pub fn record_success(&mut self, content: RequestDigest) -> bool {
        self.succeeded.insert(content);
        self.clear(Work::of_request(content))
    }

    /// Removes what is held against a request, since a run of it showed that it is not the
    /// cause. Returns whether there was anything, which the other hosts then have to be told.
    pub fn clear(&mut self, work: Work) -> bool {
        let had_content = self.suspects.remove(&work.content).is_some();
        let had_item = work.item.is_some_and(|item| self.suspects.remove(&item).is_some());
        had_content || had_item
    }

    /// Returns the targets that crashed under a request; none if it is not
    /// suspected of being the cause, or the quarantine would be over.
    #[must_use]
    pub fn suspected_crashes(&self, content: RequestDigest, now: Instant) -> &[CrashedTarget] {
        self.suspect_since(content, QUARANTINE, now).map_or(&[], |suspect| &suspect.crashed)
    }

    /// Returns whether the targets that crashed under a request may still be
    /// restarting.
    #[must_use]
    pub fn crashed_just_now(&self, content: RequestDigest, now: Instant) -> bool {
        self.suspect_since(content, RESTART_TIME, now).is_some()
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
    pub fn crash_count(&self, content: RequestDigest) -> usize {
        self.suspects.get(&content).map_or(0, |suspect| suspect.crashed.len())
    }

    /// Makes room for a digest: removes the entries whose time is over, and the oldest one
    /// if there are still too many.
    fn make_room(&mut self, digest: RequestDigest, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&digest) {
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

/// Decides on a run that must not begin before a time, if one is given.
fn decide(not_before: Option<Instant>, now: Instant) -> RunDecision {
    match not_before {
        Some(at) if now < at => RunDecision::RunAt(at),
        _ => RunDecision::Run,
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
