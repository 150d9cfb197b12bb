//! The weight store: latest versions, and fetches with limited concurrency.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_clients::LatestVersion;
use cassia_ids::ModelName;
use cassia_ids::Version;
use http::Request;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::Handler;
use crate::Reply;
use crate::Server;
use crate::server::lock;

/// Number of fetches that the store serves at once.
const MAX_CONCURRENT_FETCHES: usize = 4;

/// A running weight store.
#[derive(Debug)]
pub struct WeightStoreStandin {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    latest: Mutex<BTreeMap<ModelName, Version>>,
    fetches: Semaphore,
    /// Time taken by one fetch, in milliseconds.
    fetch_ms: u64,
}

impl WeightStoreStandin {
    /// Starts the store; one fetch takes this many milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(fetch_ms: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            latest: Mutex::default(),
            fetches: Semaphore::new(MAX_CONCURRENT_FETCHES),
            fetch_ms,
        });
        let server = Server::start(Arc::clone(&shared) as _).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the latest version of a model, as a trainer does after a step.
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
