//! Logs: one JSON object a line, to standard output.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;
use log4rs::encode::json::JsonEncoder;

/// Starts logging for the whole process.
///
/// # Errors
///
/// Logging has been started already.
pub fn start_logging() -> anyhow::Result<()> {
    let stdout = ConsoleAppender::builder()
        .target(Target::Stdout)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(stdout)))
        .build(Root::builder().appender("stdout").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}

/// How often one kind of event is logged at most.
const ONCE_IN: Duration = Duration::from_secs(5);

/// Lets one event through in a few seconds, and counts those it holds back.
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
    /// Says how many events were held back before this one, if it is due.
    pub fn due(&self) -> Option<u64> {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let next_ms = self.next_ms.load(Ordering::Relaxed);
        let step = u64::try_from(ONCE_IN.as_millis()).unwrap_or(u64::MAX);
        let exchanged = now_ms >= next_ms
            && self
                .next_ms
                .compare_exchange(next_ms, now_ms + step, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        if exchanged {
            return Some(self.held_back.swap(0, Ordering::Relaxed));
        }
        self.held_back.fetch_add(1, Ordering::Relaxed);
        None
    }
}
