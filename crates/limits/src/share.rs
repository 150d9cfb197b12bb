//! The share of a target's rate that one host may use.

use std::cmp::Reverse;
use std::time::Duration;

use cassia_ids::HostId;
use cassia_route::rendezvous_weight;

/// Time over which a target counts the requests that it gets, in seconds.
const WINDOW_S: f64 = 4.0;
/// What a target tolerates in that time, as a multiple of what its rate allows.
const TOLERATED_FACTOR: f64 = 1.5;
/// Further requests that it tolerates in that time. Two more are kept back for
/// claims that change while the hosts read them at different times.
const TOLERATED_EXTRA: f64 = 3.0;
/// Part of the rate that is shared out at most.
const USED_PART: f64 = 0.95;
/// Most hosts that share a rate, for each request a second of it. Each of them
/// may send one request at any moment, so with more of them the first requests
/// alone would exceed what the target tolerates.
const MAX_HOSTS_PER_RATE: f64 = 2.0;

/// What one host wants of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct HostDemand {
    /// The host.
    pub host: HostId,
    /// Requests a second that it wants to send.
    pub wanted: f64,
}

/// What one host may send to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateShare {
    /// Requests a second on average; 0 for none at all.
    pub per_second: f64,
    /// Requests that it may send at the same moment, after it has sent none for
    /// long enough; at least 1 if it may send any.
    pub burst: f64,
}

/// Returns the share of `own` in a target that accepts `limit` requests a second
/// from all hosts together.
///
/// The shares are max-min fair: hosts that want little get what they want, and
/// the others the same part each of what is left. So the callers' requests,
/// which are few at each host, are not displaced by the reward calls of the
/// hosts that run batch jobs. At small rates only some of the hosts get a share.
/// What the target tolerates beyond its rate is shared out as bursts, since the
/// items of a job begin together.
#[must_use]
pub fn rate_share(target: &str, limit: f64, demands: &[HostDemand], own: &str) -> RateShare {
    let mut served: Vec<_> = demands.iter().collect();
    // All hosts must agree on this order.
    served.sort_by_cached_key(|demand| {
        (Reverse(to_milli(demand.wanted)), rendezvous_weight(target, &demand.host))
    });
    let max_hosts = (limit * MAX_HOSTS_PER_RATE).max(1.0);
    served.truncate((1..=demands.len()).take_while(|n| to_f64(*n) <= max_hosts).count());
    let Some(own) = served.iter().position(|demand| demand.host == own) else {
        return RateShare::default();
    };
    let total = total_rate(limit, served.len());
    // Those that want least are served first; each leaves what it does not want
    // to the rest.
    let mut rest = total;
    for (index, demand) in served.iter().enumerate().rev() {
        let per_second = demand.wanted.min(rest / to_f64(index + 1));
        if index == own && per_second > 0.0 {
            let spare = tolerated(limit) - total * WINDOW_S - to_f64(served.len());
            return RateShare { per_second, burst: 1.0 + spare.max(0.0) * per_second / total };
        }
        rest -= per_second;
    }
    RateShare::default()
}

/// Number of requests that a target tolerates in a window.
fn tolerated(limit: f64) -> f64 {
    TOLERATED_FACTOR * WINDOW_S * limit + TOLERATED_EXTRA
}

/// The rate that the hosts share, such that the target tolerates it even if each
/// of them has a request ready at the same moment.
fn total_rate(limit: f64, hosts: usize) -> f64 {
    let rate = (tolerated(limit) - to_f64(hosts)) / WINDOW_S;
    (limit * USED_PART).min(rate).max(0.0)
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Converts a rate to thousandths of a request a second, to compare rates.
fn to_milli(rate: f64) -> u128 {
    Duration::try_from_secs_f64(rate).map_or(u128::MAX, |rate| rate.as_millis())
}
