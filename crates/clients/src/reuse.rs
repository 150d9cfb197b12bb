//! Which connections are used again after a response.
//!
//! A peer may send a second copy of a response late, where the next one on the
//! connection is due.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use http::Extensions;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper_util::client::legacy::connect::CaptureConnection;
use hyper_util::client::legacy::connect::capture_connection;

/// Returns whether a connection may be used again, from the headers of a
/// request and the status and headers of its response.
pub type ReuseRule = fn(&HeaderMap, StatusCode, &HeaderMap) -> bool;

/// Whether a connection is used again after a response.
#[derive(Clone, Copy, Debug, Default)]
pub enum Reuse {
    /// After each complete response.
    #[default]
    Always,
    /// After the responses for which the rule holds.
    If(ReuseRule),
    /// Never: each request has its own connection, so that no response to
    /// another request can be taken for its own.
    Never,
}

/// Whether a response certainly belongs to the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Attribution {
    /// It does, as far as the connection is concerned.
    Certain,
    /// It may be the second copy of the response before it.
    Uncertain,
}

/// Whether a connection must not be used again. A response carries it among its
/// extensions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Retired(Arc<AtomicBool>);

/// Retires the connection of a request, unless its response allows another one
/// on it. A request that is dropped without a response allows none.
#[derive(Debug)]
pub(crate) struct ReuseDecision(Option<OpenDecision>);

#[derive(Debug)]
struct OpenDecision {
    rule: ReuseRule,
    request: HeaderMap,
    connection: CaptureConnection,
}

impl ReuseDecision {
    /// Creates the decision on the connection that the request will use.
    pub(crate) fn new<B>(reuse: Reuse, request: &mut Request<B>) -> Self {
        let Reuse::If(rule) = reuse else {
            return Self(None);
        };
        let headers = request.headers().clone();
        let connection = capture_connection(request);
        Self(Some(OpenDecision { rule, request: headers, connection }))
    }

    /// Decides by the response.
    ///
    /// The pool may have passed the connection on before the request ahead of
    /// this one was decided.
    pub(crate) fn decide<B>(mut self, response: &Response<B>) -> Attribution {
        let Some(open) = &self.0 else {
            return Attribution::Certain;
        };
        if (open.rule)(&open.request, response.status(), response.headers()) {
            self.0 = None;
            return Attribution::Certain;
        }
        let retired = response.extensions().get::<Retired>();
        if retired.is_some_and(|retired| retired.0.load(Ordering::Relaxed)) {
            Attribution::Uncertain
        } else {
            Attribution::Certain
        }
    }
}

impl Drop for ReuseDecision {
    fn drop(&mut self) {
        let Some(open) = &self.0 else { return };
        if let Some(connection) = open.connection.connection_metadata().as_ref() {
            connection.poison();
            let mut extensions = Extensions::new();
            connection.get_extras(&mut extensions);
            if let Some(retired) = extensions.get::<Retired>() {
                retired.0.store(true, Ordering::Relaxed);
            }
        }
    }
}
