//! Requests between processes over TCP.
//!
//! Each request opens a connection of its own: requests are rare (a retry that
//! reached the wrong host, a process that lags), and a fresh connection can't
//! have been lost unnoticed.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_clients::ErrorKind;
use cassia_clients::PlatformError;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use smol_str::format_smolstr;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::ConfigResponse;
use crate::LinkRequest;
use crate::LinkResponse;
use crate::NodeState;
use crate::PeerRequest;
use crate::PeerResponse;
use crate::RateLimit;
use crate::link_message::ConfigRequest;
use crate::link_message::StreamRecord;
use crate::link_message::TargetsResponse;

const MAX_FRAME_BYTES: usize = 32 << 20;
const MAX_CONNECTIONS: usize = 256;
/// Time within which a connected peer must send its request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed accept: it fails when file descriptors run out, and
/// some must be closed first.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the requests that are specific to a program.
#[async_trait]
pub trait LinkHandler: Debug + Send + Sync {
    /// Handles one request; returns `None` if this program doesn't serve it.
    async fn handle(&self, request: PeerRequest) -> Option<PeerResponse>;
}

/// Handles no requests beyond those that every process serves.
#[derive(Debug)]
pub struct NoHandler;

#[async_trait]
impl LinkHandler for NoHandler {
    async fn handle(&self, _: PeerRequest) -> Option<PeerResponse> {
        None
    }
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn frames(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Sends a request to a peer and waits for the response.
///
/// # Errors
///
/// The peer can't be reached, doesn't respond in time, or sends a response
/// that can't be decoded.
pub async fn call_peer(
    step: &'static str,
    peer: SocketAddr,
    request: PeerRequest,
    deadline: Instant,
) -> Result<PeerResponse, PlatformError> {
    let error = |kind, detail: String| {
        let peer = format_smolstr!("{peer}");
        PlatformError { step, peer, kind, detail }
    };
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(error(ErrorKind::Connect, e.to_string())),
        Err(_) => return Err(error(ErrorKind::Connect, "timed out".to_owned())),
    };
    let request = LinkRequest { request: Some(request) }.encode_to_vec();
    match timeout_at(deadline.into(), exchange(stream, request)).await {
        Ok(Ok(Some(response))) => Ok(response),
        Ok(Ok(None)) => Err(error(
            ErrorKind::InvalidResponse,
            "the response is empty or can't be decoded".to_owned(),
        )),
        Ok(Err(e)) => Err(error(ErrorKind::Incomplete, e.to_string())),
        Err(_) => Err(error(ErrorKind::Timeout, String::new())),
    }
}

async fn exchange(stream: TcpStream, request: Vec<u8>) -> io::Result<Option<PeerResponse>> {
    stream.set_nodelay(true)?;
    let mut frames = frames(stream);
    frames.send(Bytes::from(request)).await?;
    let Some(frame) = frames.next().await.transpose()? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    Ok(LinkResponse::decode(frame).ok().and_then(|response| response.response))
}

/// Serves peers' requests until the process ends.
pub(crate) async fn serve(
    listener: TcpListener,
    state: Arc<NodeState>,
    handler: Arc<dyn LinkHandler>,
) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let log_limit = Arc::new(RateLimit::default());
    loop {
        let Ok(permit) = Arc::clone(&connections).acquire_owned().await else {
            return;
        };
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (state, handler) = (Arc::clone(&state), Arc::clone(&handler));
        let log_limit = Arc::clone(&log_limit);
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(e) = serve_one(stream, &state, handler.as_ref()).await
                && let Some(held_back) = log_limit.due()
            {
                let peer = peer.to_string();
                log::warn!(event = "bad_question", step = "link", peer, held_back; "{e}");
            }
        });
    }
}

async fn serve_one(
    stream: TcpStream,
    state: &NodeState,
    handler: &dyn LinkHandler,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut frames = frames(stream);
    let frame = match timeout(REQUEST_TIMEOUT, frames.next()).await {
        Ok(Some(frame)) => frame?,
        Ok(None) => return Ok(()),
        Err(_) => {
            let message = "no complete request within the time limit";
            return Err(io::Error::new(io::ErrorKind::TimedOut, message));
        }
    };
    let request = LinkRequest::decode(frame)
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))?;
    let response = match request.request {
        Some(PeerRequest::Config(config)) => {
            Some(PeerResponse::Config(config_response(state, &config)))
        }
        Some(PeerRequest::Targets(_)) => Some(PeerResponse::Targets(targets_response(state))),
        Some(request) => handler.handle(request).await,
        None => None,
    };
    let response = LinkResponse { response }.encode_to_vec();
    frames.send(Bytes::from(response)).await
}

fn targets_response(state: &NodeState) -> TargetsResponse {
    let list = state.change_targets(|view| (false, view.snapshot()));
    TargetsResponse { list: serde_json::to_string(&list).unwrap_or_default() }
}

fn config_response(state: &NodeState, request: &ConfigRequest) -> ConfigResponse {
    if let Some(records) = state.records_from(request.next) {
        let records =
            records.into_iter().map(|(offset, record)| StreamRecord { offset, record }).collect();
        return ConfigResponse { records, contracts: String::new() };
    }
    let config = state.config.load();
    let contracts = serde_json::to_string(&config.contracts).unwrap_or_default();
    ConfigResponse { records: Vec::new(), contracts }
}
