//! Reads of the configuration for requests whose key a host does not know.

use std::time::Duration;
use std::time::Instant;

use cassia_route::KEY_READ_INTERVAL;
use cassia_route::KEY_READ_TIMEOUT;
use cassia_route::KEY_WAIT;
use cassia_route::KeyReadState;
use cassia_route::KeyReads;
use cassia_route::KeyWaiter;
use cassia_route::MAX_KEY_WAITERS;
use cassia_route::NextKeyRead;

const MS: Duration = Duration::from_millis(1);

fn due(reads: &KeyReads, now: Instant) -> Option<Instant> {
    match reads.next(now) {
        NextKeyRead::Idle => None,
        NextKeyRead::At(at) => Some(at),
    }
}

/// Guards against a 401 for a key that exists: the read that runs when the request
/// comes may have begun before the key was added.
#[test]
fn a_request_needs_a_read_that_began_after_it_came() {
    let now = Instant::now();
    let mut reads = KeyReads::default();
    let early = reads.wait(now).expect("a place");
    reads.begin(now);
    let late = reads.wait(now + MS).expect("a place");
    reads.end(true);
    assert_eq!(reads.state(&early, now + MS), KeyReadState::Confirmed);
    assert_eq!(reads.state(&late, now + MS), KeyReadState::Pending);
    assert_eq!(due(&reads, now + MS), Some(now + KEY_READ_INTERVAL));
    reads.begin(now + KEY_READ_INTERVAL);
    reads.end(true);
    assert_eq!(reads.state(&late, now + KEY_READ_INTERVAL), KeyReadState::Confirmed);
    assert_eq!(due(&reads, now + KEY_READ_INTERVAL), None);
}

/// Guards against a 401, which is final for the caller, by a host that can't read the
/// store; and against requests that wait for ever.
#[test]
fn a_failed_read_confirms_nothing() {
    let now = Instant::now();
    let mut reads = KeyReads::default();
    let waiter = reads.wait(now).expect("a place");
    reads.begin(now);
    assert_eq!(reads.state(&waiter, now + KEY_WAIT / 2), KeyReadState::Pending);
    assert_eq!(reads.state(&waiter, now + KEY_WAIT), KeyReadState::Unconfirmed);
    reads.end(false);
    assert_eq!(reads.state(&waiter, now + MS), KeyReadState::Unconfirmed);
}

/// Guards against a 503 for a request that came during a read that failed, though the
/// store answers the next one: both fit into the wait.
#[test]
fn there_is_time_for_the_read_after_a_failed_one() {
    let now = Instant::now();
    let mut reads = KeyReads::default();
    let _first = reads.wait(now).expect("a place");
    reads.begin(now);
    let waiter = reads.wait(now + MS).expect("a place");
    let failed_at = now + KEY_READ_TIMEOUT;
    reads.end(false);
    let next = due(&reads, failed_at).expect("a read");
    reads.begin(next);
    reads.end(true);
    let done = next + KEY_READ_TIMEOUT;
    assert!(done < waiter.deadline, "{:?}", done - now);
    assert_eq!(reads.state(&waiter, done), KeyReadState::Confirmed);
}

/// Guards against reads for callers that have left, one every 100 ms.
#[test]
fn there_is_no_read_for_callers_that_have_left() {
    let now = Instant::now();
    let mut reads = KeyReads::default();
    let waiter = reads.wait(now).expect("a place");
    reads.leave(waiter);
    assert_eq!((reads.next(now), reads.waiting()), (NextKeyRead::Idle, 0));
    // The next request needs the read that was not made.
    let waiter = reads.wait(now).expect("a place");
    assert_eq!(due(&reads, now), Some(now));
    reads.begin(now);
    reads.end(true);
    assert_eq!(reads.state(&waiter, now), KeyReadState::Confirmed);
}

/// What a second of requests with unknown keys led to.
#[derive(Debug, Default)]
struct Outcome {
    reads: Vec<Duration>,
    most_waiting: usize,
    confirmed: usize,
    unconfirmed: usize,
    full: usize,
    longest: Duration,
}

