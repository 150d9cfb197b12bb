//! Experiments and capacity measurements on the real decision code.

mod capacity;
mod day;
mod engine;
mod experiment;
mod load;
mod plot;
mod report;
mod world;

use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use bpaf::Bpaf;
use cassia_explain::DaySummary;

use crate::report::Table;

/// Measures the decisions of cassiarun.
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
    /// Measure what one operation of each decision costs, at several sizes
    #[bpaf(command)]
    Capacity,
    /// Run both users' loads under the chosen policies and the plain ones, in
    /// virtual time
    #[bpaf(command)]
    Experiment {
        /// Seed of the loads
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Length of the load, in seconds of virtual time
        #[bpaf(long, argument("S"), fallback(1_200), display_fallback)]
        seconds: u64,
        /// Folder that plots of the results are written into, as SVG
        #[bpaf(long, argument("DIR"))]
        plots: Option<PathBuf>,
    },
    /// Tell what became of the requests and batch jobs of a day, by the logs of
    /// all hosts on standard input
    #[bpaf(command)]
    Day {
        /// Folder that plots are written into, as SVG
        #[bpaf(long, argument("DIR"))]
        plots: Option<PathBuf>,
        /// One row for each batch job too
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
                experiment::plots(&table, &dir)?;
            }
            Ok(vec![table])
        }
        Command::Day { plots, jobs } => {
            let mut logs = Vec::new();
            std::io::stdin().read_to_end(&mut logs).context("read the logs")?;
            // What a host wrote while it was killed need not be text.
            let logs = String::from_utf8_lossy(&logs);
            let day = DaySummary::from_lines(logs.lines());
            if let Some(dir) = plots {
                day::plots(&day, &dir)?;
            }
            if day.left_out > 0 {
                eprintln!("hosts left out {} lines over their budgets", day.left_out);
            }
            let mut tables = vec![day::routes(&day), day::models(&day)];
            if jobs {
                tables.push(day::jobs(&day));
            }
            Ok(tables)
        }
    }
}
