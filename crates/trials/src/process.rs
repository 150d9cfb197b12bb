//! Runs the shipped programs as processes.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    program: PathBuf,
    args: Vec<String>,
    /// Address for callers or trainers, if the program serves any.
    pub listen: SocketAddr,
    /// Address for its peers, or for readiness checks of `cassia-serve`.
    pub link: SocketAddr,
    /// Address for operators.
    pub ops: SocketAddr,
    /// Address at which other hosts ask for connections, if the program is
    /// `cassia-serve`.
    pub relay: Option<SocketAddr>,
}

/// Name of the program on the users' platform.
const SERVE: &str = "cassia-serve";

/// Returns the path of a shipped program, in the directory of the running one.
///
/// # Errors
///
/// Fails if the running program's path can't be read.
pub fn program_path(name: &str) -> io::Result<PathBuf> {
    let mut dir = std::env::current_exe()?;
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    Ok(dir.join(name))
}

/// Returns a loopback address with a port that is free for TCP and for UDP.
///
/// An ephemeral port that is released again may be given to another socket
/// before the process binds it. The ports here are below the ephemeral range,
/// and no two callers get the same one, in other test processes either.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_addr() -> io::Result<SocketAddr> {
    let mut blocks = PORT_BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        while blocks.next < blocks.end {
            let addr = loopback(blocks.next);
            blocks.next += 1;
            if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
                return Ok(addr);
            }
        }
        blocks.claim()?;
    }
}

/// First port for processes. All are below 32768, where the ephemeral range of
/// Linux starts.
const FIRST_PORT: u32 = 10_000;
const BLOCK_COUNT: u32 = 100;
const PORTS_PER_BLOCK: u32 = 200;
static PORT_BLOCKS: Mutex<PortBlocks> =
    Mutex::new(PortBlocks { held: Vec::new(), next: 0, end: 0 });

/// The blocks of ports claimed by this test process.
///
/// A free port is not enough: between the check and the bind by the process
/// that gets it, a test process that runs at the same time may find it free.
struct PortBlocks {
    /// Listeners on the first port of each claimed block; they keep other test
    /// processes from claiming it.
    held: Vec<TcpListener>,
    /// Next port to hand out.
    next: u32,
    /// End of the block claimed last.
    end: u32,
}

impl PortBlocks {
    /// Claims a block that no other test process has. Successive processes
    /// start at different ones, as the last one's ports may still be in use.
    fn claim(&mut self) -> io::Result<()> {
        for n in 0..BLOCK_COUNT {
            let block = (std::process::id() + n) % BLOCK_COUNT;
            let first = FIRST_PORT + block * PORTS_PER_BLOCK;
            if let Ok(listener) = TcpListener::bind(loopback(first)) {
                self.held.push(listener);
                (self.next, self.end) = (first + 1, first + PORTS_PER_BLOCK);
                return Ok(());
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}

fn loopback(port: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap_or(0)))
}

/// Limit on the wait until all threads of a suspended process have stopped.
const FREEZE_LIMIT: Duration = Duration::from_secs(5);
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(1);

impl Process {
    /// Starts a program that reaches the platform by these flags.
    pub(crate) fn start(
        program: &'static str,
        host: &str,
        data_centre: &str,
        platform_flags: &[String],
    ) -> io::Result<Self> {
        let (listen, link, ops) = (free_addr()?, free_addr()?, free_addr()?);
        let mut args: Vec<String> = vec![
            format!("--host={host}"),
            format!("--data-centre={data_centre}"),
            format!("--link={link}"),
            format!("--ops={ops}"),
        ];
        if program != "cassia-control" {
            args.push(format!("--listen={listen}"));
        }
        args.extend(platform_flags.iter().cloned());
        let program = program_path(program)?;
        let child = spawn(&program, &args)?;
        Ok(Self { child, program, args, listen, link, ops, relay: None })
    }

    /// Starts `cassia-serve`, which reaches the store at this address.
    ///
    /// # Errors
    ///
    /// Fails if no port is free or the program can't be started.
    pub fn start_serve(host: &str, store: SocketAddr) -> io::Result<Self> {
        Self::start_serve_build(&program_path(SERVE)?, host, store)
    }

    /// As `start_serve`, with further flags.
    ///
    /// # Errors
    ///
    /// As `start_serve`.
    pub fn start_serve_with(host: &str, store: SocketAddr, flags: &[String]) -> io::Result<Self> {
        Self::start_build_with(&program_path(SERVE)?, host, store, flags)
    }

    /// As `start_serve`, with the program at this path, which may be an earlier one.
    ///
    /// # Errors
    ///
    /// As `start_serve`.
    pub fn start_serve_build(program: &Path, host: &str, store: SocketAddr) -> io::Result<Self> {
        Self::start_build_with(program, host, store, &[])
    }

