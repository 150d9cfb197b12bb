//! A burst of uploads: the memory of a host that holds their bodies.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::Verdict;
use crate::client::Connection;
use crate::client::Request;
use crate::env;
use crate::host::Host;
use crate::record::Record;
use crate::target::RunEnd;
use crate::target::Target;

/// The platform kills a process that exceeds this.
const MEMORY_MB: u64 = 270;
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Half of the largest body that the configuration allows.
const BODY_BYTES: usize = 16 << 20;
/// Work of an upload at its target.
const UPLOAD: &str = "w4600";
/// Time between two uploads, usually and in the burst: 16 MB in 250 ms are 512 Mbit/s of
/// the 700 Mbit/s of a host's link.
const USUAL_INTERVAL: Duration = Duration::from_millis(1_000);
const BURST_INTERVAL: Duration = Duration::from_millis(250);
const UPLOADS: usize = 32;
const DEADLINE: Duration = Duration::from_secs(10);
/// LOST counts from more than this many requests on.
const ALLOWED: usize = 3;

/// How an upload ended.
#[derive(Clone, Debug)]
enum UploadEnd {
    /// With this status; 0 if it was not sent.
    Answered(u16),
    Cut,
}

/// Runs the case.
pub async fn run(path: &str, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(path)?;
    let routes = vec![env::route("upload", "idempotent", "intake", 10_000)];
    let store = env::start_store(&env::config(1, routes)).await?;
    let mut targets = Vec::new();
    for n in 0..3 {
        let (id, store) = (format!("s{n}"), Arc::clone(&store));
        targets.push(Target::start(&id, "intake", None, 6, store, record.clone()).await?);
    }
    let host = Host::start("front-z1-1", "z1", store.addr()).await?;
    let front = host.addrs.front;
    let killed = Arc::new(AtomicBool::new(false));
    let watch = tokio::spawn(watch_memory(host, record.clone(), Arc::clone(&killed)));
    let interval = if has_trouble { BURST_INTERVAL } else { USUAL_INTERVAL };
    record.line(format!("uploads of {BODY_BYTES} bytes, one in {interval:?}"));
    let mut uploads = Vec::new();
    let started = Instant::now();
    for n in 0..UPLOADS {
        if killed.load(Ordering::Relaxed) {
            break;
        }
        uploads.push(tokio::spawn(upload(n, front, record.clone())));
        let next = started + interval * u32::try_from(n + 1).unwrap_or(0);
        sleep(next.saturating_duration_since(Instant::now())).await;
    }
    let mut cut = BTreeSet::new();
    for (n, upload) in uploads.into_iter().enumerate() {
        let end = upload.await.map_err(io::Error::other)?;
        match end {
            UploadEnd::Answered(status) => record.line(format!("u{n} is answered: {status}")),
            UploadEnd::Cut => {
                record.line(format!("u{n}: the connection ends without an answer"));
                cut.insert(format!("u{n}"));
            }
        }
    }
    watch.abort();
    // The targets were sound: they worked when the connection ended.
    let runs = targets.iter().flat_map(Target::runs);
    let lost = runs.filter(|run| run.end == RunEnd::Dropped && cut.contains(&run.id));
    let lost: BTreeSet<_> = lost.map(|run| run.id).collect();
    record.line(format!("requests on kept connections, passed on and cut: {}", lost.len()));
    Ok(if lost.len() > ALLOWED { Verdict::Broken } else { Verdict::Held })
}

/// Kills the process if it exceeds the memory that it has, as the platform does.
async fn watch_memory(mut host: Host, record: Record, killed: Arc<AtomicBool>) {
    let mut most = 0;
    loop {
        sleep(MEMORY_CHECK_INTERVAL).await;
        let mb = host.memory_kb("VmRSS").unwrap_or(0) >> 10;
        if mb > most + 20 {
            most = mb;
            record.line(format!("front-z1-1 has {mb} MB"));
        }
        if mb > MEMORY_MB {
            record.line(format!("front-z1-1 exceeds {MEMORY_MB} MB and is killed"));
            host.kill();
            killed.store(true, Ordering::Relaxed);
            std::future::pending::<()>().await;
        }
    }
}

/// Sends a small request and then an upload on one connection.
async fn upload(n: usize, front: SocketAddr, record: Record) -> UploadEnd {
    let Ok(mut connection) = Connection::open(front).await else {
        record.line(format!("u{n}: no connection"));
        return UploadEnd::Answered(0);
    };
    let first = Request::new("POST", "/upload/w5/first", &format!("f{n}"), DEADLINE);
    if connection.send(&first).await.is_err() {
        record.line(format!("f{n}: no answer"));
        return UploadEnd::Answered(0);
    }
    let path = format!("/upload/{UPLOAD}/{n}");
    let request = Request::new("POST", &path, &format!("u{n}"), DEADLINE);
    let request = request.with_body(vec![b'x'; BODY_BYTES]);
    record.line(format!("u{n} is sent"));
    match connection.send(&request).await {
        Ok(response) => UploadEnd::Answered(response.status),
        Err(_) => UploadEnd::Cut,
    }
}
