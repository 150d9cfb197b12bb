//! Contests for one lease, with pauses, lost answers, slow reads and outages.
//!
//! The log is a vector; time is counted in steps of a tenth of a term. What is
//! checked is the truth at one moment, which no contender sees.

use std::time::Duration;
use std::time::Instant;

use cassia_follow::Replica;
use cassia_follow::StateMachine;
use cassia_lease::Contender;
use cassia_lease::LeaseOp;
use cassia_lease::LeaseRecord;
use cassia_lease::LeaseTable;
use cassia_lease::NextOp;
use cassia_lease::OpKind;
use cassia_lease::OpOutcome;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TERM: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_secs(1);

/// What happens to one contender in one step of time.
#[derive(Clone, Copy, Debug)]
enum Turn {
    /// It reads, decides and appends.
    Works,
    /// As before, but its append takes effect only some steps later.
    AppendsLate(usize),
    /// As before, but its append is lost.
    AppendIsLost,
    /// It decides without having read: the log's reads fail.
    Blind,
    /// It does nothing: it is paused.
    Paused,
}

struct Racer {
    contender: Contender,
    follow: Replica<LeaseTable>,
}

struct World {
    log: Vec<LeaseRecord>,
    /// Appends on their way, with the step at which they take effect.
    under_way: Vec<(usize, LeaseRecord)>,
    racers: Vec<Racer>,
    start: Instant,
}

impl World {
    fn new(racers: usize) -> Self {
        let start = Instant::now();
        let racer = |i: usize| Racer {
            contender: Contender::new(
                "orders".into(),
                format!("h{i}").into(),
                i as u64,
                TERM,
                start,
            ),
            follow: Replica::default(),
        };
        let racers = (0..racers).map(racer).collect();
        Self { log: Vec::new(), under_way: Vec::new(), racers, start }
    }

    fn now(&self, step: usize) -> Instant {
        self.start + STEP * u32::try_from(step).unwrap_or(u32::MAX)
    }

    fn land(&mut self, step: usize) {
        let (landed, rest): (Vec<_>, Vec<_>) =
            self.under_way.drain(..).partition(|(at, _)| *at <= step);
        self.log.extend(landed.into_iter().map(|(_, record)| record));
        self.under_way = rest;
    }

    fn turn(&mut self, step: usize, i: usize, turn: Turn) {
        let now = self.now(step);
        let racer = &mut self.racers[i];
        if matches!(turn, Turn::Paused) {
            return;
        }
        if !matches!(turn, Turn::Blind) {
            let next = usize::try_from(racer.follow.state().next_offset()).unwrap_or(usize::MAX);
            for (offset, record) in self.log.iter().enumerate().skip(next) {
                racer.follow.apply(0, offset as u64, Some(record));
            }
        }
        let NextOp::Append(act) = racer.contender.step(now, racer.follow.state()) else {
            return;
        };
        let record = LeaseRecord::Op(act);
        match turn {
            Turn::AppendsLate(late) => self.under_way.push((step + late, record)),
            Turn::AppendIsLost => {}
            Turn::Works | Turn::Blind | Turn::Paused => self.log.push(record),
        }
    }

    /// Who holds the lease at this moment, each by its own word.
    fn holders(&self, step: usize) -> Vec<(usize, u64)> {
        let now = self.now(step);
        let fences = self.racers.iter().map(|racer| racer.contender.fence(now));
        fences.enumerate().filter_map(|(i, fence)| fence.map(|fence| (i, fence))).collect()
    }

    fn run(&mut self, turns: &[Vec<Turn>]) {
        let mut newest = None;
        for (step, turns) in turns.iter().enumerate() {
            self.land(step);
            for (i, &turn) in turns.iter().enumerate() {
                self.turn(step, i, turn);
                let holders = self.holders(step);
                assert!(holders.len() <= 1, "two holders at step {step}: {holders:?}");
                let fence = holders.first().map(|&(_, fence)| fence);
                assert!(fence.is_none() || fence >= newest, "the fence went back");
                newest = newest.max(fence);
            }
        }
    }
}

