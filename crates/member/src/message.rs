//! The datagrams between processes.

use std::net::SocketAddr;

use prost::Enumeration;
use prost::Message;

/// One datagram.
#[derive(Clone, Message, PartialEq)]
pub struct Gossip {
    /// What the datagram is for.
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Counts the sender's probes; an answer repeats it.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// The sender, by its own word.
    #[prost(message, optional, tag = "3")]
    pub from: Option<Rumour>,
    /// In a request to probe: the address to probe.
    #[prost(string, tag = "4")]
    pub about: String,
    /// News of other processes.
    #[prost(message, repeated, tag = "5")]
    pub rumours: Vec<Rumour>,
    /// News of targets that are leaving.
    #[prost(message, repeated, tag = "6")]
    pub closed: Vec<Closed>,
}

/// The kinds of datagrams.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
#[repr(i32)]
pub enum Kind {
    /// Are you there?
    Probe = 0,
    /// I am.
    Ack = 1,
    /// Probe that one for me.
    ProbeFor = 2,
    /// Are you there, and whom do you know?
    ProbeWhole = 3,
}

/// How a process stands.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum Standing {
    /// It answers.
    Alive = 0,
    /// It did not answer; it may still refute that.
    Suspect = 1,
    /// It is taken for gone.
    Dead = 2,
    /// It said itself that it stops.
    Left = 3,
}

/// What is said of one process.
#[derive(Clone, Message, PartialEq)]
pub struct Rumour {
    /// The process.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Where it listens, as text.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Its data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Raised by the process itself, at a restart or to refute a rumour.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// How it stands.
    #[prost(enumeration = "Standing", tag = "5")]
    pub standing: i32,
    /// The first offset of the configuration stream that it lacks.
    #[prost(uint64, tag = "6")]
    pub config_next: u64,
}

/// A target that is leaving.
#[derive(Clone, Eq, Hash, Message, Ord, PartialEq, PartialOrd)]
pub struct Closed {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

impl Rumour {
    /// Reads the address; none if it isn't one.
    #[must_use]
    pub fn socket(&self) -> Option<SocketAddr> {
        self.addr.parse().ok()
    }

    /// Says whether this goes before what is known: a higher incarnation, or
    /// at the same one the graver standing.
    pub(crate) fn beats(&self, incarnation: u64, standing: Standing) -> bool {
        (self.incarnation, self.standing()) > (incarnation, standing)
    }
}
