//! HTTP/1.1 as far as the clients and the servers of the cases need it.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;

/// The host name of all routes.
pub const ROUTE_HOST: &str = "app.example";

/// A request of a client, on a connection of its own.
#[derive(Clone, Debug)]
pub struct Call {
    method: &'static str,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    limit: Duration,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub stamp: Option<String>,
    /// Whether the engine states that it is leaving.
    pub is_leaving: bool,
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

impl Call {
    pub fn new(method: &'static str, path: impl Into<String>) -> Self {
        let limit = Duration::from_secs(5);
        Self { method, path: path.into(), headers: Vec::new(), body: Vec::new(), limit }
    }

    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    pub fn timeout(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }
}

/// Makes a call; `None` if there is no complete answer in time.
pub async fn call(to: SocketAddr, call: &Call) -> Option<Answer> {
    timeout(call.limit, exchange(to, call)).await.ok()?
}

async fn exchange(to: SocketAddr, call: &Call) -> Option<Answer> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{} {} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n", call.method, call.path);
    for (name, value) in &call.headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\nConnection: close\r\n\r\n", call.body.len());
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(&call.body).await.ok()?;
    let (reader, _writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let head = read_head(&mut reader).await?;
    let status = head.first.split(' ').nth(1)?.parse().ok()?;
    let body = match head.header("content-length").and_then(|len| len.parse::<usize>().ok()) {
        Some(len) => {
            let mut body = vec![0; len];
            reader.read_exact(&mut body).await.ok()?;
            body
        }
        None => {
            let mut body = Vec::new();
            reader.read_to_end(&mut body).await.ok()?;
            body
        }
    };
    let stamp = head.header("response-stamp").map(str::to_owned);
    let is_leaving = head.header("server-leaving").is_some();
    Some(Answer { status, stamp, is_leaving, body })
}

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, whose name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }
}

/// Reads a head; `None` if the connection ends before.
pub async fn read_head(reader: &mut BufReader<OwnedReadHalf>) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(head);
        }
        if head.first.is_empty() {
            line.clone_into(&mut head.first);
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request whose length is stated.
pub async fn read_body(reader: &mut BufReader<OwnedReadHalf>, head: &Head) -> Option<Vec<u8>> {
    let len = head.header("content-length").map_or(Some(0), |len| len.parse().ok())?;
    let mut body = vec![0; len];
    reader.read_exact(&mut body).await.ok()?;
    Some(body)
}
