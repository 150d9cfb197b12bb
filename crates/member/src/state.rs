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

use crate::Closed;
use crate::Gossip;
use crate::Kind;
use crate::Rumour;
use crate::Standing;

/// One process is probed in each period.
const PERIOD: Duration = Duration::from_secs(1);
/// A probe without an answer for this long is repeated through others.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A suspect that doesn't refute for this long is taken for dead.
const SUSPICION: Duration = Duration::from_secs(3);
/// Others that are asked to probe for us.
const INDIRECT: usize = 2;
/// Peers that hear at once of a change of the configuration.
const ANNOUNCE_TO: usize = 4;
/// Rumours on one datagram.
const RUMOURS_PER_DATAGRAM: usize = 6;
/// Rumours on a datagram that tells a newcomer of everyone, which must fit
/// into one packet.
const RUMOURS_PER_PAGE: usize = 20;
/// Closed targets on one datagram.
const CLOSED_PER_DATAGRAM: usize = 4;
/// Addresses of possible peers that are kept.
const MOST_SEEDS: usize = 512;
/// Closed targets that are still passed on.
const MOST_CLOSED: usize = 256;
/// One probe in this many goes to a process taken for dead, so that two sides
/// of a cut find each other again.
const PROBE_DEAD_EVERY: u64 = 5;
/// One probe in this many asks for the whole view, for what rumours missed.
const WHOLE_VIEW_EVERY: u64 = 20;
/// A dead process is forgotten after this long: more than an hour's cut.
const FORGET_DEAD: Duration = Duration::from_hours(2);

/// Who this process is.
#[derive(Clone, Debug)]
pub struct Me {
    /// Its name, the same over restarts.
    pub id: HostId,
    /// Where its peers reach it.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Larger than at its last start, as far as its clock goes.
    pub incarnation: u64,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub gossip: Gossip,
}

/// Another process, as this one sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub id: HostId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its incarnation.
    pub incarnation: u64,
    /// How it stands.
    pub standing: Standing,
    /// The first offset of the configuration stream that it lacks.
    pub config_next: u64,
    /// Since when it has stood so.
    since: Instant,
    /// How often this news was passed on.
    told: u32,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    seq: u64,
    direct_until: Instant,
    asked_others: bool,
}

/// An ack that is owed to one who asked us to probe.
#[derive(Clone, Copy, Debug)]
struct Relay {
    seq: u64,
    to: SocketAddr,
    their_seq: u64,
    until: Instant,
}

/// One process's view of the others.
#[derive(Debug)]
pub struct Membership {
    me: Me,
    config_next: u64,
    rng: SmallRng,
    peers: BTreeMap<HostId, Peer>,
    seeds: Vec<SocketAddr>,
    closed: BTreeMap<Closed, u32>,
    heard_closed: Vec<Closed>,
    probing: Option<(HostId, Probe)>,
    relays: Vec<Relay>,
    next_seq: u64,
    next_period: Instant,
}

impl Membership {
    /// Sets up an empty view.
    #[must_use]
    pub fn new(me: Me, seed: u64, now: Instant) -> Self {
        Self {
            me,
            config_next: 0,
            rng: SmallRng::seed_from_u64(seed),
            peers: BTreeMap::new(),
            seeds: Vec::new(),
            closed: BTreeMap::new(),
            heard_closed: Vec::new(),
            probing: None,
            relays: Vec::new(),
            next_seq: 1,
            next_period: now,
        }
    }

