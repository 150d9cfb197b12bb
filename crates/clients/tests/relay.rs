//! Connections over the own link or through another host.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use async_trait::async_trait;
use bytes::Bytes;
use cassia_clients::ErrorKind;
use cassia_clients::HttpClient;
use cassia_clients::PeerStream;
use cassia_clients::Relay;
use cassia_relay::ConnectPlan;
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// A relay that connects to another address, and what it was told.
#[derive(Debug)]
struct FakeRelay {
    plan: ConnectPlan,
    to: Option<SocketAddr>,
    events: Mutex<Vec<&'static str>>,
}

impl FakeRelay {
    fn record(&self, event: &'static str) {
        self.events.lock().expect("not poisoned").push(event);
    }
}

#[async_trait]
impl Relay for FakeRelay {
    fn plan(&self, _: SocketAddr) -> ConnectPlan {
        self.plan
    }

    async fn open(&self, _: SocketAddr) -> io::Result<Box<dyn PeerStream>> {
        self.record("asked");
        let stream = TcpStream::connect(self.to.ok_or(io::ErrorKind::NotConnected)?).await?;
        Ok(Box::new(stream))
    }

    fn record_direct(&self, _: SocketAddr) {
        self.record("direct");
    }

    fn record_relayed(&self, _: SocketAddr) {
        self.record("relayed");
    }
}

/// Starts a server whose responses have this body.
async fn server(name: &'static str) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 1_024];
            if stream.read(&mut buf).await.is_ok() {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", name.len());
                let _ = stream.write_all(format!("{head}{name}").as_bytes()).await;
            }
        }
    });
    Ok(addr)
}

/// Returns an address at which connections are refused.
async fn refusing() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0").await?.local_addr()
}

/// A link that works is used alone; one that is lost must cost a request no more than
/// the way through another host, which is asked for once.
#[rstest]
#[case::link_works(ConnectPlan::DirectFirst, true, true, Some("own"), &["direct"])]
#[case::link_refuses(ConnectPlan::DirectFirst, false, true, Some("other"), &["asked", "relayed"])]
#[case::link_was_lost(ConnectPlan::RelayFirst, false, true, Some("other"), &["asked", "relayed"])]
#[case::no_host_helps(ConnectPlan::RelayFirst, true, false, Some("own"), &["asked", "direct"])]
#[case::no_way(ConnectPlan::DirectFirst, false, false, None, &["asked"])]
#[case::no_way_any_more(ConnectPlan::RelayFirst, false, false, None, &["asked"])]
#[tokio::test]
async fn the_first_connection_that_stands_is_used(
    #[case] plan: ConnectPlan,
    #[case] link_works: bool,
    #[case] relay_works: bool,
    #[case] expected: Option<&str>,
    #[case] events: &[&str],
) -> anyhow::Result<()> {
    let peer = if link_works { server("own").await? } else { refusing().await? };
    let to = if relay_works { Some(server("other").await?) } else { None };
    let relay = Arc::new(FakeRelay { plan, to, events: Mutex::default() });
    let client = HttpClient::default().with_relay(Arc::<FakeRelay>::clone(&relay));
    let request = Request::get(format!("http://{peer}/")).body(Full::<Bytes>::default())?;
    let deadline = Instant::now() + Duration::from_secs(2);
    let response = client.fetch("test", peer, request, deadline).await;
    if let Some(body) = expected {
        assert_eq!(response?.into_body(), body);
    } else {
        let kind = response.err().map(|e| e.kind);
        assert_eq!(kind, Some(ErrorKind::Connect), "nothing was sent");
    }
    assert_eq!(*relay.events.lock().expect("not poisoned"), events);
    Ok(())
}

/// Listens without accepting, with a full queue, so that further connections hang.
async fn hanging() -> anyhow::Result<(SocketAddr, Socket, Vec<TcpStream>)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(0)?;
    let addr = socket.local_addr()?.as_socket().context("an address")?;
    let mut fillers = Vec::new();
    while let Ok(filler) = timeout(Duration::from_millis(50), TcpStream::connect(addr)).await {
        fillers.push(filler?);
    }
    Ok((addr, socket, fillers))
}

/// A slow link is not a lost one: it counts as lost only when its own connection has
/// failed, while the request is served through another host long before.
#[tokio::test]
async fn a_link_that_hangs_counts_as_lost_once_its_connection_has_failed() -> anyhow::Result<()> {
    let (peer, _socket, _fillers) = hanging().await?;
    let (plan, to) = (ConnectPlan::DirectFirst, Some(server("other").await?));
    let relay = Arc::new(FakeRelay { plan, to, events: Mutex::default() });
    let client = HttpClient::default().with_relay(Arc::<FakeRelay>::clone(&relay));
    let request = Request::get(format!("http://{peer}/")).body(Full::<Bytes>::default())?;
    let start = Instant::now();
    let response = client.fetch("test", peer, request, start + Duration::from_secs(2)).await?;
    assert_eq!(response.into_body(), "other");
    assert!(start.elapsed() < Duration::from_millis(400), "{:?}", start.elapsed());
    assert_eq!(*relay.events.lock().expect("not poisoned"), ["asked"]);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(*relay.events.lock().expect("not poisoned"), ["asked", "relayed"]);
    Ok(())
}
