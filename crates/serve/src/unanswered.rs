//! Requests that targets leave without an answer.

use std::time::Duration;
use std::time::Instant;

use cassia_route::InFlight;

use crate::app::App;

/// A request that a target has not answered yet. If it is dropped after the
/// time in which other targets answer, the target is recorded as not
/// answering.
#[derive(Debug)]
pub(crate) struct UnansweredGuard<'a> {
    app: &'a App,
    in_flight: &'a InFlight,
    late_at: Instant,
    is_answered: bool,
}

impl<'a> UnansweredGuard<'a> {
    pub(crate) fn new(app: &'a App, in_flight: &'a InFlight, expected: Duration) -> Self {
        Self { app, in_flight, late_at: Instant::now() + expected, is_answered: false }
    }

    pub(crate) fn mark_answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredGuard<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        if !self.is_answered && now >= self.late_at {
            self.app.state.targets.load().record_unanswered(self.in_flight.target(), now);
        }
    }
}
