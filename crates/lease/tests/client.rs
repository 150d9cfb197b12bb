//! Seats that read one stream late, in pieces and with gaps never hold the
//! lease at the same moment, their fencing numbers only rise, and what two
//! holders do with it lies far enough apart.

use std::time::Duration;
use std::time::Instant;

use cassia_lease::Contender;
use cassia_lease::LeaseClient;
use cassia_lease::LeaseRecord;
use cassia_lease::NextRecord;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TERM: Duration = Duration::from_millis(1_800);
const STEP: Duration = Duration::from_millis(100);
/// Records that the stream keeps, in the test of retention.
const KEPT: usize = 12;
const PER_SNAPSHOT: u64 = 4;
/// The least time between what two holders do.
const QUIET: Duration = Duration::from_secs(3);

/// The stream, with its retention.
#[derive(Default)]
struct Stream {
    first: u64,
    records: Vec<LeaseRecord>,
}

impl Stream {
    fn append(&mut self, record: LeaseRecord) {
        self.records.push(record);
    }

    fn expire(&mut self) {
        let gone = self.records.len().saturating_sub(KEPT);
        self.records.drain(..gone);
        self.first += gone as u64;
    }

    fn read_into(&self, seat: &mut LeaseClient, now: Instant) {
        let end = self.first + self.records.len() as u64;
        let from = seat.next_read().max(self.first);
        let skip = usize::try_from(from - self.first).expect("short");
        let records: Vec<_> = self.records[skip..].iter().cloned().map(Some).collect();
        seat.apply_records(self.first, from, &records, end, now);
    }
}

fn host(n: u64) -> cassia_ids::HostId {
    format!("h{n}").into()
}

/// What happens to a seat in one step of time.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It reads and acts.
    Runs,
    /// It does nothing, as if it were frozen or cut off.
    Pauses,
    /// It reads, and what it appends comes in three steps later.
    AppendsLate,
    /// It reads, and what it appends is lost.
    AppendIsLost,
    /// It lets go.
    LetsGo,
    /// Its process dies and another one of its host begins anew.
    Restarts,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        8 => Just(Fate::Runs),
        3 => Just(Fate::Pauses),
        1 => Just(Fate::AppendsLate),
        1 => Just(Fate::AppendIsLost),
        1 => Just(Fate::LetsGo),
        1 => Just(Fate::Restarts),
    ]
}

/// Plays a contest of three; gives how often somebody held the lease.
fn play(fates: &[[Fate; 3]], expire: bool) -> usize {
    let begun = Instant::now();
    let mut stream = Stream::default();
    let seat = |n: u64| {
        let contender = Contender::new("orders".into(), host(n), n, TERM, begun);
        LeaseClient::new(contender.sole_on_host(), PER_SNAPSHOT, QUIET)
    };
    let mut seats: Vec<_> = (0..3).map(seat).collect();
    let mut late: Vec<(usize, LeaseRecord)> = Vec::new();
    let (mut highest, mut held) = (0, 0);
    let mut done: [Option<Instant>; 3] = [None; 3];
    let mut boots = 3;
    for (tick, fates) in fates.iter().enumerate() {
        let now = begun + STEP * u32::try_from(tick).expect("short");
        for (_, record) in late.extract_if(.., |(at, _)| *at <= tick) {
            stream.append(record);
        }
        for (n, (seat, fate)) in seats.iter_mut().zip(fates).enumerate() {
            if matches!(fate, Fate::Pauses) {
                continue;
            }
            if matches!(fate, Fate::Restarts) {
                boots += 1;
                let contender = Contender::new("orders".into(), host(n as u64), boots, TERM, now);
                *seat = LeaseClient::new(contender.sole_on_host(), PER_SNAPSHOT, QUIET);
            }
            stream.read_into(seat, now);
            if matches!(fate, Fate::LetsGo) {
                // Only after its own acts are far enough back.
                if done[n].is_some_and(|at| now < at + QUIET) {
                    continue;
                }
                if let Some(act) = seat.release(now) {
                    stream.append(LeaseRecord::Op(act));
                }
                continue;
            }
            if let Some(NextRecord::Append(record)) = seat.step(now) {
                match fate {
                    Fate::AppendsLate => late.push((tick + 3, record)),
                    Fate::AppendIsLost => {}
                    _ => stream.append(record),
                }
            }
        }
        if expire {
            stream.expire();
        }
        for (n, seat) in seats.iter().enumerate() {
            let acts = !matches!(fates[n], Fate::Pauses)
                && seat.held_lease(now).is_some_and(|h| h.may_act(now, QUIET));
            if acts {
                let others = (0..3).filter(|other| *other != n).filter_map(|other| done[other]);
                let last = others.max();
                assert!(last.is_none_or(|at| now >= at + QUIET), "at step {tick}");
                done[n] = Some(now);
            }
        }
        let holders: Vec<_> = seats.iter().filter_map(|seat| seat.held_lease(now)).collect();
        assert!(holders.len() <= 1, "at step {tick}: {holders:?}");
        for holder in holders {
            assert!(holder.fence >= highest, "a fencing number never falls");
            highest = holder.fence;
            held += 1;
        }
    }
    held
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_two_hold_it_at_once(
        fates in prop::collection::vec([fate(), fate(), fate()], 0..150),
    ) {
        play(&fates, false);
    }

    #[test]
    fn nor_when_old_records_expire(
        fates in prop::collection::vec([fate(), fate(), fate()], 0..150),
    ) {
        play(&fates, true);
    }
}

#[test]
fn on_a_calm_day_somebody_holds_it_nearly_all_the_time() {
    let held = play(&[[Fate::Runs; 3]; 200], true);
    assert!(held > 160, "{held} of 200 steps");
}

/// A holder falls silent, the next one lets go at once: whoever comes third
/// must still wait for the first one's time.
#[test]
fn a_holder_that_has_not_waited_passes_no_clear_lease_on() {
    for lets_go_at in 31..90 {
        let mut fates = vec![[Fate::Pauses, Fate::Pauses, Fate::Runs]; 30];
        fates.extend([[Fate::Runs, Fate::Runs, Fate::Pauses]; 90]);
        fates[lets_go_at][0] = Fate::LetsGo;
        play(&fates, false);
    }
}

#[test]
fn a_host_that_comes_back_takes_over_from_itself_at_once() {
    let mut fates = vec![[Fate::Runs; 3]; 80];
    let runs = play(&fates, false);
    fates[60] = [Fate::Restarts; 3];
    let restarted = play(&fates, false);
    assert!(restarted + 4 >= runs, "{restarted} of {runs} steps");
}

#[test]
fn a_seat_that_has_not_read_to_the_end_does_not_contend() {
    let now = Instant::now();
    let contender = Contender::new("orders".into(), host(1), 1, TERM, now);
    let mut seat = LeaseClient::new(contender, PER_SNAPSHOT, QUIET);
    let later = now + 2 * TERM;
    assert_eq!(seat.step(later), None);
    seat.apply_records(0, 0, &[], 5, later);
    assert_eq!(seat.step(later), None, "five records are still to be read");
    seat.apply_records(0, 0, &[const { None }; 5], 5, later);
    assert!(matches!(seat.step(later), Some(NextRecord::Append(_))));
}
