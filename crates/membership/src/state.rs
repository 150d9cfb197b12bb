//! One process's view of the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::DataCentre;
use cassia_ids::HostId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::ClosedTarget;
use crate::Gossip;
use crate::MemberStatus;
use crate::MemberUpdate;
use crate::MessageKind;

/// One process is probed in each period.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// A probe without an ack for this long is repeated through other processes.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// A suspect that doesn't refute the suspicion for this long is considered
/// dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of processes asked for an indirect probe.
const INDIRECT_PROBES: usize = 2;
/// Number of peers to which a change of the configuration is announced
/// immediately.
const ANNOUNCE_FANOUT: usize = 4;
const UPDATES_PER_DATAGRAM: usize = 6;
/// Limit for a datagram of the whole view, which must fit into one packet.
const UPDATES_PER_VIEW_DATAGRAM: usize = 20;
const CLOSED_PER_DATAGRAM: usize = 4;
const MAX_SEEDS: usize = 512;
/// Number of closed targets kept for gossip.
const MAX_CLOSED: usize = 256;
/// One probe in this many goes to a dead process, so that both sides of a
/// network partition find each other again.
const PROBES_PER_DEAD_PROBE: u64 = 5;
/// One probe in this many asks for the whole view, in case gossip missed
/// updates.
const PROBES_PER_SYNC: u64 = 20;
/// A dead process is forgotten after this long: longer than a network
/// partition of an hour.
const DEAD_RETENTION: Duration = Duration::from_hours(2);

/// This process, as it presents itself to its peers.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Its id, the same across restarts.
    pub id: HostId,
    /// The address that peers send to.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Larger than at its previous start, unless its clock went back.
    pub incarnation: u64,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The recipient.
    pub to: SocketAddr,
    /// The message.
    pub gossip: Gossip,
}

/// Another process, as this one sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its id.
    pub id: HostId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its status.
    pub status: MemberStatus,
    /// The first offset of the configuration stream that it lacks.
    pub config_next: u64,
    /// When its status was set.
    status_since: Instant,
    /// How often this state was sent to others.
    times_sent: u32,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    seq: u64,
    direct_deadline: Instant,
    indirect_sent: bool,
}

/// An indirect probe in progress; its ack is relayed to the process that asked
/// for it.
#[derive(Clone, Copy, Debug)]
struct Relay {
    seq: u64,
    sender: SocketAddr,
    sender_seq: u64,
    deadline: Instant,
}

/// One process's view of the others.
#[derive(Debug)]
pub struct Membership {
    local: LocalMember,
    config_next: u64,
    rng: SmallRng,
    peers: BTreeMap<HostId, Peer>,
    seeds: Vec<SocketAddr>,
    /// How often each closed target was sent.
    closed: BTreeMap<ClosedTarget, u32>,
    /// Closed targets received since the last `take_closed_targets`.
    received_closed: Vec<ClosedTarget>,
    probing: Option<(HostId, Probe)>,
    relays: Vec<Relay>,
    next_seq: u64,
    next_period: Instant,
}

impl Membership {
    /// Creates an empty view.
    #[must_use]
    pub fn new(local: LocalMember, seed: u64, now: Instant) -> Self {
        Self {
            local,
            config_next: 0,
            rng: SmallRng::seed_from_u64(seed),
            peers: BTreeMap::new(),
            seeds: Vec::new(),
            closed: BTreeMap::new(),
            received_closed: Vec::new(),
            probing: None,
            relays: Vec::new(),
            next_seq: 1,
            next_period: now,
        }
    }

