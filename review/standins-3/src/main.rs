//! The cases of the third review that are scripts, and their stand-ins.
//!
//! `cassia-review-3 CASE CASSIA-SERVE RECORD` exits with 1 if the rule was broken, with 0
//! if it held, and with 2 if the case couldn't run. With `TROUBLE=0` in the environment
//! the disruption is left out.

mod engine;
mod held;
mod host;
mod http;
mod leaving;
mod one;
mod record;
mod recover;
mod site;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::timeout;

use crate::record::Recorder;

/// A case takes no longer.
const CASE_LIMIT: Duration = Duration::from_secs(115);

/// What a case has found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Where a case finds the program, and writes to.
#[derive(Clone, Debug)]
pub struct Setting {
    pub program: PathBuf,
    /// A temporary folder for the processes' logs.
    pub dir: PathBuf,
    pub has_trouble: bool,
    pub recorder: Recorder,
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> anyhow::Result<Verdict> {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(program), Some(record)) = (args.next(), args.next(), args.next()) else {
        anyhow::bail!("usage: cassia-review-3 CASE CASSIA-SERVE RECORD");
    };
    let program = std::fs::canonicalize(program)?;
    let dir = std::env::temp_dir().join(format!("cassia-review-3-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let recorder = Recorder::create(record.as_ref())?;
    let setting = Setting { program, dir: dir.clone(), has_trouble, recorder };
    let runtime = tokio::runtime::Runtime::new()?;
    let verdict = runtime.block_on(async {
        let case = async {
            match case.as_str() {
                "held" => held::run(&setting).await,
                "leaving" => leaving::run(&setting).await,
                "one" => one::run(&setting).await,
                "recover" => recover::run(&setting).await,
                other => anyhow::bail!("no such case: {other}"),
            }
        };
        // Also when it is stopped, the processes that it started end with it.
        let mut term = signal(SignalKind::terminate())?;
        tokio::select! {
            verdict = timeout(CASE_LIMIT, case) => verdict?,
            _ = term.recv() => anyhow::bail!("stopped"),
            _ = tokio::signal::ctrl_c() => anyhow::bail!("stopped"),
        }
    });
    runtime.shutdown_timeout(Duration::from_secs(1));
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    verdict
}
