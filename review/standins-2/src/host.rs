//! Processes of `cassia-serve`, started as the deploy file says.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::client;

/// The program that `deploy/system.toml` builds, from the repository's root.
const PROGRAM: &str = "target/release/cassia-serve";
const START_LIMIT: Duration = Duration::from_secs(10);

/// Addresses of one host.
#[derive(Clone, Copy, Debug)]
pub struct HostAddrs {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub ops: SocketAddr,
    pub relay: SocketAddr,
}

/// A process; it is killed when dropped.
#[derive(Debug)]
pub struct Host {
    pub addrs: HostAddrs,
    child: Child,
}

/// Returns a loopback address with a free port.
pub fn free_addr() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Host {
    /// Starts a process that reaches the store at this address, and waits until it is
    /// ready.
    pub async fn start(name: &str, zone: &str, store: SocketAddr) -> io::Result<Self> {
        let addrs = HostAddrs {
            front: free_addr()?,
            ready: free_addr()?,
            ops: free_addr()?,
            relay: free_addr()?,
        };
        let child = spawn(name, zone, addrs, store)?;
        let mut host = Self { addrs, child };
        let deadline = Instant::now() + START_LIMIT;
        while Instant::now() < deadline {
            if client::is_ready(addrs.ready).await {
                return Ok(host);
            }
            if let Some(status) = host.child.try_wait()? {
                return Err(io::Error::other(format!("{name} ended: {status}")));
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::other(format!("{name} doesn't become ready")))
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, by its name as `kill` takes it.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let status =
            Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("kill failed")) }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns a figure of the process's memory in kilobytes, by its name in
    /// `/proc/PID/status`.
    pub fn memory_kb(&self, name: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim_start_matches(':').split_whitespace().next()?.parse().ok()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts the program with the command of the deploy file.
fn spawn(name: &str, zone: &str, addrs: HostAddrs, store: SocketAddr) -> io::Result<Child> {
    let program = PathBuf::from(PROGRAM);
    let HostAddrs { front, ready, ops, relay } = addrs;
    let logs = std::env::var("REVIEW_LOGS").ok();
    let out = match logs {
        Some(dir) => Stdio::from(std::fs::File::create(format!("{dir}/{name}.log"))?),
        None => Stdio::null(),
    };
    Command::new(program)
        .args([
            format!("--host={name}"),
            format!("--data-centre={zone}"),
            format!("--listen={front}"),
            format!("--ready={ready}"),
            format!("--ops={ops}"),
            format!("--relay={relay}"),
            format!("--store={store}"),
            format!("--store-parts={}", crate::env::PARTITIONS),
            "--record-bytes=262144".to_owned(),
            "--append-bytes=2097152".to_owned(),
            "--lease-ms=3000".to_owned(),
            "--platform-api=".to_owned(),
            "--duties=".to_owned(),
            "--duty-calls-per-s=".to_owned(),
            "--usage-window-s=".to_owned(),
            "--usage-late-s=".to_owned(),
            "--strict-revoke=".to_owned(),
            "--revoke-ms=".to_owned(),
        ])
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(Stdio::inherit())
        .spawn()
}
