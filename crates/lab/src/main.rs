//! Experiments and capacity measurements on the real decision code.

mod capacity;
mod engine;
mod experiment;
mod load;
mod report;
mod world;

use std::process::ExitCode;

use bpaf::Bpaf;

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
    },
}

fn main() -> ExitCode {
    let options = options().run();
    let table = match options.command {
        Command::Capacity => capacity::run(),
        Command::Experiment { seed, seconds } => experiment::run(seed, seconds),
    };
    println!("{}", if options.json { table.json() } else { table.text() });
    ExitCode::SUCCESS
}
