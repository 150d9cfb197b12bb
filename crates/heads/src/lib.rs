//! The heads of the responses on a connection whose bytes are forwarded.
//!
//! A host that forwards a connection passes on what the target states in its responses,
//! so it reads that too. Bodies are not followed: a response begins with the first bytes
//! of the target after bytes for it. The crate does no I/O.
//!
//! ```
//! use cassia_heads::ResponseHeads;
//!
//! let mut heads = ResponseHeads::default();
//! heads.expect_response();
//! assert!(heads.push(b"HTTP/1.1 200 OK\r\nserver: a\r\n").is_none());
//! let head = heads.push(b"\r\nthe body").unwrap();
//! assert_eq!(head.headers()["server"], "a");
//! ```

use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;

/// Size of the largest head that is read.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum number of headers of a head that is read.
const MAX_HEADERS: usize = 100;

/// Which part of a response comes next.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Part {
    /// The head, or the rest of it.
    #[default]
    Head,
    /// Its body, or what can't be read.
    Body,
}

/// Reads the heads of the responses on one connection.
#[derive(Debug, Default)]
pub struct ResponseHeads {
    next: Part,
    /// The part of a head that has come.
    buf: BytesMut,
}

/// What the bytes of a head amount to.
enum HeadRead {
    Partial,
    /// An informational response of this length, which another head follows.
    Informational(usize),
    Complete(Response<()>),
    Invalid,
}

impl ResponseHeads {
    /// Records bytes for the target: a response is to come, unless the head of one is
    /// coming already.
    pub fn expect_response(&mut self) {
        self.next = Part::Head;
    }

    /// Adds bytes of the target; returns the final head that ends with or in them.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Response<()>> {
        if self.next == Part::Body {
            return None;
        }
        self.buf.extend_from_slice(bytes);
        loop {
            match read_head(&self.buf) {
                HeadRead::Partial if self.buf.len() <= MAX_HEAD_BYTES => return None,
                HeadRead::Informational(len) => drop(self.buf.split_to(len)),
                HeadRead::Complete(head) => {
                    self.end_head();
                    return Some(head);
                }
                HeadRead::Partial | HeadRead::Invalid => {
                    self.end_head();
                    return None;
                }
            }
        }
    }

    fn end_head(&mut self) {
        self.next = Part::Body;
        // A connection may be idle for long.
        self.buf = BytesMut::new();
    }
}

fn read_head(bytes: &[u8]) -> HeadRead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let len = match response.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return HeadRead::Partial,
        Err(_) => return HeadRead::Invalid,
    };
    let status = response.code.and_then(|code| StatusCode::from_u16(code).ok());
    let Some(status) = status else { return HeadRead::Invalid };
    if status.is_informational() {
        return HeadRead::Informational(len);
    }
    let mut head = Response::new(());
    *head.status_mut() = status;
    *head.headers_mut() = header_map(response.headers);
    HeadRead::Complete(head)
}

fn header_map(headers: &[httparse::Header<'_>]) -> HeaderMap {
    let entries = headers.iter().filter_map(|header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(header.value).ok()?))
    });
    entries.collect()
}