/// Lets `per_ms` requests come each millisecond for a second, with reads that take this
/// long and succeed or not.
fn run(per_ms: usize, read_time: Duration, succeeds: bool) -> Outcome {
    let start = Instant::now();
    let mut reads = KeyReads::default();
    let mut running: Option<Instant> = None;
    let mut waiters: Vec<(Instant, KeyWaiter)> = Vec::new();
    let mut outcome = Outcome::default();
    for ms in 0..2_000 {
        let now = start + ms * MS;
        for _ in 0..if ms < 1_000 { per_ms } else { 0 } {
            match reads.wait(now) {
                Some(waiter) => waiters.push((now, waiter)),
                None => outcome.full += 1,
            }
        }
        if running.is_some_and(|ends| now >= ends) {
            running = None;
            reads.end(succeeds);
        }
        if running.is_none() && due(&reads, now).is_some_and(|at| at <= now) {
            reads.begin(now);
            outcome.reads.push(now - start);
            running = Some(now + read_time);
        }
        outcome.most_waiting = outcome.most_waiting.max(reads.waiting());
        waiters.retain(|(came, waiter)| {
            let state = reads.state(waiter, now);
            match state {
                KeyReadState::Pending => return true,
                KeyReadState::Confirmed => outcome.confirmed += 1,
                KeyReadState::Unconfirmed => outcome.unconfirmed += 1,
            }
            outcome.longest = outcome.longest.max(now - *came);
            reads.leave(*waiter);
            false
        });
    }
    assert!(waiters.is_empty() && reads.waiting() == 0, "all are answered");
    outcome
}

/// 10,000 requests a second with unknown keys, beside callers whose keys are known, who
/// don't come here. Guards against as many reads of the store, and against memory that
/// grows with the requests.
#[test]
fn ten_thousand_unknown_keys_a_second_cost_ten_reads() {
    let outcome = run(10, 5 * MS, true);
    // One every 100 ms for a second, and one for those that came after the last.
    assert!(outcome.reads.len() <= 11, "{:?}", outcome.reads);
    let close = outcome.reads.windows(2).filter(|pair| pair[1] < pair[0] + KEY_READ_INTERVAL);
    assert_eq!(close.count(), 0, "{:?}", outcome.reads);
    assert!(outcome.most_waiting <= MAX_KEY_WAITERS, "{outcome:?}");
    assert_eq!(outcome.confirmed + outcome.full, 10_000, "{outcome:?}");
    assert_eq!(outcome.unconfirmed, 0);
    assert!(outcome.longest <= KEY_READ_INTERVAL + 10 * MS, "{outcome:?}");
}

/// The same load while the store does not answer. Guards against requests that wait for
/// longer than they may, and against reads that follow each other without a pause.
#[test]
fn unknown_keys_wait_no_longer_than_they_may_without_the_store() {
    let outcome = run(10, KEY_READ_TIMEOUT, false);
    assert!(outcome.reads.len() <= 6, "{:?}", outcome.reads);
    assert_eq!(outcome.confirmed, 0);
    assert_eq!(outcome.unconfirmed + outcome.full, 10_000, "{outcome:?}");
    assert!(outcome.longest <= KEY_WAIT, "{outcome:?}");
}

/// A new key in a request now and then, as after each change of the configuration.
/// Guards against a wait where there was no read within the last 100 ms.
#[test]
fn a_single_unknown_key_is_read_for_at_once() {
    let now = Instant::now();
    let mut reads = KeyReads::default();
    for n in 0..5 {
        let now = now + n * KEY_READ_INTERVAL;
        let waiter = reads.wait(now).expect("a place");
        assert_eq!(due(&reads, now), Some(now));
        reads.begin(now);
        reads.end(true);
        assert_eq!(reads.state(&waiter, now), KeyReadState::Confirmed);
        reads.leave(waiter);
    }
}
