//! A request runs at most once per ticket, and its reported status is correct,
//! despite retries at any host, restarts and lost responses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_tickets::Limits;
use cassia_tickets::Outcome;
use cassia_tickets::Redeemed;
use cassia_tickets::TargetResponse;
use cassia_tickets::Ticket;
use cassia_tickets::TicketStore;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn addr(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + u16::try_from(host).unwrap_or(0)))
}

fn store(host: usize, boot: u64, now: Instant) -> TicketStore {
    TicketStore::new(addr(host), boot, [u8::try_from(boot % 251).unwrap_or(0); 32], now)
}

fn answered(body: &[u8]) -> Outcome {
    Outcome::Answered(Arc::new(TargetResponse { status: 200, body: body.to_vec() }))
}

/// One event in a simulation of two hosts.
#[derive(Clone, Copy, Debug)]
enum Event {
    Mint {
        host: usize,
    },
    /// A ticket is redeemed at a host, which forwards it to the minter if
    /// needed.
    Redeem {
        ticket: usize,
        host: usize,
    },
    /// The oldest running request ends: 0 not run, 1 answered, else unknown.
    End {
        outcome: u8,
    },
    Restart {
        host: usize,
    },
    Wait {
        seconds: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..2_usize).prop_map(|host| Event::Mint { host }),
        6 => (0..6_usize, 0..2_usize).prop_map(|(ticket, host)| Event::Redeem { ticket, host }),
        4 => (0..3_u8).prop_map(|outcome| Event::End { outcome }),
        1 => (0..2_usize).prop_map(|host| Event::Restart { host }),
        1 => (1..150_u64).prop_map(|seconds| Event::Wait { seconds }),
    ]
}

/// The actual state of one ticket, which no single host knows in full.
#[derive(Clone, Copy, Debug, Default)]
struct Actual {
    /// Number of times the target ran the request.
    runs: u32,
    /// Attempts in progress at the target.
    in_progress: u32,
}

struct Simulation {
    now: Instant,
    /// Boot id of the next process to start.
    next_boot: u64,
    stores: Vec<TicketStore>,
    tickets: Vec<Ticket>,
    actual: BTreeMap<usize, Actual>,
    /// Running requests: ticket index, host, boot id and sequence number of
    /// the minter.
    running: Vec<(usize, usize, u64, u64)>,
    /// Boot id of the current process of each host.
    boots: Vec<u64>,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            next_boot: 2,
            stores: (0..2).map(|host| store(host, host as u64, now)).collect(),
            tickets: Vec::new(),
            actual: BTreeMap::new(),
            running: Vec::new(),
            boots: vec![0, 1],
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Mint { host } => {
                let ticket = self.stores[host].mint("savanna", "status", self.now);
                // Callers receive the ticket as text.
                self.tickets.push(ticket.to_string().parse().expect("a well-formed ticket"));
            }
            Event::Redeem { ticket, host } if ticket < self.tickets.len() => {
                self.redeem(ticket, host);
            }
            Event::Redeem { .. } => {}
            Event::End { outcome } => self.end(outcome),
            Event::Restart { host } => {
                self.stores[host] = store(host, self.next_boot, self.now);
                self.boots[host] = self.next_boot;
                self.next_boot += 1;
            }
            Event::Wait { seconds } => self.now += Duration::from_secs(seconds),
        }
    }

    fn redeem(&mut self, index: usize, mut host: usize) {
        let ticket = self.tickets[index].clone();
        let mut redeemed = self.stores[host].redeem(&ticket, "savanna", "status", self.now);
        if let Redeemed::OtherProcess(minter) = redeemed {
            host = (0..2).find(|&h| addr(h) == minter).expect("one of the two hosts");
            redeemed = self.stores[host].redeem(&ticket, "savanna", "status", self.now);
        }
        let actual = self.actual.entry(index).or_default();
        match redeemed {
            Redeemed::Run(seq) => {
                assert_eq!(actual.runs + actual.in_progress, 0, "the request ran twice");
                actual.in_progress += 1;
                self.running.push((index, host, self.boots[host], seq));
            }
            // Reported to the caller as "not run".
            Redeemed::Expired | Redeemed::Full => {
                assert_eq!(
                    actual.runs + actual.in_progress,
                    0,
                    "reported as not run, but may have run"
                );
            }
            Redeemed::Answered(response) => {
                assert_eq!((actual.runs, response.body[0]), (1, u8::try_from(index).unwrap_or(0)));
            }
            Redeemed::Running(_) => assert_eq!(actual.in_progress, 1),
            Redeemed::Unknown | Redeemed::MinterGone => {}
            Redeemed::OtherProcess(_) | Redeemed::Invalid => panic!("{redeemed:?}"),
        }
    }

    fn end(&mut self, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let (index, host, boot, seq) = self.running.remove(0);
        let actual = self.actual.entry(index).or_default();
        actual.in_progress -= 1;
        let outcome = match outcome {
            0 => Outcome::NotRun,
            1 => {
                actual.runs += 1;
                answered(&[u8::try_from(index).unwrap_or(0)])
            }
            _ => {
                actual.runs += 1;
                Outcome::Unknown
            }
        };
        if self.boots[host] == boot {
            self.stores[host].record_outcome(seq, &outcome);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]

    #[test]
    fn requests_run_at_most_once_and_not_run_is_correct(
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.apply(event);
        }
    }
}

