//! All pooled connections to a peer stall at once, as when a middlebox drops its
//! connection table: at most one request may time out, not one for each
//! connection.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_clients::HttpClient;
use cassia_standin::Handler;
use cassia_standin::Proxy;
use cassia_standin::Reply;
use cassia_standin::Server;
use futures::future::join_all;
use http::Request;
use http_body_util::Full;
use tokio::time::sleep;

/// Connections that are open when they stall.
const CONNECTIONS: usize = 8;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct SlowHandler;

#[async_trait]
impl Handler for SlowHandler {
    async fn handle(&self, _: Request<Bytes>) -> Reply {
        // Long enough that concurrent requests overlap.
        sleep(Duration::from_millis(30)).await;
        Reply::Bytes(200, Vec::new(), Bytes::from_static(b"whole"))
    }
}

#[tokio::test]
async fn at_most_one_request_times_out_on_a_stalled_pool() -> anyhow::Result<()> {
    let server = Server::start(Arc::new(SlowHandler)).await?;
    let proxy = Proxy::start(server.addr()).await?;
    let (client, peer) = (HttpClient::default(), proxy.addr());
    let send = async |timeout: Duration| {
        let request = Request::get(format!("http://{peer}/")).body(Full::default())?;
        let response = client.fetch("ask", peer, request, Instant::now() + timeout).await;
        anyhow::Ok(response.is_ok())
    };
    let concurrent = join_all((0..CONNECTIONS).map(|_| send(REQUEST_TIMEOUT * 10))).await;
    assert!(concurrent.into_iter().all(|result| result.is_ok_and(|answered| answered)));
    assert!(
        proxy.connection_count() >= CONNECTIONS as u64,
        "{} connections",
        proxy.connection_count()
    );
    proxy.stall_connections();
    let mut unanswered = 0;
    for _ in 0..CONNECTIONS {
        unanswered += usize::from(!send(REQUEST_TIMEOUT).await?);
    }
    assert!(
        unanswered <= 1,
        "{unanswered} of {CONNECTIONS} requests timed out on a stalled connection"
    );
    Ok(())
}