fn turn() -> impl Strategy<Value = Turn> {
    prop_oneof![
        6 => Just(Turn::Works),
        2 => (1..25_usize).prop_map(Turn::AppendsLate),
        1 => Just(Turn::AppendIsLost),
        2 => Just(Turn::Blind),
        3 => Just(Turn::Paused),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn there_is_one_holder_at_most_and_fences_only_rise(
        turns in proptest::collection::vec(proptest::collection::vec(turn(), 3), 1..120),
    ) {
        World::new(3).run(&turns);
    }
}

#[test]
fn all_short_contests_of_two_hold() {
    // Each digit is a pair of turns that lasts half a term.
    let kinds = [Turn::Works, Turn::AppendsLate(7), Turn::Blind, Turn::Paused];
    let pairs: Vec<_> = kinds.iter().flat_map(|&a| kinds.map(|b| vec![a, b])).collect();
    for code in 0..pairs.len().pow(3) {
        let digit = |i| pairs[code / pairs.len().pow(i) % pairs.len()].clone();
        let first = vec![vec![Turn::Works, Turn::Works]; 12];
        let rest = (0..3).flat_map(|i| vec![digit(i); 6]);
        World::new(2).run(&first.into_iter().chain(rest).collect::<Vec<_>>());
    }
}

#[test]
fn a_holder_that_goes_on_by_its_answers_would_overlap_with_its_successor() {
    // The naive way, a term counted from the moment when the holder learns of
    // its renewal. It renews at 0 and is paused until 9; a challenger sees the
    // record at 1 and claims at 11, and the holder believes in its own until 19.
    let learned = 9;
    let naive_until = learned + TERM.as_secs();
    let challenger = 1 + TERM.as_secs();
    assert!(naive_until > challenger);
    // The chosen way on the same history: the holder lets go at 10.
    let mut turns = vec![vec![Turn::Works, Turn::Works]; 12];
    turns.extend(vec![vec![Turn::Paused, Turn::Works]; 9]);
    turns.extend(vec![vec![Turn::Works, Turn::Works]; 12]);
    World::new(2).run(&turns);
}

#[test]
fn without_the_superseded_record_a_late_claim_would_take_the_lease_away() {
    let act = |boot, nonce, kind| {
        LeaseRecord::Op(LeaseOp {
            resource: "orders".into(),
            holder: "h".into(),
            boot,
            nonce,
            kind,
            quiesced: false,
        })
    };
    let mut table = LeaseTable::default();
    let mut apply = |record| {
        let next = table.next_offset();
        table.apply(next, Some(&record))
    };
    assert_eq!(apply(act(1, 0, OpKind::Claim { supersedes: None })), OpOutcome::Accepted);
    // A claim from before that, held up on its way.
    assert_eq!(apply(act(2, 0, OpKind::Claim { supersedes: None })), OpOutcome::Refused);
    assert_eq!(apply(act(1, 1, OpKind::Renew { fence: 0 })), OpOutcome::Accepted);
    // A challenger that saw the claim and not the renewal.
    assert_eq!(apply(act(2, 1, OpKind::Claim { supersedes: Some(0) })), OpOutcome::Refused);
    assert_eq!(apply(act(2, 2, OpKind::Claim { supersedes: Some(2) })), OpOutcome::Accepted);
    // The old holder wakes: neither renewing nor releasing is its any more.
    assert_eq!(apply(act(1, 2, OpKind::Renew { fence: 0 })), OpOutcome::Refused);
    assert_eq!(apply(act(1, 3, OpKind::Release { fence: 0 })), OpOutcome::Refused);
    assert_eq!(table.get("orders").map(|l| (l.boot, l.fence)), Some((2, 4)));
}

#[test]
fn in_an_outage_the_holder_lets_go_and_nobody_takes_over() {
    let mut world = World::new(2);
    world.run(&vec![vec![Turn::Works, Turn::Works]; 12]);
    let holder = world.holders(11);
    assert_eq!(holder.len(), 1);
    let outage = vec![vec![Turn::AppendIsLost, Turn::AppendIsLost]; 30];
    for (step, turns) in (12..).zip(&outage) {
        for (i, &turn) in turns.iter().enumerate() {
            world.turn(step, i, turn);
            assert!(world.holders(step).iter().all(|h| *h == holder[0]));
        }
    }
    assert!(world.holders(42).is_empty());
    // After it somebody holds the lease again.
    for step in 43..70 {
        for i in 0..2 {
            world.turn(step, i, Turn::Works);
        }
    }
    assert_eq!(world.holders(69).len(), 1);
}

#[test]
fn those_of_lower_rank_claim_first() {
    let mut world = World::new(3);
    for (i, rank) in [2, 0, 1].into_iter().enumerate() {
        world.racers[i].contender.set_rank(rank);
    }
    world.run(&vec![vec![Turn::Works; 3]; 20]);
    assert_eq!(world.holders(19).iter().map(|h| h.0).collect::<Vec<_>>(), [1]);
}

#[test]
fn a_released_lease_is_taken_at_once() {
    let mut world = World::new(2);
    world.run(&vec![vec![Turn::Works, Turn::Paused]; 12]);
    let now = world.now(12);
    let act = world.racers[0].contender.release(now).expect("the holder lets go");
    world.log.push(LeaseRecord::Op(act));
    world.turn(12, 1, Turn::Works);
    world.turn(13, 1, Turn::Works);
    assert_eq!(world.holders(13).iter().map(|h| h.0).collect::<Vec<_>>(), [1]);
}

#[test]
fn after_a_reset_a_term_passes_before_anyone_claims() {
    let mut world = World::new(2);
    world.run(&vec![vec![Turn::Works, Turn::Works]; 12]);
    assert_eq!(world.holders(11).len(), 1);
    world.log.push(LeaseRecord::Reset);
    for step in 12..40 {
        for i in 0..2 {
            world.turn(step, i, Turn::Works);
            assert!(world.holders(step).len() <= 1, "two holders at step {step}");
        }
    }
    assert_eq!(world.holders(39).len(), 1);
}

#[test]
fn a_newcomer_without_the_older_records_agrees_after_a_snapshot_or_a_reset() {
    let mut world = World::new(1);
    world.run(&vec![vec![Turn::Works]; 30]);
    let table = world.racers[0].follow.state().clone();
    let first = world.log.len() as u64;
    let mut newcomer = Replica::<LeaseTable>::default();
    newcomer.set_bounds(first, first);
    assert!(newcomer.has_gap());
    newcomer.apply(first, first, Some(&LeaseRecord::Snapshot { table: table.clone() }));
    let mut full = Replica::<LeaseTable>::default();
    full.install(&table);
    full.apply(first, first, Some(&LeaseRecord::Snapshot { table }));
    assert_eq!(newcomer.state(), full.state());
    newcomer.apply(first, first + 1, Some(&LeaseRecord::Reset));
    full.apply(first, first + 1, Some(&LeaseRecord::Reset));
    assert_eq!(newcomer.state(), full.state());
    assert!(full.state().get("orders").is_none());
}
