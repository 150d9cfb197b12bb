//! Lookup of routes by host name and longest prefix.

use cassia_contract::Account;
use cassia_contract::AccountTable;
use cassia_route::CallerLimits;
use cassia_route::JobLimits;
use cassia_route::Route;
use cassia_route::RouteKind;
use cassia_route::RouteTable;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        slo_ms: 100,
        max_attempts: 2,
        priority: 0,
        public: false,
        split: split.iter().map(|(name, weight)| ((*name).into(), *weight)).collect(),
        job: JobLimits::default(),
    }
}

fn table() -> RouteTable {
    let routes = vec![
        route("short", "a.example", "/x/", &[("s", 1)]),
        route("long", "a.example", "/x/y/", &[("s", 1)]),
        route("other", "b.example", "/x/", &[("s", 1)]),
    ];
    RouteTable::new(3, CallerLimits::default(), routes)
}

#[rstest]
#[case::short("a.example", "/x/1", Some("short"))]
#[case::long("a.example", "/x/y/1", Some("long"))]
#[case::partial_segment("a.example", "/x/y", Some("short"))]
#[case::with_port("a.example:80", "/x/1", Some("short"))]
#[case::other_host("b.example", "/x/y/1", Some("other"))]
#[case::unknown_host("c.example", "/x/1", None)]
#[case::unknown_path("a.example", "/z/1", None)]
#[case::prefix_without_its_last_slash("a.example", "/x", None)]
fn the_route_with_the_longest_prefix_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    assert_eq!(table.find(host, path).map(|route| route.name.as_str()), expected);
}

#[test]
fn a_split_follows_its_weights() {
    let split = route("r", "h", "/", &[("a", 90), ("none", 0), ("b", 10)]);
    let picked = |random| split.pick_service(random).expect("a service").to_string();
    let a = (0..100).filter(|random| picked(*random) == "a").count();
    let b = (0..100).filter(|random| picked(*random) == "b").count();
    assert_eq!((a, b), (90, 10));
    assert_eq!(route("r", "h", "/", &[]).pick_service(1), None);
}

#[rstest]
#[case::of_the_account(Some("urgent"), 0)]
#[case::account_without_one(Some("plain"), 2)]
#[case::unknown_account(Some("removed"), 2)]
#[case::no_customer(None, 2)]
fn an_accounts_priority_replaces_its_routes(#[case] customer: Option<&str>, #[case] expected: u32) {
    let account = |customer: &str, priority| Account {
        customer: customer.into(),
        keys: Vec::new(),
        priority,
        rate_per_second: None,
    };
    let accounts = vec![account("urgent", Some(0)), account("plain", None)];
    let mut table = RouteTable::new(1, CallerLimits::default(), Vec::new());
    let route = Route { priority: 2, ..route("r", "h", "/", &[]) };
    assert_eq!(table.priority(&route, customer), 2, "without accounts");
    table.accounts = Some(AccountTable::new(accounts));
    assert_eq!(table.priority(&route, customer), expected);
}
