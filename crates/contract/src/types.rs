//! The types of a contract, as its JSON text spells them.

use std::time::Duration;

use cassia_ids::CustomerId;
use cassia_ids::ModelName;
use cassia_ids::RouteName;
use cassia_ids::TrainerId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;

/// The only format number that this release reads.
pub const FORMAT: u32 = 1;

/// How many priorities a contract can have.
const PRIORITIES: u32 = 101;

/// What an operator promises one customer.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The format of this text; 1 today.
    pub format: u32,
    /// The customer's name, which is the first part of its callers' paths.
    #[schemars(with = "String")]
    pub customer: CustomerId,
    /// SHA-256 of each key that the customer's callers may show, in hex.
    #[schemars(with = "Vec<String>")]
    pub key_hashes: Vec<SmolStr>,
    /// Share of the engines' slots that is the customer's, in percent.
    pub share_percent: u32,
    /// Priority between customers; a larger number goes first.
    pub priority: u32,
    /// Age of the oldest span that a sample may have, in weight versions.
    pub staleness_bound: u64,
    /// Weight of trainer idle time against staleness, in percent.
    pub idle_weight_percent: u32,
    /// How many samples a trainer gets in one lot.
    pub lot: LotSize,
    /// What the customer's callers may ask for.
    pub routes: Vec<Route>,
    /// The customer's trainers.
    pub trainers: Vec<Trainer>,
}

/// The size of one lot of samples.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LotSize {
    /// Prompts in a lot; each prompt has one group of samples.
    pub groups: u32,
    /// Samples in a group.
    pub group_size: u32,
}

/// One kind of request that callers may send.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The route's name, which is the second part of its path.
    #[schemars(with = "String")]
    pub name: RouteName,
    /// Where its requests go.
    pub kind: RouteKind,
    /// Who waits for its answers.
    pub class: Class,
    /// The longest time until an answer, in milliseconds.
    pub deadline_ms: u32,
    /// Whether a request may run more than once without harm.
    pub idempotent: bool,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "to")]
pub enum RouteKind {
    /// To any engine that serves the model.
    Generate {
        /// The model's name.
        #[schemars(with = "String")]
        model: ModelName,
    },
    /// To any instance of a plain service.
    Call {
        /// The service's name.
        #[schemars(with = "String")]
        service: SmolStr,
    },
}

/// Who waits for the answers of a route; earlier ones go first.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits.
    Interactive,
    /// A service of the customer's own waits.
    Internal,
    /// A trainer waits. Routes can't name this class.
    Rollout,
}

/// One trainer of the customer.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// The trainer's name, which is part of its pulls' path.
    #[schemars(with = "String")]
    pub name: TrainerId,
    /// The model it trains and whose samples it gets.
    #[schemars(with = "String")]
    pub model: ModelName,
}

impl Contract {
    /// Finds a route by its name.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|r| r.name == name)
    }

    /// Finds a trainer by its name.
    #[must_use]
    pub fn trainer(&self, name: &str) -> Option<&Trainer> {
        self.trainers.iter().find(|t| t.name == name)
    }

    /// Says whether a caller that shows this key speaks for the customer.
    #[must_use]
    pub fn knows_key(&self, key: &str) -> bool {
        let hash = key_hash(key);
        self.key_hashes.contains(&hash)
    }

    /// Counts the samples of a lot.
    #[must_use]
    pub fn samples_per_lot(&self) -> usize {
        let LotSize { groups, group_size } = self.lot;
        usize::try_from(u64::from(groups) * u64::from(group_size)).unwrap_or(usize::MAX)
    }
}

impl Class {
    /// Gives the priority that engines are asked to honour: every caller's
    /// request goes before every trainer's.
    #[must_use]
    pub fn engine_priority(self, priority: u32) -> u32 {
        let base = match self {
            Self::Interactive => 2 * PRIORITIES,
            Self::Internal => PRIORITIES,
            Self::Rollout => 0,
        };
        base + priority.min(PRIORITIES - 1)
    }
}

impl Route {
    /// Tells how long a caller of this route waits at most.
    #[must_use]
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(u64::from(self.deadline_ms))
    }
}

/// Hashes a caller's key as contracts write it: SHA-256 in lower-case hex.
#[must_use]
pub fn key_hash(key: &str) -> SmolStr {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digest = Sha256::digest(key.as_bytes());
    let digits = digest.iter().flat_map(|b| [b >> 4, b & 0xf]);
    let hex: String = digits.map(|d| char::from(DIGITS[usize::from(d)])).collect();
    hex.into()
}

/// Gives the JSON schema of a contract, for editors and for the guide.
#[must_use]
pub fn schema() -> schemars::schema::RootSchema {
    schemars::schema_for!(Contract)
}
