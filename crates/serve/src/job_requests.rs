//! When an item or a reward call of a batch job may be sent, and which way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_jobs::JOBS_TOPIC;
use cassia_jobs::Job;
use cassia_jobs::JobId;
use cassia_relay::Ways;

use crate::app::App;

/// How much older than the end of an outage the last complete read of a
/// partition may be for its items to go on at once. It is less than the time
/// in which the end of a job takes effect.
const MAX_READ_AGE: Duration = Duration::from_secs(2);
/// How long reading the partition may take before a request goes through another host.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The requests of one job.
#[derive(Debug)]
pub(crate) struct JobRequests {
    app: Arc<App>,
    partition: u32,
    job: JobId,
}

impl JobRequests {
    pub(crate) fn new(app: Arc<App>, partition: u32, job: JobId) -> Self {
        Self { app, partition, job }
    }

    /// Returns whether runs and calls of items may begin: the job is open, as
    /// far as the partition was read, and that is far enough.
    ///
    /// In an outage of the store items go on by what was read before. Once the
    /// store is back, this process may have missed that the job was ended, and
    /// reads the partition to its end first.
    pub(crate) fn may_begin(&self) -> bool {
        let log = self.app.job_log.partition(self.partition);
        let back_at = self.app.state.store_contact.back_at(log.in_topic(JOBS_TOPIC));
        let needed = back_at.and_then(|at| at.checked_sub(MAX_READ_AGE));
        needed.is_none_or(|time| log.is_current_as_of(time))
            && log.table().job(&self.job).is_some_and(Job::is_open)
    }

    /// Waits until calls of items may begin. If the job is not open any more,
    /// that is until the run of the job is aborted.
    pub(crate) async fn wait_until_may_begin(&self) {
        self.app.job_log.partition(self.partition).wait_until(|| self.may_begin()).await;
    }

    /// Returns the ways that a request may take to a target now; `None` if it must not
    /// be sent.
    ///
    /// A host that can't read the store may go on with a job that has ended; nobody
    /// can tell it. But the hosts that it could send through can know of the end. So a
    /// request goes through them only after the partition was read.
    pub(crate) async fn ways(&self, target: SocketAddr) -> Option<Ways> {
        let mut ways = Ways::OwnLink;
        if self.app.relay.is_lost(target) {
            let log = self.app.job_log.partition(self.partition);
            if log.read_to_end(Instant::now() + READ_TIMEOUT).await.is_ok() {
                ways = Ways::All;
            }
        }
        self.may_begin().then_some(ways)
    }
}
