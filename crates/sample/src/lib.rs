//! Version labels, staleness and exactly-once lots of rollout samples.
//!
//! A sample carries the weight versions that the engines reported for its
//! tokens. A lot is identified by a cursor which the trainer stores with its
//! own checkpoint, so the processes that generate samples need no durable
//! state. The crate does no I/O.
//!
//! ```
//! use cassia_sample::LabelBuilder;
//!
//! let mut builder = LabelBuilder::default();
//! builder.add_tokens(3, Some(7));
//! builder.add_tokens(2, Some(8));
//! assert_eq!(builder.finish().unwrap().oldest(), 7);
//! ```

mod buffer;
mod cursor;
mod label;

pub use crate::buffer::Counts;
pub use crate::buffer::Handoff;
pub use crate::buffer::Lot;
pub use crate::buffer::LotSpec;
pub use crate::buffer::Pull;
pub use crate::buffer::PullOutcome;
pub use crate::buffer::Sample;
pub use crate::buffer::SampleBuffer;
pub use crate::buffer::SampleTask;
pub use crate::cursor::Cursor;
pub use crate::cursor::ParseCursorError;
pub use crate::label::Label;
pub use crate::label::LabelBuilder;
pub use crate::label::LabelError;
pub use crate::label::Span;