#[test]
fn every_short_history_of_one_ticket_runs_at_most_once() {
    let events = [
        Event::Redeem { ticket: 0, host: 0 },
        Event::Redeem { ticket: 0, host: 1 },
        Event::End { outcome: 0 },
        Event::End { outcome: 1 },
        Event::End { outcome: 2 },
        Event::Restart { host: 0 },
        Event::Wait { seconds: 130 },
    ];
    for code in 0..events.len().pow(6) {
        let mut simulation = Simulation::new();
        simulation.apply(Event::Mint { host: 0 });
        for i in 0..6 {
            simulation.apply(events[code / events.len().pow(i) % events.len()]);
        }
    }
}

#[test]
fn an_owner_chosen_by_membership_runs_a_request_twice_when_views_differ() {
    // Naive approach: each host picks the first live host in a fixed order as
    // the owner of a key. One host sees host 0 as alive, the other does not.
    let mut runs = 0;
    let mut owners_that_ran = Vec::new();
    for view in [vec![0, 1], vec![1]] {
        let owner = view[0];
        if !owners_that_ran.contains(&owner) {
            owners_that_ran.push(owner);
            runs += 1;
        }
    }
    assert_eq!(runs, 2);
    // With tickets in the same situation, the minter is host 0; host 1, which
    // considers it dead, does not run the request.
    let now = Instant::now();
    let (mut minter, mut other) = (store(0, 0, now), store(1, 1, now));
    let ticket = minter.mint("savanna", "status", now);
    assert!(matches!(minter.redeem(&ticket, "savanna", "status", now), Redeemed::Run(_)));
    assert_eq!(other.redeem(&ticket, "savanna", "status", now), Redeemed::OtherProcess(addr(0)));
}

#[rstest]
#[case::another_customer("leserbild", "status")]
#[case::another_route("savanna", "thank-you")]
fn a_ticket_is_valid_only_for_its_customer_and_route(#[case] customer: &str, #[case] route: &str) {
    let now = Instant::now();
    let mut store = store(0, 0, now);
    let ticket = store.mint("savanna", "status", now);
    assert_eq!(store.redeem(&ticket, customer, route, now), Redeemed::Invalid);
}

#[rstest]
#[case("")]
#[case("t1")]
#[case("t1_10.0.0.1:7000_0_0_0_00")]
#[case("t2_10.0.0.1:7000_0_0_0_00000000000000000000000000000000")]
#[case("t1_nowhere_0_0_0_00000000000000000000000000000000")]
#[case("t1_10.0.0.1:7000_0_0_0_+0000000000000000000000000000000")]
fn malformed_tickets_are_rejected(#[case] text: &str) {
    assert!(text.parse::<Ticket>().is_err(), "{text}");
}

#[test]
fn a_modified_ticket_is_invalid() {
    let now = Instant::now();
    let mut store = store(0, 0, now);
    let mut ticket = store.mint("savanna", "status", now);
    ticket.seq += 1;
    assert_eq!(store.redeem(&ticket, "savanna", "status", now), Redeemed::Invalid);
    ticket.seq -= 1;
    ticket.minted_ms += 1;
    assert_eq!(store.redeem(&ticket, "savanna", "status", now), Redeemed::Invalid);
}

#[test]
fn a_full_store_refuses_new_tickets_and_keeps_old_ones() {
    let now = Instant::now();
    let mut store = store(0, 0, now).with_limits(Limits { tickets: 1, response_bytes: 1 << 10 });
    let first = store.mint("savanna", "status", now);
    let second = store.mint("savanna", "status", now);
    let Redeemed::Run(seq) = store.redeem(&first, "savanna", "status", now) else {
        panic!("the first ticket should run");
    };
    store.record_outcome(seq, &answered(b"x"));
    assert_eq!(store.redeem(&second, "savanna", "status", now), Redeemed::Full);
    assert!(matches!(store.redeem(&first, "savanna", "status", now), Redeemed::Answered(_)));
    let later = now + Duration::from_mins(5);
    let third = store.mint("savanna", "status", later);
    assert!(matches!(store.redeem(&third, "savanna", "status", later), Redeemed::Run(_)));
}
