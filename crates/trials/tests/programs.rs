//! Help, settings checks, state dumps, logs and metrics of the programs, and
//! golden files of their interfaces.

use std::process::Command;

use cassia_trials::Caller;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::savanna;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

fn program(name: &str) -> Command {
    let mut dir = std::env::current_exe().expect("the test's path");
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    let mut command = Command::new(dir.join(name));
    command.env_clear();
    command
}

const VALID_FLAGS: [&str; 6] = [
    "--host=h1",
    "--data-centre=dc1",
    "--link=127.0.0.1:1",
    "--ops=127.0.0.1:2",
    "--log=127.0.0.1:3",
    "--list=127.0.0.1:4,127.0.0.1:5",
];

#[rstest]
#[case("cassia-entry", &["--listen=127.0.0.1:6"])]
#[case("cassia-rollout", &["--listen=127.0.0.1:6"])]
#[case("cassia-control", &[])]
fn settings_are_checked_before_anything_starts(#[case] name: &str, #[case] more: &[&str]) {
    let valid =
        program(name).args(VALID_FLAGS).args(more).arg("--check").output().expect("it runs");
    assert!(valid.status.success(), "{valid:?}");
    let invalid = program(name)
        .args(["--host=no way", "--link=nowhere", "--stop-limit-ms=-1"])
        .output()
        .expect("it runs");
    assert_eq!(invalid.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&invalid.stderr).into_owned();
    // All errors are reported, each with the flag, its value and what it accepts.
    for part in [
        "--host is \"no way\"",
        "--data-centre is missing",
        "--link is \"nowhere\"; accepted: IP:PORT",
        "--ops is missing",
        "--log is missing",
        "--list is missing",
        "--stop-limit-ms is \"-1\"; accepted: a whole number from 0",
    ] {
        assert!(stderr.contains(part), "{part}: {stderr}");
    }
}

/// cassia-serve has its own settings.
#[test]
fn the_settings_of_cassia_serve_are_checked_before_it_starts() {
    let flags = ["--host=h1", "--data-centre=z1", "--listen=127.0.0.1:1", "--ready=127.0.0.1:2"];
    let mut command = program("cassia-serve");
    command.args(flags).args(["--store=127.0.0.1:3", "--check"]);
    assert!(command.output().expect("it runs").status.success());
    let invalid = program("cassia-serve")
        .args(["--listen=nowhere", "--store-parts=0", "--lease-ms=soon"])
        .output()
        .expect("it runs");
    assert_eq!(invalid.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&invalid.stderr).into_owned();
    for part in [
        "--host is missing",
        "--listen is \"nowhere\"; accepted: IP:PORT",
        "--ready is missing",
        "--store is missing",
        "--store-parts is \"0\"; accepted: a whole number from 1",
        "--lease-ms is \"soon\"",
    ] {
        assert!(stderr.contains(part), "{part}: {stderr}");
    }
}

/// Guards against a process that ends at its start because the platform writes a
/// whole number with a fraction, or leaves a value that a deployment lacks empty.
#[rstest]
#[case::with_fractions(&["--platform-api=127.0.0.1:4", "--duties=usage_report,other",
    "--duty-calls-per-s=50.0", "--usage-window-s=2.5", "--strict-revoke=true",
    "--revoke-ms=4000"], "")]
#[case::empty(&["--platform-api=", "--duties=", "--duty-calls-per-s=", "--usage-window-s=",
    "--usage-late-s=", "--strict-revoke=", "--revoke-ms="], "")]
