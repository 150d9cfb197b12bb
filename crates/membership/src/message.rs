//! The datagrams between processes.

use std::net::SocketAddr;

use prost::Enumeration;
use prost::Message;

/// One datagram.
#[derive(Clone, Message, PartialEq)]
pub struct Gossip {
    /// What the datagram is for.
    #[prost(enumeration = "MessageKind", tag = "1")]
    pub kind: i32,
    /// The sequence number of the sender's probe; an ack repeats it.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// The sender's update about itself.
    #[prost(message, optional, tag = "3")]
    pub sender: Option<MemberUpdate>,
    /// In an indirect probe: the address to probe.
    #[prost(string, tag = "4")]
    pub probe_addr: String,
    /// Updates about other processes.
    #[prost(message, repeated, tag = "5")]
    pub updates: Vec<MemberUpdate>,
    /// Targets that are leaving.
    #[prost(message, repeated, tag = "6")]
    pub closed: Vec<ClosedTarget>,
}

/// The kinds of datagrams.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
#[repr(i32)]
pub enum MessageKind {
    /// Asks for an ack.
    Probe = 0,
    /// Answers a probe, or only carries updates.
    Ack = 1,
    /// Asks the recipient to probe another process and to relay its ack.
    IndirectProbe = 2,
    /// Asks for an ack and for updates about all processes.
    SyncProbe = 3,
}

/// The status of a process.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum MemberStatus {
    /// It answers.
    Alive = 0,
    /// It didn't answer a probe, but may still refute the suspicion.
    Suspect = 1,
    /// It is considered dead.
    Dead = 2,
    /// It announced its planned stop.
    Left = 3,
}

/// The state of one process, as gossiped.
#[derive(Clone, Message, PartialEq)]
pub struct MemberUpdate {
    /// The process.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its address, as text.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Its data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Raised by the process itself, at a restart or to refute an update.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Its status.
    #[prost(enumeration = "MemberStatus", tag = "5")]
    pub status: i32,
    /// The first offset of the configuration stream that it lacks.
    #[prost(uint64, tag = "6")]
    pub config_next: u64,
}

/// A target that is leaving.
#[derive(Clone, Eq, Hash, Message, Ord, PartialEq, PartialOrd)]
pub struct ClosedTarget {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

impl MemberUpdate {
    /// Parses the address; returns `None` if it is invalid.
    #[must_use]
    pub fn socket_addr(&self) -> Option<SocketAddr> {
        self.addr.parse().ok()
    }

    /// Returns whether this replaces what is known: its incarnation is higher,
    /// or the same with a higher status.
    pub(crate) fn supersedes(&self, incarnation: u64, status: MemberStatus) -> bool {
        (self.incarnation, self.status()) > (incarnation, status)
    }
}
