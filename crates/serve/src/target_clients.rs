//! Which connections a call to a target uses.
//!
//! A target may send a response twice, the second copy late, where the next
//! response on the connection is due. Most copies are told apart by the id of
//! their request. Calls for which that is not enough have connections of their
//! own.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use bytes::Bytes;
use cassia_adapter::decode_request_id;
use cassia_adapter::decode_response_head;
use cassia_clients::ByteBudget;
use cassia_clients::ErrorKind;
use cassia_clients::HttpClient;
use cassia_clients::PlatformError;
use cassia_clients::ReadBody;
use cassia_clients::Reuse;
use cassia_ids::RequestId;
use cassia_relay::Ways;
use cassia_route::Target;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::lock::lock;
use crate::relay::HostRelay;
use crate::relay::JobRelay;

/// Number of answers that are remembered.
const MAX_ANSWERS: usize = 2_048;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Repeats {
    /// It may.
    Allowed,
    /// It must not.
    AtMostOnce,
}

/// For whom a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sender {
    /// A caller.
    Caller(Repeats),
    /// A batch job, whose items and reward calls may run more than once. They may take
    /// these ways.
    Job(Ways),
}

/// Which connections a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Connections {
    /// Any idle one: if nothing comes on it, the request is sent elsewhere too.
    Any,
    /// A new one, unless the target has answered just now. An idle one may have been
    /// lost unnoticed, and nothing else would serve the request then.
    Proven,
}

/// One attempt to have a request served by a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetAttempt<'a> {
    /// The step, for errors.
    pub(crate) step: &'static str,
    pub(crate) target: &'a Target,
    /// Id of the request.
    pub(crate) id: &'a str,
    pub(crate) sender: Sender,
    pub(crate) connections: Connections,
}

/// Clients of the targets, which differ in when they use a connection again.
#[derive(Debug)]
pub(crate) struct TargetClients {
    relay: Arc<HostRelay>,
    /// For callers' requests that may run more than once.
    pooled: HttpClient,
    /// For requests that must not. A refusal often has no id, so none of them may
    /// follow one on a connection.
    at_most_once: HttpClient,
    /// For reports. They have no id, but the late copy of one is an older report
    /// of the same target.
    reports: HttpClient,
    /// For orders, whose responses have no id, and requests of jobs that the target has
    /// answered before. Each has a connection of its own, over this host's own link: an
    /// engine takes orders from one host at a time.
    orders: HttpClient,
    /// For callers' requests that the target has answered before. Each has a connection
    /// of its own.
    unshared: HttpClient,
    /// For requests of jobs, over this host's own link.
    jobs: HttpClient,
    /// For requests of jobs to targets that the own link doesn't reach. Each has a
    /// connection of its own.
    relayed_jobs: HttpClient,
    /// The latest requests that targets answered, by address and id.
    answered: Mutex<VecDeque<(SocketAddr, RequestId)>>,
}

impl TargetClients {
    /// Creates clients that buffer the bodies of responses within one budget.
    pub(crate) fn new(budget: &Arc<ByteBudget>, relay: &Arc<HostRelay>) -> Self {
        let direct = |reuse| HttpClient::new(Arc::clone(budget)).with_reuse(reuse);
        let client = |reuse| direct(reuse).with_relay(Arc::<HostRelay>::clone(relay));
        Self {
            relay: Arc::clone(relay),
            pooled: client(Reuse::Always),
            at_most_once: client(Reuse::If(may_reuse_connection)),
            reports: direct(Reuse::Always),
            orders: direct(Reuse::Never),
            unshared: client(Reuse::Never),
            jobs: direct(Reuse::Always),
            relayed_jobs: direct(Reuse::Never).with_relay(Arc::new(JobRelay(Arc::clone(relay)))),
            answered: Mutex::default(),
        }
    }

    /// Sends a request and returns the response once its head has arrived,
    /// whatever its status. A target that gets no new work counts as one that can't be
    /// connected to.
    pub(crate) async fn send(
        &self,
        attempt: TargetAttempt<'_>,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, PlatformError> {
        let TargetAttempt { step, target, id, sender, connections } = attempt;
        let addr = target.info.addr;
        // It may have been chosen a while ago.
        if !target.is_open() {
            let (peer, detail) = (target.info.id.clone(), "it gets no new work".to_owned());
            return Err(PlatformError { step, peer, kind: ErrorKind::Connect, detail });
        }
        let client = match (sender, self.was_answered(addr, id)) {
            (Sender::Job(Ways::All), _) => &self.relayed_jobs,
            (Sender::Job(Ways::OwnLink), true) => &self.orders,
            (Sender::Job(Ways::OwnLink), false) => &self.jobs,
            (Sender::Caller(_), true) => &self.unshared,
            (Sender::Caller(Repeats::Allowed), false) => &self.pooled,
            (Sender::Caller(Repeats::AtMostOnce), false) => &self.at_most_once,
        };
        let plan = self.relay.plan_send(addr);
        if plan.is_changed {
            self.drop_pools(addr);
        }
        if connections == Connections::Proven && !plan.is_proven {
            client.drop_pool(addr);
        }
        let sent = client.send_any_status(step, addr, request, deadline).await;
        match &sent {
            Ok(_) => self.relay.record_heard(addr),
            // A caller's request would have gone through another host at once.
            Err(e) if e.kind == ErrorKind::Connect && sender == Sender::Job(Ways::OwnLink) => {
                self.relay.confirm_unreached(addr).await;
            }
            Err(_) => {}
        }
        sent
    }

    /// Reads the body of a response as far as it fits into memory.
    pub(crate) async fn read_body(
        &self,
        step: &'static str,
        addr: SocketAddr,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<Response<ReadBody>, PlatformError> {
        let read = self.pooled.read_start(step, addr, response, deadline).await;
        if read.as_ref().is_err_and(|e| e.kind == ErrorKind::Timeout) {
            self.drop_pools(addr);
        }
        read
    }

    /// Records that a target ran a request and answered it. If it gets the request
    /// again, the late copy of this answer must not pass for the next.
    pub(crate) fn record_answer(&self, addr: SocketAddr, id: &str) {
        let mut answered = lock(&self.answered);
        if answered.len() == MAX_ANSWERS {
            answered.pop_front();
        }
        answered.push_back((addr, id.into()));
    }

    fn was_answered(&self, addr: SocketAddr, id: &str) -> bool {
        let answered = lock(&self.answered);
        answered.iter().any(|(target, request)| *target == addr && request == id)
    }

    /// Drops a target's pools, so that the next request opens a new connection.
    pub(crate) fn drop_pools(&self, addr: SocketAddr) {
        self.pooled.drop_pool(addr);
        self.at_most_once.drop_pool(addr);
        self.jobs.drop_pool(addr);
    }

    /// Returns the client of requests that may run more than once.
    pub(crate) fn pooled(&self) -> &HttpClient {
        &self.pooled
    }

    /// Returns the client of reports.
    pub(crate) fn reports(&self) -> &HttpClient {
        &self.reports
    }

    /// Returns the client of orders.
    pub(crate) fn orders(&self) -> &HttpClient {
        &self.orders
    }
}

/// Returns whether the next request may use the connection of this response.
///
/// A second copy of it may come where the next response is due and must not pass
/// for that one. It would if it has no id; a refusal would even with an id, as the
/// request may be sent again.
fn may_reuse_connection(request: &HeaderMap, status: StatusCode, response: &HeaderMap) -> bool {
    let head = decode_response_head(status, response);
    !head.not_run && head.id.is_some() && head.id == decode_request_id(request)
}
