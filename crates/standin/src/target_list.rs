//! The platform's list of targets, with replicas that can be frozen.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_route::TargetInfo;
use cassia_route::TargetSnapshot;
use http::Request;
use serde_json::json;

use crate::Handler;
use crate::Reply;
use crate::Server;
use crate::server::lock;

/// The list of targets, with its replicas.
#[derive(Debug)]
pub struct TargetListStandin {
    replicas: Vec<(Server, Arc<Replica>)>,
    current: Mutex<TargetSnapshot>,
}

#[derive(Debug, Default)]
struct Replica {
    snapshot: Mutex<TargetSnapshot>,
    frozen: Mutex<bool>,
}

impl TargetListStandin {
    /// Starts the list with this many replicas.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(replicas: usize) -> io::Result<Self> {
        let mut started = Vec::new();
        for _ in 0..replicas {
            let replica = Arc::new(Replica::default());
            started.push((Server::start(Arc::clone(&replica) as _).await?, replica));
        }
        Ok(Self { replicas: started, current: Mutex::default() })
    }

    /// Returns the addresses that the replicas listen on.
    #[must_use]
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|(server, _)| server.addr()).collect()
    }

    /// Adds a target, or replaces the entry with the same id.
    pub fn put(&self, target: TargetInfo) {
        self.update_targets(|targets| {
            targets.retain(|t| t.id != target.id);
            targets.push(target);
        });
    }

    /// Adds the address of a Cassia process.
    pub fn add_peer(&self, addr: SocketAddr) {
        self.update(|snapshot| snapshot.peers.push(addr));
    }

    /// Marks a target as leaving.
    pub fn set_leaving(&self, id: &str) {
        self.update_targets(|targets| {
            targets.iter_mut().filter(|t| t.id == id).for_each(|t| t.leaving = true);
        });
    }

    /// Removes a target.
    pub fn remove(&self, id: &str) {
        self.update_targets(|targets| targets.retain(|t| t.id != id));
    }

    /// Keeps a replica at its present snapshot, or lets it catch up.
    pub fn set_frozen(&self, replica: usize, frozen: bool) {
        let replica = &self.replicas[replica].1;
        *lock(&replica.frozen) = frozen;
        if !frozen {
            lock(&replica.snapshot).clone_from(&lock(&self.current));
        }
    }

    fn update_targets(&self, update: impl FnOnce(&mut Vec<TargetInfo>)) {
        self.update(|snapshot| update(&mut snapshot.targets));
    }

    fn update(&self, update: impl FnOnce(&mut TargetSnapshot)) {
        let mut current = lock(&self.current);
        update(&mut current);
        current.seq += 1;
        for (_, replica) in &self.replicas {
            if !*lock(&replica.frozen) {
                lock(&replica.snapshot).clone_from(&current);
            }
        }
    }
}

#[async_trait]
impl Handler for Replica {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let snapshot = lock(&self.snapshot);
        let etag = format!("\"{}\"", snapshot.seq);
        let if_none_match = request.headers().get("if-none-match");
        if if_none_match.is_some_and(|value| value.as_bytes() == etag.as_bytes()) {
            return Reply::Bytes(304, Vec::new(), Bytes::new());
        }
        Reply::Bytes(200, vec![("etag", etag)], Bytes::from(json!(*snapshot).to_string()))
    }
}
