//! Membership of many processes, over datagrams that are lost, cuts and
//! restarts. Time is virtual.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_member::Closed;
use cassia_member::Datagram;
use cassia_member::Gossip;
use cassia_member::Me;
use cassia_member::Membership;
use cassia_member::Standing;
use prost::Message;

const TICK: Duration = Duration::from_millis(100);

/// Processes that pass datagrams on at once, unless they are lost.
struct Field {
    now: Instant,
    members: BTreeMap<SocketAddr, Membership>,
    /// Processes in the second half of a cut.
    cut_off: Vec<SocketAddr>,
    /// How far each one's configuration is.
    config_next: BTreeMap<SocketAddr, u64>,
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
    let me = Me {
        id: format!("h{i}/entry").into(),
        addr: addr(i),
        data_centre: format!("dc{}", i % 8).into(),
        incarnation,
    };
    let mut membership = Membership::new(me, i as u64 + incarnation, now);
    membership.set_seeds(vec![addr(0), addr(1)]);
    membership
}

impl Field {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let members = (0..count).map(|i| (addr(i), member(i, 1, now))).collect();
        Self {
            now,
            members,
            cut_off: Vec::new(),
            config_next: BTreeMap::new(),
            lose_every: 0,
            sent: 0,
            bytes: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
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
            let cut = self.cut_off.contains(&from) != self.cut_off.contains(&datagram.to);
            if lost || cut {
                continue;
            }
            let to = datagram.to;
            if let Some(member) = self.members.get_mut(&to) {
                let answers = member.receive(from, &datagram.gossip, self.now);
                out.extend(answers.into_iter().map(|d| (to, d)));
            }
            let told = datagram.gossip.from.map_or(0, |sender| sender.config_next);
            if told > self.config_next.get(&to).copied().unwrap_or(0) {
                out.extend(self.learn(to, told));
            }
        }
    }

    fn config_changes(&mut self, at: SocketAddr, next: u64) {
        for &member in self.members.keys() {
            self.config_next.insert(member, 0);
        }
        let out = self.learn(at, next);
        self.deliver(out);
    }

    /// A member fetches the change, and tells others of it.
    fn learn(&mut self, at: SocketAddr, next: u64) -> Vec<(SocketAddr, Datagram)> {
        self.config_next.insert(at, next);
        let Some(member) = self.members.get_mut(&at) else {
            return Vec::new();
        };
        member.set_config_next(next);
        member.announce().into_iter().map(|d| (at, d)).collect()
    }

    fn live(&self, of: usize) -> usize {
        self.members[&addr(of)].live().count()
    }

    fn all_see(&self, count: usize) -> bool {
        self.members.values().all(|m| m.live().count() == count)
    }
}

#[test]
fn all_find_each_other_and_one_that_dies_is_noticed() {
    let mut field = Field::new(18);
    field.run(Duration::from_secs(15));
    assert!(field.all_see(17));
    field.members.remove(&addr(7));
    field.run(Duration::from_secs(20));
    assert!(field.all_see(16));
}

#[test]
fn one_that_stops_as_planned_is_gone_at_once() {
    let mut field = Field::new(6);
    field.run(Duration::from_secs(10));
    let farewells = field.members.get_mut(&addr(3)).map(Membership::leave).unwrap_or_default();
    field.members.remove(&addr(3));
    field.deliver(farewells.into_iter().map(|d| (addr(3), d)).collect());
    assert!(field.all_see(4));
}

#[test]
fn a_restarted_process_replaces_its_former_run() {
    let mut field = Field::new(6);
    field.run(Duration::from_secs(10));
    field.members.insert(addr(3), member(3, 1_000, field.now));
    field.run(Duration::from_secs(10));
    let others = field.members.iter().filter(|(a, _)| **a != addr(3));
    for (_, m) in others {
        let peer = m.peers().find(|p| p.id == "h3/entry").expect("it is known");
        assert_eq!((peer.incarnation, peer.standing), (1_000, Standing::Alive));
    }
}

#[test]
fn a_restart_with_a_clock_that_went_back_is_not_shut_out() {
    let mut field = Field::new(6);
    field.members.insert(addr(3), member(3, 9_000, field.now));
    field.run(Duration::from_secs(10));
    field.members.remove(&addr(3));
    field.run(Duration::from_secs(20));
    assert!(!field.members[&addr(0)].live().any(|p| p.id == "h3/entry"));
    field.members.insert(addr(3), member(3, 5, field.now));
    field.run(Duration::from_secs(30));
    assert!(field.all_see(5));
}

#[test]
fn lost_datagrams_leave_nobody_out() {
    let mut field = Field::new(18);
    field.lose_every = 5;
    field.run(Duration::from_mins(1));
    // At any one moment a member may be doubted; none stays so.
    let seen: usize = (0..18).map(|i| field.live(i)).sum();
    assert!(seen >= 18 * 17 - 6, "{seen}");
}

#[test]
fn both_sides_of_an_hours_cut_find_each_other_again() {
    let mut field = Field::new(12);
    field.run(Duration::from_secs(15));
    field.cut_off = (6..12).map(addr).collect();
    field.run(Duration::from_hours(1));
    assert!(field.all_see(5));
    field.cut_off.clear();
    field.run(Duration::from_mins(1));
    assert!(field.all_see(11));
}

#[test]
fn a_closed_target_is_known_everywhere_within_seconds() {
    let mut field = Field::new(18);
    field.run(Duration::from_secs(15));
    let closed = Closed { target: "e1".into(), incarnation: 4 };
    if let Some(m) = field.members.get_mut(&addr(5)) {
        m.close_target(closed.clone());
    }
    field.run(Duration::from_secs(8));
    for (at, m) in &mut field.members {
        let heard = m.take_heard_closed();
        assert!(*at == addr(5) || heard == [closed.clone()], "{at} heard {heard:?}");
    }
}

#[test]
fn at_360_members_the_cost_stays_within_its_budget() {
    let mut field = Field::new(360);
    field.run(Duration::from_mins(2));
    assert!(field.all_see(359));
    (field.sent, field.bytes) = (0, 0);
    field.run(Duration::from_secs(20));
    // Sent by one member a second, with 28 bytes of headers for each datagram.
    let a_second = (field.bytes + 28 * field.sent) / 360 / 20;
    assert!(a_second <= 13_000, "{a_second} bytes a second");

    // A change of the configuration, with one datagram in five lost.
    field.lose_every = 5;
    field.config_changes(addr(123), 1);
    let changed = field.now;
    while !field.config_next.values().all(|&next| next == 1) {
        field.run(TICK);
        let took = field.now - changed;
        assert!(took < Duration::from_secs(8), "not known everywhere after {took:?}");
    }
}

#[test]
fn a_datagram_of_anyone_else_is_no_gossip_or_harmless() {
    let mut field = Field::new(2);
    field.run(Duration::from_secs(5));
    for bytes in [&b""[..], b"\x00\x01\x02", b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64]] {
        if let Ok(gossip) = Gossip::decode(bytes) {
            let now = field.now;
            let m = field.members.get_mut(&addr(0)).expect("a member");
            m.receive(addr(9), &gossip, now);
        }
    }
    assert!(field.all_see(1));
}