    /// Sets the addresses of possible peers from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|addr| *addr != self.local.addr);
    }

    /// Adds addresses of possible peers from the platform's list. The oldest
    /// ones, which may be out of date, are dropped beyond the limit.
    pub fn add_seeds(&mut self, listed: &[SocketAddr]) {
        for addr in listed {
            if *addr != self.local.addr && !self.seeds.contains(addr) {
                self.seeds.push(*addr);
            }
        }
        let surplus = self.seeds.len().saturating_sub(MAX_SEEDS);
        self.seeds.drain(..surplus);
    }

    /// Sets the first offset of the configuration stream that this process
    /// lacks.
    pub fn set_config_next(&mut self, next: u64) {
        self.config_next = next;
    }

    /// Gossips that a target is leaving; returns false if that is known
    /// already.
    pub fn close_target(&mut self, closed: ClosedTarget) -> bool {
        if self.closed.contains_key(&closed) {
            return false;
        }
        if self.closed.len() >= MAX_CLOSED {
            let most_sent = self.closed.iter().max_by_key(|(_, times_sent)| **times_sent);
            if let Some(key) = most_sent.map(|(key, _)| key.clone()) {
                self.closed.remove(&key);
            }
        }
        self.closed.insert(closed, 0);
        true
    }

    /// Removes and returns the closed targets received since the last call.
    pub fn take_closed_targets(&mut self) -> Vec<ClosedTarget> {
        std::mem::take(&mut self.received_closed)
    }

    /// Returns the peers of any status.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the peers that are alive or suspect.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|p| p.status <= MemberStatus::Suspect)
    }

    /// Returns when `tick` must be called next.
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        let probe = self.probing.as_ref().filter(|(_, p)| !p.indirect_sent);
        probe.map_or(self.next_period, |(_, p)| p.direct_deadline.min(self.next_period))
    }

    /// Performs the actions due by now and returns the datagrams to send.
    pub fn tick(&mut self, now: Instant) -> Vec<Datagram> {
        let mut out = Vec::new();
        self.relays.retain(|relay| now < relay.deadline);
        if let Some((id, probe)) = self.probing.clone()
            && now >= probe.direct_deadline
            && !probe.indirect_sent
        {
            self.send_indirect_probes(&id, probe, &mut out);
        }
        if now >= self.next_period {
            self.next_period = now + PROBE_PERIOD;
            self.end_probe(now);
            self.expire_peers(now);
            self.begin_probe(now, &mut out);
        }
        out
    }

    /// Processes a received datagram and returns the datagrams to send.
    pub fn receive(&mut self, from: SocketAddr, gossip: &Gossip, now: Instant) -> Vec<Datagram> {
        let is_new = gossip.sender.as_ref().is_some_and(|sender| self.is_new_or_dead(&sender.id));
        for update in gossip.sender.iter().chain(&gossip.updates) {
            self.apply(update, now);
        }
        for closed in &gossip.closed {
            if self.close_target(closed.clone()) {
                self.received_closed.push(closed.clone());
            }
        }
        match gossip.kind() {
            MessageKind::Probe if !is_new => {
                vec![self.datagram(from, MessageKind::Ack, gossip.seq)]
            }
            MessageKind::Probe | MessageKind::SyncProbe => {
                let mut out = vec![self.datagram(from, MessageKind::Ack, gossip.seq)];
                out.extend(self.whole_view(from));
                out
            }
            MessageKind::IndirectProbe => self.relay_probe(from, gossip, now),
            MessageKind::Ack => self.handle_ack(gossip.seq),
        }
    }

    /// Returns datagrams that announce a change of the configuration now,
    /// rather than with the probes of the next periods.
    pub fn announce(&mut self) -> Vec<Datagram> {
        let mut to: Vec<_> = self.live().map(|p| p.addr).collect();
        let mut out = Vec::new();
        for _ in 0..ANNOUNCE_FANOUT.min(to.len()) {
            let addr = to.swap_remove(self.rng.random_range(0..to.len()));
            out.push(self.datagram(addr, MessageKind::Ack, 0));
        }
        out
    }

    /// Returns datagrams that announce the planned stop of this process.
    pub fn leave(&mut self) -> Vec<Datagram> {
        let to: Vec<_> = self.live().map(|p| p.addr).take(2 * UPDATES_PER_DATAGRAM).collect();
        let mut datagram = self.datagram(self.local.addr, MessageKind::Ack, 0);
        if let Some(sender) = &mut datagram.gossip.sender {
            sender.set_status(MemberStatus::Left);
        }
        to.into_iter().map(|to| Datagram { to, gossip: datagram.gossip.clone() }).collect()
    }

    fn local_update(&self) -> MemberUpdate {
        MemberUpdate {
            id: self.local.id.to_string(),
            addr: self.local.addr.to_string(),
            data_centre: self.local.data_centre.to_string(),
            incarnation: self.local.incarnation,
            status: MemberStatus::Alive.into(),
            config_next: self.config_next,
        }
    }

    fn datagram(&mut self, to: SocketAddr, kind: MessageKind, seq: u64) -> Datagram {
        let max_sends = self.max_sends();
        let mut updates = self.updates_to_send(max_sends);
        // A recipient that isn't considered alive is sent its own status, so
        // that it can refute it.
        let not_alive =
            self.peers.values().find(|p| p.addr == to && p.status != MemberStatus::Alive);
        updates.extend(not_alive.map(Peer::to_update));
        let gossip = Gossip {
            kind: kind.into(),
            seq,
            sender: Some(self.local_update()),
            probe_addr: String::new(),
            updates,
            closed: self.closed_to_send(max_sends),
        };
        Datagram { to, gossip }
    }

    /// Returns whether a process is unknown, dead or has left.
    fn is_new_or_dead(&self, id: &str) -> bool {
        self.peers.get(id).is_none_or(|p| p.status >= MemberStatus::Dead)
    }

    /// Returns datagrams with updates about all live peers. Piggybacked
    /// updates alone would take minutes to report hundreds of processes.
    fn whole_view(&self, to: SocketAddr) -> Vec<Datagram> {
        let updates: Vec<_> = self.live().filter(|p| p.addr != to).map(Peer::to_update).collect();
        let gossip = |updates: &[MemberUpdate]| Gossip {
            kind: MessageKind::Ack.into(),
            seq: 0,
            sender: Some(self.local_update()),
            probe_addr: String::new(),
            updates: updates.to_vec(),
            closed: Vec::new(),
        };
        let chunks = updates.chunks(UPDATES_PER_VIEW_DATAGRAM);
        chunks.map(|updates| Datagram { to, gossip: gossip(updates) }).collect()
    }

    /// Returns how often an update is sent: a few times the logarithm of the
    /// number of peers, which is enough to reach all of them.
    fn max_sends(&self) -> u32 {
        let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        3 * (u32::BITS - peers.leading_zeros()).max(1)
    }

    fn updates_to_send(&mut self, max_sends: u32) -> Vec<MemberUpdate> {
        let mut pending: Vec<_> =
            self.peers.values_mut().filter(|p| p.times_sent < max_sends).collect();
        pending.sort_by_key(|p| p.times_sent);
        pending.truncate(UPDATES_PER_DATAGRAM);
        let send = |p: &mut Peer| {
            p.times_sent += 1;
            p.to_update()
        };
        pending.into_iter().map(send).collect()
    }

    fn closed_to_send(&mut self, max_sends: u32) -> Vec<ClosedTarget> {
        let mut pending: Vec<_> = self.closed.iter_mut().filter(|(_, t)| **t < max_sends).collect();
        pending.sort_by_key(|(_, times_sent)| **times_sent);
        pending.truncate(CLOSED_PER_DATAGRAM);
        let send = |(closed, times_sent): (&ClosedTarget, &mut u32)| {
            *times_sent += 1;
            closed.clone()
        };
        pending.into_iter().map(send).collect()
    }

    fn apply(&mut self, update: &MemberUpdate, now: Instant) {
        if update.id == self.local.id {
            self.refute(update);
            return;
        }
        let Some(addr) = update.socket_addr() else {
            return;
        };
        let updated = Peer {
            id: SmolStr::new(&update.id),
            addr,
            data_centre: SmolStr::new(&update.data_centre),
            incarnation: update.incarnation,
            status: update.status(),
            config_next: update.config_next,
            status_since: now,
            times_sent: 0,
        };
        match self.peers.get_mut(update.id.as_str()) {
            Some(known) if update.supersedes(known.incarnation, known.status) => *known = updated,
            Some(known) => known.config_next = known.config_next.max(updated.config_next),
            None if updated.status <= MemberStatus::Suspect => {
                self.peers.insert(updated.id.clone(), updated);
            }
            None => {}
        }
    }

    /// Raises the incarnation above an update that reports this process as not
    /// alive, or that is from an earlier run whose clock was ahead.
    fn refute(&mut self, update: &MemberUpdate) {
        let not_alive = update.status() != MemberStatus::Alive;
        let is_ahead = update.incarnation > self.local.incarnation;
        if is_ahead || (not_alive && update.incarnation == self.local.incarnation) {
            self.local.incarnation = update.incarnation + 1;
        }
    }

    fn begin_probe(&mut self, now: Instant, out: &mut Vec<Datagram>) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if let Some(addr) = self.unknown_seed() {
            out.push(self.datagram(addr, MessageKind::Probe, seq));
        }
        let probe_dead = seq.is_multiple_of(PROBES_PER_DEAD_PROBE);
        let eligible = |p: &&Peer| (p.status >= MemberStatus::Dead) == probe_dead;
        let candidates: Vec<_> = self.peers.values().filter(eligible).collect();
        if candidates.is_empty() {
            return;
        }
        let peer = candidates[self.rng.random_range(0..candidates.len())];
        let (id, addr) = (peer.id.clone(), peer.addr);
        if !probe_dead {
            let probe =
                Probe { seq, direct_deadline: now + DIRECT_PROBE_TIMEOUT, indirect_sent: false };
            self.probing = Some((id, probe));
        }
        // More often at first: when all start at once, the seeds know no peers
        // yet.
        let starting = seq < PROBES_PER_SYNC && seq.is_power_of_two();
        let sync = starting || seq % PROBES_PER_SYNC == 1;
        let kind = if sync { MessageKind::SyncProbe } else { MessageKind::Probe };
        out.push(self.datagram(addr, kind, seq));
    }

    fn unknown_seed(&mut self) -> Option<SocketAddr> {
        let known = |addr: &SocketAddr| self.live().any(|p| p.addr == *addr);
        let unknown: Vec<_> = self.seeds.iter().copied().filter(|addr| !known(addr)).collect();
        if unknown.is_empty() {
            return None;
        }
        Some(unknown[self.rng.random_range(0..unknown.len())])
    }

    fn send_indirect_probes(&mut self, id: &HostId, probe: Probe, out: &mut Vec<Datagram>) {
        let Some(probe_addr) = self.peers.get(id).map(|p| p.addr.to_string()) else {
            return;
        };
        self.probing = Some((id.clone(), Probe { indirect_sent: true, ..probe }));
        let mut others: Vec<_> = self.live().filter(|p| p.id != *id).map(|p| p.addr).collect();
        for _ in 0..INDIRECT_PROBES.min(others.len()) {
            let to = others.swap_remove(self.rng.random_range(0..others.len()));
            let mut datagram = self.datagram(to, MessageKind::IndirectProbe, probe.seq);
            datagram.gossip.probe_addr.clone_from(&probe_addr);
            out.push(datagram);
        }
    }

    fn end_probe(&mut self, now: Instant) {
        let Some((id, _)) = self.probing.take() else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(&id)
            && peer.status == MemberStatus::Alive
        {
            peer.set_status(MemberStatus::Suspect, now);
        }
    }

    fn expire_peers(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            if peer.status == MemberStatus::Suspect && now >= peer.status_since + SUSPICION_TIMEOUT
            {
                peer.set_status(MemberStatus::Dead, now);
            }
        }
        let keep =
            |p: &Peer| p.status < MemberStatus::Dead || now < p.status_since + DEAD_RETENTION;
        self.peers.retain(|_, p| keep(p));
    }

    fn relay_probe(&mut self, from: SocketAddr, gossip: &Gossip, now: Instant) -> Vec<Datagram> {
        let Ok(addr) = gossip.probe_addr.parse() else {
            return Vec::new();
        };
        let seq = self.next_seq;
        self.next_seq += 1;
        let relay =
            Relay { seq, sender: from, sender_seq: gossip.seq, deadline: now + PROBE_PERIOD };
        self.relays.push(relay);
        vec![self.datagram(addr, MessageKind::Probe, seq)]
    }

    fn handle_ack(&mut self, seq: u64) -> Vec<Datagram> {
        if self.probing.as_ref().is_some_and(|(_, probe)| probe.seq == seq) {
            self.probing = None;
        }
        let acked: Vec<_> = self.relays.iter().copied().filter(|r| r.seq == seq).collect();
        self.relays.retain(|r| r.seq != seq);
        acked.into_iter().map(|r| self.datagram(r.sender, MessageKind::Ack, r.sender_seq)).collect()
    }
}

impl Peer {
    fn set_status(&mut self, status: MemberStatus, now: Instant) {
        self.status = status;
        self.status_since = now;
        self.times_sent = 0;
    }

    fn to_update(&self) -> MemberUpdate {
        MemberUpdate {
            id: self.id.to_string(),
            addr: self.addr.to_string(),
            data_centre: self.data_centre.to_string(),
            incarnation: self.incarnation,
            status: self.status.into(),
            config_next: self.config_next,
        }
    }
}
