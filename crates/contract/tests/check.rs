//! Parsing and validation of contracts.

use cassia_contract::parse;
use cassia_contract::schema;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

fn valid() -> Value {
    json!({
        "format": 1,
        "customer": "savanna",
        "key_hashes": [cassia_contract::key_hash("secret")],
        "share_percent": 50,
        "priority": 20,
        "staleness_bound": 2,
        "idle_weight_percent": 100,
        "lot": {"groups": 64, "group_size": 8},
        "routes": [{
            "name": "quote",
            "kind": {"to": "generate", "model": "renewals"},
            "class": "interactive",
            "deadline_ms": 2_000,
            "idempotent": true,
        }],
        "trainers": [{"name": "suggest", "model": "suggestion"}],
    })
}

#[test]
fn a_valid_contract_is_accepted_and_its_keys_are_compared_by_hash() {
    let contract = parse(&valid().to_string()).expect("a valid contract");
    assert!(contract.accepts_key("secret"));
    assert!(!contract.accepts_key("Secret"));
    assert_eq!(contract.samples_per_lot(), 512);
}

#[rstest]
#[case::format("/format", json!(2), "format is 2")]
#[case::customer("/customer", json!("Savanna Pass"), "customer is \"Savanna Pass\"")]
#[case::share("/share_percent", json!(0), "share_percent is 0; accepted: 1 to 100")]
#[case::share_over_100("/share_percent", json!(101), "share_percent is 101")]
#[case::idle_weight("/idle_weight_percent", json!(101), "idle_weight_percent is 101")]
#[case::key("/key_hashes/0", json!("secret"), "key_hashes[0] is secret")]
#[case::empty_lot("/lot/groups", json!(0), "lot is 0")]
#[case::huge_lot("/lot/group_size", json!(1_000_000), "lot is 64000000")]
#[case::deadline("/routes/0/deadline_ms", json!(0), "routes[0].deadline_ms is 0")]
#[case::class("/routes/0/class", json!("rollout"), "routes[0].class is rollout")]
#[case::trainer("/trainers/0/name", json!(""), "trainers[0].name is \"\"")]
fn an_invalid_value_is_reported_with_the_accepted_ones(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let mut text = valid();
    *text.pointer_mut(pointer).expect("the field") = value;
    let e = parse(&text.to_string()).expect_err("an invalid contract").to_string();
    assert!(e.contains(expected), "{e}");
}

#[rstest]
#[case::unknown_field(json!({"engine": "e7"}), "engine")]
#[case::null_field(json!({"lot": null}), "null")]
fn unknown_fields_and_wrong_types_are_reported(#[case] extra: Value, #[case] expected: &str) {
    let mut text = valid();
    let extra = extra.as_object().expect("an object").clone();
    text.as_object_mut().expect("an object").extend(extra);
    let e = parse(&text.to_string()).expect_err("an invalid contract").to_string();
    assert!(e.contains(expected), "{e}");
}

#[test]
fn all_violations_are_reported_at_once() {
    let mut text = valid();
    text["share_percent"] = json!(0);
    text["priority"] = json!(500);
    let e = parse(&text.to_string()).expect_err("an invalid contract").to_string();
    assert!(e.contains("share_percent") && e.contains("priority"), "{e}");
}

#[test]
fn duplicate_route_names_are_rejected() {
    let mut text = valid();
    let route = text["routes"][0].clone();
    text["routes"].as_array_mut().expect("routes").push(route);
    let e = parse(&text.to_string()).expect_err("an invalid contract").to_string();
    assert!(e.contains("routes[1].name is quote"), "{e}");
}

#[test]
fn the_schema_has_every_field() {
    let schema = json!(schema());
    for field in valid().as_object().expect("an object").keys() {
        assert!(schema["properties"][field].is_object(), "{field}");
    }
}
