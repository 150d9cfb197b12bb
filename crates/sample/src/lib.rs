//! Version labels, staleness and exactly-once lots of rollout samples.
//!
//! A sample carries the versions that the engines reported for its tokens. A
//! lot is handed out under a cursor which the trainer keeps with its own
//! checkpoint, so the processes that generate samples keep nothing that must
//! last. The crate holds pure state.
//!
//! ```
//! use cassia_sample::Labeller;
//!
//! let mut labeller = Labeller::default();
//! labeller.tokens(3, Some(7));
//! labeller.tokens(2, Some(8));
//! assert_eq!(labeller.finish().unwrap().oldest(), 7);
//! ```

mod cursor;
mod keeper;
mod label;

pub use crate::cursor::BadCursor;
pub use crate::cursor::Cursor;
pub use crate::keeper::Counts;
pub use crate::keeper::Keeper;
pub use crate::keeper::Kept;
pub use crate::keeper::Lot;
pub use crate::keeper::LotSpec;
pub use crate::keeper::Pull;
pub use crate::keeper::Pulled;
pub use crate::keeper::Sample;
pub use crate::keeper::Start;
pub use crate::label::Label;
pub use crate::label::Labeller;
pub use crate::label::Span;
pub use crate::label::Unlabelled;
