//! Experiments and capacity measurements that run the production decision
//! code, and summaries of a day's logs.

mod capacity;
mod day;
mod engine;
mod experiment;
mod load;
mod plot;
mod report;
mod simulation;

use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use bpaf::Bpaf;
use cassia_explain::DaySummary;

use crate::report::Table;

/// Measures and simulates the decisions of cassiarun, and summarizes its logs.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Print results as JSON
    #[bpaf(long)]
    json: bool,
    #[bpaf(external)]
    command: Command,
}

/// Commands:
#[derive(Bpaf, Clone, Debug)]
enum Command {
    /// Measure the cost of one operation of each decision, at several sizes
    #[bpaf(command)]
    Capacity,
    /// Compare policies under both customers' loads, in virtual time
    #[bpaf(command)]
    Experiment {
        /// Seed of the loads
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Duration of the load, in seconds of virtual time
        #[bpaf(long, argument("S"), fallback(1_200), display_fallback)]
        seconds: u64,
        /// Folder for plots of the results, written as SVG files
        #[bpaf(long, argument("DIR"))]
        plots: Option<PathBuf>,
    },
    /// Summarize the requests and batch jobs of a day from the logs
    ///
    ///
    /// The logs of all hosts are read from standard input.
    #[bpaf(command)]
    Day {
        /// Folder for plots, written as SVG files
        #[bpaf(long, argument("DIR"))]
        plots: Option<PathBuf>,
        /// Also print a table with a row for each batch job
        #[bpaf(long)]
        jobs: bool,
    },
}

fn main() -> ExitCode {
    let options = options().run();
    match run(options.command) {
        Ok(tables) => {
            let text = |table: &Table| if options.json { table.json() } else { table.text() };
            println!("{}", tables.iter().map(text).collect::<Vec<_>>().join("\n\n"));
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("cassia-lab: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> anyhow::Result<Vec<Table>> {
    match command {
        Command::Capacity => Ok(vec![capacity::run()]),
        Command::Experiment { seed, seconds, plots } => {
            let table = experiment::run(seed, seconds);
            if let Some(dir) = plots {
                experiment::write_plots(&table, &dir)?;
            }
            Ok(vec![table])
        }
        Command::Day { plots, jobs } => {
            let mut logs = Vec::new();
            std::io::stdin().read_to_end(&mut logs).context("can't read the logs")?;
            // A line that a host was writing when it was killed may not be
            // valid UTF-8.
            let logs = String::from_utf8_lossy(&logs);
            let day = DaySummary::from_lines(logs.lines());
            if let Some(dir) = plots {
                day::write_plots(&day, &dir)?;
            }
            if day.left_out > 0 {
                eprintln!("hosts left out {} lines over their budgets", day.left_out);
            }
            let mut tables = vec![day::route_table(&day), day::model_table(&day)];
            if jobs {
                tables.push(day::job_table(&day));
            }
            Ok(tables)
        }
    }
}
