//! One kept connection of a caller.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::header::CONNECTION;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::ROUTE_HOST;

/// How long a complete response may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// A complete response on a kept connection.
#[derive(Clone, Debug)]
pub struct KeptResponse {
    /// The HTTP status.
    pub status: u16,
    /// Whether the server says that it closes the connection.
    pub closes: bool,
    /// The body.
    pub body: Bytes,
}

/// A connection on which requests are sent one after the other.
#[derive(Debug)]
pub struct CallerConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl CallerConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The server accepts none.
    pub async fn open(to: SocketAddr) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        // It ends with an error if the server ends it.
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// The connection ends before the response is complete, or that takes too long.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> anyhow::Result<KeptResponse> {
        let mut request = Request::builder().method(method).uri(path).header("host", ROUTE_HOST);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()))?;
        let exchange = async {
            self.sender.ready().await.context("the connection is closed")?;
            let (head, body) = self.sender.send_request(request).await?.into_parts();
            let body = body.collect().await.context("the body ends early")?.to_bytes();
            let closes = head.headers.get(CONNECTION).is_some_and(|value| value == "close");
            anyhow::Ok(KeptResponse { status: head.status.as_u16(), closes, body })
        };
        timeout(RESPONSE_TIMEOUT, exchange).await.context("no response in time")?
    }
}
