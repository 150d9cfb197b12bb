//! Contracts: what an operator grants one customer.
//!
//! A contract sets the customer's limits: priority, share of the engines,
//! staleness bound, lot size and which routes are non-idempotent. This crate
//! parses and checks contracts; it doesn't publish them and keeps no state.
//!
//! ```
//! let text = r#"{"format":1,"customer":"a","key_hashes":[],"share_percent":50,
//!   "priority":1,"staleness_bound":2,"idle_weight_percent":50,
//!   "lot":{"groups":1,"group_size":1},"routes":[],"trainers":[]}"#;
//! let contract = cassia_contract::parse(text).unwrap();
//! assert_eq!(contract.share_percent, 50);
//! ```

mod account;
mod check;
mod types;

pub use crate::account::Account;
pub use crate::account::AccountTable;
pub use crate::account::KeyDigest;
pub use crate::check::ContractError;
pub use crate::check::Violation;
pub use crate::check::check;
pub use crate::check::parse;
pub use crate::types::Class;
pub use crate::types::Contract;
pub use crate::types::FORMAT;
pub use crate::types::LotSize;
pub use crate::types::Route;
pub use crate::types::RouteKind;
pub use crate::types::Trainer;
pub use crate::types::key_hash;
pub use crate::types::schema;
