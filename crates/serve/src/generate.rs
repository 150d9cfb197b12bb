//! One run of an item at one engine.

use std::time::Duration;
use std::time::Instant;

use cassia_adapter::ResponseHead;
use cassia_adapter::VERSION_FIELD;
use cassia_adapter::decode_response_head;
use cassia_adapter::item_request;
use cassia_ids::ModelName;
use cassia_jobs::EventParser;
use cassia_jobs::Item;
use cassia_jobs::ItemText;
use cassia_jobs::TextError;
use cassia_platform::ErrorKind;
use cassia_route::InFlight;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::app::App;
use crate::call::log_attempt;
use crate::call::note_load;

/// What the engine is told how long the item may take.
const ITEM_PATIENCE: Duration = Duration::from_secs(20);
/// Without another event for this long the run goes on elsewhere.
const EVENT_GAP: Duration = Duration::from_millis(1_600);
/// How long an engine that refused an item is left alone.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);
/// Events over which an engine's pace is measured.
const PACE_EVENTS: u32 = 4;
/// Measurements of a run's pace after which it counts as long.
const LOOKS_BEFORE_MOVE: u32 = 5;
/// The rank of items at engines: behind what callers wait for.
const PRIORITY: u8 = 5;

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Generated {
    /// The text is whole.
    Whole,
    /// The engine ran it and failed.
    Failed,
    /// The item can never be done.
    Impossible,
    /// The engine did not run it.
    Refused,
    /// The run broke off; what came before it stands.
    BrokeOff,
    /// What came does not fit the text so far, which must begin anew.
    Misfit,
    /// A faster engine has a slot: the run goes on there.
    Moves,
}

/// Where and what to generate.
pub(crate) struct Run<'a> {
    pub(crate) app: &'a App,
    pub(crate) host: &'a str,
    pub(crate) model: &'a ModelName,
    pub(crate) item: &'a Item,
    pub(crate) engine: &'a InFlight,
    /// Whether a faster engine has a slot for the rest.
    pub(crate) has_other: &'a (dyn Fn() -> bool + Send + Sync),
}

/// Measures how fast events come.
#[derive(Debug)]
struct PaceMeter {
    since: Option<Instant>,
    events: u32,
}

impl PaceMeter {
    /// Counts an event; gives the time that the last few took, now and then.
    fn count(&mut self, now: Instant) -> Option<Duration> {
        let since = *self.since.get_or_insert(now);
        if self.events < PACE_EVENTS {
            self.events += 1;
            return None;
        }
        *self = Self { since: Some(now), events: 1 };
        Some(now.saturating_duration_since(since))
    }
}

