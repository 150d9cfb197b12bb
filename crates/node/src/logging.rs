//! Logging to standard output, one JSON object per line.
//!
//! Logging never blocks a request: a separate thread writes lines from a
//! bounded queue; lines that don't fit are dropped and counted. Each kind of
//! event has a budget of lines per second.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

use log::LevelFilter;
use log::Record;
use log::kv::Key;
use log4rs::append::Append;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use smol_str::SmolStr;

const MAX_QUEUED_LINES: usize = 512;
/// Limit for each kind of event.
const MAX_LINES_PER_SECOND: u32 = 120;
/// Limit for each kind in `FAILURE_EVENTS`.
const MAX_FAILURE_LINES_PER_SECOND: u32 = 300;
/// Events whose ids must be found in the log later, such as those of requests
/// that got no answer from a target.
const FAILURE_EVENTS: [&str; 6] = [
    "request_refused",
    "request_failed",
    "job_call_refused",
    "job_submitted",
    "item_given_up",
    "job_unreadable",
];
const BUDGET_PERIOD: Duration = Duration::from_secs(1);
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts logging for the whole process.
///
/// # Errors
///
/// Logging has been started already.
pub fn start_logging() -> anyhow::Result<()> {
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(QueueAppender::start())))
        .build(Root::builder().appender("stdout").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Adds the host's name to all lines that this thread logs from now on.
pub fn set_log_host(host: &str) {
    log_mdc::insert("host", host);
}

enum Queued {
    Line(Vec<u8>),
    /// Signals once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Encodes lines and queues them for the writer thread.
struct QueueAppender {
    encoder: JsonEncoder,
    tx: SyncSender<Queued>,
    budgets: Mutex<HashMap<SmolStr, LineBudget>>,
    dropped: AtomicU64,
}

impl std::fmt::Debug for QueueAppender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("QueueAppender").field("dropped", &self.dropped).finish_non_exhaustive()
    }
}

impl QueueAppender {
    fn start() -> Self {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        std::thread::spawn(move || write_lines(&rx));
        let encoder = JsonEncoder::new();
        Self { encoder, tx, budgets: Mutex::default(), dropped: AtomicU64::new(0) }
    }

    fn queue(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = Line(Vec::with_capacity(512));
        self.encoder.encode(&mut line, record)?;
        if self.tx.try_send(Queued::Line(line.0)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Queues a line that reports how many lines were left out.
    fn report_left_out(&self, kind: &str, left_out: u64) -> anyhow::Result<()> {
        let count = left_out.to_string();
        let values =
            [("event", "left_out"), ("step", "log"), ("kind", kind), ("count", count.as_str())];
        let mut builder = Record::builder();
        builder.level(log::Level::Warn).key_values(&values);
        self.queue(&builder.args(format_args!("{left_out} lines left out")).build())
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let event = record.key_values().get(Key::from("event"));
        let kind = event.map(|event| smol_str::format_smolstr!("{event}")).unwrap_or_default();
        let allowed = {
            let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
            let limit = if FAILURE_EVENTS.contains(&kind.as_str()) {
                MAX_FAILURE_LINES_PER_SECOND
            } else {
                MAX_LINES_PER_SECOND
            };
            budgets.entry(kind.clone()).or_default().spend(limit, Instant::now())
        };
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.report_left_out("any", dropped)?;
        }
        match allowed {
            Allowed::No => Ok(()),
            Allowed::Yes { left_out: 0 } => self.queue(record),
            Allowed::Yes { left_out } => {
                self.report_left_out(&kind, left_out)?;
                self.queue(record)
            }
        }
    }

    fn flush(&self) {
        let (tx, rx) = sync_channel(1);
        if self.tx.try_send(Queued::Flush(tx)).is_ok() {
            // A pipe that nobody reads must not keep the process from exiting.
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Buffer that the encoder writes a line to.
struct Line(Vec<u8>);

impl Write for Line {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl log4rs::encode::Write for Line {}

fn write_lines(rx: &Receiver<Queued>) {
    let mut out = std::io::stdout();
    while let Ok(queued) = rx.recv() {
        match queued {
            // There is nowhere else to report that the output is closed.
            Queued::Line(line) => drop(out.write_all(&line)),
            Queued::Flush(done) => drop(done.try_send(())),
        }
    }
}

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Allowed {
    /// It may be written.
    Yes {
        /// Number of lines of its kind left out since the last one written.
        left_out: u64,
    },
    /// It is left out.
    No,
}

/// Limits the lines of one kind per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    resets_at: Option<Instant>,
    used: u32,
    left_out: u64,
}

impl LineBudget {
    /// Counts one line against the limit per second.
    pub fn spend(&mut self, limit: u32, now: Instant) -> Allowed {
        if self.resets_at.is_none_or(|at| now >= at) {
            self.resets_at = Some(now + BUDGET_PERIOD);
            self.used = 0;
        }
        if self.used >= limit {
            self.left_out += 1;
            return Allowed::No;
        }
        self.used += 1;
        Allowed::Yes { left_out: std::mem::take(&mut self.left_out) }
    }
}

/// Minimum time between two events that a `RateLimit` allows.
const RATE_LIMIT_PERIOD: Duration = Duration::from_secs(5);

/// Allows one event every few seconds and counts those it holds back.
#[derive(Debug)]
pub struct RateLimit {
    started: Instant,
    /// In milliseconds since `started`.
    next_ms: AtomicU64,
    held_back: AtomicU64,
}

impl Default for RateLimit {
    fn default() -> Self {
        Self { started: Instant::now(), next_ms: AtomicU64::new(0), held_back: AtomicU64::new(0) }
    }
}

impl RateLimit {
    /// Returns the number of events held back before this one, or `None` if
    /// this one is held back too.
    pub fn due(&self) -> Option<u64> {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let next_ms = self.next_ms.load(Ordering::Relaxed);
        let period_ms = u64::try_from(RATE_LIMIT_PERIOD.as_millis()).unwrap_or(u64::MAX);
        let exchanged = now_ms >= next_ms
            && self
                .next_ms
                .compare_exchange(next_ms, now_ms + period_ms, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        if exchanged {
            return Some(self.held_back.swap(0, Ordering::Relaxed));
        }
        self.held_back.fetch_add(1, Ordering::Relaxed);
        None
    }
}
