//! Forwards the bytes of a connection in both directions.

use std::io;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::time::sleep_until;

use crate::state::lock;

/// Size of the buffer of each direction.
const BUFFER_BYTES: usize = 4 << 10;

/// Forwards until both directions have ended or one fails. Once `stop` is over, the
/// connection is closed as soon as it has been quiet for `quiet`: no request is under
/// way on it then.
pub(crate) async fn forward(
    origin: &mut TcpStream,
    target: &mut TcpStream,
    stop: impl Future<Output = ()>,
    quiet: Duration,
) -> io::Result<()> {
    let last_bytes = Mutex::new(Instant::now());
    let (mut from_origin, mut to_origin) = origin.split();
    let (mut from_target, mut to_target) = target.split();
    let both = async {
        tokio::try_join!(
            copy(&mut from_origin, &mut to_target, &last_bytes),
            copy(&mut from_target, &mut to_origin, &last_bytes),
        )
    };
    let quiet_after_stop = async {
        stop.await;
        loop {
            let quiet_at = *lock(&last_bytes) + quiet;
            if Instant::now() >= quiet_at {
                return;
            }
            sleep_until(quiet_at.into()).await;
        }
    };
    tokio::select! {
        ended = both => ended.map(|_| ()),
        () = quiet_after_stop => Ok(()),
    }
}

/// Copies one direction until it ends.
async fn copy(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    last_bytes: &Mutex<Instant>,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        *lock(last_bytes) = Instant::now();
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..count]).await?;
    }
}
