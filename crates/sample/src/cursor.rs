//! A trainer's position in its sequence of lots.

use std::fmt;
use std::str::FromStr;

/// Identifies the text format of a cursor.
const FORMAT: &str = "c1";

/// A trainer's position in its sequence of lots, stored with its checkpoint.
///
/// It is all that any process needs to continue from there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cursor {
    /// Number of lots that the trainer has received.
    pub lots: u64,
    /// Index of the first prompt for which the trainer has no samples.
    pub next_prompt: u64,
    /// Id of the lot that was received last; 0 before the first one.
    pub last_lot: u64,
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { lots, next_prompt, last_lot } = self;
        let checksum = self.checksum();
        write!(f, "{FORMAT}-{lots:x}-{next_prompt:x}-{last_lot:x}-{checksum:x}")
    }
}

/// The text is not a valid cursor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseCursorError;

impl FromStr for Cursor {
    type Err = ParseCursorError;

    fn from_str(text: &str) -> Result<Self, ParseCursorError> {
        let mut parts = text.split('-');
        if parts.next() != Some(FORMAT) {
            return Err(ParseCursorError);
        }
        let mut next_number = || {
            let part = parts.next().ok_or(ParseCursorError)?;
            u64::from_str_radix(part, 16).map_err(|_| ParseCursorError)
        };
        let cursor =
            Self { lots: next_number()?, next_prompt: next_number()?, last_lot: next_number()? };
        if next_number()? == cursor.checksum() { Ok(cursor) } else { Err(ParseCursorError) }
    }
}

impl Cursor {
    /// Checksum against truncated or corrupted texts, not against forgery: a
    /// trainer that forges its own cursor harms only itself.
    fn checksum(&self) -> u64 {
        let Self { lots, next_prompt, last_lot } = *self;
        [lots, next_prompt, last_lot].into_iter().fold(0xcbf2_9ce4_8422_2325, |acc: u64, n| {
            (acc ^ n).wrapping_mul(0x0100_0000_01b3).rotate_left(29)
        })
    }
}
