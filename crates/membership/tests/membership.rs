//! Membership of many processes with lost datagrams, network partitions and
//! restarts, in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_membership::ClosedTarget;
use cassia_membership::Datagram;
use cassia_membership::Gossip;
use cassia_membership::LocalMember;
use cassia_membership::MemberStatus;
use cassia_membership::Membership;
use prost::Message;

const TICK: Duration = Duration::from_millis(100);

/// Processes whose datagrams arrive at once, unless they are lost.
struct Cluster {
    now: Instant,
    members: BTreeMap<SocketAddr, Membership>,
    /// One side of a network partition.
    partitioned: Vec<SocketAddr>,
    /// The first configuration offset that each process lacks.
    config_next: BTreeMap<SocketAddr, u64>,
    /// One datagram in this many is lost; none if it is 0.
    lose_every: u64,
    sent: u64,
    bytes: u64,
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, u8::try_from(i / 256).unwrap_or(0), u8::try_from(i % 256).unwrap_or(0)],
        7,
    ))
}

fn member(i: usize, incarnation: u64, now: Instant) -> Membership {
    let local = LocalMember {
        id: format!("h{i}/entry").into(),
        addr: addr(i),
        data_centre: format!("dc{}", i % 8).into(),
        incarnation,
    };
    let mut membership = Membership::new(local, i as u64 + incarnation, now);
    membership.set_seeds(vec![addr(0), addr(1)]);
    membership
}

impl Cluster {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let members = (0..count).map(|i| (addr(i), member(i, 1, now))).collect();
        Self {
            now,
            members,
            partitioned: Vec::new(),
            config_next: BTreeMap::new(),
            lose_every: 0,
            sent: 0,
            bytes: 0,
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            let now = self.now;
            let mut out = Vec::new();
            for (&from, member) in &mut self.members {
                if now >= member.next_tick() {
                    out.extend(member.tick(now).into_iter().map(|d| (from, d)));
                }
            }
            self.deliver(out);
            self.now += TICK;
        }
    }

    fn deliver(&mut self, mut out: Vec<(SocketAddr, Datagram)>) {
        while let Some((from, datagram)) = out.pop() {
            self.sent += 1;
            self.bytes += datagram.gossip.encoded_len() as u64;
            let lost = self.lose_every > 0 && self.sent.is_multiple_of(self.lose_every);
            let blocked =
                self.partitioned.contains(&from) != self.partitioned.contains(&datagram.to);
            if lost || blocked {
                continue;
            }
            let to = datagram.to;
            if let Some(member) = self.members.get_mut(&to) {
                let replies = member.receive(from, &datagram.gossip, self.now);
                out.extend(replies.into_iter().map(|d| (to, d)));
            }
            let next = datagram.gossip.sender.map_or(0, |sender| sender.config_next);
            if next > self.config_next.get(&to).copied().unwrap_or(0) {
                out.extend(self.learn_config(to, next));
            }
        }
    }

    fn change_config(&mut self, at: SocketAddr, next: u64) {
        for &member in self.members.keys() {
            self.config_next.insert(member, 0);
        }
        let out = self.learn_config(at, next);
        self.deliver(out);
    }

    /// Gives a member the changed configuration, and returns the datagrams
    /// that announce it.
    fn learn_config(&mut self, at: SocketAddr, next: u64) -> Vec<(SocketAddr, Datagram)> {
        self.config_next.insert(at, next);
        let Some(member) = self.members.get_mut(&at) else {
            return Vec::new();
        };
        member.set_config_next(next);
        member.announce().into_iter().map(|d| (at, d)).collect()
    }

    fn live_peers(&self, i: usize) -> usize {
        self.members[&addr(i)].live().count()
    }

    fn all_see_peers(&self, count: usize) -> bool {
        self.members.values().all(|m| m.live().count() == count)
    }
}

#[test]
fn processes_find_each_other_and_detect_a_failure() {
    let mut cluster = Cluster::new(18);
    cluster.run(Duration::from_secs(15));
    assert!(cluster.all_see_peers(17));
    cluster.members.remove(&addr(7));
    cluster.run(Duration::from_secs(20));
    assert!(cluster.all_see_peers(16));
}

