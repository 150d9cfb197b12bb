//! Digests by which a request is recognised when it comes again.

use xxhash_rust::xxh3::Xxh3;

/// Digest of what a request asks for, without the id of the attempt.
pub type RequestDigest = u128;

/// What a run at a target is a run of.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Work {
    /// Digest of what is asked for. The samples of a prompt share it, and so do callers
    /// who ask for the same.
    pub content: RequestDigest,
    /// Digest of the one item of a batch job that it is; none for requests of callers.
    pub item: Option<RequestDigest>,
}

impl Work {
    /// A request that is told apart by what it asks for only.
    #[must_use]
    pub fn of_request(content: RequestDigest) -> Self {
        Self { content, item: None }
    }

    /// An item of a batch job, which its id tells from the others that ask for the same.
    #[must_use]
    pub fn of_item(content: RequestDigest, id: &str) -> Self {
        let item = digest(&[&content.to_be_bytes(), id.as_bytes()]);
        Self { content, item: Some(item) }
    }
}

/// Returns the digest of a request; `path` includes the query.
#[must_use]
pub fn request_digest(host: &str, method: &str, path: &str, body: &[u8]) -> RequestDigest {
    digest(&[host.as_bytes(), method.as_bytes(), path.as_bytes(), body])
}

fn digest(parts: &[&[u8]]) -> RequestDigest {
    let mut hasher = Xxh3::new();
    for part in parts {
        // The lengths keep the parts apart.
        hasher.update(&part.len().to_be_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
