//! The operators' command-line program.

mod contracts;
mod flags;
mod processes;

use std::io::Read;
use std::process::ExitCode;

use crate::flags::Command;

/// Outcome of a command; the exit codes are part of the interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The command succeeded.
    Done,
    /// The input is invalid.
    Invalid,
    /// Another change came first, the contracts in force don't allow the
    /// change, or nothing was found.
    Refused,
    /// The log or a process can't be reached; a change may still take effect.
    Unreachable,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        Self::from(match outcome {
            Outcome::Done => 0,
            Outcome::Invalid => 2,
            Outcome::Refused => 3,
            Outcome::Unreachable => 4,
        })
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = flags::options().run();
    let out = Printer { json: options.json };
    let outcome = match options.command {
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
    outcome.into()
}

/// Explains an id from the logs on standard input.
fn explain(out: &Printer, id: &str) -> Outcome {
    let mut logs = String::new();
    if let Err(e) = std::io::stdin().read_to_string(&mut logs) {
        out.error(&format!("can't read the logs: {e}"));
        return Outcome::Invalid;
    }
    let explanation = cassia_explain::explain(id, logs.lines());
    let lines: Vec<_> = explanation.lines.iter().map(ToString::to_string).collect();
    let json = serde_json::json!({"id": id, "lines": lines, "verdict": explanation.verdict});
    out.result(&explanation.to_string(), &json);
    if explanation.lines.is_empty() { Outcome::Refused } else { Outcome::Done }
}

/// Prints results, as text or as JSON.
#[derive(Debug)]
pub(crate) struct Printer {
    json: bool,
}

impl Printer {
    /// Prints a result in the chosen format.
    pub(crate) fn result(&self, text: &str, value: &serde_json::Value) {
        if self.json {
            println!("{value}");
        } else {
            println!("{text}");
        }
    }

    /// Prints an error message, as text to standard error or as JSON to
    /// standard output.
    pub(crate) fn error(&self, text: &str) {
        if self.json {
            println!("{}", serde_json::json!({"error": text}));
        } else {
            eprintln!("cassiactl: {text}");
        }
    }
}
