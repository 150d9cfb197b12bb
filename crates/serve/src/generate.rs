//! One run of an item at one engine.

use std::time::Duration;
use std::time::Instant;

use cassia_adapter::CustomerHeader;
use cassia_adapter::ResponseHead;
use cassia_adapter::VERSION_FIELD;
use cassia_adapter::decode_response_head;
use cassia_adapter::item_request;
use cassia_clients::ErrorKind;
use cassia_ids::ModelName;
use cassia_jobs::EventParser;
use cassia_jobs::Item;
use cassia_jobs::ItemText;
use cassia_jobs::TextError;
use cassia_route::InFlight;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::answer::drop_misaligned;
use crate::answer::is_answer_to;
use crate::answer::log_attempt;
use crate::answer::record_load;
use crate::app::App;
use crate::attempts::is_failed_run;
use crate::incarnation;
use crate::job_requests::JobRequests;
use crate::target_clients::Connections;
use crate::target_clients::Sender;
use crate::target_clients::TargetAttempt;

/// Timeout of an item, as stated to the engine.
const ITEM_TIMEOUT: Duration = Duration::from_secs(20);
/// Time without an event after which the run is interrupted and resumed at
/// another engine.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_600);
/// How long an engine that refused an item is avoided.
const REFUSAL_AVOIDANCE: Duration = Duration::from_millis(150);
/// Number of events over which an engine's token time is measured.
const EVENTS_PER_MEASUREMENT: u32 = 4;
/// Number of measurements after which a run counts as long.
const LONG_RUN_MEASUREMENTS: u32 = 5;
/// How often the text of a run is stored. A process that takes the item over
/// generates no more than this again.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// Priority of items at engines: lower than that of callers' requests.
const ITEM_PRIORITY: u8 = 5;

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunOutcome {
    /// The text is complete.
    Complete,
    /// The engine ran it and failed.
    Failed,
    /// The engine states that the item can never be completed.
    Impossible,
    /// The engine did not run it.
    Refused,
    /// The run was interrupted; the text so far is kept.
    Interrupted,
    /// The engine's connection ended in the run, as when the engine crashes; the text so far
    /// is kept.
    Lost,
    /// The events are inconsistent with the text so far, which is discarded.
    Inconsistent,
    /// A faster engine has a free slot, where the run is to be resumed.
    Moved,
}

/// An item and the engine that runs it.
pub(crate) struct Run<'a> {
    pub(crate) app: &'a App,
    pub(crate) host: &'a str,
    pub(crate) model: &'a ModelName,
    pub(crate) requests: &'a JobRequests,
    pub(crate) item: &'a Item,
    /// What the engine learns about the job's customer.
    pub(crate) customer: CustomerHeader<'a>,
    pub(crate) engine: &'a InFlight,
    /// The connections that it may use.
    pub(crate) connections: Connections,
    /// Returns whether a faster engine has a free slot.
    pub(crate) has_faster_slot: &'a (dyn Fn() -> bool + Send + Sync),
    /// Stores the text so far.
    pub(crate) store_progress: &'a (dyn Fn(&ItemText) + Send + Sync),
    /// Records that the run has made progress, at its first event.
    pub(crate) record_progress: &'a (dyn Fn() + Send + Sync),
}

/// Measures the time between events.
#[derive(Debug)]
struct EventTimer {
    since: Option<Instant>,
    events: u32,
}

impl EventTimer {
    /// Counts an event. Once every `EVENTS_PER_MEASUREMENT` events, returns
    /// the time that they took.
    fn count(&mut self, now: Instant) -> Option<Duration> {
        let since = *self.since.get_or_insert(now);
        if self.events < EVENTS_PER_MEASUREMENT {
            self.events += 1;
            return None;
        }
        *self = Self { since: Some(now), events: 1 };
        Some(now.saturating_duration_since(since))
    }
}

/// Returns whether a body may be a stream of events: it doesn't state another type.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    kind.is_none_or(|kind| kind.starts_with(EVENT_STREAM))
}

