//! The shipped programs as processes.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// A running program; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    command: Vec<String>,
    program: &'static str,
    /// Where callers or trainers reach it, if it takes any.
    pub listen: SocketAddr,
    /// Where its peers reach it.
    pub link: SocketAddr,
    /// Where operators reach it.
    pub ops: SocketAddr,
}

/// Finds a shipped program beside the running one.
///
/// # Errors
///
/// The running program's path can't be read.
pub(crate) fn program_path(name: &str) -> io::Result<PathBuf> {
    let mut dir = std::env::current_exe()?;
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    Ok(dir.join(name))
}

/// Finds a loopback port that is free for TCP and for UDP.
///
/// A port that the system gave out and took back may be given to the next
/// socket before the process binds it. These come from below the range that
/// the system gives out, and no two callers here get the same one.
///
/// # Errors
///
/// There is none.
pub(crate) fn free_addr() -> io::Result<SocketAddr> {
    let offset = std::process::id().wrapping_mul(PORTS_PER_RUN) % PORTS;
    for _ in 0..PORTS {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset + next) % PORTS;
        let addr = SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap_or(0)));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// The ports that processes are given: below 32768, where Linux begins to give
/// ports out by itself.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;
/// Keeps runs that follow each other apart, whose ports may still linger.
const PORTS_PER_RUN: u32 = 211;
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

impl Process {
    pub(crate) fn start(
        name: &'static str,
        host: &str,
        data_centre: &str,
        platform: &[String],
    ) -> io::Result<Self> {
        let (listen, link, ops) = (free_addr()?, free_addr()?, free_addr()?);
        let mut command: Vec<String> = vec![
            format!("--host={host}"),
            format!("--data-centre={data_centre}"),
            format!("--link={link}"),
            format!("--ops={ops}"),
        ];
        if name != "cassia-control" {
            command.push(format!("--listen={listen}"));
        }
        command.extend(platform.iter().cloned());
        let child = spawn(name, &command)?;
        Ok(Self { child, command, program: name, listen, link, ops })
    }

    /// Starts the program that serves on the platform.
    pub(crate) fn start_serve(host: &str, store: SocketAddr) -> io::Result<Self> {
        let (listen, link, ops) = (free_addr()?, free_addr()?, free_addr()?);
        let command: Vec<String> = vec![
            format!("--host={host}"),
            "--data-centre=z1".to_owned(),
            format!("--listen={listen}"),
            format!("--ready={link}"),
            format!("--ops={ops}"),
            format!("--store={store}"),
            "--store-parts=2".to_owned(),
        ];
        let program = "cassia-serve";
        let child = spawn(program, &command)?;
        Ok(Self { child, command, program, listen, link, ops })
    }

    /// Starts the same program again, with the same settings.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = spawn(self.program, &self.command)?;
        Ok(())
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Freezes it: it keeps its connections and does nothing.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on after a freeze.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits until it has ended; none if it hasn't in time.
    pub async fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= until {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Tells the process's number.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

fn spawn(name: &str, arguments: &[String]) -> io::Result<Child> {
    let logs = std::env::var_os("CASSIA_TRIAL_LOGS").is_some();
    let output = || if logs { Stdio::inherit() } else { Stdio::null() };
    Command::new(program_path(name)?)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(output())
        .stderr(output())
        .spawn()
}

impl Drop for Process {
    fn drop(&mut self) {
        // A frozen process can't be waited for unless it is killed, which
        // SIGKILL does in any state.
        self.kill();
    }
}
