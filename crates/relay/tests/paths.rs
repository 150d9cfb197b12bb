//! This host's own links to the targets.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_relay::ConnectPlan;
use cassia_relay::PathTable;
use cassia_relay::Ways;
use rstest::rstest;

fn target(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

/// A connection that was idle through the beginning of a cut never answers.
#[test]
fn a_link_is_proven_only_shortly_after_an_answer() {
    let (start, mut paths) = (Instant::now(), PathTable::default());
    assert!(!paths.plan_send(target(1), Ways::All, start).is_proven);
    paths.record_heard(target(1), start);
    assert!(paths.plan_send(target(1), Ways::All, start + Duration::from_millis(1_900)).is_proven);
    assert!(!paths.plan_send(target(1), Ways::All, start + Duration::from_secs(2)).is_proven);
}

/// Idle connections from before the change of the way are lost, or take the long way.
#[test]
fn a_change_of_the_way_is_told_once_each_time() {
    let (now, mut paths) = (Instant::now(), PathTable::default());
    assert!(paths.record_relayed(target(1), now), "newly lost");
    assert!(!paths.record_relayed(target(1), now), "lost already");
    assert!(paths.plan_send(target(1), Ways::All, now).is_changed);
    assert!(!paths.plan_send(target(1), Ways::All, now).is_changed);
    assert!(paths.record_direct(target(1), now), "it was lost");
    assert!(!paths.record_direct(target(1), now));
    assert!(paths.plan_send(target(1), Ways::All, now).is_changed);
    assert_eq!(paths.plan(target(1), Ways::All, now), ConnectPlan::DirectFirst);
}

/// Idle connections through other hosts must not be used when only the own link may be.
#[test]
fn a_change_of_the_allowed_ways_is_told_once_each_time() {
    let (now, mut paths) = (Instant::now(), PathTable::default());
    assert!(!paths.plan_send(target(1), Ways::All, now).is_changed);
    assert!(!paths.plan_send(target(1), Ways::OwnLink, now).is_changed, "none goes through others");
    assert!(!paths.plan_send(target(1), Ways::All, now).is_changed);
    paths.record_opened(target(1));
    assert!(paths.plan_send(target(1), Ways::OwnLink, now).is_changed);
    assert!(!paths.plan_send(target(1), Ways::OwnLink, now).is_changed);
    paths.record_relayed(target(1), now);
    assert_eq!(paths.plan(target(1), Ways::OwnLink, now), ConnectPlan::OwnLink);
    assert!(paths.plan_send(target(1), Ways::All, now).is_changed);
    assert_eq!(paths.plan(target(1), Ways::All, now), ConnectPlan::RelayFirst);
}

#[test]
fn lost_links_are_checked_at_intervals_and_within_the_limit() {
    let (start, mut paths) = (Instant::now(), PathTable::default());
    for n in 0..5 {
        paths.record_relayed(target(n), start);
    }
    assert_eq!(paths.take_due_checks(3, start).len(), 0);
    let later = start + Duration::from_secs(1);
    assert_eq!(paths.take_due_checks(3, later).len(), 3);
    assert_eq!(paths.take_due_checks(3, later).len(), 2, "each once");
    paths.record_direct(target(0), later);
    assert_eq!(paths.take_due_checks(9, later + Duration::from_secs(1)).len(), 4);
}

/// One or a few lost links are the network's business with these targets; a host that
/// has lost most of them is cut off itself.
#[rstest]
#[case::none(5, 0, false)]
#[case::one_of_one(0, 1, false)]
#[case::two_of_five(3, 2, false)]
#[case::two_of_four(2, 2, true)]
#[case::all(0, 5, true)]
fn a_host_is_cut_off_if_half_of_its_links_are_lost(
    #[case] kept: u8,
    #[case] lost: u8,
    #[case] is_cut_off: bool,
) {
    let (now, mut paths) = (Instant::now(), PathTable::default());
    for n in 0..kept {
        paths.plan_send(target(n), Ways::All, now);
        paths.record_direct(target(n), now);
    }
    for n in 0..lost {
        paths.record_relayed(target(100 + n), now);
    }
    assert_eq!(paths.is_cut_off(now), is_cut_off);
    paths.retain(|_| false);
    assert!(!paths.is_cut_off(now), "links to targets that are gone don't count");
}

/// Requests on a connection through a host that is stopped are cut off when it ends.
#[test]
fn a_host_that_is_stopped_is_left_before_the_next_request() {
    let (now, mut paths) = (Instant::now(), PathTable::default());
    paths.record_draining(target(1));
    assert!(!paths.plan_send(target(1), Ways::All, now).is_changed, "no connection goes there");
    paths.record_opened(target(1));
    paths.record_draining(target(1));
    assert!(paths.plan_send(target(1), Ways::All, now).is_changed);
    assert!(!paths.plan_send(target(1), Ways::All, now).is_changed);
}
