//! The types of a contract, with the field names of its JSON text.

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

/// The only contract format version that this release accepts.
pub const FORMAT: u32 = 1;

/// Number of customer priorities: 0 to 100.
const PRIORITY_COUNT: u32 = 101;

/// The contract that an operator publishes for one customer.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Format version of this text; currently 1.
    pub format: u32,
    /// The customer's name; follows `/v1` in its callers' URL paths.
    #[schemars(with = "String")]
    pub customer: CustomerId,
    /// SHA-256 of each API key that the customer's callers may use, in hex.
    #[schemars(with = "Vec<String>")]
    pub key_hashes: Vec<SmolStr>,
    /// The customer's share of the engines' slots, in percent.
    pub share_percent: u32,
    /// Priority between customers; a larger number is served first.
    pub priority: u32,
    /// Maximum age of a sample's oldest span, in weight versions.
    pub staleness_bound: u64,
    /// Weight of trainer idle time against staleness, in percent.
    pub idle_weight_percent: u32,
    /// Number of samples that a trainer gets in one lot.
    pub lot: LotSize,
    /// Kinds of request that the customer's callers may send.
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
    /// The route's name; follows the customer's name in its URL path.
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

/// Who waits for the answers of a route; earlier classes are served first.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits.
    Interactive,
    /// One of the customer's own services waits.
    Internal,
    /// A trainer waits. Not accepted as the class of a route.
    Rollout,
}

/// One trainer of the customer.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// The trainer's name; part of the URL path of its pulls.
    #[schemars(with = "String")]
    pub name: TrainerId,
    /// The model it trains and whose samples it gets.
    #[schemars(with = "String")]
    pub model: ModelName,
}

impl Contract {
    /// Returns the route with this name.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|r| r.name == name)
    }

    /// Returns the trainer with this name.
    #[must_use]
    pub fn trainer(&self, name: &str) -> Option<&Trainer> {
        self.trainers.iter().find(|t| t.name == name)
    }

    /// Returns whether this is one of the customer's API keys.
    #[must_use]
    pub fn accepts_key(&self, key: &str) -> bool {
        let hash = key_hash(key);
        self.key_hashes.contains(&hash)
    }

    /// Number of samples in a lot.
    #[must_use]
    pub fn samples_per_lot(&self) -> usize {
        let LotSize { groups, group_size } = self.lot;
        usize::try_from(u64::from(groups) * u64::from(group_size)).unwrap_or(usize::MAX)
    }
}

impl Class {
    /// Returns the priority that is sent to engines. A caller's request always
    /// gets a higher one than a trainer's.
    #[must_use]
    pub fn engine_priority(self, priority: u32) -> u32 {
        let base = match self {
            Self::Interactive => 2 * PRIORITY_COUNT,
            Self::Internal => PRIORITY_COUNT,
            Self::Rollout => 0,
        };
        base + priority.min(PRIORITY_COUNT - 1)
    }
}

impl Route {
    /// The longest time until an answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.deadline_ms))
    }
}

/// Hashes an API key for `key_hashes`: SHA-256 in lower-case hex.
#[must_use]
pub fn key_hash(key: &str) -> SmolStr {
    const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digest = Sha256::digest(key.as_bytes());
    let nibbles = digest.iter().flat_map(|b| [b >> 4, b & 0xf]);
    let hex: String = nibbles.map(|n| char::from(HEX_DIGITS[usize::from(n)])).collect();
    hex.into()
}

/// Returns the JSON schema of a contract, for editors and the user guide.
#[must_use]
pub fn schema() -> schemars::schema::RootSchema {
    schemars::schema_for!(Contract)
}