#[case::no_duration(&["--usage-window-s=0"], "--usage-window-s is \"0\"")]
#[case::not_finite(&["--duty-calls-per-s=inf"], "--duty-calls-per-s is \"inf\"")]
#[case::no_boolean(&["--strict-revoke=yes"], "--strict-revoke is \"yes\"; accepted: true or")]
#[case::no_address(&["--platform-api=here"], "--platform-api is \"here\"")]
fn settings_that_only_some_deployments_have_are_checked(
    #[case] flags: &[&str],
    #[case] fault: &str,
) {
    let mut command = program("cassia-serve");
    command.args(["--host=h1", "--data-centre=z1", "--listen=127.0.0.1:1", "--check"]);
    command.args(["--ready=127.0.0.1:2", "--store=127.0.0.1:3"]).args(flags);
    let output = command.output().expect("it runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.success(), fault.is_empty(), "{stderr}");
    assert!(stderr.contains(fault), "{stderr}");
}

#[rstest]
#[case("cassia-entry")]
#[case("cassia-rollout")]
#[case("cassia-control")]
#[case("cassia-serve")]
#[case("cassiactl")]
fn help_matches_its_golden_file(#[case] name: &str) {
    let help = program(name).arg("--help").output().expect("it runs");
    assert!(help.status.success());
    insta::assert_snapshot!(format!("help-{name}"), String::from_utf8_lossy(&help.stdout));
}

#[rstest]
#[case("cassia-entry")]
#[case("cassia-rollout")]
fn the_http_interface_matches_its_golden_file(#[case] name: &str) {
    let openapi = program(name).arg("--openapi").output().expect("it runs");
    insta::assert_snapshot!(format!("openapi-{name}"), String::from_utf8_lossy(&openapi.stdout));
}

#[test]
fn the_contract_schema_matches_its_golden_file() {
    let schema = program("cassiactl").arg("schema").output().expect("it runs");
    insta::assert_snapshot!("contract-schema", String::from_utf8_lossy(&schema.stdout));
}

/// Replaces values that differ between runs: ids, tickets, addresses, times.
fn redact(value: &Value) -> Value {
    match value {
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| {
                let varies = ["request_id", "ticket", "return_after_ms", "peer", "cursor", "id"];
                let varies = varies.contains(&name.as_str()) && !value.is_null();
                (name.clone(), if varies { json!("[varies]") } else { redact(value) })
            })
            .collect(),
        Value::Array(items) => items.iter().map(redact).collect(),
        other => other.clone(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_matches_its_golden_file() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let _engine = env.start_engine("renewals-1", env.engine_spec("renewals")).await?;
    let _suggestion = env.start_engine("suggest-1", env.engine_spec("suggestion")).await?;
    let _service = env.start_service("status-1", "pass-status").await?;
    let entry = env.start_entry("h1").await?;
    let rollout = env.start_rollout("h1").await?;
    let revision = env.publish(&savanna(), 0).await?;
    for process in [&entry, &rollout] {
        env.wait_until_in_force(process, "savanna", revision).await?;
        env.wait_for_view(process, 3, 1).await?;
    }
    let caller = Caller::new(SAVANNA_KEY);
    let mut session = Vec::new();
    let mut record = |request: &str, response: cassia_trials::JsonResponse| {
        session.push(json!({
            "request": request,
            "status": response.status,
            "body": redact(&response.body),
        }));
        response
    };
    let quote = json!({"prompt": "two adults", "max_tokens": 6});
    record("quote", caller.post(entry.listen, "/v1/savanna/quote", &[], &quote).await);
    record("no such route", caller.post(entry.listen, "/v1/savanna/refund", &[], &quote).await);
    let wrong_caller = Caller::new("wrong");
    record("wrong key", wrong_caller.post(entry.listen, "/v1/savanna/quote", &[], &quote).await);
    let status = "/v1/savanna/pass-status";
    let body = json!({"key": "pass-7"});
    let response = record("status, first", caller.post(entry.listen, status, &[], &body).await);
    let ticket = response.text("ticket").to_owned();
    record("status, with ticket", caller.redeem(entry.listen, status, &ticket, &body).await);
    record("status, again", caller.redeem(entry.listen, status, &ticket, &body).await);
    let pull = json!({"version": 1, "prompts": ["a", "b"], "max_tokens": 4, "wait_ms": 30_000});
    let lots = "/v1/savanna/trainers/suggestion-trainer/lots";
    record("pull", caller.post(rollout.listen, lots, &[], &pull).await);
    let too_few = json!({"version": 1, "prompts": ["a"]});
    record("pull with few prompts", caller.post(rollout.listen, lots, &[], &too_few).await);
    let bad_cursor = json!({"version": 1, "prompts": ["a", "b"], "cursor": "odd"});
    record("pull with an odd cursor", caller.post(rollout.listen, lots, &[], &bad_cursor).await);
    let unknown = "/v1/savanna/trainers/nobody/lots";
    record("pull of an unknown trainer", caller.post(rollout.listen, unknown, &[], &pull).await);
    insta::assert_json_snapshot!("session", session);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_state_dump_contains_no_secret() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let entry = env.start_entry("h1").await?;
    let revision = env.publish(&savanna(), 0).await?;
    env.wait_until_in_force(&entry, "savanna", revision).await?;
    let dump = Caller::new("").get(entry.ops, "/state").await.body.to_string();
    let hash = cassia_contract::key_hash(SAVANNA_KEY);
    assert!(dump.contains("savanna") && !dump.contains(hash.as_str()), "{dump}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_are_json_lines_and_metrics_are_statsd_datagrams() -> anyhow::Result<()> {
    let collector = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
    let statsd = format!("--statsd={}", collector.local_addr()?);
    let env = TestEnv::start().await?;
    let _engine = env.start_engine("renewals-1", env.engine_spec("renewals")).await?;
    let entry = env.start_process("cassia-entry", "h1", "dc1", &[&statsd]).await?;
    let revision = env.publish(&savanna(), 0).await?;
    env.wait_until_in_force(&entry, "savanna", revision).await?;
    env.wait_for_view(&entry, 1, 0).await?;
    let caller = Caller::new(SAVANNA_KEY);
    let body = json!({"prompt": "x", "max_tokens": 4});
    caller.post(entry.listen, "/v1/savanna/quote", &[], &body).await;
    let mut buf = [0; 1_024];
    let limit = std::time::Duration::from_secs(20);
    let count = tokio::time::timeout(limit, collector.recv(&mut buf)).await??;
    let datagram = String::from_utf8_lossy(&buf[..count]).into_owned();
    assert_eq!(datagram, "cassia.answered:1|c|#customer:savanna");

    let log = env.log.addr();
    let mut child = program("cassia-entry")
        .args(["--host=h9", "--data-centre=dc1", "--link=127.0.0.1:0", "--ops=127.0.0.1:0"])
        .args(["--listen=127.0.0.1:0", "--list=127.0.0.1:1", &format!("--log={log}")])
        .stdout(std::process::Stdio::piped())
        .spawn()?;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    child.kill()?;
    let output = child.wait_with_output()?;
    let lines: Vec<Value> = String::from_utf8_lossy(&output.stdout)
        .lines()
        .map(serde_json::from_str)
        .collect::<Result<_, _>>()?;
    let events: Vec<_> = lines.iter().map(|l| &l["attributes"]["event"]).collect();
    assert!(events.contains(&&json!("started")), "{lines:?}");
    assert!(events.contains(&&json!("list_unreachable")), "{lines:?}");
    for line in &lines {
        assert!(line["attributes"]["step"].is_string() && line["time"].is_string(), "{line}");
    }
    Ok(())
}
