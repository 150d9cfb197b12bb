//! Digests by which a request is recognised when it comes again.

use xxhash_rust::xxh3::Xxh3;

/// Digest of what a request asks for, without the id of the attempt.
pub type RequestDigest = u128;

/// Returns the digest of a request; `path` includes the query.
#[must_use]
pub fn request_digest(host: &str, method: &str, path: &str, body: &[u8]) -> RequestDigest {
    let mut hasher = Xxh3::new();
    for part in [host.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        // The lengths keep the parts apart.
        hasher.update(&part.len().to_be_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
