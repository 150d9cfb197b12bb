//! Odd entries of another writer among those of the targets.

use std::time::Duration;

use anyhow::Context;
use cassia_trials::ENGINE_MODEL;
use cassia_trials::PlatformEnv;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::wait_until_serving;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

/// Longer than the changes of the list are read; after an outage of this length a
/// snapshot is.
const OUTAGE: Duration = Duration::from_millis(2_500);

fn entry() -> Value {
    json!({
        "service": "intake", "address": "127.0.0.1:9", "zone": "z1", "version": "v1",
        "slot_count": 8, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1,
    })
}

fn with(field: &str, value: &str) -> Vec<u8> {
    let mut entry = entry();
    entry[field] = "@".into();
    entry.to_string().replace("\"@\"", value).into_bytes()
}

fn engine_with_all_slots() -> Vec<u8> {
    let mut entry = entry();
    entry["service"] = "lm".into();
    entry["models"] = json!([{"name": ENGINE_MODEL, "version": u64::MAX, "adapters": []}]);
    entry["slot_count"] = u32::MAX.into();
    entry.to_string().into_bytes()
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// The processes of other operators ended again and again, or no longer followed the list,
/// for one entry that was no target's.
#[rstest]
#[case::nested("odd", nested(50_000).into_bytes())]
#[case::nested_open("odd", "{\"a\":".repeat(40_000).into_bytes())]
#[case::nested_within("odd", with("models", &nested(50_000)))]
#[case::nested_in_an_unknown_field("odd", with("extra", &nested(50_000)))]
#[case::port_out_of_range("odd", with("address", "\"127.0.0.1:70000\""))]
#[case::port_far_out_of_range("odd", with("address", "\"127.0.0.1:99999999999999999999\""))]
#[case::port_zero("odd", with("address", "\"127.0.0.1:0\""))]
#[case::slots_too_large("odd", with("slot_count", "99999999999999999999"))]
#[case::slots_at_the_limit("odd", with("slot_count", "4294967295"))]
#[case::exponent("odd", with("slot_count", "1e400"))]
#[case::sequence_too_large("odd", with("sequence", "1e30"))]
#[case::sequence_at_the_limit("odd", with("sequence", "18446744073709551615"))]
#[case::negative("odd", with("sequence", "-1"))]
#[case::born_too_large("odd", with("born", "340282366920938463463374607431768211456"))]
#[case::born_at_the_limit("odd", with("born", "18446744073709551615"))]
#[case::another_type("odd", with("state", "17"))]
#[case::not_json("odd", vec![0xff; 300])]
#[case::long("odd", with("service", &format!("\"{}\"", "x".repeat(200_000))))]
#[case::slots_of_engines("odd", engine_with_all_slots())]
#[case::key_with_a_line_end("odd\r\nx: y", entry().to_string().into_bytes())]
#[case::key_beyond_ascii("zoo\u{e9}", entry().to_string().into_bytes())]
#[case::key_of_the_query("zz&after=a b#c", entry().to_string().into_bytes())]
#[tokio::test]
async fn an_odd_entry_changes_nothing(
    #[case] key: &str,
    #[case] value: Vec<u8>,
) -> anyhow::Result<()> {
    const ITEMS: usize = 8;
    let mut env = PlatformEnv::start().await?.with_targets(2, 2).await?;
    let mut process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    for again in ["a", "b"] {
        // Three of them: what is added up over targets.
        for n in 0..3 {
            env.store.put_bytes("keyed.servers", &format!("{key}{again}{n}"), &value);
        }
        sleep(Duration::from_millis(400)).await;
        // The list is still followed, by its changes and by snapshots.
        let new = env.add_engine(&format!("new-{again}"), 6).await?;
        for n in 0..20 {
            let id = format!("r{again}{n}");
            let response = env.request(&process, "/quote/1", &id).await;
            assert_eq!(response.status, 200, "{id}: {response:?}");
        }
        let jobs_use_it = || async {
            let job =
                format!("j{again}{}", env.targets.iter().map(|t| t.runs().len()).sum::<usize>());
            let submitted = batch_job(&job, ITEMS, 1);
            env.submit_job(&process, &job, &submitted).await;
            if let Some(results) = env.all_results(&process, &job).await {
                assert_complete(&results, &job, ITEMS);
            }
            !new.runs().is_empty()
        };
        anyhow::ensure!(eventually(jobs_use_it).await, "the list is no longer followed");
        process.freeze();
        sleep(OUTAGE).await;
        process.resume();
    }
    assert!(process.wait(Duration::ZERO).await.is_none(), "the process has ended");
    // One that starts reads them all at once.
    let second = env.start_process("h1").await.context("a process that starts")?;
    wait_until_serving(&env, &second).await
}

/// A key with characters that mean something in a query ended a page of the list: the
/// targets after it were not read.
#[rstest]
#[case::query("b&after=c#d")]
#[case::space("b c")]
#[case::beyond_ascii("b\u{e9}\u{4e2d}")]
#[case::percent("b%zz")]
#[tokio::test]
async fn a_list_of_several_pages_is_read_to_its_end(#[case] last_key: &str) -> anyhow::Result<()> {
    /// A page has 500 entries.
    const BEFORE: usize = 499;
    let env = PlatformEnv::start().await?.with_targets(0, 2).await?;
    for n in 0..BEFORE {
        env.store.put_bytes("keyed.servers", &format!("a{n:03}"), b"of another writer");
    }
    env.store.put_bytes("keyed.servers", last_key, b"of another writer");
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await
}

/// A caller's time limit that is beyond all times is none.
#[tokio::test]
async fn a_time_limit_without_end_is_no_reason_to_end_the_connection() -> anyhow::Result<()> {
    let env = PlatformEnv::start().await?.with_targets(1, 1).await?;
    let process = env.start_process("h0").await?;
    wait_until_serving(&env, &process).await?;
    for (n, path) in ["/quote/1", "/once/1", "/stream/1"].into_iter().enumerate() {
        let id = format!("r{n}");
        let headers = [("attempt-id", id.as_str()), ("deadline-ms", "18446744073709551615")];
        let response = env.send("POST", process.listen, path, &headers, "ask").await;
        assert_eq!(response.status, 200, "{path}: {response:?}");
    }
    Ok(())
}
