//! The interface to the platform's own API: reports and orders that one host at a
//! time may send.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Instant;

use async_trait::async_trait;
use cassia_ids::CustomerId;
use cassia_ids::DataCentre;
use cassia_ids::Fence;
use cassia_ids::HostId;
use smol_str::SmolStr;

/// In whose name a call is made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyHolder {
    /// The host that performs the duty.
    pub host: HostId,
    /// Its fencing token.
    pub fence: Fence,
}

/// The use of one window of time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReport {
    /// Number of the window since the start of 1970.
    pub window: u64,
    /// Requests that began to run in it, by customer.
    pub requests: BTreeMap<CustomerId, u64>,
}

/// An order for a number of targets of one kind of a service in a data centre.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CapacityOrder {
    /// The service.
    pub service: SmolStr,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The number of targets of this kind that there are to be.
    pub count: u32,
    /// Whether the order is for targets that may be reclaimed at any time.
    pub spot: bool,
}

/// The answer to an order for targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CapacityAnswer {
    /// The order is accepted.
    Accepted,
    /// There are no such targets in the data centre at the moment.
    Unavailable,
}

/// Error of a call to the platform's API.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at the platform's API: {kind}{}{detail}", if detail.is_empty() { "" } else { ": " })]
pub struct PlatformApiError {
    /// The step that failed.
    pub step: &'static str,
    /// Kind of the failure.
    pub kind: PlatformApiErrorKind,
    /// Details for the reader of a log.
    pub detail: String,
}

/// Kinds of failures, as far as callers treat them differently.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum PlatformApiErrorKind {
    /// The call had no effect: there was no connection, or the platform said so.
    #[error("not done")]
    NotDone,
    /// The call may have taken effect, or may do so later.
    #[error("unknown")]
    Unknown,
    /// The platform refuses the call for good.
    #[error("refused")]
    Refused,
}

/// Client of the platform's API.
#[async_trait]
pub trait PlatformApi: Debug + Send + Sync {
    /// Reports the use of a window. An exact repeat has no effect.
    ///
    /// # Errors
    ///
    /// The call failed; the error's kind says whether it may have taken effect.
    async fn report_usage(
        &self,
        holder: &DutyHolder,
        report: &UsageReport,
        deadline: Instant,
    ) -> Result<(), PlatformApiError>;

    /// Orders a number of targets.
    ///
    /// # Errors
    ///
    /// As `report_usage`.
    async fn order_capacity(
        &self,
        holder: &DutyHolder,
        order: &CapacityOrder,
        deadline: Instant,
    ) -> Result<CapacityAnswer, PlatformApiError>;
}
