//! The link of one host to one target, which can be cut.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::time::Duration;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::io::AsyncWriteExt;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

/// Time between two attempts to listen on the address again.
const REBIND_INTERVAL: Duration = Duration::from_millis(5);
/// How long an address may be in use before it is bound first.
const BIND_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection that fills the queue of a listener may take.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);
/// Number of connections that fill the queue of a listener without a backlog.
const FILL_COUNT: usize = 3;

/// Time from the delivery of what a cut held up to that of the end of its connection.
const END_DELAY: Duration = Duration::from_millis(50);

/// What becomes of a link's connections while it is cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkCut {
    /// Present connections forward nothing more, and new ones are not established.
    Hang,
    /// Present connections are closed, and new ones are refused.
    Refuse,
    /// Present connections live on, and new ones are refused.
    RefuseNew,
    /// What is sent on present connections is held back and delivered after the cut, unless
    /// its sender has reset the connection; new ones are not established.
    Delay,
}

/// What a link does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Up,
    Cut(LinkCut),
}

/// A link: it forwards connections to a target, unless it is cut. It ends when
/// dropped.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    state: watch::Sender<State>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts a link at an address, whose port nothing else may take while the link
    /// is cut.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(addr: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        // A process that is being started holds copies of this one's sockets for a
        // moment, also of one that was closed since.
        let listener = timeout(BIND_TIMEOUT, rebind(addr)).await?;
        let (state, rx) = watch::channel(State::Up);
        let task = tokio::spawn(run(listener, addr, target, rx));
        Ok(Self { addr, state, task })
    }

    /// Returns the address at which the host reaches the target.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Cuts the link.
    pub fn cut(&self, cut: LinkCut) {
        self.state.send_replace(State::Cut(cut));
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.state.send_replace(State::Up);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    first: TcpListener,
    addr: SocketAddr,
    target: SocketAddr,
    mut state: watch::Receiver<State>,
) {
    let mut listener = Some(first);
    loop {
        let now = *state.borrow_and_update();
        match now {
            State::Up => {
                let up = match listener.take() {
                    Some(up) => up,
                    None => rebind(addr).await,
                };
                let seen = state.clone();
                tokio::select! {
                    () = accept(&up, target, &seen) => {}
                    changed = state.changed() => if changed.is_err() { return },
                }
            }
            State::Cut(cut) => {
                listener = None;
                let hangs = matches!(cut, LinkCut::Hang | LinkCut::Delay);
                let full = if hangs { listen_full(addr).await } else { None };
                let ended = state.changed().await.is_err();
                drop(full);
                if ended {
                    return;
                }
            }
        }
    }
}

async fn rebind(addr: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(addr).await {
            return listener;
        }
        sleep(REBIND_INTERVAL).await;
    }
}

/// Listens without accepting, with a full queue, so that further connections are
/// not established; returns what keeps it so.
async fn listen_full(addr: SocketAddr) -> Option<(StdListener, Vec<TcpStream>)> {
    let listener = loop {
        match bind_without_backlog(addr) {
            Ok(listener) => break listener,
            Err(_) => sleep(REBIND_INTERVAL).await,
        }
    };
    let mut fillers = Vec::new();
    for _ in 0..FILL_COUNT {
        if let Ok(Ok(filler)) = timeout(FILL_TIMEOUT, TcpStream::connect(addr)).await {
            fillers.push(filler);
        }
    }
    Some((listener, fillers))
}

fn bind_without_backlog(addr: SocketAddr) -> io::Result<StdListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(0)?;
    Ok(socket.into())
}

async fn accept(listener: &TcpListener, target: SocketAddr, state: &watch::Receiver<State>) {
    loop {
        if let Ok((client, _)) = listener.accept().await {
            tokio::spawn(forward(client, target, state.clone()));
        }
    }
}

/// Forwards a connection until either end closes it or the link is cut for good.
async fn forward(mut client: TcpStream, target: SocketAddr, mut state: watch::Receiver<State>) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let stops = |state: &State| {
        matches!(state, State::Cut(LinkCut::Hang | LinkCut::Refuse | LinkCut::Delay))
    };
    let up = |state: &State| *state == State::Up;
    loop {
        let cut = tokio::select! {
            _ = copy_bidirectional(&mut client, &mut server) => return,
            cut = state.wait_for(stops) => cut.ok().map(|state| *state),
        };
        match cut {
            // Both ends stay open for as long as either keeps them.
            Some(State::Cut(LinkCut::Hang)) => {
                let _ = state.wait_for(up).await;
                return;
            }
            Some(State::Cut(LinkCut::Delay)) => {
                let _ = state.wait_for(up).await;
                let is_reset = |end: &TcpStream| !matches!(end.take_error(), Ok(None));
                if is_reset(&client) || is_reset(&server) {
                    return;
                }
                if deliver(&client, &mut server).await.is_err() {
                    return;
                }
                // The target takes a request before it learns that its sender is gone.
                sleep(END_DELAY).await;
            }
            _ => return,
        }
    }
}

/// Delivers what has come from one end so far, but not that it has closed its side.
async fn deliver(from: &TcpStream, to: &mut TcpStream) -> io::Result<()> {
    let mut buf = vec![0; 16 << 10];
    loop {
        match from.try_read(&mut buf) {
            Ok(0) => return Ok(()),
            Ok(count) => to.write_all(&buf[..count]).await?,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        }
    }
}