impl Run<'_> {
    /// Runs the item from the end of the text so far.
    pub(crate) async fn generate(&self, text: &mut ItemText) -> RunOutcome {
        let info = &self.engine.target().info;
        let (addr, id) = (info.addr, info.id.as_str());
        let after = text.last_event_id();
        let request = item_request(
            addr,
            id,
            self.host,
            self.item,
            after,
            ITEM_PRIORITY,
            ITEM_TIMEOUT,
            self.customer,
        );
        let request = match request {
            Ok(request) => request,
            Err(e) => {
                log::warn!(event = "item_impossible", step = "generate", id = self.item.id.as_str(); "{e}");
                return RunOutcome::Impossible;
            }
        };
        if after.is_some() && !incarnation::is_listed(self.app, self.engine.target()).await {
            return RunOutcome::Refused;
        }
        let Some(ways) = self.requests.ways(addr).await else {
            return RunOutcome::Refused;
        };
        log_attempt(self.app, &self.item.id, self.engine, after.map_or(1, |_| 2));
        let deadline = Instant::now() + EVENT_TIMEOUT;
        let attempt = TargetAttempt {
            step: "generate",
            target: self.engine.target(),
            id: &self.item.id,
            sender: Sender::Job(ways),
            connections: self.connections,
        };
        match self.app.clients.send(attempt, request, deadline).await {
            Ok(response) => self.read_response(response, text).await,
            Err(e) => {
                self.record_failure(&e.to_string());
                match e.kind {
                    ErrorKind::Connect => RunOutcome::Refused,
                    ErrorKind::Incomplete => RunOutcome::Lost,
                    _ => RunOutcome::Interrupted,
                }
            }
        }
    }

    async fn read_response(&self, response: Response<Incoming>, text: &mut ItemText) -> RunOutcome {
        let head = decode_response_head(response.status(), response.headers());
        if !is_answer_to(&self.item.id, response.status(), &head) {
            drop_misaligned(self.app, "generate", &self.item.id, self.engine);
            return self.interrupted("response to another request");
        }
        if !head.not_run {
            self.app.clients.record_answer(self.engine.target().info.addr, &self.item.id);
        }
        record_load(self.app, self.engine, &head);
        self.record_version(&head);
        match response.status() {
            _ if head.not_run => {
                let until = Instant::now() + REFUSAL_AVOIDANCE;
                self.app.state.targets.load().record_busy(self.engine.target(), until);
                let (id, peer) = (self.item.id.as_str(), self.engine.target().info.id.as_str());
                log::info!(event = "attempt_refused", step = "generate", id, peer, load = head.load, status = response.status().as_u16(); "the engine did not run it");
                RunOutcome::Refused
            }
            status if status.is_success() && !is_event_stream(response.headers()) => {
                self.interrupted("a success without events")
            }
            status if status.is_success() => {
                self.read_events(response.into_body(), &head, text).await
            }
            StatusCode::UNPROCESSABLE_ENTITY => RunOutcome::Impossible,
            status if is_failed_run(status) => {
                let targets = self.app.state.targets.load();
                targets.record_error(self.engine.target(), Instant::now());
                let (id, peer) = (self.item.id.as_str(), self.engine.target().info.id.as_str());
                log::info!(event = "attempt_failed", step = "generate", id, peer; "the engine ran it and failed");
                RunOutcome::Failed
            }
            status => {
                self.record_failure(status.as_str());
                RunOutcome::Interrupted
            }
        }
    }

    async fn read_events(
        &self,
        mut body: Incoming,
        head: &ResponseHead,
        text: &mut ItemText,
    ) -> RunOutcome {
        if let Err(e) = text.start_run(head.version, &self.engine.target().info.software) {
            return self.text_error(e);
        }
        let mut timer = EventTimer { since: None, events: 0 };
        let (mut measurements, mut checked_at) = (0, 0);
        let mut parser = EventParser::new(VERSION_FIELD);
        let mut has_event = false;
        let mut reservation = self.app.clients.pooled().reserve();
        // Bytes that complete no event don't count as progress.
        let mut event_deadline = Instant::now() + EVENT_TIMEOUT;
        let mut store_at = Instant::now() + PROGRESS_INTERVAL;
        loop {
            let bytes = match timeout_at(event_deadline.into(), body.frame()).await {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) if parser.finish().is_ok() && text.last_event_id().is_some() => {
                    self.app.state.targets.load().record_success(self.engine.target());
                    return RunOutcome::Complete;
                }
                Ok(None) => return self.lost("stream ended before the last event was complete"),
                Ok(Some(Err(e))) => return self.lost(&e.to_string()),
                Err(_) => return self.interrupted("no event in time"),
            };
            if let Err(e) = reservation.add(bytes.len()) {
                return self.interrupted(&e.to_string());
            }
            parser.push(&bytes);
            loop {
                match parser.next_event() {
                    Ok(Some(event)) => {
                        if let Err(e) = text.push(&event) {
                            return self.text_error(e);
                        }
                        event_deadline = Instant::now() + EVENT_TIMEOUT;
                        if !std::mem::replace(&mut has_event, true) {
                            (self.record_progress)();
                        }
                        if let Some(took) = timer.count(Instant::now()) {
                            self.record_token_time(took);
                            measurements += 1;
                        }
                    }
                    Ok(None) => break,
                    Err(e) => return self.interrupted(&e.to_string()),
                }
            }
            if Instant::now() >= store_at {
                store_at = Instant::now() + PROGRESS_INTERVAL;
                (self.store_progress)(text);
            }
            // A run that is nearly done should not move. What is left of it is
            // unknown, so only runs that have proved long move, and those at
            // slow engines.
            let is_long = measurements >= LONG_RUN_MEASUREMENTS;
            let is_new = std::mem::replace(&mut checked_at, measurements) < measurements;
            if is_new && (is_long || self.engine.target().is_slow()) && (self.has_faster_slot)() {
                return self.moved();
            }
        }
    }

    fn record_version(&self, head: &ResponseHead) {
        let info = &self.engine.target().info;
        if let Some(version) = head.version {
            self.app.state.record_version(&info.id, info.incarnation, self.model, version);
        }
    }

    fn record_token_time(&self, took: Duration) {
        let targets = self.app.state.targets.load();
        targets.record_token_time(
            self.engine.target(),
            EVENTS_PER_MEASUREMENT,
            took,
            Instant::now(),
        );
    }

    fn moved(&self) -> RunOutcome {
        let (id, peer) = (self.item.id.as_str(), self.engine.target().info.id.as_str());
        log::info!(event = "run_moves", step = "generate", id, peer; "a faster engine has a free slot");
        RunOutcome::Moved
    }

    fn interrupted(&self, why: &str) -> RunOutcome {
        self.record_failure(why);
        RunOutcome::Interrupted
    }

    fn lost(&self, why: &str) -> RunOutcome {
        self.record_failure(why);
        RunOutcome::Lost
    }

    /// Returns the outcome of a run whose events can't be added to the text. A
    /// version that is too old is not a failure of the engine.
    fn text_error(&self, e: TextError) -> RunOutcome {
        log::info!(event = "run_misfit", step = "generate", id = self.item.id.as_str(), peer = self.engine.target().info.id.as_str(); "{e}");
        match e {
            TextError::VersionTooOld { .. } => {
                let until = Instant::now() + REFUSAL_AVOIDANCE;
                self.app.state.targets.load().record_busy(self.engine.target(), until);
                RunOutcome::Refused
            }
            TextError::TooLong { .. } => {
                self.record_failure("text without end");
                RunOutcome::Inconsistent
            }
            TextError::OtherSoftware
            | TextError::UnknownSoftware
            | TextError::MixedVersions { .. }
            | TextError::MissingId { .. }
            | TextError::UnknownVersion(_)
            | TextError::OutOfOrder { .. } => RunOutcome::Inconsistent,
        }
    }

    fn record_failure(&self, why: &str) {
        let target = self.engine.target();
        self.app.state.targets.load().record_failure(target, Instant::now());
        let (id, peer) = (self.item.id.as_str(), target.info.id.as_str());
        log::info!(event = "run_broke_off", step = "generate", id, peer; "{why}");
    }
}
