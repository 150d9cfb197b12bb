//! One machine: a process of `cassia-serve` with the command line of the deploy file.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use tokio::time::sleep;

use crate::http::Call;
use crate::http::call;
use crate::record::Recorder;

/// How long a machine may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// A machine; its process is killed when this is dropped.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    /// Where clients reach it.
    pub front: SocketAddr,
    ready: SocketAddr,
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    recorder: Recorder,
}

/// The first port for machines and links, below those that the system gives to
/// connections.
const FIRST_PORT: u32 = 12_000;
/// Number of ports that one run of a case may use.
const PORTS: u32 = 200;
/// Number of such blocks of ports.
const BLOCKS: u32 = 90;

/// Returns a loopback address whose port is free, each time another one.
pub fn free_addr() -> anyhow::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = FIRST_PORT + std::process::id() % BLOCKS * PORTS;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed);
        anyhow::ensure!(port < first + PORTS, "no port is free");
        let addr = SocketAddr::from(([127, 0, 0, 1], u16::try_from(port)?));
        if TcpListener::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
}

impl Host {
    /// Starts a machine's process.
    pub fn start(
        name: &str,
        zone: &str,
        program: &Path,
        store: SocketAddr,
        dir: &Path,
        recorder: &Recorder,
    ) -> anyhow::Result<Self> {
        let (front, ready, ops, relay) = (free_addr()?, free_addr()?, free_addr()?, free_addr()?);
        let args = vec![
            format!("--host={name}"),
            format!("--data-centre={zone}"),
            format!("--listen={front}"),
            format!("--ready={ready}"),
            format!("--ops={ops}"),
            format!("--relay={relay}"),
            format!("--store={store}"),
            "--store-parts=12".to_owned(),
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
            "--memory-mb=".to_owned(),
        ];
        let mut host = Self {
            name: name.to_owned(),
            front,
            ready,
            program: program.to_owned(),
            args,
            log: dir.join(format!("{name}.log")),
            child: None,
            recorder: recorder.clone(),
        };
        host.spawn()?;
        Ok(host)
    }

    /// Starts the process, also again after its end.
    pub fn spawn(&mut self) -> anyhow::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let child = Command::new(&self.program)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .with_context(|| format!("start {}", self.program.display()))?;
        self.recorder.line(format!("{} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.recorder.line(format!("{} is killed", self.name));
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        if let Some(child) = &self.child
            && let Ok(pid) = i32::try_from(child.id())
        {
            let _ = kill(Pid::from_raw(pid), Signal::SIGTERM);
            self.recorder.line(format!("{} gets SIGTERM", self.name));
        }
    }

    /// Waits until the process has ended; false if it has not in time.
    pub async fn wait_for_end(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let is_running =
                self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)));
            if !is_running {
                self.child = None;
                self.recorder.line(format!("{} has ended", self.name));
                return true;
            }
            sleep(Duration::from_millis(5)).await;
        }
        false
    }

    /// Waits until the readiness check returns 200.
    pub async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_LIMIT;
        while Instant::now() < deadline {
            let ready = Call::new("GET", "/v1/ready").timeout(Duration::from_millis(500));
            if call(self.ready, &ready).await.is_some_and(|answer| answer.status == 200) {
                self.recorder.line(format!("{} is ready", self.name));
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        anyhow::bail!("{} does not become ready", self.name)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
