//! What is held against a request under which targets crashed.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::CrashReport;
use crate::CrashedTarget;

/// Maximum number of targets and of runs that are remembered.
const MAX_COUNTED: usize = 32;
/// How long an item of a batch job waits for its next run after the second one that crashed
/// a target. The first crash may well have had another cause, and is followed by no pause.
const SECOND_PAUSE: Duration = Duration::from_secs(1);
/// How long it waits after the third one. Each further crash doubles the pause.
const THIRD_PAUSE: Duration = Duration::from_secs(4);
/// The longest pause. A suspect is tried as long as it is remembered.
const MAX_PAUSE: Duration = Duration::from_mins(4);
/// Number of targets that must have crashed under a request before it is held back. Others
/// at the same targets crash with them, but rarely so often.
const MAX_CRASHED_TARGETS: usize = 3;
/// Number of independent crashes that it takes as well: all targets may end for one reason.
const MIN_INDEPENDENT: u32 = 2;

/// A request, or an item, under which targets crashed.
#[derive(Debug)]
pub(crate) struct Suspect {
    /// The incarnations of targets that crashed last.
    pub(crate) crashed: Vec<CrashedTarget>,
    /// The last runs that crashed targets.
    runs: VecDeque<u64>,
    /// Number of crashes that count.
    pub(crate) count: u32,
    pub(crate) last_crash: Instant,
    /// When a run began last that has not shown anything yet.
    pub(crate) tried_at: Option<Instant>,
}

/// How the crashes under a suspect are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Counting {
    /// Each run counts: it is one item, which has one run at a time.
    Runs,
    /// A crash counts if its run began when those before it were known. Those of runs that
    /// were under way together may have one cause.
    Independent,
}

impl Suspect {
    pub(crate) fn new(crashed_at: Instant) -> Self {
        Self {
            crashed: Vec::new(),
            runs: VecDeque::new(),
            count: 0,
            last_crash: crashed_at,
            tried_at: None,
        }
    }

    /// Adds a crash. Repeating it changes nothing.
    pub(crate) fn add(&mut self, crash: &CrashReport, counting: Counting, crashed_at: Instant) {
        let target = (crash.target.clone(), crash.incarnation);
        let is_new_target = !self.crashed.contains(&target);
        let count = match crash.run {
            Some(run) if self.runs.contains(&run.id) => return,
            Some(run) => {
                if self.runs.len() == MAX_COUNTED {
                    self.runs.pop_front();
                }
                self.runs.push_back(run.id);
                match counting {
                    Counting::Runs => self.count + 1,
                    Counting::Independent => run.known_crashes.min(self.count) + 1,
                }
            }
            // An earlier release doesn't tell runs apart.
            None if is_new_target => self.count + 1,
            None => self.count,
        };
        self.count = self.count.max(count);
        self.tried_at = None;
        self.last_crash = self.last_crash.max(crashed_at);
        if is_new_target {
            if self.crashed.len() == MAX_COUNTED {
                self.crashed.remove(0);
            }
            self.crashed.push(target);
        }
    }

    /// Returns from when on an item may run whose runs these crashes ended.
    pub(crate) fn next_run_at(&self) -> Instant {
        self.last_crash + pause(self.count)
    }

    /// Returns from when on any of the items that share this content may run. The item that
    /// ends its targets among sound ones waits longer than they do.
    pub(crate) fn next_sample_at(&self) -> Instant {
        self.last_crash + pause(self.count.saturating_sub(1))
    }

    /// Returns whether items that share this content run one after the other.
    pub(crate) fn runs_alone(&self) -> bool {
        self.count >= MIN_INDEPENDENT
    }

    /// Returns from when on a held back request of a caller may be tried again; `None` if it
    /// is not held back. `spread`, from 0 to 1, keeps hosts from trying it together.
    pub(crate) fn next_try_at(&self, spread: f64) -> Option<Instant> {
        let is_held = self.count >= MIN_INDEPENDENT && self.crashed.len() >= MAX_CRASHED_TARGETS;
        is_held.then(|| {
            let pause = pause(self.count + 1);
            let since = self.tried_at.map_or(self.last_crash, |at| at.max(self.last_crash));
            since + pause + pause.mul_f64(spread / 4.0)
        })
    }
}

/// Returns how long to wait after so many crashes.
fn pause(crashes: u32) -> Duration {
    match crashes {
        0 | 1 => Duration::ZERO,
        2 => SECOND_PAUSE,
        _ => {
            let factor = 2_u32.saturating_pow(crashes - 3);
            THIRD_PAUSE.saturating_mul(factor).min(MAX_PAUSE)
        }
    }
}
