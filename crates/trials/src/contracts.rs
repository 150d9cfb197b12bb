//! The contracts of the two customers in the tests.

use cassia_contract::Class;
use cassia_contract::Contract;
use cassia_contract::FORMAT;
use cassia_contract::LotSize;
use cassia_contract::Route;
use cassia_contract::RouteKind;
use cassia_contract::Trainer;
use cassia_contract::key_hash;

/// The key that Leserbild's callers send.
pub const LESERBILD_KEY: &str = "leserbild-key";
/// The key that Savanna Pass's callers send.
pub const SAVANNA_KEY: &str = "savanna-key";

/// Much longer than a response takes on a busy machine, so that no test fails
/// because of load.
const DEADLINE_MS: u32 = 20_000;

/// The contract of Leserbild: photo captions; staleness weighs more than idle
/// time.
#[must_use]
pub fn leserbild() -> Contract {
    Contract {
        format: FORMAT,
        customer: "leserbild".into(),
        key_hashes: vec![key_hash(LESERBILD_KEY)],
        share_percent: 50,
        priority: 10,
        staleness_bound: 2,
        idle_weight_percent: 30,
        lot: LotSize { groups: 2, group_size: 4 },
        routes: vec![
            route("caption", generate("caption"), Class::Interactive, true),
            route("tagging", generate("intake"), Class::Internal, true),
            route("thank-you", call("thank-you"), Class::Internal, false),
        ],
        trainers: vec![Trainer { name: "caption-trainer".into(), model: "caption".into() }],
    }
}

/// The contract of Savanna Pass: zoo passes; idle time weighs more than
/// staleness.
#[must_use]
pub fn savanna() -> Contract {
    Contract {
        customer: "savanna".into(),
        key_hashes: vec![key_hash(SAVANNA_KEY)],
        priority: 20,
        idle_weight_percent: 100,
        routes: vec![
            route("quote", generate("renewals"), Class::Interactive, true),
            route("suggest", generate("suggestion"), Class::Interactive, true),
            route("pass-status", call("pass-status"), Class::Interactive, false),
        ],
        trainers: vec![Trainer { name: "suggestion-trainer".into(), model: "suggestion".into() }],
        ..leserbild()
    }
}

fn generate(model: &str) -> RouteKind {
    RouteKind::Generate { model: model.into() }
}

fn call(service: &str) -> RouteKind {
    RouteKind::Call { service: service.into() }
}

fn route(name: &str, kind: RouteKind, class: Class, idempotent: bool) -> Route {
    Route { name: name.into(), kind, class, deadline_ms: DEADLINE_MS, idempotent }
}
