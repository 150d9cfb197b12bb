//! Follows a partition of the batch jobs' log for its runner: reads each
//! record as it is appended, and after an outage up to the end again.

use std::time::Duration;
use std::time::Instant;

use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_jobs::ReadOutcome;
use cassia_jobs::ReadPlan;

use crate::clock::millis;
use crate::partition_log::PartitionLog;

/// How long the store may hold a read back until there are records.
const LONG_POLL: Duration = Duration::from_secs(1);
/// How long a response of the store may take beyond the long poll.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a read may take while the follower is not at the end. Records that
/// don't come in this time are read in smaller pieces.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows one partition.
#[derive(Debug, Default)]
pub(crate) struct Follower {
    plan: ReadPlan,
    /// Since when the last reads have not reached the end; `None` if the last
    /// one has.
    behind_since: Option<Instant>,
}

impl Follower {
    /// Reads the next records. Waits for them only if the last read reached the
    /// end. Returns whether this one did.
    ///
    /// # Errors
    ///
    /// The store refused the read or did not answer in time.
    pub(crate) async fn read(&mut self, log: &PartitionLog) -> Result<bool, StoreError> {
        let began = Instant::now();
        let (wait, timeout) = match self.behind_since {
            None => (LONG_POLL, LONG_POLL + READ_TIMEOUT),
            Some(_) => (Duration::ZERO, CATCH_UP_TIMEOUT),
        };
        let read = log.read_next(self.plan.page_kb(), wait, began + timeout).await;
        let outcome = match &read {
            Ok(at_end) => ReadOutcome::RecordsRead { at_end: *at_end },
            Err(e) if e.kind == StoreErrorKind::Unknown => ReadOutcome::TimedOut,
            Err(_) => ReadOutcome::Refused,
        };
        self.plan.record(outcome, Instant::now());
        if outcome != (ReadOutcome::RecordsRead { at_end: true }) {
            self.behind_since.get_or_insert(began);
        } else if let Some(since) = self.behind_since.take() {
            let (partition, behind_ms) = (log.partition(), millis(since.elapsed()));
            log::info!(event = "partition_current", step = "read", partition, behind_ms; "read to the end again");
        }
        read
    }

    /// Returns whether the next read waits for records.
    pub(crate) fn waits_for_records(&self) -> bool {
        self.behind_since.is_none()
    }

    /// Makes the next read one that does not wait for records: a read that was
    /// sent before the store was back may never end.
    pub(crate) fn read_at_once(&mut self) {
        self.behind_since.get_or_insert(Instant::now());
    }
}
