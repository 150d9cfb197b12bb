//! The cases of the second review: each starts the project's programs against
//! stand-ins, brings about one disruption and checks one rule.

mod client;
mod deadly;
mod env;
mod host;
mod late;
mod record;
mod target;

mod memory;
mod stop;

use std::process::ExitCode;
use std::time::Duration;

use tokio::time::timeout;

/// The result of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

/// How long a case may take.
const LIMIT: Duration = Duration::from_secs(110);
const COULD_NOT_RUN: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: cassia-review-2 CASE RECORD");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = async {
        match case.as_str() {
            "deadly" => deadly::run(record, has_trouble).await,
            "memory" => memory::run(record, has_trouble).await,
            "stop" => stop::run(record, has_trouble).await,
            other => Err(std::io::Error::other(format!("no case {other}"))),
        }
    };
    match timeout(LIMIT, run).await {
        Ok(Ok(Verdict::Held)) => ExitCode::SUCCESS,
        Ok(Ok(Verdict::Broken)) => ExitCode::from(1),
        Ok(Err(e)) => {
            eprintln!("could not run: {e}");
            ExitCode::from(COULD_NOT_RUN)
        }
        Err(_) => {
            eprintln!("could not run: over the time limit");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
