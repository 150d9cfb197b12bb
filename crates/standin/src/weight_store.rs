//! The weight store: newest versions, and fetches under a rate limit.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_ids::ModelName;
use cassia_ids::Version;
use cassia_platform::LatestVersion;
use http::Request;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::Handler;
use crate::Reply;
use crate::Server;
use crate::server::lock;

/// Fetches that the store serves at once.
const FETCHES_AT_ONCE: usize = 4;

/// A weight store.
#[derive(Debug)]
pub struct WeightStoreStandin {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    latest: Mutex<BTreeMap<ModelName, Version>>,
    fetches: Semaphore,
    /// How long one fetch takes, in milliseconds.
    fetch_ms: u64,
}

impl WeightStoreStandin {
    /// Starts the store.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start(fetch_ms: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            latest: Mutex::default(),
            fetches: Semaphore::new(FETCHES_AT_ONCE),
            fetch_ms,
        });
        let server = Server::start(Arc::clone(&shared) as _).await?;
        Ok(Self { server, shared })
    }

    /// Tells where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Takes a new version in, as a trainer does after a step.
    pub fn publish(&self, model: &str, version: Version) {
        lock(&self.shared.latest).insert(model.into(), version);
    }
}

impl Shared {
    async fn fetch(&self) -> Reply {
        let permit = self.fetches.acquire().await;
        sleep(Duration::from_millis(self.fetch_ms)).await;
        drop(permit);
        Reply::Json(200, json!({"fetched": true}))
    }
}

#[async_trait]
impl Handler for Shared {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        if request.uri().path() == "/fetch" {
            return self.fetch().await;
        }
        let latest: Vec<_> = lock(&self.latest)
            .iter()
            .map(|(model, &version)| LatestVersion { model: model.clone(), version })
            .collect();
        Reply::Json(200, json!(latest))
    }
}
