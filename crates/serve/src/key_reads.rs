//! Reads of the configuration for requests whose key this host does not know, and the
//! log of the requests that were refused for their keys.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use cassia_adapter::OPERATOR_TOPIC;
use cassia_route::KEY_READ_TIMEOUT;
use cassia_route::KeyReadState;
use cassia_route::KeyReads;
use cassia_route::KeyWaiter;
use cassia_route::NextKeyRead;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::accounts::Requester;
use crate::app::App;
use crate::config;
use crate::keyed_reader::KeyedReader;
use crate::lock::lock;
use crate::response::Refusal;

/// How long refusals are summed for one line of the log. There may be thousands a
/// second, which the caller alone decides.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The reads of the configuration that requests wait for.
#[derive(Debug)]
pub(crate) struct ConfigReads {
    reads: Mutex<KeyReads>,
    /// Notified when a request begins to wait.
    wanted: Notify,
    /// Number of reads that have ended.
    ended: watch::Sender<u64>,
    /// How far the configuration controller has read. Reads for requests go on from
    /// there, so that they transfer changes only.
    position: Mutex<KeyedReader>,
    refused: Mutex<RefusedKeys>,
}

/// Requests that were refused for their keys and are not in the log yet.
#[derive(Debug, Default)]
struct RefusedKeys {
    unknown: u64,
    unconfirmed: u64,
}

/// A request that waits; it gives its place up when dropped.
struct Waiting<'a> {
    reads: &'a Mutex<KeyReads>,
    waiter: KeyWaiter,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(self.reads).leave(self.waiter);
    }
}

impl Default for ConfigReads {
    fn default() -> Self {
        Self {
            reads: Mutex::default(),
            wanted: Notify::new(),
            ended: watch::Sender::new(0),
            position: Mutex::new(KeyedReader::new(OPERATOR_TOPIC)),
            refused: Mutex::default(),
        }
    }
}

impl ConfigReads {
    /// Records how far the configuration was read.
    pub(crate) fn set_position(&self, position: KeyedReader) {
        *lock(&self.position) = position;
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        lock(&self.reads).waiting()
    }

    /// Waits until `find` returns a requester, or a read that begins after this call has
    /// ended.
    pub(crate) async fn wait_for_read(
        &self,
        find: impl Fn() -> Option<Requester>,
    ) -> Result<Requester, Refusal> {
        let mut ended = self.ended.subscribe();
        let waiter = lock(&self.reads).wait(Instant::now()).ok_or(Refusal::KeyUnconfirmed)?;
        let waiting = Waiting { reads: &self.reads, waiter };
        self.wanted.notify_one();
        loop {
            let state = lock(&self.reads).state(&waiting.waiter, Instant::now());
            if let Some(requester) = find() {
                return Ok(requester);
            }
            match state {
                KeyReadState::Pending => {}
                KeyReadState::Confirmed => return Err(Refusal::UnknownKey),
                KeyReadState::Unconfirmed => return Err(Refusal::KeyUnconfirmed),
            }
            // The sender lives as long as `self`.
            let _ = timeout_at(waiting.waiter.deadline.into(), ended.changed()).await;
        }
    }
}

/// Reads the configuration whenever requests wait for it, until the process ends. The
/// controller's own read, which the store holds back, is not waited for.
pub(crate) async fn run(app: Arc<App>) {
    let reads = &app.key_reads;
    loop {
        let now = Instant::now();
        let next = lock(&reads.reads).next(now);
        match next {
            NextKeyRead::Idle => reads.wanted.notified().await,
            NextKeyRead::At(at) if at > now => sleep_until(at.into()).await,
            NextKeyRead::At(_) => {
                lock(&reads.reads).begin(now);
                let position = *lock(&reads.position);
                let deadline = now + KEY_READ_TIMEOUT;
                let read = timeout_at(deadline.into(), config::read_to_end(&app, position));
                let succeeded = matches!(read.await, Ok(Ok(())));
                lock(&reads.reads).end(succeeded);
                reads.ended.send_modify(|ended| *ended += 1);
                let result = if succeeded { "key.read" } else { "key.read_failed" };
                app.metrics.count(result, "all");
            }
        }
    }
}

/// Counts a request that was refused for its key.
pub(crate) fn record_refusal(app: &Arc<App>, refusal: Refusal) {
    app.metrics.count(&format!("request.{}", refusal.kind()), "all");
    let is_first = {
        let mut refused = lock(&app.key_reads.refused);
        let is_first = refused.unknown + refused.unconfirmed == 0;
        match refusal {
            Refusal::UnknownKey => refused.unknown += 1,
            _ => refused.unconfirmed += 1,
        }
        is_first
    };
    if is_first {
        tokio::spawn(log_refusals(Arc::clone(app)));
    }
}

async fn log_refusals(app: Arc<App>) {
    sleep(LOG_INTERVAL).await;
    let RefusedKeys { unknown, unconfirmed } = std::mem::take(&mut *lock(&app.key_reads.refused));
    let config = app.state.config_version();
    log::info!(event = "keys_refused", step = "route", unknown_key = unknown, key_unconfirmed = unconfirmed, config; "requests without a known key");
}
