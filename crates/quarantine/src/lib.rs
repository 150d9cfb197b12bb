//! Requests that crash the targets that run them: recognised again and no longer
//! sent.
//!
//! Each attempt of a caller has its own id, so a request that comes again is
//! recognised by a digest of what it asks for.
//!
//! ```
//! use cassia_quarantine::request_digest;
//!
//! let digest = request_digest("app.example", "POST", "/quote/1", b"body");
//! assert_eq!(digest, request_digest("app.example", "POST", "/quote/1", b"body"));
//! assert_ne!(digest, request_digest("app.example", "POST", "/quote/2", b"body"));
//! ```

mod digest;

pub use crate::digest::RequestDigest;
pub use crate::digest::request_digest;
