//! Limit on retries.

/// Retries earned by one success, in hundredths.
const EARNED_PER_SUCCESS: u32 = 10;
/// Cost of one retry, in hundredths.
const RETRY_COST: u32 = 100;
/// Maximum balance, in hundredths: ten retries.
const MAX_BALANCE: u32 = 1_000;

/// Limits retries to a share of the successful requests.
///
/// In an outage there are no successes, so retries stop too. The number of
/// attempts per request tends to at most 1.1, however many callers there are.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    /// Starts with one retry, so that the first failure of a customer with few
    /// requests can be retried.
    fn default() -> Self {
        Self { balance: RETRY_COST }
    }
}

impl RetryBudget {
    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + EARNED_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Spends one retry; returns false if there is none left.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.balance >= RETRY_COST;
        if allowed {
            self.balance -= RETRY_COST;
        }
        allowed
    }
}
