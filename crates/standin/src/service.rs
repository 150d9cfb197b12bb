//! A plain service with a call that must not run twice.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::Handler;
use crate::Reply;
use crate::Server;
use crate::server::lock;

/// What goes wrong with the next calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServiceFault {
    /// Nothing.
    #[default]
    None,
    /// The call doesn't run, and no answer comes.
    HangBefore,
    /// The call runs, and no answer comes.
    HangAfter,
    /// The call runs, and the connection is closed without an answer.
    ResetAfter,
    /// The call doesn't run, and the answer says so.
    RefuseNotRun,
    /// The answer carries another request's id.
    WrongId,
    /// The call takes this long, in milliseconds.
    Slow(u64),
}

/// A plain service that counts how often each body was run.
#[derive(Debug)]
pub struct ServiceStandin {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    fault: Mutex<ServiceFault>,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl ServiceStandin {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(Arc::clone(&shared) as _).await?;
        Ok(Self { server, shared })
    }

    /// Tells where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: ServiceFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Counts how often a call with this key ran; the key is the body's `key`.
    #[must_use]
    pub fn runs(&self, key: &str) -> u32 {
        lock(&self.shared.runs).get(key).copied().unwrap_or(0)
    }

    /// Gives the keys that ran, with how often.
    #[must_use]
    pub fn all_runs(&self) -> BTreeMap<String, u32> {
        lock(&self.shared.runs).clone()
    }

    /// Stops at once, with all of its connections.
    pub fn crash(&self) {
        self.server.crash();
    }
}

impl Shared {
    fn run(&self, request: &Request<Bytes>) -> Reply {
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let key = body["key"].as_str().unwrap_or_default().to_owned();
        let mut runs = lock(&self.runs);
        let count = runs.entry(key.clone()).or_default();
        *count += 1;
        let answer = json!({"key": key, "runs": *count}).to_string();
        let id = request.headers().get("cassia-request-id");
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned();
        Reply::Bytes(200, vec![("cassia-request-id", id)], Bytes::from(answer))
    }
}

#[async_trait]
impl Handler for Shared {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let fault = *lock(&self.fault);
        match fault {
            ServiceFault::None => self.run(&request),
            ServiceFault::HangBefore => Reply::Hang,
            ServiceFault::HangAfter => {
                self.run(&request);
                Reply::Hang
            }
            ServiceFault::ResetAfter => {
                self.run(&request);
                Reply::Reset
            }
            ServiceFault::RefuseNotRun => {
                Reply::Bytes(503, vec![("cassia-not-run", "1".to_owned())], Bytes::new())
            }
            ServiceFault::WrongId => {
                let id = vec![("cassia-request-id", "another".to_owned())];
                Reply::Bytes(200, id, Bytes::from_static(b"{}"))
            }
            ServiceFault::Slow(ms) => {
                sleep(Duration::from_millis(ms)).await;
                self.run(&request)
            }
        }
    }
}
