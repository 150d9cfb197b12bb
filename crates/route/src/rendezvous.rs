//! Rendezvous hashing: ranks names for a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a name for a key.
#[must_use]
pub fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

fn hash(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// Returns the weight of a name for a key, to sort names by.
///
/// Processes get the same order for the same names without communicating.
#[must_use]
pub fn rendezvous_weight(key: &str, name: &str) -> u64 {
    weight(hash(key), name)
}

/// Returns the name with the highest weight for a key.
///
/// Processes with the same names get the same result without communicating.
/// With different names they may not, so correctness must not depend on it.
pub fn highest_weight<'a, N: AsRef<str> + 'a>(
    key: &str,
    names: impl IntoIterator<Item = &'a N>,
) -> Option<&'a N> {
    let key = hash(key);
    names.into_iter().max_by_key(|name| weight(key, name.as_ref()))
}

/// Returns how many of the names have a higher weight than `own` for a key.
pub fn rank<'a, N: AsRef<str> + 'a>(
    key: &str,
    own: &str,
    names: impl IntoIterator<Item = &'a N>,
) -> usize {
    let key = hash(key);
    let own = weight(key, own);
    names.into_iter().filter(|name| weight(key, name.as_ref()) > own).count()
}

/// Returns the `max` items with the highest weights for a key, sorted by name.
///
/// With 360 processes and 600 engines, each process connects to a subset only;
/// with the process as the key, the subsets are spread evenly over the
/// engines.
pub fn subset<T>(key: &str, mut items: Vec<T>, max: usize, name: impl Fn(&T) -> &str) -> Vec<T> {
    if items.len() > max {
        let key = hash(key);
        items.sort_by_cached_key(|item| std::cmp::Reverse(weight(key, name(item))));
        items.truncate(max);
        items.sort_by(|a, b| name(a).cmp(name(b)));
    }
    items
}
