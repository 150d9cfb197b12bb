//! The fold of the configuration stream into the contracts in force.
//!
//! Every process folds the same records in the order of their offsets, so all
//! agree on which of two racing amendments won without talking to each other.
//! The crate holds pure state: it reads no log and no clock.
//!
//! ```
//! use cassia_follow::Replayed;
//!
//! let fold = cassia_fold::Fold::default();
//! assert_eq!(fold.next(), 0);
//! ```

mod record;
mod state;

pub use crate::record::Publish;
pub use crate::record::Record;
pub use crate::record::Snapshot;
pub use crate::state::Applied;
pub use crate::state::Fold;
pub use crate::state::InForce;
pub use crate::state::Refusal;

/// The stream of the log on which operators publish contracts.
pub const STREAM: &str = "config";
