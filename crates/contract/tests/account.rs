//! Lookup of accounts by key and by customer.

use cassia_contract::Account;
use cassia_contract::AccountTable;
use cassia_contract::KeyDigest;

fn account(customer: &str, keys: &[&str]) -> Account {
    Account {
        customer: customer.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        priority: None,
        rate_per_second: None,
    }
}

#[test]
fn a_key_finds_its_account() {
    let table = AccountTable::new(vec![account("b", &["k1", "k2"]), account("a", &["k3"])]);
    let holder = |key| table.find(key).map(|account| account.customer.as_str().to_owned());
    assert_eq!(holder("k2").as_deref(), Some("b"));
    assert_eq!(holder("k3").as_deref(), Some("a"));
    for unknown in ["", "k", "k1 ", "K1", "k11"] {
        assert_eq!(holder(unknown), None, "{unknown}");
    }
    let customers: Vec<_> = table.iter().map(|account| account.customer.as_str()).collect();
    assert_eq!(customers, ["a", "b"]);
    assert!(table.get("a").is_some() && table.get("k3").is_none());
}

/// Guards against a customer that takes another's requests over by listing its key
/// later, and hosts that disagree about whose it is.
#[test]
fn a_key_of_two_accounts_belongs_to_the_first() {
    let table = AccountTable::new(vec![account("z", &["k"]), account("a", &["k"])]);
    assert_eq!(table.find("k").map(|account| account.customer.as_str()), Some("z"));
}

/// Guards against keys, or what could be used to test guesses of them, in a log line.
#[test]
fn no_key_and_no_digest_is_printed() {
    let table = AccountTable::new(vec![account("a", &["secret-key"])]);
    let printed = format!("{table:?}");
    assert!(!printed.contains("secret"), "{printed}");
    let digests = printed.matches("KeyDigest(..)").count();
    assert_eq!(digests, printed.matches("KeyDigest").count(), "{printed}");
}
