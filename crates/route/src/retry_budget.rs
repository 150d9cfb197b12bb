//! How many retries are worth sending.

/// Retries earned by one success, in hundredths.
const EARNED_PER_SUCCESS: u32 = 10;
/// What one retry costs, in hundredths.
const RETRY_COST: u32 = 100;
/// Most that is saved up, in hundredths: ten retries.
const MOST_SAVED: u32 = 1_000;

/// A share of the successes may be spent on retries.
///
/// In an outage successes stop and so do retries: attempts a request tend to
/// at most 1.1, however many callers there are.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    /// Begins with one retry, so that a quiet customer's first failure has it.
    fn default() -> Self {
        Self { balance: RETRY_COST }
    }
}

impl RetryBudget {
    /// Takes a success in.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + EARNED_PER_SUCCESS).min(MOST_SAVED);
    }

    /// Spends one retry, if there is one.
    pub fn try_retry(&mut self) -> bool {
        let enough = self.balance >= RETRY_COST;
        if enough {
            self.balance -= RETRY_COST;
        }
        enough
    }
}
