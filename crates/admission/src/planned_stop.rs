//! What a host takes on in a planned stop.

use std::time::Duration;
use std::time::Instant;

/// How long the load balancer may still open connections after readiness is
/// gone: two checks, one second apart, and a margin.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);
/// How long a new connection may take to send its first request.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);
/// How long before the end connections are no longer accepted: what comes later
/// could only be refused.
const CLOSE_TIME: Duration = Duration::from_millis(1_500);
/// What is kept of the stop for writing the last responses.
const RESPONSE_TIME: Duration = Duration::from_millis(150);

/// Whether a request is taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopDecision {
    /// It is.
    Take,
    /// It is refused at once: the process could end before it is answered.
    Refuse,
}

/// A planned stop that has begun, and what may still begin in it.
///
/// While the load balancer may not know of the stop, the host serves as before.
/// From then on each connection serves at most one more request, and a request is
/// only taken if its time limit ends before the process does.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
/// use cassia_admission::PlannedStop;
/// use cassia_admission::StopDecision;
///
/// let now = Instant::now();
/// let stop = PlannedStop::new(now, Duration::from_secs(7));
/// let (late, limit) = (now + Duration::from_secs(5), Duration::from_secs(1));
/// assert_eq!(stop.decide(Some(late + limit), late), StopDecision::Take);
/// assert_eq!(stop.decide(Some(late + 2 * limit), late), StopDecision::Refuse);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedStop {
    drains_at: Instant,
    ends_at: Instant,
}

impl PlannedStop {
    /// Creates a stop that begins now and takes `limit` at most.
    #[must_use]
    pub fn new(now: Instant, limit: Duration) -> Self {
        Self { drains_at: now + BALANCER_LAG.min(limit), ends_at: now + limit }
    }

    /// Returns until when the load balancer may open connections although it has
    /// other hosts to open them to.
    #[must_use]
    pub fn drains_at(&self) -> Instant {
        self.drains_at
    }

    /// Returns when the process ends, whatever is under way.
    #[must_use]
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Returns until when connections are accepted at most.
    #[must_use]
    pub fn accepts_until(&self) -> Instant {
        self.before_end(CLOSE_TIME).max(self.drains_at)
    }

    /// Returns when a request that is still under way is answered without waiting
    /// for its target.
    #[must_use]
    pub fn answers_at(&self) -> Instant {
        self.before_end(RESPONSE_TIME)
    }

    /// Returns when a connection that was accepted at `accepted_at` is closed if no
    /// request is under way on it.
    #[must_use]
    pub fn closes_at(&self, accepted_at: Instant) -> Instant {
        self.drains_at.max(accepted_at + FIRST_REQUEST_TIME).min(self.ends_at)
    }

    /// Returns whether a connection serves no request after the present one.
    #[must_use]
    pub fn is_draining(&self, now: Instant) -> bool {
        now >= self.drains_at
    }

    /// Decides on a request that has ended by `latest_end`; `None` if it may take any
    /// time.
    #[must_use]
    pub fn decide(&self, latest_end: Option<Instant>, now: Instant) -> StopDecision {
        let can_end = latest_end.is_some_and(|end| end <= self.answers_at());
        if can_end || !self.is_draining(now) { StopDecision::Take } else { StopDecision::Refuse }
    }

    fn before_end(&self, time: Duration) -> Instant {
        self.ends_at.checked_sub(time).unwrap_or(self.ends_at)
    }
}
