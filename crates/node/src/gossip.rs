//! The gossip controller: sends and receives the membership's datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use cassia_membership::ClosedTarget;
use cassia_membership::Datagram;
use cassia_membership::Gossip;
use cassia_membership::Membership;
use cassia_route::TargetInfo;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::NodeState;
use crate::state::NewerConfig;

const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Runs until `leave` is signalled, then announces the departure to the peers.
pub(crate) async fn run(
    state: Arc<NodeState>,
    mut membership: Membership,
    socket: UdpSocket,
    mut leave: oneshot::Receiver<()>,
) {
    let mut config_next = state.config_next.subscribe();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let out = tokio::select! {
            received = socket.recv_from(&mut buf) => match received {
                Ok((len, from)) => receive(&state, &mut membership, from, &buf[..len]),
                Err(_) => Vec::new(),
            },
            () = sleep_until(membership.next_tick().into()) => {
                gossip_leaving_targets(&state, &mut membership);
                membership.add_seeds(&state.listed_peers.load());
                membership.tick(Instant::now())
            }
            Ok(()) = config_next.changed() => {
                membership.set_config_next(*config_next.borrow_and_update());
                membership.announce()
            }
            _ = &mut leave => break,
        };
        send(&socket, out).await;
        state.peers.store(Arc::new(membership.live().cloned().collect()));
    }
    let out = membership.leave();
    send(&socket, out).await;
}

fn receive(
    state: &NodeState,
    membership: &mut Membership,
    from: SocketAddr,
    bytes: &[u8],
) -> Vec<Datagram> {
    // Anyone can send a datagram; those that can't be decoded are dropped.
    let Ok(gossip) = Gossip::decode(bytes) else {
        return Vec::new();
    };
    if let Some(sender) = &gossip.sender
        && sender.config_next > *state.config_next.borrow()
        && let Some(peer) = sender.socket_addr()
    {
        state.newer_config.send_replace(Some(NewerConfig { peer, next: sender.config_next }));
    }
    let out = membership.receive(from, &gossip, Instant::now());
    for closed in membership.take_closed_targets() {
        state.change_targets(|view| (view.mark_leaving(&closed.target, closed.incarnation), ()));
    }
    out
}

fn gossip_leaving_targets(state: &NodeState, membership: &mut Membership) {
    let leaving: Vec<_> = state.change_targets(|view| {
        let leaving = view.all().filter(|target| target.leaving);
        let closed = |target: &TargetInfo| ClosedTarget {
            target: target.id.to_string(),
            incarnation: target.incarnation,
        };
        (false, leaving.map(closed).collect())
    });
    for closed in leaving {
        membership.close_target(closed);
    }
}

async fn send(socket: &UdpSocket, out: Vec<Datagram>) {
    for datagram in out {
        // Errors are ignored: the next period's datagrams make up for lost
        // ones.
        let _ = socket.send_to(&datagram.gossip.encode_to_vec(), datagram.to).await;
    }
}
