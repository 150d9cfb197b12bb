//! Heads of responses that are none, or not all of one.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_clients::HttpClient;
use cassia_clients::PlatformError;
use cassia_clients::Reuse;
use http::Request;
use http::Response;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const TIME_LIMIT: Duration = Duration::from_secs(5);
const WHOLE: &str = "HTTP/1.1 200 OK\r\nserver: s\r\ncontent-length: 5\r\n\r\nwhole";
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nserver: s\r\nconnection: close\r\n\r\n";

/// What a peer does after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Then {
    Close,
    ReadOn,
}

/// Starts a peer whose first connection answers with `first`, and later ones with a whole
/// response.
async fn start_peer(first: String, then: Then) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut response = first;
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, std::mem::replace(&mut response, WHOLE.to_owned()), then));
        }
    });
    addr
}

async fn serve(mut stream: TcpStream, response: String, then: Then) -> std::io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        stream.write_all(response.as_bytes()).await?;
        if then == Then::Close {
            return stream.shutdown().await;
        }
    }
}

async fn fetch(client: &HttpClient, peer: SocketAddr) -> Result<Response<Bytes>, PlatformError> {
    let request = Request::get(format!("http://{peer}/")).body(Full::default()).expect("valid");
    let deadline = Instant::now() + TIME_LIMIT;
    let response = client.send_any_status("test", peer, request, deadline).await?;
    client.read_body("test", peer, response, deadline).await
}

/// A response whose status is no status of a final response passed for one, since the HTTP
/// library takes any number of three digits from 100 on. The connection is not used again.
#[rstest]
#[tokio::test]
async fn a_response_with_another_status_is_none(
    #[values("000", "001", "099", "101", "600", "700", "999", "1000", "20", "2x0", "-20", "")]
    status: &str,
    #[values(Reuse::Always, Reuse::Never)] reuse: Reuse,
) {
    let response = WHOLE.replace("200", status);
    let peer = start_peer(response, Then::ReadOn).await;
    let client = HttpClient::default().with_reuse(reuse);
    let first = fetch(&client, peer).await;
    assert!(first.is_err(), "{first:?}");
    let second = fetch(&client, peer).await.expect("the next response is on another connection");
    assert_eq!(second.body(), "whole");
}

/// All statuses of final responses are passed on as they are.
#[rstest]
#[tokio::test]
async fn a_final_response_has_a_status_from_200_to_599(
    #[values(200, 201, 299, 302, 404, 418, 422, 500, 503, 599)] status: u16,
) {
    let peer = start_peer(WHOLE.replace("200", &status.to_string()), Then::ReadOn).await;
    let response = fetch(&HttpClient::default(), peer).await.expect("a response");
    assert_eq!((response.status().as_u16(), response.body().as_ref()), (status, &b"whole"[..]));
}

/// A peer that closes in the middle of its head has sent no response, wherever it stops;
/// one that closes in the middle of a body of a stated length has sent no whole one.
#[tokio::test]
async fn a_response_that_stops_early_is_none() {
    let chunked = WHOLE.replace("content-length: 5", "transfer-encoding: chunked");
    let chunked = chunked.replace("whole", "5\r\nwhole\r\n0\r\n\r\n");
    for (response, whole_from) in [
        (WHOLE, WHOLE.len()),
        (chunked.as_str(), chunked.len()),
        // Its end is that of the connection.
        (WITHOUT_LENGTH, WITHOUT_LENGTH.len()),
    ] {
        for end in 0..=response.len() {
            let peer = start_peer(response[..end].to_owned(), Then::Close).await;
            let fetched = fetch(&HttpClient::default(), peer).await;
            assert_eq!(fetched.is_ok(), end >= whole_from, "{:?}: {fetched:?}", &response[..end]);
        }
    }
}
