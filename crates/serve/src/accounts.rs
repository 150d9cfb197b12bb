//! For which customer a request is.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_adapter::ApiKey;
use cassia_adapter::CustomerHeader;
use cassia_contract::Account;
use cassia_contract::KeyDigest;
use cassia_ids::CustomerId;
use cassia_route::Route;
use cassia_route::RouteKind;
use cassia_route::RouteTable;
use subtle::Choice;
use subtle::ConstantTimeEq;

use crate::app::App;
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
    /// A batch job of this customer. Its reward calls name no customer to the target, and
    /// use the customer's share.
    Job(CustomerId),
}

impl Requester {
    /// Returns on whose behalf the reward calls of a job are made; a job without a
    /// customer was accepted under a configuration without accounts.
    pub(crate) fn of_job(customer: &str) -> Self {
        match customer {
            "" => Self::Unidentified,
            customer => Self::Job(customer.into()),
        }
    }

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

    /// Returns whether the requester may see a job of this customer; an empty name stands
    /// for no customer. Without accounts, everybody may see every job.
    pub(crate) fn owns(&self, customer: &str) -> bool {
        *self == Self::Unidentified || self.customer().is_some_and(|own| own == customer)
    }

    /// Returns the priority of its requests of a route.
    pub(crate) fn priority(&self, table: &RouteTable, route: &Route) -> u32 {
        table.priority(route, self.customer().map(CustomerId::as_str))
    }
}

/// Finds out for which customer a caller's request is. `route` is `None` for calls about
/// batch jobs, which have no route of their own. A key that this host does not know is
/// refused only after a read of the configuration.
///
/// # Errors
///
/// The request needs a key, and no account has the caller's, or it can't be confirmed.
pub(crate) async fn identify(
    app: &App,
    table: &RouteTable,
    route: Option<&Route>,
    key: Option<&ApiKey>,
) -> Result<Requester, Refusal> {
    if table.accounts.is_none() {
        return Ok(Requester::Unidentified);
    }
    if route.is_some_and(is_public) {
        return Ok(Requester::Public);
    }
    if is_outdated(app) {
        return Err(Refusal::KeyUnconfirmed);
    }
    let key = key.ok_or(Refusal::UnknownKey)?;
    if let Some(requester) = find(table, key) {
        return Ok(requester);
    }
    app.key_reads.wait_for_read(|| find(app.state.routes.load().as_ref()?, key)).await
}

/// Finds out again for which customer a request is if the configuration is no longer
/// `before`. A body may take longer to come than a removed key may be served.
///
/// # Errors
///
/// As [`identify`].
pub(crate) async fn identify_again(
    app: &App,
    before: &RouteTable,
    route: &Route,
    path: &str,
    key: Option<&ApiKey>,
    requester: Requester,
) -> Result<Requester, Refusal> {
    let newest = app.state.routes.load_full();
    let Some(newest) = newest.filter(|newest| newest.version != before.version) else {
        return Ok(requester);
    };
    let route = newest.find(&route.host, path).map_or(route, Arc::as_ref);
    identify(app, &newest, Some(route), key).await
}

/// Returns whether the requests of a route need no key. Those that submit jobs do: a
/// job without a customer is shown to nobody.
fn is_public(route: &Route) -> bool {
    route.public && route.kind != RouteKind::Job
}

/// Returns the customer that has a key.
fn find(table: &RouteTable, key: &ApiKey) -> Option<Requester> {
    let Some(accounts) = &table.accounts else {
        return Some(Requester::Unidentified);
    };
    let account = accounts.find(key.as_str()).filter(|account| has_key(account, key))?;
    Some(Requester::Caller(account.customer.clone()))
}

/// Returns whether an account has a key. All its keys are compared, in constant time.
fn has_key(account: &Account, key: &ApiKey) -> bool {
    let digest = KeyDigest::of(key.as_str());
    let compared = account.keys.iter().map(|known| known.as_bytes().ct_eq(digest.as_bytes()));
    compared.fold(Choice::from(0), |found, same| found | same).into()
}

/// Returns whether the configuration is too old to know which keys were removed.
fn is_outdated(app: &App) -> bool {
    let read_at = app.state.config_read_at.load();
    let is_older = |limit| read_at.as_ref().is_none_or(|at| at.elapsed() > limit);
    app.settings.revoke_ms.map(Duration::from_millis).is_some_and(is_older)
}

/// Records that a read of the configuration that began at this time has shown all of it.
pub(crate) fn record_read(app: &App, began: Instant) {
    let newest = app.state.config_read_at.load().as_deref().copied();
    app.state.config_read_at.store(Some(newest.map_or(began, |at| at.max(began)).into()));
}

/// Returns whether the items of a job may run: where there are accounts, targets must
/// learn for which customer they are.
pub(crate) fn may_run_items(app: &App, customer: &str) -> bool {
    !customer.is_empty() || !has_accounts(app)
}

/// Returns what engines learn about the customer of an item. Where accounts came after
/// its job, a run that was about to begin forwards no key that the item names.
pub(crate) fn item_header<'a>(app: &App, customer: &'a str) -> CustomerHeader<'a> {
    match customer {
        "" if has_accounts(app) => CustomerHeader::Removed,
        "" => CustomerHeader::Unchanged,
        customer => CustomerHeader::Named(customer),
    }
}

/// Returns whether the configuration has accounts.
pub(crate) fn has_accounts(app: &App) -> bool {
    app.state.routes.load().as_ref().is_some_and(|table| table.accounts.is_some())
}
