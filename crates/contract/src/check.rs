//! The checks that a contract must pass before it can be in force.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::Class;
use crate::Contract;
use crate::FORMAT;

const MAX_NAME_BYTES: usize = 64;
const MAX_ROUTES: usize = 64;
const MAX_TRAINERS: usize = 16;
const MAX_KEYS: usize = 16;
const MAX_LOT_SAMPLES: u64 = 4_096;
const MAX_DEADLINE_MS: u32 = 600_000;
const HASH_HEX_DIGITS: usize = 64;

/// One thing that is wrong with a contract.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The field, as a path such as `routes[2].name`.
    pub field: SmolStr,
    /// The value that was found.
    pub value: SmolStr,
    /// What would be accepted.
    pub accepted: SmolStr,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { field, value, accepted } = self;
        write!(f, "{field} is {value}; accepted: {accepted}")
    }
}

/// Why a text is not a contract.
#[derive(Debug, thiserror::Error)]
pub enum ContractError {
    /// The text is not JSON of the right form.
    #[error("contract: {0}")]
    Form(#[from] serde_json::Error),
    /// The text has the right form and values that can't be accepted.
    #[error("contract: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Faults(Vec<Fault>),
}

/// Reads a contract from its JSON text and checks it.
///
/// # Errors
///
/// Names the first unknown or missing field, or all the faults at once.
pub fn parse(text: &str) -> Result<Contract, ContractError> {
    let contract: Contract = serde_json::from_str(text)?;
    let faults = check(&contract);
    if faults.is_empty() { Ok(contract) } else { Err(ContractError::Faults(faults)) }
}

/// Checks a contract and returns everything that is wrong with it.
#[must_use]
pub fn check(contract: &Contract) -> Vec<Fault> {
    let mut cx = Checker::default();
    cx.within("format", contract.format, FORMAT, FORMAT);
    cx.name("customer", &contract.customer);
    cx.within("share_percent", contract.share_percent, 1, 100);
    cx.within("priority", contract.priority, 0, 100);
    cx.within("idle_weight_percent", contract.idle_weight_percent, 0, 100);
    cx.keys(&contract.key_hashes);
    cx.lot(contract);
    cx.routes(contract);
    cx.trainers(contract);
    cx.faults
}

#[derive(Default)]
struct Checker {
    faults: Vec<Fault>,
}

impl Checker {
    fn fault(&mut self, field: &str, value: &dyn std::fmt::Display, accepted: &str) {
        self.faults.push(Fault {
            field: field.into(),
            value: format_smolstr!("{value}"),
            accepted: accepted.into(),
        });
    }

    fn within(&mut self, field: &str, value: u32, low: u32, high: u32) {
        if !(low..=high).contains(&value) {
            self.fault(field, &value, &format!("{low} to {high}"));
        }
    }

    fn at_most(&mut self, field: &str, len: usize, most: usize) {
        if len > most {
            self.fault(field, &format!("{len} entries"), &format!("at most {most}"));
        }
    }

    fn name(&mut self, field: &str, name: &str) {
        let good = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(good) {
            let accepted = format!("1 to {MAX_NAME_BYTES} of a-z, 0-9 and -");
            self.fault(field, &format!("{name:?}"), &accepted);
        }
    }

    fn keys(&mut self, hashes: &[SmolStr]) {
        self.at_most("key_hashes", hashes.len(), MAX_KEYS);
        for (i, hash) in hashes.iter().enumerate() {
            let hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
            if hash.len() != HASH_HEX_DIGITS || !hash.chars().all(hex) {
                let field = format!("key_hashes[{i}]");
                self.fault(&field, hash, "SHA-256 in 64 lower-case hex digits");
            }
        }
    }

    fn lot(&mut self, contract: &Contract) {
        let samples = u64::from(contract.lot.groups) * u64::from(contract.lot.group_size);
        if samples == 0 || samples > MAX_LOT_SAMPLES {
            let accepted = format!("groups times group_size from 1 to {MAX_LOT_SAMPLES}");
            self.fault("lot", &samples, &accepted);
        }
    }

    fn routes(&mut self, contract: &Contract) {
        self.at_most("routes", contract.routes.len(), MAX_ROUTES);
        let mut seen = BTreeSet::new();
        for (i, route) in contract.routes.iter().enumerate() {
            let field = |part: &str| format!("routes[{i}].{part}");
            self.name(&field("name"), &route.name);
            self.within(&field("deadline_ms"), route.deadline_ms, 1, MAX_DEADLINE_MS);
            if route.class == Class::Rollout {
                self.fault(&field("class"), &"rollout", "interactive or internal");
            }
            if !seen.insert(&route.name) {
                self.fault(&field("name"), &route.name, "a name that no other route has");
            }
        }
    }

    fn trainers(&mut self, contract: &Contract) {
        self.at_most("trainers", contract.trainers.len(), MAX_TRAINERS);
        let mut seen = BTreeSet::new();
        for (i, trainer) in contract.trainers.iter().enumerate() {
            let field = |part: &str| format!("trainers[{i}].{part}");
            self.name(&field("name"), &trainer.name);
            self.name(&field("model"), &trainer.model);
            if !seen.insert(&trainer.name) {
                self.fault(&field("name"), &trainer.name, "a name that no other trainer has");
            }
        }
    }
}
