//! The non-idempotent requests that run in this process.

use std::collections::HashMap;
use std::sync::Mutex;

use cassia_node::lock;
use tokio::sync::watch;

/// The running requests, by the sequence number of their ticket. Repeated
/// attempts wait here for the end of the running one.
#[derive(Debug, Default)]
pub(crate) struct RunningRequests(Mutex<HashMap<u64, watch::Sender<bool>>>);

impl RunningRequests {
    /// Adds a request that starts to run.
    pub(crate) fn start(&self, seq: u64) {
        lock(&self.0).insert(seq, watch::Sender::new(false));
    }

    /// Removes a request that has ended and notifies its waiters.
    pub(crate) fn end(&self, seq: u64) {
        if let Some(tx) = lock(&self.0).remove(&seq) {
            tx.send_replace(true);
        }
    }

    /// Returns a receiver that becomes true at the end of a request, or `None`
    /// if the request isn't running.
    pub(crate) fn subscribe(&self, seq: u64) -> Option<watch::Receiver<bool>> {
        lock(&self.0).get(&seq).map(watch::Sender::subscribe)
    }
}
