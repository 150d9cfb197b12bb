//! A trainer's place in its sequence of lots.

use std::fmt;
use std::str::FromStr;

const FORM: &str = "c1";

/// A trainer's place, which it stores with its checkpoint.
///
/// It is all that any process needs to go on from there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cursor {
    /// How many lots the trainer has taken.
    pub lots: u64,
    /// The first prompt that the trainer has no samples of.
    pub next_prompt: u64,
    /// The number of the lot that was taken last; 0 at the beginning.
    pub last_lot: u64,
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { lots, next_prompt, last_lot } = self;
        let sum = self.sum();
        write!(f, "{FORM}-{lots:x}-{next_prompt:x}-{last_lot:x}-{sum:x}")
    }
}

/// The text is not a cursor of this project.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BadCursor;

impl FromStr for Cursor {
    type Err = BadCursor;

    fn from_str(text: &str) -> Result<Self, BadCursor> {
        let mut parts = text.split('-');
        if parts.next() != Some(FORM) {
            return Err(BadCursor);
        }
        let mut number = || {
            let part = parts.next().ok_or(BadCursor)?;
            u64::from_str_radix(part, 16).map_err(|_| BadCursor)
        };
        let cursor = Self { lots: number()?, next_prompt: number()?, last_lot: number()? };
        if number()? == cursor.sum() { Ok(cursor) } else { Err(BadCursor) }
    }
}

impl Cursor {
    /// A check against cut or mixed-up texts, not against forgery: a trainer
    /// that forges its own cursor harms only itself.
    fn sum(&self) -> u64 {
        let Self { lots, next_prompt, last_lot } = *self;
        [lots, next_prompt, last_lot].into_iter().fold(0xcbf2_9ce4_8422_2325, |acc: u64, n| {
            (acc ^ n).wrapping_mul(0x0100_0000_01b3).rotate_left(29)
        })
    }
}
