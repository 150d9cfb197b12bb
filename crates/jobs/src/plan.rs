//! What to do next with an item after a run of it failed.

/// Times that an item is sent out at most, whatever became of it.
const MOST_RUNS: u32 = 60;

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Run it again.
    Again,
    /// List it as failed.
    GiveUp,
}

/// Counts how the runs of one item, or of its reward call, ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Attempts {
    failed: u32,
    runs: u32,
}

impl Attempts {
    /// A run ended with the target's own failure.
    pub fn failed(&mut self, max_attempts: u32) -> NextStep {
        self.failed += 1;
        if self.failed >= max_attempts.max(1) { NextStep::GiveUp } else { NextStep::Again }
    }

    /// A run broke off or was refused: that says nothing of the item itself.
    pub fn broke_off(&mut self) {
        self.runs += 1;
    }

    /// How long to wait before the next run, in milliseconds.
    #[must_use]
    pub fn pause_ms(&self) -> u64 {
        match self.runs {
            0 | 1 => 0,
            2..=4 => 20,
            5..=MOST_RUNS => 100,
            _ => 500,
        }
    }
}
