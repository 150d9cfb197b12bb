//! The service that scores rollouts.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use serde_json::Value;
use serde_json::json;

use crate::Handler;
use crate::Reply;
use crate::Server;

/// A scorer: a text's score is its length.
#[derive(Debug)]
pub struct ScorerStandin(Server);

#[derive(Debug)]
struct ByLength;

impl ScorerStandin {
    /// Starts the scorer.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start() -> io::Result<Self> {
        Ok(Self(Server::start(Arc::new(ByLength)).await?))
    }

    /// Tells where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.0.addr()
    }
}

#[async_trait]
impl Handler for ByLength {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let length = body["text"].as_str().map_or(0, str::len);
        Reply::Json(200, json!({"score": length}))
    }
}
