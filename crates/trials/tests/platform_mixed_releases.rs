//! Hosts of this release beside hosts of one that knows no chunks on the connections
//! that it forwards. The tests speak as such a host.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use cassia_relay::HostEntry;
use cassia_relay::RelayReply;
use cassia_standin::LinkCut;
use cassia_standin::RawEnd;
use cassia_standin::RawRequest;
use cassia_standin::RawTarget;
use cassia_trials::HostLinks;
use cassia_trials::PlatformEnv;
use cassia_trials::eventually;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a host finds out that its links are lost.
const CONTACT: Duration = Duration::from_secs(3);
const BODY: &str = "a whole answer";

/// The request for a connection, as the earlier release knows it.
#[derive(Clone, Message, PartialEq)]
struct EarlierRequest {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
}

fn unframed(request: &RawRequest, body: &str) -> String {
    let id = &request.id;
    format!("HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-stamp: s-{id}\r\n\r\n{body}")
}

/// Asks a host of this release for a connection, as one of the earlier release.
async fn ask_for_reply(
    to: SocketAddr,
    target: &RawTarget,
) -> anyhow::Result<(RelayReply, TcpStream)> {
    let mut frames = Framed::new(TcpStream::connect(to).await?, LengthDelimitedCodec::new());
    let request = EarlierRequest { target: target.id().to_owned(), incarnation: 1 };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let reply = timeout(TIMEOUT, frames.next()).await?.context("a reply")??;
    Ok((RelayReply::decode(reply.freeze())?, frames.into_inner()))
}

/// As above; fails unless the connection stands.
async fn ask(to: SocketAddr, target: &RawTarget) -> anyhow::Result<TcpStream> {
    let (reply, stream) = ask_for_reply(to, target).await?;
    anyhow::ensure!(reply == RelayReply::Connected, "{reply:?}");
    Ok(stream)
}

/// A host of the earlier release takes an ordinary end for the end of the answer. So an
/// answer that breaks off must end with a reset, also when the process that forwards it
/// is killed.
#[rstest]
#[case::the_target_ends(RawEnd::Close, false, true)]
#[case::the_target_resets(RawEnd::Reset, false, false)]
#[case::the_forwarding_process_is_killed(RawEnd::Hold, true, false)]
#[tokio::test]
async fn an_earlier_host_sees_whether_an_answer_broke_off(
    #[case] end: RawEnd,
    #[case] is_killed: bool,
    #[case] is_whole: bool,
) -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(0, 0).await?;
    let script = move |request: &RawRequest| (unframed(request, BODY), end);
    let target = env.add_raw_target("raw", "intake", script).await?;
    let mut process = env.start_process("h1").await?;
    // Hosts are known by their addresses.
    let entry = HostEntry { addr: "127.0.0.1:9".to_owned(), data_centre: "z1".to_owned() };
    env.store.put_bytes("keyed.hosts", "h0", &entry.encode_to_vec());
    let to = process.relay.context("an address")?;
    let is_listed = || async { ask(to, &target).await.is_ok() };
    anyhow::ensure!(eventually(is_listed).await, "no connection");
    let mut stream = ask(to, &target).await?;
    stream.write_all(b"POST /quote/1 HTTP/1.1\r\nattempt-id: a\r\n\r\n").await?;
    let mut answer =
        vec![0; unframed(&RawRequest { id: "a".to_owned(), ..RawRequest::default() }, BODY).len()];
    timeout(TIMEOUT, stream.read_exact(&mut answer)).await??;
    if is_killed {
        process.kill();
    }
    let ended = timeout(TIMEOUT, stream.read(&mut [0; 16])).await?;
    assert_eq!(ended.is_ok_and(|count| count == 0), is_whole);
    Ok(())
}

/// A host of the earlier release that has lost the store sends items of jobs that have
/// ended, and nothing on the connection says so.
#[tokio::test]
async fn an_earlier_host_gets_no_connections_to_engines() -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(0, 0).await?;
    let script = |request: &RawRequest| (unframed(request, BODY), RawEnd::Close);
    let engine = env.add_raw_target("engine", "lm", script).await?;
    let service = env.add_raw_target("service", "intake", script).await?;
    let process = env.start_process("h1").await?;
    let entry = HostEntry { addr: "127.0.0.1:9".to_owned(), data_centre: "z1".to_owned() };
    env.store.put_bytes("keyed.hosts", "h0", &entry.encode_to_vec());
    let to = process.relay.context("an address")?;
    let is_listed = || async { ask(to, &service).await.is_ok() };
    anyhow::ensure!(eventually(is_listed).await, "no connection");
    let (reply, _) = ask_for_reply(to, &engine).await?;
    assert_eq!(reply, RelayReply::Busy);
    Ok(())
}

/// Starts a host of the earlier release that forwards connections to a target.
async fn start_earlier_host(target: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
                let _ = frames.next().await;
                let _ = frames.send(RelayReply::Connected.to_bytes()).await;
                let mut origin = frames.into_inner();
                if let Ok(mut target) = TcpStream::connect(target).await {
                    // A reset of the target becomes an ordinary end.
                    let _ = copy_bidirectional(&mut origin, &mut target).await;
                }
            });
        }
    });
    Ok(addr)
}

/// Through a host of the earlier release, an answer without a length can't be told from
/// one that broke off. One with a length can.
#[rstest]
#[case::with_a_length(true, RawEnd::Hold, 200)]
#[case::without_a_length(false, RawEnd::Close, 502)]
#[case::that_breaks_off(false, RawEnd::Reset, 502)]
#[tokio::test]
async fn only_answers_with_a_length_count_through_an_earlier_host(
    #[case] has_length: bool,
    #[case] end: RawEnd,
    #[case] status: u16,
) -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(0, 0).await?;
    let target = env
        .add_raw_target("raw", "intake", move |request| {
            let answer = unframed(request, BODY);
            let len = format!("\r\ncontent-length: {}\r\n\r\n", BODY.len());
            (if has_length { answer.replace("\r\n\r\n", &len) } else { answer }, end)
        })
        .await?;
    let links = HostLinks::start_with(&env, &[("raw", target.addr())]).await?;
    let earlier = start_earlier_host(target.addr()).await?;
    let entry = HostEntry { addr: earlier.to_string(), data_centre: "z1".to_owned() };
    env.store.put_bytes("keyed.hosts", "h0", &entry.encode_to_vec());
    let process = env.start_process_with_store("h1", links.store_addr()).await?;
    let env = Arc::new(env);
    let is_served = || async { env.request(&process, "/quote/1", "first").await.status != 503 };
    anyhow::ensure!(eventually(is_served).await, "the target is not listed");
    links.cut(LinkCut::Refuse);
    sleep(CONTACT).await;
    let response = env.request(&process, "/quote/1", "a").await;
    assert_eq!(response.status, status, "{response:?}");
    Ok(())
}