    /// Sets the addresses that the settings name.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|addr| *addr != self.me.addr);
    }

    /// Adds addresses that the platform's list names; those that it named
    /// before may be gone by now, and make room.
    pub fn add_seeds(&mut self, listed: &[SocketAddr]) {
        for addr in listed {
            if *addr != self.me.addr && !self.seeds.contains(addr) {
                self.seeds.push(*addr);
            }
        }
        let surplus = self.seeds.len().saturating_sub(MOST_SEEDS);
        self.seeds.drain(..surplus);
    }

    /// Notes how far this process's configuration is.
    pub fn set_config_next(&mut self, next: u64) {
        self.config_next = next;
    }

    /// Passes on that a target is leaving; false if that is known already.
    pub fn close_target(&mut self, closed: Closed) -> bool {
        if self.closed.contains_key(&closed) {
            return false;
        }
        if self.closed.len() >= MOST_CLOSED {
            let most_told = self.closed.iter().max_by_key(|(_, told)| **told);
            if let Some(key) = most_told.map(|(key, _)| key.clone()) {
                self.closed.remove(&key);
            }
        }
        self.closed.insert(closed, 0);
        true
    }

    /// Takes out the closed targets that were heard of since the last call.
    pub fn take_heard_closed(&mut self) -> Vec<Closed> {
        std::mem::take(&mut self.heard_closed)
    }

    /// Lists the peers, whatever their standing.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Lists the peers that are alive, or suspected and not yet given up.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|p| p.standing <= Standing::Suspect)
    }

    /// Tells when `tick` wants to be called next.
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        let probe = self.probing.as_ref().filter(|(_, p)| !p.asked_others);
        probe.map_or(self.next_period, |(_, p)| p.direct_until.min(self.next_period))
    }

    /// Does what is due by now and gives the datagrams to send.
    pub fn tick(&mut self, now: Instant) -> Vec<Datagram> {
        let mut out = Vec::new();
        self.relays.retain(|relay| now < relay.until);
        if let Some((id, probe)) = self.probing.clone()
            && now >= probe.direct_until
            && !probe.asked_others
        {
            self.ask_others(&id, probe, &mut out);
        }
        if now >= self.next_period {
            self.next_period = now + PERIOD;
            self.end_probe(now);
            self.age(now);
            self.begin_probe(now, &mut out);
        }
        out
    }

    /// Takes a datagram in and gives the ones to send.
    pub fn receive(&mut self, from: SocketAddr, gossip: &Gossip, now: Instant) -> Vec<Datagram> {
        let newcomer = gossip.from.as_ref().is_some_and(|sender| self.is_news(&sender.id));
        for rumour in gossip.from.iter().chain(&gossip.rumours) {
            self.hear(rumour, now);
        }
        for closed in &gossip.closed {
            if self.close_target(closed.clone()) {
                self.heard_closed.push(closed.clone());
            }
        }
        match gossip.kind() {
            Kind::Probe if !newcomer => vec![self.datagram(from, Kind::Ack, gossip.seq)],
            Kind::Probe | Kind::ProbeWhole => {
                let mut out = vec![self.datagram(from, Kind::Ack, gossip.seq)];
                out.extend(self.whole_view(from));
                out
            }
            Kind::ProbeFor => self.probe_for(from, gossip, now),
            Kind::Ack => self.acked(gossip.seq),
        }
    }

    /// Builds the datagrams that spread a change of the configuration at once,
    /// rather than with the probes of the next periods.
    pub fn announce(&mut self) -> Vec<Datagram> {
        let mut to: Vec<_> = self.live().map(|p| p.addr).collect();
        let mut out = Vec::new();
        for _ in 0..ANNOUNCE_TO.min(to.len()) {
            let addr = to.swap_remove(self.rng.random_range(0..to.len()));
            out.push(self.datagram(addr, Kind::Ack, 0));
        }
        out
    }

    /// Builds the farewells before a planned stop.
    pub fn leave(&mut self) -> Vec<Datagram> {
        let to: Vec<_> = self.live().map(|p| p.addr).take(2 * RUMOURS_PER_DATAGRAM).collect();
        let mut farewell = self.datagram(self.me.addr, Kind::Ack, 0);
        if let Some(from) = &mut farewell.gossip.from {
            from.set_standing(Standing::Left);
        }
        to.into_iter().map(|to| Datagram { to, gossip: farewell.gossip.clone() }).collect()
    }

    fn self_rumour(&self) -> Rumour {
        Rumour {
            id: self.me.id.to_string(),
            addr: self.me.addr.to_string(),
            data_centre: self.me.data_centre.to_string(),
            incarnation: self.me.incarnation,
            standing: Standing::Alive.into(),
            config_next: self.config_next,
        }
    }

    fn datagram(&mut self, to: SocketAddr, kind: Kind, seq: u64) -> Datagram {
        let most_told = self.most_told();
        let mut rumours = self.fresh_rumours(most_told);
        // One that is wrongly taken for gone must hear of it to refute it.
        let doubted = self.peers.values().find(|p| p.addr == to && p.standing != Standing::Alive);
        rumours.extend(doubted.map(Peer::rumour));
        let gossip = Gossip {
            kind: kind.into(),
            seq,
            from: Some(self.self_rumour()),
            about: String::new(),
            rumours,
            closed: self.fresh_closed(most_told),
        };
        Datagram { to, gossip }
    }

    /// Whether a process was unknown or taken for gone until now.
    fn is_news(&self, id: &str) -> bool {
        self.peers.get(id).is_none_or(|p| p.standing >= Standing::Dead)
    }

    /// Tells a newcomer of everyone at once. By the rumours that ride on
    /// probes alone it would take minutes to hear of hundreds.
    fn whole_view(&self, to: SocketAddr) -> Vec<Datagram> {
        let rumours: Vec<_> = self.live().filter(|p| p.addr != to).map(Peer::rumour).collect();
        let page = |rumours: &[Rumour]| Gossip {
            kind: Kind::Ack.into(),
            seq: 0,
            from: Some(self.self_rumour()),
            about: String::new(),
            rumours: rumours.to_vec(),
            closed: Vec::new(),
        };
        let pages = rumours.chunks(RUMOURS_PER_PAGE);
        pages.map(|rumours| Datagram { to, gossip: page(rumours) }).collect()
    }

    /// News is passed on a few times the logarithm of the number of peers:
    /// enough for all to hear it, and no more.
    fn most_told(&self) -> u32 {
        let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        3 * (u32::BITS - peers.leading_zeros()).max(1)
    }

    fn fresh_rumours(&mut self, most_told: u32) -> Vec<Rumour> {
        let mut fresh: Vec<_> = self.peers.values_mut().filter(|p| p.told < most_told).collect();
        fresh.sort_by_key(|p| p.told);
        fresh.truncate(RUMOURS_PER_DATAGRAM);
        let tell = |p: &mut Peer| {
            p.told += 1;
            p.rumour()
        };
        fresh.into_iter().map(tell).collect()
    }

    fn fresh_closed(&mut self, most_told: u32) -> Vec<Closed> {
        let mut fresh: Vec<_> = self.closed.iter_mut().filter(|(_, t)| **t < most_told).collect();
        fresh.sort_by_key(|(_, told)| **told);
        fresh.truncate(CLOSED_PER_DATAGRAM);
        let tell = |(closed, told): (&Closed, &mut u32)| {
            *told += 1;
            closed.clone()
        };
        fresh.into_iter().map(tell).collect()
    }

    fn hear(&mut self, rumour: &Rumour, now: Instant) {
        if rumour.id == self.me.id {
            self.hear_of_me(rumour);
            return;
        }
        let Some(addr) = rumour.socket() else {
            return;
        };
        let heard = Peer {
            id: SmolStr::new(&rumour.id),
            addr,
            data_centre: SmolStr::new(&rumour.data_centre),
            incarnation: rumour.incarnation,
            standing: rumour.standing(),
            config_next: rumour.config_next,
            since: now,
            told: 0,
        };
        match self.peers.get_mut(rumour.id.as_str()) {
            Some(known) if rumour.beats(known.incarnation, known.standing) => *known = heard,
            Some(known) => known.config_next = known.config_next.max(heard.config_next),
            None if heard.standing <= Standing::Suspect => {
                self.peers.insert(heard.id.clone(), heard);
            }
            None => {}
        }
    }

    /// A rumour that we are gone, or an old run of ours with a later clock, is
    /// outbid.
    fn hear_of_me(&mut self, rumour: &Rumour) {
        let gone = rumour.standing() != Standing::Alive;
        let ahead = rumour.incarnation > self.me.incarnation;
        if ahead || (gone && rumour.incarnation == self.me.incarnation) {
            self.me.incarnation = rumour.incarnation + 1;
        }
    }

    fn begin_probe(&mut self, now: Instant, out: &mut Vec<Datagram>) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if let Some(addr) = self.unknown_seed() {
            out.push(self.datagram(addr, Kind::Probe, seq));
        }
        let probe_dead = seq.is_multiple_of(PROBE_DEAD_EVERY);
        let wanted = |p: &&Peer| (p.standing >= Standing::Dead) == probe_dead;
        let candidates: Vec<_> = self.peers.values().filter(wanted).collect();
        if candidates.is_empty() {
            return;
        }
        let peer = candidates[self.rng.random_range(0..candidates.len())];
        let (id, addr) = (peer.id.clone(), peer.addr);
        if !probe_dead {
            let probe = Probe { seq, direct_until: now + DIRECT_TIMEOUT, asked_others: false };
            self.probing = Some((id, probe));
        }
        // More often at first: where all start at once, the seeds know nobody.
        let starting = seq < WHOLE_VIEW_EVERY && seq.is_power_of_two();
        let whole = starting || seq % WHOLE_VIEW_EVERY == 1;
        let kind = if whole { Kind::ProbeWhole } else { Kind::Probe };
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

    fn ask_others(&mut self, id: &HostId, probe: Probe, out: &mut Vec<Datagram>) {
        let Some(about) = self.peers.get(id).map(|p| p.addr.to_string()) else {
            return;
        };
        self.probing = Some((id.clone(), Probe { asked_others: true, ..probe }));
        let mut others: Vec<_> = self.live().filter(|p| p.id != *id).map(|p| p.addr).collect();
        for _ in 0..INDIRECT.min(others.len()) {
            let to = others.swap_remove(self.rng.random_range(0..others.len()));
            let mut datagram = self.datagram(to, Kind::ProbeFor, probe.seq);
            datagram.gossip.about.clone_from(&about);
            out.push(datagram);
        }
    }

    fn end_probe(&mut self, now: Instant) {
        let Some((id, _)) = self.probing.take() else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(&id)
            && peer.standing == Standing::Alive
        {
            peer.becomes(Standing::Suspect, now);
        }
    }

    fn age(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            if peer.standing == Standing::Suspect && now >= peer.since + SUSPICION {
                peer.becomes(Standing::Dead, now);
            }
        }
        let kept = |p: &Peer| p.standing < Standing::Dead || now < p.since + FORGET_DEAD;
        self.peers.retain(|_, p| kept(p));
    }

    fn probe_for(&mut self, from: SocketAddr, gossip: &Gossip, now: Instant) -> Vec<Datagram> {
        let Ok(about) = gossip.about.parse() else {
            return Vec::new();
        };
        let seq = self.next_seq;
        self.next_seq += 1;
        let relay = Relay { seq, to: from, their_seq: gossip.seq, until: now + PERIOD };
        self.relays.push(relay);
        vec![self.datagram(about, Kind::Probe, seq)]
    }

    fn acked(&mut self, seq: u64) -> Vec<Datagram> {
        if self.probing.as_ref().is_some_and(|(_, probe)| probe.seq == seq) {
            self.probing = None;
        }
        let owed: Vec<_> = self.relays.iter().copied().filter(|r| r.seq == seq).collect();
        self.relays.retain(|r| r.seq != seq);
        owed.into_iter().map(|r| self.datagram(r.to, Kind::Ack, r.their_seq)).collect()
    }
}

impl Peer {
    fn becomes(&mut self, standing: Standing, now: Instant) {
        self.standing = standing;
        self.since = now;
        self.told = 0;
    }

    fn rumour(&self) -> Rumour {
        Rumour {
            id: self.id.to_string(),
            addr: self.addr.to_string(),
            data_centre: self.data_centre.to_string(),
            incarnation: self.incarnation,
            standing: self.standing.into(),
            config_next: self.config_next,
        }
    }
}