impl Run<'_> {
    /// Generates from where the text stands.
    pub(crate) async fn generate(&self, text: &mut ItemText) -> Generated {
        let listed = &self.engine.target().info;
        let (addr, id) = (listed.addr, listed.id.as_str());
        let after = text.last_event_id();
        log_attempt(self.app, &self.item.id, self.engine, after.map_or(1, |_| 2));
        let request = item_request(addr, id, self.host, self.item, after, PRIORITY, ITEM_PATIENCE);
        let request = match request {
            Ok(request) => request,
            Err(e) => {
                log::warn!(event = "item_impossible", step = "generate", id = self.item.id.as_str(); "{e}");
                return Generated::Impossible;
            }
        };
        let deadline = Instant::now() + EVENT_GAP;
        match self.app.client.send_any_status("generate", addr, request, deadline).await {
            Ok(answer) => self.take(answer, text).await,
            Err(e) => {
                self.blame(&e.to_string());
                if e.kind == ErrorKind::Connect { Generated::Refused } else { Generated::BrokeOff }
            }
        }
    }

    async fn take(&self, answer: Response<Incoming>, text: &mut ItemText) -> Generated {
        let head = decode_response_head(answer.status(), answer.headers());
        if head.id.as_ref().is_some_and(|id| *id != self.item.id) {
            self.app.client.drop_pool(self.engine.target().info.addr);
            self.blame("the answer to another request");
            return Generated::BrokeOff;
        }
        note_load(self.app, self.engine, &head);
        self.learn_version(&head);
        match answer.status() {
            _ if head.not_run => {
                let until = Instant::now() + REFUSED_PAUSE;
                self.app.board.targets.load().record_busy(self.engine.target(), until);
                let (id, peer) = (self.item.id.as_str(), self.engine.target().info.id.as_str());
                log::info!(event = "attempt_refused", step = "generate", id, peer, load = head.load, status = answer.status().as_u16(); "the engine did not run it");
                Generated::Refused
            }
            status if status.is_success() => self.read(answer.into_body(), &head, text).await,
            StatusCode::UNPROCESSABLE_ENTITY => Generated::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => {
                let targets = self.app.board.targets.load();
                targets.record_error(self.engine.target(), Instant::now());
                let (id, peer) = (self.item.id.as_str(), self.engine.target().info.id.as_str());
                log::info!(event = "attempt_failed", step = "generate", id, peer; "the engine ran it and failed");
                Generated::Failed
            }
            status => {
                self.blame(status.as_str());
                Generated::BrokeOff
            }
        }
    }

    async fn read(
        &self,
        mut body: Incoming,
        head: &ResponseHead,
        text: &mut ItemText,
    ) -> Generated {
        if let Err(e) = text.start_run(head.version) {
            return self.misfit(e);
        }
        let mut pace = PaceMeter { since: None, events: 0 };
        let (mut looks, mut looked) = (0, 0);
        let mut parser = EventParser::new(VERSION_FIELD);
        loop {
            let bytes = match timeout(EVENT_GAP, body.frame()).await {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) if parser.finish().is_ok() && text.last_event_id().is_some() => {
                    self.app.board.targets.load().record_success(self.engine.target());
                    return Generated::Whole;
                }
                Ok(None) => return self.broke_off("ended within an event"),
                Ok(Some(Err(e))) => return self.broke_off(&e.to_string()),
                Err(_) => return self.broke_off("silent"),
            };
            parser.push(&bytes);
            loop {
                match parser.next_event() {
                    Ok(Some(event)) => {
                        if let Err(e) = text.push(&event) {
                            return self.misfit(e);
                        }
                        if let Some(took) = pace.count(Instant::now()) {
                            self.note_pace(took);
                            looks += 1;
                        }
                    }
                    Ok(None) => break,
                    Err(e) => return self.broke_off(&e.to_string()),
                }
            }
            // One that is nearly done is better left where it is; which one
            // that is shows only in how long it has run.
            let is_long = looks >= LOOKS_BEFORE_MOVE;
            let has_looked = std::mem::replace(&mut looked, looks) < looks;
            if has_looked && (is_long || self.engine.target().is_slow()) && (self.has_other)() {
                return self.moves();
            }
        }
    }

    fn learn_version(&self, head: &ResponseHead) {
        let listed = &self.engine.target().info;
        if let Some(version) = head.version {
            self.app.board.learn_version(&listed.id, listed.incarnation, self.model, version);
        }
    }

    fn note_pace(&self, took: Duration) {
        let targets = self.app.board.targets.load();
        targets.record_token_time(self.engine.target(), PACE_EVENTS, took, Instant::now());
    }

    fn moves(&self) -> Generated {
        let (id, peer) = (self.item.id.as_str(), self.engine.target().info.id.as_str());
        log::info!(event = "run_moves", step = "generate", id, peer; "a faster engine has a slot");
        Generated::Moves
    }

    fn broke_off(&self, why: &str) -> Generated {
        self.blame(why);
        Generated::BrokeOff
    }

    /// A version that isn't allowed says nothing against the engine.
    fn misfit(&self, e: TextError) -> Generated {
        log::info!(event = "run_misfit", step = "generate", id = self.item.id.as_str(), peer = self.engine.target().info.id.as_str(); "{e}");
        match e {
            TextError::VersionTooOld { .. } => {
                let until = Instant::now() + REFUSED_PAUSE;
                self.app.board.targets.load().record_busy(self.engine.target(), until);
                Generated::Refused
            }
            TextError::MixedVersions { .. }
            | TextError::MissingId { .. }
            | TextError::UnknownVersion(_)
            | TextError::OutOfOrder { .. } => Generated::Misfit,
        }
    }

    fn blame(&self, why: &str) {
        let target = self.engine.target();
        self.app.board.targets.load().record_failure(target, Instant::now());
        let (id, peer) = (self.item.id.as_str(), target.info.id.as_str());
        log::info!(event = "run_broke_off", step = "generate", id, peer; "{why}");
    }
}
