//! A caller that speaks HTTP/1.1 on connections of its own.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The host name of all routes.
pub const ROUTE_HOST: &str = "app.example";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a caller's request with an id and a deadline.
    pub fn new(method: &'static str, path: &str, id: &str, deadline: Duration) -> Self {
        let headers = vec![
            ("Attempt-Id".to_owned(), id.to_owned()),
            ("Deadline-Ms".to_owned(), deadline.as_millis().to_string()),
        ];
        Self { method, path: path.to_owned(), headers, body: Vec::new() }
    }

    /// Sets the body.
    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    fn head(&self) -> String {
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        head
    }
}

/// A complete response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    /// Returns a header's value; names are in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns whether the connection is closed after it.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection that is kept for several requests.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(to: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await??;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buf: Vec::new() })
    }

    /// Sends a request and reads its complete response.
    pub async fn send(&mut self, request: &Request) -> io::Result<Response> {
        self.write(request).await?;
        self.read().await
    }

    /// Writes a request.
    pub async fn write(&mut self, request: &Request) -> io::Result<()> {
        self.stream.write_all(request.head().as_bytes()).await?;
        self.stream.write_all(&request.body).await
    }

    /// Reads a complete response; an error says that the connection ended before.
    pub async fn read(&mut self) -> io::Result<Response> {
        let end = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at + 4;
            }
            self.fill().await?;
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end);
        let mut response = parse_head(&head)?;
        let chunked = response.header("transfer-encoding").is_some_and(|v| v == "chunked");
        let length = response.header("content-length").and_then(|v| v.parse::<usize>().ok());
        response.body = match (chunked, length) {
            (true, _) => self.read_chunks().await?,
            (false, Some(length)) => self.take(length).await?,
            (false, None) => Vec::new(),
        };
        Ok(response)
    }

    async fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let at = loop {
                if let Some(at) = find(&self.buf, b"\r\n") {
                    break at;
                }
                self.fill().await?;
            };
            let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
            self.buf.drain(..at + 2);
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let chunk = self.take(size + 2).await?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    async fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            self.fill().await?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    async fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(())
    }
}

/// Sends one request on a connection of its own.
pub async fn send_once(to: SocketAddr, request: &Request) -> io::Result<Response> {
    Connection::open(to).await?.send(request).await
}

/// Returns whether a host answers the load balancer's question with 200.
pub async fn is_ready(ready: SocketAddr) -> bool {
    let request = Request { method: "GET", path: "/v1/ready".to_owned(), ..Request::default() };
    let asked = timeout(READY_TIMEOUT, send_once(ready, &request)).await;
    matches!(asked, Ok(Ok(response)) if response.status == 200)
}

/// Parses the head of a response.
fn parse_head(head: &str) -> io::Result<Response> {
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1)).unwrap_or_default();
    let status = status.parse().map_err(io::Error::other)?;
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
    Ok(Response { status, headers: headers.collect(), body: Vec::new() })
}

/// Returns where a sequence of bytes begins.
pub fn find(buf: &[u8], wanted: &[u8]) -> Option<usize> {
    buf.windows(wanted.len()).position(|window| window == wanted)
}
