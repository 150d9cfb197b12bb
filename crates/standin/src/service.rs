//! A plain service whose calls are not idempotent.

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

/// The fault to inject into calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServiceFault {
    /// Nothing.
    #[default]
    None,
    /// The call doesn't run and gets no response.
    HangBefore,
    /// The call runs and gets no response.
    HangAfter,
    /// The call runs, and the connection is closed without a response.
    ResetAfter,
    /// The call doesn't run, and the response says so in a header.
    RefuseNotRun,
    /// The call doesn't run, and the response has the id of another request.
    WrongId,
    /// The call takes this many milliseconds.
    Slow(u64),
}

/// A plain service that counts the runs of each key.
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
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(Arc::clone(&shared) as _).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the fault to inject from now on.
    pub fn set_fault(&self, fault: ServiceFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Number of runs of calls with this key, the field `key` of the body.
    #[must_use]
    pub fn runs(&self, key: &str) -> u32 {
        lock(&self.shared.runs).get(key).copied().unwrap_or(0)
    }

    /// Returns the number of runs of each key.
    #[must_use]
    pub fn all_runs(&self) -> BTreeMap<String, u32> {
        lock(&self.shared.runs).clone()
    }

    /// Stops the server at once and drops all of its connections.
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
        let body = json!({"key": key, "runs": *count}).to_string();
        let id = request.headers().get("cassia-request-id");
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned();
        Reply::Bytes(200, vec![("cassia-request-id", id)], Bytes::from(body))
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
