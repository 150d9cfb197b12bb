//! The platform's list of targets: replicas that lag by different amounts.

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

/// The list, with its replicas.
#[derive(Debug)]
pub struct TargetListStandin {
    replicas: Vec<(Server, Arc<Replica>)>,
    current: Mutex<TargetSnapshot>,
}

#[derive(Debug, Default)]
struct Replica {
    copy: Mutex<TargetSnapshot>,
    frozen: Mutex<bool>,
}

impl TargetListStandin {
    /// Starts the list with some replicas.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start(replicas: usize) -> io::Result<Self> {
        let mut started = Vec::new();
        for _ in 0..replicas {
            let replica = Arc::new(Replica::default());
            started.push((Server::start(Arc::clone(&replica) as _).await?, replica));
        }
        Ok(Self { replicas: started, current: Mutex::default() })
    }

    /// Tells where the replicas listen.
    #[must_use]
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|(server, _)| server.addr()).collect()
    }

    /// Adds a target or replaces what is listed of it.
    pub fn put(&self, listed: TargetInfo) {
        self.change(|targets| {
            targets.retain(|t| t.id != listed.id);
            targets.push(listed);
        });
    }

    /// Lists a process of the project's own.
    pub fn add_peer(&self, addr: SocketAddr) {
        self.change_copy(|copy| copy.peers.push(addr));
    }

    /// Marks a target as leaving.
    pub fn set_leaving(&self, id: &str) {
        self.change(|targets| {
            targets.iter_mut().filter(|t| t.id == id).for_each(|t| t.leaving = true);
        });
    }

    /// Removes a target.
    pub fn remove(&self, id: &str) {
        self.change(|targets| targets.retain(|t| t.id != id));
    }

    /// Keeps a replica at its present copy, or lets it catch up.
    pub fn set_frozen(&self, replica: usize, frozen: bool) {
        let replica = &self.replicas[replica].1;
        *lock(&replica.frozen) = frozen;
        if !frozen {
            lock(&replica.copy).clone_from(&lock(&self.current));
        }
    }

    fn change(&self, change: impl FnOnce(&mut Vec<TargetInfo>)) {
        self.change_copy(|copy| change(&mut copy.targets));
    }

    fn change_copy(&self, change: impl FnOnce(&mut TargetSnapshot)) {
        let mut current = lock(&self.current);
        change(&mut current);
        current.seq += 1;
        for (_, replica) in &self.replicas {
            if !*lock(&replica.frozen) {
                lock(&replica.copy).clone_from(&current);
            }
        }
    }
}

#[async_trait]
impl Handler for Replica {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let copy = lock(&self.copy);
        let tag = format!("\"{}\"", copy.seq);
        let has = request.headers().get("if-none-match");
        if has.is_some_and(|has| has.as_bytes() == tag.as_bytes()) {
            return Reply::Bytes(304, Vec::new(), Bytes::new());
        }
        Reply::Bytes(200, vec![("etag", tag)], Bytes::from(json!(*copy).to_string()))
    }
}
