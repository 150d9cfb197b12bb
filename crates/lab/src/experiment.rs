//! Comparison of policies under both customers' loads.
//!
//! The sample buffer, admission control and the choice of engines are the
//! production code. Engines, callers and the trainer are simulated in virtual
//! time.

use std::path::Path;

use anyhow::Context;
use cassia_route::Policy;
use hdrhistogram::Histogram;

use crate::load::LESERBILD;
use crate::load::Load;
use crate::load::Micros;
use crate::load::SAVANNA;
use crate::load::SECOND;
use crate::plot;
use crate::plot::BarSeries;
use crate::report::Table;
use crate::simulation::Simulation;

/// A set of policies.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Policies {
    pub(crate) name: &'static str,
    /// Policy for choosing engines.
    pub(crate) choice: Policy,
    /// Whether callers have priority over samples, at the engines and when an
    /// engine is chosen.
    pub(crate) callers_first: bool,
    /// Whether the choice considers the engines' measured time per token.
    pub(crate) use_token_times: bool,
    /// Whether samples of later lots are generated ahead, by the contract's
    /// weight of idle time.
    pub(crate) generate_ahead: bool,
}

/// The policies that the processes use.
const CHOSEN: Policies = Policies {
    name: "chosen",
    choice: Policy::TwoChoices,
    callers_first: true,
    use_token_times: true,
    generate_ahead: true,
};
const BASELINE: Policies = Policies {
    name: "plain",
    choice: Policy::Random,
    callers_first: false,
    use_token_times: false,
    generate_ahead: false,
};
const LEAST_REPORTED: Policies =
    Policies { name: "least reported", choice: Policy::LeastReported, ..CHOSEN };
const NO_TOKEN_TIMES: Policies =
    Policies { name: "chosen, no pace", use_token_times: false, ..CHOSEN };
const NOT_AHEAD: Policies =
    Policies { name: "chosen, none ahead", generate_ahead: false, ..CHOSEN };

/// Runs all simulations and returns a table with a row for each.
pub(crate) fn run(seed: u64, seconds: u64) -> Table {
    let mut table = Table::new(&[
        "load",
        "policies",
        "trainer",
        "callers",
        "p50 ms",
        "p99 ms",
        "p99 ratio",
        "refused",
        "steps",
        "idle %",
        "staleness mean",
        "staleness max",
        "sample tokens mean",
        "stale",
        "preempted",
    ]);
    for load in [LESERBILD, SAVANNA] {
        let callers_only = Simulation::new(load, CHOSEN, false, seed).run(seconds * SECOND);
        let base_p99 = callers_only.caller_ms.value_at_quantile(0.99);
        table.add_row(callers_only.table_row(load, CHOSEN, false, base_p99));
        for policies in [CHOSEN, BASELINE, LEAST_REPORTED, NOT_AHEAD] {
            let stats = Simulation::new(load, policies, true, seed).run(seconds * SECOND);
            table.add_row(stats.table_row(load, policies, true, base_p99));
        }
        let slow = Load { name: load.slow_name, slow_engines: 1, ..load };
        for policies in [CHOSEN, NO_TOKEN_TIMES, BASELINE] {
            let stats = Simulation::new(slow, policies, true, seed).run(seconds * SECOND);
            table.add_row(stats.table_row(slow, policies, true, base_p99));
        }
    }
    table
}

/// Plotted columns, with the names of their files.
const PLOTTED: [(&str, &str); 3] =
    [("p99 ratio", "p99"), ("idle %", "idle"), ("staleness mean", "staleness")];

/// Writes plots of the main results into a folder.
///
/// # Errors
///
/// The folder or a file can't be written.
pub(crate) fn write_plots(table: &Table, dir: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(dir).with_context(|| format!("can't create {}", dir.display()))?;
    let mut policies = table.column("policies");
    policies.sort_unstable();
    policies.dedup();
    let mut loads = table.column("load");
    loads.dedup();
    for (column, name) in PLOTTED {
        let series = |policy: &&str| BarSeries {
            name: (*policy).to_owned(),
            values: loads
                .iter()
                .map(|load| table.value_with_trainer(column, load, policy))
                .collect(),
        };
        let series: Vec<_> = policies.iter().map(series).collect();
        let labels: Vec<_> = loads.iter().map(ToString::to_string).collect();
        plot::write_bars(&dir.join(format!("{name}.svg")), column, &labels, &series)?;
    }
    Ok(())
}

/// Measurements of one simulation.
#[derive(Debug)]
pub(crate) struct RunStats {
    /// Durations of the answered callers' requests, in milliseconds.
    pub(crate) caller_ms: Histogram<u64>,
    /// Number of callers' requests refused at admission.
    pub(crate) refused: u64,
    /// Number of training steps.
    pub(crate) steps: u64,
    /// Time that the trainer waited for lots.
    pub(crate) trainer_idle: Micros,
    /// Duration of the simulation.
    pub(crate) duration: Micros,
    /// Staleness of the samples delivered in lots.
    pub(crate) staleness: Histogram<u64>,
    /// Tokens of the samples delivered in lots.
    pub(crate) sample_tokens: Histogram<u64>,
    /// Number of samples dropped because they were too stale.
    pub(crate) stale: u64,
    /// Number of preemptions at the engines.
    pub(crate) preemptions: u64,
}

impl RunStats {
    fn table_row(
        &self,
        load: Load,
        policies: Policies,
        with_trainer: bool,
        base_p99: u64,
    ) -> Vec<String> {
        let p99 = self.caller_ms.value_at_quantile(0.99);
        let ratio = |a: u64, b: u64| {
            let (a, b) = (u32::try_from(a).unwrap_or(0), u32::try_from(b.max(1)).unwrap_or(1));
            f64::from(a) / f64::from(b)
        };
        vec![
            load.name.to_owned(),
            policies.name.to_owned(),
            if with_trainer { "yes" } else { "no" }.to_owned(),
            self.caller_ms.len().to_string(),
            self.caller_ms.value_at_quantile(0.5).to_string(),
            p99.to_string(),
            format!("{:.2}", ratio(p99, base_p99)),
            self.refused.to_string(),
            self.steps.to_string(),
            format!("{:.1}", 100.0 * ratio(self.trainer_idle / 1_000, self.duration / 1_000)),
            format!("{:.2}", self.staleness.mean()),
            self.staleness.max().to_string(),
            format!("{:.0}", self.sample_tokens.mean()),
            self.stale.to_string(),
            self.preemptions.to_string(),
        ]
    }
}
