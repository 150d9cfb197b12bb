//! Invalid input gets an error and affects no other caller.

use std::time::Duration;

use cassia_trials::Caller;
use cassia_trials::Process;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::savanna;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::timeout;

const PATH: &str = "/v1/savanna/quote";

struct Setup {
    _env: TestEnv,
    _engine: cassia_standin::EngineStandin,
    entry: Process,
    caller: Caller,
}

impl Setup {
    async fn new() -> anyhow::Result<Self> {
        let env = TestEnv::start().await?;
        let engine = env.start_engine("renewals-1", env.engine_spec("renewals")).await?;
        let entry = env.start_entry("h1").await?;
        let revision = env.publish(&savanna(), 0).await?;
        env.wait_until_in_force(&entry, "savanna", revision).await?;
        env.wait_for_view(&entry, 1, 0).await?;
        Ok(Self { _env: env, _engine: engine, entry, caller: Caller::new(SAVANNA_KEY) })
    }

    /// Checks that another caller's request is served.
    async fn assert_others_are_served(&self) {
        let body = json!({"prompt": "x", "max_tokens": 4});
        let response = self.caller.post(self.entry.listen, PATH, &[], &body).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
}

#[rstest]
#[case::no_prompt(PATH, json!({}), 400, "bad_request", "prompt")]
#[case::wrong_type(PATH, json!({"prompt": 7}), 400, "bad_request", "invalid type")]
#[case::unknown_field(PATH, json!({"prompt": "x", "engine": 7}), 400, "bad_request", "engine")]
#[case::not_an_object(PATH, json!("x"), 400, "bad_request", "")]
#[case::too_large(PATH, json!({"prompt": "x".repeat(9 << 20)}), 400, "bad_request", "")]
#[case::no_such_route("/v1/savanna/discount", json!({}), 404, "not_found", "discount")]
#[case::no_such_customer("/v1/zoo/quote", json!({}), 401, "wrong_key", "unknown customer")]
#[case::malformed_customer("/v1/%2e%2e/quote", json!({}), 401, "wrong_key", "")]
#[tokio::test(flavor = "multi_thread")]
async fn the_error_for_an_invalid_request_names_the_problem(
    #[case] path: &str,
    #[case] body: Value,
    #[case] status: u16,
    #[case] kind: &str,
    #[case] message: &str,
) -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let response = setup.caller.post(setup.entry.listen, path, &[], &body).await;
    assert_eq!((response.status, response.text("kind")), (status, kind), "{response:?}");
    assert!(response.text("message").contains(message), "{response:?}");
    assert_eq!(response.text("ran"), "not_run");
    setup.assert_others_are_served().await;
    Ok(())
}

#[rstest]
#[case::not_a_ticket("nonsense")]
#[case::another_secret("t1_127.0.0.1:9_1_0_0_00000000000000000000000000000000")]
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_ticket_runs_nothing(#[case] ticket: &str) -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let path = "/v1/savanna/pass-status";
    let response = setup.caller.redeem(setup.entry.listen, path, ticket, &json!({})).await;
    assert!(matches!(response.text("kind"), "bad_ticket" | "minter_gone"), "{response:?}");
    assert_eq!(response.text("ran"), "unknown");
    setup.assert_others_are_served().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_sender_times_out_and_affects_no_others() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let mut slow = TcpStream::connect(setup.entry.listen).await?;
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {SAVANNA_KEY}\r\n\
         content-type: application/json\r\ncontent-length: 1000\r\n\r\n{{\"prompt\""
    );
    slow.write_all(head.as_bytes()).await?;
    setup.assert_others_are_served().await;
    let mut response = vec![0; 4_096];
    let count = timeout(Duration::from_secs(20), slow.read(&mut response)).await??;
    let response = String::from_utf8_lossy(&response[..count]).into_owned();
    assert!(response.starts_with("HTTP/1.1 400") && response.contains("stalled"), "{response}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_request_affects_no_others() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    for head in ["", "POST /v1/sav", "\x00\x01\x02\x03\r\n\r\n", "POST / HTTP/1.1\r\n"] {
        let mut stream = TcpStream::connect(setup.entry.listen).await?;
        stream.write_all(head.as_bytes()).await?;
        drop(stream);
        setup.assert_others_are_served().await;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_the_link_address_is_dropped() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let garbage: [&[u8]; 4] =
        [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64], &[0, 0, 0, 4, 9, 9, 9, 9], &[0, 0, 0, 0]];
    let udp = UdpSocket::bind("127.0.0.1:0").await?;
    for bytes in garbage {
        let mut stream = TcpStream::connect(setup.entry.link).await?;
        stream.write_all(bytes).await?;
        stream.shutdown().await?;
        // The peer closes the connection, with or without an empty response.
        let mut rest = Vec::new();
        let _ = timeout(Duration::from_secs(20), stream.read_to_end(&mut rest)).await?;
        udp.send_to(bytes, setup.entry.link).await?;
    }
    setup.assert_others_are_served().await;
    let health = Caller::new("").get(setup.entry.ops, "/health").await;
    assert_eq!(health.status, 200);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn many_slow_senders_affect_no_others() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let mut senders = Vec::new();
    for _ in 0..300 {
        let mut slow = TcpStream::connect(setup.entry.listen).await?;
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {SAVANNA_KEY}\r\n\
             content-length: 8000000\r\n\r\n{{"
        );
        slow.write_all(head.as_bytes()).await?;
        senders.push(slow);
    }
    for _ in 0..20 {
        setup.assert_others_are_served().await;
    }
    // The slow senders get an error after a timeout.
    let mut response = [0; 12];
    let read = senders.last_mut().expect("a sender").read_exact(&mut response);
    timeout(Duration::from_secs(20), read).await??;
    assert_eq!(&response, b"HTTP/1.1 400");
    Ok(())
}
