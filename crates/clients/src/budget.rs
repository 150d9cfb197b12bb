//! A limit on the bytes that are buffered at once, over all users of it.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// The bytes do not fit the budget.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("more than {limit} bytes are buffered")]
pub struct BudgetExceeded {
    /// The limit, in bytes.
    pub limit: usize,
}

/// A limit on buffered bytes, and how many are buffered.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

/// Bytes of a budget, released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, used: AtomicUsize::new(0) }
    }

    /// Returns the limit, in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Starts a reservation of no bytes.
    #[must_use]
    pub fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation { budget: Arc::clone(self), bytes: 0 }
    }
}

impl Reservation {
    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// The budget is exceeded. The bytes count until this is dropped.
    pub fn add(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        self.bytes += bytes;
        let used = self.budget.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if used > self.budget.limit {
            return Err(BudgetExceeded { limit: self.budget.limit });
        }
        Ok(())
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
