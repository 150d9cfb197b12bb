//! This host's own links to the targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// How long ago a target may have answered for its link to count as proven.
const PROOF_AGE: Duration = Duration::from_secs(2);
/// How often it is checked whether a lost link is back.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a link that is not used counts among this host's links.
const USED_AGE: Duration = Duration::from_secs(10);
/// Number of lost links from which on a host may count as cut off.
const MIN_LOST: usize = 2;

/// Which ways to a target may be used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Ways {
    /// This host's own link.
    OwnLink,
    /// The own link, and other hosts.
    #[default]
    All,
}

/// How a new connection to a target is begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectPlan {
    /// Over this host's own link only.
    OwnLink,
    /// Over this host's own link, and through another host if that takes long or
    /// fails.
    DirectFirst,
    /// Through another host, and over the own link if that takes long or fails.
    RelayFirst,
}

/// What to do before a request is sent to a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SendPlan {
    /// The way to the target has changed since the last request, so idle connections
    /// must not be used.
    pub is_changed: bool,
    /// Whether the target has answered just now.
    pub is_proven: bool,
}

/// What is known of the link to one target.
#[derive(Clone, Copy, Debug, Default)]
struct Path {
    heard_at: Option<Instant>,
    used_at: Option<Instant>,
    /// When to check next whether the link is back; `None` unless it is lost.
    check_at: Option<Instant>,
    /// The ways that the last request could take.
    ways: Ways,
    /// Whether an idle connection may go through another host. It may also where the
    /// link is only slow.
    has_relayed: bool,
    is_changed: bool,
}

/// This host's links to the targets, by address.
#[derive(Debug, Default)]
pub struct PathTable {
    paths: HashMap<SocketAddr, Path>,
}

impl PathTable {
    /// Returns how to begin a new connection.
    pub fn plan(&mut self, target: SocketAddr, ways: Ways, now: Instant) -> ConnectPlan {
        let path = self.paths.entry(target).or_default();
        path.used_at = Some(now);
        match (ways, path.check_at) {
            (Ways::OwnLink, _) => ConnectPlan::OwnLink,
            (Ways::All, Some(_)) => ConnectPlan::RelayFirst,
            (Ways::All, None) => ConnectPlan::DirectFirst,
        }
    }

    /// Returns what to do before a request is sent.
    pub fn plan_send(&mut self, target: SocketAddr, ways: Ways, now: Instant) -> SendPlan {
        let path = self.paths.entry(target).or_default();
        path.used_at = Some(now);
        let has_other_ways = std::mem::replace(&mut path.ways, ways) != ways;
        path.is_changed |= has_other_ways && path.has_relayed;
        path.has_relayed &= !path.is_changed;
        SendPlan {
            is_changed: std::mem::take(&mut path.is_changed),
            is_proven: path.heard_at.is_some_and(|at| now < at + PROOF_AGE),
        }
    }

    /// Records that a connection through another host was opened, which may be used
    /// again.
    pub fn record_opened(&mut self, target: SocketAddr) {
        self.paths.entry(target).or_default().has_relayed = true;
    }

    /// Records that a connection through another host takes no further request. Those that
    /// are under way on it may still end.
    pub fn record_draining(&mut self, target: SocketAddr) {
        if let Some(path) = self.paths.get_mut(&target) {
            path.is_changed |= path.has_relayed;
        }
    }

    /// Records that the target has answered, whichever way.
    pub fn record_heard(&mut self, target: SocketAddr, now: Instant) {
        self.paths.entry(target).or_default().heard_at = Some(now);
    }

    /// Records that a connection over the own link was made. Returns whether the
    /// link counted as lost.
    pub fn record_direct(&mut self, target: SocketAddr, now: Instant) -> bool {
        let path = self.paths.entry(target).or_default();
        path.heard_at = Some(now);
        let was_lost = path.check_at.take().is_some();
        path.is_changed |= was_lost;
        was_lost
    }

    /// Records that another host made a connection which this one could not make:
    /// the own link is lost. Returns whether that is new.
    pub fn record_relayed(&mut self, target: SocketAddr, now: Instant) -> bool {
        let path = self.paths.entry(target).or_default();
        path.heard_at = Some(now);
        path.used_at = Some(now);
        let is_new = path.check_at.is_none();
        if is_new {
            path.check_at = Some(now + CHECK_INTERVAL);
            path.is_changed = true;
        }
        is_new
    }

    /// Returns whether the own link to a target is lost.
    #[must_use]
    pub fn is_lost(&self, target: SocketAddr) -> bool {
        self.paths.get(&target).is_some_and(|path| path.check_at.is_some())
    }

    /// Returns whether any link is lost.
    #[must_use]
    pub fn has_lost(&self) -> bool {
        self.paths.values().any(|path| path.check_at.is_some())
    }

    /// Returns whether this host has lost at least half of the links that it uses,
    /// while other hosts reach these targets.
    #[must_use]
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let is_used = |path: &&Path| path.used_at.is_some_and(|at| now < at + USED_AGE);
        let used = self.paths.values().filter(is_used).count();
        let lost = self.paths.values().filter(is_used).filter(|path| path.check_at.is_some());
        let lost = lost.count();
        lost >= MIN_LOST && 2 * lost >= used
    }

    /// Removes the links to targets that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(SocketAddr) -> bool) {
        self.paths.retain(|target, _| is_listed(*target));
    }

    /// Returns up to `limit` targets whose lost links are to be checked now.
    pub fn take_due_checks(&mut self, limit: usize, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (target, path) in &mut self.paths {
            if due.len() < limit && path.check_at.is_some_and(|at| now >= at) {
                path.check_at = Some(now + CHECK_INTERVAL);
                path.used_at = Some(now);
                due.push(*target);
            }
        }
        due
    }
}
