//! For which customer a request is.

use cassia_adapter::ApiKey;
use cassia_adapter::CustomerHeader;
use cassia_ids::CustomerId;
use cassia_route::Route;
use cassia_route::RouteTable;

use crate::response::Refusal;

/// On whose behalf a request is sent to a target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum Requester {
    /// The configuration has no accounts.
    #[default]
    Unidentified,
    /// A caller of a public route, who needs no key.
    Public,
    /// A caller with a key of this customer.
    Caller(CustomerId),
    /// A batch job of this customer, whose reward calls need no key.
    Job(CustomerId),
}

impl Requester {
    /// Returns what the target learns.
    pub(crate) fn header(&self) -> CustomerHeader<'_> {
        match self {
            Self::Unidentified => CustomerHeader::Unchanged,
            Self::Public | Self::Job(_) => CustomerHeader::Removed,
            Self::Caller(customer) => CustomerHeader::Named(customer),
        }
    }

    /// Returns the customer, whose share of the targets the request uses.
    pub(crate) fn customer(&self) -> Option<&CustomerId> {
        match self {
            Self::Unidentified | Self::Public => None,
            Self::Caller(customer) | Self::Job(customer) => Some(customer),
        }
    }
}

/// Finds out for which customer a caller's request of a route is.
///
/// # Errors
///
/// The route needs a key, and no account has the caller's.
pub(crate) fn identify(
    table: &RouteTable,
    route: &Route,
    key: Option<&ApiKey>,
) -> Result<Requester, Refusal> {
    if route.public && table.accounts.is_some() {
        return Ok(Requester::Public);
    }
    identify_customer(table, key)
}

/// Finds out for which customer a request is that needs a key.
///
/// # Errors
///
/// No account has the caller's key.
pub(crate) fn identify_customer(
    table: &RouteTable,
    key: Option<&ApiKey>,
) -> Result<Requester, Refusal> {
    let Some(accounts) = &table.accounts else {
        return Ok(Requester::Unidentified);
    };
    let account = key.and_then(|key| accounts.find(key.as_str()));
    let account = account.ok_or(Refusal::UnknownKey)?;
    Ok(Requester::Caller(account.customer.clone()))
}
