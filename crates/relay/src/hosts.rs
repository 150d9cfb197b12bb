//! The other hosts, and what came of asking them.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::DataCentre;
use cassia_ids::HostId;
use prost::Message;
use rand::Rng;
use rand::seq::SliceRandom;

/// How long a host stays in the table after its last announcement.
const ENTRY_TTL: Duration = Duration::from_secs(90);
/// Time without reads after which announcements may have been missed.
const MAX_READ_GAP: Duration = Duration::from_secs(20);
/// How long a host that could not help is asked last.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);

/// What a host announces about itself.
#[derive(Clone, Message, PartialEq)]
pub struct HostEntry {
    /// Address at which it is asked for connections.
    #[prost(string, tag = "1")]
    pub addr: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
}

#[derive(Clone, Debug)]
struct Host {
    addr: SocketAddr,
    data_centre: DataCentre,
    announced_at: Instant,
    failed_at: Option<Instant>,
}

/// The other hosts that announced themselves.
#[derive(Debug)]
pub struct HostTable {
    own: HostId,
    data_centre: DataCentre,
    hosts: BTreeMap<HostId, Host>,
    /// The host that made a connection last.
    last_good: Option<HostId>,
    read_at: Option<Instant>,
}

impl HostTable {
    /// Creates an empty table of a host in a data centre.
    #[must_use]
    pub fn new(own: HostId, data_centre: DataCentre) -> Self {
        Self { own, data_centre, hosts: BTreeMap::new(), last_good: None, read_at: None }
    }

    /// Applies a host's announcement; `None` if it withdraws the last one. Returns
    /// whether the host is new.
    pub fn apply(&mut self, id: &HostId, entry: Option<&HostEntry>, now: Instant) -> bool {
        if *id == self.own {
            return false;
        }
        let addr = entry.and_then(|entry| entry.addr.parse().ok());
        let Some((entry, addr)) = entry.zip(addr) else {
            self.hosts.remove(id);
            return false;
        };
        let data_centre = entry.data_centre.as_str().into();
        let host = Host { addr, data_centre, announced_at: now, failed_at: None };
        let before = self.hosts.insert(id.clone(), host);
        before.is_none_or(|before| before.addr != addr)
    }

    /// Records that all announcements up to now were read, and removes the hosts
    /// that have made none for long.
    pub fn record_read(&mut self, now: Instant) {
        let missed = self.read_at.is_none_or(|at| now >= at + MAX_READ_GAP);
        self.read_at = Some(now);
        if missed {
            self.hosts.values_mut().for_each(|host| host.announced_at = now);
        }
        self.hosts.retain(|_, host| now < host.announced_at + ENTRY_TTL);
    }

    /// Returns whether a host has this address.
    #[must_use]
    pub fn has_addr(&self, addr: IpAddr) -> bool {
        self.hosts.values().any(|host| host.addr.ip() == addr)
    }

    /// Number of hosts in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether there is no other host.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns up to `limit` hosts in the order in which they are asked: the one that
    /// helped last, others at random, by turns of another data centre and of any, and
    /// last those that could not help just now.
    #[must_use]
    pub fn candidates(
        &self,
        limit: usize,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Vec<(HostId, SocketAddr)> {
        let has_failed = |host: &Host| host.failed_at.is_some_and(|at| now < at + FAILURE_MEMORY);
        let mut ids: Vec<_> = self.hosts.iter().collect();
        ids.shuffle(rng);
        let (failed, fresh): (Vec<_>, Vec<_>) =
            ids.into_iter().partition(|(_, host)| has_failed(host));
        // A cut often takes the hosts of one data centre.
        let (near, far): (Vec<_>, Vec<_>) =
            fresh.into_iter().partition(|(_, host)| host.data_centre == self.data_centre);
        let mut ordered = Vec::new();
        if let Some((id, host)) =
            self.last_good.as_ref().and_then(|id| self.hosts.get_key_value(id))
        {
            ordered.push((id, host));
        }
        let (mut near, mut far) = (near.into_iter(), far.into_iter());
        loop {
            let (a, b) = (far.next(), near.next());
            if a.is_none() && b.is_none() {
                break;
            }
            ordered.extend(a.into_iter().chain(b));
        }
        ordered.extend(failed);
        let mut listed = Vec::new();
        for (id, host) in ordered {
            if listed.len() < limit && !listed.iter().any(|(known, _)| known == id) {
                listed.push((id.clone(), host.addr));
            }
        }
        listed
    }

    /// Records that a host made a connection.
    pub fn record_success(&mut self, id: &HostId) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.failed_at = None;
            self.last_good = Some(id.clone());
        }
    }

    /// Records that a host could not make a connection.
    pub fn record_failure(&mut self, id: &HostId, now: Instant) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.failed_at = Some(now);
        }
        if self.last_good.as_ref() == Some(id) {
            self.last_good = None;
        }
    }
}
