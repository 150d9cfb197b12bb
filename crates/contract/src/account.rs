//! Accounts: the keys that identify a customer's callers, and the customer's own
//! priority and rate.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use cassia_ids::CustomerId;
use sha2::Digest;
use sha2::Sha256;

/// SHA-256 of an API key.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the digest's bytes, to be compared in constant time.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Prints nothing of the key.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Who a request is for, and what its customer is entitled to.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The customer.
    pub customer: CustomerId,
    /// Digests of the keys that its callers may use.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, where 0 is the most urgent; `None` for that of
    /// the route.
    pub priority: Option<u32>,
    /// Requests a second that the customer is entitled to; `None` for no limit. Hosts
    /// don't enforce it yet.
    pub rate_per_second: Option<f64>,
}

/// The accounts of one configuration.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    by_customer: BTreeMap<CustomerId, Arc<Account>>,
    by_key: HashMap<KeyDigest, Arc<Account>>,
}

impl AccountTable {
    /// Builds the table. A key that several accounts have belongs to the first.
    #[must_use]
    pub fn new(accounts: Vec<Account>) -> Self {
        let mut table = Self::default();
        for account in accounts {
            let account = Arc::new(account);
            for key in &account.keys {
                table.by_key.entry(*key).or_insert_with(|| Arc::clone(&account));
            }
            table.by_customer.insert(account.customer.clone(), account);
        }
        table
    }

    /// Returns the account that holds a key.
    ///
    /// Keys are looked up by their digests, so the time that it takes tells nothing
    /// about the keys that there are.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&Arc<Account>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// Returns a customer's account.
    #[must_use]
    pub fn get(&self, customer: &str) -> Option<&Arc<Account>> {
        self.by_customer.get(customer)
    }

    /// Iterates over all accounts, in the order of the customers' names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_customer.values()
    }
}
