//! The gossip controller: carries out what the membership decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use cassia_member::Closed;
use cassia_member::Datagram;
use cassia_member::Gossip;
use cassia_member::Membership;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::Board;
use crate::board::Ahead;

const MOST_DATAGRAM_BYTES: usize = 8 << 10;

/// Runs until told to leave, then says farewell.
pub(crate) async fn run(
    board: Arc<Board>,
    mut membership: Membership,
    socket: UdpSocket,
    mut leave: oneshot::Receiver<()>,
) {
    let mut config_next = board.config_next.subscribe();
    let mut buf = vec![0; MOST_DATAGRAM_BYTES];
    loop {
        let out = tokio::select! {
            received = socket.recv_from(&mut buf) => match received {
                Ok((len, from)) => receive(&board, &mut membership, from, &buf[..len]),
                Err(_) => Vec::new(),
            },
            () = sleep_until(membership.next_tick().into()) => {
                pass_on_closings(&board, &mut membership);
                membership.add_seeds(&board.listed_peers.load());
                membership.tick(Instant::now())
            }
            Ok(()) = config_next.changed() => {
                membership.set_config_next(*config_next.borrow_and_update());
                membership.announce()
            }
            _ = &mut leave => break,
        };
        send(&socket, out).await;
        board.peers.store(Arc::new(membership.live().cloned().collect()));
    }
    let farewells = membership.leave();
    send(&socket, farewells).await;
}

fn receive(
    board: &Board,
    membership: &mut Membership,
    from: SocketAddr,
    bytes: &[u8],
) -> Vec<Datagram> {
    // What isn't a datagram of ours is dropped: anyone can send one.
    let Ok(gossip) = Gossip::decode(bytes) else {
        return Vec::new();
    };
    if let Some(sender) = &gossip.from
        && sender.config_next > *board.config_next.borrow()
        && let Some(peer) = sender.socket()
    {
        board.ahead.send_replace(Some(Ahead { peer, next: sender.config_next }));
    }
    let out = membership.receive(from, &gossip, Instant::now());
    for closed in membership.take_heard_closed() {
        board.change_targets(|view| (view.mark_leaving(&closed.target, closed.incarnation), ()));
    }
    out
}

fn pass_on_closings(board: &Board, membership: &mut Membership) {
    let closed: Vec<_> = board.change_targets(|view| {
        let leaving = view.all().filter(|listed| listed.leaving);
        let closed = |listed: &cassia_route::TargetInfo| Closed {
            target: listed.id.to_string(),
            incarnation: listed.incarnation,
        };
        (false, leaving.map(closed).collect())
    });
    for closed in closed {
        membership.close_target(closed);
    }
}

async fn send(socket: &UdpSocket, out: Vec<Datagram>) {
    for datagram in out {
        // A datagram that is lost is made up for by the next period's.
        let _ = socket.send_to(&datagram.gossip.encode_to_vec(), datagram.to).await;
    }
}
