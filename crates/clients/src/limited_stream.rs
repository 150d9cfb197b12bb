//! Connections that read a limited number of bytes before the head of a
//! response is known.
//!
//! The HTTP library limits the size of a head, but not how many informational
//! responses come before it. A peer that sends them without end would keep the
//! process busy with parsing until the request times out.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Uri;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tower_service::Service;

use crate::path_connector::PathConnector;
use crate::path_connector::PeerStream;
use crate::reuse::Retired;

/// How many bytes a connection may still read until the head of a response is
/// known. A response carries it among its extensions.
#[derive(Clone, Debug)]
pub(crate) struct HeadLimit {
    /// For the first request on a connection.
    max_bytes: usize,
    /// For those after it.
    max_bytes_of_reused: usize,
    left: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// Creates the limit of a new connection, in bytes for its first response
    /// and for later ones.
    pub(crate) fn new(max_bytes: usize, max_bytes_of_reused: usize) -> Self {
        Self { max_bytes, max_bytes_of_reused, left: Arc::new(AtomicUsize::new(max_bytes)) }
    }

    /// Records that the head is known: what follows is the body, which has a
    /// limit of its own.
    pub(crate) fn head_received(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Records that part of a request was sent.
    ///
    /// After a head it is either the next request or the rest of one whose
    /// response came early, and the body of that response may be long.
    fn request_sent(&self) {
        let head_received = self.left.load(Ordering::Relaxed) == usize::MAX;
        let max_bytes = if head_received { self.max_bytes_of_reused } else { self.max_bytes };
        self.left.store(max_bytes, Ordering::Relaxed);
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.left.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        if bytes > left {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the head has no end"));
        }
        self.left.store(left - bytes, Ordering::Relaxed);
        Ok(())
    }
}

/// Opens connections with a limit.
#[derive(Clone, Debug)]
pub(crate) struct LimitedConnector {
    connector: PathConnector,
    max_bytes: usize,
    max_bytes_of_reused: usize,
}

impl LimitedConnector {
    /// Creates a connector whose connections read this many bytes to the first
    /// head, and to later ones.
    pub(crate) fn new(
        connector: PathConnector,
        max_bytes: usize,
        max_bytes_of_reused: usize,
    ) -> Self {
        Self { connector, max_bytes, max_bytes_of_reused }
    }
}

impl Service<Uri> for LimitedConnector {
    type Response = TokioIo<LimitedStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let limit = HeadLimit::new(self.max_bytes, self.max_bytes_of_reused);
        let connecting = self.connector.connect(uri);
        async move {
            let stream = connecting.await?;
            Ok(TokioIo::new(LimitedStream { stream, limit }))
        }
        .boxed()
    }
}

/// A connection with a limit.
pub(crate) struct LimitedStream {
    stream: Box<dyn PeerStream>,
    limit: HeadLimit,
}

impl Connection for LimitedStream {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.limit.clone()).extra(Retired::default())
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.limit.count(buf.filled().len() - before))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.limit.request_sent();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.limit.request_sent();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
