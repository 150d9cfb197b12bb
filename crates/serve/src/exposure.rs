//! Keeps a request under which targets crashed from the last target of its
//! service.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cassia_ids::TargetId;
use cassia_quarantine::CrashedTarget;
use cassia_quarantine::Exposure;
use cassia_quarantine::RequestDigest;
use cassia_quarantine::SendDecision;
use cassia_route::Target;
use cassia_route::TargetSet;
use futures::future::join_all;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::app::App;

/// How long the report of a crash may take to be stored.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Within this time after its first connection breaks, a process that ends has
/// closed the socket that it listens on.
const END_TIME: Duration = Duration::from_millis(10);
/// How long a connection to a target that may have crashed may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The targets that have a request and have not answered.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Unanswered<'a> {
    pub(crate) count: usize,
    /// These targets, and perhaps others.
    pub(crate) among: &'a [TargetId],
}

/// Decides whether a caller's request is sent to a target.
///
/// A target whose connection broke, but which accepts another one, has not
/// crashed or is back.
pub(crate) async fn decide(
    app: &App,
    digest: RequestDigest,
    target: &Target,
    unanswered: Unanswered<'_>,
) -> SendDecision {
    let crashed = app.quarantine.suspected_crashes(digest);
    let targets = app.state.targets.load_full();
    let is_exposed = |t: &Target| {
        t.info.id == target.info.id
            || crashed.iter().any(|crash| is_target(crash, t))
            || unanswered.count > 0 && unanswered.among.contains(&t.info.id)
    };
    let spare = targets.usable_count(&target.info.kind, is_exposed, Instant::now());
    let is_listed_alone = targets.of_kind(&target.info.kind).len() == 1;
    let exposure = Exposure {
        crashed: crashed.len(),
        unanswered: unanswered.count,
        spare,
        has_others: !is_listed_alone || app.quarantine.crashed_just_now(digest),
    };
    let decision = exposure.decide();
    if decision != SendDecision::KeepTarget {
        return decision;
    }
    sleep(END_TIME).await;
    let addrs = crashed.iter().filter_map(|crash| other_addr(&targets, target, crash));
    let is_up = join_all(addrs.map(|addr| app.relay.accepts_connections(addr, CONNECT_TIMEOUT)))
        .await
        .contains(&true);
    let digest = format!("{digest:032x}");
    let peer = target.info.id.as_str();
    log::info!(event = "target_kept", step = "choose", digest, peer, crashed = crashed.len(), is_up; "targets crashed under a request, and this one would be the last");
    if is_up { SendDecision::Send } else { SendDecision::KeepTarget }
}

/// Waits, before a request is answered under which a target crashed, until the
/// store has the report: the caller may send it to another host at once. Without the
/// store the other hosts can't know either, so the wait is short.
pub(crate) async fn await_report(app: &App, deadline: Instant) {
    let deadline = deadline.min(Instant::now() + REPORT_TIMEOUT);
    let _ = timeout_at(deadline.into(), app.quarantine.wait_until_reported()).await;
}

fn is_target((id, incarnation): &CrashedTarget, target: &Target) -> bool {
    *id == target.info.id && *incarnation == target.info.incarnation
}

/// Returns the address of a crashed target other than the candidate, or that of
/// the candidate if its service has no other.
fn other_addr(
    targets: &TargetSet,
    candidate: &Target,
    crash: &CrashedTarget,
) -> Option<SocketAddr> {
    let all = targets.of_kind(&candidate.info.kind);
    let crashed = all.iter().find(|t| is_target(crash, t))?;
    let is_other = crashed.info.id != candidate.info.id;
    (is_other || all.len() == 1).then_some(crashed.info.addr)
}
