//! A peer's pool of connections that all go silent at once, as when a middlebox
//! forgets them: one request may find that out, not one for each connection.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_platform::HttpClient;
use cassia_standin::Handler;
use cassia_standin::Proxy;
use cassia_standin::Reply;
use cassia_standin::Server;
use futures::future::join_all;
use http::Request;
use http_body_util::Full;
use tokio::time::sleep;

/// Connections that are open when they go silent.
const OPEN: usize = 8;
/// How long a request waits.
const PATIENCE: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Answers;

#[async_trait]
impl Handler for Answers {
    async fn handle(&self, _: Request<Bytes>) -> Reply {
        // Long enough that requests that are sent together overlap.
        sleep(Duration::from_millis(30)).await;
        Reply::Bytes(200, Vec::new(), Bytes::from_static(b"whole"))
    }
}

#[tokio::test]
async fn one_request_finds_a_silent_pool_out_for_all() -> anyhow::Result<()> {
    let server = Server::start(Arc::new(Answers)).await?;
    let way = Proxy::start(server.addr()).await?;
    let (client, peer) = (HttpClient::default(), way.addr());
    let ask = async |patience: Duration| {
        let request = Request::get(format!("http://{peer}/")).body(Full::default())?;
        let answer = client.fetch("ask", peer, request, Instant::now() + patience).await;
        anyhow::Ok(answer.is_ok())
    };
    let together = join_all((0..OPEN).map(|_| ask(PATIENCE * 10))).await;
    assert!(together.into_iter().all(|answered| answered.is_ok_and(|answered| answered)));
    assert!(way.connection_count() >= OPEN as u64, "{} connections", way.connection_count());
    way.stall_connections();
    let mut unanswered = 0;
    for _ in 0..OPEN {
        unanswered += usize::from(!ask(PATIENCE).await?);
    }
    assert!(unanswered <= 1, "{unanswered} of {OPEN} requests met a silent connection");
    Ok(())
}
