//! What a host publishes about the limited targets that it sends to.

use prost::Message;

/// The claims of one host. Its next ones replace them.
#[derive(Clone, Message, PartialEq)]
pub struct HostClaims {
    /// One claim for each target that stated a limit to the host lately.
    #[prost(message, repeated, tag = "1")]
    pub claims: Vec<RateClaim>,
}

/// One host's claim on the rate of one target.
#[derive(Clone, Message, PartialEq)]
pub struct RateClaim {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Requests a second that the target stated last to accept from all hosts
    /// together; `None` if it stated that it has no limit any more.
    #[prost(double, optional, tag = "2")]
    pub limit: Option<f64>,
    /// Requests a second that the host wants to send to the target.
    #[prost(double, tag = "3")]
    pub wanted: f64,
    /// Age of the target's statement when the claim was published, in
    /// milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}
