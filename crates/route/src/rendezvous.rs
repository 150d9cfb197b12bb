//! Rendezvous hashing: which of several names goes first for a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gives a name's weight for a key; the highest goes first.
#[must_use]
pub fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Hashes a key's text.
fn key_of(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// Finds the name that goes first for a key.
///
/// Processes with the same names agree without talking to each other; while
/// their views differ they may not, so nothing that must hold may rest on it.
pub fn highest_weight<'a, N: AsRef<str> + 'a>(
    key: &str,
    names: impl IntoIterator<Item = &'a N>,
) -> Option<&'a N> {
    let key = key_of(key);
    names.into_iter().max_by_key(|name| weight(key, name.as_ref()))
}

/// Tells how many of the names go before `me` for a key.
pub fn rank<'a, N: AsRef<str> + 'a>(
    key: &str,
    me: &str,
    names: impl IntoIterator<Item = &'a N>,
) -> usize {
    let key = key_of(key);
    let mine = weight(key, me);
    names.into_iter().filter(|name| weight(key, name.as_ref()) > mine).count()
}

/// Picks the `most` items that go first for a key, in the order of their names.
///
/// With 360 processes before 600 engines each keeps connections to a subset
/// only; the subsets differ from process to process and are spread evenly.
pub fn subset<T>(key: &str, mut items: Vec<T>, most: usize, name: impl Fn(&T) -> &str) -> Vec<T> {
    if items.len() > most {
        let key = key_of(key);
        items.sort_by_cached_key(|item| std::cmp::Reverse(weight(key, name(item))));
        items.truncate(most);
        items.sort_by(|a, b| name(a).cmp(name(b)));
    }
    items
}