#[test]
fn planned_stop_is_seen_at_once() {
    let mut cluster = Cluster::new(6);
    cluster.run(Duration::from_secs(10));
    let out = cluster.members.get_mut(&addr(3)).map(Membership::leave).unwrap_or_default();
    cluster.members.remove(&addr(3));
    cluster.deliver(out.into_iter().map(|d| (addr(3), d)).collect());
    assert!(cluster.all_see_peers(4));
}

#[test]
fn restarted_process_replaces_its_earlier_run() {
    let mut cluster = Cluster::new(6);
    cluster.run(Duration::from_secs(10));
    cluster.members.insert(addr(3), member(3, 1_000, cluster.now));
    cluster.run(Duration::from_secs(10));
    let others = cluster.members.iter().filter(|(a, _)| **a != addr(3));
    for (_, m) in others {
        let peer = m.peers().find(|p| p.id == "h3/entry").expect("it is known");
        assert_eq!((peer.incarnation, peer.status), (1_000, MemberStatus::Alive));
    }
}

#[test]
fn process_restarted_with_an_earlier_clock_rejoins() {
    let mut cluster = Cluster::new(6);
    cluster.members.insert(addr(3), member(3, 9_000, cluster.now));
    cluster.run(Duration::from_secs(10));
    cluster.members.remove(&addr(3));
    cluster.run(Duration::from_secs(20));
    assert!(!cluster.members[&addr(0)].live().any(|p| p.id == "h3/entry"));
    cluster.members.insert(addr(3), member(3, 5, cluster.now));
    cluster.run(Duration::from_secs(30));
    assert!(cluster.all_see_peers(5));
}

#[test]
fn lost_datagrams_do_not_exclude_processes() {
    let mut cluster = Cluster::new(18);
    cluster.lose_every = 5;
    cluster.run(Duration::from_mins(1));
    // A member may be suspected at any moment, but none stays so.
    let seen: usize = (0..18).map(|i| cluster.live_peers(i)).sum();
    assert!(seen >= 18 * 17 - 6, "{seen}");
}

#[test]
fn both_sides_of_an_hour_long_partition_find_each_other_again() {
    let mut cluster = Cluster::new(12);
    cluster.run(Duration::from_secs(15));
    cluster.partitioned = (6..12).map(addr).collect();
    cluster.run(Duration::from_hours(1));
    assert!(cluster.all_see_peers(5));
    cluster.partitioned.clear();
    cluster.run(Duration::from_mins(1));
    assert!(cluster.all_see_peers(11));
}

#[test]
fn closed_target_is_known_everywhere_within_seconds() {
    let mut cluster = Cluster::new(18);
    cluster.run(Duration::from_secs(15));
    let closed = ClosedTarget { target: "e1".into(), incarnation: 4 };
    if let Some(m) = cluster.members.get_mut(&addr(5)) {
        m.close_target(closed.clone());
    }
    cluster.run(Duration::from_secs(8));
    for (at, m) in &mut cluster.members {
        let received = m.take_closed_targets();
        assert!(*at == addr(5) || received == [closed.clone()], "{at} received {received:?}");
    }
}

#[test]
fn cost_with_360_members_is_within_budget() {
    let mut cluster = Cluster::new(360);
    cluster.run(Duration::from_mins(2));
    assert!(cluster.all_see_peers(359));
    (cluster.sent, cluster.bytes) = (0, 0);
    cluster.run(Duration::from_secs(20));
    // Sent per member and second, with 28 bytes of headers per datagram.
    let bytes_per_second = (cluster.bytes + 28 * cluster.sent) / 360 / 20;
    assert!(bytes_per_second <= 13_000, "{bytes_per_second} bytes per second");

    // A change of the configuration, with one datagram in five lost.
    cluster.lose_every = 5;
    cluster.change_config(addr(123), 1);
    let changed_at = cluster.now;
    while !cluster.config_next.values().all(|&next| next == 1) {
        cluster.run(TICK);
        let took = cluster.now - changed_at;
        assert!(took < Duration::from_secs(8), "not known everywhere after {took:?}");
    }
}

#[test]
fn foreign_datagrams_are_rejected_or_harmless() {
    let mut cluster = Cluster::new(2);
    cluster.run(Duration::from_secs(5));
    for bytes in [&b""[..], b"\x00\x01\x02", b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64]] {
        if let Ok(gossip) = Gossip::decode(bytes) {
            let now = cluster.now;
            let m = cluster.members.get_mut(&addr(0)).expect("a member");
            m.receive(addr(9), &gossip, now);
        }
    }
    assert!(cluster.all_see_peers(1));
}
