//! The HTTP client on a server: after which responses a connection is used
//! again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_clients::HttpClient;
use cassia_clients::Reuse;
use cassia_standin::Handler;
use cassia_standin::Reply;
use cassia_standin::Server;
use futures::FutureExt;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use rstest::rstest;

const DEADLINE: Duration = Duration::from_secs(5);
/// A request is sent sooner than its response comes.
const RESPONSE_DELAY: Duration = Duration::from_millis(50);
/// Time in which a response has arrived.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(500);

/// Answers with the status that the path names.
#[derive(Debug)]
struct NamedStatus;

#[async_trait]
impl Handler for NamedStatus {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        tokio::time::sleep(RESPONSE_DELAY).await;
        let status = request.uri().path().trim_start_matches('/').parse().unwrap_or(404);
        Reply::Bytes(status, Vec::new(), Bytes::new())
    }
}

fn only_success(_: &HeaderMap, status: StatusCode, _: &HeaderMap) -> bool {
    status.is_success()
}

fn request(peer: SocketAddr, status: u16) -> anyhow::Result<Request<Full<Bytes>>> {
    Ok(Request::get(format!("http://{peer}/{status}")).body(Full::default())?)
}

async fn send(client: &HttpClient, peer: SocketAddr, status: u16) -> anyhow::Result<()> {
    let deadline = Instant::now() + DEADLINE;
    let response = client.send_any_status("ask", peer, request(peer, status)?, deadline).await?;
    assert_eq!(response.status().as_u16(), status);
    // The connection returns to the pool, if at all.
    tokio::time::sleep(Duration::from_millis(50)).await;
    Ok(())
}

/// Guards against the late copy of a response reaching the next request, for
/// responses whose copy can't be told from that request's response.
#[rstest]
#[case::always(Reuse::Always, 503, 1)]
#[case::allowed(Reuse::If(only_success), 200, 1)]
#[case::not_allowed(Reuse::If(only_success), 503, 3)]
#[case::never(Reuse::Never, 200, 3)]
#[tokio::test]
async fn a_connection_is_used_again_only_after_responses_that_allow_it(
    #[case] reuse: Reuse,
    #[case] status: u16,
    #[case] connections: u64,
) -> anyhow::Result<()> {
    let server = Server::start(Arc::new(NamedStatus)).await?;
    let client = HttpClient::default().with_reuse(reuse);
    for _ in 0..3 {
        send(&client, server.addr(), status).await?;
    }
    assert_eq!(server.connection_count(), connections);
    Ok(())
}

/// Guards against the same after a request whose sender left when its response
/// had arrived: nobody has looked at that response.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_is_not_used_again_after_a_response_that_nobody_read() -> anyhow::Result<()> {
    let server = Server::start(Arc::new(NamedStatus)).await?;
    let peer = server.addr();
    let client = HttpClient::default().with_reuse(Reuse::If(only_success));
    send(&client, peer, 200).await?;
    let deadline = Instant::now() + DEADLINE;
    let mut left = Box::pin(client.send_any_status("ask", peer, request(peer, 503)?, deadline));
    assert!((&mut left).now_or_never().is_none());
    tokio::time::sleep(MAX_RESPONSE_TIME).await;
    drop(left);
    send(&client, peer, 200).await?;
    assert_eq!(server.connection_count(), 2);
    Ok(())
}
