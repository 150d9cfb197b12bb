//! Division of a limited target's request rate among the hosts that send to it.
//!
//! A target in need states how many requests a second it accepts from all hosts
//! together. Each host that was told so claims a part: it publishes the limit
//! and how many requests it wants to send, and reads the claims of the others.
//! From the same claims all hosts compute the same shares without talking to
//! each other. A host without a claim of its own that the others can read has
//! no share.
//!
//! The crate does no I/O. Whether a request may be sent now is decided by
//! [`cassia_route::Target`], from the share computed here.
//!
//! ```
//! use std::time::Instant;
//! use cassia_limits::ClaimTable;
//! use cassia_limits::RateClaim;
//! use cassia_limits::TargetShare;
//!
//! let now = Instant::now();
//! let mut claims = ClaimTable::new("h1".into());
//! let claim = RateClaim { target: "t".into(), limit: Some(10.0), wanted: 4.0, age_ms: 0 };
//! claims.apply("h1", vec![claim], now);
//! let TargetShare::Limited(share) = claims.share("t", now) else { panic!("no limit") };
//! assert!((share.per_second - 4.0).abs() < 0.01);
//! ```

mod call_rate;
mod claim;
mod share;
mod table;

pub use crate::call_rate::CallRate;
pub use crate::claim::HostClaims;
pub use crate::claim::RateClaim;
pub use crate::share::HostDemand;
pub use crate::share::RateShare;
pub use crate::share::rate_share;
pub use crate::table::ClaimTable;
pub use crate::table::TargetShare;
