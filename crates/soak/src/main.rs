//! Runs the shipped programs under random faults and checks their guarantees.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use cassia_soak::Soak;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Runs the shipped programs under random faults and checks their guarantees.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Seed of the first run
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of runs, each with the next seed
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seeds: u64,
    /// How long faults are injected in each run, in minutes
    #[bpaf(long, argument("M"), fallback(1.0), display_fallback)]
    minutes: f64,
    /// Number of processes
    #[bpaf(long, argument("P"), fallback(4), display_fallback)]
    processes: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    let (Ok(length), true) =
        (Duration::try_from_secs_f64(options.minutes * 60.0), options.processes > 0)
    else {
        eprintln!("cassia-soak: --minutes and --processes must be above 0");
        return ExitCode::from(2);
    };
    let mut failed = 0;
    for seed in options.seed..options.seed.saturating_add(options.seeds) {
        let soak = Soak { seed, length, processes: options.processes };
        let result = tokio::select! {
            result = soak.run() => result,
            // Dropping the run ends its processes.
            () = termination_signal() => return ExitCode::from(2),
        };
        match result {
            Ok(report) => {
                println!("{report}");
                failed += u64::from(!report.violations.is_empty());
            }
            Err(e) => {
                eprintln!("cassia-soak: seed {seed}: {e:#}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{failed} of {} runs broke a promise", options.seeds);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn termination_signal() {
    let term = signal(SignalKind::terminate());
    let (Ok(mut term), interrupt) = (term, tokio::signal::ctrl_c()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt => {}
    }
}
