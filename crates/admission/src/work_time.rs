//! How long requests occupy a slot.

use std::time::Duration;

use crate::RequestClass;

/// Inverse of the weight of a new sample in the moving average.
const AVERAGE_DIVISOR: u32 = 16;
/// Work time that is assumed before any was measured.
const INITIAL_WORK_TIME: Duration = Duration::from_millis(25);
/// The least average, so that each request is charged something.
const MIN_WORK_TIME: Duration = Duration::from_micros(10);

/// A request is expected to run for at most the average and this many times the mean
/// deviation: with the average alone, half of the requests that start at the last
/// moment are late.
const DEVIATIONS: u32 = 2;

/// Moving average of durations, and of their deviation from it.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: Duration,
    deviation: Duration,
}

/// How long requests run, by class and over all requests.
#[derive(Clone, Debug)]
pub(crate) struct WorkTimes {
    caller: Estimate,
    reward: Estimate,
    any: Estimate,
}

impl WorkTimes {
    pub(crate) fn new() -> Self {
        let initial = Estimate { mean: INITIAL_WORK_TIME, deviation: Duration::ZERO };
        Self { caller: initial, reward: initial, any: initial }
    }

    /// Average over the requests of a class.
    pub(crate) fn of(&self, class: RequestClass) -> Duration {
        self.estimate(class).mean
    }

    /// Time that nearly all requests of a class end in.
    pub(crate) fn bound(&self, class: RequestClass) -> Duration {
        let estimate = self.estimate(class);
        estimate.mean + estimate.deviation * DEVIATIONS
    }

    /// Average over the requests of both classes.
    pub(crate) fn any(&self) -> Duration {
        self.any.mean
    }

    pub(crate) fn record(&mut self, class: RequestClass, sample: Duration) {
        match class {
            RequestClass::Caller => self.caller.add(sample),
            RequestClass::Reward => self.reward.add(sample),
        }
        self.any.add(sample);
    }

    fn estimate(&self, class: RequestClass) -> Estimate {
        match class {
            RequestClass::Caller => self.caller,
            RequestClass::Reward => self.reward,
        }
    }
}

impl Estimate {
    fn add(&mut self, sample: Duration) {
        self.deviation = next_average(self.deviation, sample.abs_diff(self.mean));
        self.mean = next_average(self.mean, sample).max(MIN_WORK_TIME);
    }
}

fn next_average(average: Duration, sample: Duration) -> Duration {
    (average * (AVERAGE_DIVISOR - 1) + sample) / AVERAGE_DIVISOR
}
