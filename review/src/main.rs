//! Plays the cases of the independent review: `cassia-review CASE FOLDER`.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could
//! not run.

mod behind;
mod ended;
mod harness;
mod relayed;
mod stalled;
mod stopping;

use std::path::Path;
use std::time::Duration;

use tokio::time::timeout;

use crate::harness::Verdict;

/// How long a case may take. Its processes are ended then as well.
const LIMIT: Duration = Duration::from_secs(110);

#[tokio::main]
async fn main() {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let code = match args.as_slice() {
        [case, folder] => match timeout(LIMIT, play(case, Path::new(folder))).await {
            Ok(Ok(verdict)) => verdict as i32,
            Err(_) => 2,
            Ok(Err(e)) => {
                eprintln!("{e:#}");
                2
            }
        },
        _ => 2,
    };
    std::process::exit(code);
}

async fn play(case: &str, folder: &Path) -> anyhow::Result<Verdict> {
    match case {
        "behind" => behind::run(folder).await,
        "ended" => ended::run(folder).await,
        "relayed" => relayed::run(folder).await,
        "stalled" => stalled::run(folder).await,
        "stopping" => stopping::run(folder).await,
        _ => anyhow::bail!("no such case: {case}"),
    }
}
