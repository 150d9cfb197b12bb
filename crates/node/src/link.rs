//! Questions between processes over TCP.
//!
//! Each question opens a connection of its own. They are rare (a retry that
//! reached the wrong host, a process that lags), and a fresh connection can't
//! have gone silent unnoticed.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cassia_platform::ErrorKind;
use cassia_platform::PlatformError;
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

use crate::Ask;
use crate::Board;
use crate::ConfigReply;
use crate::LinkReply;
use crate::LinkRequest;
use crate::RateLimit;
use crate::Reply;
use crate::link_message::ConfigAsk;
use crate::link_message::ConfigRecord;
use crate::link_message::TargetsReply;

const MOST_FRAME_BYTES: usize = 32 << 20;
const MOST_CONNECTIONS: usize = 256;
/// A peer that has connected sends its question within this time.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// After a failed accept: it fails for lack of sockets, which needs a moment.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the questions that are a program's own.
#[async_trait]
pub trait LinkHandler: Debug + Send + Sync {
    /// Answers one question; none if it isn't for this program.
    async fn answer(&self, ask: Ask) -> Option<Reply>;
}

/// Answers no questions but those that every process answers.
#[derive(Debug)]
pub struct NoQuestions;

#[async_trait]
impl LinkHandler for NoQuestions {
    async fn answer(&self, _: Ask) -> Option<Reply> {
        None
    }
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn frames(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MOST_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Asks a peer and waits for its reply.
///
/// # Errors
///
/// The peer can't be reached, or doesn't answer in time or in our terms.
pub async fn ask(
    step: &'static str,
    peer: SocketAddr,
    ask: Ask,
    deadline: Instant,
) -> Result<Reply, PlatformError> {
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
    let question = LinkRequest { ask: Some(ask) }.encode_to_vec();
    match timeout_at(deadline.into(), exchange(stream, question)).await {
        Ok(Ok(Some(reply))) => Ok(reply),
        Ok(Ok(None)) => Err(error(ErrorKind::Garbled, "no reply of ours".to_owned())),
        Ok(Err(e)) => Err(error(ErrorKind::Cut, e.to_string())),
        Err(_) => Err(error(ErrorKind::Silent, String::new())),
    }
}

async fn exchange(stream: TcpStream, question: Vec<u8>) -> io::Result<Option<Reply>> {
    stream.set_nodelay(true)?;
    let mut frames = frames(stream);
    frames.send(Bytes::from(question)).await?;
    let Some(frame) = frames.next().await.transpose()? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    Ok(LinkReply::decode(frame).ok().and_then(|reply| reply.reply))
}

/// Serves questions until the process ends.
pub(crate) async fn serve(listener: TcpListener, board: Arc<Board>, handler: Arc<dyn LinkHandler>) {
    let room = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    let complaints = Arc::new(RateLimit::default());
    loop {
        let Ok(permit) = Arc::clone(&room).acquire_owned().await else {
            return;
        };
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (board, handler) = (Arc::clone(&board), Arc::clone(&handler));
        let complaints = Arc::clone(&complaints);
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(e) = serve_one(stream, &board, handler.as_ref()).await
                && let Some(held_back) = complaints.due()
            {
                let peer = peer.to_string();
                log::warn!(event = "bad_question", step = "link", peer, held_back; "{e}");
            }
        });
    }
}

async fn serve_one(stream: TcpStream, board: &Board, handler: &dyn LinkHandler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut frames = frames(stream);
    let frame = match timeout(QUESTION_TIMEOUT, frames.next()).await {
        Ok(Some(frame)) => frame?,
        Ok(None) => return Ok(()),
        Err(_) => return Err(io::Error::new(io::ErrorKind::TimedOut, "no whole question")),
    };
    let question = LinkRequest::decode(frame)
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))?;
    let reply = match question.ask {
        Some(Ask::Config(config)) => Some(Reply::Config(config_reply(board, &config))),
        Some(Ask::Targets(_)) => Some(Reply::Targets(targets_reply(board))),
        Some(ask) => handler.answer(ask).await,
        None => None,
    };
    let reply = LinkReply { reply }.encode_to_vec();
    frames.send(Bytes::from(reply)).await
}

fn targets_reply(board: &Board) -> TargetsReply {
    let copy = board.change_targets(|view| (false, view.snapshot()));
    TargetsReply { copy: serde_json::to_string(&copy).unwrap_or_default() }
}

fn config_reply(board: &Board, ask: &ConfigAsk) -> ConfigReply {
    if let Some(records) = board.records_from(ask.next) {
        let records =
            records.into_iter().map(|(offset, record)| ConfigRecord { offset, record }).collect();
        return ConfigReply { records, fold: String::new() };
    }
    let config = board.config.load();
    let fold = serde_json::to_string(&config.fold).unwrap_or_default();
    ConfigReply { records: Vec::new(), fold }
}
