//! The scorer of rollouts.

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

/// A scorer that scores a text by its length.
#[derive(Debug)]
pub struct ScorerStandin(Server);

#[derive(Debug)]
struct LengthHandler;

impl ScorerStandin {
    /// Starts the scorer.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Ok(Self(Server::start(Arc::new(LengthHandler)).await?))
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.0.addr()
    }
}

#[async_trait]
impl Handler for LengthHandler {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let length = body["text"].as_str().map_or(0, str::len);
        Reply::Json(200, json!({"score": length}))
    }
}
