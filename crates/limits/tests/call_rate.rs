//! Limits of calls a second.

use std::time::Duration;
use std::time::Instant;

use cassia_limits::CallRate;
use rstest::rstest;

/// Guards against a burst at the end of one second and another at the start of the
/// next: a caller that asks all the time gets at most the limit in any second.
#[rstest]
#[case::one(1)]
#[case::few(3)]
#[case::usual(50)]
#[case::many(1_000)]
fn no_second_has_more_calls_than_the_limit(#[case] limit: u32) {
    let start = Instant::now();
    let mut rate = CallRate::new(limit, start);
    let step = Duration::from_micros(500);
    let sent: Vec<_> =
        (0..10_000).map(|n| start + step * n).filter(|now| rate.take(*now)).collect();
    for (n, first) in sent.iter().enumerate() {
        let within = sent[n..].iter().filter(|at| **at < *first + Duration::from_secs(1)).count();
        assert!(within <= limit as usize, "{within} calls from call {n}");
    }
    // 5 s were simulated. A second's calls are spread, but not held back.
    assert!(sent.len() >= (limit as usize * 5).div_ceil(2), "{}", sent.len());
}
