//! The claims of all hosts, as this host has read them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::HostId;

use crate::HostDemand;
use crate::RateClaim;
use crate::RateShare;
use crate::rate_share;

/// How long the claims of a host stand without newer ones.
const CLAIM_TTL: Duration = Duration::from_secs(8);
/// How long a limit stands that no host has heard of since.
const STATEMENT_TTL: Duration = Duration::from_secs(20);

/// What a host may send to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetShare {
    /// The target has no limit any more.
    Unlimited,
    /// A share of its rate, which may be none at all.
    Limited(RateShare),
}

/// The claims of all hosts.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    own: HostId,
    hosts: BTreeMap<HostId, ReadClaims>,
}

#[derive(Clone, Debug)]
struct ReadClaims {
    claims: Vec<RateClaim>,
    read_at: Instant,
}

/// The newest of several statements of one target.
#[derive(Clone, Copy, Debug)]
struct Statement {
    limit: Option<f64>,
    age: Duration,
}

impl ClaimTable {
    /// Creates an empty table of the host `own`.
    #[must_use]
    pub fn new(own: HostId) -> Self {
        Self { own, hosts: BTreeMap::new() }
    }

    /// Replaces the claims of a host.
    pub fn apply(&mut self, host: &str, claims: Vec<RateClaim>, now: Instant) {
        self.hosts.insert(host.into(), ReadClaims { claims, read_at: now });
    }

    /// Removes the claims of hosts that have not renewed them. Only to be called
    /// after a read: while the store is away, no host can renew its claims.
    pub fn remove_expired(&mut self, now: Instant) {
        self.hosts.retain(|_, read| now < read.read_at + CLAIM_TTL);
    }

    /// Returns what this host may send to a target.
    #[must_use]
    pub fn share(&self, target: &str, now: Instant) -> TargetShare {
        let limit = match self.newest_statement(target, now) {
            Some(Statement { limit: None, .. }) => return TargetShare::Unlimited,
            Some(statement) if statement.age >= STATEMENT_TTL => return TargetShare::Unlimited,
            Some(Statement { limit: Some(limit), .. }) => limit,
            // No claim could be read yet, not even this host's.
            None => return TargetShare::Limited(RateShare::default()),
        };
        let demands: Vec<_> = self
            .claims_on(target)
            .filter(|(_, claim, _)| claim.limit.is_some())
            .map(|(host, claim, _)| HostDemand { host: host.clone(), wanted: claim.wanted })
            .collect();
        TargetShare::Limited(rate_share(target, limit, &demands, &self.own))
    }

    /// Returns what the target stated last to any host.
    fn newest_statement(&self, target: &str, now: Instant) -> Option<Statement> {
        let statements = self.claims_on(target).map(|(_, claim, read_at)| Statement {
            limit: claim.limit,
            age: Duration::from_millis(claim.age_ms) + now.saturating_duration_since(read_at),
        });
        statements.min_by_key(|statement| statement.age)
    }

    fn claims_on(&self, target: &str) -> impl Iterator<Item = (&HostId, &RateClaim, Instant)> {
        self.hosts.iter().flat_map(move |(host, read)| {
            let claims = read.claims.iter().filter(move |claim| claim.target == target);
            claims.map(move |claim| (host, claim, read.read_at))
        })
    }
}
