//! The operators' command line.

mod contracts;
mod flags;
mod processes;

use std::io::Read;
use std::process::ExitCode;

use crate::flags::Command;

/// How a command ended; the exit codes are part of the interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ended {
    /// The command did what it was asked to.
    Done,
    /// What was given can't be accepted as it stands.
    Faulty,
    /// Another change came first, or the contracts in force don't allow it.
    Refused,
    /// The log or a process can't be reached; what was begun may be done.
    Unreachable,
}

impl From<Ended> for ExitCode {
    fn from(ended: Ended) -> Self {
        Self::from(match ended {
            Ended::Done => 0,
            Ended::Faulty => 2,
            Ended::Refused => 3,
            Ended::Unreachable => 4,
        })
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = flags::options().run();
    let out = Printer { json: options.json };
    let ended = match options.command {
        Command::Check { file } => contracts::check(&out, &file),
        Command::Schema => contracts::schema(&out),
        Command::Publish { log, revision, file } => {
            contracts::publish(&out, log, revision, &file).await
        }
        Command::Withdraw { log, revision, customer } => {
            contracts::withdraw(&out, log, revision, &customer).await
        }
        Command::Show { log, customer } => contracts::show(&out, log, &customer).await,
        Command::History { log, customer } => contracts::history(&out, log, &customer).await,
        Command::Explain { id } => explain(&out, &id),
        Command::Status { ops } => processes::status(&out, &ops).await,
        Command::Dump { ops } => processes::dump(&out, ops).await,
    };
    ended.into()
}

/// Explains an id by the logs on standard input.
fn explain(out: &Printer, id: &str) -> Ended {
    let mut logs = String::new();
    if let Err(e) = std::io::stdin().read_to_string(&mut logs) {
        out.failure(&format!("the logs can't be read: {e}"));
        return Ended::Faulty;
    }
    let explanation = cassia_explain::explain(id, logs.lines());
    let lines: Vec<_> = explanation.lines.iter().map(ToString::to_string).collect();
    let json = serde_json::json!({"id": id, "lines": lines, "verdict": explanation.verdict});
    out.result(&explanation.to_string(), &json);
    if explanation.lines.is_empty() { Ended::Refused } else { Ended::Done }
}

/// Prints results, as text or as JSON.
#[derive(Debug)]
pub(crate) struct Printer {
    json: bool,
}

impl Printer {
    /// Prints one result in the form that was asked for.
    pub(crate) fn result(&self, text: &str, value: &serde_json::Value) {
        if self.json {
            println!("{value}");
        } else {
            println!("{text}");
        }
    }

    /// Prints a failure: to standard error as text, or as JSON like a result.
    pub(crate) fn failure(&self, text: &str) {
        if self.json {
            println!("{}", serde_json::json!({"error": text}));
        } else {
            eprintln!("cassiactl: {text}");
        }
    }
}
