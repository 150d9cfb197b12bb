//! Callers of the program that send too much, too slowly or by half: each gets
//! a clear answer in time, holds little memory, and harms nobody else.

use std::io;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::ROUTE_HOST;
use cassia_trials::platform_config;
use cassia_trials::wait_until_serving;
use futures::future::join_all;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// The longest pause between two pieces of a body.
const PIECE_MS: u64 = 400;
/// The longest time that a whole body may take.
const WHOLE_MS: u64 = 1_200;
/// The largest body.
const MOST_BYTES: usize = 1 << 20;
/// A machine under load may be slow, a sender without limit is slower.
const SLACK: Duration = Duration::from_millis(2_500);

async fn start() -> anyhow::Result<(PlatformEnv, Process)> {
    let fleet = PlatformEnv::start().await?.with_targets(0, 2).await?;
    let mut narrow = platform_config(2, true);
    narrow["limits"]["max_body_bytes"] = MOST_BYTES.into();
    narrow["limits"]["header_timeout_ms"] = PIECE_MS.into();
    narrow["limits"]["idle_timeout_ms"] = WHOLE_MS.into();
    fleet.store.put("keyed.op", "config", Some(&narrow));
    let process = fleet.start_process("h0").await?;
    wait_until_serving(&fleet, &process).await?;
    Ok((fleet, process))
}

/// Opens a connection and sends a request's head.
async fn head(process: &Process, id: &str, bytes: usize) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(process.listen).await?;
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nhost: {ROUTE_HOST}\r\nattempt-id: {id}\r\n\
         content-length: {bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    Ok(stream)
}

/// Reads what comes until the connection ends; none if it does not end.
async fn until_end(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let limit = Duration::from_millis(WHOLE_MS) + SLACK;
    // A reset ends the connection as well; what had come until then counts.
    let _ = timeout(limit, stream.read_to_end(&mut text)).await.ok()?;
    Some(String::from_utf8_lossy(&text).into_owned())
}

#[derive(Clone, Copy, Debug)]
enum Sender {
    /// Sends half of the body and then nothing.
    Half,
    /// Sends a byte now and then, for ever.
    Slow,
    /// Names a larger body than allowed.
    TooLarge,
}

#[rstest]
#[case::half(Sender::Half, "HTTP/1.1 408", "\"ran\":\"not_run\"")]
#[case::slow(Sender::Slow, "HTTP/1.1 408", "\"ran\":\"not_run\"")]
#[case::too_large(Sender::TooLarge, "HTTP/1.1 413", "\"kind\":\"too_large\"")]
#[tokio::test]
async fn a_body_that_does_not_come_is_answered_and_its_connection_ended(
    #[case] sender: Sender,
    #[case] status: &str,
    #[case] says: &str,
) -> anyhow::Result<()> {
    let (fleet, process) = start().await?;
    let bytes = if matches!(sender, Sender::TooLarge) { MOST_BYTES + 1 } else { 4_000 };
    let mut stream = head(&process, "b1", bytes).await?;
    let (mut from, mut to) = stream.split();
    let sending = async {
        match sender {
            Sender::Half => {
                let _ = to.write_all(&[b'x'; 2_000]).await;
            }
            Sender::Slow => {
                for _ in 0..100 {
                    if to.write_all(b"x").await.is_err() {
                        break;
                    }
                    sleep(Duration::from_millis(PIECE_MS / 8)).await;
                }
            }
            Sender::TooLarge => {}
        }
        std::future::pending::<()>().await;
    };
    let begun = Instant::now();
    let mut text = Vec::new();
    let limit = Duration::from_millis(WHOLE_MS) + SLACK;
    tokio::select! {
        () = sending => {}
        ended = timeout(limit, from.read_to_end(&mut text)) => {
            ended.context("the connection is still open")?.ok();
        }
    }
    let text = String::from_utf8_lossy(&text);
    assert!(text.starts_with(status), "{text}");
    assert!(text.contains(says), "{text}");
    assert!(begun.elapsed() < limit, "{:?}", begun.elapsed());
    assert_eq!(fleet.run_count("b1"), 0, "it promised that it did not run");
    assert_eq!(fleet.request(&process, "/quote/1", "r").await.status, 200, "others are served");
    Ok(())
}

#[tokio::test]
async fn a_body_in_pieces_within_the_limits_is_served() -> anyhow::Result<()> {
    let (fleet, process) = start().await?;
    let mut stream = head(&process, "p1", 8).await?;
    for _ in 0..8 {
        stream.write_all(b"x").await?;
        sleep(Duration::from_millis(WHOLE_MS / 20)).await;
    }
    let mut text = [0; 12];
    timeout(SLACK, stream.read_exact(&mut text)).await.context("no answer")??;
    assert_eq!(&text, b"HTTP/1.1 200");
    assert_eq!(fleet.run_count("p1"), 1);
    Ok(())
}

#[tokio::test]
async fn a_head_that_stops_halfway_ends_its_connection() -> anyhow::Result<()> {
    let (fleet, process) = start().await?;
    let mut stream = TcpStream::connect(process.listen).await?;
    stream.write_all(b"POST /once/1 HTTP/1.1\r\nhost: ").await?;
    let text = until_end(&mut stream).await.context("the connection is still open")?;
    assert!(!text.starts_with("HTTP/1.1 2"), "{text}");
    assert_eq!(fleet.request(&process, "/quote/1", "r").await.status, 200, "others are served");
    Ok(())
}

#[tokio::test]
async fn many_senders_by_half_hold_little_memory_and_harm_nobody() -> anyhow::Result<()> {
    const SENDERS: usize = 160;
    const MOST_MB: u64 = 100;
    let (fleet, process) = start().await?;
    let mut streams = Vec::new();
    for n in 0..SENDERS {
        streams.push(head(&process, &format!("m{n}"), MOST_BYTES).await?);
    }
    let sends = streams.iter_mut().map(|stream| async {
        // Those that are refused read no more; their writes fail or wait.
        let body = vec![b'x'; MOST_BYTES - 1];
        let _ = timeout(Duration::from_millis(PIECE_MS), stream.write_all(&body)).await;
    });
    let served = async {
        sleep(Duration::from_millis(PIECE_MS / 2)).await;
        fleet.request(&process, "/quote/1", "r").await.status
    };
    let (_, status) = tokio::join!(join_all(sends), served);
    let peak = peak_mb(&process)?;
    assert!(peak < MOST_MB, "{peak} MB");
    assert_eq!(status, 200, "others are served");
    for (n, stream) in streams.iter_mut().enumerate() {
        let text = until_end(stream).await.context("the connection is still open")?;
        let known = ["", "HTTP/1.1 408", "HTTP/1.1 503"];
        assert!(known.iter().any(|known| text.get(..12).unwrap_or_default() == *known), "{text}");
        assert_eq!(fleet.run_count(&format!("m{n}")), 0);
    }
    Ok(())
}

/// The most memory that a process held, in megabytes.
fn peak_mb(process: &Process) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).context("no peak")?;
    let kb: u64 = line.split_whitespace().nth(1).context("no number")?.parse()?;
    Ok(kb >> 10)
}