    fn start_build_with(
        program: &Path,
        host: &str,
        store: SocketAddr,
        further: &[String],
    ) -> io::Result<Self> {
        let (listen, link, ops) = (free_addr()?, free_addr()?, free_addr()?);
        let relay = free_addr()?;
        let mut args: Vec<String> = vec![
            format!("--host={host}"),
            "--data-centre=z1".to_owned(),
            format!("--relay={relay}"),
            format!("--listen={listen}"),
            format!("--ready={link}"),
            format!("--ops={ops}"),
            format!("--store={store}"),
            "--store-parts=2".to_owned(),
        ];
        args.extend_from_slice(further);
        let program = program.to_owned();
        let flags = known_flags(&program, &args)?;
        let relay = flags.iter().any(|flag| flag.starts_with("--relay=")).then_some(relay);
        let child = spawn(&program, &flags)?;
        Ok(Self { child, program, args, listen, link, ops, relay })
    }

    /// Starts another build of the program at the same addresses, after this one has ended.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn replace(&mut self, program: &Path) -> io::Result<()> {
        self.kill();
        program.clone_into(&mut self.program);
        self.child = spawn(program, &known_flags(program, &self.args)?)?;
        Ok(())
    }

    /// Kills the process and starts the program again with the same arguments.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = spawn(&self.program, &self.args)?;
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP; its connections stay open.
    ///
    /// Returns once all its threads have stopped. On a busy machine they run on
    /// for some milliseconds after the signal was sent, and could still serve
    /// the request that the test sends next.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        let deadline = Instant::now() + FREEZE_LIMIT;
        while !self.is_frozen() && Instant::now() < deadline {
            std::thread::sleep(FREEZE_POLL_INTERVAL);
        }
    }

    /// Returns whether all threads are stopped or have ended.
    fn is_frozen(&self) -> bool {
        let Ok(tasks) = std::fs::read_dir(format!("/proc/{}/task", self.id())) else {
            return true;
        };
        tasks.flatten().all(|task| {
            // The state follows the name, which is in parentheses.
            std::fs::read_to_string(task.path().join("stat")).map_or(true, |stat| {
                let state = stat.rsplit(") ").next().and_then(|rest| rest.chars().next());
                matches!(state, Some('T' | 'X' | 'Z') | None)
            })
        })
    }

    /// Resumes the process after [`freeze`](Self::freeze).
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to stop, with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits until the process has exited; `None` if it hasn't in time.
    pub async fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the peak resident memory of the process, in megabytes.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn peak_mb(&self) -> anyhow::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).context("no peak")?;
        let kb: u64 = line.split_whitespace().nth(1).context("no number")?.parse()?;
        Ok(kb >> 10)
    }

    /// Returns what the process has written to standard error, if it has ended.
    pub fn errors(&mut self) -> String {
        let mut errors = String::new();
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if let Some(stderr) = self.child.stderr.as_mut().filter(|_| has_ended)
            && let Err(e) = stderr.read_to_string(&mut errors)
        {
            return e.to_string();
        }
        errors
    }

    /// Returns the process id.
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

/// Returns the flags that a program knows: earlier ones have fewer.
fn known_flags(program: &Path, args: &[String]) -> io::Result<Vec<String>> {
    let asked = spawn_apart(Command::new(program).arg("--help").stdout(Stdio::piped()))?;
    let help = String::from_utf8_lossy(&asked.wait_with_output()?.stdout).into_owned();
    let is_known = |arg: &&String| {
        arg.split('=').next().is_some_and(|name| help.contains(&format!("{name}=")))
    };
    Ok(args.iter().filter(is_known).cloned().collect())
}

fn spawn(program: &Path, args: &[String]) -> io::Result<Child> {
    let show_logs = std::env::var_os("CASSIA_TRIAL_LOGS").is_some();
    let mut command = Command::new(program);
    command
        .args(args)
        .stdin(Stdio::null())
        .stdout(if show_logs { Stdio::inherit() } else { Stdio::null() })
        // A few lines at most, so the pipe is never full.
        .stderr(if show_logs { Stdio::inherit() } else { Stdio::piped() });
    spawn_apart(&mut command)
}

/// Starts a process while no address is being found free: until it runs the program, it
/// holds copies of this one's sockets, also of that by which an address is found free.
fn spawn_apart(command: &mut Command) -> io::Result<Child> {
    let _ports = PORT_BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

impl Drop for Process {
    fn drop(&mut self) {
        // A suspended process exits only on SIGKILL.
        self.kill();
    }
}
