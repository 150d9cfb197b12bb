//! Validation of contracts.

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
const SHA256_HEX_DIGITS: usize = 64;

/// A field of a contract with a value that is not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Path of the field, such as `routes[2].name`.
    pub field: SmolStr,
    /// The field's value.
    pub value: SmolStr,
    /// Description of the accepted values.
    pub accepted: SmolStr,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { field, value, accepted } = self;
        write!(f, "{field} is {value}; accepted: {accepted}")
    }
}

/// Error from parsing a contract.
#[derive(Debug, thiserror::Error)]
pub enum ContractError {
    /// The text is not JSON, or a field is unknown, missing or of a wrong
    /// type.
    #[error("contract: {0}")]
    Json(#[from] serde_json::Error),
    /// Some values are not accepted.
    #[error("contract: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<Violation>),
}

/// Parses a contract from its JSON text and checks it.
///
/// # Errors
///
/// Returns the first JSON error, or else every value that is not accepted.
pub fn parse(text: &str) -> Result<Contract, ContractError> {
    let contract: Contract = serde_json::from_str(text)?;
    let violations = check(&contract);
    if violations.is_empty() { Ok(contract) } else { Err(ContractError::Invalid(violations)) }
}

/// Checks a contract and returns every value that is not accepted.
#[must_use]
pub fn check(contract: &Contract) -> Vec<Violation> {
    let mut cx = Checker::default();
    cx.range("format", contract.format, FORMAT, FORMAT);
    cx.name("customer", &contract.customer);
    cx.range("share_percent", contract.share_percent, 1, 100);
    cx.range("priority", contract.priority, 0, 100);
    cx.range("idle_weight_percent", contract.idle_weight_percent, 0, 100);
    cx.keys(&contract.key_hashes);
    cx.lot(contract);
    cx.routes(contract);
    cx.trainers(contract);
    cx.violations
}

#[derive(Default)]
struct Checker {
    violations: Vec<Violation>,
}

impl Checker {
    fn reject(&mut self, field: &str, value: &dyn std::fmt::Display, accepted: &str) {
        self.violations.push(Violation {
            field: field.into(),
            value: format_smolstr!("{value}"),
            accepted: accepted.into(),
        });
    }

    fn range(&mut self, field: &str, value: u32, min: u32, max: u32) {
        if !(min..=max).contains(&value) {
            self.reject(field, &value, &format!("{min} to {max}"));
        }
    }

    fn max_len(&mut self, field: &str, len: usize, max: usize) {
        if len > max {
            self.reject(field, &format!("{len} entries"), &format!("at most {max}"));
        }
    }

    fn name(&mut self, field: &str, name: &str) {
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
            let accepted = format!("1 to {MAX_NAME_BYTES} of a-z, 0-9 and -");
            self.reject(field, &format!("{name:?}"), &accepted);
        }
    }

    fn keys(&mut self, hashes: &[SmolStr]) {
        self.max_len("key_hashes", hashes.len(), MAX_KEYS);
        for (i, hash) in hashes.iter().enumerate() {
            let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
            if hash.len() != SHA256_HEX_DIGITS || !hash.chars().all(is_hex) {
                let field = format!("key_hashes[{i}]");
                self.reject(&field, hash, "SHA-256 in 64 lower-case hex digits");
            }
        }
    }

    fn lot(&mut self, contract: &Contract) {
        let samples = u64::from(contract.lot.groups) * u64::from(contract.lot.group_size);
        if samples == 0 || samples > MAX_LOT_SAMPLES {
            let accepted = format!("groups times group_size from 1 to {MAX_LOT_SAMPLES}");
            self.reject("lot", &samples, &accepted);
        }
    }

    fn routes(&mut self, contract: &Contract) {
        self.max_len("routes", contract.routes.len(), MAX_ROUTES);
        let mut seen = BTreeSet::new();
        for (i, route) in contract.routes.iter().enumerate() {
            let field = |part: &str| format!("routes[{i}].{part}");
            self.name(&field("name"), &route.name);
            self.range(&field("deadline_ms"), route.deadline_ms, 1, MAX_DEADLINE_MS);
            if route.class == Class::Rollout {
                self.reject(&field("class"), &"rollout", "interactive or internal");
            }
            if !seen.insert(&route.name) {
                self.reject(&field("name"), &route.name, "a name that no other route has");
            }
        }
    }

    fn trainers(&mut self, contract: &Contract) {
        self.max_len("trainers", contract.trainers.len(), MAX_TRAINERS);
        let mut seen = BTreeSet::new();
        for (i, trainer) in contract.trainers.iter().enumerate() {
            let field = |part: &str| format!("trainers[{i}].{part}");
            self.name(&field("name"), &trainer.name);
            self.name(&field("model"), &trainer.model);
            if !seen.insert(&trainer.name) {
                self.reject(&field("name"), &trainer.name, "a name that no other trainer has");
            }
        }
    }
}
